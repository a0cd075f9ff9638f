package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// failedRetryDelay keeps a task that fails at once from using up its attempts within one disturbance.
	failedRetryDelay = 100 * time.Millisecond
	// A worker on which this many attempts in a row have failed gets no task for the quarantine.
	failuresToQuarantine = 2
	quarantineTime       = 4 * time.Second
)

// LeaseAnswered takes over a worker's word on what it runs. sent is the time at which the question was sent.
func (c *Core) LeaseAnswered(now, sent time.Duration, o LeaseOrder, a LeaseAnswer) {
	c.time = now
	w := o.worker
	w.renewing = false
	if a.Born < w.Born {
		return
	}
	if a.Born > w.Born {
		if w.Born != 0 {
			c.reborn(now, w, a.Born)
		}
		w.Born = a.Born
		c.forgetLifetimes(now, w)
	}
	w.takeClock(now, a.Clock)
	w.answeredAt, w.failingSince, w.retry = now, 0, 0
	if !w.fenced {
		w.fenced, c.changed = true, true
		c.logger.Info("worker fenced", "worker", w.ID, "epoch", c.epoch, "running", len(a.Running), "ends", len(a.Ends))
	}
	for i := range a.Ends {
		c.applyEnd(now, w, &a.Ends[i])
	}
	c.applyRunning(now, sent, w, a.Running)
	c.regulate(now, w)
}

func (c *Core) applyEnd(now time.Duration, w *worker, e *End) {
	if e.Number <= w.applied {
		return
	}
	w.applied = e.Number
	t := c.find(e.Task)
	if t == nil || t.phase != workflow.Placed || t.worker != w || t.run != e.Run {
		c.logger.Info("end of an earlier attempt", "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.How)
		return
	}
	c.logger.Info("task ended", "task", t.id, "run", t.run, "worker", w.ID, "how", e.How, "ran_ms", (now - t.startedAt).Milliseconds())
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	c.judge(now, w, t, e.How)
	switch {
	case t.step.def.Service:
		c.again(now, t, e.How)
	case e.How == EndDone:
		c.done(now, t)
	case e.How == EndFailed:
		c.failed(now, t)
	default:
		c.again(now, t, e.How)
	}
}

// judge counts what the end says of the worker.
func (c *Core) judge(now time.Duration, w *worker, t *task, how How) {
	switch how {
	case EndDone:
		w.failedInRow = 0
	case EndFailed:
		// A task that has failed before says more about itself than about the worker.
		if t.failures > 0 && w.failedInRow == 0 {
			return
		}
		w.failedInRow++
		if w.failedInRow >= failuresToQuarantine {
			w.quarantine = now + quarantineTime
			c.logger.Warn("worker quarantined", "worker", w.ID, "failed_in_row", w.failedInRow)
		}
	}
}

func (c *Core) find(id workflow.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Round >= len(j.rounds) || id.Step >= len(j.rounds[id.Round].steps) {
		return nil
	}
	s := j.rounds[id.Round].steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// done ends a task for good and opens the steps that waited for it. The end of one task of a gang is that of all.
func (c *Core) done(now time.Duration, t *task) {
	s := t.step
	members := []*task{t}
	if s.def.Gang {
		members = s.tasks
	}
	for _, m := range members {
		if m.phase == workflow.Ended {
			continue
		}
		if m.phase == workflow.Placed {
			c.release(m)
		}
		m.phase = workflow.Ended
		s.open--
	}
	r, j := s.round, s.round.job
	c.markDirty(j)
	if s.open > 0 || j.state.Over() {
		return
	}
	r.open--
	if r.open > 0 {
		for _, next := range r.steps {
			c.openStep(now, next)
		}
		return
	}
	j.open--
	if j.open == 0 {
		c.finish(j, workflow.Done)
	}
}

func (c *Core) failed(now time.Duration, t *task) {
	j := t.job()
	t.avoid = t.worker.ID
	s := t.step
	if s.def.Gang {
		for _, m := range s.tasks {
			m.failures++
		}
	} else {
		t.failures++
	}
	failures := t.failures
	if !j.state.Over() && failures >= max(1, j.terms.MaxAttempts) {
		c.release(t)
		c.finish(j, workflow.Failed)
		return
	}
	c.again(now, t, EndFailed)
	t.notBefore = now + failedRetryDelay
}

// again makes a task pending whose attempt ended without success.
func (c *Core) again(now time.Duration, t *task, how How) {
	if how == EndFailed || how == EndAlone {
		t.avoid = t.worker.ID
	}
	gang := t.step.def.Gang
	c.release(t)
	if gang {
		c.breakGang(now, t.step)
		return
	}
	if t.job().state.Over() {
		return
	}
	c.enqueue(now, t)
}

// breakGang stops the rest of a gang. Its next run starts when nothing of this one is left.
func (c *Core) breakGang(now time.Duration, s *step) {
	if s.round.job.state.Over() {
		return
	}
	s.breaking = true
	for _, m := range s.tasks {
		c.withdraw(m)
	}
	c.regroup(now, s)
}

func (c *Core) regroup(now time.Duration, s *step) {
	checkpoint := ""
	for _, m := range s.tasks {
		if m.phase == workflow.Placed {
			return
		}
		if m.checkpoint != "" {
			checkpoint = m.checkpoint
		}
	}
	s.breaking = false
	s.tasks[0].checkpoint = checkpoint
	// One task stands for the gang in the list of pending tasks.
	c.enqueue(now, s.tasks[0])
}

// lost makes a task pending whose attempt has certainly ended without a report.
func (c *Core) lost(now time.Duration, t *task, why string) {
	// The end of another task of its gang may have taken it off the worker already.
	if t.phase != workflow.Placed {
		return
	}
	c.logger.Info("attempt lost", "task", t.id, "run", t.run, "worker", t.worker.ID, "reason", why)
	c.again(now, t, EndLapsed)
}

func (c *Core) applyRunning(now, sent time.Duration, w *worker, running []Running) {
	seen := make(map[*task]struct{}, len(running))
	for i := range running {
		r := &running[i]
		t := c.find(r.Task)
		if t == nil || t.phase != workflow.Placed || t.worker != w || t.run != r.Run {
			c.stopStray(w, r)
			continue
		}
		seen[t] = struct{}{}
		t.observe(now, r)
		c.moveStalled(now, t)
	}
	for t := range w.tasks {
		if _, ok := seen[t]; ok || t.order != orderSettled || sent <= t.settledAt {
			continue
		}
		// The list was made after the order was settled, and its end would have been listed.
		c.lost(now, t, "not on the worker")
	}
}

// stopStray ends an attempt that nobody waits for: its task was given up here, or its submission is over.
func (c *Core) stopStray(w *worker, r *Running) {
	c.logger.Warn("attempt is not expected", "task", r.Task, "run", r.Run, "worker", w.ID)
	c.orders = append(c.orders, StopOrder{Member: w.Member, Call: StopCall{Attempt: r.Attempt, Fence: c.epoch}})
}

func (t *task) observe(now time.Duration, r *Running) {
	if t.order == orderUnsure {
		t.order, t.settledAt = orderSettled, now
	}
	if !t.seen {
		t.seen, t.percentAt = true, now
		if t.startedAt == 0 {
			t.startedAt = now
		}
	}
	if r.Percent != t.percent {
		t.percent, t.percentAt = r.Percent, now
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.load = r.Load
}
