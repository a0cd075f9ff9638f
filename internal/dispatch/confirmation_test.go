package dispatch

import (
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
	sim, stops, sent := stopOfAnUnansweredStart(t)
	sim.restartAnswered("a")
	sim.core.StopReturned(sim.now, sent, CallAnswer{}, nil)
	sim.now += stopRetryDelay
	sim.core.Act(sim.now)
	assert.Len(t, stops(), 1, "the start without an answer may still reach the newest incarnation")
}
