package intake

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// memoryRetryAfter is the time after which a submission is repeated that was refused because accepted work takes all memory.
// Work ends within seconds to minutes.
const memoryRetryAfter = 10 * time.Second

// memoryRefreshTimeout is longer than refreshTimeout, because a submission beyond the memory is not accepted if its outcome is
// unknown, and an instance is busy then.
const memoryRefreshTimeout = 500 * time.Millisecond

// verdictNoMemory is the verdict on a submission that would take more memory than is left, as a label value.
const verdictNoMemory = "no-memory"

// acceptedMemory bounds the memory that accepted submissions take in an owner, since each instance may become the owner and
// then reads all of them.
type acceptedMemory struct {
	// limit is the bound of this instance; 0 for none.
	limit int64
	// inFlight is the memory of the submissions that are being stored.
	inFlight atomic.Int64
}

// UseMemoryLimit makes the API refuse submissions beyond the memory for accepted work. It is called before the first request.
func (a *API) UseMemoryLimit(bytes int64) { a.memory.limit = bytes }

// checkMemory returns a *RefusedError if the accepted submissions leave no memory for another one, an *UncertainError if that is
// so and the submission may be stored already, and an *workflow.InvalidError if it never fits. done is called when the submission
// is stored or refused.
func (a *API) checkMemory(ctx context.Context, s *workflow.Submission) (done func(), err error) {
	accepted, limit := a.acceptedMemory()
	need := s.Footprint()
	inFlight := a.memory.inFlight.Add(need)
	done = func() { a.memory.inFlight.Add(-need) }
	_, read := a.submissionsFreshness.AsOf()
	if limit <= 0 || read && accepted+inFlight <= limit {
		return done, nil
	}
	done()
	a.verdicts.WithLabelValues(s.Terms.Queue, verdictNoMemory).Inc()
	a.logger.Info("submission refused because accepted work takes all memory", "job", s.Job, "queue", s.Terms.Queue,
		"need_bytes", need, "accepted_bytes", accepted, "in_flight_bytes", inFlight-need, "limit_bytes", limit, "read", read)
	switch {
	case need > limit:
		return nil, &workflow.InvalidError{Field: "submission", Problem: fmt.Sprintf(
			"takes %d bytes of memory; %d are there for all submissions", need, limit)}
	case !read:
		return nil, &RefusedError{Reason: "the accepted work is not read yet", RetryAfter: retryAfter}
	case a.stillUnknown(ctx, s.Job, memoryRefreshTimeout):
		return nil, &RefusedError{Reason: "the accepted work takes all memory", RetryAfter: memoryRetryAfter}
	case a.catalog.Find(s.Job) != nil:
		return func() {}, nil
	}
	return nil, &UncertainError{Err: &NoMemoryError{Limit: limit}}
}

// NoMemoryError reports that accepted submissions take all memory that there is for them, Limit bytes.
type NoMemoryError struct{ Limit int64 }

// Error implements error.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("accepted submissions take all %d bytes that there are for them", e.Limit)
}

// acceptedMemory returns the memory that accepted submissions take and may take, by the view of this instance and by what the
// owner tells. The limit is the smaller one, so that all instances refuse alike.
func (a *API) acceptedMemory() (accepted, limit int64) {
	accepted, limit = a.catalog.AcceptedBytes(), a.memory.limit
	summary, storedAfter := a.catalog.Backlog()
	if summary == nil || clock.Now()-storedAfter >= backlog.MaxAge || summary.AcceptedLimit <= 0 {
		return accepted, limit
	}
	if limit <= 0 {
		return accepted, summary.AcceptedLimit
	}
	return accepted, min(limit, summary.AcceptedLimit)
}
