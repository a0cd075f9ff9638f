package scheduler

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/lease"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// fullEvery is the number of renewals of which one asks for the list of running tasks, which also brings checkpoints. A task whose worker dies
// repeats at most the work of that many renewals. One in 5 made the lists the largest part of the traffic to workers.
const fullEvery = 30

// renew calls the workers whose renewal is due.
func (s *Scheduler) renew(sh *shardLoop, now time.Time) {
	if sh.own.released || !sh.own.terms.MayRenew(now, sh.lastRead) {
		return
	}
	for _, w := range sh.own.workers {
		if w.calling || w.lost || w.member.Addr == "" || now.Before(w.next) || w.last {
			continue
		}
		w.last = sh.own.releasing
		s.callLease(sh, w, now)
	}
}

func (s *Scheduler) callLease(sh *shardLoop, w *worker, now time.Time) {
	req := w.lease.Next()
	req.AckEvents = w.ack
	req.Envelope = s.policy.envelope
	req.Revoked = sh.own.ledger.Fences(w.id)
	w.calls++
	req.Full = req.Full || w.calls%fullEvery == 0
	w.calling, w.next = true, now.Add(jitter(s.LeaseInterval))
	own, addr, timeout := sh.own, w.member.Addr, s.policy.ttl/4
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		sent := time.Now()
		reply, err := s.deps.Workers.Lease(ctx, addr, req)
		s.post(func(now time.Time) {
			w.calling = false
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

func (s *Scheduler) leaseFailed(sh *shardLoop, w *worker, now time.Time, err error) {
	s.metrics.leaseFailures.Inc()
	if !w.failing {
		s.log.Warn("worker does not answer", "shard", sh.name, "worker", w.id, "error", err)
	}
	w.failing = true
	sh.dirty = true
	s.syncGrants(sh, w, now)
}

func (s *Scheduler) leaseAnswered(sh *shardLoop, w *worker, sent, now time.Time, req upstream.LeaseRequest, r upstream.LeaseReply) {
	w.failing = false
	fenced := w.lease.Fenced()
	answer := w.lease.Reply(sent, now, r)
	switch answer {
	case lease.Superseded:
		if !sh.own.superseded {
			s.log.Warn("worker has seen a higher epoch", "shard", sh.name, "worker", w.id, "epoch", r.Epoch)
		}
		sh.own.superseded, w.lost = true, true
		return
	case lease.Refused:
		s.log.Warn("worker refused the lease", "shard", sh.name, "worker", w.id, "reason", r.Refusal)
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
		return
	case lease.Outdated:
		return
	case lease.Rebooted:
		s.log.Info("worker has restarted", "shard", sh.name, "worker", w.id)
		w.events, w.ack, w.leaving, w.leased = nil, 0, false, false
		sh.dirty = true
		w.next = now
		sh.own.ledger.RemoveWorker(now, w.id)
		w.granted = false
	}
	if r.Refusal != upstream.RefusalNone {
		return
	}
	if !fenced {
		sh.changed = true
		// The lease starts with the second call, which echoes the first reading.
		w.next = now
	}
	if r.Leaving && !w.leaving {
		w.leaving, sh.dirty = true, true
		s.log.Info("worker is leaving", "shard", sh.name, "worker", w.id)
	}
	// A plain renewal changes nothing for the attempts.
	leased := r.Expiry > r.Clock
	if !fenced || leased != w.leased || len(r.Events) > 0 || r.HasRunning {
		sh.dirty = true
	}
	w.leased = leased
	s.takeReport(sh, w, sent, now, r)
	s.syncGrants(sh, w, now)
	sh.own.ledger.Report(now, w.id, req.Revoked, r.InProgress)
}

// takeReport compares a worker's own report with the open attempts.
func (s *Scheduler) takeReport(sh *shardLoop, w *worker, sent, now time.Time, r upstream.LeaseReply) {
	if r.Usage != nil {
		w.usage = r.Usage
	}
	w.events = r.Events
	for i := range r.Events {
		e := &r.Events[i]
		if t := w.tasks[e.TaskRef]; t != nil && t.end == nil {
			t.end = e
			sh.changed = true
			w.health.ended(now, e)
			s.metrics.observeEnd(t, e)
		}
	}
	s.acknowledge(sh, w)
	if !r.HasRunning && len(r.Running) == 0 {
		return
	}
	running := make(map[upstream.TaskRef]bool, len(r.Running))
	for _, t := range r.Running {
		running[t.TaskRef] = true
		if own := w.tasks[t.TaskRef]; own != nil {
			s.runs(sh, own, now)
			if t.Checkpoint != "" {
				own.checkpoint = t.Checkpoint
			}
		} else if !sh.state.IsOpen(t.TaskRef) {
			s.stopStray(sh, w, t.TaskRef)
		}
	}
	for ref, t := range w.tasks {
		// The call was sent after the start was confirmed, and the worker neither runs the attempt nor reports its end.
		if !running[ref] && t.end == nil && !t.started.IsZero() && t.started.Before(sent) && t.boot == w.lease.Boot() {
			t.end = &upstream.TaskEvent{TaskRef: ref, Outcome: upstream.OutcomeLost, RunTime: now.Sub(t.started),
				Checkpoint: t.checkpoint, Reason: "the worker reports that it does not run the attempt"}
		}
	}
}

// acknowledge moves the acknowledged event number past the events whose attempts are closed in the log.
func (s *Scheduler) acknowledge(sh *shardLoop, w *worker) {
	for len(w.events) > 0 && !sh.state.IsOpen(w.events[0].TaskRef) {
		w.ack = max(w.ack, w.events[0].Number)
		w.events = w.events[1:]
	}
}

// runs records that an attempt is known to run.
func (s *Scheduler) runs(sh *shardLoop, t *run, now time.Time) {
	t.sent = true
	t.unknownUntil = time.Time{}
	if !t.started.IsZero() {
		return
	}
	t.started = now
	s.metrics.observeStart(sh, t, now)
}

// stopStray stops an attempt that the log does not know as open.
func (s *Scheduler) stopStray(sh *shardLoop, w *worker, ref upstream.TaskRef) {
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
