package dispatch

import (
	"context"
	"sync"
	"time"
)

const (
	// callBytes is what a call about a task moves over the link, with the headers and the specification.
	callBytes = 1500
	// linkQueue is how long the calls about tasks that are in flight may occupy the link, and how long a call counts as
	// in flight. One to a worker that does not answer occupies the link no longer.
	linkQueue = 80 * time.Millisecond
	// Limits of the number of calls about tasks in flight.
	minInFlight = 8
	maxInFlight = 256
	// maxTurnWait limits the wait for a turn. A call that was decided longer ago may be out of date.
	maxTurnWait = 500 * time.Millisecond
)

// Turns bounds how many calls begin within an interval, so that the link carries each within its time limit. A call that
// waits for its turn has not been sent.
type Turns struct {
	slots chan struct{}
	// held is how long a call keeps its slot at most.
	held time.Duration
}

// NewTurns returns turns for n calls at the same time, each of which counts for at most held.
func NewTurns(n int, held time.Duration) *Turns {
	return &Turns{slots: make(chan struct{}, n), held: held}
}

// Wait returns the function that ends the call when it is the caller's turn. It returns *NotSentError if ctx ends or the
// wait takes too long.
func (t *Turns) Wait(ctx context.Context) (end func(), err error) {
	select {
	case t.slots <- struct{}{}:
	default:
		timer := time.NewTimer(maxTurnWait)
		defer timer.Stop()
		select {
		case t.slots <- struct{}{}:
		case <-timer.C:
			return nil, &NotSentError{}
		case <-ctx.Done():
			return nil, &NotSentError{}
		}
	}
	var once sync.Once
	release := func() { once.Do(func() { <-t.slots }) }
	timer := time.AfterFunc(t.held, release)
	return func() { timer.Stop(); release() }, nil
}

// NotSentError reports a call that was not sent, because too many others were in flight. It has no effect.
type NotSentError struct{}

// Error implements error.
func (e *NotSentError) Error() string { return "call was not sent: too many others are in flight" }

// LimitedWorkers bounds the calls about tasks that are in flight. More of them than the link carries within their time
// limit would look like calls without an answer, and their repetitions would load the link further. Lease calls are not
// bounded: there is at most one for each worker, and they must not wait behind others.
type LimitedWorkers struct {
	Workers
	turns *Turns
}

// NewLimitedWorkers returns workers with a bound for an instance with the given bandwidth; 0 if unknown. Calls about
// tasks return *NotSentError too.
func NewLimitedWorkers(w Workers, linkBytesPerSecond float64) *LimitedWorkers {
	n := maxInFlight
	if linkBytesPerSecond > 0 {
		n = min(max(int(linkBytesPerSecond*linkQueue.Seconds()/callBytes), minInFlight), maxInFlight)
	}
	return &LimitedWorkers{Workers: w, turns: NewTurns(n, linkQueue)}
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
func (l *LimitedWorkers) LimitCPU(ctx context.Context, m Member, c CPULimitCall) (CallAnswer, error) {
	return l.limit(ctx, func() (CallAnswer, error) { return l.Workers.LimitCPU(ctx, m, c) })
}

func (l *LimitedWorkers) limit(ctx context.Context, do func() (CallAnswer, error)) (CallAnswer, error) {
	end, err := l.turns.Wait(ctx)
	if err != nil {
		return CallAnswer{}, err
	}
	defer end()
	return do()
}
