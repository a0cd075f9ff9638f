// Package invariant asserts conditions that must always hold. Assertions stay on in production: a broken one is counted
// in a metric and logged once with the state that broke it. In tests it stops the process.
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

// The assertions, by the promise of docs/design.md that they guard.
const (
	WorkerCapacity     Name = "p1_worker_capacity"
	QuotaShare         Name = "p1_quota_share"
	SlotBudget         Name = "p1_slot_budget"
	SingleAttempt      Name = "p2_single_attempt"
	ResumeOnce         Name = "p3_resume_once"
	AnswerIdentity     Name = "p4_answer_identity"
	NotRunWasNotSent   Name = "p5_not_run_was_not_sent"
	TicketDispatchOnce Name = "p6_ticket_dispatch_once"
	NoWorkWhenLeaving  Name = "p7_no_work_when_leaving"
	StopDrained        Name = "p8_stop_drained"
	ConfigForward      Name = "p9_config_forward"
)

// Violations counts broken assertions by name.
var Violations = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "clementine_invariant_violations_total",
	Help: "Number of broken assertions, by assertion.",
}, []string{"invariant"})

// ViolationError describes a broken assertion.
type ViolationError struct {
	Name  Name
	State []any
}

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s is broken: %v", e.Name, e.State)
}

var logged sync.Map

// Check asserts that ok holds. state is a list of alternating keys and values, as for slog.
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
