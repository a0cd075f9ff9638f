package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// budgetedServices returns a step of services with a disruption budget.
func budgetedServices(count, budget int) workflow.Step {
	s := serviceStep(count)
	s.DisruptionBudget = budget
	return s
}

// running counts the running attempts of a submission in a data centre, or in all if it is empty.
func (sim *simulation) running(id workflow.JobID, dataCentre string) int {
	n := 0
	for _, f := range sim.workers {
		for a, r := range f.running {
			if a.Task.Job == id && !r.stopping && (dataCentre == "" || f.dataCentre == dataCentre) {
				n++
			}
		}
	}
	return n
}

// runWatching runs the simulation and returns the least number of running tasks of a submission meanwhile.
func (sim *simulation) runWatching(d time.Duration, id workflow.JobID) int {
	least := sim.running(id, "")
	for end := sim.now + d; sim.now < end; {
		sim.run(tick)
		least = min(least, sim.running(id, ""))
	}
	return least
}

// Guards against services that stay in a closed data centre although there is room elsewhere, and against more of them down
// at once than their budget allows.
func TestServicesMoveOutOfAClosedDataCentre(t *testing.T) {
	for budget, moved := range map[int]bool{0: false, 1: true, 2: true, 9: true} {
		t.Run(fmt.Sprint(budget), func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.useClosures(readLag)
			sim.run(200 * time.Millisecond)
			sim.submit("service", budgetedServices(6, budget))
			sim.run(time.Second)
			before := sim.running("service", "odd")
			require.Equal(t, 6, sim.running("service", ""))
			require.NotZero(t, before)
			sim.close("odd")
			least := sim.runWatching(20*time.Second, "service")
			assert.GreaterOrEqual(t, least, 6-budget)
			assert.Equal(t, 6, sim.running("service", ""))
			if moved {
				assert.Zero(t, sim.running("service", "odd"))
				assert.Less(t, least, 6, "moves need a stop")
			} else {
				assert.Equal(t, before, sim.running("service", "odd"))
			}
		})
	}
}

// Guards against moves that ignore the tasks that are down for another cause.
func TestTasksDownForAnotherCauseCountInTheBudget(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	service := budgetedServices(6, 1)
	service.MaxPerWorker = 1
	sim.submit("service", service)
	sim.run(time.Second)
	require.Equal(t, 3, sim.running("service", "odd"))
	sim.addWorker("g")
	sim.listWorkers()
	sim.workers["a"].disconnected = true
	sim.run(500 * time.Millisecond)
	sim.close("odd")
	// The silent worker keeps its task until its lease ends.
	sim.run(4 * time.Second)
	assert.Equal(t, 3, sim.running("service", "odd"), "one task may already be down")
	sim.workers["a"].disconnected = false
	sim.run(4 * time.Second)
	assert.Equal(t, 2, sim.running("service", "odd"), "the new worker has room for one")
	assert.Len(t, sim.workers["g"].running, 1)
}

// Guards against services that are stopped without room elsewhere, and then do not run anywhere.
func TestServicesStayWithoutRoomElsewhere(t *testing.T) {
	for name, fill := range map[string]func(sim *simulation){
		"the other workers are full": func(sim *simulation) { sim.submit("fill", serviceStep(10)) },
		"only a closed one has the label": func(sim *simulation) {
			for _, id := range []string{"a", "c"} {
				sim.workers[id].labels = nil
			}
			sim.listWorkers()
		},
		"the other data centre is closed": func(sim *simulation) { sim.close("even"); sim.close("odd") },
		"the other workers are cold": func(sim *simulation) {
			for _, id := range []string{"a", "c"} {
				m := sim.member(sim.workers[id])
				m.ColdFor = time.Minute
				sim.core.SetMember(sim.now, m)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			for _, f := range sim.workers {
				f.labels = []string{"label"}
			}
			sim.listWorkers()
			sim.useClosures(readLag)
			sim.run(200 * time.Millisecond)
			service := budgetedServices(6, 3)
			service.Label = "label"
			sim.submit("service", service)
			sim.run(time.Second)
			before := sim.running("service", "odd")
			require.NotZero(t, before)
			fill(sim)
			sim.run(time.Second)
			sim.close("odd")
			assert.Equal(t, 6, sim.runWatching(10*time.Second, "service"))
			assert.Equal(t, before, sim.running("service", "odd"))
		})
	}
}

// Guards against moves that take the room of tasks that callers wait for.
func TestServicesStayWhileCallersWait(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1, 4)
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	sim.submit("service", budgetedServices(4, 4))
	sim.run(time.Second)
	before := sim.running("service", "odd")
	require.NotZero(t, before)
	flood := func(d time.Duration) {
		for end := sim.now + d; sim.now < end; {
			sim.submit(workflow.JobID(fmt.Sprintf("short-%d", len(sim.steps))), batchStep(4, 800*time.Millisecond))
			sim.run(200 * time.Millisecond)
		}
	}
	flood(2 * time.Second)
	sim.close("odd")
	flood(6 * time.Second)
	assert.Equal(t, before, sim.running("service", "odd"))
	assert.Equal(t, map[string]evacuation.Held{testPool: {evacuation.HeldCallers: before}}, sim.core.movesHeld)
	// The backlog lasts for about 20 s, and its demand is remembered for up to 40 s.
	sim.run(80 * time.Second)
	assert.Zero(t, sim.running("service", "odd"), "nobody waits any more")
	assert.Equal(t, 4, sim.running("service", ""))
}

// Guards against a submission that can never be done, or whose result has no value any more, and that keeps services in a
// closed data centre for ever.
func TestHopelessTasksDoNotHoldUpMoves(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	sim.submit("service", budgetedServices(4, 4))
	impossible := batchStep(1, time.Hour)
	impossible.Label = "none"
	sim.submit("impossible", impossible)
	absurd := serviceStep(1)
	absurd.Size.MemoryMB = 1 << 40
	sim.submit("absurd", absurd)
	sim.run(time.Second)
	sim.close("odd")
	sim.run(20 * time.Second)
	assert.Zero(t, sim.running("service", "odd"))
}

// Guards against a successor that stops tasks of which it does not know yet whether they serve.
func TestSuccessorKeepsTheBudget(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	sim.submit("service", budgetedServices(6, 1))
	sim.run(time.Second)
	sim.close("odd")
	least := 6
	for range 12 {
		least = min(least, sim.runWatching(430*time.Millisecond, "service"))
		sim.loseOwner()
	}
	least = min(least, sim.runWatching(12*time.Second, "service"))
	assert.GreaterOrEqual(t, least, 5)
	assert.Zero(t, sim.running("service", "odd"))
}

// Guards against services that run twice, run in a closed data centre again, or are lost, when data centres close and open
// beside other faults. In the end one of them stays closed, and every service must have left it. Where placements beside the
// faults have left no room elsewhere for a task, the task stays, or waits if it has lost its worker; with 9 cores, each worker
// has room for all tasks.
func TestServicesMoveBesideRandomFaults(t *testing.T) {
	t.Parallel()
	for cores, seeds := range map[int64]uint64{4: 20, 9: 10} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d cores, seed %d", cores, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, seed, 6)
				sim.capacity.MilliCores = cores * millisPerCore
				for _, f := range sim.workers {
					f.capacity = sim.capacity
				}
				sim.listWorkers()
				sim.useClosures(readLag)
				sim.callLossShare = 0.03
				services := []workflow.JobID{"service-1", "service-2", "service-3"}
				for i, id := range services {
					step := budgetedServices(3, 1+i%2)
					step.MaxPerWorker = i
					sim.submit(id, step)
				}
				for round := range 40 {
					if round%4 == 0 {
						sim.submit(workflow.JobID(fmt.Sprintf("short-%d", round)), batchStep(2, 300*time.Millisecond))
					}
					sim.injectFault([]workflow.JobID{"none"}, map[workflow.JobID]bool{})
					sim.run(time.Duration(200+sim.rng.IntN(2000)) * time.Millisecond)
				}
				sim.callLossShare, sim.logDown, sim.closures.cutOff = 0, false, false
				for _, f := range sim.workers {
					f.disconnected = false
				}
				sim.reopen("even")
				sim.close("odd")
				sim.run(90 * time.Second)
				for _, id := range services {
					sim.checkMoved(id, "odd")
				}
			})
		}
	}
}

// checkMoved asserts that all tasks of the first step of a submission run outside of a closed data centre, except those that
// no worker there may take.
func (sim *simulation) checkMoved(id workflow.JobID, closed string) {
	waiting := 0
	for _, t := range sim.core.jobs[id].rounds[0].steps[0].tasks {
		if t.phase == workflow.Pending && t.queued {
			waiting++
		}
	}
	assert.Equal(sim.t, sim.steps[id][0].Count, sim.running(id, "")+waiting, "%s\n%s", id, sim.describe())
	if left := sim.running(id, closed); left+waiting > 0 {
		assert.Empty(sim.t, sim.workersThatMayTake(id, closed), "%s: %d tasks stay, %d wait\n%s", id, left, waiting, sim.describe())
	}
}

// workersThatMayTake returns the workers outside of a closed data centre that have room for another task of the first step of
// a submission and run fewer than it permits, by what the workers run.
func (sim *simulation) workersThatMayTake(id workflow.JobID, closed string) []string {
	var out []string
	step := &sim.steps[id][0]
	for _, f := range sim.workers {
		same := 0
		for a := range f.running {
			if a.Task.Job == id {
				same++
			}
		}
		if f.dataCentre != closed && (step.MaxPerWorker == 0 || same < step.MaxPerWorker) &&
			sim.reservedWith(f, step).Fits(f.capacity) {
			out = append(out, f.id)
		}
	}
	return out
}

// describe returns what decides about moves: what holds them, and the state of the workers and their tasks.
func (sim *simulation) describe() string {
	c := sim.core
	out := fmt.Sprintf("moves held: %v, moving: %d, pending: %d, scarce: %t, closed: %v, starts held: %t", c.movesHeld, len(c.moving),
		len(c.pending), c.scarce(sim.now), c.closed, c.startsHeld)
	for _, w := range c.sortedWorkers() {
		out += fmt.Sprintf("\n%s in %s: %s, reserved %v of %v, cold: %t", w.ID, w.DataCentre, exclusionNames[w.exclusion(sim.now)],
			w.node.Reserved, w.Capacity, w.coldUntil > sim.now)
		for t := range w.tasks {
			out += fmt.Sprintf("\n  %v run %d: serving: %t, reported: %t, percent: %d, start state: %d, stop wanted: %t, adopted: %t",
				t.id, t.run, t.serving(), t.reported, t.percent, t.startState, t.stopWanted, t.adopted)
		}
	}
	return out
}

// Guards against a service that is disturbed in vain, or that stays for ever, where the only open worker that may take its
// third task, by its limit for each worker, is full of other services. In TestServicesMoveBesideRandomFaults, placements beside
// the faults lead to this case.
func TestServicesStayWhileTheOnlyWorkerForThemIsFull(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1, 6)
	sim.workers["e"].labels = []string{"e"}
	sim.listWorkers()
	sim.useClosures(readLag)
	sim.close("even")
	sim.run(200 * time.Millisecond)
	service := budgetedServices(3, 2)
	service.MaxPerWorker = 1
	sim.submit("service", service)
	sim.run(time.Second)
	require.Equal(t, 3, sim.running("service", "odd"))
	sim.reopen("even")
	sim.run(time.Second)
	fill := serviceStep(4)
	fill.Label = "e"
	sim.submit("fill", fill)
	sim.run(time.Second)
	require.Equal(t, 4, sim.running("fill", "even"))
	sim.close("odd")
	assert.Equal(t, 2, sim.runWatching(90*time.Second, "service"), "one task moves at a time")
	assert.Equal(t, 1, sim.running("service", "odd"))
	assert.Equal(t, map[string]evacuation.Held{testPool: {evacuation.HeldNoRoom: 1}}, sim.core.movesHeld)
	sim.checkMoved("service", "odd")
	sim.cancel("fill")
	sim.run(10 * time.Second)
	assert.Zero(t, sim.running("service", "odd"))
	assert.Equal(t, 3, sim.running("service", ""))
}
