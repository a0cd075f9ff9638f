// Package storehealth estimates from an instance's own calls whether the log can store an entry now, and how long that
// takes. It has no clock, network or goroutine.
//
// The load it handles: appends to one partition are made one at a time, so 36 instances with 40 entries a second cannot
// all append while an append takes 264 ms instead of 4 ms. The log may also not answer, refuse, or reset every call for
// some seconds, or lose a third of the responses to appends that took effect. An entry must then be refused before it is
// sent, because its outcome is unknown afterwards; lost responses alone are no reason to refuse.
package storehealth

import (
	"log/slog"
	"time"
)

// Operation is the kind of a call.
type Operation uint8

// The operations.
const (
	Append Operation = iota
	Read
)

// Outcome is how a call ended.
type Outcome uint8

// The outcomes. NoAnswer is a call whose time limit passed, Reset one whose connection failed. Limited is a read that the log
// has refused because of the rate of reads, which says nothing about appends.
const (
	Done Outcome = iota
	NoAnswer
	Refused
	Reset
	Limited
)

// Call is a call that has ended. Times count from any origin; Wait is how long a read may wait for a record.
type Call struct {
	Operation    Operation
	Outcome      Outcome
	Began, Ended time.Duration
	Wait         time.Duration
}

// State is what an instance can expect of the log.
type State uint8

// The states. In Silent and Resetting, an append would most likely end without an answer.
const (
	Usable State = iota
	Slow
	Silent
	Refusing
	Resetting
)

// States are all states.
var States = [...]State{Usable, Slow, Silent, Refusing, Resetting}

// String returns the name for log lines and metrics.
func (s State) String() string {
	return [...]string{"usable", "slow", "silent", "refusing", "resetting"}[s]
}

// LogValue implements slog.LogValuer.
func (s State) LogValue() slog.Value { return slog.StringValue(s.String()) }

const (
	// SlowAfter is the time of an append from which the log counts as slow. Usual appends take 10 to 20 ms.
	SlowAfter = 60 * time.Millisecond
	// silentAfter is the time without any answer, and with an overdue call, from which the log counts as silent. A log that
	// is 66 times slower than usual still answers a read 0.3 s after its wait.
	silentAfter = 700 * time.Millisecond
	// readLate is how long a read must be over its wait for the log to count as silent, if a read is in progress: an append
	// without an answer may be in the log's queue, and the answer to the read may not be due yet.
	readLate = 400 * time.Millisecond
	// probeAfter is how long a failure counts as evidence if no read is in progress. The reads of followers are at most 0.4 s
	// apart; without them, single appends find the return of the log.
	probeAfter = 500 * time.Millisecond
	// timesKept is how long the duration of an append is used as the expectation for the next one.
	timesKept = 2 * time.Second
	// hintKept is how long the duration in a hint of another instance is used.
	hintKept = 2 * time.Second
	// maxPendingTime limits what an append without an answer adds to the expected time: its answer may be lost.
	maxPendingTime = 400 * time.Millisecond
	// maxSingleTime limits what one append adds to the expected time.
	maxSingleTime = 500 * time.Millisecond
	// doubtKept is how long a single failed read holds appends back: the next read, which follows at once, shows within a round
	// trip of 10 to 20 ms whether the log is away.
	doubtKept = 60 * time.Millisecond
	// evidentReads is the number of successive reads that must fail for the same reason.
	evidentReads = 2
	// evidentFailures is the number of successive appends without an answer after which further ones are refused. A first
	// one may be a lost answer.
	evidentFailures = 2
)

// Assessment is the result of an Estimator. Append is the expected duration of an append.
type Assessment struct {
	State  State
	Append time.Duration
	// OneAtATime reports that a second append must not be sent while one is in flight.
	OneAtATime bool
	// Doubtful reports that a read has failed and the next one will tell whether the log is away. Appends wait for it.
	Doubtful bool
	// ReadsRefused reports that the log refuses all calls, not only appends because their queue is full.
	ReadsRefused bool
}

// Unreachable reports whether nothing should be sent, because the log would most likely not store it.
func (a Assessment) Unreachable() bool {
	return a.State == Silent || a.State == Resetting || a.ReadsRefused
}

// Slowed reports whether appends are slow. The log may be refusing at the same time, because its queue is full.
func (a Assessment) Slowed() bool { return a.Append >= SlowAfter }

// Pending describes the calls that have no answer yet.
type Pending struct {
	// Append is the age of the oldest append, Overdue the longest time by which an append or a read is over its wait. They
	// are 0 if there is none.
	Append, Overdue time.Duration
	// ReadOverdue is the part of Overdue that is due to reads. Reads do not queue behind appends.
	ReadOverdue time.Duration
	// Reading reports that a read has no answer yet. After a failed read, its answer is awaited.
	Reading bool
}

// sample is a duration and the time at which it was learned.
type sample struct {
	at, value time.Duration
	known     bool
}

func (s sample) valid(now, kept time.Duration) bool { return s.known && now-s.at < kept }

// failure is the newest failure of an operation; count are the successive ones.
type failure struct {
	at      time.Duration
	outcome Outcome
	count   int
}

// Estimator learns from calls. The zero value expects a usable log.
type Estimator struct {
	answered     sample
	append, hint sample
	// last is the duration of the newest append. The shorter of the last two is expected: one may have waited behind the
	// appends of instances that did not know yet that the log is slow.
	last     time.Duration
	failures [2]failure
}

// Observe notes the end of a call.
func (e *Estimator) Observe(c Call) {
	if c.Outcome == Limited {
		e.answered = sample{at: c.Ended, known: true}
		e.clear(Read, c)
		return
	}
	if c.Outcome != Done {
		f := &e.failures[c.Operation]
		// An append that was given up while the log answered other calls waits in its queue, or its answer is lost.
		waits := c.Operation == Append && c.Outcome == NoAnswer && e.answered.known && e.answered.at > c.Began
		// Reads that fail at the same time have one cause, for example a connection that they share.
		same := c.Operation == Read && f.count > 0 && c.Began < f.at
		if !waits && !same {
			f.at, f.outcome, f.count = c.Ended, c.Outcome, f.count+1
		}
		if c.Operation == Append && c.Outcome == NoAnswer {
			// Either the answer is lost or the append is still queued, and the next one takes as long.
			e.last = c.Ended - c.Began
			e.append = sample{at: c.Ended, value: e.last, known: true}
		}
		return
	}
	e.answered = sample{at: c.Ended, known: true}
	e.clear(Append, c)
	e.clear(Read, c)
	if c.Operation == Append {
		e.learn(c.Ended, c.Ended-c.Began)
	}
}

// clear forgets failures that the successful call c disproves. A refusal of appends is disproved by an append only, and a
// failed read by a call that began after it: a log that resets new calls may still answer earlier ones.
func (e *Estimator) clear(o Operation, c Call) {
	f := &e.failures[o]
	if o == Append && c.Operation == Read && f.outcome == Refused || o == Read && c.Began < f.at {
		return
	}
	*f = failure{}
}

func (e *Estimator) learn(now, d time.Duration) {
	previous := maxSingleTime
	if e.append.valid(now, timesKept) {
		previous = e.last
	}
	e.append = sample{at: now, value: min(d, max(previous, SlowAfter)), known: true}
	e.last = d
	// A fast append shows that no other is queued, so earlier hints no longer apply.
	if d < SlowAfter {
		e.hint = sample{}
	}
}

// Hint notes the duration of an append that another instance has reported. The append may have waited behind others.
func (e *Estimator) Hint(now, d time.Duration) {
	d = min(d, maxSingleTime)
	e.hint = sample{at: now, value: d, known: true}
	if d < SlowAfter {
		e.append, e.last = e.hint, d
	}
}

// Assess returns the state of the log.
func (e *Estimator) Assess(now time.Duration, p Pending) Assessment {
	a := Assessment{}
	if e.append.valid(now, timesKept) {
		a.Append = e.append.value
	}
	if e.hint.valid(now, hintKept) {
		a.Append = max(a.Append, e.hint.value)
	}
	a.Append = max(a.Append, min(p.Append, maxPendingTime))
	appends, reads := e.failures[Append], e.failures[Read]
	a.State = Usable
	if a.Slowed() {
		a.State = Slow
	}
	a.OneAtATime = a.State == Slow || appends.recent(now, 1)
	unanswered := !e.answered.known || now-e.answered.at >= silentAfter
	needed := evidentReads
	if reads.outcome == NoAnswer && unanswered {
		needed = 1
	}
	a.Doubtful = reads.count > 0 && reads.count < needed && now-reads.at < doubtKept
	switch {
	case reads.recent(now, needed) || reads.count >= needed && p.Reading:
		a.State = reads.state()
		a.ReadsRefused = a.State == Refusing
	case appends.recent(now, evidentFailures) || appends.outcome == Refused && appends.recent(now, 1):
		a.State = appends.state()
	case p.Overdue >= silentAfter && unanswered &&
		(!p.Reading || p.ReadOverdue >= readLate):
		a.State = Silent
	}
	a.OneAtATime = a.OneAtATime || a.State != Usable
	return a
}

func (f failure) recent(now time.Duration, count int) bool {
	return f.count >= count && now-f.at < probeAfter
}

func (f failure) state() State {
	switch f.outcome {
	case Refused:
		return Refusing
	case Reset:
		return Resetting
	}
	return Silent
}
