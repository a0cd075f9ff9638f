package dispatch

import "time"

const (
	// A task is stalled if it makes no progress for minStallTime, and for stallFactor times its previous average time
	// for one percent. Tasks that share processors are slow, but not by that factor.
	minStallTime = 1500 * time.Millisecond
	stallFactor  = 10
	// minStallLimitPercent is the CPU limit below which a lack of progress does not count.
	minStallLimitPercent = 60
	// A stalled task is moved at most maxStallMoves times.
	maxStallMoves = 2
)

// stalled reports whether a task makes no progress although its CPU limit allows it. Long-running tasks have no
// progress.
func (t *task) stalled(now time.Duration) bool {
	if t.step.def.LongRunning || t.step.def.Gang || t.stopWanted || t.cpuLimit < minStallLimitPercent ||
		t.percent >= completePercent {
		return false
	}
	timePerPercent := t.percentAt - t.startedAt
	if t.percent > 0 {
		timePerPercent /= time.Duration(t.percent)
	}
	return now-t.percentAt > max(minStallTime, stallFactor*timePerPercent)
}

// moveStalled stops a stalled task, so that it resumes on another worker from its checkpoint.
func (c *Core) moveStalled(now time.Duration, t *task) {
	if !t.stalled(now) || t.stallMoves >= maxStallMoves {
		return
	}
	t.stallMoves++
	t.avoidWorker = t.worker.ID
	if t.worker.health.StalledTask(now, t.placedAt) {
		c.noteExcluded(now, t.worker, "task", t.id)
	}
	c.logger.Info("task stalled", "task", t.id, "run", t.run, "worker", t.worker.ID, "percent", t.percent,
		"still_ms", (now - t.percentAt).Milliseconds())
	c.stopAttempt(t)
}
