package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// failedRetryDelay is the pause before a failed task is placed again. Without it, a task that fails at once would use up its
// attempts within one short disruption.
const failedRetryDelay = 100 * time.Millisecond

// LeaseAnswered applies a worker's answer to a lease call. sent is when the call was sent.
func (c *Core) LeaseAnswered(now, sent time.Duration, o LeaseOrder, a LeaseAnswer) {
	c.eventTime = now
	w := o.worker
	if o.announcements != w.announcements {
		return
	}
	c.callable[w] = struct{}{}
	w.holdsCall = false
	if !c.observeAnswer(now, w, o.Call.kind(&a), o.Member.StartedAt, CallAnswer{StartedAt: a.StartedAt, Clock: a.Clock}) {
		return
	}
	if o.Member.StartedAt == w.StartedAt {
		w.receivedConfirmation = max(w.receivedConfirmation, o.Call.LastStoredEnd)
	}
	// The worker has been cut off and has not crashed.
	w.lost = nil
	if w.health.Answered(now) {
		c.noteExcluded(now, w)
	}
	w.answeredAt, w.failingSince, w.retryInterval = now, 0, 0
	w.askedAt = sent
	if now-sent <= o.Call.Wait+maxLeaseCallAge {
		w.heardAt, w.heardIn = now, c.steps
	}
	w.fencedIncarnation = w.StartedAt
	if a.StartedAt != 0 {
		w.refuteAnnounced()
	}
	if !w.fenced && w.announced == nil {
		w.fenced, c.planNeeded = true, true
		c.logger.Info("worker now refuses earlier owners", "worker", w.ID, "epoch", c.epoch,
			"running", len(a.Running), "ends", len(a.Ends))
	}
	c.health.ended = c.health.ended[:0]
	// Ends are applied, and confirmed, up to the newest number.
	slices.SortFunc(a.Ends, func(x, y End) int { return cmp.Compare(x.Number, y.Number) })
	for i := range a.Ends {
		c.applyEnd(now, w, &a.Ends[i])
	}
	c.applyRunning(now, sent, w, &a)
	w.noteShared(now)
	// An answer without a clock reading has an unknown age.
	c.notePaces(now, w, a.StartedAt != 0)
	c.adjustCPULimits(now, w)
	c.startHeard(now, w)
}

func (c *Core) applyEnd(now time.Duration, w *worker, e *End) {
	if e.Number <= w.appliedEnd {
		return
	}
	w.appliedEnd = e.Number
	c.unconfirmed[w] = struct{}{}
	t := c.findAttempt(e.Attempt)
	if t != nil && c.doneBefore(t, w, e) {
		c.logger.Info("earlier attempt had ended as done", "task", t.id, "run", e.Run, "worker", w.ID)
		main := t.main()
		if main.copy != nil {
			c.stopAttempt(main.copy)
		}
		c.stopAttempt(main)
		// The attempts that still run are overtaken by the one that has ended.
		c.taskDone(now, main.newCopy(now))
		return
	}
	if t == nil || t.phase != workflow.Placed || t.worker != w || t.run != e.Run {
		c.logger.Info("end of an earlier attempt ignored", "task", e.Task, "run", e.Run, "worker", w.ID,
			"how", e.Outcome)
		return
	}
	c.logger.Info("task ended", "task", t.id, "run", t.run, "worker", w.ID, "how", e.Outcome,
		"ran_ms", (now - t.startedAt).Milliseconds())
	if c.takesCheckpoint(t, e.Checkpoint) {
		t.checkpoint = e.Checkpoint
	}
	c.noteBegun(t.job())
	c.noteOutcome(now, w, t, e.Outcome)
	switch {
	case t.main().done():
		// The other attempt has ended as done before.
		c.unplace(t)
	case t.step.def.LongRunning:
		c.requeue(now, t, e.Outcome)
	case e.Outcome == EndDone:
		c.learnDuration(now, t)
		c.taskDone(now, t)
	case e.Outcome == EndFailed:
		c.taskFailed(now, t)
	default:
		c.requeue(now, t, e.Outcome)
	}
}

// takesCheckpoint reports whether a checkpoint replaces the one that is known. One that is too long to be stored does not.
func (c *Core) takesCheckpoint(t *task, checkpoint string) bool {
	if len(checkpoint) <= workflow.MaxCheckpointBytes {
		return checkpoint != ""
	}
	if !t.longCheckpoint {
		t.longCheckpoint = true
		c.logger.Warn("checkpoint is too long to be stored, keeping the earlier one", "task", t.id, "run", t.run,
			"worker", t.worker.ID, "bytes", len(checkpoint))
	}
	return false
}

// doneBefore reports whether a success of an earlier attempt completes a task. The worker had not answered until its
// lease expired, so the attempt counted as lost, but it had ended before that. If the next attempt was already ordered,
// that one decides, unless the step allows copies: another attempt may run for long beside a lost one, and nothing may be started
// after the success was confirmed.
func (c *Core) doneBefore(t *task, w *worker, e *End) bool {
	d := t.step.def
	if e.Outcome != EndDone || d.LongRunning || d.Gang || e.Run > t.lastRun() || t.job().state.Over() {
		return false
	}
	switch t.phase {
	case workflow.Pending:
		return t.step.ready
	case workflow.Placed:
		return (t.worker != w || t.run != e.Run) && (t.neverSent() ||
			t.original == nil && !t.overtaken && mayHaveCopies(d))
	}
	return false
}

// findTask returns the task with an id, or nil.
func (c *Core) findTask(id workflow.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	r := j.round(id.Round)
	if r == nil || id.Step >= len(r.steps) {
		return nil
	}
	s := r.steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// taskDone marks a task as ended and activates the steps that depend on it. The success of one task of a
// gang ends all of them.
func (c *Core) taskDone(now time.Duration, t *task) {
	s := t.step
	members := []*task{t.main()}
	if s.def.Gang {
		members = s.tasks
	}
	for _, m := range members {
		if m.done() {
			continue
		}
		freed := m
		if !s.def.Gang {
			// The attempt that has ended may be a copy.
			freed = t
		}
		if freed.phase == workflow.Placed {
			c.noteFreed(now, freed)
		}
		c.endTask(m, t)
		s.open--
		c.noteWorkDone(m)
	}
	r, j := s.round, s.round.job
	c.markEnded(j)
	if s.open > 0 || j.state.Over() {
		return
	}
	r.open--
	if r.open > 0 {
		for _, next := range r.steps {
			c.activateStep(now, next)
		}
		return
	}
	j.open--
	if j.open == 0 {
		c.finish(j, workflow.Done)
	}
	c.retireRound(r)
}

// taskFailed counts a failed attempt. It fails the submission if no attempt is left, and otherwise makes the task
// pending again. A failure of one task of a gang counts for all of them.
func (c *Core) taskFailed(now time.Duration, t *task) {
	j := t.job()
	main := t.main()
	main.avoidWorker = t.worker.ID
	s := t.step
	if s.def.Gang {
		for _, m := range s.tasks {
			m.failures++
		}
	} else {
		main.failures++
	}
	failures := main.failures
	if !j.state.Over() && failures >= max(1, j.terms.MaxAttempts) {
		c.unplace(t)
		c.finish(j, workflow.Failed)
		return
	}
	c.requeue(now, t, EndFailed)
	main.notBefore = now + failedRetryDelay
}

// requeue makes a task pending again after the end of an attempt that did not complete it. A gang restarts as a whole.
func (c *Core) requeue(now time.Duration, t *task, outcome Outcome) {
	if outcome == EndFailed || outcome == EndAlone {
		t.main().avoidWorker = t.worker.ID
	}
	gang := t.step.def.Gang
	c.unplace(t)
	if gang {
		c.restartGang(now, t.step)
		return
	}
	if t.job().state.Over() {
		return
	}
	c.enqueue(now, t)
}

// restartGang stops the remaining tasks of a gang. The gang is placed again once none of them is running.
func (c *Core) restartGang(now time.Duration, s *step) {
	if s.round.job.state.Over() {
		return
	}
	s.restarting = true
	for _, m := range s.tasks {
		c.stopAttempt(m)
	}
	c.enqueueGang(now, s)
}

// enqueueGang makes a gang pending once none of its tasks is placed. All tasks resume from the checkpoint of
// one of them.
func (c *Core) enqueueGang(now time.Duration, s *step) {
	checkpoint := ""
	for _, m := range s.tasks {
		if m.phase == workflow.Placed {
			return
		}
		if m.checkpoint != "" {
			checkpoint = m.checkpoint
		}
	}
	s.restarting = false
	s.tasks[0].checkpoint = checkpoint
	// One task represents the gang in the list of pending tasks.
	c.enqueue(now, s.tasks[0])
}

// lossReason is the evidence by which an attempt has certainly ended without a report.
type lossReason string

const (
	lossLeaseExpired lossReason = "worker lease expired"
	lossRestarted    lossReason = "worker restarted"
	lossUnlisted     lossReason = "attempt not in the worker's list"
)

// LogValue implements slog.LogValuer.
func (r lossReason) LogValue() slog.Value { return slog.StringValue(string(r)) }

// attemptLost requeues a task whose attempt has certainly ended without a report.
func (c *Core) attemptLost(now time.Duration, t *task, reason lossReason) {
	// The end of another task of its gang may already have removed it from the worker.
	if t.phase != workflow.Placed {
		return
	}
	c.logger.Info("attempt lost", "task", t.id, "run", t.run, "worker", t.worker.ID, "reason", reason,
		"outlived_start_ms", t.outlivedStart().Milliseconds(), "placed_on", t.workerStartedAt, "accepted_by", t.acceptedBy,
		"born", t.worker.StartedAt, "unanswered_start", t.hadUnansweredStart)
	c.metrics.attemptLost(reason)
	since := c.silentSince(now, t.worker)
	c.requeue(now, t, EndLapsed)
	if t.queued && t.step.def.LongRunning {
		// Its callers have waited since the worker fell silent.
		t.queuedAt = since
	}
}

// silentSince returns since when a worker has not answered; now if it answers.
func (c *Core) silentSince(now time.Duration, w *worker) time.Duration {
	switch {
	case w.failingSince != 0:
		return w.failingSince
	case w.answeredAt == 0:
		return c.ownerSince
	}
	return now
}

func (c *Core) applyRunning(now, sent time.Duration, w *worker, a *LeaseAnswer) {
	c.lists++
	for i := range a.Running {
		r := &a.Running[i]
		t := c.findAttempt(r.Attempt)
		if t == nil || t.phase != workflow.Placed || t.worker != w || t.run != r.Run {
			c.stopUnexpected(w, r)
			continue
		}
		t.listedIn = c.lists
		c.accept(t, a.StartedAt)
		t.observe(now, r)
		if r.Checkpoint != t.checkpoint && c.takesCheckpoint(t, r.Checkpoint) {
			t.checkpoint, t.checkpointAt = r.Checkpoint, now
		}
		c.clearSuspicion(t)
		c.moveStalled(now, t)
	}
	if a.MoreEnds {
		// An attempt that is missing may be among the ends that are not listed yet.
		return
	}
	for t := range w.tasks {
		if t.listedIn == c.lists || t.startState != startSettled || sent <= t.settledAt {
			continue
		}
		// The list was requested after the start was settled, so the attempt is not running. If the worker knew how it
		// ended, the same answer would have contained the end.
		if a, started := t.attemptLostWith(); started && t.outdated() {
			c.countCrash(a, w, blameUncertain)
		}
		c.attemptLost(now, t, lossUnlisted)
	}
}

// stopUnexpected stops an attempt that is not the current one of a placed task, for example because the submission is
// over.
func (c *Core) stopUnexpected(w *worker, r *Running) {
	c.logger.Warn("stopping unexpected attempt on worker", "task", r.Task, "run", r.Run, "worker", w.ID, "born", w.StartedAt)
	c.orders = append(c.orders, StopOrder{Member: w.Member, Call: StopCall{Attempt: r.Attempt, Epoch: c.epoch}})
}

// observe applies a worker's report of a running attempt.
func (t *task) observe(now time.Duration, r *Running) {
	if t.startState == startUnanswered {
		t.startState, t.settledAt = startSettled, now
	}
	if !t.reported {
		t.reported, t.percentAt, t.reportedAt, t.firstPercent = true, now, now, r.Percent
		if t.startedAt == 0 {
			t.startedAt = now
		}
	}
	if r.Percent != t.percent {
		t.percent, t.percentAt = r.Percent, now
	}
	t.load = r.Load
}
