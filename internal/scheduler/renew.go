package scheduler

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/lease"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// leaseCallsPerFullReport is the number of lease calls of which one requests the list of running tasks with their
// checkpoints. A task whose worker crashes repeats at most the work of that many calls. With one in 5, the lists
// made up the largest part of the traffic to workers.
const leaseCallsPerFullReport = 30

// renewLeases starts the lease calls that are due, unless the owner has been without the log for the isolation limit.
func (s *Scheduler) renewLeases(sh *managedShard, now time.Time) {
	if sh.own.released || !sh.own.terms.MayRenew(now, sh.readSentAt) {
		return
	}
	for _, w := range sh.own.workers {
		if w.leaseInFlight || w.sawHigherEpoch || w.member.Addr == "" || now.Before(w.nextRenewal) ||
			w.finalRenewalSent {
			continue
		}
		w.finalRenewalSent = sh.own.releasing
		s.sendRenewal(sh, w, now)
	}
}

// sendRenewal starts a lease call, which fences the worker or renews its lease.
func (s *Scheduler) sendRenewal(sh *managedShard, w *worker, now time.Time) {
	req := w.lease.NextRequest()
	req.AckEvents = w.lastAckedEvent
	req.Envelope = s.policy.envelope
	req.Revoked = sh.own.slotAllocator.NextFences(w.id)
	w.leaseCalls++
	req.Full = req.Full || w.leaseCalls%leaseCallsPerFullReport == 0
	w.leaseInFlight, w.nextRenewal = true, now.Add(jitter(s.LeaseInterval))
	own, addr, timeout := sh.own, w.member.Addr, s.policy.ttl/4
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		sent := time.Now()
		reply, err := s.deps.Workers.Lease(ctx, addr, req)
		s.post(func(now time.Time) {
			w.leaseInFlight = false
			if sh.own != own || own.workers[w.id] != w {
				return
			}
			if err != nil {
				s.leaseFailed(sh, w, now, err)
				return
			}
			s.leaseAnswered(sh, w, sent, now, req, reply)
		})
	})
}

func (s *Scheduler) leaseFailed(sh *managedShard, w *worker, now time.Time, err error) {
	s.metrics.leaseFailures.Inc()
	if !w.unreachable {
		s.log.Warn("lease call to worker failed", "shard", sh.name, "worker", w.id, "error", err)
	}
	w.unreachable = true
	sh.needsReconcile = true
	s.syncAllocator(sh, w, now)
}

func (s *Scheduler) leaseAnswered(sh *managedShard, w *worker, sent, now time.Time, req upstream.LeaseRequest,
	r upstream.LeaseReply) {
	w.unreachable = false
	fenced, previous := w.lease.Fenced(), w.lease.Incarnation()
	result := w.lease.HandleReply(sent, now, r)
	switch result {
	case lease.Superseded:
		if !sh.own.superseded {
			s.log.Warn("worker reports a higher epoch; shard has another owner", "shard", sh.name, "worker", w.id,
				"epoch", r.Epoch)
		}
		sh.own.superseded, w.sawHigherEpoch = true, true
		return
	case lease.Refused:
		s.log.Warn("worker refused the lease", "shard", sh.name, "worker", w.id, "reason", r.Refusal)
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
		return
	case lease.Outdated:
		return
	case lease.Restarted:
		s.log.Info("worker has restarted", "shard", sh.name, "worker", w.id)
		w.unackedEvents, w.lastAckedEvent, w.leased = nil, 0, false
		w.reportedLeaving, w.ended = false, previous
		sh.needsReconcile = true
		w.nextRenewal = now
		sh.own.slotAllocator.RemoveWorker(now, w.id)
		w.inAllocator = false
	}
	if r.Refusal != upstream.RefusalNone {
		return
	}
	if !fenced {
		sh.needsPlacement = true
		// The first call only fences the worker. The second one, which echoes the worker's clock reading, starts the
		// lease.
		w.nextRenewal = now
	}
	wasLeaving := w.leaving()
	w.reportedLeaving = w.reportedLeaving || r.Leaving
	if w.leaving() && !wasLeaving {
		sh.needsReconcile = true
		s.log.Info("worker is leaving", "shard", sh.name, "worker", w.id)
	}
	// A renewal without news about attempts needs no reconciliation.
	leased := r.Expiry > r.Clock
	if !fenced || leased != w.leased || len(r.Events) > 0 || r.HasRunning {
		sh.needsReconcile = true
	}
	w.leased = leased
	s.applyReport(sh, w, sent, now, r)
	s.syncAllocator(sh, w, now)
	sh.own.slotAllocator.ApplyLeaseReply(now, w.id, req.Revoked, r.InProgress)
}

// applyReport updates the open attempts from a worker's report: attempts that have ended, attempts that run, and
// attempts that the worker has lost. It stops running attempts that are not open. sent is when the lease call was sent.
func (s *Scheduler) applyReport(sh *managedShard, w *worker, sent, now time.Time, r upstream.LeaseReply) {
	if r.Usage != nil {
		w.usage = r.Usage
	}
	w.unackedEvents = r.Events
	for i := range r.Events {
		e := &r.Events[i]
		if a := w.attempts[e.TaskRef]; a != nil && a.endEvent == nil {
			a.endEvent = e
			sh.needsPlacement = true
			if !s.noQuarantine {
				w.health.recordEnd(now, e)
			}
			s.metrics.observeEnd(a, e)
		}
	}
	s.ackEvents(sh, w)
	if !r.HasRunning && len(r.Running) == 0 {
		return
	}
	running := make(map[upstream.TaskRef]bool, len(r.Running))
	for _, t := range r.Running {
		running[t.TaskRef] = true
		if a := w.attempts[t.TaskRef]; a != nil {
			s.markRunning(sh, a, now)
			if t.Checkpoint != "" {
				a.checkpoint = t.Checkpoint
			}
		} else if !sh.state.IsOpen(t.TaskRef) {
			s.stopOrphan(sh, w, t.TaskRef)
		}
	}
	for ref, a := range w.attempts {
		// The lease call was sent after the start was confirmed, yet the worker neither runs the attempt nor reports
		// its end.
		if !running[ref] && a.endEvent == nil && !a.startedAt.IsZero() && a.startedAt.Before(sent) &&
			a.incarnation == w.lease.Incarnation() {
			a.endEvent = &upstream.TaskEvent{TaskRef: ref, Outcome: upstream.OutcomeLost, RunTime: now.Sub(a.startedAt),
				Checkpoint: a.checkpoint, Reason: "the worker reports that it does not run the attempt"}
		}
	}
}

// ackEvents advances the acknowledged event number past the events whose attempts are closed in the log.
func (s *Scheduler) ackEvents(sh *managedShard, w *worker) {
	for len(w.unackedEvents) > 0 && !sh.state.IsOpen(w.unackedEvents[0].TaskRef) {
		w.lastAckedEvent = max(w.lastAckedEvent, w.unackedEvents[0].Number)
		w.unackedEvents = w.unackedEvents[1:]
	}
}

// markRunning records that a worker has confirmed to run an attempt.
func (s *Scheduler) markRunning(sh *managedShard, a *openAttempt, now time.Time) {
	a.startSent = true
	a.startUncertainUntil = time.Time{}
	if !a.startedAt.IsZero() {
		return
	}
	a.startedAt = now
	s.metrics.observeStart(sh, a, now)
}

// stopOrphan stops an attempt that runs on a worker but is not open according to the log.
func (s *Scheduler) stopOrphan(sh *managedShard, w *worker, ref upstream.TaskRef) {
	s.log.Warn("worker runs an attempt that is not open", "shard", sh.name, "worker", w.id, "job", ref.Job,
		"index", ref.Index, "attempt", ref.Attempt)
	req := upstream.StopRequest{Shard: sh.name, Epoch: sh.own.epoch, TaskRef: ref, Outcome: upstream.OutcomeCancelled}
	addr := w.member.Addr
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		if _, err := s.deps.Workers.Stop(ctx, addr, req); err != nil {
			s.log.Debug("stop call failed", "worker", w.id, "error", err)
		}
	})
}
