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
	// aheadPerWorker is the number of attempts that are placed on a worker before it has room for them, so that it has work during
	// an outage of the log. More would bind tasks to workers whose running tasks turn out to be long.
	aheadPerWorker = 1
	// swapMargin is how much less time to spare a pending task must have to take the place of one that was placed ahead; each swap
	// costs two records.
	swapMargin = 10 * time.Second
)

// ahead is an attempt that waits on its worker for room.
type ahead struct {
	run  *run
	task placement.Task
}

// waiting returns the attempts that wait for room, those with the most time to spare first.
func (s *Scheduler) waiting(sh *shardLoop, now time.Time) []ahead {
	var out []ahead
	for _, w := range sh.own.workers {
		// Before the worker has answered this epoch, an attempt of an earlier owner may run there although this owner has sent nothing.
		if !w.lease.Fenced() {
			continue
		}
		for _, t := range w.tasks {
			j := sh.state.Job(t.ref.Job)
			if t.sent || t.closing || t.end != nil || j == nil || s.fitsNow(w, t) {
				continue
			}
			if task := j.Task(t.ref.Index); task != nil {
				out = append(out, ahead{t, placementTask(j, task, t.kind)})
			}
		}
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := laxity(now, out[i].task), laxity(now, out[k].task)
		return a > b || a == b && lessRef(out[i].run.ref, out[k].run.ref)
	})
	return out
}

func lessRef(a, b upstream.TaskRef) bool { return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index }

// laxity orders tasks without a deadline last.
func laxity(now time.Time, t placement.Task) time.Duration {
	if t.Deadline.IsZero() {
		return math.MaxInt64
	}
	return placement.Laxity(now, t)
}

// freeAhead gives up the waiting attempts for which another worker has room by now. They are placed anew once their Close was read back.
func (s *Scheduler) freeAhead(sh *shardLoop, state *placement.State, waiting []ahead) []ahead {
	kept := waiting[:0]
	for _, a := range waiting {
		state.Usage.Remove(a.task.Team, a.task.Size)
		d, err := s.policy.place.Place(state, a.task)
		if err != nil {
			state.Usage.Add(a.task.Team, a.task.Size)
			kept = append(kept, a)
			continue
		}
		state.Assign(a.task, d.Worker)
		s.giveUp(sh, a.run, "another worker has room")
	}
	return kept
}

func (s *Scheduler) giveUp(sh *shardLoop, t *run, reason string) {
	t.end = &upstream.TaskEvent{TaskRef: t.ref, Outcome: upstream.OutcomeEvicted, Reason: "the attempt was not started: " + reason}
	sh.dirty = true
}

// placeAhead places batch tasks for which no worker has room on the workers that are expected to have room first. When every worker has
// an attempt that waits, a task with less time to spare takes the place of another one.
func (s *Scheduler) placeAhead(sh *shardLoop, now time.Time, usage *placement.Usage, tasks []placement.Task, waiting []ahead, placing map[taskKey]*contract.Place) {
	slots := s.aheadSlots(sh, now, placing)
	for _, t := range tasks {
		if s.kinds[t.Kind].Class != manifest.ClassBatch || !usage.Allows(t.Team, t.Size) {
			continue
		}
		if i := firstFit(s, sh, slots, t); i >= 0 {
			s.putPlace(sh, now, t, placement.Decision{Worker: slots[i], Reason: "waits for room on this worker"})
			usage.Add(t.Team, t.Size)
			slots = append(slots[:i], slots[i+1:]...)
			continue
		}
		if len(waiting) == 0 || laxity(now, t) >= laxity(now, waiting[0].task)-swapMargin {
			return
		}
		s.giveUp(sh, waiting[0].run, "a task with less time to spare waits")
		waiting = waiting[1:]
	}
}

func firstFit(s *Scheduler, sh *shardLoop, slots []instance.ID, t placement.Task) int {
	for i, id := range slots {
		if t.Size.Fits(s.limit(sh.own.workers[id])) {
			return i
		}
	}
	return -1
}

// aheadSlots returns the workers that may get an attempt ahead, the one that is expected to have room first in front.
func (s *Scheduler) aheadSlots(sh *shardLoop, now time.Time, placing map[taskKey]*contract.Place) []instance.ID {
	count := map[instance.ID]int{}
	for _, p := range placing {
		count[p.Worker]++
	}
	room := map[instance.ID]time.Time{}
	var out []instance.ID
	for id, w := range sh.own.workers {
		if !s.usable(sh, w, now) || w.failing || w.health.quarantined(now) {
			continue
		}
		for _, t := range w.tasks {
			if !t.sent {
				count[id]++
				continue
			}
			if end := s.expectedEnd(sh, t); room[id].IsZero() || end.Before(room[id]) {
				room[id] = end
			}
		}
		if count[id] < aheadPerWorker && !room[id].IsZero() {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := room[out[i]], room[out[k]]
		return a.Before(b) || a.Equal(b) && out[i] < out[k]
	})
	return out
}

// expectedEnd is the declared end of a running attempt. Services and attempts of unknown length come last.
func (s *Scheduler) expectedEnd(sh *shardLoop, t *run) time.Time {
	j := sh.state.Job(t.ref.Job)
	if j == nil || j.Submit.Service || t.started.IsZero() {
		return time.Unix(math.MaxInt32, 0)
	}
	return t.started.Add(remaining(j, j.Task(t.ref.Index), t.kind))
}

// remaining is the declared run time less what the newest checkpoint covers.
func remaining(j *attempt.Job, t *attempt.Task, k kindInfo) time.Duration {
	runTime := k.RunTime
	if j.Submit.RunTime > 0 {
		runTime = j.Submit.RunTime
	}
	if t != nil {
		runTime -= t.Ran
	}
	return max(runTime, 0)
}
