package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// newAdvisedWorld returns a world whose queue has an advisor that permits some of the workers.
func newAdvisedWorld(t *testing.T, workers int, ticketTime time.Duration, permitted ...string) *world {
	w := newWorld(t, 1, workers)
	w.permitted, w.ticketTime = map[string]bool{}, ticketTime
	for _, id := range permitted {
		w.permitted[id] = true
	}
	q := testConfig().Queues[0]
	q.Terms.Advised = &workflow.Advised{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: ticketTime}
	w.core.Configure(queue.New(2, []queue.Queue{q}, nil, queue.Limits{}))
	return w
}

// Guards against tasks on workers that the advisor has not named, and against a call for each task.
func TestTasksRunWhereTheAdvisorPermits(t *testing.T) {
	w := newAdvisedWorld(t, 5, 3*time.Second, "b", "d")
	w.submit("0000000000000001", batch(8, 300*time.Millisecond))
	w.run(1500 * time.Millisecond)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
	for id, f := range w.workers {
		assert.Equal(t, w.permitted[id], len(f.highest) > 0, "worker %s", id)
	}
	assert.Equal(t, 1, w.advised)
	assert.Zero(t, w.ticketsRefused)
}

// Guards against starts with tickets that have run out or that belong to an earlier lifetime of a worker.
func TestTicketsAreRenewed(t *testing.T) {
	w := newAdvisedWorld(t, 3, time.Second, "b")
	w.submit("0000000000000001", batch(20, 300*time.Millisecond))
	w.run(700 * time.Millisecond)
	w.restart("b")
	w.run(4 * time.Second)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
	assert.Greater(t, w.advised, 2)
	assert.Zero(t, w.ticketsRefused)
}

// Guards against a step that waits for ever because its tickets end before a start arrives.
func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	w := newAdvisedWorld(t, 2, 3*time.Second, "b")
	w.submit("0000000000000001", batch(2, 200*time.Millisecond))
	w.run(10 * time.Millisecond)
	step := w.core.jobs["0000000000000001"].rounds[0].steps[0]
	step.permits = permits{w.core.workers["b"].Lifetime: {ticket: "forged", expires: w.now + time.Hour}}
	w.run(2 * time.Second)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
	assert.NotZero(t, w.ticketsRefused)
}
