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
	// taskTimeout limits one start or stop call, taskRetryDelay is the delay before the next one.
	taskTimeout    = 2 * time.Second
	taskRetryDelay = 500 * time.Millisecond
	// maxConcurrentEvictions limits the evictions from drained and leaving workers that a shard has in progress, so
	// that a drain does not stop all work of a shard at once.
	maxConcurrentEvictions = 16
)

// canWrite reports whether new records may be written for an owned shard.
func (s *Scheduler) canWrite(sh *managedShard, now time.Time) bool {
	return !sh.out.failing() && !sh.own.released && !sh.own.superseded && now.Sub(sh.readAnsweredAt) < maxLogStaleness
}

// reconcile compares the open attempts with the reports of the workers, and starts, stops, closes and places attempts
// accordingly.
func (s *Scheduler) reconcile(sh *managedShard, now time.Time) {
	write := s.canWrite(sh, now)
	evictions := 0
	for _, w := range sh.own.workers {
		s.ackEvents(sh, w)
		for _, a := range w.attempts {
			if write && !a.closeWritten {
				s.closeEnded(sh, w, a, now)
			}
			if !a.closeWritten && !sh.own.superseded && !sh.own.released {
				s.startOrStop(sh, w, a, now, &evictions)
			}
		}
	}
	if !write {
		return
	}
	s.writeSnapshot(sh, now)
	if sh.needsPlacement && !s.leaving && !sh.own.releasing {
		sh.needsPlacement = false
		s.placePending(sh, now)
	}
	s.finishRelease(sh, now)
}

// closeEnded writes the Close record of an attempt if it has certainly ended.
func (s *Scheduler) closeEnded(sh *managedShard, w *worker, a *openAttempt, now time.Time) {
	e := a.endEvent
	switch {
	case e != nil:
	case w.lease.Fenced() && w.lease.Incarnation() != a.incarnation:
		e = &upstream.TaskEvent{Outcome: upstream.OutcomeLost, Reason: "the worker has restarted"}
	case w.lease.Lapsed(now):
		e = &upstream.TaskEvent{Outcome: upstream.OutcomeLost, Reason: "the worker's lease has lapsed"}
	default:
		return
	}
	if j := sh.state.Job(a.ref.Job); e.Outcome == upstream.OutcomeLost && !a.startSent && j != nil {
		// This owner has placed the attempt and has sent no start call, so it cannot have run.
		if task := j.Task(a.ref.Index); task != nil && task.Epoch == sh.own.epoch {
			e.Outcome = upstream.OutcomeEvicted
		}
	}
	runTime := e.RunTime
	if runTime == 0 && !a.startedAt.IsZero() {
		runTime = now.Sub(a.startedAt)
	}
	c := &contract.Close{TaskRef: a.ref, Outcome: e.Outcome, Checkpoint: e.Checkpoint, RunTime: runTime, At: now,
		Reason: e.Reason, Final: s.attemptsExhausted(sh, a, e.Outcome),
		Cost: s.version.Manifest.Prices.Of(a.size, runTime)}
	if c.Checkpoint == "" {
		c.Checkpoint = a.checkpoint
	}
	a.closeWritten = true
	s.enqueue(sh, sh.own.epoch, c)
}

// attemptsExhausted reports whether an attempt that ended with o was the last one permitted for its task. Evictions do
// not count, because the system causes them.
func (s *Scheduler) attemptsExhausted(sh *managedShard, a *openAttempt, o upstream.Outcome) bool {
	if o != upstream.OutcomeFailed && o != upstream.OutcomeLost {
		return false
	}
	j := sh.state.Job(a.ref.Job)
	if j == nil || j.Submit.Service {
		return false
	}
	limit := a.kind.MaxAttempts
	if limit <= 0 {
		limit = defaultMaxAttempts
	}
	task := j.Task(a.ref.Index)
	return task != nil && task.Failures+1 >= limit
}

// startOrStop sends the start or stop call that is due for an attempt that has not ended. evictions counts the
// evictions of this reconciliation.
func (s *Scheduler) startOrStop(sh *managedShard, w *worker, a *openAttempt, now time.Time, evictions *int) {
	if a.endEvent != nil || a.callInFlight || now.Before(a.nextCall) || !w.lease.Fenced() ||
		w.lease.Incarnation() != a.incarnation {
		return
	}
	j := sh.state.Job(a.ref.Job)
	if j == nil {
		return
	}
	outcome, stop := s.shouldStop(sh, w, j, a)
	if stop && outcome == upstream.OutcomeEvicted {
		if *evictions++; *evictions > maxConcurrentEvictions {
			return
		}
	}
	switch {
	case stop && !a.startSent:
		a.endEvent = &upstream.TaskEvent{TaskRef: a.ref, Outcome: outcome, Reason: "the attempt was not started"}
		sh.needsReconcile = true
	case !a.startSent && w.health.quarantined(now):
		s.withdraw(sh, a, "the worker is in quarantine")
	case stop:
		s.stop(sh, w, a, now, outcome)
	case a.startedAt.IsZero() && w.leased && !w.leaving() && !sh.own.releasing && !s.leaving && s.hasRoom(w, a):
		s.startTask(sh, w, j, a, now)
	}
}

// shouldStop reports whether an attempt is to be stopped, and with which outcome.
func (s *Scheduler) shouldStop(sh *managedShard, w *worker, j *attempt.Job, a *openAttempt) (upstream.Outcome, bool) {
	if task := j.Task(a.ref.Index); task != nil && attempt.ShouldStop(j, task) {
		return upstream.OutcomeCancelled, true
	}
	// An evicted task is closed and placed again, which needs the log.
	if (w.leaving() || sh.state.Drained(w.id)) && !sh.out.failing() {
		return upstream.OutcomeEvicted, true
	}
	return "", false
}

// hasRoom reports whether the worker has room for the attempt beside those whose start call was sent.
func (s *Scheduler) hasRoom(w *worker, a *openAttempt) bool {
	return w.allocated(func(other *openAttempt) bool { return other.startSent && other != a }).
		Add(a.size).Fits(s.allocatable(w))
}

// allocated returns the sum of the sizes of the attempts that have not ended and for which f returns true.
func (w *worker) allocated(f func(*openAttempt) bool) (v resource.Vector) {
	for _, a := range w.attempts {
		if a.endEvent == nil && f(a) {
			v = v.Add(a.size)
		}
	}
	return v
}

// allocatable returns the capacity of a worker that batch and service tasks may use, which excludes its slots.
func (s *Scheduler) allocatable(w *worker) resource.Vector {
	return w.member.Capacity.Sub(s.policy.envelope.Scale(int64(w.member.Slots)))
}

func (s *Scheduler) startTask(sh *managedShard, w *worker, j *attempt.Job, a *openAttempt, now time.Time) {
	task := j.Task(a.ref.Index)
	k := a.kind
	runTime := k.RunTime
	if j.Submit.RunTime > 0 {
		runTime = j.Submit.RunTime
	}
	req := upstream.StartRequest{Shard: sh.name, Epoch: sh.own.epoch, Incarnation: a.incarnation,
		NotAfter: w.lease.StartDeadline(), TaskRef: a.ref, Kind: j.Submit.Kind, Size: a.size, RunTime: runTime,
		CheckpointEvery: k.CheckpointEvery, Checkpoint: task.Checkpoint, Service: j.Submit.Service}
	a.callInFlight, a.startSent = true, true
	bound := w.lease.LapseTime()
	allocated := w.allocated(func(other *openAttempt) bool { return other.startSent })
	invariant.Check(invariant.WorkerCapacity, allocated.Fits(w.member.Capacity), "worker", w.id, "held", allocated,
		"capacity", w.member.Capacity)
	invariant.Check(invariant.NoWorkWhenLeaving, !w.leaving(), "worker", w.id, "job", a.ref.Job)
	own, addr := sh.own, w.member.Addr
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		reply, err := s.deps.Workers.Start(ctx, addr, req)
		s.post(func(now time.Time) {
			a.callInFlight = false
			if sh.own == own {
				s.startAnswered(sh, w, a, now, bound, reply, err)
			}
		})
	})
}

func (s *Scheduler) startAnswered(sh *managedShard, w *worker, a *openAttempt, now, bound time.Time,
	r upstream.TaskReply, err error) {
	sh.needsReconcile = true
	a.nextCall = now.Add(jitter(taskRetryDelay))
	switch {
	case err != nil:
		a.startUncertainUntil = latest(a.startUncertainUntil, bound)
		s.log.Debug("start call failed", "worker", w.id, "job", a.ref.Job, "error", err)
	case r.Refusal == upstream.RefusalNone:
		s.markRunning(sh, a, now)
	case r.Refusal == upstream.RefusalNoLease:
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
	case r.Refusal == upstream.RefusalStaleEpoch:
		sh.own.superseded = true
	default:
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
		// An earlier start call without an answer may still be executed until its bound; the attempt stays open until
		// then.
		if a.startedAt.IsZero() && now.After(a.startUncertainUntil) {
			a.endEvent = &upstream.TaskEvent{TaskRef: a.ref, Outcome: upstream.OutcomeEvicted,
				Reason: "the worker refused to start: " + string(r.Refusal)}
		}
	}
}

func (s *Scheduler) stop(sh *managedShard, w *worker, a *openAttempt, now time.Time, o upstream.Outcome) {
	if !a.stoppedAt.IsZero() && now.Sub(a.stoppedAt) < s.policy.ttl/2 {
		return
	}
	a.callInFlight, a.stopping = true, true
	req := upstream.StopRequest{Shard: sh.name, Epoch: sh.own.epoch, TaskRef: a.ref, Outcome: o,
		Checkpoint: o == upstream.OutcomeEvicted}
	own, addr := sh.own, w.member.Addr
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		reply, err := s.deps.Workers.Stop(ctx, addr, req)
		s.post(func(now time.Time) {
			a.callInFlight = false
			if sh.own == own {
				s.stopAnswered(sh, w, a, now, reply, err, o)
			}
		})
	})
}

func (s *Scheduler) stopAnswered(sh *managedShard, w *worker, a *openAttempt, now time.Time, r upstream.TaskReply,
	err error, o upstream.Outcome) {
	sh.needsReconcile = true
	a.nextCall = now.Add(jitter(taskRetryDelay))
	switch {
	case err != nil:
		s.log.Debug("stop call failed", "worker", w.id, "job", a.ref.Job, "error", err)
	case r.Refusal == upstream.RefusalNone:
		// The end of the attempt is reported by the next renewal.
		a.stoppedAt, w.nextRenewal = now, now
		if r.Checkpoint != "" {
			a.checkpoint = r.Checkpoint
		}
	case r.Refusal == upstream.RefusalUnknownTask && a.startedAt.IsZero() && now.After(a.startUncertainUntil):
		a.endEvent = &upstream.TaskEvent{TaskRef: a.ref, Outcome: o, Reason: "the attempt was not started"}
	default:
		s.metrics.refusals.WithLabelValues(string(r.Refusal)).Inc()
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
