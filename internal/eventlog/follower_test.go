package eventlog

import (
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request that a short pause overlooks by chance, so that the next read waits for new records first.
func TestShortPauseReportsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(nil, "topic", PollIntervals{}, slog.New(slog.DiscardHandler), nil)
		for range 50 {
			f.refresh <- struct{}{}
			require.True(t, f.pause(t.Context(), minRefreshInterval))
		}
		assert.False(t, f.pause(t.Context(), minRefreshInterval))
	})
}
