package dispatch

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Advice names the workers that may run a step.
type Advice struct {
	// Tickets holds, by worker, what a start there has to carry.
	Tickets map[string]string
	// Valid is how long the tickets hold from the answer on; 0 if the answer does not say.
	Valid time.Duration
}

// Advisor knows which workers may run a step. Whether one may does not change; the tickets that show it run out.
type Advisor interface {
	// Advise asks about workers. takes is the time that the answer is expected to take.
	Advise(ctx context.Context, step workflow.StepID, workers []string, takes time.Duration) (Advice, error)
}

const (
	// adviceWorkers is how many workers one call names: the objectives of submissions count with one call on 30 workers for each step.
	adviceWorkers = 30
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 200 * time.Millisecond
	// ticketMargin is kept between a placement and the end of its ticket: the placement is stored first.
	ticketMargin = 500 * time.Millisecond
)

// permit is what the advisor has said of a worker's lifetime.
type permit struct {
	ticket  string
	expires time.Duration
}

// permits is what the advisor has said of a step. An entry without a ticket stands for a worker that may not run it.
type permits map[Lifetime]permit

func (p permits) valid(now time.Duration, w *worker) bool {
	e, ok := p[w.Lifetime]
	return ok && e.ticket != "" && now+ticketMargin < e.expires
}

// unknown reports whether the advisor has to be asked about a worker before it can get a task.
func (p permits) unknown(now time.Duration, w *worker) bool {
	e, ok := p[w.Lifetime]
	return !ok || e.ticket != "" && now+ticketMargin >= e.expires
}

func (s *step) id() workflow.StepID {
	return workflow.StepID{Job: s.round.job.sub.Job, Round: s.round.index, Step: s.index}
}

// permitted narrows a choice of workers to those that may run a task's step.
func (p *plan) permitted(t *task, usable func(*worker) bool) func(*worker) bool {
	if t.job().terms.Advised == nil {
		return usable
	}
	return func(w *worker) bool { return t.step.permits.valid(p.now, w) && (usable == nil || usable(w)) }
}

// ask asks the advisor about workers for the first step in order that found none. The advisor takes one call at a time.
func (p *plan) ask(t *task) {
	c, advised := p.core, t.job().terms.Advised
	if advised == nil || c.advising || p.now < c.adviseAt {
		return
	}
	var lifetimes []Lifetime
	need := t.reserved()
	for _, n := range p.candidates(t.job().terms.Service) {
		w := c.workers[n.ID]
		if len(lifetimes) == adviceWorkers {
			break
		}
		if label := t.step.def.Label; need.Fits(n.Free()) && (label == "" || w.hasLabel(label)) && t.step.permits.unknown(p.now, w) {
			lifetimes = append(lifetimes, w.Lifetime)
		}
	}
	if len(lifetimes) == 0 {
		return
	}
	c.advising = true
	c.orders = append(c.orders, AdviceOrder{Step: t.step.id(), Workers: lifetimes, step: t.step, terms: *advised,
		Takes: advised.Decide + time.Duration(len(lifetimes))*advised.Each})
}

// AdviceReturned takes over what the advisor said.
func (c *Core) AdviceReturned(now time.Duration, o AdviceOrder, a Advice, err error) {
	c.advising = false
	if err != nil {
		c.logger.Info("no advice", "step", o.Step, "workers", len(o.Workers), "error", err)
		c.adviseAt = now + adviceRetry
		return
	}
	c.logger.Info("advice", "step", o.Step, "workers", len(o.Workers), "permitted", len(a.Tickets))
	valid := a.Valid
	if valid == 0 {
		valid = o.terms.Valid
	}
	if o.step.permits == nil {
		o.step.permits = permits{}
	}
	for _, l := range o.Workers {
		o.step.permits[l] = permit{ticket: a.Tickets[l.ID], expires: now + valid}
	}
	c.changed = true
}
