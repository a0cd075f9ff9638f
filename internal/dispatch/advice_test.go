package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// newAdvisedSimulation returns a simulation whose queue has an advisor that permits the named workers only.
func newAdvisedSimulation(t *testing.T, workers int, ticketValidity time.Duration, permitted ...string) *simulation {
	sim := newSimulation(t, 1, workers)
	sim.permitted, sim.ticketValidity = map[string]bool{}, ticketValidity
	for _, id := range permitted {
		sim.permitted[id] = true
	}
	q := testConfig().Queues[0]
	q.Terms.Advised = &workflow.Advised{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: ticketValidity}
	sim.core.Configure(queue.New(2, []queue.Queue{q}, nil, queue.Limits{}))
	return sim
}

// Guards against tasks on workers that the advisor did not permit, and against an advisor call for each task.
func TestTasksRunWhereTheAdvisorPermits(t *testing.T) {
	sim := newAdvisedSimulation(t, 5, 3*time.Second, "b", "d")
	sim.submit("0000000000000001", batchStep(8, 300*time.Millisecond))
	sim.run(1500 * time.Millisecond)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
	for id, f := range sim.workers {
		assert.Equal(t, sim.permitted[id], len(f.highestRun) > 0, "worker %s", id)
	}
	assert.Equal(t, 1, sim.adviceCalls)
	assert.Zero(t, sim.ticketsRefused)
}

// Guards against starts with tickets that have expired or belong to an earlier incarnation of a worker.
func TestTicketsAreRenewed(t *testing.T) {
	sim := newAdvisedSimulation(t, 3, time.Second, "b")
	sim.submit("0000000000000001", batchStep(20, 300*time.Millisecond))
	sim.run(700 * time.Millisecond)
	sim.restart("b")
	sim.run(4 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
	assert.Greater(t, sim.adviceCalls, 2)
	assert.Zero(t, sim.ticketsRefused)
}

// Guards against a step that never starts because the worker refuses its tickets.
func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	sim := newAdvisedSimulation(t, 2, 3*time.Second, "b")
	sim.submit("0000000000000001", batchStep(2, 200*time.Millisecond))
	sim.run(10 * time.Millisecond)
	step := sim.core.jobs["0000000000000001"].rounds[0].steps[0]
	step.approvals = approvals{sim.core.workers["b"].Incarnation: {ticket: "forged", expiresAt: sim.now + time.Hour}}
	sim.run(2 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
	assert.NotZero(t, sim.ticketsRefused)
}
