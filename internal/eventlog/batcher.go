package eventlog

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/storehealth"
)

// Batcher combines the entries of concurrent Append calls into few appends to the log. A retried batch may be stored
// more than once, so readers must tolerate repeated entries.
type Batcher struct {
	log    *Monitor
	limits Limits
	topic  string
	logger *slog.Logger
	// wake makes Run look at the queue.
	wake chan struct{}

	mu     sync.Mutex
	queue  []*waiter
	closed bool
	// inFlight holds the start time of each batch that is being stored.
	inFlight map[*batch]time.Time
}

type batch struct{ waiters []*waiter }

// waiter is an entry whose Append call waits for the outcome. sent and gone require the mutex of the batcher.
type waiter struct {
	entry Entry
	// deadline is the zero time if the call may wait without limit.
	deadline time.Time
	done     chan error
	// sent is whether the entry may be stored because of an attempt. gone is whether the call has returned.
	sent, gone bool
}

// timeLeft returns how long the call still waits.
func (w *waiter) timeLeft() time.Duration {
	if w.deadline.IsZero() {
		return math.MaxInt64
	}
	return time.Until(w.deadline)
}

const (
	// maxQueuedEntries limits the Append calls that wait for a batch.
	maxQueuedEntries = 512
	// maxBatchEntries limits the entries of one append.
	maxBatchEntries = 200
	// maxConcurrentAppends is the number of appends in flight, so that a lost answer does not block all others.
	maxConcurrentAppends = 2
	// maxAppendAttempts is the number of times that a batch is sent. If no attempt succeeded and the outcome of one is
	// unknown, the callers get *UnknownError and must repeat their entries.
	maxAppendAttempts = 3
	// appendRetryDelay is the time between two attempts.
	appendRetryDelay = 60 * time.Millisecond
	// An answer counts as lost after lostAnswerFactor times the expected duration of an append, but not before
	// minLostAnswerAge. A second append is then sent although the log is slow.
	lostAnswerFactor = 3
	minLostAnswerAge = 300 * time.Millisecond
	// maxNextAppend limits the expected duration of an append that is sent after one of this instance: the appends of
	// others that the earlier one waited for are stored by then.
	maxNextAppend = 400 * time.Millisecond
	// recheckInterval is how often the queue is looked at while appends are in flight.
	recheckInterval = 50 * time.Millisecond
	// doubtInterval applies while a read has failed and the next one is awaited, which takes 10 to 20 ms.
	doubtInterval = 10 * time.Millisecond
)

// QueueFullError reports that Limit entries already wait for an append. The entry was not stored.
type QueueFullError struct{ Limit int }

// Error implements error.
func (e *QueueFullError) Error() string { return "too many entries wait for the log" }

// UnsentError reports an entry that was not sent, and never will be, because the log would not have stored it in time or
// the batcher has ended.
type UnsentError struct {
	Health storehealth.Assessment
	// Stopped reports that the batcher has ended, which says nothing about the log.
	Stopped bool
}

// Error implements error.
func (e *UnsentError) Error() string {
	if e.Stopped {
		return "the instance stops and sends nothing more to the log"
	}
	return "the log cannot store the entry in time: it is " + e.Health.State.String() + ", an append takes " +
		e.Health.Append.String()
}

// NewBatcher returns a batcher for one topic of a log with limits. Entries are appended while Run is running.
func NewBatcher(log *Monitor, topic string, limits Limits, logger *slog.Logger) *Batcher {
	return &Batcher{log: log, topic: topic, limits: limits, logger: logger, wake: make(chan struct{}, 1), inFlight: map[*batch]time.Time{}}
}

// Append stores an entry. It returns *QueueFullError, *UnsentError, *RefusedError or *RejectedError if the entry was not
// stored and will not be, and *UnknownError if it may have been stored or may be later.
func (b *Batcher) Append(ctx context.Context, e Entry) error {
	if err := b.limits.Check(e); err != nil {
		return err
	}
	w := &waiter{entry: e, done: make(chan error, 1)}
	w.deadline, _ = ctx.Deadline()
	if err := b.enqueue(ctx, w); err != nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w.gone = true
	select {
	case err := <-w.done:
		return err
	default:
	}
	if !w.sent {
		return &UnsentError{Health: b.log.Health()}
	}
	return &UnknownError{Op: "append", Err: ctx.Err()}
}

func (b *Batcher) enqueue(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.log.Health()
	switch {
	case b.closed:
		return &UnsentError{Health: h, Stopped: true}
	case ctx.Err() != nil || h.Unreachable() || w.timeLeft() < b.expectedTime(h):
		return &UnsentError{Health: h}
	case len(b.queue) >= maxQueuedEntries:
		return &QueueFullError{Limit: maxQueuedEntries}
	}
	b.queue = append(b.queue, w)
	b.notify()
	return nil
}

// expectedTime returns how long an entry that arrives now takes. It requires b.mu.
func (b *Batcher) expectedTime(h storehealth.Assessment) time.Duration {
	if !h.Slowed() || len(b.inFlight) == 0 {
		return h.Append
	}
	var rest time.Duration
	for _, began := range b.inFlight {
		rest = max(rest, h.Append-time.Since(began))
	}
	return rest + time.Duration(1+len(b.queue)/maxBatchEntries)*min(h.Append, maxNextAppend)
}

func (b *Batcher) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run appends the queued entries until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	t := time.NewTicker(recheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			b.close()
			return
		case <-b.wake:
		case <-t.C:
		}
		if d := b.dispatch(ctx); d > 0 {
			t.Reset(d)
		} else {
			t.Stop()
		}
	}
}

// close refuses what is queued and all later entries.
func (b *Batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	h := b.log.Health()
	for _, w := range b.queue {
		w.done <- &UnsentError{Health: h, Stopped: true}
	}
	b.queue = nil
}

// dispatch sends what may be sent now. It returns after which time it is called again, 0 if no entry is queued.
func (b *Batcher) dispatch(ctx context.Context) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		h := b.log.Health()
		b.dropLate(h)
		switch {
		case len(b.queue) == 0:
			return 0
		case h.Doubtful:
			return doubtInterval
		case !b.maySend(h):
			return recheckInterval
		}
		n := b.nextBatch()
		next := &batch{waiters: append([]*waiter(nil), b.queue[:n]...)}
		b.queue = b.queue[n:]
		b.inFlight[next] = time.Now()
		go func() {
			b.store(ctx, next)
			b.mu.Lock()
			delete(b.inFlight, next)
			b.mu.Unlock()
			b.notify()
		}()
	}
}

// nextBatch returns how many queued entries the next append takes. It requires b.mu.
func (b *Batcher) nextBatch() int {
	entries := make([]Entry, min(len(b.queue), maxBatchEntries))
	for i := range entries {
		entries[i] = b.queue[i].entry
	}
	return b.limits.Fit(entries)
}

// dropLate refuses the queued entries that cannot be stored in time, and forgets those whose calls have returned. It
// requires b.mu.
func (b *Batcher) dropLate(h storehealth.Assessment) {
	kept := b.queue[:0]
	for _, w := range b.queue {
		switch {
		case w.gone:
		case h.Unreachable() || w.timeLeft() < h.Append:
			w.done <- &UnsentError{Health: h}
		default:
			kept = append(kept, w)
		}
	}
	clear(b.queue[len(kept):])
	b.queue = kept
}

// maySend reports whether another append may be sent. It requires b.mu.
func (b *Batcher) maySend(h storehealth.Assessment) bool {
	if len(b.inFlight) == 0 || len(b.inFlight) >= maxConcurrentAppends || !h.OneAtATime {
		return len(b.inFlight) < maxConcurrentAppends
	}
	lost := max(minLostAnswerAge, lostAnswerFactor*h.Append)
	for _, began := range b.inFlight {
		if time.Since(began) < lost {
			return false
		}
	}
	return true
}

// store appends a batch, in up to maxAppendAttempts attempts, and answers its calls.
func (b *Batcher) store(ctx context.Context, current *batch) {
	// After an attempt with an unknown outcome, a later refusal does not prove that nothing was stored.
	var unknownErr *UnknownError
	var last error
	for attempt := range maxAppendAttempts {
		if attempt > 0 {
			sleep(ctx, appendRetryDelay)
		}
		entries := b.prepare(current, unknownErr != nil)
		if len(entries) == 0 {
			break
		}
		sent := time.Now()
		_, err := b.log.Append(ctx, b.topic, nil, entries)
		if err == nil {
			unknownErr, last = nil, nil
			break
		}
		b.logger.Info("append attempt failed", "topic", b.topic, "entries", len(entries), "try", attempt, "error", err)
		last = err
		errors.As(err, &unknownErr)
		if unknownErr == nil {
			b.markUnsent(current)
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			if n := len(current.waiters); n > 1 && unknownErr == nil {
				// One of the entries is at fault, and the others must not fail with it.
				b.store(ctx, &batch{waiters: current.waiters[:n/2]})
				b.store(ctx, &batch{waiters: current.waiters[n/2:]})
				return
			}
			break
		}
		if b.queueFull(err, time.Since(sent)) {
			last = &UnsentError{Health: b.log.Health()}
			break
		}
	}
	if unknownErr != nil {
		last = unknownErr
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range current.waiters {
		w.done <- last
	}
}

// queueFull reports whether a slow log has refused an append that took d. What waits in its queue takes longer than the
// callers wait, and each further attempt lengthens the queue once there is room.
func (b *Batcher) queueFull(err error, d time.Duration) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Err == nil &&
		(d >= storehealth.SlowAfter || b.log.Health().Slowed())
}

// prepare returns the entries for the next attempt and notes that they are sent. It returns none if the attempt is not
// worth it. The calls of entries that cannot be stored in time are answered, unless they may be stored already.
func (b *Batcher) prepare(current *batch, unknown bool) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.log.Health()
	if unknown && (h.Unreachable() || h.Slowed()) {
		// The entries are read back if they were stored. Another append would only lengthen the log's queue.
		return nil
	}
	kept := current.waiters[:0]
	var entries []Entry
	for _, w := range current.waiters {
		switch {
		case w.gone:
			continue
		case !w.sent && (h.Unreachable() || w.timeLeft() < h.Append):
			w.done <- &UnsentError{Health: h}
			continue
		}
		w.sent = true
		kept = append(kept, w)
		entries = append(entries, w.entry)
	}
	current.waiters = kept
	return entries
}

// markUnsent notes that no attempt has stored the entries of a batch, and none will.
func (b *Batcher) markUnsent(current *batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range current.waiters {
		w.sent = false
	}
}
