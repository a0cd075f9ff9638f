package dispatch

import (
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/locality"
	"clementinewalk.example/clementinewalk/internal/preemption"
)

const (
	// minPreemptWait is how long a task must have found no room before others are stopped for it. In a pool of some hundred
	// tasks of a few seconds, one of them ends in that time.
	minPreemptWait = 200 * time.Millisecond
	// preemptTime is the time from the decision to stop a task until its room is free: the calls, the time that
	// a worker takes to stop a task, and the list that reports the end.
	preemptTime = 500 * time.Millisecond
	// preemptInterval is the least time between two decisions to stop tasks for one task or on one worker. The room that the first one makes is
	// free by then.
	preemptInterval = 2 * preemptTime
	// restoreTime is the assumed time that a task takes to resume from a checkpoint. The settings do not contain it.
	restoreTime = 300 * time.Millisecond
	// A decision goes through the tasks of all workers, which takes about 2 ms with 490 workers of 8 tasks, so at most
	// maxPreemptionChecks are made in each preemptionCheckInterval. A task for which nothing could be stopped is considered
	// again after preemptionRetry, so that others get their turn.
	preemptionCheckInterval = 100 * time.Millisecond
	maxPreemptionChecks     = 2
	preemptionRetry         = 300 * time.Millisecond
	// maxRemaining is the remaining time of a task whose end is unknown.
	maxRemaining = 24 * time.Hour
	// maxPreemptions limits how often one task is stopped for others.
	maxPreemptions = 1
)

// preempt stops tasks of lower priorities for those of the pending tasks that have found no room and can still be in time.
// Best-effort tasks need no reserved room, so nothing is stopped for them.
func (p *plan) preempt(pending []*task) {
	if len(pending) == 0 || p.now < p.core.nextPreemptionCheck || p.core.storingSlowly(p.now) {
		return
	}
	first, waiting := map[preemptionKey]*task{}, map[preemptionKey]int{}
	var order []preemptionKey
	for _, t := range pending {
		def := t.step.def
		if def.BestEffort || def.LongRunning || def.Gang || t.restricted() || t.unplaced != unplacedNoWorker ||
			t.rank.tier != tierOnTime || p.now-t.queuedAt < minPreemptWait || p.now < t.nextPreemption ||
			p.now+preemptTime+t.step.path > t.job().objectiveAt {
			continue
		}
		// Equal tasks have equal candidates, so one of them is decided on in a plan.
		key := preemptionKey{noRoomKey: p.noRoomKey(t, reachUsable), caution: p.caution(t)}
		if p.core.prefersRack(t) {
			key.dataRack = def.DataRack
		}
		if waiting[key]++; waiting[key] == 1 {
			first[key] = t
			order = append(order, key)
		}
	}
	if len(order) > 0 {
		p.core.nextPreemptionCheck = p.now + preemptionCheckInterval
	}
	for _, key := range order[:min(len(order), maxPreemptionChecks)] {
		first[key].nextPreemption = p.now + preemptionRetry
		p.preemptFor(first[key], waiting[key])
	}
}

// storingSlowly reports whether a placement has waited to be stored for longer than a stop takes. Neither a task that is placed
// now nor one that is stopped for it would then start again soon.
func (c *Core) storingSlowly(now time.Duration) bool {
	return slices.ContainsFunc(c.uncommitted, func(t *task) bool {
		return t.startState == startUncommitted && now-t.placedAt > preemptTime
	})
}

// preemptionKey identifies the tasks for which room on the same workers is of use.
type preemptionKey struct {
	noRoomKey
	caution  caution
	dataRack string
}

// inTimeOn reports whether a task that starts on the worker once others were stopped there can be in time.
func (t *task) inTimeOn(now time.Duration, w *worker, c *Core) bool {
	end := now + preemptTime + t.step.path
	if c.prefersRack(t) && w.Rack != t.step.def.DataRack {
		end += locality.Loss(t.step.duration, c.params.RemoteSlowdown)
	}
	return end <= t.job().objectiveAt
}

// preemptFor stops tasks for one of a number of equal waiting tasks if that is worth its cost.
func (p *plan) preemptFor(t *task, waiting int) {
	c, pool := p.core, t.job().terms.Pool
	var workers []preemption.Worker
	var names []*worker
	var victims []*task
	inProgress, avoids := 0, p.caution(t).filter(t.job())
	for _, n := range p.candidates(pool) {
		w := c.workersByID[n.Index]
		inProgress += w.shortTasks()
		if p.now < w.nextPreemption || avoids != nil && !avoids(w) || !t.inTimeOn(p.now, w, c) || !t.reserved().Fits(w.Capacity.Sub(w.longRunning)) {
			continue
		}
		out := preemption.Worker{Free: n.Free()}
		for o := range w.tasks {
			if o.remaining(p.now) <= preemptTime {
				out.Ending = append(out.Ending, o.reserved())
			} else if o.preemptableFor(t) {
				cost := preemption.Cost(requestedMilliCores(o.step.def), o.unsaved(p.now), restoreTime)
				out.Victims = append(out.Victims, preemption.Victim{Index: len(victims), Reserved: o.reserved(), Cost: cost})
				victims = append(victims, o)
			}
		}
		workers, names = append(workers, out), append(names, w)
	}
	choice, ok := preemption.Choose(t.reserved(), waiting, preemption.Cost(requestedMilliCores(t.step.def), t.step.duration, 0), workers)
	if !ok || !c.preemptionLimiter(pool).Allows(p.now, len(choice.Victims), inProgress) {
		return
	}
	w := names[choice.Worker]
	t.nextPreemption, w.nextPreemption = p.now+preemptInterval, p.now+preemptInterval
	t.takesAnyRack = true
	costs := map[int]int64{}
	for _, v := range workers[choice.Worker].Victims {
		costs[v.Index] = v.Cost
	}
	for _, i := range choice.Victims {
		o := victims[i]
		o.preemptions++
		o.avoidWorker = w.ID
		c.logger.Info("task preempted", "task", o.id, "run", o.run, "worker", w.ID, "queue", o.job().terms.Queue, "for", t.id,
			"for_queue", t.job().terms.Queue, "waited_ms", (p.now - t.queuedAt).Milliseconds(), "lost_core_ms", costs[i])
		c.metrics.preempted(pool)
		c.stopAttempt(o)
	}
}

// shortTasks returns the number of tasks on the worker that are not long-running.
func (w *worker) shortTasks() int {
	n := 0
	for t := range w.tasks {
		if !t.step.def.LongRunning {
			n++
		}
	}
	return n
}

// preemptableFor reports whether a placed task may be stopped for another one. Neither a copy nor its original may: each attempt
// counts its own stops, and a task has a copy because it is late already.
func (t *task) preemptableFor(other *task) bool {
	def := t.step.def
	return t.job().terms.Priority > other.job().terms.Priority && def.Checkpoints && !def.LongRunning && !def.Gang &&
		t.original == nil && t.copy == nil && t.startState == startSettled && t.reported && !t.stopWanted && t.preemptions < maxPreemptions &&
		t.percent < keepProgressPercent
}

// remaining returns how much longer a placed task is expected to run, by its progress since it was first listed, or by the expected
// duration before it has made any. An attempt that resumes, or that a predecessor has placed, had progress before that.
func (t *task) remaining(now time.Duration) time.Duration {
	switch {
	case t.step.def.LongRunning || t.startedAt == 0:
		return maxRemaining
	case t.stopWanted:
		return 0
	case t.reported && t.percent > t.firstPercent:
		perPercent := (t.percentAt - t.reportedAt) / time.Duration(t.percent-t.firstPercent)
		return perPercent*time.Duration(completePercent-t.percent) - (now - t.percentAt)
	case t.step.duration <= 0:
		return maxRemaining
	case t.reported:
		return t.step.duration/completePercent*time.Duration(completePercent-t.percent) - (now - t.reportedAt)
	}
	return t.step.duration - (now - t.startedAt)
}

// unsaved returns how long a task has run without a checkpoint that this owner has seen. A successor does not know when the
// attempts that it finds have started, but their progress.
func (t *task) unsaved(now time.Duration) time.Duration {
	if t.checkpointAt > 0 {
		return now - t.checkpointAt
	}
	return max(now-t.startedAt, time.Duration(t.percent)*(t.step.duration/completePercent))
}

func (c *Core) preemptionLimiter(pool string) *preemption.Limiter {
	l := c.preemptions[pool]
	if l == nil {
		l = &preemption.Limiter{}
		c.preemptions[pool] = l
	}
	return l
}
