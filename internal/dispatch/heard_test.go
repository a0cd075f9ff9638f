package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against a start that reaches a later incarnation of an idle worker, which is chosen by the labels of the earlier one.
func TestIdleWorkerThatRestartedGetsNoStartByEarlierLabels(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3)
			sim.holdsCalls = true
			sim.workers["a"].labels, sim.workers["b"].labels = []string{"rare"}, []string{"rare"}
			sim.listWorkers()
			sim.run(5*time.Second + time.Duration(seed)*200*time.Millisecond)
			sim.restartUnlisted("a", heartbeat, "usual")
			sim.run(minRestartTime)
			if seed%2 == 1 {
				// The placement is stored before the worker can answer.
				sim.occupyLeaseCalls(60*time.Millisecond, false)
			}
			step := batchStep(4, time.Second)
			step.Label = "rare"
			sim.submit("0000000000000001", step)
			sim.run(20 * time.Second)
			assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
		})
	}
}

// Guards against a task that runs twice: a later incarnation of an idle worker has begun it under the longest lease, and is
// cut off before the owner has heard of it.
func TestRestartedWorkerThatIsCutOffHoldsNoLongerLeaseThanExpected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 2)
			sim.holdsCalls = true
			sim.run(60*time.Second + time.Duration(seed)*200*time.Millisecond)
			f := sim.restartUnlisted("a", time.Hour)
			sim.run(minRestartTime)
			sim.submit("0000000000000001", batchStep(8, 30*time.Second))
			for range 40 {
				sim.run(time.Millisecond)
				if len(f.running) > 0 {
					break
				}
			}
			f.disconnected = true
			sim.core.SetMember(sim.now, sim.member(sim.addWorker("c")))
			sim.run(90 * time.Second)
			assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
		})
	}
}

// Guards against a task that runs twice: as above, and the worker restarted right after it had been heard.
func TestStartThatNoIncarnationHasConfirmedMayHoldTheLongestLease(t *testing.T) {
	t.Parallel()
	for name, answered := range map[string]bool{"unanswered": false, "answer without incarnation": true} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				sim, _, f := startAfterRestart(t, seed, answered)
				if answered {
					sim.run(tick)
				}
				f.disconnected = true
				sim.core.SetMember(sim.now, sim.member(sim.addWorker("c")))
				sim.run(90 * time.Second)
				assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
			})
		}
	}
}

// Guards against lease calls that grant a later incarnation the longest lease, or make it forget ends that nobody has read.
func TestCallToAWorkerThatWasNotHeardGrantsAndConfirmsNothing(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("0000000000000001", batchStep(2, 100*time.Millisecond))
	sim.run(2 * time.Second)
	w := sim.core.workers["a"]
	w.receivedConfirmation, w.sentConfirmation = 0, 0
	sim.core.Orders()
	sim.core.sendLease(sim.now+time.Second, w)
	orders := sim.core.Orders()
	require.Len(t, orders, 1)
	call := orders[0].(LeaseOrder).Call
	assert.Zero(t, call.LastStoredEnd)
	assert.Zero(t, call.ExpiresAt)
}
