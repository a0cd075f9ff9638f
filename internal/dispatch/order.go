package dispatch

import (
	"cmp"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/backlog"
)

// lateFactor is the multiple of the latency objective after which a result has no value.
const lateFactor = backlog.LateFactor

// restartWait is how long a long-running task that has run before waits behind short tasks. It must run again within
// 3 s while there is room; most find room before.
const restartWait = 1500 * time.Millisecond

// Tiers within one priority, in order of placement. A long-running task that has run before is an outage of its service
// until it runs again, so it comes first after restartWait. Late work that still has value takes its room for a short time only, so it comes before other
// long-running tasks.
const (
	tierRestart = iota
	tierOnTime
	tierLate
	tierLongRunning
	tierTooLate
)

// pathMargin is the factor by which a best-effort task takes longer than its expected duration.
const pathMargin = 1.2

// tier returns the tier of a task within its priority. A best-effort task waits while more such work than the workers
// can run is in progress, so it counts as late once the steps that remain are not expected to end in time. Other work counts as
// late once they certainly cannot, so that it does not take scarce room from work that can.
func (t *task) tier(now time.Duration) int {
	j := t.job()
	end := now + t.step.shortestPath
	if t.step.def.BestEffort {
		end = now + time.Duration(pathMargin*float64(t.step.path))
	}
	switch {
	case t.step.def.LongRunning && t.run > 0 && now-t.queuedAt >= restartWait:
		return tierRestart
	case t.step.def.LongRunning:
		return tierLongRunning
	case end <= j.objectiveAt:
		return tierOnTime
	case end <= j.objectiveAt+(lateFactor-1)*j.latencyObjective:
		return tierLate
	}
	return tierTooLate
}

const (
	// scarcityDuration is how long processors count as scarce after a task that should run now found no room.
	scarcityDuration = 5 * time.Second
	// maxLongRunningWait limits how long a long-running task waits while processors are scarce. The wait leaves the
	// room that other long-running tasks free to short tasks. After it, the task is placed wherever there is room,
	// even on an excluded worker, because it must not wait for 3 s while there is room.
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

// mustWait reports whether a long-running task has to wait so that short tasks find room. One that has run before waits
// for restartWait at most.
func (c *Core) mustWait(now time.Duration, t *task) bool {
	// Tasks that were pending at the takeover do not wait: how long they have waited already is unknown.
	return c.scarce(now) && t.tier(now) == tierLongRunning && t.queuedAt > c.ownerSince && !t.waitExpired(now)
}

// noteShortage notes that a task was not placed, if it is neither long-running nor best effort and should run now.
func (c *Core) noteShortage(now time.Duration, t *task) {
	d := t.step.def
	if d.LongRunning || d.BestEffort || t.unplaced == unplacedAwaitsRack || t.notBefore > now || t.tier(now) != tierOnTime {
		return
	}
	if !c.scarce(now) {
		c.logger.Info("processors scarce, holding services", "task", t.id,
			"waited_ms", (now - t.queuedAt).Milliseconds(), "pending", len(c.pending))
	}
	c.lastShortage = now
}

// rank orders tasks for placement: by priority, then by tier, then by earliest objectiveAt. Long-running tasks keep the
// order of acceptance.
type rank struct {
	priority, tier int
	objectiveAt    time.Duration
	offset         int64
	step, index    int
}

func (t *task) newRank(now time.Duration) rank {
	j := t.job()
	r := rank{priority: j.terms.Priority, tier: t.tier(now), offset: j.offset, step: t.id.Step, index: t.id.Index}
	if !t.step.def.LongRunning {
		r.objectiveAt = j.objectiveAt
	}
	return r
}

func (r *rank) compare(other *rank) int {
	// Unlike cmp.Or, this compares only what is needed.
	switch {
	case r.priority != other.priority:
		return cmp.Compare(r.priority, other.priority)
	case r.tier != other.tier:
		return cmp.Compare(r.tier, other.tier)
	case r.objectiveAt != other.objectiveAt:
		return cmp.Compare(r.objectiveAt, other.objectiveAt)
	case r.offset != other.offset:
		return cmp.Compare(r.offset, other.offset)
	case r.step != other.step:
		return cmp.Compare(r.step, other.step)
	}
	return cmp.Compare(r.index, other.index)
}

// sortTasks sorts tasks in the order of placement.
func sortTasks(now time.Duration, tasks []*task) {
	for _, t := range tasks {
		s := t.step
		if s.def.LongRunning {
			t.rank = t.newRank(now)
			continue
		}
		// The short tasks of a step differ in their index only.
		if s.rankedAt != now {
			s.round.refresh(now)
			s.rank, s.rankedAt = t.newRank(now), now
		}
		t.rank = s.rank
		t.rank.index = t.id.Index
	}
	slices.SortStableFunc(tasks, func(a, b *task) int { return a.rank.compare(&b.rank) })
}
