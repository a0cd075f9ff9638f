// Package invariant asserts conditions that must always hold. Assertions are also checked in production: a violation is
// counted in a metric, and the first one of each assertion is logged with the state. In tests a violation panics.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Name identifies an assertion in the metric and in docs/proofs.md.
type Name string

// The assertions. The prefix pN is the number of the guarantee in docs/design.md that the assertion checks; others guard resources of the process.
const (
	WorkerCapacity     Name = "p1_worker_capacity"
	QuotaShare         Name = "p1_quota_share"
	SlotBudget         Name = "p1_slot_budget"
	SingleAttempt      Name = "p2_single_attempt"
	CopyApart          Name = "p2_copy_apart"
	ResumeOnce         Name = "p3_resume_once"
	AnswerIdentity     Name = "p4_answer_identity"
	NotRunWasNotSent   Name = "p5_not_run_was_not_sent"
	TicketDispatchOnce Name = "p6_ticket_dispatch_once"
	NoWorkWhenLeaving  Name = "p7_no_work_when_leaving"
	NoStartInClosed    Name = "p7_no_start_in_closed_data_centre"
	StopDrained        Name = "p8_stop_drained"
	ConfigForward      Name = "p9_config_forward"
	IngressReleased    Name = "ingress_released"
)

// Violations counts the violations by name of the assertion.
var Violations = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "clementine_invariant_violations_total",
	Help: "Number of broken assertions, by assertion.",
}, []string{"invariant"})

// ViolationError reports the violation of an assertion. State is a list of alternating keys and values.
type ViolationError struct {
	Name  Name
	State []any
}

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s is broken: %v", e.Name, e.State)
}

// logged holds the names of the assertions whose violation has been logged.
var logged sync.Map

// Check reports a violation of the assertion unless ok holds. state is a list of alternating keys and values, as for
// slog. In tests it panics with a *ViolationError.
func Check(name Name, ok bool, state ...any) {
	if ok {
		return
	}
	Violations.WithLabelValues(string(name)).Inc()
	if testing.Testing() {
		panic(&ViolationError{Name: name, State: state})
	}
	if _, seen := logged.LoadOrStore(name, true); !seen {
		slog.Error("invariant: assertion is broken", append([]any{"invariant", name}, state...)...)
	}
}
