package dispatch

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// stepUntilStarted runs until the worker has begun a task.
func (sim *simulation) stepUntilStarted(f *fakeWorker) {
	for range 40 {
		sim.run(time.Millisecond)
		if len(f.running) > 0 {
			break
		}
	}
	require.NotEmpty(sim.t, f.running)
}

// startAfterRestart returns a simulation in which a worker has restarted right after it was heard and has just begun a task, and
// the earlier and the new incarnation. The owner has no answer yet.
func startAfterRestart(t *testing.T, seed uint64, unnamed bool) (sim *simulation, before, f *fakeWorker) {
	sim = newSimulation(t, seed, 2)
	sim.holdsCalls, sim.unnamedAnswers = true, unnamed
	sim.run(60*time.Second + time.Duration(seed)*200*time.Millisecond)
	before = sim.workers["a"]
	f = sim.restartUnlisted("a", time.Hour)
	sim.delayLeaseCalls(100 * time.Millisecond)
	sim.submit("0000000000000001", batchStep(8, 30*time.Second))
	sim.stepUntilStarted(f)
	return sim, before, f
}

// Guards against a task that runs twice: the call that the earlier incarnation held was closed, and the later one is then cut off.
func TestConnectionThatClosedBeforeACutEndsNoLongestLease(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim, _, f := startAfterRestart(t, seed, false)
			f.disconnected = true
			// The call that the earlier incarnation held has ended with it.
			w := sim.core.workers["a"]
			sim.core.LeaseFailed(sim.now, LeaseOrder{Member: w.Member, worker: w}, &NoAnswerError{Err: io.EOF})
			sim.core.SetMember(sim.now, sim.member(sim.addWorker("c")))
			sim.run(90 * time.Second)
			assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
		})
	}
}

// Guards against a task that runs twice: a start that waited for a turn or at an agent grants the longest lease later.
func TestLongestLeaseCountsFromTheLatestArrivalOfAStart(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(late, seed), func(t *testing.T) {
				sim := newSimulation(t, seed, 2)
				sim.holdsCalls = true
				sim.run(60*time.Second + time.Duration(seed)*200*time.Millisecond)
				sim.workers["a"].disconnected = true
				sim.delayLeaseCalls(100 * time.Millisecond)
				sim.submit("0000000000000001", batchStep(8, 30*time.Second))
				var held []StartOrder
				for range 12 {
					sim.now += tick
					sim.storeBatches()
					sim.core.Plan(sim.now)
					sim.core.Act(sim.now)
					for _, o := range sim.core.Orders() {
						if s, ok := o.(StartOrder); ok && s.Member.ID == "a" {
							held = append(held, s)
						}
						sim.sendOrder(o)
					}
				}
				require.NotEmpty(t, held)
				sim.schedule(late, func() {
					sim.workers["a"].disconnected = false
					f := sim.restartUnlisted("a", time.Hour)
					for _, s := range held {
						_, err := sim.start(f, s.Call)
						require.NoError(t, err)
					}
					f.disconnected = true
				})
				sim.run(time.Second)
				sim.core.SetMember(sim.now, sim.member(sim.addWorker("c")))
				sim.run(90 * time.Second)
				assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
			})
		}
	}
}

// Guards against a placement that counts as lost, though no start was sent: the last lease of an idle worker is over.
func TestPlacementOnAnIdleWorkerIsNotLostWithAnOldLease(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 1)
			sim.holdsCalls = true
			sim.submit("0000000000000000", batchStep(1, time.Second))
			sim.run(60*time.Second + time.Duration(seed)*200*time.Millisecond)
			w := sim.core.workers["a"]
			// The next call takes 60 ms.
			delete(sim.core.callable, w)
			sim.schedule(60*time.Millisecond, func() { sim.core.callable[w] = struct{}{} })
			sim.submit("0000000000000001", batchStep(2, time.Second))
			sim.run(55 * time.Millisecond)
			assert.True(t, w.fenced, "the lease of an idle worker was taken for expired")
			sim.run(5 * time.Second)
			for _, k := range sim.core.jobs["0000000000000001"].rounds {
				for _, task := range k.steps[0].tasks {
					assert.Equal(t, 1, task.run)
				}
			}
		})
	}
}

// Guards against a start on a worker that was last heard before the owner was isolated.
func TestAnswerOfBeforeAnOutageOfTheStoreIsNotRecent(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(60 * time.Second)
	sim.submit("0000000000000001", batchStep(1, time.Second))
	sim.core.Plan(sim.now)
	b := sim.core.TakeBatch()
	if b == nil {
		b = sim.tasksInFlight
	}
	require.NotNil(t, b)
	sim.core.Act(sim.now)
	sim.core.Orders()
	w, f := sim.core.workers["a"], sim.workers["a"]
	sim.core.LeaseAnswered(sim.now, sim.now-tick, LeaseOrder{Member: w.Member, worker: w}, sim.list(f))
	sim.core.Orders()
	// Nothing acts until the append is confirmed.
	sim.now += 6 * time.Second
	sim.core.Committed(sim.now, b.ID)
	for _, o := range sim.core.Orders() {
		_, ok := o.(StartOrder)
		assert.False(t, ok, "the worker has not been heard for 6 s")
	}
}

// Guards against a start on a worker whose answer waited while the owner was paused.
func TestAnswerHandledAfterAPauseIsNotRecent(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(60 * time.Second)
	w, f := sim.core.workers["a"], sim.workers["a"]
	a := sim.list(f)
	sent := sim.now
	sim.now += 3 * time.Second
	sim.core.LeaseAnswered(sim.now, sent, LeaseOrder{Member: w.Member, worker: w}, a)
	assert.False(t, sim.core.heard(sim.now, w), "the worker answered at some time within 3 s")
}

// takeStarts makes steps until a start on a worker is queued, which is not sent, and returns these starts.
func (sim *simulation) takeStarts(id string) []StartOrder {
	var held []StartOrder
	for range 40 {
		sim.now += tick
		sim.storeBatches()
		sim.core.Plan(sim.now)
		sim.core.Act(sim.now)
		for _, o := range sim.core.Orders() {
			if s, ok := o.(StartOrder); ok && s.Member.ID == id {
				held = append(held, s)
				core := sim.core
				sim.schedule(600*time.Millisecond, func() {
					if sim.core == core {
						sim.reportNoAnswer(core, s)
					}
				})
				continue
			}
			sim.sendOrder(o)
		}
		if len(held) > 0 {
			return held
		}
	}
	require.Fail(sim.t, "no start")
	return nil
}

// Guards against a task that runs twice: the earlier incarnation answered before the start, and the answer was handled after it.
func TestAnswerRequestedBeforeAStartDoesNotConfirmIt(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2)
			sim.holdsCalls = true
			sim.run(60*time.Second + time.Duration(seed)*200*time.Millisecond)
			sim.delayLeaseCalls(100 * time.Millisecond)
			sim.submit("0000000000000001", batchStep(8, 30*time.Second))
			held := sim.takeStarts("a")
			w, before := sim.core.workers["a"], sim.workers["a"]
			// The earlier incarnation has answered 1 ms before the start was decided.
			sim.now += time.Millisecond
			sim.core.LeaseAnswered(sim.now, sim.now-50*time.Millisecond, LeaseOrder{Member: w.Member, worker: w}, sim.list(before))
			f := sim.restartUnlisted("a", time.Hour)
			for _, s := range held {
				_, err := sim.start(f, s.Call)
				require.NoError(t, err)
			}
			f.disconnected = true
			sim.core.SetMember(sim.now, sim.member(sim.addWorker("c")))
			sim.run(90 * time.Second)
			assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
		})
	}
}

// Guards against a task that runs twice: the successor of an owner counts with the usual lease of a worker recorded as silent.
func TestSuccessorWaitsForTheLongestLeaseOfASilentWorker(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim, before, f := startAfterRestart(t, seed, false)
			f.disconnected = true
			sim.run(3 * time.Second)
			// The entry of the earlier incarnation is the newest that was read.
			sim.workers["a"] = before
			sim.takeOver()
			sim.workers["a"] = f
			sim.core.SetMember(sim.now, sim.member(sim.addWorker("c")))
			sim.run(90 * time.Second)
			assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
		})
	}
}

// Guards against starts that are sent when the owner may act again, long after they were decided.
func TestStartsDecidedWhileIsolatedAreNotSentLater(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(60 * time.Second)
	sim.submit("0000000000000001", batchStep(1, time.Second))
	sim.assumeHeard()
	sim.core.Plan(sim.now)
	b := sim.core.TakeBatch()
	require.NotNil(t, b)
	sim.core.Committed(sim.now, b.ID)
	sim.core.RevokeOrders(sim.now)
	sim.now += 6 * time.Second
	sim.core.Act(sim.now)
	for _, o := range sim.core.Orders() {
		_, isStart := o.(StartOrder)
		assert.False(t, isStart)
		sim.sendOrder(o)
	}
	sim.storeTasks(b)
	sim.run(5 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
}

// Guards against ends that are confirmed without being applied: a worker lists them in another order than that of their numbers.
func TestEndsAreAppliedInAnyOrder(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("0000000000000001", batchStep(3, 100*time.Millisecond))
	sim.run(90 * time.Millisecond)
	w, f := sim.core.workers["a"], sim.workers["a"]
	require.Len(t, f.running, 3)
	a := sim.list(f)
	for i, r := range a.Running {
		a.Ends = append(a.Ends, End{Number: int64(3 - i), Attempt: r.Attempt, Outcome: EndDone})
	}
	a.Running = nil
	sim.core.LeaseAnswered(sim.now, sim.now-tick, LeaseOrder{Member: w.Member, worker: w}, a)
	assert.Equal(t, workflow.Done, sim.core.jobs["0000000000000001"].state)
}

// Guards against a lease that is longer than expected: a call for the earlier incarnation is answered once the later one is known.
func TestAnswerToACallForAnEarlierIncarnationMayGrantTheLongestLease(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(60 * time.Second)
	w := sim.core.workers["a"]
	before := w.Member
	sim.restart("a")
	sim.now += 3 * time.Second
	sim.core.LeaseAnswered(sim.now, sim.now-tick, LeaseOrder{Member: before, worker: w}, sim.list(sim.workers["a"]))
	assert.GreaterOrEqual(t, w.leaseEnd, sim.now+withDrift(sim.params.MaxLease))
}
