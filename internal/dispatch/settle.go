package dispatch

import (
	"cmp"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
)

const (
	// settleDelay is the time after a takeover in which most workers answer the new owner.
	settleDelay = 100 * time.Millisecond
	// settleInterval is the time between two records of the workers that have not.
	settleInterval = 250 * time.Millisecond
)

// settlement tracks on which workers earlier owners may still act. What is stored of it bounds the leases that a
// successor waits for if the tenure ends before all earlier owners have certainly ended.
type settlement struct {
	// earlierUntil is the time until which owners before this one may act.
	earlierUntil time.Duration
	// next is the earliest time of the next record; stored is set once there is one, done when it names no worker.
	next         time.Duration
	stored, done bool
	unfenced     []catalog.Incarnation
}

// update returns the record that is due now, without its epoch, and false if there is none.
func (s *settlement) update(now time.Duration, c *Core) (catalog.Settled, bool) {
	if s.done || now < s.next {
		return catalog.Settled{}, false
	}
	s.next = now + settleInterval
	var unfenced []catalog.Incarnation
	if now < s.earlierUntil {
		unfenced = c.unfencedWorkers()
	}
	if s.stored && slices.Equal(unfenced, s.unfenced) {
		return catalog.Settled{}, false
	}
	s.stored, s.done, s.unfenced = true, len(unfenced) == 0, unfenced
	return catalog.Settled{Unfenced: unfenced}, true
}

// unfencedWorkers returns the incarnations on which tasks are placed and that have not answered this owner, sorted.
func (c *Core) unfencedWorkers() []catalog.Incarnation {
	var out []catalog.Incarnation
	for _, w := range c.workers {
		for t := range w.tasks {
			if t.workerStartedAt != w.fencedIncarnation {
				out = append(out, catalog.Incarnation{ID: w.ID, StartedAt: t.workerStartedAt})
			}
		}
	}
	slices.SortFunc(out, func(a, b catalog.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return slices.Compact(out)
}
