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
