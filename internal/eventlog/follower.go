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

// PollIntervals define how long a read of a follower waits and how often it reads.
type PollIntervals struct {
	// Wait is how long one read waits for a record. It limits the age of the view of an idle topic.
	Wait time.Duration
	// Pause is the time between two reads of a busy topic; it limits the rate of calls. Refresh ends it early.
	Pause time.Duration
	// IdlePause replaces Pause after a read that returned no record.
	IdlePause time.Duration
}

// Follower delivers the newest record of each key of a topic to a function, and then every later record in order.
type Follower struct {
	log       Log
	topic     string
	intervals atomic.Pointer[PollIntervals]
	handle    func(Batch)
	logger    *slog.Logger
	// asOf is the time up to which the view is complete, in nanoseconds of clock.Now; -1 before the first read.
	asOf    atomic.Int64
	failing atomic.Bool
	// minRoundTrip is the duration of the shortest read that did not wait, in nanoseconds; 0 before the first.
	minRoundTrip atomic.Int64
	// refresh ends the pause before the next read. readDone is closed and replaced after each read, successful or not.
	refresh  chan struct{}
	mu       sync.Mutex
	readDone chan struct{}
}

// Batch is the result of one read. Reset reports that Entries hold the newest record of each key of the topic: a key
// without an entry has been removed.
type Batch struct {
	Entries []Entry
	Reset   bool
	// Next is the offset after the last record that was read.
	Next int64
	// AsOf is the time up to which the view is complete: it includes every record that was acknowledged before. It is
	// negative if the log has more records than the read returned.
	AsOf time.Duration
}

// NewFollower returns a follower of one topic; Run starts it. handle is called from the goroutine of Run, once for each
// successful read, also if the read returned no record.
func NewFollower(l Log, topic string, p PollIntervals, logger *slog.Logger, handle func(Batch)) *Follower {
	f := &Follower{log: l, topic: topic, handle: handle, logger: logger, refresh: make(chan struct{}, 1),
		readDone: make(chan struct{})}
	f.intervals.Store(&p)
	f.asOf.Store(int64(-1))
	return f
}

// SetPollIntervals replaces the intervals, from the next read on.
func (f *Follower) SetPollIntervals(p PollIntervals) { f.intervals.Store(&p) }

// AsOf returns the time up to which the view is complete, and false before the first successful read.
func (f *Follower) AsOf() (time.Duration, bool) {
	v := f.asOf.Load()
	return time.Duration(v), v >= 0
}

// RoundTrip returns the duration of the shortest read that did not wait, an estimate of the log's response time without
// load. It returns false before the first such read.
func (f *Follower) RoundTrip() (time.Duration, bool) {
	v := f.minRoundTrip.Load()
	return time.Duration(v), v > 0
}

// Refresh causes a read and returns when the view includes every record stored before the call, when the read has
// failed, or when ctx ends. Concurrent calls share a read.
func (f *Follower) Refresh(ctx context.Context) {
	requestedAt := clock.Now()
	for {
		if asOf, ok := f.AsOf(); ok && asOf >= requestedAt {
			return
		}
		f.mu.Lock()
		readDone := f.readDone
		f.mu.Unlock()
		select {
		case f.refresh <- struct{}{}:
		default:
		}
		select {
		case <-readDone:
			if f.failing.Load() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// minRefreshInterval limits the reads that Refresh causes to about 60 a second for each instance, because all instances
// share the read rate of the log.
const minRefreshInterval = 15 * time.Millisecond

// pause waits until the next read is due, for at most d, and reports whether Refresh has asked for the read.
func (f *Follower) pause(ctx context.Context, d time.Duration) (requested bool) {
	first := min(d, minRefreshInterval)
	sleep(ctx, first)
	if d <= first {
		// A timer that is due at once would be chosen as often as a request.
		select {
		case <-f.refresh:
			return true
		default:
			return false
		}
	}
	t := time.NewTimer(d - first)
	defer t.Stop()
	select {
	case <-f.refresh:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// notifyReadDone wakes the Refresh calls that wait for a read.
func (f *Follower) notifyReadDone() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.readDone)
	f.readDone = make(chan struct{})
}

const (
	// The backoff after failed reads is short enough to notice the end of a brief outage soon, and long enough to stay
	// within the read rate of the log.
	minReadBackoff = 50 * time.Millisecond
	maxReadBackoff = 400 * time.Millisecond
)

// roundTripProbes is the number of first reads that do not wait, so that the round-trip time is measured.
const roundTripProbes = 4

// Run reads the topic and delivers its records until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, loaded := int64(0), false
	backoff := time.Duration(0)
	requested := false
	probes := roundTripProbes
	for ctx.Err() == nil {
		var err error
		behind := false
		from, intervals := next, f.intervals.Load()
		if loaded {
			wait := intervals.Wait
			switch {
			case f.failing.Load():
				// The read tells at once when the log is back.
				wait = 0
			case requested || probes > 0:
				wait = 0
				probes--
			}
			next, behind, err = f.read(ctx, from, wait)
		} else {
			next, err = f.load(ctx)
			loaded = err == nil
		}
		var trimmed *TrimmedError
		var refused *RefusedError
		f.setFailing(err)
		f.notifyReadDone()
		requested = false
		switch {
		case err == nil:
			backoff = 0
			switch {
			case behind:
			case next == from:
				requested = f.pause(ctx, intervals.IdlePause)
			default:
				requested = f.pause(ctx, intervals.Pause)
			}
		case errors.As(err, &trimmed):
			f.logger.Info("the log has trimmed the next records, loading the newest record of each key",
				"topic", f.topic, "from", trimmed.From)
			loaded = false
		case errors.As(err, &refused) && refused.RateLimited:
			backoff = min(max(2*backoff, minReadBackoff), maxReadBackoff)
			sleep(ctx, backoff)
		default:
			// The first read after a failed one follows at once, because appends wait for it.
			sleep(ctx, backoff)
			backoff = min(max(2*backoff, minReadBackoff), maxReadBackoff)
		}
	}
}

// load delivers the newest record of each key and returns the offset from which reads continue.
func (f *Follower) load(ctx context.Context) (int64, error) {
	asOf := clock.Now()
	p, err := f.log.Newest(ctx, f.topic)
	if err != nil {
		return 0, err
	}
	f.deliver(Batch{Entries: p.Entries, Reset: true, Next: p.End, AsOf: asOf})
	return p.End, nil
}

// read delivers the records from an offset on. It returns the offset of the next read, and whether the log already has
// more records.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (next int64, behind bool, err error) {
	asOf := clock.Now()
	p, err := f.log.Read(ctx, f.topic, from, wait)
	if err != nil {
		return from, false, err
	}
	if took := int64(clock.Now() - asOf); wait == 0 && (f.minRoundTrip.Load() == 0 || took < f.minRoundTrip.Load()) {
		f.minRoundTrip.Store(max(1, took))
	}
	next = from
	if n := len(p.Entries); n > 0 {
		next = p.Entries[n-1].Offset + 1
	} else if clock.Now()-asOf >= wait {
		// No record was stored until the wait was over.
		asOf += wait
	}
	// The page does not reach the end of the log, so the view is not complete yet.
	if behind = next < p.End; behind {
		asOf = -1
	}
	f.deliver(Batch{Entries: p.Entries, Next: next, AsOf: asOf})
	return next, behind, nil
}

func (f *Follower) deliver(b Batch) {
	f.handle(b)
	if b.AsOf >= 0 {
		f.asOf.Store(int64(b.AsOf))
	}
}

// setFailing records whether reads fail, and logs each change. A TrimmedError does not count as a failure: the newest
// record of each key is loaded instead.
func (f *Follower) setFailing(err error) {
	var trimmed *TrimmedError
	failing := err != nil && !errors.As(err, &trimmed)
	switch was := f.failing.Swap(failing); {
	case failing && !was:
		f.logger.Warn("log reads fail", "topic", f.topic, "error", err)
	case !failing && was:
		f.logger.Info("log reads succeed again", "topic", f.topic)
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
