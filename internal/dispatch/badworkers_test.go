package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// faultCounts counts what happened beside the random faults of all seeds.
type faultCounts struct{ pairs, preempted, failed, refused atomic.Int64 }

// Guards against broken rules at the workers (see checkStart) and lost or wrongly failed submissions, while workers are slow, do
// not respond, flap, refuse starts or fail all tasks, several of them at the same time, beside preemption, copies, closed data
// centres, moving services, cancellations, changes of the owner and outages of the log.
func TestRandomFaultsBesideBadWorkers(t *testing.T) {
	var counts faultCounts
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(12) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				badWorkersBesideFaults(t, seed, &counts)
			})
		}
	})
	t.Logf("%d starts beside another attempt, %d tasks preempted, %d attempts failed, %d starts refused", counts.pairs.Load(),
		counts.preempted.Load(), counts.failed.Load(), counts.refused.Load())
	for _, n := range []*atomic.Int64{&counts.pairs, &counts.preempted, &counts.failed, &counts.refused} {
		assert.Greater(t, n.Load(), int64(10), "the test says too little about one of them")
	}
}

// makeBad makes one of the workers a to e bad for a while.
func (sim *simulation) makeBad(slow map[string]time.Duration) {
	id := string(rune('a' + sim.rng.IntN(5)))
	f := sim.workers[id]
	d := time.Duration(500+sim.rng.IntN(5500)) * time.Millisecond
	// A successor under the same id is not bad.
	switch sim.rng.IntN(5) {
	case 0:
		slow[id] = sim.now + d
	case 1:
		f.disconnected = true
		sim.schedule(d, func() { f.disconnected = false })
	case 2:
		for at := time.Duration(0); at < d; at += time.Second {
			sim.schedule(at, func() { f.disconnected = true })
			sim.schedule(at+500*time.Millisecond, func() { f.disconnected = false })
		}
	case 3:
		f.failsAttempts = true
		sim.schedule(d, func() { f.failsAttempts = false })
	case 4:
		f.unhealthy = true
		sim.schedule(d, func() { f.unhealthy = false })
	}
}

func badWorkersBesideFaults(t *testing.T, seed uint64, counts *faultCounts) {
	sim := newSimulation(t, seed, 0)
	sim.capacity = resource.Vector{MilliCores: 100_000, MemoryMB: 100_000}
	for i := range 5 {
		sim.addWorker(string(rune('a' + i)))
	}
	sim.listWorkers()
	sim.useClosures(readLag)
	sim.run(200 * time.Millisecond)
	sim.learn()
	sim.callLossShare, sim.listedEnds, sim.checkpointInterval = 0.05, fewListedEnds, 200*time.Millisecond
	slow := map[string]time.Duration{}
	sim.workTime = func(f *fakeWorker, _ Attempt, s *workflow.Step) time.Duration {
		switch {
		case sim.now < slow[f.id]:
			return 5 * s.Estimate
		case s.Speculative && sim.rng.IntN(20) == 0:
			return 7 * s.Estimate
		}
		return s.Estimate
	}
	m := NewMetrics(prometheus.NewRegistry())
	sim.submit("service", budgetedServices(5, 2))
	cancelled := map[workflow.JobID]bool{}
	var jobs []workflow.JobID
	bad := map[*fakeWorker]struct{}{}
	for round := range 40 {
		id := workflow.JobID(fmt.Sprintf("%016x", round))
		first, second := speculativeStep(12), speculativeStep(3, 0)
		second.MaxPerWorker = 1
		// Its memory is short while the best-effort tasks run, which are stopped for it.
		first.Size.MemoryMB = 8_000
		sim.submit(id, first, second)
		jobs = append(jobs, id)
		if round%3 == 0 {
			low := workflow.JobID(fmt.Sprintf("low-%012x", round))
			filler := fillerStep(14, 4*time.Second)
			filler.Size = resource.Vector{MilliCores: 1_000, MemoryMB: 22_000}
			sim.submitLow(low, filler)
			jobs = append(jobs, low)
		}
		sim.injectFault(jobs, cancelled)
		for range 2 {
			sim.makeBad(slow)
		}
		sim.core.metrics = m
		for _, f := range sim.workers {
			bad[f] = struct{}{}
		}
		sim.run(time.Duration(50+sim.rng.IntN(800)) * time.Millisecond)
	}
	sim.callLossShare, sim.logDown, sim.closures.cutOff = 0, false, false
	sim.reopen("even")
	sim.reopen("odd")
	// All workers are good again after the longest time for which one may be bad.
	sim.run(7 * time.Second)
	for _, f := range sim.workers {
		f.disconnected = false
	}
	sim.cancel("service")
	sim.run(90 * time.Second)
	for _, id := range jobs {
		switch state := sim.state(id); {
		case cancelled[id]:
			assert.True(t, state.Over(), "%s is %s", id, state)
		case state == workflow.Failed:
			assert.GreaterOrEqual(t, sim.mostFailures(id), testConfig().Queues[0].Terms.MaxAttempts, "%s is failed", id)
		default:
			assert.Equal(t, workflow.Done, state, "%s", id)
		}
	}
	assert.Zero(t, sim.runningTasks())
	assert.Empty(t, sim.core.copies)
	counts.pairs.Add(int64(sim.pairs))
	counts.preempted.Add(int64(preempted(m)))
	for _, n := range sim.failedRuns {
		counts.failed.Add(int64(n))
	}
	for f := range bad {
		counts.refused.Add(int64(f.unhealthyRefusals))
	}
}

// mostFailures returns how often the task of a submission that has failed most has done so.
func (sim *simulation) mostFailures(id workflow.JobID) int {
	most := 0
	for t, n := range sim.failedRuns {
		if t.Job == id {
			most = max(most, n)
		}
	}
	return most
}
