package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Incarnation identifies one start of a worker. A worker that restarts under its id has a later StartedAt and no
// state.
type Incarnation = catalog.Incarnation

// Member is a worker's own entry in the worker list.
type Member struct {
	Incarnation
	Pool, Addr, DataCentre string
	Capacity               resource.Vector
	Labels                 []string
	Leaving                bool
	// ColdFor is how much longer the worker is slow after its start, as of its entry.
	ColdFor time.Duration
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
	// Epoch is the epoch of the owner. A worker refuses calls with a lower epoch than the highest it has received.
	Epoch int64
	// Deadline is the reading of the worker's clock after which the worker refuses the call and ends its attempts.
	Deadline time.Duration
}

// StopCall ends an attempt and makes the worker refuse it from then on.
type StopCall struct {
	Attempt
	Epoch int64
}

// CPULimitCall sets the percentage of its processors that an attempt may use. The wire protocol and the log keys
// call this limit the pace.
type CPULimitCall struct {
	Attempt
	Percent int
	Epoch   int64
}

// LeaseCall renews the lease of all attempts on a worker, confirms ends and requests the list of running attempts.
type LeaseCall struct {
	Epoch int64
	// ExpiresAt is the reading of the worker's clock at which the lease ends; 0 if the call grants none.
	ExpiresAt time.Duration
	// LastStoredEnd is the number of the newest end that is stored; the worker discards ends up to it.
	LastStoredEnd int64
	// Wait is how long the worker may delay the answer until an attempt ends.
	Wait time.Duration
}

// IsLook reports whether the call grants no lease and confirms no end, so that it may reach any incarnation of the worker.
func (c *LeaseCall) IsLook() bool { return c.ExpiresAt == 0 && c.LastStoredEnd == 0 }

// kind returns the kind of the call that a answers.
func (c *LeaseCall) kind(a *LeaseAnswer) callKind {
	if c.IsLook() || a.OnlyLook {
		return callLook
	}
	return callLease
}

// Running is one attempt that a worker runs.
type Running struct {
	Attempt
	Checkpoint string
	// Percent is the progress of a task, or the readiness of a long-running task.
	Percent int
	// Load is the tail latency in milliseconds of a service task, and the thousandths of a core in use of any other.
	Load float64
}

// Outcome is the way in which an attempt ended on a worker.
type Outcome string

// LogValue implements slog.LogValuer.
func (o Outcome) LogValue() slog.Value { return slog.StringValue(string(o)) }

// Values of Outcome.
const (
	EndDone    Outcome = "done"
	EndFailed  Outcome = "failed"
	EndStopped Outcome = "stopped"
	// EndLapsed: the lease of the worker expired.
	EndLapsed Outcome = "lapsed"
	// EndBroken: another task of the gang ended. EndAlone: the other tasks of the gang did not start in time.
	EndBroken Outcome = "broken"
	EndAlone  Outcome = "alone"
)

// End reports one attempt that has ended.
type End struct {
	Number int64
	Attempt
	Outcome    Outcome
	Checkpoint string
}

// LeaseAnswer is a worker's answer to a lease call.
type LeaseAnswer struct {
	StartedAt int64
	Clock     time.Duration
	Running   []Running
	Ends      []End
	// MoreEnds reports that the worker may have more ends than the answer contains.
	MoreEnds bool
	// OnlyLook reports that the answer is that of a look. The call itself was not sent, because another incarnation of the worker
	// was found at the address.
	OnlyLook bool
}

// CallAnswer answers a StartCall, StopCall or CPULimitCall. StartedAt, the start of the worker, is 0 if the answer does
// not contain it.
type CallAnswer struct {
	StartedAt int64
	Clock     time.Duration
}

// Reason is why a worker refused a call.
type Reason string

// Values of Reason. A refused call had no effect.
const (
	// ReasonFenced: the worker has received a call from a later owner.
	ReasonFenced Reason = "fenced"
	// ReasonStaleAttempt: the worker has already started, stopped or ended this attempt or a later one.
	ReasonStaleAttempt Reason = "old"
	// ReasonDeadlinePassed: the call arrived after its Deadline.
	ReasonDeadlinePassed Reason = "late"
	ReasonNoRoom         Reason = "no room"
	// ReasonRestarted: a worker with another id answers at the address.
	ReasonRestarted Reason = "other lifetime"
	// ReasonOtherIncarnation: the call was not sent, because another incarnation of the worker, that of the answer, was found
	// at the address.
	ReasonOtherIncarnation Reason = "other incarnation"
	ReasonUnhealthy        Reason = "unhealthy"
	ReasonTicket           Reason = "ticket"
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

// ConnectionLost reports whether a call failed because the connection was closed or refused. A worker that is cut off
// does neither.
func ConnectionLost(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// cutShort reports whether the connection was closed after the call may have been received.
func cutShort(err error) bool { return ConnectionLost(err) && !errors.Is(err, syscall.ECONNREFUSED) }

// isUnanswered reports whether a call had no answer.
func isUnanswered(err error) bool {
	var noAnswer *NoAnswerError
	return errors.As(err, &noAnswer)
}

// Router may be implemented by Workers that make calls through other instances.
type Router interface {
	// Route prepares the calls to the given workers, which are all that get calls.
	Route(workers []Member)
	// Release ends what Route has begun. Calls in progress end without an answer.
	Release()
}

// Workers sends calls to workers. Each method returns *RefusedError or *NoAnswerError, and *NotSentError if it is a call
// about a task. What a call says holds for the incarnation of m only, so no other one receives it: calls about tasks are refused
// with ReasonOtherIncarnation if another one is found, and Renew returns its answer to a look.
type Workers interface {
	Start(ctx context.Context, m Member, c StartCall) (CallAnswer, error)
	Stop(ctx context.Context, m Member, c StopCall) (CallAnswer, error)
	LimitCPU(ctx context.Context, m Member, c CPULimitCall) (CallAnswer, error)
	Renew(ctx context.Context, m Member, c LeaseCall) (LeaseAnswer, error)
}
