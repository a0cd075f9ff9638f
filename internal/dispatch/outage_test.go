package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// highestRuns returns the highest run of each task on any worker.
func (sim *simulation) highestRuns() map[workflow.TaskID]int {
	out := map[workflow.TaskID]int{}
	for _, f := range sim.workers {
		for id, run := range f.highestRun {
			out[id] = max(out[id], run)
		}
	}
	return out
}

// A worker that is silent for less than its lease, or that is missing from the worker list, keeps its tasks: they are
// neither started elsewhere nor given up.
func TestShortSilenceMovesNoTask(t *testing.T) {
	for name, disturb := range map[string]func(sim *simulation, f *fakeWorker){
		"silent": func(sim *simulation, f *fakeWorker) {
			f.disconnected = true
			sim.run(4 * time.Second)
			f.disconnected = false
		},
		"unlisted": func(sim *simulation, f *fakeWorker) {
			sim.core.DropMember(f.id)
			sim.run(8 * time.Second)
			sim.core.SetMember(sim.now, sim.member(f))
		},
		"silent during a change of owner": func(sim *simulation, f *fakeWorker) {
			f.disconnected = true
			sim.run(2 * time.Second)
			sim.takeOver()
			sim.run(2 * time.Second)
			f.disconnected = false
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.submit("0000000000000001", batchStep(6, 12*time.Second))
			sim.submit("0000000000000002", serviceStep(3))
			sim.run(500 * time.Millisecond)
			disturb(sim, sim.workers["a"])
			sim.run(12 * time.Second)
			assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
			for id, run := range sim.highestRuns() {
				assert.Equal(t, 1, run, "%s was started again", id)
			}
		})
	}
}

// Orders of an earlier owner that are delayed until its successor acts must have no effect.
func TestDelayedOrdersOfAnEarlierOwnerAreRefused(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(200 * time.Millisecond)
	sim.submit("0000000000000001", batchStep(4, 3*time.Second))
	sim.assumeHeard()
	// The placement is stored, and the starts are queued but not sent.
	sim.core.Plan(sim.now)
	b := sim.core.TakeBatch()
	sim.storeTasks(b)
	sim.core.Committed(sim.now, b.ID)
	delayed := sim.core.Orders()
	require.NotEmpty(t, delayed)
	sim.takeOver()
	sim.run(time.Second)
	for _, o := range delayed {
		start, ok := o.(StartOrder)
		if !ok {
			continue
		}
		_, err := sim.start(sim.workers[start.Member.ID], start.Call)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Equal(t, ReasonFenced, refused.Reason)
	}
	sim.run(10 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
}

// An owner that is paused after it has decided must not act on it later: the start carries a limit on the worker's
// clock.
func TestStartOfAPausedOwnerIsRefused(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(200 * time.Millisecond)
	sim.submit("0000000000000001", batchStep(1, 3*time.Second))
	sim.assumeHeard()
	sim.core.Plan(sim.now)
	b := sim.core.TakeBatch()
	sim.core.Committed(sim.now, b.ID)
	for _, o := range sim.core.Orders() {
		start, ok := o.(StartOrder)
		if !ok {
			continue
		}
		sim.now += sim.params.Lease + 2*time.Second
		_, err := sim.start(sim.workers["a"], start.Call)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Equal(t, ReasonDeadlinePassed, refused.Reason)
		return
	}
	t.Fatal("no start was ordered")
}

// A worker that left while there was no owner must not be used by the next one.
func TestWorkerThatLeftIsNotUsedAfterATakeover(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(200 * time.Millisecond)
	gone := sim.workers["a"]
	delete(sim.workers, "a")
	sim.takeOver()
	sim.submit("0000000000000001", batchStep(4, 200*time.Millisecond))
	sim.run(2 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
	assert.Empty(t, gone.highestRun)
}

// Records that no owner writes, such as those of another version, must not end the process of each owner that reads
// them.
func TestMalformedRecordsDoNotEndTheOwner(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		job := &catalog.Job{Submission: &workflow.Submission{Job: "0000000000000001",
			Steps: []workflow.Step{batchStep(2, time.Second), batchStep(1, time.Second, 0)}}, Tasks: malformedRecord(rng)}
		job.Submission.Steps[1].Gang = seed%2 == 0
		sim := newSimulation(t, seed, 2)
		core := New(sim.params, 2, sim.now, func() time.Time { return time.Unix(0, int64(sim.now)) }, discardLogger(),
			testConfig(), Stored{PredecessorUntil: sim.now, Jobs: []*catalog.Job{job}})
		sim.core = core
		sim.steps[job.Submission.Job] = job.Submission.Steps
		sim.listWorkers()
		require.NotPanics(t, func() { sim.run(500 * time.Millisecond) }, "seed %d: %+v", seed, job.Tasks)
	}
}

func malformedRecord(rng *rand.Rand) *workflow.Record {
	rec := &workflow.Record{State: workflow.State(rng.IntN(9))}
	for range rng.IntN(3) {
		var steps [][]workflow.TaskRecord
		for range rng.IntN(4) {
			rows := make([]workflow.TaskRecord, rng.IntN(4))
			for i := range rows {
				rows[i] = workflow.TaskRecord{Phase: workflow.Phase(rng.IntN(5)), Run: rng.IntN(5) - 1,
					Failures: rng.IntN(9) - 2, Worker: []string{"", "a", "x"}[rng.IntN(3)],
					WorkerStartedAt: rng.Int64N(3)}
			}
			steps = append(steps, rows)
		}
		rec.Tasks = append(rec.Tasks, steps)
	}
	return rec
}

// Guards against a stored submission that ends the process of every owner. An earlier version has accepted it, or another
// writer has left it.
func TestStoredSubmissionThatCannotRunIsFailed(t *testing.T) {
	t.Parallel()
	figures := []int64{0, 1, -1, 7, math.MaxInt32, 1 << 40, 1 << 62, math.MaxInt64, math.MinInt64}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		pick := func() int64 { return figures[rng.IntN(len(figures))] }
		absurd := &workflow.Submission{Job: "0000000000000001", Terms: testConfig().Queues[0].Terms, Repeat: int(pick()),
			First: time.Unix(0, pick()), Interval: time.Duration(pick())}
		for range 1 + rng.IntN(3) {
			absurd.Steps = append(absurd.Steps, workflow.Step{Count: int(pick()), After: []int{int(pick())},
				Size:     resource.Vector{MilliCores: pick(), MemoryMB: pick(), Accelerators: pick()},
				Estimate: time.Duration(pick()), Objective: time.Duration(pick()), MaxPerWorker: int(pick()),
				LongRunning: rng.IntN(2) == 0, BestEffort: rng.IntN(2) == 0, Gang: rng.IntN(2) == 0, Image: "x"})
			if rng.IntN(2) == 0 {
				absurd.Steps[len(absurd.Steps)-1].After = nil
			}
		}
		sim := newSimulation(t, seed, 2)
		for _, cancelled := range []bool{false, true} {
			e, err := catalog.SubmissionEntry(absurd)
			require.NoError(t, err)
			sim.steps[absurd.Job] = absurd.Steps
			require.NotPanics(t, func() {
				sim.applyEntry(sim.catalog.ApplySubmissions, e)
				sim.run(100 * time.Millisecond)
			}, "seed %d: %+v", seed, absurd)
			want := workflow.Failed
			if cancelled {
				want = workflow.Cancelled
			}
			if absurd.Check() != nil {
				assert.Equal(t, want, sim.state(absurd.Job), "seed %d: %+v", seed, absurd)
			}
			sim.takeOver()
			assert.NotZero(t, sim.core.jobs[absurd.Job].finishedAt, "the state would be removed too early")
			absurd.Job = "0000000000000002"
			sim.cancel(absurd.Job)
		}
		sim.submit("0000000000000003", batchStep(2, 50*time.Millisecond))
		sim.run(time.Second)
		assert.Equal(t, workflow.Done, sim.state("0000000000000003"))
	}
}

// Submissions with absurd sizes and estimates, or that no worker can ever hold, must not keep others from running.
func TestAbsurdSubmissionsDoNotBlockOthers(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(200 * time.Millisecond)
	for i, s := range []workflow.Step{
		{Count: 2, BestEffort: true, Image: "x", Size: resource.Vector{MilliCores: math.MaxInt64}, Estimate: time.Second},
		{Count: 2, BestEffort: true, Image: "x", Size: resource.Vector{MilliCores: math.MaxInt64 / 2, MemoryMB: 1}},
		{Count: 2, BestEffort: true, Image: "x", Size: resource.Vector{MemoryMB: math.MaxInt64}},
		{Count: 2, Size: resource.Vector{MilliCores: math.MaxInt64, MemoryMB: math.MaxInt64}},
		{Count: 2, BestEffort: true, Image: "x", Estimate: math.MaxInt64},
		{Count: 2, LongRunning: true, Objective: time.Nanosecond, Image: "s",
			Size: resource.Vector{MilliCores: math.MaxInt64}},
		{Count: 1, BestEffort: true},
	} {
		sim.submit(workflow.JobID(fmt.Sprintf("absurd-%d", i)), s)
	}
	sim.run(time.Second)
	normal := batchStep(4, 300*time.Millisecond)
	bestEffort := normal
	bestEffort.BestEffort, bestEffort.Image = true, "x"
	sim.submit("0000000000000001", normal)
	sim.submit("0000000000000002", bestEffort)
	sim.run(5 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
	assert.Equal(t, workflow.Done, sim.state("0000000000000002"))
	for _, w := range sim.core.workers {
		for image, m := range w.load.BestEffort {
			assert.Positive(t, m, "requests of image %s on worker %s", image, w.ID)
		}
	}
}
