package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against best-effort tasks that run on without a CPU limit beside a service over its objective. Single reports
// are imprecise: here every second one is below the objective, so that no series of reports stays over it.
func TestBestEffortYieldsToAServiceInNeed(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	s := serviceStep(2)
	s.Image, s.Objective, s.MaxPerWorker = "quotes", 50*time.Millisecond, 1
	fill := batchStep(1, time.Minute)
	fill.Image, fill.BestEffort = "rebid", true
	sim.submit("0000000000000001", s)
	sim.run(200 * time.Millisecond)
	sim.submit("0000000000000002", fill)
	reports := map[Attempt]int{}
	sim.reportedLoad = func(a Attempt) float64 {
		if a.Task.Job != "0000000000000001" {
			return 1000
		}
		reports[a]++
		// The service is as slow without the best-effort task, so the model holds no image responsible.
		return []float64{46, 70}[reports[a]%2]
	}
	sim.run(200 * time.Millisecond)
	task := sim.core.jobs["0000000000000002"].rounds[0].steps[0].tasks[0]
	require.Equal(t, noLimitPercent, task.cpuLimit)
	sim.run(3 * time.Second)
	assert.True(t, task.cpuLimit == 0 || task.evictions > 0, "the task works on beside the service at %d%%",
		task.cpuLimit)
}

// Guards against services that take the last room while short tasks come and go, and against a service that waits for
// longer than maxLongRunningWait.
func TestServicesLeaveScarceRoomToShortTasks(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("0000000000000001", batchStep(12, 150*time.Millisecond))
	sim.run(200 * time.Millisecond)
	sim.submit("0000000000000002", serviceStep(2))
	sim.run(800 * time.Millisecond)
	sim.submit("0000000000000003", batchStep(12, 150*time.Millisecond))
	sim.run(900 * time.Millisecond)
	assert.Equal(t, workflow.Done, sim.state("0000000000000003"), "short tasks find the whole worker")
	sim.run(1300 * time.Millisecond)
	for _, task := range sim.core.jobs["0000000000000002"].rounds[0].steps[0].tasks {
		assert.NotNil(t, task.worker, "the service has waited for 3 s")
	}
}

// Guards against a service that keeps waiting although there is room for it, because the worker with the room is excluded for
// long after repeated failures, and against a service that is placed there at once.
func TestServiceThatHasWaitedIsPlaced(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(50 * time.Millisecond)
	sim.exclude("a")
	sim.submit("0000000000000001", serviceStep(4))
	sim.run(300 * time.Millisecond)
	assert.Len(t, sim.workers["b"].running, 4)
	sim.submit("0000000000000002", serviceStep(4))
	sim.run(lastResortWait - 50*time.Millisecond)
	assert.Empty(t, sim.workers["a"].running, "excluded")
	sim.run(200 * time.Millisecond)
	assert.Len(t, sim.workers["a"].running, 4)
	assert.Equal(t, workerhealth.Excluded, sim.core.workers["a"].health.State(sim.now))
}
