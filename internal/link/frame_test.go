package link

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// Guards against frames from a peer that make the reader panic or allocate the announced length without receiving it,
// and against messages that are not read back as they were written.
func FuzzReadFrame(f *testing.F) {
	for _, m := range []contract.Message{&contract.Heartbeat{From: "a"},
		&contract.Failure{Code: contract.FailureNotOwner}} {
		frame, err := encodeFrame(m)
		require.NoError(f, err)
		f.Add(frame)
		f.Add(frame[:len(frame)-1])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, n, err := readFrame(bytes.NewReader(data))
		if n > len(data) {
			t.Fatalf("%d bytes were read of %d", n, len(data))
		}
		if err != nil {
			return
		}
		frame, err := encodeFrame(m)
		require.NoError(t, err)
		again, _, err := readFrame(bytes.NewReader(frame))
		require.NoError(t, err)
		require.Equal(t, m.MessageKind(), again.MessageKind())
	})
}
