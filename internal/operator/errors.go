package operator

import (
	"fmt"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

// NoGatewayError reports that no gateway answered a call.
type NoGatewayError struct {
	// Tried holds the error of each gateway that was called. It is empty if no gateway is known.
	Tried []error
}

// Error implements error.
func (e *NoGatewayError) Error() string {
	if len(e.Tried) == 0 {
		return "the instance list has no live gateway"
	}
	causes := make([]string, len(e.Tried))
	for i, err := range e.Tried {
		causes[i] = err.Error()
	}
	return "no gateway answered: " + strings.Join(causes, "; ")
}

// GatewayError reports a failed call to one gateway.
type GatewayError struct {
	Gateway string
	Err     error
}

// Error implements error.
func (e *GatewayError) Error() string { return fmt.Sprintf("gateway %s: %v", e.Gateway, e.Err) }

// Unwrap returns the cause.
func (e *GatewayError) Unwrap() error { return e.Err }

// RefusedError reports that a gateway answered a call with an error status.
type RefusedError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the call was refused with status %d: %s", e.Status, e.Detail)
}

// NotFoundError reports that a job, worker or other object does not exist.
type NotFoundError struct{ What, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.What, e.Name) }

// SubmitUnknownError reports a submission that was sent but not answered. The job may have been accepted.
type SubmitUnknownError struct {
	Key string
	Err error
}

// Error implements error.
func (e *SubmitUnknownError) Error() string {
	return fmt.Sprintf("the submission was sent, but no answer arrived; the job may exist: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SubmitUnknownError) Unwrap() error { return e.Err }

// WaitError reports that a published version was not in force at all live instances in time.
type WaitError struct {
	Version uint64
	Waited  time.Duration
	// Missing describes each instance that has not reported the version, one per entry. It is empty if no live instance
	// was listed.
	Missing []string
}

// Error implements error.
func (e *WaitError) Error() string {
	if len(e.Missing) == 0 {
		return fmt.Sprintf("version %d is published, but no listed gateway or scheduler answered within %s",
			e.Version, e.Waited)
	}
	return fmt.Sprintf("version %d is published, but after %s these instances have not reported it:\n  %s", e.Version,
		e.Waited, strings.Join(e.Missing, "\n  "))
}

// ReconcileError reports that the costs of a shard differ from those of a replay of its jobs.
type ReconcileError struct {
	Shard          string
	Report, Replay int64
}

// Error implements error.
func (e *ReconcileError) Error() string {
	return fmt.Sprintf("costs of shard %s differ: %s in the report, %s in the replay of its jobs", e.Shard,
		manifest.FormatMoney(e.Report), manifest.FormatMoney(e.Replay))
}

// KindError reports a kind of which no jobs can be submitted.
type KindError struct {
	Kind    string
	Allowed []string
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("%q is not a batch kind of the manifest in force; its batch kinds are %s",
		e.Kind, strings.Join(e.Allowed, ", "))
}

// NoVersionError reports that no manifest is in force.
type NoVersionError struct{}

// Error implements error.
func (e *NoVersionError) Error() string { return "no manifest is in force" }
