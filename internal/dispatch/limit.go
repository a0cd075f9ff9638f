package dispatch

import (
	"context"
	"time"
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

// LimitedWorkers bounds the calls about tasks that are in flight. More of them than the link carries within their time limit
// would look like calls without an answer, and their repetitions would load the link further. Lease calls are not
// bounded: there is at most one for each worker, and they must not wait behind others.
type LimitedWorkers struct {
	Workers
	slots chan struct{}
}

// NewLimitedWorkers returns workers with a bound for an instance with the given bandwidth; 0 if unknown.
func NewLimitedWorkers(w Workers, linkBytesPerSecond float64) *LimitedWorkers {
	n := maxInFlight
	if linkBytesPerSecond > 0 {
		n = min(max(int(linkBytesPerSecond*linkQueue.Seconds()/callBytes), minInFlight), maxInFlight)
	}
	return &LimitedWorkers{Workers: w, slots: make(chan struct{}, n)}
}

// Start implements Workers.
func (l *LimitedWorkers) Start(ctx context.Context, m Member, c StartCall) (CallAnswer, error) {
	return l.limit(ctx, func() (CallAnswer, error) { return l.Workers.Start(ctx, m, c) })
}

// Stop implements Workers.
func (l *LimitedWorkers) Stop(ctx context.Context, m Member, c StopCall) (CallAnswer, error) {
	return l.limit(ctx, func() (CallAnswer, error) { return l.Workers.Stop(ctx, m, c) })
}

// LimitCPU implements Workers.
func (l *LimitedWorkers) LimitCPU(
	ctx context.Context, m Member, c CPULimitCall,
) (CallAnswer, error) {
	return l.limit(ctx, func() (CallAnswer, error) { return l.Workers.LimitCPU(ctx, m, c) })
}

func (l *LimitedWorkers) limit(ctx context.Context, do func() (CallAnswer, error)) (CallAnswer, error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return CallAnswer{}, &NoAnswerError{Err: ctx.Err()}
	}
	defer func() { <-l.slots }()
	return do()
}
