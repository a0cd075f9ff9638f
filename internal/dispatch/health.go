package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
)

// Whether a worker gets tasks follows from its health, see package workerhealth. The owner applies what answers, refusals and
// the lack of answers show; it makes no calls for that. Nothing is stored: a successor starts with good workers.

const (
	// lastResortWait is how long a task waits before it is placed on an excluded worker that answers, if no other has room. A
	// submission with nothing running must not wait for 3 s while there is room.
	lastResortWait = time.Second
	// healthInterval is the time between two checks of the excluded workers.
	healthInterval = 20 * time.Millisecond
	// clockDrift is by how much the clock of a worker may run slow.
	clockDrift = driftFactor - 1
)

// health is the owner's state of the health of all workers; that of each is in worker.health.
type health struct {
	// usual is what is usual on good workers.
	usual workerhealth.Fleet
	// bad holds the workers that are excluded or on probation. All probations in it that have begun are logged.
	bad map[*worker]struct{}
	// nextCheck is the earliest time of the next check of them.
	nextCheck time.Duration
	// running and ended are reused for each answer.
	running, ended []workerhealth.Task
}

// noteExcluded logs and counts an exclusion. evidence describes it.
func (c *Core) noteExcluded(now time.Duration, w *worker, evidence ...any) {
	c.health.bad[w] = struct{}{}
	c.health.nextCheck, c.planNeeded = 0, true
	w.probationLogged = false
	h := &w.health
	c.metrics.excluded(h.Reason())
	c.logger.Warn("worker excluded", append([]any{"worker", w.ID, "pool", w.Pool, "reason", h.Reason().String(),
		"for_ms", (h.Until() - now).Milliseconds(), "exclusions", h.Exclusions()}, evidence...)...)
}

func (c *Core) noteReadmitted(w *worker, how string) {
	delete(c.health.bad, w)
	c.planNeeded = true
	c.logger.Info("worker readmitted", "worker", w.ID, "pool", w.Pool, "how", how)
}

// checkHealth begins and ends probations that are due, and limits the excluded workers of each pool.
func (c *Core) checkHealth(now time.Duration) {
	if len(c.health.bad) == 0 || now < c.health.nextCheck {
		return
	}
	c.health.nextCheck = now + healthInterval
	byPool := map[string][]*workerhealth.Worker{}
	for w := range c.health.bad {
		switch {
		case w.health.Reason() == workerhealth.None:
			// Its worker has restarted.
			delete(c.health.bad, w)
			continue
		case w.health.Advance(now):
			c.noteReadmitted(w, "no evidence")
			continue
		case now >= w.health.Until() && !w.probationLogged:
			w.probationLogged, c.planNeeded = true, true
			c.logger.Info("worker on probation", "worker", w.ID, "pool", w.Pool, "reason", w.health.Reason().String())
		}
		if !w.unschedulable() {
			byPool[w.Pool] = append(byPool[w.Pool], &w.health)
		}
	}
	for pool, bad := range byPool {
		workerhealth.Limit(bad, c.countSchedulable(pool))
	}
}

func (c *Core) countSchedulable(pool string) int {
	n := 0
	for _, w := range c.workers {
		if w.Pool == pool && !w.unschedulable() {
			n++
		}
	}
	return n
}

// noteOutcome applies the end of an attempt to the health of its worker.
func (c *Core) noteOutcome(now time.Duration, w *worker, t *task, outcome Outcome) {
	if outcome != EndDone && outcome != EndFailed {
		return
	}
	h := &w.health
	if h.State(now) == workerhealth.Usable && (outcome == EndDone || t.main().failures == 0) {
		c.health.usual.Outcome(outcome == EndFailed)
	}
	if outcome == EndFailed {
		if h.Failed(now, t.placedAt, &c.health.usual, string(t.id.Job), t.main().failures > 0) {
			c.noteExcluded(now, w, "task", t.id)
		}
		return
	}
	pace := workerhealth.PaceUnknown
	if c.showsPace(w, t) {
		pace = workerhealth.Ended(now-w.answerAge-t.startedAt, t.step.duration, t.pace)
	}
	if pace != workerhealth.PaceUnknown {
		ended := workerhealth.Task{Kind: t.step.kind(), Slow: pace == workerhealth.PaceSlow}
		if !t.ownPace {
			c.health.ended = append(c.health.ended, ended)
		}
		if h.Reason() == workerhealth.None {
			c.health.usual.Ended(ended)
		}
		for o := range w.tasks {
			o.ownPace = o.ownPace || workerhealth.OwnPace(o.pace, o.startedAt, pace, t.startedAt)
		}
	}
	if h.Succeeded(now, t.placedAt, pace == workerhealth.PaceSlow) {
		c.noteReadmitted(w, "probes")
	}
}

// showsPace reports whether the time that the task takes shows how fast its worker is: it is compared with a learned duration, and
// nothing but the worker can have delayed it. Best-effort tasks count only if they have never been limited and the worker has had
// processors for all its tasks.
func (c *Core) showsPace(w *worker, t *task) bool {
	return t.timed && t.step.known && !t.adopted && !t.stopWanted && t.startedAt > 0 &&
		(w.health.Reason() == workerhealth.None || t.placedAt >= w.health.ProbationSince()) &&
		(!t.step.def.BestEffort || w.sharedAt < t.placedAt && t.cpuLimit == noLimitPercent)
}

// notePaces applies the progress that an answer contains to the health of its worker.
func (c *Core) notePaces(now time.Duration, w *worker, fresh bool) {
	running := c.health.running[:0]
	if fresh {
		for t := range w.tasks {
			if t.listedIn != c.lists || !c.showsPace(w, t) {
				continue
			}
			t.pace = workerhealth.Running(now-w.answerAge-t.startedAt, t.step.duration, t.percent)
			if t.pace != workerhealth.PaceUnknown && !t.ownPace {
				running = append(running, workerhealth.Task{Kind: t.step.kind(), Slow: t.pace == workerhealth.PaceSlow})
			}
		}
	}
	if len(running)+len(c.health.ended) > 0 {
		if slow, known, excluded := w.health.Paces(now, &c.health.usual, running, c.health.ended); excluded {
			c.noteExcluded(now, w, "slow_tasks", slow, "known_tasks", known)
		}
	}
	c.health.running, c.health.ended = running[:0], c.health.ended[:0]
}

// noteShared notes whether the tasks on the worker request more processors than it has.
func (w *worker) noteShared(now time.Duration) {
	if w.node.Reserved.MilliCores+w.node.BestEffort > w.Capacity.MilliCores {
		w.sharedAt = now
	}
}

// noteRefusal applies the refusal of a start.
func (c *Core) noteRefusal(now time.Duration, w *worker, r workerhealth.Reason) {
	if w.health.Refused(now, r) {
		c.noteExcluded(now, w)
	}
}

// probes returns the number of tasks on the worker that were placed on it since its probation began.
func (w *worker) probes() int {
	n := 0
	for t := range w.tasks {
		if t.placedAt >= w.health.ProbationSince() {
			n++
		}
	}
	return n
}

// reach is which workers are candidates for a task.
type reach uint8

const (
	// reachUsable: those that are neither excluded nor on probation.
	reachUsable reach = iota
	// reachProbation: also those on probation, up to their number of probes.
	reachProbation
	// reachExcluded: also the excluded ones that answer, and any number of tasks on those on probation.
	reachExcluded
	// reachExpired: also those that are held for another task, see plan.hold.
	reachExpired
	// reaches is the number of values.
	reaches
)

// includes reports whether a worker is a candidate.
func (r reach) includes(e exclusion) bool {
	switch e {
	case excludedNone:
		return true
	case excludedProbation:
		return r >= reachProbation
	case excludedUnhealthy:
		return r >= reachExcluded
	}
	return false
}

// badWorkers is what a plan knows of the bad workers of a pool.
type badWorkers struct{ probation, any bool }

func (p *plan) bad(pool string) badWorkers {
	c := p.core
	if len(c.health.bad) == 0 {
		return badWorkers{}
	}
	b, ok := p.badWorkers[pool]
	if !ok {
		for w := range c.health.bad {
			if w.Pool == pool && !w.unschedulable() {
				e := w.exclusion(p.now)
				b.probation = b.probation || e == excludedProbation
				b.any = b.any || e == excludedProbation || e == excludedUnhealthy
			}
		}
		if p.badWorkers == nil {
			p.badWorkers = map[string]badWorkers{}
		}
		p.badWorkers[pool] = b
	}
	return b
}

// reach returns the workers on which a task is placed first. Without workers on probation it is the same for all, so that tasks
// share what the plan has cached.
func (p *plan) reach(t *task) reach {
	switch {
	case t.waitExpired(p.now):
		return reachExpired
	case p.bad(t.job().terms.Pool).probation && t.mayProbe(p.now):
		return reachProbation
	}
	return reachUsable
}

// mayProbe reports whether a task may be placed on a worker on probation: nobody waits for it, or it can still be in time if it is
// started again elsewhere after its usual duration. It is the first probe of its submission, which ends late if one of them does.
func (t *task) mayProbe(now time.Duration) bool {
	return !t.job().probed && t.run == 0 && t.maySpareAttempt(now)
}

// maySpareAttempt reports whether the loss of one attempt of the task costs its caller little.
func (t *task) maySpareAttempt(now time.Duration) bool {
	s := t.step
	return s.def.BestEffort || !s.def.LongRunning && !s.def.Gang && s.duration > 0 &&
		now+s.duration+s.path <= t.job().objectiveAt
}

// isLastResort reports whether a task that has found no room is placed on an excluded worker. Best-effort tasks wait because a pool
// is full, too; only one of a submission with nothing running is placed there.
func (p *plan) isLastResort(t *task) bool {
	if !p.bad(t.job().terms.Pool).any || p.now-t.queuedAt < lastResortWait {
		return false
	}
	return !t.step.def.BestEffort || t.job().placed == 0 && t.idleTime(p.now) >= lastResortWait
}

// mayTakeProbe reports whether a worker may take another task, if it is on probation.
func (p *plan) mayTakeProbe(n *assign.Node) bool {
	w := p.core.workersByID[n.Index]
	return w.exclusion(p.now) != excludedProbation || w.probes() < w.health.Allowance()
}

// healthCounts counts the workers by state.
func (c *Core) healthCounts(now time.Duration) map[string]int {
	out := map[string]int{}
	for _, name := range exclusionNames {
		out[name] = 0
	}
	for _, w := range c.workers {
		out[exclusionNames[w.exclusion(now)]]++
	}
	return out
}
