package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// startTries is how often a start is sent before the attempt is given up: one in twenty orders has no answer on a bad day.
	startTries = 4
	// callRetry is the pause before an order without an answer is sent again.
	callRetry = 30 * time.Millisecond
	// fullPause keeps a worker without room, or one that is unhealthy, out of the next placements.
	fullPause      = 400 * time.Millisecond
	unhealthyPause = 1500 * time.Millisecond
)

func (c *Core) sendStart(now time.Duration, t *task) {
	t.order = orderSending
	t.attempts++
	c.orders = append(c.orders, StartOrder{Member: t.worker.Member, task: t, Call: StartCall{Attempt: t.attempt(), Spec: t.job().sub.Spec,
		Checkpoint: t.checkpoint, Ticket: t.step.permits[t.worker.Lifetime].ticket, Fence: c.epoch, Until: t.worker.until(now, c.params.Lease)}})
}

// StartReturned takes over the outcome of a start.
func (c *Core) StartReturned(now time.Duration, o StartOrder, a CallAnswer, err error) {
	t := o.task
	if !c.current(t, o.Member, o.Call.Attempt) {
		return
	}
	var refused *RefusedError
	switch {
	case err == nil:
		t.worker.takeClock(now, a.Clock)
		t.order, t.settledAt, t.startedAt = orderSettled, now, now
		if t.stopWanted {
			c.attention[t] = struct{}{}
		}
	case errors.As(err, &refused):
		c.startRefused(now, t, refused)
	default:
		c.logger.Info("start not answered", "task", t.id, "run", t.run, "worker", o.Member.ID, "tries", t.attempts, "error", err)
		if t.order == orderSending {
			t.order = orderUnsure
		}
		t.unsure = true
		t.retryAt = now + callRetry
		c.attention[t] = struct{}{}
	}
}

// current reports whether an answer concerns the attempt that the task is in.
func (c *Core) current(t *task, m Member, a Attempt) bool {
	return t != nil && t.phase == workflow.Placed && t.worker.ID == m.ID && t.run == a.Run
}

func (c *Core) startRefused(now time.Duration, t *task, r *RefusedError) {
	w := t.worker
	c.logger.Info("start refused", "task", t.id, "run", t.run, "worker", w.ID, "reason", r.Reason)
	switch r.Reason {
	case ReasonFenced:
		c.deposed = true
		return
	case ReasonLate:
		w.takeClock(now, r.Answer.Clock)
		t.order, t.unsure = orderUnsure, true
		t.retryAt = now
		c.attention[t] = struct{}{}
		return
	case ReasonLifetime:
		w.fenced, w.retry = false, 0
	case ReasonRoom:
		w.fullUntil = now + fullPause
	case ReasonUnhealthy:
		w.quarantine = now + unhealthyPause
	case ReasonOld:
		// The attempt ran or was stopped there; the worker's lists tell which.
		t.order, t.settledAt = orderSettled, now
		return
	case ReasonTicket:
		delete(t.step.permits, w.Lifetime)
	case ReasonInvalid:
	}
	if t.unsure {
		// An earlier call of this run may still be carried out: only a stop rules that out.
		t.order = orderUnsure
		t.stopWanted = true
		c.attention[t] = struct{}{}
		return
	}
	t.avoid = w.ID
	c.giveBack(now, t)
}

// attend sends the orders of placed tasks that need one.
func (c *Core) attend(now time.Duration) {
	for t := range c.attention {
		if t.phase != workflow.Placed {
			delete(c.attention, t)
			continue
		}
		switch {
		case t.retryAt > now || t.stopSending || t.order == orderSending || t.order == orderStoring:
		case t.worker.Addr == "", t.order == orderUnsure && !t.stopWanted && t.attempts < startTries && !t.worker.mayLease():
			// The list has not named the worker to this owner yet, or a start would grant it a lease.
		case t.worker.failingSince != 0 && now-t.worker.failingSince > time.Second:
			// The worker answers nothing; the end of its lease decides.
		case t.stopWanted || t.order == orderUnsure && t.attempts >= startTries:
			t.stopSending = true
			c.orders = append(c.orders, StopOrder{Member: t.worker.Member, task: t, Call: StopCall{Attempt: t.attempt(), Fence: c.epoch}})
		case t.order == orderUnsure:
			c.sendStart(now, t)
		default:
			delete(c.attention, t)
		}
	}
}

// stopRetry is the pause before a stop is sent again to a worker that does not list the end.
const stopRetry = time.Second

// StopReturned takes over the outcome of a stop. A worker that has taken the stop refuses the attempt from then on, so its next list is final.
func (c *Core) StopReturned(now time.Duration, o StopOrder, a CallAnswer, err error) {
	t := o.task
	if !c.current(t, o.Member, o.Call.Attempt) {
		return
	}
	t.stopSending = false
	c.logger.Info("stop returned", "task", t.id, "run", t.run, "worker", o.Member.ID, "error", err)
	var refused *RefusedError
	switch {
	case err == nil:
		t.worker.takeClock(now, a.Clock)
		t.order, t.settledAt, t.unsure = orderSettled, now, false
		t.retryAt = now + stopRetry
		if !t.stopWanted {
			delete(c.attention, t)
		}
	case errors.As(err, &refused) && refused.Reason == ReasonFenced:
		c.deposed = true
	case errors.As(err, &refused) && refused.Reason == ReasonLifetime:
		t.worker.fenced = false
		t.retryAt = now + stopRetry
	case errors.As(err, &refused) && refused.Reason == ReasonOld:
		t.order, t.settledAt = orderSettled, now
		t.retryAt = now + stopRetry
	default:
		t.retryAt = now + callRetry
	}
}

const (
	// leaseWait is how long a lease call waits for an end; pressureWait applies where best-effort tasks run beside services, whose
	// latency must be seen within a fraction of the time for which it may be over its objective.
	leaseWait    = time.Second
	pressureWait = 400 * time.Millisecond
	// unconfirmedRenew is the interval of renewals while ends wait to be stored.
	unconfirmedRenew = 600 * time.Millisecond
	// idleRenew is the interval for a worker that runs nothing.
	idleRenew = 4 * time.Second
	// Retry times for a worker that does not answer.
	firstLeaseRetry = 50 * time.Millisecond
	maxLeaseRetry   = 800 * time.Millisecond
)

// renew sends the lease calls that are due.
func (c *Core) renew(now time.Duration) {
	for id, w := range c.workers {
		if c.expired(now, w) {
			continue
		}
		if !w.listed && len(w.tasks) == 0 && !w.renewing && w.silence == silenceNone && (w.confirmed == w.sent || w.failingSince != 0) {
			delete(c.workers, id)
			c.sorted = nil
			continue
		}
		if w.renewing || w.Addr == "" || now < w.renewedAt+c.renewInterval(w) {
			continue
		}
		c.sendLease(now, w)
	}
}

// expired frees the tasks of a worker whose lease has certainly ended, and reports whether it did.
func (c *Core) expired(now time.Duration, w *worker) bool {
	if len(w.tasks) == 0 || now <= w.lapse || w.lapse == 0 {
		return false
	}
	// While calls are in flight they may extend the lease.
	for t := range w.tasks {
		if t.order == orderStoring || t.order == orderSending {
			return false
		}
	}
	c.logger.Warn("lease over", "worker", w.ID, "tasks", len(w.tasks), "silent_ms", (now - w.answeredAt).Milliseconds())
	w.fenced = false
	for t := range w.tasks {
		c.lost(now, t, "lease over")
	}
	return true
}

func (c *Core) renewInterval(w *worker) time.Duration {
	switch {
	case w.retry > 0:
		return w.retry
	case !w.fenced, w.confirmed > w.sent:
		return 0
	case w.applied > w.confirmed:
		return unconfirmedRenew
	case len(w.tasks) == 0:
		return idleRenew
	}
	return 0
}

func (c *Core) sendLease(now time.Duration, w *worker) {
	call := LeaseCall{Fence: c.epoch, Confirmed: w.confirmed}
	// A worker that has left a call unanswered gets no new lease until it answers: its tasks must end at a time that is known.
	if w.mayLease() {
		call.Until = w.until(now, c.params.Lease)
		if len(w.tasks) > 0 && w.applied == w.confirmed {
			call.Wait = leaseWait
			if w.mixed() {
				call.Wait = pressureWait
			}
		}
	}
	w.sent = w.confirmed
	w.renewing, w.renewedAt = true, now
	c.orders = append(c.orders, LeaseOrder{Member: w.Member, Call: call, worker: w})
}

// LeaseFailed takes over that a lease call was refused or had no answer.
func (c *Core) LeaseFailed(now time.Duration, o LeaseOrder, err error) {
	w := o.worker
	w.renewing = false
	if o.Call.Confirmed > 0 && w.sent == o.Call.Confirmed {
		// The worker may not have heard the confirmation.
		w.sent = 0
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case ReasonFenced:
			c.deposed = true
			return
		case ReasonLifetime:
			w.fenced = false
		}
	}
	if w.failingSince == 0 {
		w.failingSince = now
		c.logger.Info("worker does not answer", "worker", w.ID, "error", err, "tasks", len(w.tasks))
	}
	w.retry = min(max(2*w.retry, firstLeaseRetry), maxLeaseRetry)
}

// Act sends what is due: renewals, repeated orders and stops.
func (c *Core) Act(now time.Duration) {
	c.summarize(now)
	c.renew(now)
	c.attend(now)
}
