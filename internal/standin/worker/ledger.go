package worker

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// maxRequestIDs bounds the remembered request ids of one generation; two generations are kept.
	maxRequestIDs = 2_000_000
	maxViolations = 200
)

// Ledger records what all workers of a process really did, and counts what must never happen. It judges only what the workers
// themselves saw, so it is independent of the state of the system under test.
type Ledger struct {
	logger *slog.Logger

	mu         sync.Mutex
	tasks      map[taskKey]*taskRecord
	executed   map[string]int
	executed0  map[string]int
	doneByJob  map[string]int
	counts     map[string]int64
	violations []string
}

type taskKey struct {
	job   string
	index int
}

func keyOf(ref upstream.TaskRef) taskKey { return taskKey{ref.Job, ref.Index} }

// taskRecord is the history of one task over all workers.
type taskRecord struct {
	running []*Run
	// recorded is the newest checkpoint that an owner has written to the log, newest the newest one that exists.
	recorded, newest Checkpoint
	// done tells that the task ended as done, doneRecorded that an owner has written it to the log.
	done, doneRecorded bool
}

// Run is one running attempt.
type Run struct {
	ledger *Ledger
	worker instance.ID
	ref    upstream.TaskRef
	// until is the time in Unix nanoseconds at which the lease stops the attempt.
	until atomic.Int64
}

// The counted events. Names that begin with violationPrefix must stay at zero.
const (
	violationPrefix = "violation_"

	CountStarts     = "starts"
	CountResumes    = "resumes"
	CountKilled     = "killed"
	CountExecutions = "executions"
	CountBoots      = "boots"
	CountLapses     = "lease_lapses"
	CountRefused    = "refused_"
	// CountDoneAgain counts tasks done again whose first end never reached an owner, because the worker died or its lease lapsed.
	CountDoneAgain = "done_again_unrecorded"
	// CountResumedBehind counts resumes from a checkpoint older than the newest one, when no owner had recorded the newer one.
	CountResumedBehind = "resumed_behind_unrecorded"

	ViolationDoubled     = violationPrefix + "task_in_two_places"
	ViolationDoneTwice   = violationPrefix + "task_started_after_recorded_end"
	ViolationStaleResume = violationPrefix + "stale_resume"
	ViolationRepeated    = violationPrefix + "request_executed_twice"
	ViolationOverload    = violationPrefix + "overload"
	ViolationLateWork    = violationPrefix + "work_after_leaving"
)

// NewLedger returns an empty ledger. It logs each violation.
func NewLedger(l *slog.Logger) *Ledger {
	return &Ledger{logger: l, tasks: map[taskKey]*taskRecord{}, executed: map[string]int{}, executed0: map[string]int{},
		doneByJob: map[string]int{}, counts: map[string]int64{}}
}

// Count adds one to a counted event.
func (l *Ledger) Count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// Violate counts and logs something that must never happen.
func (l *Ledger) Violate(name string, w instance.ID, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(name, w, detail)
}

func (l *Ledger) violate(name string, w instance.ID, detail string) {
	l.counts[name]++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf("%s %s at %s: %s", time.Now().UTC().Format(time.RFC3339Nano), name, w, detail))
	}
	l.logger.Error("a promise is broken", "violation", name, "worker", w, "detail", detail)
}

// Start records that a worker starts an attempt from a checkpoint, until the time at which its lease ends.
func (l *Ledger) Start(now time.Time, w instance.ID, ref upstream.TaskRef, from Checkpoint, until time.Time) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[keyOf(ref)]
	if t == nil {
		t = &taskRecord{}
		l.tasks[keyOf(ref)] = t
	}
	for _, r := range t.running {
		if now.UnixNano() < r.until.Load() {
			l.violate(ViolationDoubled, w, fmt.Sprintf("%v starts while %v runs at %s", ref, r.ref, r.worker))
		}
	}
	if t.doneRecorded {
		l.violate(ViolationDoneTwice, w, fmt.Sprintf("%v", ref))
	}
	l.checkResume(t, w, ref, from)
	l.counts[CountStarts]++
	r := &Run{ledger: l, worker: w, ref: ref}
	r.until.Store(until.UnixNano())
	t.running = append(t.running, r)
	return r
}

func (l *Ledger) checkResume(t *taskRecord, w instance.ID, ref upstream.TaskRef, from Checkpoint) {
	if from.Number > 0 {
		l.counts[CountResumes]++
	}
	switch {
	case t.recorded.After(from):
		l.violate(ViolationStaleResume, w, fmt.Sprintf("%v resumes from %q, but %q was recorded", ref, from.Name(), t.recorded.Name()))
	case t.newest.After(from):
		l.counts[CountResumedBehind]++
	}
}

// Hold records that the lease now ends at until.
func (r *Run) Hold(until time.Time) { r.until.Store(until.UnixNano()) }

// Checkpointed records that a checkpoint exists.
func (r *Run) Checkpointed(c Checkpoint) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if t := r.ledger.tasks[keyOf(r.ref)]; c.After(t.newest) {
		t.newest = c
	}
}

// End records that the attempt runs no more. An empty outcome means that it died with its worker.
func (r *Run) End(o upstream.Outcome) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[keyOf(r.ref)]
	for i, other := range t.running {
		if other == r {
			t.running = append(t.running[:i:i], t.running[i+1:]...)
			break
		}
	}
	if o == "" {
		l.counts[CountKilled]++
		return
	}
	l.counts["ended_"+string(o)]++
	if o == upstream.OutcomeDone {
		if t.done {
			l.counts[CountDoneAgain]++
		} else {
			l.doneByJob[r.ref.Job]++
		}
		t.done = true
	}
}

// Recorded tells that an owner has written the end of an attempt to the log and still held the lease under which it ended. From then on no
// attempt may resume from an older checkpoint, and none may start if the outcome is done.
func (l *Ledger) Recorded(e upstream.TaskEvent) {
	c, err := ParseCheckpoint(e.Checkpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[keyOf(e.TaskRef)]
	if t == nil {
		return
	}
	if err == nil && c.After(t.recorded) {
		t.recorded = c
	}
	if e.Outcome == upstream.OutcomeDone {
		t.doneRecorded = true
	}
}

// Execute records that a worker begins to execute a request. All calls for one request of a caller count together.
func (l *Ledger) Execute(w instance.ID, attempt, kind string, nonIdempotent bool) {
	id := upstream.CallerID(attempt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[CountExecutions]++
	l.counts[CountExecutions+"_"+kind]++
	if l.executed[id]+l.executed0[id] > 0 && nonIdempotent {
		l.violate(ViolationRepeated, w, id)
	}
	if len(l.executed) >= maxRequestIDs {
		l.executed, l.executed0 = map[string]int{}, l.executed
	}
	l.executed[id]++
}
