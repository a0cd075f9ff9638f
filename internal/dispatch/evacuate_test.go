package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// readLag is the time in which an owner with a usable log reads a record.
const readLag = 30 * time.Millisecond

// flood submits short tasks for a while, more than half of the workers can run.
func (sim *simulation) flood(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		id := workflow.JobID(fmt.Sprintf("flood-%d", len(sim.steps)))
		steps := []workflow.Step{batchStep(2, 300*time.Millisecond), batchStep(1, 300*time.Millisecond, 0)}
		switch len(sim.steps) % 5 {
		case 0:
			steps = []workflow.Step{batchStep(3, 200*time.Millisecond)}
			steps[0].Gang = true
		case 1:
			steps[0].BestEffort, steps[0].Image = true, "x"
		case 2:
			steps[0].MaxPerWorker = 1
		}
		sim.submit(id, steps...)
		sim.run(60 * time.Millisecond)
	}
}

// Guards against starts in a closed data centre by any path: each case has one failure beside the closure. The fake workers
// check the bound at each start; latest is the stricter bound of a case.
func TestNothingStartsInAClosedDataCentre(t *testing.T) {
	t.Parallel()
	const both = 2 * oneWayDelay
	for name, test := range map[string]struct {
		latest time.Duration
		play   func(sim *simulation)
	}{
		"undisturbed": {readLag + both, func(sim *simulation) { sim.close("odd"); sim.flood(8 * time.Second) }},
		"owner lost before it has read": {readLag + both, func(sim *simulation) {
			sim.close("odd")
			sim.run(readLag / 3)
			sim.loseOwner()
			sim.flood(8 * time.Second)
		}},
		"owner lost after it has read": {readLag + both, func(sim *simulation) {
			sim.close("odd")
			sim.flood(200 * time.Millisecond)
			sim.loseOwner()
			sim.flood(8 * time.Second)
		}},
		"owners lost one after the other": {readLag + both, func(sim *simulation) {
			sim.close("odd")
			for range 16 {
				sim.loseOwner()
				sim.flood(500 * time.Millisecond)
			}
		}},
		"owner cut off from the log": {maxViewAge + 2*readLag + both, func(sim *simulation) {
			sim.closures.cutOff = true
			sim.close("odd")
			sim.flood(4 * time.Second)
			sim.closures.cutOff = false
			sim.flood(4 * time.Second)
		}},
		"log away": {maxViewAge + 2*readLag + both, func(sim *simulation) {
			sim.logDown = true
			sim.close("odd")
			sim.flood(4 * time.Second)
			sim.logDown = false
			sim.flood(4 * time.Second)
		}},
		"view as old as it may be": {maxViewAge + both, func(sim *simulation) {
			sim.closures.lag = maxViewAge - tick
			sim.close("odd")
			sim.flood(10 * time.Second)
		}},
		"starts wait in a queue": {readLag + 500*time.Millisecond + both, func(sim *simulation) {
			sim.heldStarts = 500 * time.Millisecond
			sim.flood(time.Second)
			sim.close("odd")
			sim.flood(8 * time.Second)
		}},
		"starts wait at agents for as long as they may": {readLag + maxStartAge + both, func(sim *simulation) {
			sim.heldStarts = maxStartAge
			sim.flood(3 * time.Second)
			sim.close("odd")
			sim.flood(8 * time.Second)
		}},
		"starts arrive late": {0, func(sim *simulation) {
			sim.callLossShare = 0.4
			sim.flood(2 * time.Second)
			sim.close("odd")
			sim.flood(12 * time.Second)
		}},
		"late starts, and a view as old as it may be": {0, func(sim *simulation) {
			sim.callLossShare, sim.closures.lag, sim.heldStarts = 0.4, maxViewAge-tick, 500*time.Millisecond
			sim.flood(2 * time.Second)
			sim.close("odd")
			sim.flood(12 * time.Second)
		}},
		"workers restart": {readLag + both, func(sim *simulation) {
			sim.close("odd")
			for range 8 {
				sim.restart("b")
				sim.flood(time.Second)
			}
		}},
		"workers fail and stall": {readLag + both, func(sim *simulation) {
			sim.workers["a"].failsAttempts, sim.workers["c"].stalled = true, true
			sim.close("odd")
			sim.flood(8 * time.Second)
		}},
		"workers of the other data centre are lost": {readLag + both, func(sim *simulation) {
			sim.flood(time.Second)
			sim.close("odd")
			sim.workers["a"].disconnected = true
			sim.flood(9 * time.Second)
		}},
		"closed twice": {readLag + both, func(sim *simulation) {
			sim.close("odd")
			sim.flood(3 * time.Second)
			sim.close("odd")
			sim.flood(5 * time.Second)
		}},
		"overlapping, then all closed": {readLag + both, func(sim *simulation) {
			sim.close("odd")
			sim.flood(3 * time.Second)
			sim.close("even")
			sim.flood(6 * time.Second)
			assert.Zero(sim.t, sim.runningTasks(), "what runs may end, and nothing starts")
			sim.reopen("odd")
			sim.flood(6 * time.Second)
		}},
		"unknown data centre": {0, func(sim *simulation) {
			sim.close("elsewhere")
			sim.flood(time.Second)
			f := sim.addWorker("x")
			f.dataCentre = "elsewhere"
			sim.core.SetMember(sim.now, sim.member(f))
			sim.flood(4 * time.Second)
			assert.Zero(sim.t, sim.closures.starts, "a worker that joins a closed data centre")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := newSimulation(t, seed, 4)
				sim.useClosures(readLag)
				sim.flood(time.Second)
				test.play(sim)
				if test.latest > 0 {
					assert.LessOrEqual(t, sim.closures.latest, test.latest+2*tick, "%d starts", sim.closures.starts)
				}
				for dataCentre := range sim.closures.since {
					sim.reopen(dataCentre)
				}
				sim.logDown, sim.callLossShare, sim.heldStarts = false, 0, 0
				for _, f := range sim.workers {
					f.disconnected, f.failsAttempts, f.stalled = false, false, false
				}
				sim.run(40 * time.Second)
				for id := range sim.steps {
					assert.True(t, sim.state(id).Over(), "seed %d: %s is %s after the data centre was opened", seed, id, sim.state(id))
				}
			}
		})
	}
}

// Guards against tasks in a closed data centre that end before they are done: leases, ends and their confirmations go on.
func TestTasksInAClosedDataCentreRunOn(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	sim.submit("0000000000000001", batchStep(8, 12*time.Second))
	sim.run(500 * time.Millisecond)
	sim.close("odd")
	sim.close("even")
	sim.run(13 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
	for id, run := range sim.highestRuns() {
		assert.Equal(t, 1, run, "%s was started again", id)
	}
}

// Guards against a start that is repeated in a data centre that was closed while the first call had no answer.
func TestUnansweredStartInAClosedDataCentreIsStopped(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	sim.submit("0000000000000001", batchStep(1, time.Second))
	// The worker counts as heard, and every start is lost.
	sim.delayLeaseCalls(time.Second)
	sim.callLossShare = 1
	sim.run(200 * time.Millisecond)
	task := sim.core.jobs["0000000000000001"].rounds[0].steps[0].tasks[0]
	require.True(t, task.hadUnansweredStart || task.startState == startInFlight)
	sim.close("even")
	sim.run(400 * time.Millisecond)
	sim.callLossShare = 0
	calls := task.startCalls
	sim.run(3 * time.Second)
	assert.Equal(t, workflow.Pending, task.phase, "the worker has refused the attempt after the stop")
	assert.LessOrEqual(t, task.startCalls, calls)
	assert.Zero(t, sim.closures.starts)
	sim.reopen("even")
	sim.run(3 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
}

// Guards against a start that was decided before the closure was read, or before the view became too old, and is still
// queued inside of the owner.
func TestQueuedStartsAreTakenBack(t *testing.T) {
	for name, takeBack := range map[string]func(c *Core, now time.Duration){
		"closed":       func(c *Core, now time.Duration) { c.SetClosed(now, evacuation.Set{"even": {}}) },
		"view too old": func(c *Core, now time.Duration) { c.HoldStarts(now, true) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.run(200 * time.Millisecond)
			sim.submit("0000000000000001", batchStep(1, time.Second))
			sim.assumeHeard()
			sim.core.Plan(sim.now)
			b := sim.core.TakeBatch()
			sim.storeTasks(b)
			sim.core.Committed(sim.now, b.ID)
			isStart := func(o Order) bool { _, ok := o.(StartOrder); return ok }
			require.True(t, slices.ContainsFunc(sim.core.orders, isStart))
			takeBack(sim.core, sim.now)
			require.False(t, slices.ContainsFunc(sim.core.orders, isStart))
			sim.run(500 * time.Millisecond)
			require.Empty(t, sim.highestRuns(), "a worker has received a start")
			sim.core.SetClosed(sim.now, nil)
			sim.core.HoldStarts(sim.now, false)
			sim.run(3 * time.Second)
			assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
		})
	}
}

// Guards against a start that a worker carries out later than the bound allows, however old the view of its owner was.
func TestStartsExpireBeforeTheBound(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{0: 6 * time.Second, 5 * time.Second: 3 * time.Second,
		2 * time.Second: minStartLimit, time.Minute: 6 * time.Second} {
		p := Params{Lease: 6 * time.Second, EvacuationLimit: limit}
		got := p.startLimit()
		assert.GreaterOrEqual(t, got, want, "limit %v", limit)
		if limit > 3*time.Second {
			assert.Less(t, maxViewAge+withDrift(got), limit, "limit %v", limit)
		}
	}
}

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
	assert.Equal(t, map[string]evacuation.Held{testPool: evacuation.HeldCallers}, sim.core.movesHeld)
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
	assert.Equal(t, map[string]evacuation.Held{testPool: evacuation.HeldNoRoom}, sim.core.movesHeld)
	sim.checkMoved("service", "odd")
	sim.cancel("fill")
	sim.run(10 * time.Second)
	assert.Zero(t, sim.running("service", "odd"))
	assert.Equal(t, 3, sim.running("service", ""))
}

// The summary and the exclusion of workers tell which tasks wait because of a closed data centre.
func TestTasksThatWaitForAClosedDataCentreAreReported(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	service := serviceStep(2)
	service.Size.MilliCores, service.MaxPerWorker = 3000, 1
	sim.submit("service", service)
	sim.run(time.Second)
	sim.close("odd")
	sim.run(time.Second)
	sim.submit("small", batchStep(3, 20*time.Second))
	sim.submit("large", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 3500, MemoryMB: 100}, Estimate: 20 * time.Second})
	sim.submit("waiting", serviceStep(1))
	sim.run(3 * time.Second)
	s := sim.core.newSummary(sim.now)
	assert.Equal(t, closedLoad{waiting: 3, waitingServices: 1, remaining: 1}, s.closed,
		"one of the small tasks finds room, and no worker has room for the large one")
	assert.Equal(t, 1, s.usable)
	reported := sim.core.newWaitingServices(sim.now)[testPool]
	require.NotNil(t, reported)
	assert.Equal(t, map[string]int{"closed data centre": 1}, reported.fitting)
	sim.workers["b"].disconnected = true
	sim.run(time.Second)
	assert.Equal(t, excludedClosed, sim.core.workers["b"].exclusion(sim.now))
	sim.reopen("odd")
	sim.run(readLag + tick)
	assert.Equal(t, excludedSilent, sim.core.workers["b"].exclusion(sim.now))
	assert.Zero(t, sim.core.newClosedLoad().waiting)
}

// Guards against tasks on a worker that is still slow after its start while a warm one has room.
func TestColdWorkersAreUsedAfterTheWarmOnes(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.run(200 * time.Millisecond)
	for _, id := range []string{"b", "c"} {
		m := sim.member(sim.workers[id])
		m.ColdFor = 5 * time.Second
		sim.core.SetMember(sim.now, m)
	}
	used := func() []string {
		var out []string
		for id, f := range sim.workers {
			if len(f.running) > 0 {
				out = append(out, id)
			}
		}
		slices.Sort(out)
		return out
	}
	sim.submit("warm", batchStep(8, 2*time.Second))
	sim.run(500 * time.Millisecond)
	assert.Equal(t, []string{"a", "d"}, used())
	sim.submit("more", batchStep(1, time.Second))
	sim.run(500 * time.Millisecond)
	assert.Len(t, used(), 3, "a cold worker is better than none")
	sim.run(3 * time.Second)
	gang := batchStep(4, 500*time.Millisecond)
	gang.Gang, gang.SameRack = true, true
	sim.submit("gang", gang)
	sim.run(300 * time.Millisecond)
	assert.Subset(t, []string{"a", "d"}, used(), "a gang is as slow as its slowest task")
	sim.run(2 * time.Second)
	sim.submit("later", batchStep(16, time.Second))
	sim.run(500 * time.Millisecond)
	assert.Equal(t, []string{"a", "b", "c", "d"}, used(), "they are warm by now")
	assert.Equal(t, workflow.Done, sim.state("gang"))
}
