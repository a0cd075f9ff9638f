package dispatch

import (
	"cmp"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// maxLiveTasks limits the tasks of a scheduled submission that have begun, to those of the largest submission. Further rounds begin
// when earlier ones have ended.
const maxLiveTasks = 5000

// beginDueRounds begins the rounds of a scheduled submission that are due.
func (c *Core) beginDueRounds(now time.Duration, j *job) {
	wall := c.wallClock()
	size := 0
	for i := range j.submission.Steps {
		size += j.submission.Steps[i].Count
	}
	for j.nextRound < j.submission.Rounds() && !wall.Before(j.submission.Due(j.nextRound)) &&
		(len(j.rounds) == 0 || (len(j.rounds)+1)*size <= maxLiveTasks && c.mayOverlap(j)) {
		r := c.addRound(now, j, j.nextRound, nil, nil)
		j.nextRound++
		c.activateRound(now, r)
	}
}

// mayOverlap reports whether there is memory for another round of a submission beside those that have begun.
func (c *Core) mayOverlap(j *job) bool {
	return c.params.OverlapBytes <= 0 || c.overlapBytes+j.submission.RoundFootprint() <= c.params.OverlapBytes
}

// setRounds replaces the rounds of a submission that have begun.
func (c *Core) setRounds(j *job, rounds []*round) {
	if j.submission.Scheduled() {
		c.overlapBytes += int64(max(0, len(rounds)-1)-max(0, len(j.rounds)-1)) * j.submission.RoundFootprint()
	}
	j.rounds = rounds
}

// maxDueWait is the longest time between two looks for rounds that are due, in case the clock is set.
const maxDueWait = time.Second

// dueRetryInterval is how long a round that is due waits at least for others to end, if there is no memory for it.
const dueRetryInterval = 100 * time.Millisecond

// activateDueRounds begins the rounds that are due.
func (c *Core) activateDueRounds(now time.Duration) {
	wall := c.wallClock()
	if len(c.scheduled) == 0 || wall.Before(c.nextDue) {
		return
	}
	c.nextDue = wall.Add(maxDueWait)
	for j := range c.scheduled {
		if !j.state.Over() {
			c.beginDueRounds(now, j)
		}
		if j.state.Over() || j.nextRound == j.submission.Rounds() {
			delete(c.scheduled, j)
			continue
		}
		due := j.submission.Due(j.nextRound)
		if !wall.Before(due) {
			due = wall.Add(dueRetryInterval)
		}
		if due.Before(c.nextDue) {
			c.nextDue = due
		}
	}
}

// retireRound removes a round of a scheduled submission that has ended and of which nothing runs.
func (c *Core) retireRound(r *round) {
	j := r.job
	if r.open > 0 || !j.submission.Scheduled() || j.state.Over() {
		return
	}
	for _, s := range r.steps {
		for _, t := range s.tasks {
			if idle := t.phase != workflow.Placed && t.copy == nil; !idle {
				return
			}
		}
	}
	if i := slices.Index(j.rounds, r); i >= 0 {
		c.setRounds(j, slices.Delete(slices.Clone(j.rounds), i, i+1))
		c.markDirty(j)
	}
}

// round returns the round with a number, or nil if it has not begun or has ended.
func (j *job) round(k int) *round {
	i, ok := slices.BinarySearchFunc(j.rounds, k, func(r *round, k int) int { return cmp.Compare(r.index, k) })
	if !ok {
		return nil
	}
	return j.rounds[i]
}
