package agent

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/dispatch"
)

const (
	// callBytes is what a call about a task moves over the link, with the headers and the specification.
	callBytes = 1500
	// linkQueue is how long the calls about tasks that are in flight may occupy the link. Calls beyond that wait here,
	// where their time limit does not count yet.
	linkQueue = 80 * time.Millisecond
	// Limits of the number of calls about tasks in flight.
	minInFlight = 8
	maxInFlight = 256
)

// Limited bounds the calls about tasks that are in flight. More of them than the link carries within their time limit
// would look like calls without an answer, and their repetitions would load the link further. Lease calls are not
// bounded: there is at most one for each worker, and they must not wait behind others.
type Limited struct {
	dispatch.Workers
	slots chan struct{}
}

// NewLimited returns workers with a bound for an instance with the given bandwidth; 0 if unknown.
func NewLimited(w dispatch.Workers, linkBytesPerSecond float64) *Limited {
	n := maxInFlight
	if linkBytesPerSecond > 0 {
		n = min(max(int(linkBytesPerSecond*linkQueue.Seconds()/callBytes), minInFlight), maxInFlight)
	}
	return &Limited{Workers: w, slots: make(chan struct{}, n)}
}

// Start implements dispatch.Workers.
func (l *Limited) Start(ctx context.Context, m dispatch.Member, c dispatch.StartCall) (dispatch.CallAnswer, error) {
	return l.limit(ctx, func() (dispatch.CallAnswer, error) { return l.Workers.Start(ctx, m, c) })
}

// Stop implements dispatch.Workers.
func (l *Limited) Stop(ctx context.Context, m dispatch.Member, c dispatch.StopCall) (dispatch.CallAnswer, error) {
	return l.limit(ctx, func() (dispatch.CallAnswer, error) { return l.Workers.Stop(ctx, m, c) })
}

// LimitCPU implements dispatch.Workers.
func (l *Limited) LimitCPU(
	ctx context.Context, m dispatch.Member, c dispatch.CPULimitCall,
) (dispatch.CallAnswer, error) {
	return l.limit(ctx, func() (dispatch.CallAnswer, error) { return l.Workers.LimitCPU(ctx, m, c) })
}

func (l *Limited) limit(ctx context.Context, do func() (dispatch.CallAnswer, error)) (dispatch.CallAnswer, error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return dispatch.CallAnswer{}, &dispatch.NoAnswerError{Err: ctx.Err()}
	}
	defer func() { <-l.slots }()
	return do()
}
