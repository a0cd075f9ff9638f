package dispatch

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Advice names the workers that may run a step.
type Advice struct {
	// Tickets holds, by worker id, the ticket that a start on the worker must carry.
	Tickets map[string]string
	// Valid is how long the tickets are valid after the answer; 0 if the answer does not contain it.
	Valid time.Duration
}

// Advisor decides which workers may run a step. The decision is final, but the tickets that prove it expire.
type Advisor interface {
	// Advise returns which of the workers may run the step. takes is the expected duration of the call.
	Advise(ctx context.Context, step workflow.StepID, workers []string, takes time.Duration) (Advice, error)
}

const (
	// maxAdviceWorkers limits the workers of one call: the objectives of submissions allow for one call with 30
	// workers for each step.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the pause after a call that failed.
	adviceRetryDelay = 200 * time.Millisecond
	// TicketMargin is the remaining validity that a ticket needs at placement, which is stored before the start is
	// sent.
	TicketMargin = 500 * time.Millisecond
)

// approval is the advisor's answer about one incarnation of a worker.
type approval struct {
	ticket    string
	expiresAt time.Duration
}

// approvals holds the advisor's answers about a step. An entry without a ticket means that the worker may not run it.
type approvals map[Incarnation]approval

func (p approvals) valid(now time.Duration, w *worker) bool {
	e, ok := p[w.Incarnation]
	return ok && e.ticket != "" && now+TicketMargin < e.expiresAt
}

// unknown reports whether the advisor must be asked about a worker before it can get a task of the step.
func (p approvals) unknown(now time.Duration, w *worker) bool {
	e, ok := p[w.Incarnation]
	return !ok || e.ticket != "" && now+TicketMargin >= e.expiresAt
}

func (s *step) id() workflow.StepID {
	return workflow.StepID{Job: s.round.job.submission.Job, Round: s.round.index, Step: s.index}
}

// requireApproval narrows a filter of workers, which may be nil, to those that may run the task's step.
func (p *plan) requireApproval(t *task, filter func(*worker) bool) func(*worker) bool {
	if t.job().terms.Advised == nil {
		return filter
	}
	return func(w *worker) bool { return t.step.approvals.valid(p.now, w) && (filter == nil || filter(w)) }
}

// requestAdvice asks the advisor about more workers for the task's step. Only one call is in flight at a time, so the
// first step of a plan that finds no worker is served.
func (p *plan) requestAdvice(t *task) {
	c, advised := p.core, t.job().terms.Advised
	if advised == nil || c.adviceInFlight || p.now < c.nextAdvice {
		return
	}
	var incarnations []Incarnation
	need := t.reserved()
	for _, n := range p.candidates(t.job().terms.Pool) {
		w := c.workers[n.ID]
		if len(incarnations) == maxAdviceWorkers {
			break
		}
		if label := t.step.def.Label; need.Fits(n.Free()) && (label == "" || w.hasLabel(label)) &&
			t.step.approvals.unknown(p.now, w) {
			incarnations = append(incarnations, w.Incarnation)
		}
	}
	if len(incarnations) == 0 {
		return
	}
	c.adviceInFlight = true
	c.orders = append(c.orders, AdviceOrder{Step: t.step.id(), Workers: incarnations, step: t.step, terms: *advised,
		Takes: advised.Decide + time.Duration(len(incarnations))*advised.Each})
}

// AdviceReturned applies the outcome of a call to the advisor.
func (c *Core) AdviceReturned(now time.Duration, order AdviceOrder, advice Advice, err error) {
	c.adviceInFlight = false
	if err != nil {
		c.logger.Info("advisor call failed", "step", order.Step, "workers", len(order.Workers), "error", err)
		c.nextAdvice = now + adviceRetryDelay
		return
	}
	c.logger.Info("advice received", "step", order.Step, "workers", len(order.Workers), "permitted", len(advice.Tickets))
	valid := advice.Valid
	if valid == 0 {
		valid = order.terms.Valid
	}
	if order.step.approvals == nil {
		order.step.approvals = approvals{}
	}
	for _, l := range order.Workers {
		order.step.approvals[l] = approval{ticket: advice.Tickets[l.ID], expiresAt: now + valid}
	}
	c.planNeeded = true
}
