package main

import (
	"log/slog"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

// Guards against a command that the command line offers and that does nothing or something else.
func TestEveryCommandIsCarriedOut(t *testing.T) {
	cli := &CLI{}
	parser, err := kong.New(cli)
	require.NoError(t, err)
	carriedOut := commands(cli, slog.New(slog.DiscardHandler))
	require.NotEmpty(t, parser.Model.Children)
	for _, c := range parser.Model.Children {
		require.Contains(t, carriedOut, c.Name)
	}
	require.Len(t, carriedOut, len(parser.Model.Children))
}
