package dispatch

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// A worker that restarts under its id receives the calls that were meant for its earlier incarnation. What is known of
// one incarnation does not hold for another: its labels and capacity, its clock, its lease and its attempts.

// observeIncarnation applies the start of a worker that an entry or an answer contains; 0 if it contains none. sentTo is the
// incarnation that was the newest known one when the answered call was decided; 0 for an entry. It reports whether it is the
// newest known incarnation.
func (c *Core) observeIncarnation(now time.Duration, w *worker, startedAt, sentTo int64) bool {
	// The clock of a worker may be set back before it restarts. Whatever answers a call that was decided after the newest
	// known incarnation had started is at least as new.
	answersNewest := sentTo != 0 && sentTo == w.StartedAt
	switch {
	case startedAt > w.StartedAt && !w.hasEnded(startedAt), startedAt != 0 && startedAt != w.StartedAt && answersNewest:
		c.workerRestarted(now, w, startedAt)
	case startedAt < w.StartedAt && startedAt != 0 && startedAt != w.ignoredStart:
		w.ignoredStart = startedAt
		c.logger.Warn("ignoring an earlier incarnation of a worker", "worker", w.ID, "born", startedAt, "newest", w.StartedAt)
	}
	newest := startedAt == w.StartedAt
	if newest && sentTo != 0 && sentTo != startedAt {
		// Such a call is not sent. The longest lease still counts, in case a worker carries one out in its next life.
		w.extendLease(now + withDrift(c.params.MaxLease))
	}
	return newest || startedAt == 0
}

// mustConfirm reports whether an entry must not end what the newest known incarnation runs before the worker has answered: the
// entry may be that of an incarnation which ended before it, and whose start is later because the clock was set back since.
func (w *worker) mustConfirm(startedAt int64) bool {
	return startedAt > w.StartedAt && w.StartedAt != 0 && w.Addr != "" && !w.hasEnded(startedAt) && (w.busy() || len(w.lost) > 0)
}

// announce makes a lease call find out at once whether the incarnation of an entry lives. The call in flight no longer counts: the
// known incarnation may have answered it before the entry was written, or ended without a sign.
func (c *Core) announce(w *worker, m Member) {
	if w.announced == nil || w.announced.StartedAt != m.StartedAt {
		c.logger.Info("another incarnation of a worker is listed, asking the worker", "worker", w.ID, "known", w.StartedAt,
			"listed", m.StartedAt, "tasks", len(w.tasks))
		w.announcements++
		w.fenced, w.holdsCall, w.retryInterval = false, false, 0
		c.callable[w] = struct{}{}
	}
	w.announced, w.listed = &m, true
}

// refuteAnnounced notes that the newest known incarnation has answered a call that was sent after the entry of another one was
// read, so that the other one has ended.
func (w *worker) refuteAnnounced() {
	if w.announced != nil {
		w.noteEnded(w.announced.StartedAt)
		w.announced = nil
	}
}

// noteEnded notes that an incarnation of the worker has ended.
func (w *worker) noteEnded(startedAt int64) {
	if w.ended == nil {
		w.ended = map[int64]struct{}{}
	}
	w.ended[startedAt] = struct{}{}
}

// hasEnded reports whether an incarnation of the worker is known to have ended.
func (w *worker) hasEnded(startedAt int64) bool {
	_, ok := w.ended[startedAt]
	return ok
}

// callKind names a kind of call to a worker in logs and metrics.
type callKind string

const (
	callStart    callKind = "start"
	callStop     callKind = "stop"
	callCPULimit callKind = "cpu-limit"
	callLease    callKind = "lease"
	// callLook is a lease call that grants no lease and confirms no end. It finds out which incarnation answers.
	callLook callKind = "look"
)

// answeredKind returns the kind of the call that was answered: a look if another incarnation was found before the call was sent.
func answeredKind(k callKind, err error) callKind {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Reason == ReasonOtherIncarnation {
		return callLook
	}
	return k
}

// LogValue implements slog.LogValuer.
func (k callKind) LogValue() slog.Value { return slog.StringValue(string(k)) }

// observeAnswer applies the incarnation and the clock reading of an answer, and reports whether the newest known
// incarnation may have answered. Any incarnation may have sent an answer that names none. sentTo is as for observeIncarnation.
func (c *Core) observeAnswer(now time.Duration, w *worker, kind callKind, sentTo int64, a CallAnswer) bool {
	newest := c.observeIncarnation(now, w, a.StartedAt, sentTo)
	if a.StartedAt != 0 && sentTo != 0 && a.StartedAt != sentTo {
		c.logger.Info("another incarnation answered a call", "worker", w.ID, "call", kind, "meant_for", sentTo,
			"born", a.StartedAt, "newest", w.StartedAt, "lease_ms", (w.leaseEnd - now).Milliseconds())
		c.metrics.answeredByOther(kind)
	}
	if !newest {
		return false
	}
	if a.StartedAt != 0 {
		w.observeClock(now, a.Clock)
	}
	return true
}

// ownAnswer returns what the worker itself has answered to a call that returned a and err; empty if it has not.
func ownAnswer(a CallAnswer, err error) CallAnswer {
	var refused *RefusedError
	switch {
	case err == nil:
		return a
	case errors.As(err, &refused) && refused.Reason != ReasonRestarted:
		return refused.Answer
	}
	// With ReasonRestarted, another worker answers at the address.
	return CallAnswer{}
}

// workerRestarted applies a restart of a worker, or the first report of its incarnation: it runs no attempt of an earlier
// one, and no longer refuses earlier owners.
func (c *Core) workerRestarted(now time.Duration, w *worker, startedAt int64) {
	first := w.StartedAt == 0
	c.workerCrashed(w, startedAt)
	if !first {
		c.logger.Info("worker restarted", "worker", w.ID, "before", w.StartedAt, "born", startedAt, "tasks", len(w.tasks))
		w.noteEnded(w.StartedAt)
	}
	delete(w.ended, startedAt)
	w.StartedAt = startedAt
	c.resolveEarlierIncarnations(now, w)
	if first {
		// Tasks that remain may run under a lease that an earlier owner granted by the clock of the earlier incarnation.
		for t := range w.tasks {
			if t.outdated() {
				w.extendLease(c.predecessorUntil + withDrift(c.params.MaxLease))
			}
		}
		return
	}
	// The recorded silence concerns the earlier incarnation.
	w.fenced, w.silence, w.succeeded = false, silenceNone, false
	w.failingSince, w.retryInterval = 0, 0
	if w.health.Restarted(now) {
		c.noteExcluded(now, w)
	}
	w.clockOffset, w.clockOffsetAt, w.answerAge = 0, 0, 0
	w.clockReading, w.clockReadAt, w.appliedEnd, w.endMarks = 0, 0, 0, nil
	w.confirmedEnd, w.sentConfirmation, w.receivedConfirmation = 0, 0, 0
	w.worstTailRatio = 0
	// Calls by the earlier clock are not sent to this incarnation. The longest lease, which one of them would grant, still counts, in
	// case a worker carries one out in its next life.
	w.leaseEnd = now + withDrift(c.params.MaxLease)
	c.nextExpiry = min(c.nextExpiry, w.leaseEnd)
	if m := w.announced; m != nil {
		w.announced = nil
		if m.StartedAt == startedAt {
			c.SetMember(now, *m)
		}
	}
}

// outdated reports whether a later incarnation of the worker is known than the one on which the task was placed.
func (t *task) outdated() bool {
	w := t.worker
	return t.workerStartedAt != 0 && (t.workerStartedAt < w.StartedAt || w.hasEnded(t.workerStartedAt))
}

// resolveEarlierIncarnations ends the attempts that have certainly ended with an earlier incarnation. The newest one may
// have received the start of the others.
func (c *Core) resolveEarlierIncarnations(now time.Duration, w *worker) {
	for t := range w.tasks {
		if t.phase != workflow.Placed || !t.outdated() {
			continue
		}
		switch t.startState {
		case startUncommitted, startStored:
			c.revokePlacement(now, t)
		case startSettled:
			c.resolveSettled(now, t)
		}
		// The answer to a start in flight names the incarnation that has received it, and an unanswered start is followed
		// by a stop.
	}
}

// resolveSettled resolves an outdated attempt whose start is settled.
func (c *Core) resolveSettled(now time.Duration, t *task) {
	switch {
	case t.hadUnansweredStart:
		// A copy of the start may still reach the newest incarnation.
		t.startState = startUnanswered
		c.needsOrder[t] = struct{}{}
	case t.unresolved():
		// The next list of the newest incarnation shows whether the attempt runs.
		t.settledAt = now
	default:
		c.attemptLost(now, t, lossRestarted)
	}
}

// unresolved reports whether the start is settled, but it is not known which incarnation of the worker has begun the
// attempt, if any.
func (t *task) unresolved() bool { return t.startState == startSettled && t.acceptedBy == 0 }

// accept notes that an incarnation has begun the attempt; 0 if it is unknown. The newest one adopts an attempt that was
// meant for an earlier one.
func (c *Core) accept(t *task, startedAt int64) {
	c.noteBegun(t.job())
	t.acceptedBy = max(t.acceptedBy, startedAt)
	w := t.worker
	if !t.outdated() || startedAt != w.StartedAt {
		return
	}
	c.logger.Info("attempt adopted from a restarted worker", "task", t.id, "run", t.run, "worker", w.ID,
		"before", t.workerStartedAt, "born", w.StartedAt)
	t.workerStartedAt, t.adopted, t.cpuLimit = w.StartedAt, true, unknownCPULimit
	c.markDirty(t.job())
	if w.describedIncarnation == w.StartedAt && !w.suits(t) {
		c.stopAttempt(t)
	}
}

// suits reports whether the worker belongs to the pool of the task and has its label.
func (w *worker) suits(t *task) bool {
	label := t.step.def.Label
	return w.Pool == t.job().terms.Pool && (label == "" || w.hasLabel(label))
}

// stopUnsuited stops the adopted attempts that the newest incarnation of a worker must not run. They were adopted before its
// entry was read.
func (c *Core) stopUnsuited(w *worker) {
	for t := range w.tasks {
		if t.adopted && !w.suits(t) {
			c.logger.Warn("worker of another kind runs task", "task", t.id, "run", t.run, "worker", w.ID)
			c.stopAttempt(t)
		}
	}
}
