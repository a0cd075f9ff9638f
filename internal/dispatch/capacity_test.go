package dispatch

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

func sizedService(count int, milliCores int64) workflow.Step {
	s := serviceStep(count)
	s.Size.MilliCores = milliCores
	return s
}

// Guards against a start that takes a worker above a capacity that has shrunk; checkStart fails at such a start.
func TestCapacityShrinksAndNoStartExceedsIt(t *testing.T) {
	for name, disturb := range map[string]func(sim *simulation, on bool){
		"running":    func(*simulation, bool) {},
		"not stored": func(sim *simulation, on bool) { sim.logDown = on },
		"unanswered": func(sim *simulation, on bool) { sim.workers["a"].disconnected = on },
		"being stopped": func(sim *simulation, on bool) {
			sim.run(200 * time.Millisecond)
			sim.workers["a"].disconnected = on
			sim.cancel("first")
		},
	} {
		for i := range 4 {
			gang, left := i%2 > 0, int64(i/2*1000)
			t.Run(fmt.Sprintf("%s, gang %t, %d left", name, gang, left), func(t *testing.T) {
				sim := newSimulation(t, 1, 2)
				sim.run(200 * time.Millisecond)
				first := batchStep(4, 500*time.Millisecond)
				first.Gang = gang
				sim.submit("first", first)
				disturb(sim, true)
				sim.run(100 * time.Millisecond)
				sim.resize("a", left)
				disturb(sim, false)
				sim.submit("next", batchStep(6, 500*time.Millisecond))
				sim.run(9 * time.Second)
				assert.True(t, sim.state("first").Over())
				assert.Equal(t, workflow.Done, sim.state("next"))
			})
		}
	}
}

// Guards against long-running tasks that stay away after the capacity has grown again.
func TestCapacityGrowsAndServicesRunAgain(t *testing.T) {
	for i := range 16 {
		full, refuses, takesOver, small := i&1 > 0, i&2 > 0, i&4 > 0, int64(i>>3*1000)
		t.Run(fmt.Sprintf("full %t, refuses %t, takes over %t, %d left", full, refuses, takesOver, small), func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.resize("b", 0)
			sim.run(200 * time.Millisecond)
			sim.submit("service", sizedService(2, 1500))
			sim.run(500 * time.Millisecond)
			if sim.workers["a"].enforcesCapacity = refuses; refuses {
				sim.workers["a"].capacity.MilliCores = small
			} else {
				sim.resize("a", small)
			}
			require.Equal(t, 2, sim.countRuns("service", true))
			n := 0
			flood := func(d time.Duration) {
				for end := sim.now + d; sim.now < end; n++ {
					if full {
						sim.submit(workflow.JobID(fmt.Sprintf("short-%d", n)), batchStep(2, 700*time.Millisecond))
					}
					sim.run(150 * time.Millisecond)
				}
			}
			flood(6 * time.Second)
			require.Zero(t, sim.countRuns("service", false))
			if takesOver {
				sim.takeOver()
			}
			sim.resize("a", 4000)
			flood(3 * time.Second)
			assert.Equal(t, 2, sim.countRuns("service", false))
			assert.Equal(t, refuses, sim.workers["a"].noRoomRefusals > 0)
		})
	}
}

// Guards against a worker that is held for a large service and kept from smaller work for which it has room.
func TestCapacityGrowsTooLittleForALargeService(t *testing.T) {
	small := sizedService(1, 1000)
	for name, c := range map[string]struct{ beside, waiting workflow.Step }{
		"short task beside a service": {small, batchStep(1, 500*time.Millisecond)},
		"service beside a service":    {small, small},
		"service beside a long task":  {batchStep(1, time.Minute), small},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.run(200 * time.Millisecond)
			sim.submit("beside", c.beside)
			sim.submit("large", sizedService(1, 2000))
			sim.run(200 * time.Millisecond)
			sim.resize("a", 1000)
			sim.countRuns("large", true)
			sim.submit("waiting", c.waiting)
			sim.run(6 * time.Second)
			require.Equal(t, 1, sim.runningTasks())
			sim.resize("a", 2900)
			sim.run(3 * time.Second)
			assert.True(t, sim.countRuns("waiting", false) == 1 || sim.state("waiting") == workflow.Done)
		})
	}
}

// Guards against a service that waits anew behind short tasks after each worker that refuses it for lack of room.
func TestCapacityRefusalsDoNotRestartTheWait(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(200 * time.Millisecond)
	sim.submit("service", sizedService(1, 1000))
	sim.run(200 * time.Millisecond)
	sim.countRuns("service", true)
	for id := range sim.workers {
		sim.resize(id, 0)
	}
	sim.submit("fits nowhere", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 5000}, Estimate: time.Minute})
	sim.run(6 * time.Second)
	for id, f := range sim.workers {
		sim.resize(id, 4000)
		f.enforcesCapacity = true
	}
	sim.run(2 * tick)
	sim.workers["b"].capacity.MilliCores, sim.workers["c"].capacity.MilliCores = 0, 0
	sim.run(1900 * time.Millisecond)
	sim.resize("b", 0)
	sim.resize("c", 0)
	sim.run(1100 * time.Millisecond)
	assert.Equal(t, 1, sim.countRuns("service", false))
	assert.Positive(t, sim.workers["b"].noRoomRefusals+sim.workers["c"].noRoomRefusals)
}

// Guards against best-effort tasks that start beside services above the capacity, or stay away from services that fit.
func TestCapacityBelowServicesKeepsBestEffortTasksAway(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	bestEffort, service := batchStep(2, 300*time.Millisecond), serviceStep(3)
	bestEffort.BestEffort, bestEffort.Image = true, "x"
	service.Image, service.Objective = "s", tailObjective
	for _, id := range []workflow.JobID{"service", "running", "unstored", "waiting"} {
		sim.logDown = id == "unstored"
		if id == "waiting" {
			sim.resize("a", 2000)
		}
		sim.submit(id, map[bool]workflow.Step{true: service, false: bestEffort}[id == "service"])
		sim.run(200 * time.Millisecond)
	}
	sim.run(4 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("running"))
	assert.Equal(t, 3, sim.runningTasks(), "the services run on alone")
	sim.resize("a", 3000)
	sim.run(3 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("unstored"))
	assert.Equal(t, workflow.Done, sim.state("waiting"))
}

// Guards against a changed capacity that does not reach the plan, and against odd values that end tasks or start some.
func TestCapacityOfAListEntryReachesThePlan(t *testing.T) {
	for capacity, want := range map[resource.Vector]int{{MilliCores: 2000, MemoryMB: 8000}: 2, {}: 1, {MilliCores: 4000}: 1,
		{MilliCores: -1, MemoryMB: -1}: 1, {MilliCores: math.MinInt64, MemoryMB: math.MinInt64}: 1,
		{MilliCores: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}: 4} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.submit("first", serviceStep(1))
			sim.run(200 * time.Millisecond)
			o := &Owner{core: sim.core, events: make(chan func(time.Duration), 1),
				decode: func(_ string, b []byte) (m Member, err error) { return m, json.Unmarshal(b, &m) }}
			var b eventlog.Batch
			for _, v := range []resource.Vector{sim.capacity, capacity} {
				sim.workers["a"].capacity = v
				value, err := json.Marshal(sim.member(sim.workers["a"]))
				require.NoError(t, err)
				b.Entries = append(b.Entries, eventlog.Entry{Key: "a", Value: value})
			}
			o.applyMembers(b)
			(<-o.events)(sim.now)
			sim.submit("next", serviceStep(3))
			sim.run(50 * time.Millisecond)
			assert.Equal(t, want, sim.runningTasks())
			sim.run(8 * time.Second)
			assert.Equal(t, want, sim.runningTasks())
			assert.LessOrEqual(t, sim.core.jobs["next"].rounds[0].steps[0].tasks[2].run, 1, "placed in vain")
		})
	}
}
