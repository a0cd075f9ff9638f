package scheduler

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// taskTimeout bounds one start or stop call, taskRetry is the pause before the next one.
	taskTimeout = 2 * time.Second
	taskRetry   = 500 * time.Millisecond
	// maxMoving bounds the evictions that a shard has in progress at a time for drained and leaving workers, so that a drain does
	// not stop a whole shard's work at once.
	maxMoving = 16
)

// canWrite reports whether new records may be written for a shard.
func (s *Scheduler) canWrite(sh *shardLoop, now time.Time) bool {
	return !sh.out.failing() && !sh.own.released && !sh.own.superseded && now.Sub(sh.readAt) < logFresh
}

// reconcile compares the open attempts with what the workers report, and starts, stops, closes and places accordingly.
func (s *Scheduler) reconcile(sh *shardLoop, now time.Time) {
	write := s.canWrite(sh, now)
	moving := 0
	for _, w := range sh.own.workers {
		s.acknowledge(sh, w)
		for _, t := range w.tasks {
			if write && !t.closing {
				s.closeEnded(sh, w, t, now)
			}
			if !t.closing && !sh.own.superseded && !sh.own.released {
				s.startOrStop(sh, w, t, now, &moving)
			}
		}
	}
	if !write {
		return
	}
	s.snapshot(sh, now)
	if sh.changed && !s.leaving && !sh.own.releasing {
		sh.changed = false
		s.place(sh, now)
	}
	s.finishRelease(sh, now)
}

// closeEnded writes the Close of an attempt that has certainly ended.
func (s *Scheduler) closeEnded(sh *shardLoop, w *worker, t *run, now time.Time) {
	e := t.end
	switch {
	case e != nil:
	case w.lease.Fenced() && w.lease.Boot() != t.boot:
		e = &upstream.TaskEvent{Outcome: upstream.OutcomeLost, Reason: "the worker has restarted"}
	case w.lease.Lapsed(now):
		e = &upstream.TaskEvent{Outcome: upstream.OutcomeLost, Reason: "the worker's lease has lapsed"}
	default:
		return
	}
	if j := sh.state.Job(t.ref.Job); e.Outcome == upstream.OutcomeLost && !t.sent && j != nil {
		// This owner placed the attempt and never sent the start call, so it cannot have run.
		if task := j.Task(t.ref.Index); task != nil && task.Epoch == sh.own.epoch {
			e.Outcome = upstream.OutcomeEvicted
		}
	}
	runTime := e.RunTime
	if runTime == 0 && !t.started.IsZero() {
		runTime = now.Sub(t.started)
	}
	c := &contract.Close{TaskRef: t.ref, Outcome: e.Outcome, Checkpoint: e.Checkpoint, RunTime: runTime, At: now,
		Reason: e.Reason, Final: s.final(sh, t, e.Outcome), Cost: s.version.Manifest.Prices.Of(t.size, runTime)}
	if c.Checkpoint == "" {
		c.Checkpoint = t.checkpoint
	}
	t.closing = true
	s.put(sh, sh.own.epoch, c)
}

// final reports whether the outcome uses up the task's attempts. Evictions do not count, because the system causes them.
func (s *Scheduler) final(sh *shardLoop, t *run, o upstream.Outcome) bool {
	if o != upstream.OutcomeFailed && o != upstream.OutcomeLost {
		return false
	}
	j := sh.state.Job(t.ref.Job)
	if j == nil || j.Submit.Service {
		return false
	}
	limit := t.kind.MaxAttempts
	if limit <= 0 {
		limit = defaultAttempts
	}
	task := j.Task(t.ref.Index)
	return task != nil && task.Failures+1 >= limit
}

// startOrStop makes the next call for an attempt that has not ended.
func (s *Scheduler) startOrStop(sh *shardLoop, w *worker, t *run, now time.Time, moving *int) {
	if t.end != nil || t.busy || now.Before(t.next) || !w.lease.Fenced() || w.lease.Boot() != t.boot {
		return
	}
	j := sh.state.Job(t.ref.Job)
	if j == nil {
		return
	}
	outcome, stop := s.wantsStop(sh, w, j, t)
	if stop && outcome == upstream.OutcomeEvicted {
		if *moving++; *moving > maxMoving {
			return
		}
	}
	switch {
	case stop && !t.sent:
		t.end = &upstream.TaskEvent{TaskRef: t.ref, Outcome: outcome, Reason: "the attempt was not started"}
		sh.dirty = true
	case !t.sent && w.health.quarantined(now):
		s.giveUp(sh, t, "the worker is in quarantine")
	case stop:
		s.stop(sh, w, t, now, outcome)
	case t.started.IsZero() && w.leased && !w.leaving && !sh.own.releasing && !s.leaving && s.fitsNow(w, t):
		s.startTask(sh, w, j, t, now)
	}
}

// wantsStop reports whether an attempt is to be stopped and with which outcome.
func (s *Scheduler) wantsStop(sh *shardLoop, w *worker, j *attempt.Job, t *run) (upstream.Outcome, bool) {
	if task := j.Task(t.ref.Index); task != nil && attempt.Unwanted(j, task) {
		return upstream.OutcomeCancelled, true
	}
	// Evictions are closed and placed again, which needs the log.
	if (w.leaving || sh.state.Drained(w.id)) && !sh.out.failing() {
		return upstream.OutcomeEvicted, true
	}
	return "", false
}

// fitsNow reports whether the worker has room for the attempt beside those that were already sent.
func (s *Scheduler) fitsNow(w *worker, t *run) bool {
	return w.held(func(o *run) bool { return o.sent && o != t }).Add(t.size).Fits(s.limit(w))
}

// held adds up the sizes of the attempts that have not ended and for which f holds.
func (w *worker) held(f func(*run) bool) (v resource.Vector) {
	for _, t := range w.tasks {
		if t.end == nil && f(t) {
			v = v.Add(t.size)
		}
	}
	return v
}

// limit is what batch and service tasks may hold on a worker beside its slots.
func (s *Scheduler) limit(w *worker) resource.Vector {
	return w.member.Capacity.Sub(s.policy.envelope.Scale(int64(w.member.Slots)))
}

func (s *Scheduler) startTask(sh *shardLoop, w *worker, j *attempt.Job, t *run, now time.Time) {
	task := j.Task(t.ref.Index)
	k := t.kind
	runTime := k.RunTime
	if j.Submit.RunTime > 0 {
		runTime = j.Submit.RunTime
	}
	req := upstream.StartRequest{Shard: sh.name, Epoch: sh.own.epoch, Boot: t.boot, NotAfter: w.lease.StartBound(),
		TaskRef: t.ref, Kind: j.Submit.Kind, Size: t.size, RunTime: runTime, CheckpointEvery: k.CheckpointEvery,
		Checkpoint: task.Checkpoint, Service: j.Submit.Service}
	t.busy, t.sent = true, true
	bound := w.lease.Lapse()
	held := w.held(func(o *run) bool { return o.sent })
	invariant.Check(invariant.WorkerCapacity, held.Fits(w.member.Capacity), "worker", w.id, "held", held,
		"capacity", w.member.Capacity)
	invariant.Check(invariant.NoWorkWhenLeaving, !w.leaving, "worker", w.id, "job", t.ref.Job)
	own, addr := sh.own, w.member.Addr
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		reply, err := s.deps.Workers.Start(ctx, addr, req)
		s.post(func(now time.Time) {
			t.busy = false
			if sh.own == own {
				s.startAnswered(sh, w, t, now, bound, reply, err)
			}
		})
	})
}

func (s *Scheduler) startAnswered(sh *shardLoop, w *worker, t *run, now, bound time.Time, r upstream.TaskReply, err error) {
	sh.dirty = true
	t.next = now.Add(jitter(taskRetry))
	switch {
	case err != nil:
		t.unknownUntil = later(t.unknownUntil, bound)
		s.log.Debug("start call failed", "worker", w.id, "job", t.ref.Job, "error", err)
	case r.Refusal == upstream.RefusalNone:
		s.runs(sh, t, now)
	case r.Refusal == upstream.RefusalNoLease:
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
	case r.Refusal == upstream.RefusalStaleEpoch:
		sh.own.superseded = true
	default:
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
		// An earlier call without an answer may still be executed until its bound; the attempt stays open until then.
		if t.started.IsZero() && now.After(t.unknownUntil) {
			t.end = &upstream.TaskEvent{TaskRef: t.ref, Outcome: upstream.OutcomeEvicted,
				Reason: "the worker refused to start: " + string(r.Refusal)}
		}
	}
}

func (s *Scheduler) stop(sh *shardLoop, w *worker, t *run, now time.Time, o upstream.Outcome) {
	if !t.stopped.IsZero() && now.Sub(t.stopped) < s.policy.ttl/2 {
		return
	}
	t.busy, t.stopping = true, true
	req := upstream.StopRequest{Shard: sh.name, Epoch: sh.own.epoch, TaskRef: t.ref, Outcome: o,
		Checkpoint: o == upstream.OutcomeEvicted}
	own, addr := sh.own, w.member.Addr
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		reply, err := s.deps.Workers.Stop(ctx, addr, req)
		s.post(func(now time.Time) {
			t.busy = false
			if sh.own == own {
				s.stopAnswered(sh, w, t, now, reply, err, o)
			}
		})
	})
}

func (s *Scheduler) stopAnswered(sh *shardLoop, w *worker, t *run, now time.Time, r upstream.TaskReply, err error, o upstream.Outcome) {
	sh.dirty = true
	t.next = now.Add(jitter(taskRetry))
	switch {
	case err != nil:
		s.log.Debug("stop call failed", "worker", w.id, "job", t.ref.Job, "error", err)
	case r.Refusal == upstream.RefusalNone:
		// The end arrives with the next renewal.
		t.stopped, w.next = now, now
		if r.Checkpoint != "" {
			t.checkpoint = r.Checkpoint
		}
	case r.Refusal == upstream.RefusalUnknownTask && t.started.IsZero() && now.After(t.unknownUntil):
		t.end = &upstream.TaskEvent{TaskRef: t.ref, Outcome: o, Reason: "the attempt was not started"}
	default:
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
