package dispatch

import (
	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// refuseStored ends a stored submission that can never run, such as one that an earlier version has accepted. Its tasks are
// not created: every owner reads the submission again, and must survive it.
func (c *Core) refuseStored(j *job, stored *catalog.Job, err error) {
	c.logger.Warn("stored submission cannot run", "job", j.submission.Job, "error", err)
	j.state, j.finishedAt = c.restoreState(j, stored).State, c.eventTime
	switch {
	case j.state.Over():
	case stored.Cancelled:
		c.cancel(j)
	default:
		c.finish(j, workflow.Failed)
	}
}

// restoreTask applies the record that an earlier owner stored of a task. A placed task may be running: the next lease
// answer of its worker shows whether it is.
func (c *Core) restoreTask(t *task, r *workflow.TaskRecord) {
	t.phase, t.run, t.failures, t.checkpoint = r.Phase, r.Run, r.Failures, r.Checkpoint
	if crashes, ok := c.storedCrashes[t.id.String()]; ok {
		t.crashes, c.suspects[t] = crashes, struct{}{}
	}
	if r.Phase != workflow.Placed {
		return
	}
	c.restorePlaced(t, r.Worker, r.WorkerStartedAt)
}

// restorePlaced applies the stored worker of a placed task.
func (c *Core) restorePlaced(t *task, worker string, startedAt int64) {
	w := c.worker(worker)
	t.startState, t.settledAt = startSettled, c.ownerSince
	t.cpuLimit = unknownCPULimit
	if t.job().state.Over() {
		t.stopWanted = true
		c.needsOrder[t] = struct{}{}
	}
	t.workerStartedAt = startedAt
	w.addTask(t)
	c.trackCopyable(t)
	c.nextExpiry = min(c.nextExpiry, w.leaseEnd)
	t.job().placed++
	incarnation := catalog.Incarnation{ID: worker, StartedAt: startedAt}
	if end, ok := c.silentLeases[incarnation]; ok {
		// The earlier owner granted no lease after it had recorded the worker as silent.
		w.extendLease(end)
		return
	}
	// The earlier owner may have renewed the lease for as long as it was allowed to act.
	until := c.predecessorUntil
	if _, ok := c.unfenced[incarnation]; ok {
		until = max(until, c.earlierUntil)
	}
	w.extendLease(until + withDrift(c.params.Lease))
}
