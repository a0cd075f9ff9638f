package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against an owner that spends its processor on gangs without room, once for each rack and each task.
func TestGangsWaitingForRoomDoNotSlowThePlan(t *testing.T) {
	const workers, gangs, perGang = 100, 20, 30
	f := newFleet(1, fleetLoad{workers: workers})
	c := f.core
	half := resource.Vector{MilliCores: fleetCapacity.MilliCores / 2, MemoryMB: fleetCapacity.MemoryMB / 2}
	for i, w := range c.sortedWorkers() {
		w.fenced = true
		if i%5 != 0 {
			w.node.Reserved = fleetCapacity
		}
	}
	for range gangs {
		f.submit(workflow.Step{Count: perGang, Gang: true, SameRack: true, MaxPerWorker: 1, Size: half})
	}
	c.Plan(f.now)
	require.Len(t, c.pending, gangs, "20 workers have room for one task of a gang each")
	assert.LessOrEqual(t, c.planCost.checks, gangs*workers, "a worker is checked once for each gang")
}

func TestGangIsPlacedInOneRackIfItFits(t *testing.T) {
	f := newFleet(1, fleetLoad{workers: 100})
	for _, w := range f.core.workers {
		w.fenced = true
		w.node.Reserved = resource.Vector{MilliCores: fleetCapacity.MilliCores - 1000}
	}
	size := resource.Vector{MilliCores: 400, MemoryMB: 1}
	// A rack has 20 workers, each with room for two tasks.
	for _, test := range []struct{ tasks, maxPerWorker, placed, minRacks, maxRacks int }{
		{20, 1, 20, 1, 1}, {40, 0, 40, 1, 1}, {41, 0, 41, 2, 5}, {40, 1, 40, 2, 5}, {101, 1, 0, 0, 0}, {201, 0, 0, 0, 0},
	} {
		f.submit(workflow.Step{Count: test.tasks, Gang: true, SameRack: true, MaxPerWorker: test.maxPerWorker, Size: size})
		gang := f.core.pending[0].step
		f.now += minPlanInterval
		f.core.planNeeded = true
		f.core.Plan(f.now)
		racks, placed := map[string]struct{}{}, 0
		for _, task := range gang.tasks {
			w := task.worker
			if w == nil {
				continue
			}
			placed++
			racks[w.Rack] = struct{}{}
			assert.False(t, w.overcommitted(), "%+v", test)
			if test.maxPerWorker > 0 {
				assert.LessOrEqual(t, w.countStepTasks(gang), test.maxPerWorker, "%+v", test)
			}
		}
		assert.Equal(t, test.placed, placed, "%+v", test)
		assert.GreaterOrEqual(t, len(racks), test.minRacks, "%+v", test)
		assert.LessOrEqual(t, len(racks), test.maxRacks, "%+v", test)
		f.core.cancel(gang.round.job)
	}
}
