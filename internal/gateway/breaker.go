package gateway

import (
	"sync"
	"time"
)

// breakerPause is how long appends are refused after a failed one.
const breakerPause = 2 * time.Second

// breaker is a circuit breaker for appends to the log. While the log is known to be down, callers learn at once that
// nothing was written, instead of waiting for an append with an unknown outcome. After breakerPause, one append at a
// time probes whether the log is available again. It is safe for concurrent use.
type breaker struct {
	mu      sync.Mutex
	open    bool
	probeAt time.Time
	probing bool
}

// allow reports whether an append may be sent. Each allowed append must be followed by a call of record.
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

// record records the result of an allowed append. ok reports whether the log was available.
func (b *breaker) record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open, b.probing, b.probeAt = !ok, false, now.Add(breakerPause)
}
