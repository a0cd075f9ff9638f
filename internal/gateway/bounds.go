package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxInProgressRequests bounds the requests of callers that are in progress, including those that still send their body.
	maxInProgressRequests = 4096
	// maxBodyMemoryBytes bounds the bytes of bodies in memory. Entry instances are small, and 4096 bodies of 1 MiB would not fit.
	maxBodyMemoryBytes = 128 << 20
	// writeTimeout is how long a caller may take to receive an answer of at most 1 MiB.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller stays open. It is longer than that of common balancers (60 s), so
	// that a balancer never sends a request on a connection that is being closed.
	idleTimeout = 2 * time.Minute
)

const reasonTooMany = "too-many-requests-in-progress"

// inProgressLimiter counts what callers occupy.
type inProgressLimiter struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

// enter reserves room for a request with a body of the given length, -1 if the length is not known. The result gives the room
// back; it is nil if there is no room.
func (l *inProgressLimiter) tryAcquire(length int64) (release func()) {
	if length < 0 || length > maxBodyBytes {
		length = maxBodyBytes
	}
	release = func() {
		l.requests.Add(-1)
		l.bytes.Add(-length)
	}
	requests, bytes := l.requests.Add(1), l.bytes.Add(length)
	if requests > maxInProgressRequests || bytes > maxBodyMemoryBytes {
		release()
		return nil
	}
	return release
}

// setWriteTimeout bounds the time for writing an answer; zero removes the bound of an earlier request on the same connection.
func setWriteTimeout(w http.ResponseWriter, d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// A recorder of a test has no deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}
