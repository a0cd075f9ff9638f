package clock

import "time"

// Timer sends on C when it expires, at most one value for each start. Loops that tests run in synctest bubbles use it instead of
// a time.Ticker: a goroutine that selects on a due time.Ticker runs the timer itself, and the race detector crashes if two
// goroutines of a bubble run timers at once. Timers of time.AfterFunc are run by the root goroutine of the bubble alone.
type Timer struct {
	C     <-chan struct{}
	timer *time.Timer
}

// NewTimer returns a timer that expires after d.
func NewTimer(d time.Duration) *Timer {
	c := make(chan struct{}, 1)
	return &Timer{C: c, timer: time.AfterFunc(d, func() {
		select {
		case c <- struct{}{}:
		default:
		}
	})}
}

// Restart makes the timer expire after d. It must be called only after a value was received.
func (t *Timer) Restart(d time.Duration) { t.timer.Reset(d) }

// Stop prevents the timer from expiring. It does not close C.
func (t *Timer) Stop() { t.timer.Stop() }
