package eventlog

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
)

// Batcher combines the entries of concurrent Append calls into few appends to the log. A retried batch may be stored
// more than once, so readers must tolerate repeated entries.
type Batcher struct {
	log      Log
	topic    string
	logger   *slog.Logger
	queue    chan *waiter
	inFlight chan struct{}
}

// waiter is an entry whose Append call waits for the outcome.
type waiter struct {
	entry Entry
	done  chan error
}

const (
	// maxQueuedEntries limits the Append calls that wait for a batch.
	maxQueuedEntries = 512
	// maxBatchEntries limits the size of one append; entries are at most a few kilobytes each.
	maxBatchEntries = 200
	// maxConcurrentAppends is the number of appends in flight, so that a lost answer does not block all others.
	maxConcurrentAppends = 2
	// maxAppendAttempts is the number of times that a batch is sent. If no attempt succeeded and the outcome of one is
	// unknown, the callers get *UnknownError and must repeat their entries.
	maxAppendAttempts = 3
	// appendRetryDelay is the time between two attempts.
	appendRetryDelay = 60 * time.Millisecond
)

// QueueFullError reports that Limit entries already wait for an append. The entry was not stored.
type QueueFullError struct{ Limit int }

// Error implements error.
func (e *QueueFullError) Error() string { return "too many entries wait for the log" }

// NewBatcher returns a batcher for one topic. Entries are appended while Run is running.
func NewBatcher(log Log, topic string, logger *slog.Logger) *Batcher {
	return &Batcher{log: log, topic: topic, logger: logger, queue: make(chan *waiter, maxQueuedEntries),
		inFlight: make(chan struct{}, maxConcurrentAppends)}
}

// Append stores an entry. It returns *QueueFullError or *RefusedError if the entry was not stored and will not be, and
// *UnknownError if it may have been stored or may be later.
func (b *Batcher) Append(ctx context.Context, e Entry) error {
	w := &waiter{entry: e, done: make(chan error, 1)}
	select {
	case b.queue <- w:
	default:
		return &QueueFullError{Limit: maxQueuedEntries}
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return &UnknownError{Op: "append", Err: ctx.Err()}
	}
}

// Run appends the queued entries until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b.inFlight <- struct{}{}:
		}
		batch := b.collect(ctx)
		if batch == nil {
			return
		}
		go func() {
			defer func() { <-b.inFlight }()
			err := b.store(ctx, batch)
			for _, w := range batch {
				w.done <- err
			}
		}()
	}
}

// collect waits for the first entry and returns it with the others that are queued; it returns nil when ctx ends.
func (b *Batcher) collect(ctx context.Context) []*waiter {
	var batch []*waiter
	select {
	case <-ctx.Done():
		return nil
	case w := <-b.queue:
		batch = append(batch, w)
	}
	for len(batch) < maxBatchEntries {
		select {
		case w := <-b.queue:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// store appends a batch, in up to maxAppendAttempts attempts.
func (b *Batcher) store(ctx context.Context, batch []*waiter) error {
	entries := make([]Entry, len(batch))
	for i, w := range batch {
		entries[i] = w.entry
	}
	// After an attempt with an unknown outcome, a later refusal does not prove that nothing was stored.
	var unknownErr *UnknownError
	var last error
	for attempt := range maxAppendAttempts {
		if attempt > 0 {
			sleep(ctx, appendRetryDelay)
		}
		_, err := b.log.Append(ctx, b.topic, nil, entries)
		if err == nil {
			return nil
		}
		b.logger.Info("append attempt failed", "topic", b.topic, "entries", len(entries), "try", attempt, "error", err)
		last = err
		errors.As(err, &unknownErr)
	}
	if unknownErr != nil {
		return unknownErr
	}
	return last
}
