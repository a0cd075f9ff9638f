package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/speculation"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// A task whose step allows it may have a second attempt, a copy, beside the first one. The copy is a task of its own with the
// same id and step, which refers to the original; so it is stored, started, counted and stopped like any other. It is never
// pending: if it ends without success, it is forgotten. The original is not placed again while its copy is placed.

const (
	// copyInterval is the time between two decisions about copies.
	copyInterval = 50 * time.Millisecond
	// copyShare is the share of a pool's processors that copies may take.
	copyShare = 0.02
	// maxCopies limits the copies of one task.
	maxCopies = 2
	// copyStartLimit is how long after its decision the start of a copy may still be carried out. Nothing of a task may start
	// later than 1 s after the end of the other attempt was confirmed, and the worker's clock may be 2% slow.
	copyStartLimit = 900 * time.Millisecond
	// copyReportWait is how long a worker with a task that may get a copy delays its answer to a lease call. The progress of the task
	// must be known within a part of its duration.
	copyReportWait = 250 * time.Millisecond
)

// copyOutcome is what became of a copy.
type copyOutcome string

const (
	copyStarted copyOutcome = "placed"
	// copyWon: the copy has ended as done before the original.
	copyWon copyOutcome = "won"
	// copyOvertaken: the original has ended as done before the copy.
	copyOvertaken copyOutcome = "overtaken"
	// copyDropped: the copy has ended otherwise, or was never started.
	copyDropped copyOutcome = "dropped"
)

// copyStats counts copies since the last summary.
type copyStats map[copyOutcome]int

// main returns the task of which t is the original or the copy.
func (t *task) main() *task {
	if t.original != nil {
		return t.original
	}
	return t
}

// done reports whether the task has ended, though an attempt of it may still be placed.
func (t *task) done() bool { return t.phase == workflow.Ended || t.overtaken }

// lastRun returns the highest run number that was given to an attempt of the task.
func (t *task) lastRun() int {
	m := t.main()
	return max(m.run, m.copyRun)
}

// startLimit returns how long after its decision the start of the attempt may still be carried out. Another attempt may end as done
// meanwhile: the original of a copy, or an earlier attempt that counts as lost.
func (t *task) startLimit(p *Params) time.Duration {
	if t.original != nil || t.run > 1 && mayHaveCopies(t.step.def) {
		return min(copyStartLimit, p.startLimit())
	}
	return p.startLimit()
}

// findAttempt returns the copy that an attempt belongs to, or else its task; nil if there is none.
func (c *Core) findAttempt(a Attempt) *task {
	t := c.findTask(a.Task)
	if t != nil && t.copy != nil && t.copy.run == a.Run {
		return t.copy
	}
	return t
}

// copyRecords returns what is stored of the attempts of a task beside its row: of the first attempt if the task has ended without it,
// and of the second one.
func (t *task) copyRecords() []workflow.CopyRecord {
	var out []workflow.CopyRecord
	if t.overtaken {
		out = append(out, workflow.CopyRecord{Run: t.run, Worker: t.worker.ID, WorkerStartedAt: t.workerStartedAt})
	}
	switch {
	case t.copy != nil:
		out = append(out, workflow.CopyRecord{Run: t.copy.run, Worker: t.copy.worker.ID, WorkerStartedAt: t.copy.workerStartedAt})
	case t.copyRun > t.run && t.phase != workflow.Ended && !t.overtaken:
		out = append(out, workflow.CopyRecord{Run: t.copyRun})
	}
	return out
}

// restoreCopy applies the record that an earlier owner stored of an attempt beside the row of its task. It may be running.
func (c *Core) restoreCopy(r *round, rec *workflow.CopyRecord) {
	t := c.findTask(workflow.TaskID{Job: r.job.submission.Job, Round: rec.Round, Step: rec.Step, Index: rec.Index})
	switch {
	case t == nil || rec.Run <= 0:
		return
	case t.phase == workflow.Ended && rec.Run == t.run && rec.Worker != "":
		t.overtaken, t.phase = true, workflow.Placed
		c.restorePlaced(t, rec.Worker, rec.WorkerStartedAt)
		c.stopAttempt(t)
		return
	case t.copy != nil:
		return
	}
	t.copyRun = rec.Run
	t.copies++
	if rec.Worker == "" {
		return
	}
	k := t.newCopy(r.predictedAt)
	k.run = rec.Run
	t.copy, c.copies[k] = k, struct{}{}
	c.restorePlaced(k, rec.Worker, rec.WorkerStartedAt)
	if t.done() {
		c.stopAttempt(k)
	}
}

func (t *task) newCopy(now time.Duration) *task {
	return &task{id: t.id, step: t.step, original: t, failures: t.failures, checkpoint: t.checkpoint, cpuLimit: noLimitPercent,
		targetCPULimit: noLimitPercent, queuedAt: now}
}

// mayHaveCopies reports whether the tasks of a step may get copies. Best-effort tasks are slowed on purpose.
func mayHaveCopies(s *workflow.Step) bool {
	return s.Speculative && !s.Gang && !s.LongRunning && !s.BestEffort
}

// trackCopyable notes that a task was placed that may get a copy.
func (c *Core) trackCopyable(t *task) {
	if t.original == nil && mayHaveCopies(t.step.def) {
		c.copyable[t] = struct{}{}
	}
}

// releaseCopy is the part of release that concerns copies.
func (c *Core) releaseCopy(t *task) {
	delete(c.copyable, t)
	if t.overtaken {
		t.overtaken, t.phase = false, workflow.Ended
	}
	m := t.original
	if m == nil || m.copy != t {
		return
	}
	m.copy = nil
	delete(c.copies, t)
	if m.phase == workflow.Pending && t.checkpoint != "" {
		m.checkpoint = t.checkpoint
	}
	c.markDirty(t.job())
	if t.copyOutcome == "" {
		t.copyOutcome = copyDropped
	}
	c.copyEnded(t)
}

func (c *Core) copyEnded(k *task) {
	c.countCopy(k, k.copyOutcome)
	switch k.copyOutcome {
	case copyWon, copyOvertaken:
		c.copyDecider.Ended(k.copyCause, k.copyOutcome == copyWon)
	}
	c.logger.Info("copy ended", "task", k.id, "run", k.run, "cause", k.copyCause.String(), "outcome", string(k.copyOutcome))
}

func (c *Core) countCopy(k *task, o copyOutcome) {
	if c.copyStats == nil {
		c.copyStats = copyStats{}
	}
	c.copyStats[o]++
	c.metrics.copied(k.copyCause, o)
}

// endTask marks a task as ended by the success of an attempt, which is the task itself, its copy or one that had counted as lost,
// and stops the others. Their workers are asked until they are known to have ended; until then they count against their capacity.
func (c *Core) endTask(m, winner *task) {
	k := m.copy
	if k != nil {
		k.copyOutcome = copyOvertaken
		if winner == k {
			k.copyOutcome = copyWon
			c.release(k)
		}
		c.markDirty(m.job())
	}
	if m.phase == workflow.Placed && winner.original == m {
		m.overtaken = true
		c.markDirty(m.job())
		c.stopAttempt(m)
		if m.copy != nil {
			c.stopAttempt(m.copy)
		}
		return
	}
	if m.phase == workflow.Placed {
		c.release(m)
	}
	m.phase = workflow.Ended
	if m.copy != nil {
		c.stopAttempt(m.copy)
	}
}

// placeCopies places copies of the tasks that are much slower than their kind.
func (c *Core) placeCopies(now time.Duration) {
	if now < c.nextCopies || len(c.copyable) == 0 || c.startsHeld {
		return
	}
	c.nextCopies = now + copyInterval
	due := map[string][]*task{}
	for t := range c.copyable {
		t.step.round.refresh(now)
		if pool := t.job().terms.Pool; t.copyDue(now) {
			due[pool] = append(due[pool], t)
		}
	}
	for pool, tasks := range due {
		c.placePoolCopies(now, pool, tasks)
	}
}

// runsCopyable reports whether a task on the worker may get a copy once its progress is known.
func (w *worker) runsCopyable() bool {
	for t := range w.tasks {
		if t.original == nil && t.copy == nil && t.step.known && mayHaveCopies(t.step.def) {
			return true
		}
	}
	return false
}

// copyDue reports whether a copy of the task may be made now.
func (t *task) copyDue(now time.Duration) bool {
	j := t.job()
	return t.copy == nil && t.copies < maxCopies && t.phase == workflow.Placed && t.startState == startSettled && t.startedAt > 0 &&
		!t.stopWanted && !t.adopted && !t.hadUnansweredStart && !t.suspected() && !t.nextFailureIsLast() && !j.cancelled &&
		!j.state.Over() && j.terms.Pool == t.worker.Pool && t.tier(now) != tierTooLate && t.pastFirstQuarter(now)
}

// nextFailureIsLast reports whether the submission fails with the next failure of an attempt. A copy would be one more that may fail.
func (t *task) nextFailureIsLast() bool { return t.failures+1 >= max(1, t.job().terms.MaxAttempts) }

// pastFirstQuarter reports whether the task has run for a quarter of its expected duration, before which its progress says nothing.
func (t *task) pastFirstQuarter(now time.Duration) bool {
	const part = 4
	return t.step.known && now-t.startedAt >= t.step.duration/part
}

func (c *Core) placePoolCopies(now time.Duration, pool string, tasks []*task) {
	budget := c.copyBudget(now, pool)
	attempts := make([]speculation.Attempt, len(tasks))
	for i, t := range tasks {
		attempts[i] = t.progress(now)
		attempts[i].BadWorker = t.worker.health.RecentlyFailed() || t.worker.health.BadPace()
	}
	chosen := c.copyDecider.Choose(attempts, budget)
	if len(chosen) == 0 {
		return
	}
	p := c.newPlan(now)
	p.warm = true
	for _, choice := range chosen {
		p.placeCopy(tasks[choice.Index], &attempts[choice.Index], choice.Cause)
	}
}

// copyBudget returns what copies may take of a pool.
func (c *Core) copyBudget(now time.Duration, pool string) speculation.Budget {
	b := speculation.Budget{Scarce: c.scarce(now)}
	cores := int64(0)
	for _, w := range c.workers {
		if w.Pool == pool && !w.unschedulable() {
			cores += w.Capacity.MilliCores
		}
	}
	b.Total = int64(copyShare * float64(cores))
	for k := range c.copies {
		if k.job().terms.Pool != pool {
			continue
		}
		b.Used += requestedMilliCores(k.step.def)
		if k.copyCause == speculation.Task {
			b.UsedForTasks += requestedMilliCores(k.step.def)
		}
	}
	return b
}

// progress describes a running attempt.
func (t *task) progress(now time.Duration) speculation.Attempt {
	w := t.worker
	a := speculation.Attempt{Elapsed: now - t.startedAt, MilliCores: requestedMilliCores(t.step.def)}
	if t.step.known {
		a.Expected = t.step.duration
	}
	if t.reported && w.answeredAt > t.startedAt {
		a.Percent, a.Age = t.percent, now-w.answeredAt
	}
	if w.failingSince != 0 {
		a.Silence = now - w.failingSince
	}
	return a
}

// placeCopy places a copy of a task on another worker, in another rack if possible.
func (p *plan) placeCopy(t *task, a *speculation.Attempt, cause speculation.Cause) {
	c := p.core
	k := t.newCopy(p.now)
	k.copyCause = cause
	n := p.chooseCopyNode(k)
	if n == nil {
		return
	}
	run := t.lastRun() + 1
	t.copy, t.copyRun, c.copies[k] = k, run, struct{}{}
	t.copies++
	invariant.Check(invariant.CopyApart, n.ID != t.worker.ID, "task", t.id, "worker", n.ID)
	c.countCopy(k, copyStarted)
	c.logger.Info("copy placed", "task", t.id, "run", run, "cause", cause.String(), "worker", n.ID, "original_run", t.run,
		"original_worker", t.worker.ID, "elapsed_ms", a.Elapsed.Milliseconds(), "expected_ms", a.Expected.Milliseconds(),
		"percent", a.Percent, "silent_ms", a.Silence.Milliseconds())
	p.assignTask(k, n, run)
}

// chooseCopyNode returns the node for a copy, or nil. A copy away from its data would be slow as well.
func (p *plan) chooseCopyNode(k *task) *assign.Node {
	first, def := k.original.worker, k.step.def
	filter := p.requireApproval(k, func(w *worker) bool {
		return w != first && !w.health.Suspect() && (def.DataRack == "" || w.Rack == def.DataRack)
	})
	r := p.ranking(k, reachUsable, false)
	accept := func(n *assign.Node) bool { return p.allows(n, k, filter) }
	n := r.Best("", func(n *assign.Node) bool { return n.Rack != first.Rack && accept(n) })
	if n == nil {
		n = r.Best("", accept)
	}
	return n
}

// summarizeCopies logs and sets what copies take and what became of them since the last summary.
func (c *Core) summarizeCopies() {
	reserved, cores := int64(0), int64(0)
	for k := range c.copies {
		reserved += requestedMilliCores(k.step.def)
	}
	for _, w := range c.workers {
		if !w.unschedulable() {
			cores += w.Capacity.MilliCores
		}
	}
	c.metrics.setCopyCores(reserved, int64(copyShare*float64(cores)))
	if len(c.copyStats) > 0 || len(c.copies) > 0 {
		c.logger.Info("copies summary", "placed", c.copyStats[copyStarted], "won", c.copyStats[copyWon],
			"overtaken", c.copyStats[copyOvertaken], "dropped", c.copyStats[copyDropped], "running", len(c.copies),
			"reserved_cores", reserved/millisPerCore, "copyable", len(c.copyable))
	}
	clear(c.copyStats)
}
