package dispatch

import "time"

const (
	// A task is stalled if it makes no progress for stallLeast, and for stallFactor times as long as a percent took it before. Tasks that share
	// processors are slow, but not by that much.
	stallLeast  = 1500 * time.Millisecond
	stallFactor = 10
	// stallPace is the pace below which standing still says nothing.
	stallPace = 60
	// A task is moved at most maxStalls times for this, and its worker gets no other for stallPause.
	maxStalls  = 2
	stallPause = 3 * time.Second
)

// stalled reports whether a task stands still although nothing keeps it from working. Service tasks have no progress.
func (t *task) stalled(now time.Duration) bool {
	if t.step.def.Service || t.step.def.Gang || t.stopWanted || t.pace < stallPace || t.percent >= fullPercent {
		return false
	}
	usual := t.percentAt - t.startedAt
	if t.percent > 0 {
		usual /= time.Duration(t.percent)
	}
	return now-t.percentAt > max(stallLeast, stallFactor*usual)
}

// moveStalled stops a task that stands still, so that it goes on elsewhere from its checkpoint.
func (c *Core) moveStalled(now time.Duration, t *task) {
	if !t.stalled(now) || t.stalls >= maxStalls {
		return
	}
	t.stalls++
	t.avoid = t.worker.ID
	t.worker.quarantine = max(t.worker.quarantine, now+stallPause)
	c.logger.Info("task stalled", "task", t.id, "run", t.run, "worker", t.worker.ID, "percent", t.percent, "still_ms", (now - t.percentAt).Milliseconds())
	c.withdraw(t)
}
