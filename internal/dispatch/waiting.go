package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
)

// unplaced is why a plan left a task pending.
type unplaced uint8

const (
	unplacedNone unplaced = iota
	// unplacedPlanFull: the plan had reached maxPlacements.
	unplacedPlanFull
	// unplacedBackoff: the pause after a failure was not over.
	unplacedBackoff
	// unplacedYields: short tasks found no room, see Core.mustWait.
	unplacedYields
	// unplacedNoWorker: no candidate had room and met what the step asks for.
	unplacedNoWorker
	// unplacedAwaitsRack: there is room, but a better place is expected to become free in time, see package locality.
	unplacedAwaitsRack
)

var unplacedNames = [...]string{unplacedNone: "not-tried", unplacedPlanFull: "plan-full", unplacedBackoff: "backoff",
	unplacedYields: "yields", unplacedNoWorker: "no-worker", unplacedAwaitsRack: "awaits-rack"}

// exclusion is why a worker gets no new task.
type exclusion uint8

const (
	excludedNone exclusion = iota
	// excludedUnschedulable: see worker.unschedulable.
	excludedUnschedulable
	// excludedClosed: the data centre of the worker is closed, and nothing else keeps it from getting tasks.
	excludedClosed
	// excludedSilent: the last lease call failed.
	excludedSilent
	// excludedPaused: the worker has recently refused a start.
	excludedPaused
	// excludedUnhealthy: the worker is excluded because of its health. Tasks that have waited are placed there all the same.
	excludedUnhealthy
	// excludedProbation: the worker gets a few tasks until some have succeeded.
	excludedProbation
)

var exclusionNames = [...]string{excludedNone: "usable", excludedUnschedulable: "unschedulable", excludedClosed: "closed data centre", excludedSilent: "silent",
	excludedPaused: "paused", excludedUnhealthy: "excluded", excludedProbation: "probation"}

func (w *worker) exclusion(now time.Duration) exclusion {
	switch {
	case w.unavailable():
		return excludedUnschedulable
	case w.closed:
		return excludedClosed
	case w.failingSince != 0:
		return excludedSilent
	}
	switch w.health.State(now) {
	case workerhealth.Paused:
		return excludedPaused
	case workerhealth.Excluded:
		return excludedUnhealthy
	case workerhealth.Probation:
		return excludedProbation
	}
	return excludedNone
}

// minReportedWait is the wait from which a long-running task is reported.
const minReportedWait = time.Second

// waitingServices tells why long-running tasks of one pool wait, and whether the pool has room for them.
type waitingServices struct {
	tasks  int
	oldest time.Duration
	// byReason counts the tasks by what the last plan found. restricted counts those whose step limits the workers.
	byReason   map[string]int
	restricted int
	// asked is reserved by all of them, smallest by the one with the fewest processors.
	asked, smallest resource.Vector
	// free is the sum of what the workers have free, largest the most processors that are free on one of them.
	free    resource.Vector
	largest int64
	// fitting counts the workers that have room for the smallest task, by exclusion.
	fitting map[string]int
}

// newWaitingServices returns what is known of each pool in which long-running tasks have waited for minReportedWait.
func (c *Core) newWaitingServices(now time.Duration) map[string]*waitingServices {
	pools := map[string]*waitingServices{}
	for _, t := range c.pending {
		waited := now - t.queuedAt
		if !t.step.def.LongRunning || waited < minReportedWait {
			continue
		}
		pool := t.job().terms.Pool
		s := pools[pool]
		if s == nil {
			s = &waitingServices{byReason: map[string]int{}, fitting: map[string]int{}, smallest: t.reserved()}
			pools[pool] = s
		}
		s.tasks++
		s.oldest = max(s.oldest, waited)
		s.byReason[unplacedNames[t.unplaced]]++
		if t.restricted() {
			s.restricted++
		}
		s.asked = s.asked.Add(t.reserved())
		if t.reserved().MilliCores < s.smallest.MilliCores {
			s.smallest = t.reserved()
		}
	}
	for _, w := range c.workers {
		s := pools[w.Pool]
		if s == nil {
			continue
		}
		free := w.Capacity.Sub(w.node.Reserved)
		if e := w.exclusion(now); s.smallest.Fits(free) {
			s.fitting[exclusionNames[e]]++
		}
		if !w.unschedulable() {
			s.free, s.largest = s.free.Add(free.Max(resource.Vector{})), max(s.largest, free.MilliCores)
		}
	}
	return pools
}

func (c *Core) logWaitingServices(now time.Duration) {
	for pool, s := range c.newWaitingServices(now) {
		c.logger.Info("services wait for workers", "pool", pool, "tasks", s.tasks, "oldest_ms", s.oldest.Milliseconds(),
			"by_reason", s.byReason, "restricted", s.restricted, "asked_cores", s.asked.MilliCores/millisPerCore,
			"smallest_millicores", s.smallest.MilliCores, "smallest_mb", s.smallest.MemoryMB,
			"free_cores", s.free.MilliCores/millisPerCore, "largest_free_millicores", s.largest,
			"workers_with_room", s.fitting)
	}
}
