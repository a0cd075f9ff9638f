package dispatch

import (
	"context"
	"fmt"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Lifetime identifies one start of a worker. A worker that restarts under its id has a later Born and no state.
type Lifetime = catalog.Lifetime

// Member is a worker's own entry in the worker list.
type Member struct {
	Lifetime
	Service, Addr, DataCentre string
	Capacity                  resource.Vector
	Labels                    []string
	Leaving                   bool
	// Rack is the label that names the rack; empty if unknown.
	Rack string
}

// Attempt identifies one run of a task.
type Attempt struct {
	Task workflow.TaskID
	Run  int
}

// StartCall orders a worker to run an attempt.
type StartCall struct {
	Attempt
	Spec       string
	Checkpoint string
	// Ticket proves that the worker may run the step; empty for queues without an advisor.
	Ticket string
	// Fence is the epoch of the owner. A worker refuses calls with a lower fence than the highest it has received.
	Fence int64
	// Until is the reading of the worker's clock after which the worker refuses the call and ends its attempts.
	Until time.Duration
}

// StopCall ends an attempt and makes the worker refuse it from then on.
type StopCall struct {
	Attempt
	Fence int64
}

// PaceCall sets the share of its processors that an attempt may use, in percent.
type PaceCall struct {
	Attempt
	Percent int
	Fence   int64
}

// LeaseCall renews the lease of all attempts on a worker, confirms ends and requests the list of running attempts.
type LeaseCall struct {
	Fence int64
	Until time.Duration
	// Confirmed is the number of the newest end that is stored; the worker discards ends up to it.
	Confirmed int64
	// Wait is how long the worker may delay the answer until an attempt ends.
	Wait time.Duration
}

// Running is one attempt that a worker runs.
type Running struct {
	Attempt
	Checkpoint string
	// Percent is the progress of a task, or the readiness of a service task.
	Percent int
	// Load is the tail latency in milliseconds of a service task, and the thousandths of a core in use of any other.
	Load float64
}

// How is the way in which an attempt ended on a worker.
type How string

// Values of How.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	// EndLapsed: the lease of the worker expired.
	EndLapsed How = "lapsed"
	// EndBroken: another task of the gang ended. EndAlone: the other tasks of the gang did not start in time.
	EndBroken How = "broken"
	EndAlone  How = "alone"
)

// End reports one attempt that has ended.
type End struct {
	Number int64
	Attempt
	How        How
	Checkpoint string
}

// LeaseAnswer is a worker's answer to a lease call.
type LeaseAnswer struct {
	Born    int64
	Clock   time.Duration
	Running []Running
	Ends    []End
}

// CallAnswer answers a start, stop or pace. Born is 0 if the answer does not contain it.
type CallAnswer struct {
	Born  int64
	Clock time.Duration
}

// Reason is why a worker refused a call.
type Reason string

// Values of Reason. A refused call had no effect.
const (
	// ReasonFenced: the worker has received a call from a later owner.
	ReasonFenced Reason = "fenced"
	// ReasonOld: the worker has already started, stopped or ended this attempt or a later one.
	ReasonOld Reason = "old"
	// ReasonLate: the call arrived after its Until.
	ReasonLate Reason = "late"
	ReasonRoom Reason = "no room"
	// ReasonLifetime: the worker has restarted.
	ReasonLifetime  Reason = "other lifetime"
	ReasonUnhealthy Reason = "unhealthy"
	ReasonTicket    Reason = "ticket"
	// ReasonInvalid: the worker cannot decode the call.
	ReasonInvalid Reason = "invalid"
)

// RefusedError reports a call that a worker refused, without any effect.
type RefusedError struct {
	Reason Reason
	Answer CallAnswer
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the call: %s", e.Reason) }

// NoAnswerError reports a call without an answer. It may have been carried out, or may be seconds later.
type NoAnswerError struct{ Err error }

// Error implements error.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("worker did not answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Workers sends calls to workers. Each method returns *RefusedError or *NoAnswerError.
type Workers interface {
	Start(ctx context.Context, m Member, c StartCall) (CallAnswer, error)
	Stop(ctx context.Context, m Member, c StopCall) (CallAnswer, error)
	Pace(ctx context.Context, m Member, c PaceCall) (CallAnswer, error)
	Renew(ctx context.Context, m Member, c LeaseCall) (LeaseAnswer, error)
}
