package scheduler

import (
	"math"
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/placement"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// maxQueuedPerWorker limits the attempts queued on a worker, that is, placed before the worker has room for them.
	// They give it work during an outage of the log. More would bind tasks to workers whose running tasks turn out to
	// be long.
	maxQueuedPerWorker = 1
	// swapLaxityMargin is how much lower the laxity of a pending task must be than that of a queued attempt to replace
	// it. Each swap costs two records.
	swapLaxityMargin = 10 * time.Second
)

// queuedAttempt is an attempt that is placed on a worker which has no room for it yet.
type queuedAttempt struct {
	attempt *openAttempt
	task    placement.Task
}

// queuedAttempts returns the queued attempts of a shard, those with the highest laxity first.
func (s *Scheduler) queuedAttempts(sh *managedShard, now time.Time) []queuedAttempt {
	var out []queuedAttempt
	for _, w := range sh.own.workers {
		// Before the worker has answered this epoch, an attempt that an earlier owner started may run there, although
		// this owner has sent no start call for it.
		if !w.lease.Fenced() {
			continue
		}
		for _, a := range w.attempts {
			j := sh.state.Job(a.ref.Job)
			if a.startSent || a.closeWritten || a.endEvent != nil || j == nil || s.hasRoom(w, a) {
				continue
			}
			if task := j.Task(a.ref.Index); task != nil {
				out = append(out, queuedAttempt{a, placementTask(j, task, a.kind)})
			}
		}
	}
	sort.Slice(out, func(i, k int) bool {
		x, y := laxity(now, out[i].task), laxity(now, out[k].task)
		return x > y || x == y && lessRef(out[i].attempt.ref, out[k].attempt.ref)
	})
	return out
}

func lessRef(a, b upstream.TaskRef) bool { return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index }

// laxity returns placement.Laxity, or the maximum duration for a task without a deadline.
func laxity(now time.Time, t placement.Task) time.Duration {
	if t.Deadline.IsZero() {
		return math.MaxInt64
	}
	return placement.Laxity(now, t)
}

// withdrawMovable withdraws the queued attempts for which some worker has room by now and returns the others. A
// withdrawn task is placed again after its Close was read back.
func (s *Scheduler) withdrawMovable(sh *managedShard, state *placement.State, queued []queuedAttempt) []queuedAttempt {
	kept := queued[:0]
	for _, q := range queued {
		state.Usage.Remove(q.task.Team, q.task.Size)
		d, err := s.policy.placementPolicy.Place(state, q.task)
		if err != nil {
			state.Usage.Add(q.task.Team, q.task.Size)
			kept = append(kept, q)
			continue
		}
		state.Assign(q.task, d.Worker)
		s.withdraw(sh, q.attempt, "another worker has room")
	}
	return kept
}

// withdraw ends an attempt whose start call was never sent. The reason is stored in its Close record.
func (s *Scheduler) withdraw(sh *managedShard, a *openAttempt, reason string) {
	a.endEvent = &upstream.TaskEvent{TaskRef: a.ref, Outcome: upstream.OutcomeEvicted,
		Reason: "the attempt was not started: " + reason}
	sh.needsReconcile = true
}

// placeQueued queues batch tasks for which no worker has room on the workers that are expected to have room first. When
// no worker can queue another attempt, tasks of lower laxity replace the queued attempts of the highest laxity, which
// are withdrawn.
func (s *Scheduler) placeQueued(sh *managedShard, now time.Time, usage *placement.Usage, tasks []placement.Task,
	queued []queuedAttempt, inFlight map[taskKey]*contract.Place) {
	candidates := s.queueCandidates(sh, now, inFlight)
	for _, t := range tasks {
		if s.kinds[t.Kind].Class != manifest.ClassBatch || !usage.Allows(t.Team, t.Size) {
			continue
		}
		if i := firstFit(s, sh, candidates, t); i >= 0 {
			s.enqueuePlace(sh, now, t, placement.Decision{Worker: candidates[i],
				Reason: "waits for room on this worker"})
			usage.Add(t.Team, t.Size)
			candidates = append(candidates[:i], candidates[i+1:]...)
			continue
		}
		if len(queued) == 0 || laxity(now, t) >= laxity(now, queued[0].task)-swapLaxityMargin {
			return
		}
		s.withdraw(sh, queued[0].attempt, "a task with less time to spare waits")
		queued = queued[1:]
	}
}

// firstFit returns the index of the first candidate that could hold the task if it held nothing else, or -1.
func firstFit(s *Scheduler, sh *managedShard, candidates []instance.ID, t placement.Task) int {
	for i, id := range candidates {
		if t.Size.Fits(s.allocatable(sh.own.workers[id])) {
			return i
		}
	}
	return -1
}

// queueCandidates returns the workers that may queue another attempt, in the order in which they are expected to have
// room.
func (s *Scheduler) queueCandidates(sh *managedShard, now time.Time,
	inFlight map[taskKey]*contract.Place) []instance.ID {
	queuedCount := map[instance.ID]int{}
	for _, p := range inFlight {
		queuedCount[p.Worker]++
	}
	expectedRoom := map[instance.ID]time.Time{}
	var out []instance.ID
	for id, w := range sh.own.workers {
		if !s.usable(sh, w, now) || w.unreachable || w.health.quarantined(now) || w.health.onProbation() {
			continue
		}
		for _, a := range w.attempts {
			if !a.startSent {
				queuedCount[id]++
				continue
			}
			if end := s.expectedEnd(sh, a); expectedRoom[id].IsZero() || end.Before(expectedRoom[id]) {
				expectedRoom[id] = end
			}
		}
		if queuedCount[id] < maxQueuedPerWorker && !expectedRoom[id].IsZero() {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		x, y := expectedRoom[out[i]], expectedRoom[out[k]]
		return x.Before(y) || x.Equal(y) && out[i] < out[k]
	})
	return out
}

// expectedEnd returns the declared end of a running attempt, or a time in the far future for services and for attempts
// whose start is not confirmed.
func (s *Scheduler) expectedEnd(sh *managedShard, a *openAttempt) time.Time {
	j := sh.state.Job(a.ref.Job)
	if j == nil || j.Submit.Service || a.startedAt.IsZero() {
		return time.Unix(math.MaxInt32, 0)
	}
	return a.startedAt.Add(remaining(j, j.Task(a.ref.Index), a.kind))
}

// remaining returns the declared run time of a task less what its newest checkpoint covers. The run time of the job, if
// it has one, overrides that of the kind.
func remaining(j *attempt.Job, t *attempt.Task, k jobKind) time.Duration {
	runTime := k.RunTime
	if j.Submit.RunTime > 0 {
		runTime = j.Submit.RunTime
	}
	if t != nil {
		runTime -= t.CheckpointedRunTime
	}
	return max(runTime, 0)
}
