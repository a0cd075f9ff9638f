package dispatch

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// leaseCallWait is how long a worker delays its answer to a lease call until an attempt ends. mixedLeaseCallWait
	// applies where best-effort tasks run beside services: the latency of a service must be reported within a fraction
	// of the time for which it may be over its objective.
	leaseCallWait      = time.Second
	mixedLeaseCallWait = 400 * time.Millisecond
	// unconfirmedRenewInterval is the interval of renewals while the newest end of the worker is not stored yet.
	unconfirmedRenewInterval = 600 * time.Millisecond
	// idleRenewInterval is the interval of renewals for a worker without tasks.
	idleRenewInterval = 4 * time.Second
	// Limits of the exponential backoff for a worker that does not answer.
	minLeaseRetry = 50 * time.Millisecond
	maxLeaseRetry = 800 * time.Millisecond
)

// renewLeases sends the lease calls that are due, and removes workers that are neither listed nor in use.
func (c *Core) renewLeases(now time.Duration) {
	expired := c.expireLeases(now)
	for w := range c.callable {
		if _, ok := expired[w]; ok {
			continue
		}
		if !w.listed && len(w.tasks) == 0 && w.silence == silenceNone &&
			!w.awaitsCrashEvidence(now) && (w.confirmedEnd == w.sentConfirmation || w.failingSince != 0) {
			c.removeWorker(w)
			continue
		}
		if w.Addr == "" || now < w.leaseSentAt+c.renewInterval(w) ||
			!w.fenced && len(w.tasks) == 0 && !c.config.HasPool(w.Pool) {
			continue
		}
		c.sendLease(now, w)
	}
}

// expireLeases gives up the attempts on the workers whose leases have certainly expired, and returns these workers.
func (c *Core) expireLeases(now time.Duration) map[*worker]struct{} {
	if now <= c.nextExpiry {
		return nil
	}
	expired := map[*worker]struct{}{}
	for _, w := range c.workers {
		if c.expireLease(now, w) {
			expired[w] = struct{}{}
		}
	}
	// Leases are only ever extended, and assignTask and restoreTask consider those of workers that had no tasks.
	c.nextExpiry = now + c.params.Lease
	for _, w := range c.workers {
		if len(w.tasks) > 0 {
			c.nextExpiry = min(c.nextExpiry, w.leaseEnd)
		}
	}
	return expired
}

// expireLease gives up the attempts on a worker whose lease has certainly expired, and reports whether it did so.
func (c *Core) expireLease(now time.Duration, w *worker) bool {
	if len(w.tasks) == 0 || now <= w.leaseEnd || w.leaseEnd == 0 {
		return false
	}
	// A start that is uncommitted or in flight may extend the lease.
	for t := range w.tasks {
		if t.startState == startUncommitted || t.startState == startInFlight {
			return false
		}
	}
	var ended []*task
	for t := range w.tasks {
		if !t.neverSent() && now > t.longestLeaseEnd(c.params.MaxLease) {
			ended = append(ended, t)
		}
	}
	if len(ended) == 0 {
		return false
	}
	c.logger.Warn("worker lease expired", "worker", w.ID, "tasks", len(w.tasks), "ended", len(ended),
		"silent_ms", (now - max(w.answeredAt, c.ownerSince)).Milliseconds(), "answered", w.answeredAt != 0)
	w.fenced = false
	c.noteLost(now, w, ended)
	for _, t := range ended {
		c.attemptLost(now, t, lossLeaseExpired)
	}
	return true
}

// longestLeaseEnd returns the time by which the longest lease has expired that the start of a task may have granted to an
// incarnation that has not been heard since; 0 if there is no such start. A worker that has closed or refused the newest
// connection is not cut off: a later incarnation would answer.
func (t *task) longestLeaseEnd(longest time.Duration) time.Duration {
	w := t.worker
	if t.startCalls == 0 || t.acceptedBy != 0 || w.askedAt > t.startSentAt || w.failingSince != 0 && w.connectionLost {
		return 0
	}
	return t.startSentAt + maxStartAge + withDrift(longest)
}

// renewInterval returns the time between two lease calls. It is 0 for a worker with tasks: each call waits at the
// worker for leaseCallWait.
func (c *Core) renewInterval(w *worker) time.Duration {
	switch {
	case w.retryInterval > 0:
		return w.retryInterval
	case !w.fenced, w.confirmedEnd > w.sentConfirmation:
		return 0
	case w.appliedEnd > w.confirmedEnd && !w.hasStoredStart():
		return unconfirmedRenewInterval
	case len(w.tasks) == 0:
		return idleRenewInterval
	}
	return 0
}

func (c *Core) sendLease(now time.Duration, w *worker) {
	call := c.leaseCall(now, w)
	w.leaseSentAt = now
	delete(c.callable, w)
	m := w.Member
	if w.announced != nil {
		m.Addr = w.announced.Addr
	}
	c.orders = append(c.orders, LeaseOrder{Member: m, Call: call, worker: w, announcements: w.announcements})
}

// leaseCall returns the next lease call to a worker. To an idle one that has not been heard it grants and confirms nothing: a
// later incarnation would take the longest lease by the clock of the earlier one, and forget ends that nobody has read.
func (c *Core) leaseCall(now time.Duration, w *worker) LeaseCall {
	call := LeaseCall{Epoch: c.epoch}
	heard := c.heard(now, w)
	if !heard && !w.busy() {
		return call
	}
	// A worker that did not answer may have restarted, and would discard the ends of its new incarnation.
	if heard && w.confirmedEnd > w.receivedConfirmation && w.failingSince == 0 {
		call.LastStoredEnd, w.sentConfirmation = w.confirmedEnd, w.confirmedEnd
	}
	// A worker that left a call unanswered gets no new lease until it answers, so that the owner knows by when its
	// tasks have ended.
	if w.mayLease() {
		call.ExpiresAt = w.grantLease(now, c.params.Lease)
		if heard && len(w.tasks) > 0 && w.appliedEnd == w.confirmedEnd {
			call.Wait = leaseCallWait
			if w.isMixed() {
				call.Wait = mixedLeaseCallWait
			}
			if w.watchesSuspect() {
				call.Wait = min(call.Wait, startProof)
			}
			if w.runsCopyable() {
				call.Wait = min(call.Wait, copyReportWait)
			}
			w.holdsCall = true
		}
	}
	return call
}

// LeaseFailed applies the refusal of a lease call, or the lack of an answer.
func (c *Core) LeaseFailed(now time.Duration, o LeaseOrder, err error) {
	w := o.worker
	if o.announcements != w.announcements {
		return
	}
	w.holdsCall = false
	c.callable[w], c.unresponsive[w] = struct{}{}, struct{}{}
	if o.Call.LastStoredEnd > 0 && w.sentConfirmation == o.Call.LastStoredEnd {
		// The worker may not have received the confirmation, so it is sent again.
		w.sentConfirmation = 0
	}
	// The address may be that of an incarnation that was listed only.
	elsewhere := o.Member.Addr != w.Addr
	var refused *RefusedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case ReasonFenced:
			c.superseded = true
			return
		case ReasonRestarted:
			w.fenced = false
			if !elsewhere {
				c.noteSuccessor(now, w)
			}
		}
	}
	if w.failingSince == 0 {
		w.failingSince = now
		w.health.Silent(now)
		for t := range w.tasks {
			// Its end may be read late.
			t.timed = false
		}
		c.logger.Info("worker does not answer", "worker", w.ID, "error", err, "tasks", len(w.tasks),
			"granted", o.Call.ExpiresAt > 0, "confirmed", o.Call.LastStoredEnd)
	}
	w.connectionLost = !elsewhere && ConnectionLost(err)
	w.retryInterval = min(max(2*w.retryInterval, minLeaseRetry), maxLeaseRetry)
	c.startHeard(now, w)
}
