package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// kindChange is how a worker returns under its id as one of another kind.
type kindChange struct {
	// downtime is how long the worker is away, entryDelay when the entry of the new incarnation is written after that.
	downtime, entryDelay time.Duration
	// silent is set if the connections to the earlier incarnation are not closed.
	silent bool
	// staleAfter is when the entry of the earlier incarnation is read once more after the restart; 0 for never.
	staleAfter time.Duration
	// otherPool moves the new incarnation to another pool, and otherSize changes its capacity.
	otherPool, otherSize bool
	// heldFor is how long starts wait between their decision and their transmission.
	heldFor time.Duration
	// logDown is how long the log is down from the restart on.
	logDown time.Duration
	// takeOverAfter is when another owner takes over after the crash; 0 for never.
	takeOverAfter time.Duration
	unnamed       bool
	lossShare     float64
}

// randomKindChange returns a change within what the platform allows.
func randomKindChange(rng *rand.Rand) kindChange {
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	sometimes := func(d time.Duration) time.Duration {
		if rng.IntN(3) > 0 {
			return 0
		}
		return time.Millisecond + upTo(d)
	}
	c := kindChange{downtime: minRestartTime + upTo(800*time.Millisecond), entryDelay: upTo(2 * time.Second),
		silent: rng.IntN(2) == 0, staleAfter: sometimes(3 * time.Second), otherPool: rng.IntN(4) == 0, otherSize: rng.IntN(4) == 0,
		heldFor: sometimes(maxStartAge), logDown: sometimes(3 * time.Second), takeOverAfter: sometimes(2 * time.Second),
		unnamed: rng.IntN(3) == 0}
	if rng.IntN(3) == 0 {
		c.lossShare = 0.05
	}
	return c
}

// Guards against a start that reaches a worker which has restarted under its id with other labels, in another pool or with
// another capacity, whenever its new entry is written and read. The fake workers check each start.
func TestNoStartReachesAWorkerThatReturnedAsAnotherKind(t *testing.T) {
	t.Parallel()
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 3))
		change := randomKindChange(rng)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("%+v", change)
			playKindChange(t, seed, rng, change)
		})
	}
}

// playKindChange submits tasks for the only worker with a label, and others, while that worker returns again and again, by
// turns with and without the label.
func playKindChange(t *testing.T, seed uint64, rng *rand.Rand, change kindChange) {
	const (
		rounds    = 8
		perRound  = 6
		submitGap = 150 * time.Millisecond
	)
	sim := newSimulation(t, seed, 3)
	sim.holdsCalls, sim.unnamedAnswers, sim.silentCrashes = true, change.unnamed, change.silent
	sim.heldStarts, sim.pinnedCalls = change.heldFor, true
	sim.workers["a"].labels = []string{"rare"}
	sim.listWorkers()
	sim.run(time.Second)
	sim.callLossShare = change.lossShare
	next := 0
	submit := func(n int) {
		for range n {
			step := batchStep(1+rng.IntN(3), 300*time.Millisecond)
			if rng.IntN(3) > 0 {
				step.Label = "rare"
			}
			next++
			sim.submit(workflow.JobID(fmt.Sprintf("%016x", next)), step)
			sim.run(time.Duration(rng.Int64N(int64(submitGap))))
		}
	}
	for round := range rounds {
		submit(perRound)
		sim.changeKind("a", change, round%2 == 0)
		submit(perRound)
		sim.run(time.Second)
	}
	sim.callLossShare, sim.logDown = 0, false
	sim.run(10 * time.Second)
}

// changeKind crashes a worker, which returns under its id as one of the usual kind, or of the rare one.
func (sim *simulation) changeKind(id string, change kindChange, toUsual bool) {
	before := sim.workers[id]
	entry := sim.member(before)
	sim.countCrashes(before)
	before.crashed = true
	delete(sim.workers, id)
	sim.staleEntries = map[string]Member{id: entry}
	if change.takeOverAfter > 0 {
		sim.schedule(change.takeOverAfter, sim.loseOwner)
	}
	sim.schedule(change.downtime, func() {
		f := sim.addWorker(id)
		if !toUsual {
			f.labels = []string{"rare"}
		}
		if change.otherPool && toUsual {
			f.pool = "elsewhere"
		}
		if change.otherSize && toUsual {
			f.capacity = resource.Vector{MilliCores: 1000, MemoryMB: 2000}
		}
		if change.logDown > 0 {
			sim.logDown = true
			sim.schedule(change.logDown, func() { sim.logDown = false })
		}
		sim.schedule(change.entryDelay, func() {
			if sim.workers[id] == f {
				delete(sim.staleEntries, id)
				sim.core.SetMember(sim.now, sim.member(f))
			}
		})
		if change.staleAfter > 0 {
			sim.schedule(change.staleAfter, func() { sim.core.SetMember(sim.now, entry) })
		}
	})
	sim.run(change.downtime + tick)
}
