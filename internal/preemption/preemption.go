// Package preemption decides which tasks are stopped so that a task of a higher priority finds room. It answers load in
// which tasks of a low priority hold the memory, or the reserved processors, of a pool for longer than a task of a higher
// priority can wait. The package uses no clock, network or goroutine.
package preemption

import (
	"cmp"
	"math"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// maxVictims limits the tasks that are stopped for one task.
const maxVictims = 2

// Victim is a task that may be stopped.
type Victim struct {
	// Index identifies the task for the caller.
	Index int
	// Reserved is the room that its end leaves.
	Reserved resource.Vector
	// Cost is the work that is lost with it, in core-milliseconds.
	Cost int64
}

// Worker is a worker on which room may be made.
type Worker struct {
	Free resource.Vector
	// Ending is the room that each of the tasks leaves that end by themselves before a stopped one would.
	Ending  []resource.Vector
	Victims []Victim
}

// Choice is the decision to stop the victims with the given indexes on a worker.
type Choice struct {
	Worker  int
	Victims []int
	Cost    int64
}

// Choose returns the cheapest way to make room for one of a number of equal waiting tasks. It returns false if no way costs
// at most maxCost, if a worker has room for one of them now, or if as many as wait will get room from tasks that end by
// themselves.
func Choose(need resource.Vector, waiting int, maxCost int64, workers []Worker) (Choice, bool) {
	best, found, soon := Choice{}, false, 0
	for i := range workers {
		w := &workers[i]
		if need.Fits(w.Free) {
			return Choice{}, false
		}
		for _, room := range w.Ending {
			if need.Fits(w.Free.Add(room)) {
				soon++
			}
		}
		if soon >= waiting {
			return Choice{}, false
		}
		if victims, cost := cheapest(need, w); victims != nil && cost <= maxCost && (!found || cost < best.Cost) {
			best, found = Choice{Worker: i, Victims: victims, Cost: cost}, true
		}
	}
	return best, found
}

// cheapest returns the cheapest victims of a worker that make room, and their cost; nil if at most maxVictims do not.
func cheapest(need resource.Vector, w *Worker) ([]int, int64) {
	victims := slices.SortedFunc(slices.Values(w.Victims), func(a, b Victim) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Index, b.Index))
	})
	var out []int
	least := int64(math.MaxInt64)
	for i, a := range victims {
		if a.Cost >= least {
			break
		}
		if free := w.Free.Add(a.Reserved); need.Fits(free) {
			return []int{a.Index}, a.Cost
		}
		for _, b := range victims[i+1:] {
			if a.Cost+b.Cost < least && need.Fits(w.Free.Add(a.Reserved).Add(b.Reserved)) {
				out, least = []int{a.Index, b.Index}, a.Cost+b.Cost
			}
		}
	}
	return out, least
}

// Cost returns the work, in core-milliseconds, that is lost if a task is stopped that last saved its progress at the given
// time ago and takes the time restore to resume.
func Cost(milliCores int64, since, restore time.Duration) int64 {
	const millisPerCore = 1000
	return milliCores * (max(0, since) + restore).Milliseconds() / millisPerCore
}

// Limiter bounds the rate of stops in a pool.
type Limiter struct {
	tokens    float64
	updatedAt time.Duration
}

// rateShare is the share of the short tasks in progress of a pool that may be stopped in a second. At least one may be.
const rateShare = 0.01

// Allows reports whether n tasks may be stopped now in a pool with the given number of short tasks in progress, and counts
// them if so. Unused stops accumulate for a second, or up to maxVictims if that is more.
func (l *Limiter) Allows(now time.Duration, n, inProgress int) bool {
	rate := max(1, rateShare*float64(inProgress))
	if l.updatedAt == 0 {
		l.tokens = max(rate, maxVictims)
	} else {
		l.tokens = min(max(rate, maxVictims), l.tokens+rate*(now-l.updatedAt).Seconds())
	}
	l.updatedAt = now
	if float64(n) > l.tokens {
		return false
	}
	l.tokens -= float64(n)
	return true
}
