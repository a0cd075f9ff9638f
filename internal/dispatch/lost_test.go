package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

func TestServiceOfAWorkerLostBeforeItsOwnerRunsAgain(t *testing.T) {
	const claimed = 800 * time.Millisecond
	for _, scarce := range []bool{false, true} {
		sim := newSimulation(t, 1, 3)
		sim.submit("service", workflow.Step{Count: 3, Size: smallTask, Estimate: time.Second, LongRunning: true})
		sim.run(6 * time.Second)
		lost := sim.workers["a"]
		assert.NotEmpty(t, lost.running)
		delete(sim.workers, "a")
		sim.run(300 * time.Millisecond)
		if scarce {
			large := batchStep(1, time.Minute)
			large.Size.MilliCores = 2 * sim.capacity.MilliCores
			sim.submit("large", large)
		}
		killed := sim.now
		sim.predecessorUntil = killed + sim.params.Isolation
		sim.now += claimed
		sim.takeOver()
		sim.core.DropMember("a")
		for sim.runningTasks() < 3 && sim.now < killed+time.Minute {
			sim.run(10 * time.Millisecond)
		}
		const placing = 200 * time.Millisecond
		assert.LessOrEqual(t, sim.now-killed, sim.params.Isolation+withDrift(sim.params.Lease)+placing)
	}
}

func TestServiceOfARestartedWorkerHasWaitedSinceItsSilence(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.submit("service", workflow.Step{Count: 2, Size: smallTask, Estimate: time.Second, LongRunning: true})
	sim.run(3 * time.Second)
	lost := sim.core.jobs["service"].rounds[0].steps[0].tasks[0]
	w := lost.worker
	sim.workers[w.ID].disconnected = true
	sim.run(3 * time.Second)
	silentSince := w.failingSince
	assert.NotZero(t, silentSince)
	sim.restartAnswered(w.ID)
	assert.Equal(t, silentSince, lost.queuedAt)
}

// refusalPause is how long a worker that refused a start because it is unhealthy gets no other.
const refusalPause = 1500 * time.Millisecond

func TestServiceIsNotSentToAnUnhealthyWorkerAgainAndAgain(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("service", workflow.Step{Count: 1, Size: smallTask, Estimate: time.Second, LongRunning: true})
	sim.workers["a"].unhealthy = true
	sim.run(8 * time.Second)
	assert.LessOrEqual(t, sim.workers["a"].unhealthyRefusals, 1+int(8*time.Second/refusalPause))
}

func TestServiceIsNotHiddenByAnotherTaskOfItsStep(t *testing.T) {
	// A quarter of the workers may be excluded. The others have no room.
	sim := newSimulation(t, 1, 8)
	for _, id := range []string{"c", "d", "e", "f", "g", "h"} {
		sim.resize(id, 0)
	}
	step := workflow.Step{Count: 2, Size: smallTask, Estimate: time.Second, LongRunning: true, MaxPerWorker: 1}
	sim.submit("service", step)
	sim.run(3 * time.Second)
	tasks := sim.core.jobs["service"].rounds[0].steps[0].tasks
	for i, waited := range []time.Duration{lastResortWait / 2, maxLongRunningWait + time.Second} {
		sim.exclude(tasks[i].worker.ID)
		sim.core.attemptLost(sim.now, tasks[i], "test")
		tasks[i].queuedAt = sim.now - waited
	}
	sim.core.planNeeded = true
	sim.core.Plan(sim.now + 20*time.Millisecond)
	assert.Equal(t, workflow.Pending, tasks[0].phase, "it has not waited for long")
	assert.Equal(t, workflow.Placed, tasks[1].phase)
}
