package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxInProgressRequests limits the requests of callers in progress, including those whose body is still being
	// received.
	maxInProgressRequests = 4096
	// maxBodyMemoryBytes limits the memory that request bodies occupy. Entry instances are small: 4096 bodies of 1 MiB
	// would not fit.
	maxBodyMemoryBytes = 128 << 20
	// writeTimeout limits the time that a caller may take to receive an answer, which has at most 1 MiB.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller stays open. It is longer than the idle timeout of common
	// load balancers (60 s), so that a balancer never sends a request on a connection that the gateway is closing.
	idleTimeout = 2 * time.Minute
)

const reasonTooMany = "too-many-requests-in-progress"

// inProgressLimiter limits the requests in progress and the memory of their bodies. It is safe for concurrent use.
type inProgressLimiter struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

// tryAcquire reserves capacity for a request with a body of length bytes; a length of -1 is unknown and reserves
// maxBodyBytes. The result releases the capacity. It is nil if a limit is reached.
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

// setWriteTimeout limits the time for writing an answer. Zero removes the limit that an earlier request set on the same
// connection.
func setWriteTimeout(w http.ResponseWriter, d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// The recorders of tests support no deadline; the error is ignored.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}
