package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/clock"
)

// Guards against a loop that ticks twice for one start of its timer, or no more after it was busy for longer than that.
func TestTimerSendsOncePerStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		timer := clock.NewTimer(time.Second)
		for _, want := range []time.Duration{time.Second, 2 * time.Second} {
			<-timer.C
			assert.Equal(t, want, time.Since(begin))
			timer.Restart(time.Second)
		}
		time.Sleep(5 * time.Second)
		assert.Len(t, timer.C, 1)
		<-timer.C
		timer.Restart(time.Second)
		timer.Stop()
		time.Sleep(5 * time.Second)
		assert.Empty(t, timer.C)
	})
}
