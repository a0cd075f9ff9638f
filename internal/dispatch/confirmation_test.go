package dispatch

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against a confirmation of ends that reaches a later incarnation: the ends were stored long after they were listed.
func TestLateConfirmationFollowsAnAnswer(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("0000000000000001", batchStep(1, 100*time.Millisecond))
	sim.run(50 * time.Millisecond)
	sim.logDown = true
	sim.run(500 * time.Millisecond)
	w := sim.core.workers["a"]
	require.Positive(t, w.appliedEnd)
	sim.occupyLeaseCalls(300*time.Millisecond, false)
	sim.run(200 * time.Millisecond)
	sim.logDown = false
	sim.run(50 * time.Millisecond)
	require.Equal(t, w.appliedEnd, w.confirmedEnd)
	sim.core.Orders()
	sim.core.sendLease(sim.now, w)
	orders := sim.core.Orders()
	require.Len(t, orders, 1)
	first := orders[0].(LeaseOrder)
	assert.Zero(t, first.Call.LastStoredEnd, "the worker may have restarted since its last answer")
	assert.Zero(t, first.Call.Wait)
	sim.core.LeaseAnswered(sim.now, sim.now-tick, first, LeaseAnswer{StartedAt: w.StartedAt, Clock: sim.clock(sim.workers["a"])})
	sim.core.Act(sim.now)
	orders = sim.core.Orders()
	require.Len(t, orders, 1)
	assert.Equal(t, w.confirmedEnd, orders[0].(LeaseOrder).Call.LastStoredEnd)
	sim.core.LeaseAnswered(sim.now, sim.now-tick, orders[0].(LeaseOrder),
		LeaseAnswer{StartedAt: w.StartedAt, Clock: sim.clock(sim.workers["a"])})
	sim.run(time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
}

// Guards against a task that runs twice: the answer to a stop names no incarnation, and arrives after the restart was known.
func TestUnnamedAnswerToAStopOfAnEarlierIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(20 * time.Second)
	sim.submit("0000000000000001", batchStep(1, 10*time.Second))
	sim.run(13 * time.Millisecond)
	b := sim.core.TakeBatch()
	if b == nil {
		b = sim.tasksInFlight
	}
	sim.tasksInFlight = nil
	sim.core.Committed(sim.now, b.ID)
	stops := func() (out []StopOrder) {
		for _, o := range sim.core.Orders() {
			if s, ok := o.(StopOrder); ok {
				out = append(out, s)
			}
		}
		return out
	}
	stops()
	task := sim.core.jobs["0000000000000001"].rounds[0].steps[0].tasks[0]
	order := StartOrder{Member: task.worker.Member, task: task, Call: StartCall{Attempt: task.attempt()}}
	sim.core.StartReturned(sim.now, order, CallAnswer{}, &NoAnswerError{Err: io.EOF})
	task.startCalls = maxStartCalls
	sim.now += callRetryDelay
	sim.core.Act(sim.now)
	sent := stops()
	require.Len(t, sent, 1)
	sim.restart("a")
	sim.core.StopReturned(sim.now, sent[0], CallAnswer{}, nil)
	sim.now += stopRetryDelay
	sim.core.Act(sim.now)
	assert.Len(t, stops(), 1, "the start without an answer may still reach the newest incarnation")
}
