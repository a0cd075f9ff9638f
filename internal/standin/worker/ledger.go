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
	// maxRequestIDs is the largest number of request ids in one generation of the ledger; two generations are kept.
	maxRequestIDs = 2_000_000
	// maxViolations is the largest number of violations that are kept with their description.
	maxViolations = 200
)

// Ledger records what the workers of a process have run and detects violations of the guarantees of the system under
// test. It uses only what the workers observe, so it is independent of the state of that system. It is safe for
// concurrent use.
type Ledger struct {
	logger *slog.Logger

	mu    sync.Mutex
	tasks map[taskKey]*taskHistory
	// executed and previousExecuted hold the number of executions by request id: the present and the previous
	// generation.
	executed         map[string]int
	previousExecuted map[string]int
	// doneByJob holds the number of distinct tasks that have ended as done.
	doneByJob  map[string]int
	counts     map[string]int64
	violations []string
}

type taskKey struct {
	job   string
	index int
}

func keyOf(ref upstream.TaskRef) taskKey { return taskKey{ref.Job, ref.Index} }

// taskHistory is the history of one task over all workers.
type taskHistory struct {
	running []*Run
	// recorded is the newest checkpoint that an owner has written to the log, newest the newest one that was made.
	recorded, newest Checkpoint
	// done reports whether the task has ended as done, doneRecorded whether an owner has written that end to the log.
	done, doneRecorded bool
}

// Run is one running attempt.
type Run struct {
	ledger *Ledger
	worker instance.ID
	ref    upstream.TaskRef
	// leaseEnd is the time at which the worker's lease expires and stops the attempt, in Unix nanoseconds.
	leaseEnd atomic.Int64
}

// Names of the counted events. Events whose names begin with violationPrefix must not occur.
const (
	violationPrefix = "violation_"

	CountStarts           = "starts"
	CountResumes          = "resumes"
	CountKilled           = "killed"
	CountExecutions       = "executions"
	CountBoots            = "boots"
	CountLeaseExpirations = "lease_lapses"
	// CountRefusedPrefix is followed by the reason of the refusal.
	CountRefusedPrefix = "refused_"
	// CountDoneAgainUnrecorded counts repeated ends of a task as done. The first end did not reach an owner, because
	// the worker died or its lease expired.
	CountDoneAgainUnrecorded = "done_again_unrecorded"
	// CountResumedBehindUnrecorded counts resumes from a checkpoint that is older than the newest one, when no owner
	// has recorded the newer one.
	CountResumedBehindUnrecorded = "resumed_behind_unrecorded"

	ViolationConcurrentAttempts = violationPrefix + "task_in_two_places"
	ViolationStartAfterEnd      = violationPrefix + "task_started_after_recorded_end"
	ViolationStaleResume        = violationPrefix + "stale_resume"
	ViolationExecutedTwice      = violationPrefix + "request_executed_twice"
	ViolationOverload           = violationPrefix + "overload"
	ViolationLateWork           = violationPrefix + "work_after_leaving"
)

// NewLedger returns an empty ledger. It logs each violation.
func NewLedger(l *slog.Logger) *Ledger {
	return &Ledger{logger: l, tasks: map[taskKey]*taskHistory{}, executed: map[string]int{},
		previousExecuted: map[string]int{}, doneByJob: map[string]int{}, counts: map[string]int64{}}
}

// Count adds one to the count of an event.
func (l *Ledger) Count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// RecordViolation counts and logs a violation. name is one of the Violation constants.
func (l *Ledger) RecordViolation(name string, w instance.ID, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(name, w, detail)
}

// recordViolationLocked requires l.mu.
func (l *Ledger) recordViolationLocked(name string, w instance.ID, detail string) {
	l.counts[name]++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations,
			fmt.Sprintf("%s %s at %s: %s", time.Now().UTC().Format(time.RFC3339Nano), name, w, detail))
	}
	l.logger.Error("a guarantee is violated", "violation", name, "worker", w, "detail", detail)
}

// Start records that a worker starts an attempt from a checkpoint under a lease that expires at leaseEnd. It detects a
// concurrent attempt of the same task, a start after a recorded end and a resume from an outdated checkpoint.
func (l *Ledger) Start(now time.Time, w instance.ID, ref upstream.TaskRef, from Checkpoint, leaseEnd time.Time) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[keyOf(ref)]
	if t == nil {
		t = &taskHistory{}
		l.tasks[keyOf(ref)] = t
	}
	for _, r := range t.running {
		if now.UnixNano() < r.leaseEnd.Load() {
			l.recordViolationLocked(ViolationConcurrentAttempts, w,
				fmt.Sprintf("%v starts while %v runs at %s", ref, r.ref, r.worker))
		}
	}
	if t.doneRecorded {
		l.recordViolationLocked(ViolationStartAfterEnd, w, fmt.Sprintf("%v", ref))
	}
	l.checkResume(t, w, ref, from)
	l.counts[CountStarts]++
	r := &Run{ledger: l, worker: w, ref: ref}
	r.leaseEnd.Store(leaseEnd.UnixNano())
	t.running = append(t.running, r)
	return r
}

// checkResume compares the checkpoint of a start with the recorded and the newest one. It requires l.mu.
func (l *Ledger) checkResume(t *taskHistory, w instance.ID, ref upstream.TaskRef, from Checkpoint) {
	if from.Number > 0 {
		l.counts[CountResumes]++
	}
	switch {
	case t.recorded.After(from):
		l.recordViolationLocked(ViolationStaleResume, w,
			fmt.Sprintf("%v resumes from %q, but %q was recorded", ref, from.Name(), t.recorded.Name()))
	case t.newest.After(from):
		l.counts[CountResumedBehindUnrecorded]++
	}
}

// SetLeaseEnd records the time at which the lease of the worker expires after a renewal.
func (r *Run) SetLeaseEnd(leaseEnd time.Time) { r.leaseEnd.Store(leaseEnd.UnixNano()) }

// Checkpointed records a new checkpoint of the task.
func (r *Run) Checkpointed(c Checkpoint) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if t := r.ledger.tasks[keyOf(r.ref)]; c.After(t.newest) {
		t.newest = c
	}
}

// End records the end of the attempt. The empty outcome means that the attempt was killed together with its worker.
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
			l.counts[CountDoneAgainUnrecorded]++
		} else {
			l.doneByJob[r.ref.Job]++
		}
		t.done = true
	}
}

// EndRecorded records that an owner has written the end of an attempt to the log while the lease under which it ended
// had not expired. From then on, a resume from an older checkpoint is a violation, and so is any start if the outcome
// is done.
func (l *Ledger) EndRecorded(e upstream.TaskEvent) {
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

// RecordExecution records that a worker begins to execute a request. attempt is the id of the call; all calls for one
// request of a caller count as executions of that request.
func (l *Ledger) RecordExecution(w instance.ID, attempt, kind string, nonIdempotent bool) {
	id := upstream.CallerID(attempt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[CountExecutions]++
	l.counts[CountExecutions+"_"+kind]++
	if l.executed[id]+l.previousExecuted[id] > 0 && nonIdempotent {
		l.recordViolationLocked(ViolationExecutedTwice, w, id)
	}
	if len(l.executed) >= maxRequestIDs {
		l.executed, l.previousExecuted = map[string]int{}, l.executed
	}
	l.executed[id]++
}
