package gateway

import (
	"sync"
	"time"
)

// breakerPause is how long after a failed append no other append is tried.
const breakerPause = 2 * time.Second

// breaker refuses appends while the log is known to be down, so that callers hear at once that nothing was written in place of
// waiting for an append with an unknown outcome. One append at a time finds out whether the log is back.
type breaker struct {
	mu      sync.Mutex
	open    bool
	probeAt time.Time
	probing bool
}

// allow reports whether an append may be tried.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.probeAt) {
		return false
	}
	b.probing = true
	return true
}

// record takes up the result of an append that was allowed.
func (b *breaker) record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open, b.probing, b.probeAt = !ok, false, now.Add(breakerPause)
}
