package dispatch

import "time"

// outlivedStart returns for how long the worker is known to have worked on after it confirmed the start of the task; 0
// if it has not confirmed it.
func (t *task) outlivedStart() time.Duration {
	if t.startedAt == 0 {
		return 0
	}
	return max(0, t.worker.clockReadAt-t.startedAt)
}

// noteSuccessor notes that another incarnation answers at the address of a worker, which has therefore ended.
func (c *Core) noteSuccessor(now time.Duration, w *worker) {
	if w.succeeded {
		return
	}
	w.succeeded = true
	c.logger.Warn("another incarnation answers at the worker's address", "worker", w.ID, "leaving", w.Leaving,
		"tasks", len(w.tasks), "silent_ms", (now - w.clockReadAt).Milliseconds())
}
