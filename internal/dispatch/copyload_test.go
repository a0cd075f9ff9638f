package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against copies that take more than their share of the pool while every task is slow, and against as many again by each
// new owner.
func TestCopiesKeepTheirShare(t *testing.T) {
	sim := newCopySimulation(t, 1)
	sim.workTime = func(*fakeWorker, Attempt, *workflow.Step) time.Duration { return slowWork }
	sim.submit(slowJob, speculativeStep(200))
	most := 0
	for i := range 200 {
		sim.run(50 * time.Millisecond)
		most = max(most, len(sim.core.copies))
		if i == 80 {
			sim.loseOwner()
		}
	}
	assert.Equal(t, 3, most, "tasks that are slow on every worker use a quarter of 12 cores")
}

// Guards against two runs of a task that must not have two, overcommitted workers, run numbers that are used twice, and late starts,
// beside random faults while many tasks have copies.
func TestRandomFaultsBesideCopies(t *testing.T) {
	t.Parallel()
	var pairs atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				pairs.Add(int64(copiesBesideFaults(t, seed)))
			})
		}
	})
	t.Logf("%d starts beside another attempt", pairs.Load())
	assert.Greater(t, pairs.Load(), int64(100), "the test says nothing about copies")
}

// copiesBesideFaults returns the number of starts beside another attempt.
func copiesBesideFaults(t *testing.T, seed uint64) int {
	sim := newCopySimulation(t, seed)
	sim.useClosures(readLag)
	sim.callLossShare, sim.listedEnds = 0.05, fewListedEnds
	sim.workTime = func(f *fakeWorker, _ Attempt, s *workflow.Step) time.Duration {
		switch {
		case sim.rng.IntN(10) == 0:
			return 7 * s.Estimate
		case f.id == "b":
			return 5 * s.Estimate
		}
		return s.Estimate
	}
	cancelled := map[workflow.JobID]bool{}
	var jobs []workflow.JobID
	for round := range 40 {
		id := workflow.JobID(fmt.Sprintf("%016x", round))
		first, second := speculativeStep(20), speculativeStep(3, 0)
		// The workers are nearly full, so that a copy which is not counted overcommits one.
		first.MaxPerWorker, second.Speculative = 4, sim.rng.IntN(2) == 0
		other := batchStep(1+sim.rng.IntN(11), usualWork)
		other.Size.MilliCores = 15_000
		sim.submit(id, first, second, other)
		jobs = append(jobs, id)
		sim.injectFault(jobs, cancelled)
		sim.run(time.Duration(50+sim.rng.IntN(800)) * time.Millisecond)
	}
	sim.callLossShare, sim.logDown, sim.closures.cutOff = 0, false, false
	sim.reopen("even")
	sim.reopen("odd")
	for _, f := range sim.workers {
		f.disconnected = false
	}
	sim.run(90 * time.Second)
	for _, id := range jobs {
		if !cancelled[id] {
			assert.Equal(t, workflow.Done, sim.state(id), "%s", id)
		}
	}
	assert.Zero(t, sim.runningTasks())
	assert.Empty(t, sim.core.copies)
	return sim.pairs
}

// Guards against a start of a copy that reaches its worker long after the other attempt has ended.
func TestStartOfACopyExpires(t *testing.T) {
	sim := newCopySimulation(t, 1)
	sim.submit(slowJob, speculativeStep(1))
	for sim.firstTask().copy == nil {
		sim.run(tick)
	}
	sim.heldStarts = 950 * time.Millisecond
	sim.run(1500 * time.Millisecond)
	assert.Equal(t, 1, sim.startedRun[workflow.TaskID{Job: slowJob}])
}

// Guards against a start that reaches its worker long after the success of an attempt that had counted as lost was confirmed.
func TestStartAfterALostAttemptExpires(t *testing.T) {
	sim := newCopySimulation(t, 1)
	sim.submit(slowJob, speculativeStep(1))
	first := sim.firstTask()
	// Without copies, the task is placed again as soon as its worker is lost.
	first.copies = maxCopies
	sim.workTime = nil
	for first.startedAt == 0 {
		sim.run(tick)
	}
	w := first.worker
	sim.workers[w.ID].disconnected = true
	sim.heldStarts = 1300 * time.Millisecond
	for end := sim.now + 20*time.Second; first.run != 2 || first.startState != startInFlight; {
		require.Less(t, sim.now, end, "the task is not placed again")
		sim.run(tick)
	}
	sim.workers[w.ID].disconnected = false
	w.retryInterval = 0
	sim.run(100 * time.Millisecond)
	require.True(t, first.done())
	sim.run(3 * time.Second)
	assert.Equal(t, 1, sim.startedRun[first.id])
	sim.requireSettled()
}

// Guards against a slow task in a hundred that makes a quarter of the submissions late: 3 of 100 attempts take 7 times as long, and
// the objective is 1.5 times the work and 0.25 s.
func TestCopiesBringSubmissionsInTime(t *testing.T) {
	t.Parallel()
	share := func(speculative bool) float64 {
		sim := newCopySimulation(t, 1)
		sim.holdsCalls = true
		sim.workTime = func(_ *fakeWorker, _ Attempt, s *workflow.Step) time.Duration {
			if sim.rng.IntN(100) < 3 {
				return 7 * s.Estimate
			}
			return s.Estimate
		}
		const submissions = 150
		done := map[workflow.JobID]time.Duration{}
		inTime := 0
		for i := range submissions {
			id := workflow.JobID(fmt.Sprint("load-", i))
			s := speculativeStep(10)
			s.Speculative = speculative
			sim.submit(id, s)
			done[id] = sim.now + 1750*time.Millisecond
			sim.run(200 * time.Millisecond)
			for id, due := range done {
				if sim.now >= due {
					delete(done, id)
					if sim.state(id) == workflow.Done {
						inTime++
					}
				}
			}
		}
		return float64(inTime) / float64(submissions-len(done))
	}
	with, without := share(true), share(false)
	t.Logf("in time: %.2f with copies, %.2f without", with, without)
	assert.Less(t, 1-with, (1-without)/2)
}
