package dispatch

import (
	"sort"
	"time"
)

// lateFactor times the time that the objective allows is how long a result is still worth something.
const lateFactor = 3

// The tiers of one priority, in order. Work that is late and still worth something takes its room for a short time only, so it comes before
// services.
const (
	tierOnTime = iota
	tierLate
	tierService
	tierTooLate
)

// tier groups the tasks of one priority.
func (t *task) tier(now time.Duration) int {
	j := t.job()
	switch {
	case t.step.def.Service:
		return tierService
	case now <= j.objective:
		return tierOnTime
	case now <= j.objective+(lateFactor-1)*j.span:
		return tierLate
	}
	return tierTooLate
}

const (
	// scarceTime is how long processors count as scarce after a task could not be placed that its submission needed on time.
	scarceTime = 5 * time.Second
	// holdTime is how long a service then waits, so that short tasks find the room that other services leave. After that it is placed wherever
	// there is room, also on workers in quarantine: it must not wait beside free room for 3 s.
	holdTime = 2 * time.Second
)

// due reports whether a service has waited for so long that it must be placed wherever there is room.
func (t *task) due(now time.Duration) bool { return t.step.def.Service && now-t.queuedAt >= holdTime }

// scarce reports whether a task has lately found no room that its submission needed on time.
func (c *Core) scarce(now time.Duration) bool { return c.shortAt != 0 && now-c.shortAt < scarceTime }

// held reports whether a service has to wait because its room would be missing to short tasks.
func (c *Core) held(now time.Duration, t *task) bool {
	// Nothing is known of how long a task has waited that was pending when this owner took over.
	return c.scarce(now) && t.step.def.Service && t.queuedAt > c.recovered && !t.due(now)
}

// noteShortage notes that a task has found no room which should run now.
func (c *Core) noteShortage(now time.Duration, t *task) {
	d := t.step.def
	if d.Service || d.BestEffort || t.notBefore > now || t.tier(now) != tierOnTime {
		return
	}
	if !c.scarce(now) {
		c.logger.Info("processors scarce, services wait", "task", t.id, "waited_ms", (now - t.queuedAt).Milliseconds(), "pending", len(c.pending))
	}
	c.shortAt = now
}

// before reports whether a task comes before another: the highest priority first, then tiers, then the earliest objective. Services keep the order
// of acceptance.
func (t *task) before(o *task, now time.Duration) bool {
	jt, jo := t.job(), o.job()
	if x, y := jt.terms.Priority, jo.terms.Priority; x != y {
		return x < y
	}
	if x, y := t.tier(now), o.tier(now); x != y {
		return x < y
	}
	if !t.step.def.Service && jt.objective != jo.objective {
		return jt.objective < jo.objective
	}
	if jt.offset != jo.offset {
		return jt.offset < jo.offset
	}
	return t.id.Step < o.id.Step || t.id.Step == o.id.Step && t.id.Index < o.id.Index
}

func (c *Core) sortPending(now time.Duration) {
	sort.SliceStable(c.pending, func(i, k int) bool { return c.pending[i].before(c.pending[k], now) })
}
