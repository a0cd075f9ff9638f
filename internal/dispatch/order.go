package dispatch

import (
	"sort"
	"time"
)

// lateFactor is the multiple of the latency objective after which a result has no value.
const lateFactor = 3

// Tiers within one priority, in order of placement. Late work that still has value takes its room for a short time
// only, so it comes before services.
const (
	tierOnTime = iota
	tierLate
	tierService
	tierTooLate
)

// tier returns the tier of a task within its priority.
func (t *task) tier(now time.Duration) int {
	j := t.job()
	switch {
	case t.step.def.Service:
		return tierService
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
	// maxServiceHold is how long a service then waits, so that short tasks find the room that other services leave.
	// After that it is placed wherever there is room, also on workers in quarantine: it must not wait for 3 s while
	// there is room.
	maxServiceHold = 2 * time.Second
)

// holdExpired reports whether a service has waited for maxServiceHold and must be placed wherever there is room.
func (t *task) holdExpired(now time.Duration) bool {
	return t.step.def.Service && now-t.queuedAt >= maxServiceHold
}

// scarce reports whether a task that should run now has recently found no room.
func (c *Core) scarce(now time.Duration) bool {
	return c.lastShortage != 0 && now-c.lastShortage < scarcityDuration
}

// mustHold reports whether a service has to wait so that short tasks find room.
func (c *Core) mustHold(now time.Duration, t *task) bool {
	// For tasks that were pending at the takeover, the waiting time is unknown.
	return c.scarce(now) && t.step.def.Service && t.queuedAt > c.ownerSince && !t.holdExpired(now)
}

// recordShortage records that a task was not placed, if it is neither a service nor best effort and should run now.
func (c *Core) recordShortage(now time.Duration, t *task) {
	d := t.step.def
	if d.Service || d.BestEffort || t.notBefore > now || t.tier(now) != tierOnTime {
		return
	}
	if !c.scarce(now) {
		c.logger.Info("processors scarce, holding services", "task", t.id,
			"waited_ms", (now - t.queuedAt).Milliseconds(), "pending", len(c.pending))
	}
	c.lastShortage = now
}

// before reports whether t is placed before o: by priority, then by tier, then by earliest objective. Services keep
// the order of acceptance.
func (t *task) before(other *task, now time.Duration) bool {
	jt, jOther := t.job(), other.job()
	if x, y := jt.terms.Priority, jOther.terms.Priority; x != y {
		return x < y
	}
	if x, y := t.tier(now), other.tier(now); x != y {
		return x < y
	}
	if !t.step.def.Service && jt.objectiveAt != jOther.objectiveAt {
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
