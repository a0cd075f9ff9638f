package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against a count of waiting submissions that leaves out those whose tasks are placed on workers that never begin them.
func TestSubmissionWaitsUntilATaskHasBegun(t *testing.T) {
	const id = "0000000000000001"
	for name, prevent := range map[string]func(*fakeWorker){
		"cut off":       func(f *fakeWorker) { f.disconnected = true },
		"refuses start": func(f *fakeWorker) { f.unhealthy = true },
	} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new owner %v", name, takeOver), func(t *testing.T) {
				sim := newSimulation(t, 1, 2)
				sim.run(time.Second)
				queue := testConfig().Queues[0].Terms.Queue
				sim.submit(id, batchStep(3, 200*time.Millisecond))
				for _, f := range sim.workers {
					prevent(f)
				}
				sim.run(200 * time.Millisecond)
				if takeOver {
					sim.takeOver()
				}
				sim.run(800 * time.Millisecond)
				require.Positive(t, sim.core.jobs[id].rounds[0].steps[0].tasks[0].run, "no task was placed")
				assert.Equal(t, 1, sim.catalog.CountWaiting(queue))
				for _, f := range sim.workers {
					f.disconnected, f.unhealthy = false, false
				}
				sim.run(15 * time.Second)
				assert.Zero(t, sim.catalog.CountWaiting(queue))
				assert.Equal(t, workflow.Done, sim.state(id))
			})
		}
	}
}

// Guards against a submission that a new owner shows as waiting although a task has run: the worker has ended since, or the task
// has failed.
func TestSuccessorKnowsThatASubmissionHasBegun(t *testing.T) {
	for name, rec := range map[string]workflow.TaskRecord{
		"done":       {Phase: workflow.Ended, Run: 1},
		"failed":     {Run: 1, Failures: 1},
		"checkpoint": {Run: 1, Checkpoint: "c"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &workflow.Record{State: workflow.Running, Tasks: [][][]workflow.TaskRecord{{{{}, rec}}}}
			assert.True(t, r.AnyTaskBegun())
			r.Tasks[0][0][1] = workflow.TaskRecord{Phase: workflow.Placed, Run: 1}
			assert.False(t, r.AnyTaskBegun())
		})
	}
	const id = "0000000000000001"
	sim := newSimulation(t, 1, 2)
	sim.run(time.Second)
	sim.submit(id, serviceStep(2))
	for range 100 {
		sim.run(tick)
		if len(sim.workers["a"].running)+len(sim.workers["b"].running) > 0 {
			break
		}
	}
	sim.takeOver()
	sim.run(2 * time.Second)
	assert.Equal(t, workflow.Running, sim.state(id))
}
