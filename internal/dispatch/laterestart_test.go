package dispatch

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against tasks that run twice: a later incarnation carries out a call that the network held back, such as a start or a
// confirmation of ends.
func TestDelayedCallsEndWithTheirIncarnation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomRestarts(t, seed, func(sim *simulation) {
				sim.delayedCalls, sim.pinnedCalls, sim.unnamedAnswers = true, true, seed%2 == 0
			})
		})
	}
}

// Guards against starts by the labels of an earlier incarnation, and tasks that run twice: a worker restarts within minRestartTime of
// its answer, and may be cut off before the owner knows.
func TestRestartRightAfterAnAnswer(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			sim := newSimulation(t, seed, 3)
			sim.holdsCalls, sim.pinnedCalls, sim.silentCrashes = true, true, rng.IntN(2) == 0
			rare := [][]string{{"rare"}, nil}
			sim.workers["a"].labels, sim.workers["b"].labels = rare[0], rare[0]
			sim.listWorkers()
			next := 0
			submit := func() {
				next++
				step := batchStep(1+rng.IntN(6), time.Duration(20+rng.IntN(1000))*time.Millisecond)
				step.Label = []string{"rare", ""}[rng.IntN(2)]
				sim.submit(workflow.JobID(fmt.Sprintf("%016x", next)), step)
			}
			for round := range 8 {
				submit()
				sim.run(time.Duration(rng.IntN(4000)) * time.Millisecond)
				submit()
				for w, n := sim.core.workers["a"], 0; w.heardAt != sim.now && n < 1000; n++ {
					sim.run(tick)
				}
				sim.run(time.Duration(rng.Int64N(int64(minRestartTime))))
				f := sim.restartUnlisted("a", heartbeat, rare[(round+1)%2]...)
				submit()
				sim.run(time.Duration(rng.IntN(200)) * time.Millisecond)
				if rng.IntN(2) == 0 {
					f.disconnected = true
					submit()
					sim.run(12 * time.Second)
					f.disconnected = false
				}
			}
			sim.run(30 * time.Second)
		})
	}
}

// Guards against a task that runs twice: a new owner counts with the usual lease of a worker that took the longest one from a start
// by the clock of its earlier incarnation, and was cut off too shortly before to be recorded as silent.
func TestTakeoverRightAfterARestartedWorkerIsCutOff(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 2)
			sim.holdsCalls, sim.pinnedCalls = true, true
			sim.run(60*time.Second + time.Duration(seed)*200*time.Millisecond)
			before := sim.workers["a"]
			f := sim.restartUnlisted("a", time.Hour)
			sim.delayLeaseCalls(100 * time.Millisecond)
			sim.submit("0000000000000001", batchStep(8, 30*time.Second))
			for range 10 {
				sim.run(tick)
				if len(f.running) > 0 {
					break
				}
			}
			f.disconnected = true
			sim.run(300 * time.Millisecond)
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

// Guards against a start by the labels of an earlier incarnation: a lease call was on its way to it when it ended, or was held by it
// when it ended without a sign, so that the owner takes it for alive.
func TestNoStartWhileALeaseCallOfAnEndedIncarnationIsOpen(t *testing.T) {
	t.Parallel()
	for _, held := range []bool{false, true} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(held, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, seed, 2)
				sim.holdsCalls, sim.pinnedCalls, sim.silentCrashes = true, true, true
				sim.workers["a"].labels = []string{"rare"}
				sim.listWorkers()
				sim.run(time.Second)
				step := batchStep(1, 30*time.Second)
				step.Label = "rare"
				sim.submit("0000000000000001", step)
				sim.run(5*time.Second + time.Duration(seed)*100*time.Millisecond)
				w := sim.core.workers["a"]
				for n := 0; (w.leaseSentAt != sim.now || !w.holdsCall) && n < 1000; n++ {
					sim.run(tick)
				}
				require.True(t, w.holdsCall)
				if held {
					sim.run(50 * time.Millisecond)
				}
				f := sim.restartUnlisted("a", heartbeat)
				sim.submit("0000000000000002", step)
				sim.run(time.Second)
				f.labels = []string{"rare"}
				sim.listWorkers()
				sim.run(60 * time.Second)
				assert.Equal(t, workflow.Done, sim.state("0000000000000002"))
			})
		}
	}
}

// Guards against tasks that run twice: an entry of an incarnation that the owner never saw is read after its successor has begun
// tasks, whose start is earlier.
func TestOldEntryEndsNoAttempt(t *testing.T) {
	t.Parallel()
	service, gang := serviceStep(4), batchStep(3, 2*time.Second)
	gang.Gang = true
	for name, test := range map[string]struct {
		step            workflow.Step
		takeOver, moved bool
	}{
		"tasks":      {step: batchStep(8, 2*time.Second)},
		"service":    {step: service},
		"gang":       {step: gang},
		"owner lost": {step: batchStep(8, 2*time.Second), takeOver: true},
		"moved":      {step: batchStep(8, 2*time.Second), moved: true},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, seed, 2)
				sim.holdsCalls, sim.pinnedCalls = true, true
				sim.run(20 * time.Second)
				unseen := sim.member(sim.restartUnlisted("a", time.Hour))
				f := sim.restartUnlisted("a", time.Hour)
				f.startedAt -= 1500
				sim.schedule(heartbeat, func() { sim.core.SetMember(sim.now, sim.member(f)) })
				sim.run(2 * time.Second)
				sim.submit("0000000000000001", test.step)
				sim.run(time.Second)
				require.NotEmpty(t, f.running)
				if test.takeOver {
					sim.loseOwner()
				}
				if test.moved {
					unseen.Addr = "addr-unseen"
				}
				sim.core.SetMember(sim.now, unseen)
				sim.schedule(heartbeat, func() { sim.core.SetMember(sim.now, sim.member(f)) })
				sim.run(10 * time.Second)
				for _, f := range sim.workers {
					for _, e := range f.ends {
						assert.Equal(t, EndDone, e.Outcome)
					}
				}
				assert.Empty(t, sim.crashes)
				for _, k := range sim.core.jobs["0000000000000001"].rounds {
					for _, task := range k.steps[0].tasks {
						assert.Equal(t, 1, task.run)
						assert.Zero(t, task.crashes)
					}
				}
				sim.submit("0000000000000002", batchStep(8, 2*time.Second))
				sim.run(time.Second)
				assert.NotEmpty(t, f.running, "the worker gets no tasks")
			})
		}
	}
}

// Guards against tasks that run twice: random faults with clocks that are set back before restarts, and old entries.
func TestRandomOldEntries(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomRestarts(t, seed, func(sim *simulation) {
				sim.setsClocksBack, sim.oldEntries, sim.pinnedCalls, sim.unnamedAnswers = true, true, true, seed%2 == 0
			})
		})
	}
}

// Guards against tasks that wait for ever, or run twice: a worker is cut off right after an entry has shown another incarnation.
func TestTasksAreLostWithTheLeaseWhileAnEntryIsUnconfirmed(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ restarts, moves bool }{
		"old entry": {}, "restart": {restarts: true}, "restart at another address": {restarts: true, moves: true},
	} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, seed, 2)
				sim.holdsCalls, sim.pinnedCalls, sim.silentCrashes = true, true, true
				sim.submit("0000000000000001", batchStep(8, 20*time.Second))
				sim.run(5*time.Second + time.Duration(seed)*100*time.Millisecond)
				f := sim.workers["a"]
				require.NotEmpty(t, f.running)
				if test.restarts {
					f = sim.restartUnlisted("a", time.Hour)
				}
				f.disconnected = true
				m := sim.member(f)
				if test.moves {
					f.addr = "addr-new"
					m.Addr = f.addr
				}
				if !test.restarts {
					m.StartedAt = int64(sim.now / time.Millisecond)
				}
				sim.core.SetMember(sim.now, m)
				sim.core.SetMember(sim.now, sim.member(sim.addWorker("c")))
				sim.run(withDrift(sim.params.Lease) + 500*time.Millisecond)
				assert.NotEmpty(t, sim.workers["c"].running)
				sim.run(5 * time.Second)
				f.disconnected = false
				sim.submit("0000000000000002", batchStep(8, time.Second))
				sim.run(60 * time.Second)
				assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
				assert.Equal(t, workflow.Done, sim.state("0000000000000002"))
			})
		}
	}
}

// Guards against calls to an incarnation that has ended: its answer to a call of before the entry of the next one is handled after it.
func TestAnswerToACallOfBeforeAnEntryDoesNotRefuteIt(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("0000000000000001", batchStep(1, 30*time.Second))
	sim.run(time.Second)
	w, f := sim.core.workers["a"], sim.workers["a"]
	before := LeaseOrder{Member: w.Member, worker: w, Call: LeaseCall{Wait: leaseCallWait}}
	entry := sim.member(f)
	entry.StartedAt++
	sim.core.SetMember(sim.now, entry)
	sim.core.LeaseAnswered(sim.now, sim.now-tick, before, sim.list(f))
	assert.True(t, w.unavailable(), "the next incarnation may live")
	assert.Len(t, w.tasks, 1)
	sim.core.LeaseFailed(sim.now, before, &NoAnswerError{Err: io.EOF})
	assert.Zero(t, w.failingSince)
	sim.run(3 * tick)
	assert.False(t, w.unavailable())
	sim.core.SetMember(sim.now, entry)
	assert.False(t, w.unavailable(), "the entry is that of an incarnation that has ended")
}
