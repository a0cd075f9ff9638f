package main

import (
	"log/slog"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

// Guards against a command of the command line without a function, and against a function without a command.
func TestEveryCommandIsCarriedOut(t *testing.T) {
	cli := &CLI{}
	parser, err := kong.New(cli)
	require.NoError(t, err)
	implemented := commands(cli, slog.New(slog.DiscardHandler))
	require.NotEmpty(t, parser.Model.Children)
	for _, c := range parser.Model.Children {
		require.Contains(t, implemented, c.Name)
	}
	require.Len(t, implemented, len(parser.Model.Children))
}
