package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/clock"
)

// Pace is how a follower reads.
type Pace struct {
	// Wait is how long a read waits for a record. It bounds the age of the view of an idle topic.
	Wait time.Duration
	// Pause is the time between two reads of a busy topic; it bounds the number of calls. Refresh cuts it short.
	Pause time.Duration
	// IdlePause applies after a read that found nothing.
	IdlePause time.Duration
}

// Follower hands every record of a topic to a function, in order and from the newest state on.
type Follower struct {
	log     Log
	topic   string
	pace    atomic.Pointer[Pace]
	handle  func(Batch)
	logger  *slog.Logger
	fresh   atomic.Int64
	failing atomic.Bool
	// shortest is the time of the shortest read that did not wait, in nanoseconds; 0 before the first.
	shortest atomic.Int64
	// demand wakes the follower from its pause. reads is closed and replaced after each read, whether it succeeded or not.
	demand chan struct{}
	mu     sync.Mutex
	reads  chan struct{}
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
	f := &Follower{log: l, topic: topic, handle: handle, logger: logger, demand: make(chan struct{}, 1), reads: make(chan struct{})}
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

// RoundTrip returns the time in which the log answers when it is calm, and false while it is not known.
func (f *Follower) RoundTrip() (time.Duration, bool) {
	v := f.shortest.Load()
	return time.Duration(v), v > 0
}

// Refresh returns when the view holds everything that was stored before the call, when the read for it has failed, or when ctx ends. Calls
// that come together share a read.
func (f *Follower) Refresh(ctx context.Context) {
	asked := clock.Now()
	for {
		if asOf, ok := f.AsOf(); ok && asOf >= asked {
			return
		}
		f.mu.Lock()
		reads := f.reads
		f.mu.Unlock()
		select {
		case f.demand <- struct{}{}:
		default:
		}
		select {
		case <-reads:
			if f.failing.Load() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// demandSpacing bounds the reads that callers cause: 60 a second of each instance, since all instances share the rate of the log.
const demandSpacing = 15 * time.Millisecond

// pause waits until the next read is due, and reports whether it was asked for before.
func (f *Follower) pause(ctx context.Context, d time.Duration) (demanded bool) {
	first := min(d, demandSpacing)
	sleep(ctx, first)
	t := time.NewTimer(d - first)
	defer t.Stop()
	select {
	case <-f.demand:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// announce wakes those who wait for a read.
func (f *Follower) announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.reads)
	f.reads = make(chan struct{})
}

const (
	// Retry times after a failed read: soon enough to see a short outage end, few enough to stay within the read rate.
	firstReadRetry = 50 * time.Millisecond
	maxReadRetry   = 400 * time.Millisecond
)

// roundTripProbes is how many reads do not wait at first, so that the time of a round trip is known.
const roundTripProbes = 4

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, loaded := int64(0), false
	retry := firstReadRetry
	demanded := false
	probes := roundTripProbes
	for ctx.Err() == nil {
		var err error
		behind := false
		from, pace := next, f.pace.Load()
		if loaded {
			wait := pace.Wait
			if demanded || probes > 0 {
				wait = 0
				probes--
			}
			next, behind, err = f.read(ctx, from, wait)
		} else {
			next, err = f.load(ctx)
			loaded = err == nil
		}
		var trimmed *TrimmedError
		f.note(err)
		f.announce()
		demanded = false
		switch {
		case err == nil:
			retry = firstReadRetry
			switch {
			case behind:
			case next == from:
				demanded = f.pause(ctx, pace.IdlePause)
			default:
				demanded = f.pause(ctx, pace.Pause)
			}
		case errors.As(err, &trimmed):
			f.logger.Info("history lost, reading newest state", "topic", f.topic, "from", trimmed.From)
			loaded = false
		default:
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

// read returns the offset to go on from, and whether the log has more already.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (next int64, behind bool, err error) {
	asOf := clock.Now()
	p, err := f.log.Read(ctx, f.topic, from, wait)
	if err != nil {
		return from, false, err
	}
	if took := int64(clock.Now() - asOf); wait == 0 && (f.shortest.Load() == 0 || took < f.shortest.Load()) {
		f.shortest.Store(max(1, took))
	}
	next = from
	if n := len(p.Entries); n > 0 {
		next = p.Entries[n-1].Offset + 1
	} else if clock.Now()-asOf >= wait {
		// The log had nothing until the wait was over.
		asOf += wait
	}
	// A full page does not reach the end of the log, so the view is not complete yet.
	if behind = next < p.End; behind {
		asOf = -1
	}
	f.deliver(Batch{Entries: p.Entries, Next: next, AsOf: asOf})
	return next, behind, nil
}

func (f *Follower) deliver(b Batch) {
	f.handle(b)
	if b.AsOf >= 0 {
		f.fresh.Store(int64(b.AsOf))
	}
}

// note logs when reads begin to fail and when they work again. A lost history is no failure: the newest state is read instead.
func (f *Follower) note(err error) {
	var trimmed *TrimmedError
	failing := err != nil && !errors.As(err, &trimmed)
	switch was := f.failing.Swap(failing); {
	case failing && !was:
		f.logger.Warn("log reads fail", "topic", f.topic, "error", err)
	case !failing && was:
		f.logger.Info("log reads work again", "topic", f.topic)
	}
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
