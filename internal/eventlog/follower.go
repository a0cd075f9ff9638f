package eventlog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/clock"
)

// Pace is how a follower reads.
type Pace struct {
	// Wait is how long a read waits for a record. It bounds the age of the view of an idle topic.
	Wait time.Duration
	// Pause is the time between two reads of a busy topic; it bounds the number of calls.
	Pause time.Duration
}

// Follower hands every record of a topic to a function, in order and from the newest state on.
type Follower struct {
	log     Log
	topic   string
	pace    atomic.Pointer[Pace]
	handle  func(Batch)
	logger  *slog.Logger
	fresh   atomic.Int64
	failing bool
}

// Batch is what one read found. Reset tells that Entries hold the newest record of each key: keys that are missing are gone.
type Batch struct {
	Entries []Entry
	Reset   bool
	// Next is the offset behind the last record that was read.
	Next int64
	// AsOf is the time at which the read was sent: the view holds everything that was acknowledged before.
	AsOf time.Duration
}

// NewFollower returns a follower; Run starts it. handle is called from one goroutine.
func NewFollower(l Log, topic string, p Pace, logger *slog.Logger, handle func(Batch)) *Follower {
	f := &Follower{log: l, topic: topic, handle: handle, logger: logger}
	f.pace.Store(&p)
	f.fresh.Store(int64(-1))
	return f
}

// SetPace changes how the follower reads from the next read on.
func (f *Follower) SetPace(p Pace) { f.pace.Store(&p) }

// AsOf returns the time up to which the view is complete, and false before the first answer.
func (f *Follower) AsOf() (time.Duration, bool) {
	v := f.fresh.Load()
	return time.Duration(v), v >= 0
}

const (
	// Retry times after a failed read: soon enough to see a short outage end, few enough to stay within the read rate.
	firstReadRetry = 50 * time.Millisecond
	maxReadRetry   = 400 * time.Millisecond
)

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, loaded := int64(0), false
	retry := firstReadRetry
	for ctx.Err() == nil {
		var err error
		if loaded {
			next, err = f.read(ctx, next)
		} else {
			next, err = f.load(ctx)
			loaded = err == nil
		}
		var trimmed *TrimmedError
		switch {
		case err == nil:
			f.note(nil)
			retry = firstReadRetry
			sleep(ctx, f.pace.Load().Pause)
		case errors.As(err, &trimmed):
			f.logger.Info("history lost, reading newest state", "topic", f.topic, "from", trimmed.From)
			loaded = false
		default:
			f.note(err)
			sleep(ctx, retry)
			retry = min(2*retry, maxReadRetry)
		}
	}
}

func (f *Follower) load(ctx context.Context) (int64, error) {
	asOf := clock.Now()
	p, err := f.log.Newest(ctx, f.topic)
	if err != nil {
		return 0, err
	}
	f.deliver(Batch{Entries: p.Entries, Reset: true, Next: p.End, AsOf: asOf})
	return p.End, nil
}

func (f *Follower) read(ctx context.Context, from int64) (int64, error) {
	asOf := clock.Now()
	p, err := f.log.Read(ctx, f.topic, from, f.pace.Load().Wait)
	if err != nil {
		return from, err
	}
	next := from
	if n := len(p.Entries); n > 0 {
		next = p.Entries[n-1].Offset + 1
	}
	// A full page does not reach the end of the log, so the view is not complete yet.
	if next < p.End {
		asOf = -1
	}
	f.deliver(Batch{Entries: p.Entries, Next: next, AsOf: asOf})
	return next, nil
}

func (f *Follower) deliver(b Batch) {
	f.handle(b)
	if b.AsOf >= 0 {
		f.fresh.Store(int64(b.AsOf))
	}
}

func (f *Follower) note(err error) {
	switch {
	case err != nil && !f.failing:
		f.logger.Warn("log reads fail", "topic", f.topic, "error", err)
	case err == nil && f.failing:
		f.logger.Info("log reads work again", "topic", f.topic)
	}
	f.failing = err != nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
