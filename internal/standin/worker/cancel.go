package worker

import (
	"maps"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// cancellationRetention is the minimum time for which a cancelled request is refused. It is longer than any delay
	// of a message.
	cancellationRetention = 2 * time.Minute
	// maxRememberedCancellations is the number of remembered cancellations from which the expired ones are dropped.
	maxRememberedCancellations = 10_000
)

// requestKey identifies a request of one gateway incarnation.
type requestKey struct {
	gateway instance.Incarnation
	id      string
}

// cancelCall ends a request in progress and refuses it from now on. A non-idempotent request is not interrupted,
// because it would be left partially executed; the gateway repeats the call.
func (w *Worker) cancelCall(now time.Time, r upstream.CancelRequest) upstream.TaskReply {
	bs, key := w.bootState, requestKey{gateway: r.Gateway, id: r.RequestID}
	if r.RequestID == "" || r.Gateway == "" {
		return w.refuse(upstream.RefusalMalformed)
	}
	if len(bs.cancelled) >= maxRememberedCancellations {
		maps.DeleteFunc(bs.cancelled,
			func(_ requestKey, at time.Time) bool { return now.Sub(at) > cancellationRetention })
	}
	req := bs.requests[key]
	if req != nil && req.call.nonIdempotent {
		return w.refuse(upstream.RefusalInProgress)
	}
	bs.cancelled[key] = now
	if req != nil {
		w.releaseSlot(req)
		close(req.cancelled)
		w.ledger.Count("cancelled_requests")
	}
	return upstream.TaskReply{Known: req != nil}
}

// releaseSlot releases the slot of a request. The calling function must hold the lock.
func (w *Worker) releaseSlot(req *activeRequest) {
	bs := req.bootState
	delete(bs.requests, req.key())
	bs.busy--
	if bs.inProgress[req.call.gateway]--; bs.inProgress[req.call.gateway] == 0 {
		delete(bs.inProgress, req.call.gateway)
	}
}
