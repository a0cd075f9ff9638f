package dispatch

import (
	"context"
	"sync"
	"time"
)

const (
	// callBytes is what a call about a task moves over the link, with the headers and the specification.
	callBytes = 1500
	// linkQueue is how long the calls about tasks that are in flight may occupy the link.
	linkQueue = 80 * time.Millisecond
	// Limits of the number of calls about tasks in flight, to all workers and to one of them. One that does not answer
	// must not take the turns of the others.
	minInFlight       = 8
	maxInFlight       = 256
	maxWorkerInFlight = 2
	// maxTurnWait limits the wait for a turn. A call that was decided longer ago may be out of date.
	maxTurnWait = 500 * time.Millisecond
)

// Turns bounds the calls in flight. A call that waits for its turn has not been sent.
type Turns chan struct{}

// Wait waits for a turn, which End ends. It returns *NotSentError if ctx ends or the wait takes too long.
func (t Turns) Wait(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(maxTurnWait)
	defer timer.Stop()
	select {
	case t <- struct{}{}:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return &NotSentError{}
}

// End ends a turn.
func (t Turns) End() { <-t }

// NotSentError reports a call that was not sent, because too many others were in flight or because it was held back for
// too long. It has no effect.
type NotSentError struct {
	// NoConnection reports that no connection to the incarnation of the worker could be told from others.
	NoConnection bool
}

// Error implements error.
func (e *NotSentError) Error() string {
	if e.NoConnection {
		return "call was not sent: no connection is known to lead to the incarnation of the worker"
	}
	return "call was not sent in time"
}

// LimitedWorkers bounds the calls about tasks that are in flight. More of them than the link carries within their time
// limit would look like calls without an answer, and their repetitions would load the link further. Lease calls are not
// bounded: there is at most one for each worker, and they must not wait behind others.
type LimitedWorkers struct {
	Workers
	turns   Turns
	mu      sync.Mutex
	workers map[string]*workerTurns
}

// workerTurns are the turns of the calls to one worker, of which users are waiting or in flight.
type workerTurns struct {
	turns Turns
	users int
}

// NewLimitedWorkers returns workers with a bound for an instance with the given bandwidth; 0 if unknown. Calls that the
// guard of their context forbids are not made. Calls about tasks return *NotSentError too.
func NewLimitedWorkers(w Workers, linkBytesPerSecond float64) *LimitedWorkers {
	n := maxInFlight
	if linkBytesPerSecond > 0 {
		n = min(max(int(linkBytesPerSecond*linkQueue.Seconds()/callBytes), minInFlight), maxInFlight)
	}
	return &LimitedWorkers{Workers: w, turns: make(Turns, n), workers: map[string]*workerTurns{}}
}

// Start implements Workers.
func (l *LimitedWorkers) Start(ctx context.Context, m Member, c StartCall) (CallAnswer, error) {
	return l.limit(ctx, m, func() (CallAnswer, error) { return l.Workers.Start(ctx, m, c) })
}

// Stop implements Workers.
func (l *LimitedWorkers) Stop(ctx context.Context, m Member, c StopCall) (CallAnswer, error) {
	return l.limit(ctx, m, func() (CallAnswer, error) { return l.Workers.Stop(ctx, m, c) })
}

// LimitCPU implements Workers.
func (l *LimitedWorkers) LimitCPU(ctx context.Context, m Member, c CPULimitCall) (CallAnswer, error) {
	return l.limit(ctx, m, func() (CallAnswer, error) { return l.Workers.LimitCPU(ctx, m, c) })
}

// Renew implements Workers.
func (l *LimitedWorkers) Renew(ctx context.Context, m Member, c LeaseCall) (LeaseAnswer, error) {
	if !MayCall(ctx) {
		return LeaseAnswer{}, &NoAnswerError{Err: context.DeadlineExceeded}
	}
	return l.Workers.Renew(ctx, m, c)
}

func (l *LimitedWorkers) limit(ctx context.Context, m Member, do func() (CallAnswer, error)) (CallAnswer, error) {
	w := l.worker(m.ID)
	defer l.leave(m.ID, w)
	if err := w.turns.Wait(ctx); err != nil {
		return CallAnswer{}, err
	}
	defer w.turns.End()
	if err := l.turns.Wait(ctx); err != nil {
		return CallAnswer{}, err
	}
	defer l.turns.End()
	if !MayCall(ctx) {
		return CallAnswer{}, &NotSentError{}
	}
	return do()
}

func (l *LimitedWorkers) worker(id string) *workerTurns {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workers[id]
	if w == nil {
		w = &workerTurns{turns: make(Turns, maxWorkerInFlight)}
		l.workers[id] = w
	}
	w.users++
	return w
}

func (l *LimitedWorkers) leave(id string, w *workerTurns) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.users--; w.users == 0 {
		delete(l.workers, id)
	}
}
