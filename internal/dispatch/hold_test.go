package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against an owner that spends its processor on workers without room while services of lost workers wait.
func TestServicesWaitingForRoomDoNotSlowThePlan(t *testing.T) {
	const workers, lost, perWorker = 100, 20, 4
	f := newFleet(1, fleetLoad{workers: workers})
	c := f.core
	for _, w := range c.workers {
		w.fenced = true
	}
	for i := range workers {
		f.submit(workflow.Step{Count: perWorker, LongRunning: true, MaxPerWorker: 1 + i%2,
			Size: resource.Vector{MilliCores: fleetCapacity.MilliCores/perWorker - int64(i), MemoryMB: 26000}})
	}
	for len(c.pending) > 0 {
		f.now += minPlanInterval
		c.planNeeded = true
		c.Plan(f.now)
	}
	for i := range lost {
		w := c.workers[fleetWorkerID(i)]
		for task := range w.tasks {
			c.attemptLost(f.now, task, "test")
		}
		w.listed = false
	}
	require.Len(t, c.pending, lost*perWorker)
	f.now += maxLongRunningWait
	c.planCost = planCost{}
	c.planNeeded = true
	c.Plan(f.now)
	assert.Len(t, c.pending, lost*perWorker, "the pool is full")
	assert.LessOrEqual(t, c.planCost.checks, workers-lost, "no worker is checked more than once in a plan")
}

// Guards against an owner that spends its processor on suspected tasks after the loss of many workers.
func TestSuspectedTasksDoNotSlowThePlan(t *testing.T) {
	const workers, tasks = 100, 200
	f := newFleet(1, fleetLoad{workers: workers})
	c := f.core
	for _, w := range c.workers {
		w.fenced = true
	}
	small := resource.Vector{MilliCores: 100, MemoryMB: 100}
	f.submit(workflow.Step{Count: workers, Size: small, MaxPerWorker: 1})
	c.Plan(f.now)
	require.Empty(t, c.pending, "each worker has a recent start")
	for _, bestEffort := range []bool{false, true} {
		f.submit(workflow.Step{Count: tasks, Size: small, BestEffort: bestEffort, Image: "image"})
	}
	for _, task := range c.pending {
		task.lostUnproven = true
	}
	c.planCost = planCost{}
	f.now += minPlanInterval
	c.Plan(f.now)
	assert.Len(t, c.pending, 2*tasks, "suspected tasks wait for a worker without a recent start")
	assert.LessOrEqual(t, c.planCost.checks, 2*workers, "a worker is checked once for each step")
}

// Guards against tasks of one step that displace the results of each other's searches.
func TestSearchesOfOneStepAreKeptApart(t *testing.T) {
	const workers, tasks = 100, 200
	f := newFleet(1, fleetLoad{workers: workers})
	c := f.core
	for _, w := range c.workers {
		w.fenced = true
	}
	small := resource.Vector{MilliCores: 100, MemoryMB: 100}
	f.submit(workflow.Step{Count: workers + tasks, Size: small, MaxPerWorker: 1})
	c.Plan(f.now)
	require.Len(t, c.pending, tasks, "each worker has a task of the step")
	for i, task := range c.pending {
		task.lostUnproven = i%2 == 0
	}
	c.planCost = planCost{}
	f.now += minPlanInterval
	c.planNeeded = true
	c.Plan(f.now)
	assert.LessOrEqual(t, c.planCost.checks, 2*workers, "a worker is checked once for each of the two searches")
}

// Guards against services that hold all workers with a rare label, so that short tasks with that label find no room.
func TestRareLabelIsNotHeldAltogether(t *testing.T) {
	const workers, labelled = 500, 5
	f := newFleet(1, fleetLoad{workers: workers})
	c := f.core
	for i, w := range c.sortedWorkers() {
		w.fenced = true
		w.node.Reserved = fleetCapacity
		if i >= labelled {
			w.longRunning = fleetCapacity
			continue
		}
		w.Labels = []string{"rare"}
		w.node.Reserved = w.node.Reserved.Sub(resource.Vector{MilliCores: 2000, MemoryMB: 2000})
	}
	f.submit(workflow.Step{Count: 2 * labelled, LongRunning: true, Label: "rare",
		Size: resource.Vector{MilliCores: 9000, MemoryMB: 100}})
	for _, task := range c.pending {
		task.run = 1
	}
	f.now += restartWait
	f.submit(workflow.Step{Count: labelled, Label: "rare", Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second})
	c.Plan(f.now)
	assert.Len(t, c.pending, 2*labelled, "the short tasks are placed beside the held worker")
}

func BenchmarkPlanWithServicesWithoutRoom(b *testing.B) {
	const workers, waiting = 392, 80
	now := time.Minute
	f := newFleet(1, fleetLoad{workers: workers})
	for _, w := range f.core.workers {
		w.fenced = true
		w.longRunning, w.node.Reserved = w.Capacity, w.Capacity
	}
	for i := range waiting {
		s := &workflow.Submission{Job: workflow.JobID(fmt.Sprintf("service-%d", i)), Terms: testConfig().Queues[0].Terms,
			Accepted: time.Unix(60, 0), Steps: []workflow.Step{{Count: 5, LongRunning: true, MaxPerWorker: 1,
				Size: resource.Vector{MilliCores: 9000 + int64(i)*100, MemoryMB: 26000}}}}
		f.core.Submit(now, &catalog.Job{Submission: s, Offset: int64(i)})
	}
	for _, t := range f.core.pending {
		t.run = 1
	}
	now += maxLongRunningWait
	for b.Loop() {
		now += minPlanInterval
		f.core.planNeeded = true
		f.core.Plan(now)
	}
}
