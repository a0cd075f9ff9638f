package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxInProgress bounds the requests of callers that are in progress, including those that still send their body.
	maxInProgress = 4096
	// maxBodyMemory bounds the bytes of bodies in memory. Entry instances are small, and 4096 bodies of 1 MiB would not fit.
	maxBodyMemory = 128 << 20
	// writeTimeout is how long a caller may take to receive an answer of at most 1 MiB.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller stays open. It is longer than that of common balancers (60 s), so
	// that a balancer never sends a request on a connection that is being closed.
	idleTimeout = 2 * time.Minute
)

const reasonTooMany = "too-many-requests-in-progress"

// bounds counts what callers occupy.
type bounds struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

// enter reserves room for a request with a body of the given length, -1 if the length is not known. The result gives the room
// back; it is nil if there is no room.
func (b *bounds) enter(length int64) (leave func()) {
	if length < 0 || length > maxBody {
		length = maxBody
	}
	leave = func() {
		b.requests.Add(-1)
		b.bytes.Add(-length)
	}
	requests, bytes := b.requests.Add(1), b.bytes.Add(length)
	if requests > maxInProgress || bytes > maxBodyMemory {
		leave()
		return nil
	}
	return leave
}

// writeWithin bounds the time for writing an answer; zero removes the bound of an earlier request on the same connection.
func writeWithin(w http.ResponseWriter, d time.Duration) {
	at := time.Time{}
	if d > 0 {
		at = time.Now().Add(d)
	}
	// A recorder of a test has no deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}
