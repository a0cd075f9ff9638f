package dispatch

import (
	"sort"
	"time"
)

// lateFactor is the multiple of the latency objective after which a result has no value.
const lateFactor = 3

// Tiers within one priority, in order of placement. Late work that still has value takes its room for a short time
// only, so it comes before long-running tasks.
const (
	tierOnTime = iota
	tierLate
	tierLongRunning
	tierTooLate
)

// tier returns the tier of a task within its priority.
func (t *task) tier(now time.Duration) int {
	j := t.job()
	switch {
	case t.step.def.LongRunning:
		return tierLongRunning
	case now <= j.objectiveAt:
		return tierOnTime
	case now <= j.objectiveAt+(lateFactor-1)*j.latencyObjective:
		return tierLate
	}
	return tierTooLate
}

const (
	// scarcityDuration is how long processors count as scarce after a task that should run now found no room.
	scarcityDuration = 5 * time.Second
	// maxLongRunningWait limits how long a long-running task waits while processors are scarce. The wait leaves the
	// room that other long-running tasks free to short tasks. After it, the task is placed wherever there is room,
	// even on a quarantined worker, because it must not wait for 3 s while there is room.
	maxLongRunningWait = 2 * time.Second
)

// waitExpired reports whether a long-running task has waited for maxLongRunningWait and must be placed wherever there
// is room.
func (t *task) waitExpired(now time.Duration) bool {
	return t.step.def.LongRunning && now-t.queuedAt >= maxLongRunningWait
}

// scarce reports whether a task that should run now has recently found no room.
func (c *Core) scarce(now time.Duration) bool {
	return c.lastShortage != 0 && now-c.lastShortage < scarcityDuration
}

// mustWait reports whether a long-running task has to wait so that short tasks find room.
func (c *Core) mustWait(now time.Duration, t *task) bool {
	// Tasks that were pending at the takeover do not wait: how long they have waited already is unknown.
	return c.scarce(now) && t.step.def.LongRunning && t.queuedAt > c.ownerSince && !t.waitExpired(now)
}

// noteShortage notes that a task was not placed, if it is neither long-running nor best effort and should run now.
func (c *Core) noteShortage(now time.Duration, t *task) {
	d := t.step.def
	if d.LongRunning || d.BestEffort || t.notBefore > now || t.tier(now) != tierOnTime {
		return
	}
	if !c.scarce(now) {
		c.logger.Info("processors scarce, holding services", "task", t.id,
			"waited_ms", (now - t.queuedAt).Milliseconds(), "pending", len(c.pending))
	}
	c.lastShortage = now
}

// before reports whether t is placed before other: by priority, then by tier, then by earliest objectiveAt.
// Long-running tasks keep the order of acceptance.
func (t *task) before(other *task, now time.Duration) bool {
	jt, jOther := t.job(), other.job()
	if x, y := jt.terms.Priority, jOther.terms.Priority; x != y {
		return x < y
	}
	if x, y := t.tier(now), other.tier(now); x != y {
		return x < y
	}
	if !t.step.def.LongRunning && jt.objectiveAt != jOther.objectiveAt {
		return jt.objectiveAt < jOther.objectiveAt
	}
	if jt.offset != jOther.offset {
		return jt.offset < jOther.offset
	}
	return t.id.Step < other.id.Step || t.id.Step == other.id.Step && t.id.Index < other.id.Index
}

func (c *Core) sortPending(now time.Duration) {
	sort.SliceStable(c.pending, func(i, k int) bool { return c.pending[i].before(c.pending[k], now) })
}
