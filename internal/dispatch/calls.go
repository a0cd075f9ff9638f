package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// maxStartCalls is how often a start is sent before the attempt is stopped instead: under poor network conditions,
	// one in twenty calls has no answer.
	maxStartCalls = 4
	// callRetryDelay is the pause before an unanswered order is sent again.
	callRetryDelay = 30 * time.Millisecond
	// The pause doubles each time that no connection to the worker could be identified, maxUnconnected times at most and up to
	// maxUnconnectedWait.
	maxUnconnected     = 5
	maxUnconnectedWait = time.Second
)

// startIfHeard sends the start of an attempt whose placement is stored if its worker has been heard. Otherwise a lease call
// asks the worker first.
func (c *Core) startIfHeard(now time.Duration, t *task) {
	switch w := t.worker; {
	case t.stopWanted, w.unschedulable(), w.overcommitted(), w.failingSince != 0:
		c.revokePlacement(now, t)
	case t.retryAt > now, c.startsHeld, !c.heard(now, w):
		c.needsOrder[t] = struct{}{}
	default:
		c.sendStart(now, t)
	}
}

func (c *Core) sendStart(now time.Duration, t *task) {
	invariant.Check(invariant.NoStartInClosed, !t.worker.closed && !c.startsHeld, "task", t.id, "worker", t.worker.ID)
	t.startState, t.startSentAt = startInFlight, now
	t.startCalls++
	c.orders = append(c.orders, StartOrder{Member: t.worker.Member, task: t,
		Call: StartCall{Attempt: t.attempt(), Spec: t.job().submission.Spec,
			Checkpoint: t.checkpoint, Ticket: t.step.approvals[t.worker.Incarnation].ticket, Epoch: c.epoch,
			Deadline: t.worker.grantLease(now, t.startLimit(&c.params))}})
}

// StartReturned applies the outcome of a start.
func (c *Core) StartReturned(now time.Duration, o StartOrder, a CallAnswer, err error) {
	t := o.task
	if !c.isCurrent(t, o.Member, o.Call.Attempt) {
		return
	}
	var refused *RefusedError
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		// The start is decided anew: its submission may have been cancelled, or the worker may leave.
		t.retryAt = now + callRetryDelay
		if notSent.NoConnection {
			t.unconnected++
			t.retryAt = now + min(callRetryDelay<<min(t.unconnected, maxUnconnected), maxUnconnectedWait)
			c.logger.Info("start not sent, no connection is known to lead to the incarnation of the worker", "task", t.id,
				"run", t.run, "worker", o.Member.ID, "born", o.Member.StartedAt, "tries", t.unconnected,
				"next_ms", (t.retryAt - now).Milliseconds())
		}
		t.startCalls--
		c.needsOrder[t] = struct{}{}
		if t.hadUnansweredStart {
			t.startState = startUnanswered
			return
		}
		t.startState = startStored
		c.startIfHeard(now, t)
	case err == nil:
		if !c.observeAnswer(now, t.worker, callStart, o.Member.StartedAt, a) {
			c.startedEarlier(now, t, a.StartedAt)
			return
		}
		c.accept(t, a.StartedAt)
		t.worker.health.Accepted()
		t.startState, t.settledAt, t.startedAt = startSettled, now, now
		t.timed = t.isTimed(now, o.Call.Checkpoint)
		c.timing.observe(phaseStart, now-t.storedAt)
		if t.stopWanted {
			c.needsOrder[t] = struct{}{}
		}
	case errors.As(err, &refused):
		c.startRefused(now, t, o.Member.StartedAt, refused)
	default:
		c.logger.Info("worker did not answer start", "task", t.id, "run", t.run, "worker", o.Member.ID,
			"tries", t.startCalls, "error", err)
		if t.worker.failingSince == 0 && t.worker.health.Unanswered(now) {
			c.noteExcluded(now, t.worker, "task", t.id)
		}
		if t.startState == startInFlight {
			t.startState = startUnanswered
		}
		t.hadUnansweredStart, t.startCutShort = true, t.startCutShort || cutShort(err)
		t.retryAt = now + callRetryDelay
		c.needsOrder[t] = struct{}{}
	}
}

// isCurrent reports whether an answer belongs to the current attempt of the task.
func (c *Core) isCurrent(t *task, m Member, a Attempt) bool {
	return t != nil && t.phase == workflow.Placed && t.worker.ID == m.ID && t.run == a.Run
}

// startedEarlier applies an answer by which an earlier incarnation of the worker has started the attempt before it ended.
func (c *Core) startedEarlier(now time.Duration, t *task, startedAt int64) {
	c.accept(t, startedAt)
	t.startState, t.settledAt, t.startedAt = startSettled, now, now
	c.resolveSettled(now, t)
}

func (c *Core) startRefused(now time.Duration, t *task, sentTo int64, r *RefusedError) {
	w := t.worker
	newest := c.observeAnswer(now, w, answeredKind(callStart, r), sentTo, ownAnswer(r.Answer, r))
	c.logger.Info("worker refused start", "task", t.id, "run", t.run, "worker", w.ID, "reason", r.Reason)
	switch r.Reason {
	case ReasonFenced:
		c.superseded = true
		return
	case ReasonDeadlinePassed:
		// The start is sent again, with a deadline based on the newer clock reading.
		t.startState, t.hadUnansweredStart = startUnanswered, true
		t.retryAt = now
		c.needsOrder[t] = struct{}{}
		if newest {
			c.noteRefusal(now, w, workerhealth.Mute)
		}
		return
	case ReasonRestarted:
		w.fenced, w.retryInterval = false, 0
	case ReasonOtherIncarnation:
		// The answer has shown the restart.
	case ReasonNoRoom:
		if newest {
			c.noteRefusal(now, w, workerhealth.Full)
		}
	case ReasonUnhealthy:
		if newest {
			c.noteRefusal(now, w, workerhealth.Refusing)
		}
	case ReasonStaleAttempt:
		if !newest {
			c.startedEarlier(now, t, r.Answer.StartedAt)
			return
		}
		// The worker has started or stopped this attempt before. Its next list shows whether the attempt is running.
		t.startState, t.settledAt = startSettled, now
		return
	case ReasonTicket:
		delete(t.step.approvals, w.Incarnation)
	case ReasonInvalid:
	}
	if t.hadUnansweredStart {
		// An earlier start of this run may still be carried out. Only a stop prevents that.
		t.startState = startUnanswered
		t.stopWanted = true
		c.needsOrder[t] = struct{}{}
		return
	}
	t.avoidWorker = w.ID
	c.revokePlacement(now, t)
}

// sendTaskOrders sends the start and stop orders that placed tasks need.
func (c *Core) sendTaskOrders(now time.Duration) {
	for t := range c.needsOrder {
		if t.phase != workflow.Placed {
			delete(c.needsOrder, t)
			continue
		}
		switch {
		case t.startState == startStored:
			c.startIfHeard(now, t)
		case t.retryAt > now || t.stopInFlight || t.startState == startInFlight || t.startState == startUncommitted:
		case t.worker.Addr == "", t.startState == startUnanswered && !t.stopWanted && t.startCalls < maxStartCalls &&
			!t.outdated() && !t.worker.closed && (c.startsHeld || !t.worker.mayLease() || !c.heard(now, t.worker)):
			// The worker's address is not known to this owner yet, starts are held, a start would grant the worker a lease that
			// it must not get, or it is not known which incarnation the start would reach.
		case t.worker.failingSince != 0 && now-t.worker.failingSince > time.Second:
			// The worker has not answered for a second, so no order is sent. If it does not answer again, the attempt
			// is lost when its lease expires.
		case t.stopWanted || t.startState == startUnanswered &&
			(t.startCalls >= maxStartCalls || t.outdated() || t.worker.overcommitted() || t.worker.closed):
			t.stopInFlight = true
			c.orders = append(c.orders, StopOrder{Member: t.worker.Member, task: t,
				Call: StopCall{Attempt: t.attempt(), Epoch: c.epoch}})
		case t.startState == startUnanswered:
			c.sendStart(now, t)
		default:
			delete(c.needsOrder, t)
		}
	}
}

// stopRetryDelay is the pause before a stop is repeated if the worker has not reported the end of the attempt.
const stopRetryDelay = time.Second

// StopReturned applies the outcome of a stop. A worker that has accepted the stop refuses later starts of the attempt,
// so an attempt that its next list lacks is not running.
func (c *Core) StopReturned(now time.Duration, o StopOrder, a CallAnswer, err error) {
	t := o.task
	if !c.isCurrent(t, o.Member, o.Call.Attempt) {
		return
	}
	t.stopInFlight = false
	c.logger.Info("stop call finished", "task", t.id, "run", t.run, "worker", o.Member.ID, "error", err)
	var refused *RefusedError
	own := ownAnswer(a, err)
	newest := c.observeAnswer(now, t.worker, answeredKind(callStop, err), o.Member.StartedAt, own)
	// Without a name, an answer to a call that was meant for an earlier incarnation may be its own.
	newest = newest && (own.StartedAt != 0 || o.Member.StartedAt == t.worker.StartedAt)
	switch {
	case errors.As(err, &refused) && refused.Reason == ReasonFenced:
		c.superseded = true
	case errors.As(err, &refused) && refused.Reason == ReasonRestarted:
		t.worker.fenced = false
		t.retryAt = now + stopRetryDelay
	case !newest, errors.As(err, &refused) && refused.Reason == ReasonOtherIncarnation:
		// An earlier incarnation may have answered. The newest one may still get the start.
		t.retryAt = now + callRetryDelay
	case err == nil:
		t.startState, t.settledAt = startSettled, now
		t.retryAt = now + stopRetryDelay
		if !t.stopWanted {
			delete(c.needsOrder, t)
		}
	case errors.As(err, &refused) && refused.Reason == ReasonStaleAttempt:
		t.startState, t.settledAt = startSettled, now
		t.retryAt = now + stopRetryDelay
	default:
		t.retryAt = now + callRetryDelay
	}
}

func (c *Core) removeWorker(w *worker) {
	delete(c.workers, w.ID)
	delete(c.callable, w)
	delete(c.unconfirmed, w)
	delete(c.unresponsive, w)
	delete(c.health.bad, w)
	c.workersByID = nil
}

// maxStartAge limits the time from the decision of a start to its transmission, also by an agent.
const maxStartAge = maxTaskCallAge + maxTurnWait

// minRestartTime is the time within which no worker ends and answers as its next incarnation.
const minRestartTime = 60 * time.Millisecond

// heard reports whether the newest known incarnation of a worker was alive just now: its answer has been handled, also late by
// a slow owner, or it holds a call whose connection it would have closed at its end. The next call could otherwise reach a
// later incarnation.
func (c *Core) heard(now time.Duration, w *worker) bool {
	age := now - w.heardAt
	return w.fenced && (w.holdsCall || age <= minRestartTime || w.heardIn == c.steps && age <= maxTurnWait)
}

// hasStoredStart reports whether the start of a task waits until the worker has been heard.
func (w *worker) hasStoredStart() bool {
	for t := range w.tasks {
		if t.startState == startStored {
			return true
		}
	}
	return false
}

// busy reports whether the worker may have begun a task.
func (w *worker) busy() bool {
	for t := range w.tasks {
		if !t.neverSent() {
			return true
		}
	}
	return false
}

// neverSent reports whether no start of the attempt has been sent.
func (t *task) neverSent() bool {
	return t.startState == startUncommitted || t.startState == startStored
}

// startHeard sends or revokes the starts that have waited for an answer of the worker.
func (c *Core) startHeard(now time.Duration, w *worker) {
	for t := range w.tasks {
		// A gang whose member is revoked removes others of the worker.
		if t.phase == workflow.Placed && t.startState == startStored {
			c.startIfHeard(now, t)
		}
	}
}

// Act queues the orders that are due: lease renewals, repeated starts and stops. Orders returns them.
func (c *Core) Act(now time.Duration) {
	c.summarize(now)
	c.renewLeases(now)
	c.sendTaskOrders(now)
	c.steps++
}
