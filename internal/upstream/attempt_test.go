package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two executions of one request that are taken for executions of two requests, because their attempt ids
// lead to different caller ids.
func TestAttemptID(t *testing.T) {
	for _, id := range []string{"a", "a.b", "a.1", ""} {
		require.Equal(t, id, CallerID(AttemptID(id, 123456)))
		require.NotEqual(t, AttemptID(id, 1), AttemptID(id, 2))
	}
	require.Equal(t, "a", CallerID("a"))
}
