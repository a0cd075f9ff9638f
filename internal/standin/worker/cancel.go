package worker

import (
	"maps"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// rememberCancelled is how long a cancelled request is refused. No message is delayed for so long.
	rememberCancelled = 2 * time.Minute
	maxCancelled      = 10_000
)

// requestKey names a request of one gateway incarnation.
type requestKey struct {
	gateway instance.Incarnation
	id      string
}

// cancelCall ends a request in progress and refuses it from now on. A non-idempotent request is never interrupted, because that would leave it
// half done; the gateway asks again.
func (w *Worker) cancelCall(now time.Time, r upstream.CancelRequest) upstream.TaskReply {
	lf, key := w.life, requestKey{gateway: r.Gateway, id: r.RequestID}
	if r.RequestID == "" || r.Gateway == "" {
		return w.refuse(upstream.RefusalMalformed)
	}
	if len(lf.cancelled) >= maxCancelled {
		maps.DeleteFunc(lf.cancelled, func(_ requestKey, at time.Time) bool { return now.Sub(at) > rememberCancelled })
	}
	s := lf.requests[key]
	if s != nil && s.call.nonIdempotent {
		return w.refuse(upstream.RefusalInProgress)
	}
	lf.cancelled[key] = now
	if s != nil {
		w.free(s)
		close(s.cancelled)
		w.ledger.Count("cancelled_requests")
	}
	return upstream.TaskReply{Known: s != nil}
}

// free gives back the slot of a request. The caller holds the lock.
func (w *Worker) free(s *slot) {
	lf := s.life
	delete(lf.requests, s.key())
	lf.busy--
	if lf.inProgress[s.call.gateway]--; lf.inProgress[s.call.gateway] == 0 {
		delete(lf.inProgress, s.call.gateway)
	}
}
