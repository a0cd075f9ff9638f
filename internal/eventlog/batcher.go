package eventlog

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
)

// Batcher appends entries of many callers together. The entries must be harmless when they are stored twice.
type Batcher struct {
	log    Log
	topic  string
	logger *slog.Logger
	queue  chan *waiter
	slots  chan struct{}
}

type waiter struct {
	entry Entry
	done  chan error
}

const (
	// batchQueue bounds the callers that wait for an append.
	batchQueue = 512
	// batchEntries bounds one append: entries are at most a few kilobytes.
	batchEntries = 200
	// appendsInFlight lets appends go on while one waits for an answer that was lost.
	appendsInFlight = 2
	// appendTries is how often a batch is sent; the callers of a batch whose last try has no answer must ask again.
	appendTries = 3
	appendPause = 60 * time.Millisecond
)

// QueueFullError reports that too many callers wait for an append. Nothing was stored.
type QueueFullError struct{ Limit int }

// Error implements error.
func (e *QueueFullError) Error() string { return "too many entries wait for the log" }

// NewBatcher returns a batcher; Run starts it.
func NewBatcher(l Log, topic string, logger *slog.Logger) *Batcher {
	return &Batcher{log: l, topic: topic, logger: logger, queue: make(chan *waiter, batchQueue), slots: make(chan struct{}, appendsInFlight)}
}

// Append returns when the entry is stored. It returns *QueueFullError or *RefusedError if it is not stored, and *UnknownError if it may be,
// now or later.
func (b *Batcher) Append(ctx context.Context, e Entry) error {
	w := &waiter{entry: e, done: make(chan error, 1)}
	select {
	case b.queue <- w:
	default:
		return &QueueFullError{Limit: batchQueue}
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return &UnknownError{Op: "append", Err: ctx.Err()}
	}
}

// Run appends until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b.slots <- struct{}{}:
		}
		batch := b.collect(ctx)
		if batch == nil {
			return
		}
		go func() {
			defer func() { <-b.slots }()
			err := b.store(ctx, batch)
			for _, w := range batch {
				w.done <- err
			}
		}()
	}
}

func (b *Batcher) collect(ctx context.Context) []*waiter {
	var batch []*waiter
	select {
	case <-ctx.Done():
		return nil
	case w := <-b.queue:
		batch = append(batch, w)
	}
	for len(batch) < batchEntries {
		select {
		case w := <-b.queue:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

func (b *Batcher) store(ctx context.Context, batch []*waiter) error {
	entries := make([]Entry, len(batch))
	for i, w := range batch {
		entries[i] = w.entry
	}
	// Once a try had no answer, a later refusal does not tell that nothing is stored.
	var uncertain *UnknownError
	var last error
	for try := range appendTries {
		if try > 0 {
			sleep(ctx, appendPause)
		}
		_, err := b.log.Append(ctx, b.topic, nil, entries)
		if err == nil {
			return nil
		}
		b.logger.Info("append failed", "topic", b.topic, "entries", len(entries), "try", try, "error", err)
		last = err
		errors.As(err, &uncertain)
	}
	if uncertain != nil {
		return uncertain
	}
	return last
}
