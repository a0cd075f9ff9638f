package attempt

import (
	"fmt"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Reason is why the state ignored a valid record.
type Reason string

// The reasons. Each one results from records that other writers appended in between, and leaves the state unchanged.
const (
	ReasonKnownJob    Reason = "known-job"
	ReasonUnknownJob  Reason = "unknown-job"
	ReasonUnknownTask Reason = "unknown-task"
	ReasonNotPending  Reason = "not-pending"
	ReasonNotOpen     Reason = "not-open"
	ReasonAttempt     Reason = "attempt-number"
	ReasonMalformed   Reason = "malformed"
)

// IgnoredError reports a valid record that does not apply to the state.
type IgnoredError struct {
	Ref    upstream.TaskRef
	Reason Reason
}

// Error implements error.
func (e *IgnoredError) Error() string {
	return fmt.Sprintf("record for job %s, task %d, attempt %d does not apply: %s", e.Ref.Job, e.Ref.Index,
		e.Ref.Attempt, e.Reason)
}

func ignored(ref upstream.TaskRef, r Reason) error { return &IgnoredError{Ref: ref, Reason: r} }

// EmptyTaskError reports an encoded state in which a task of the job is null.
type EmptyTaskError struct{ Job string }

// Error implements error.
func (e *EmptyTaskError) Error() string { return "job " + e.Job + " has a task that is null" }
