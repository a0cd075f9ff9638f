package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// Guards against a panic, and against a head or version that moves back, on arbitrary records of the config stream.
func FuzzChain(f *testing.F) {
	text, err := os.ReadFile("../../examples/quotes.yaml")
	require.NoError(f, err)
	publication := func(replaces uint64, manifest []byte) []byte {
		data, err := contract.EncodeRecord(contract.NewRecordID(), 0,
			&contract.Publish{Replaces: replaces, Manifest: manifest})
		require.NoError(f, err)
		return data
	}
	first := publication(0, text)
	f.Add(publication(1, text), uint64(1))
	f.Add(publication(1, []byte("x")), uint64(7))
	f.Add([]byte("x"), uint64(1))
	f.Fuzz(func(t *testing.T, data []byte, base uint64) {
		base = max(base, 1) % (1 << 40)
		c := NewChain(max(base, 1))
		head := uint64(0)
		for i, record := range [][]byte{first, data, data, first} {
			e := c.Apply(max(base, 1)+uint64(i), record)
			require.NotEmpty(t, e.Outcome)
			require.GreaterOrEqual(t, c.Head(), head)
			head = c.Head()
			if v := c.Version(); v != nil {
				require.LessOrEqual(t, v.Offset, head)
			}
		}
	})
}
