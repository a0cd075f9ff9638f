package attempt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Guards against a panic while decoding the state of a damaged snapshot, and against a decoded state that cannot be
// encoded again.
func FuzzDecode(f *testing.F) {
	s := New("a")
	for i, b := range []contract.Body{&contract.Submit{Job: "a~j", Kind: "k", Tasks: 3, Deadline: time.Unix(9, 0)},
		&contract.Place{TaskRef: upstream.TaskRef{Job: "a~j", Attempt: 1}, Worker: "w", Incarnation: "b"},
		&contract.Drain{Worker: "w", Drain: true}, &contract.Cancel{Job: "a~j"}} {
		data, err := s.Encode()
		require.NoError(f, err)
		f.Add(data)
		_ = s.Apply(uint64(i+2), 1, b)
	}
	data, err := s.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		got := New("a")
		if got.Decode(data) != nil {
			return
		}
		again, err := got.Encode()
		require.NoError(t, err)
		require.NoError(t, New("a").Decode(again))
		_ = got.JobStates("")
		_ = got.Apply(100, 1, &contract.Cancel{Job: "a~j"})
	})
}
