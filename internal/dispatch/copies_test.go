package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const slowJob = workflow.JobID("slow")

// usualWork is how long a usual task of the tests takes, slowWork how long a slow one does.
const (
	usualWork = time.Second
	slowWork  = 7 * time.Second
)

func speculativeStep(count int, after ...int) workflow.Step {
	s := batchStep(count, usualWork, after...)
	s.Speculative, s.Image = true, "x"
	return s
}

// newCopySimulation returns a simulation whose owner knows how long the tasks of the image x take. Its 6 workers are large enough
// for 12 copies of one core, 3 of them for tasks that are slow alone. The first run of the first task of slowJob is slow.
func newCopySimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 0)
	sim.capacity = resource.Vector{MilliCores: 100_000, MemoryMB: 100_000}
	for i := range 6 {
		sim.addWorker(string(rune('a' + i))).rack = fmt.Sprint("rack-", i/2)
	}
	sim.workTime = func(_ *fakeWorker, a Attempt, s *workflow.Step) time.Duration {
		if a.Task.Job == slowJob && a.Task.Index == 0 && a.Task.Step == 0 && a.Run == 1 {
			return slowWork
		}
		return s.Estimate
	}
	sim.listWorkers()
	// Work that is submitted before the workers have answered would count as short of room.
	sim.run(200 * time.Millisecond)
	sim.learn()
	return sim
}

// learn runs enough submissions for the owner to know the durations of their tasks.
func (sim *simulation) learn() {
	for i := range 12 {
		sim.submit(workflow.JobID(fmt.Sprintf("learn-%d-%d", sim.epoch, i)), speculativeStep(1), speculativeStep(1, 0))
	}
	sim.run(3 * time.Second)
	require.GreaterOrEqual(sim.t, sim.core.durations.Kinds(), 1)
}

// runUntilCopied submits a slow job and runs until its first task has a copy that has started.
func (sim *simulation) runUntilCopied(steps ...workflow.Step) (original, k *task) {
	sim.submit(slowJob, steps...)
	original = sim.firstTask()
	for end := sim.now + 4*time.Second; original.copy == nil || original.copy.startedAt == 0; {
		require.Less(sim.t, sim.now, end, "no copy was started")
		sim.run(tick)
	}
	return original, original.copy
}

func (sim *simulation) firstTask() *task { return sim.core.jobs[slowJob].rounds[0].steps[0].tasks[0] }

// slowRuns returns the workers with a run of the first task of the slow job, by run.
func (sim *simulation) slowRuns() map[int]*fakeWorker {
	out := map[int]*fakeWorker{}
	for _, f := range sim.workers {
		for a := range f.running {
			if a.Task == (workflow.TaskID{Job: slowJob}) {
				out[a.Run] = f
			}
		}
	}
	return out
}

// endSlow ends a run of the first task of the slow job and runs for d.
func (sim *simulation) endSlow(run int, o Outcome, d time.Duration) {
	sim.doneReported[workflow.TaskID{Job: slowJob}] = o == EndDone
	sim.slowRuns()[run].end(Attempt{Task: workflow.TaskID{Job: slowJob}, Run: run}, o)
	sim.run(d)
}

// runWhilePlaced runs until an attempt has ended.
func (sim *simulation) runWhilePlaced(t *task) {
	for t.phase == workflow.Placed {
		sim.run(tick)
	}
}

// requireSettled checks that the slow job is done and nothing is left of its attempts.
func (sim *simulation) requireSettled() {
	require.Equal(sim.t, workflow.Done, sim.state(slowJob))
	assert.Zero(sim.t, sim.runningTasks())
	assert.Empty(sim.t, sim.core.copies)
}

// Guards against submissions that end late because one of their tasks is slow where it runs.
func TestSlowTaskGetsACopy(t *testing.T) {
	sim := newCopySimulation(t, 1)
	submitted := sim.now
	original, k := sim.runUntilCopied(speculativeStep(5), speculativeStep(1, 0))
	assert.Less(t, sim.now-submitted, usualWork, "progress tells before the usual duration is over")
	assert.NotEqual(t, original.worker.Rack, k.worker.Rack)
	assert.Equal(t, []int{1, 2}, []int{original.run, k.run})
	assert.Len(t, sim.slowRuns(), 2)
	sim.runWhilePlaced(k)
	sim.run(500 * time.Millisecond)
	require.Equal(t, workflow.Running, sim.state(slowJob), "the next step runs")
	assert.Empty(t, sim.slowRuns(), "the other attempt is stopped")
	sim.run(time.Second)
	assert.Equal(t, workflow.Done, sim.state(slowJob), "the copy takes 1 s, and then the next step 1 s")
	assert.Zero(t, sim.runningTasks())
	sim.run(time.Second)
	assert.Empty(t, sim.core.copies)
	assert.Zero(t, sim.core.jobs[slowJob].placed)
	for _, w := range sim.core.workers {
		assert.Zero(t, w.node.Reserved)
	}
	for key, e := range sim.tasks {
		assert.False(t, key == "copies/"+string(slowJob) && e.Value != nil, "a record of copies remains")
	}
}

// Guards against copies where two runs of a task are not allowed or not useful.
func TestOtherTasksGetNoCopy(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*simulation, *workflow.Step){
		"step without copies": func(_ *simulation, s *workflow.Step) { s.Speculative = false },
		"gang":                func(_ *simulation, s *workflow.Step) { s.Gang = true },
		"long-running":        func(_ *simulation, s *workflow.Step) { s.LongRunning = true },
		"best effort":         func(_ *simulation, s *workflow.Step) { s.BestEffort = true },
		"single attempt": func(sim *simulation, _ *workflow.Step) {
			for i := range sim.core.config.Queues {
				sim.core.config.Queues[i].Terms.MaxAttempts = 1
			}
		},
		"unknown kind":        func(_ *simulation, s *workflow.Step) { s.Image = "new" },
		"larger than allowed": func(_ *simulation, s *workflow.Step) { s.Size.MilliCores = 13_000 },
		"no worker with label": func(sim *simulation, s *workflow.Step) {
			s.Label, sim.workers["a"].labels = "rare", []string{"rare"}
			sim.core.SetMember(sim.now, sim.member(sim.workers["a"]))
		},
		"one data centre open": func(sim *simulation, _ *workflow.Step) {
			for id, f := range sim.workers {
				f.dataCentre = "odd"
				if id == "a" {
					f.dataCentre = "even"
				}
				sim.core.SetMember(sim.now, sim.member(f))
			}
			sim.useClosures(readLag)
			sim.close("odd")
			sim.run(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCopySimulation(t, 1)
			s := speculativeStep(3)
			change(sim, &s)
			sim.submit(slowJob, s)
			for range 30 {
				sim.run(200 * time.Millisecond)
				assert.Empty(t, sim.core.copies)
			}
		})
	}
}

// Guards against a task whose copy takes it along: the worker of one attempt dies, and the other one goes on.
func TestEitherWorkerOfACopiedTaskDies(t *testing.T) {
	t.Run("copy", func(t *testing.T) {
		sim := newCopySimulation(t, 1)
		original, k := sim.runUntilCopied(speculativeStep(3))
		sim.crash(sim.workers[k.worker.ID])
		sim.run(time.Second)
		assert.Equal(t, workflow.Placed, original.phase)
		sim.run(slowWork)
		sim.requireSettled()
	})
	t.Run("original", func(t *testing.T) {
		sim := newCopySimulation(t, 1)
		sim.silentCrashes = true
		original, _ := sim.runUntilCopied(speculativeStep(3))
		dead := original.worker
		sim.crash(sim.workers[dead.ID])
		sim.run(1500 * time.Millisecond)
		assert.Equal(t, workflow.Done, sim.state(slowJob), "the copy counts before the lease of the original has ended")
		assert.Contains(t, dead.tasks, original, "the original counts until it has certainly ended")
		sim.run(15 * time.Second)
		assert.Empty(t, dead.tasks)
	})
	t.Run("both", func(t *testing.T) {
		sim := newCopySimulation(t, 1)
		original, k := sim.runUntilCopied(speculativeStep(3))
		sim.crash(sim.workers[original.worker.ID])
		sim.crash(sim.workers[k.worker.ID])
		sim.run(20 * time.Second)
		assert.Equal(t, workflow.Done, sim.state(slowJob))
		assert.Equal(t, 3, sim.startedRun[workflow.TaskID{Job: slowJob}])
	})
}

// Guards against a summary of the backlog in which copies hide that their class gets no room, and in which a task waits whose copy
// runs.
func TestCopiesAreNoBacklog(t *testing.T) {
	sim := newCopySimulation(t, 1)
	sim.submit(slowJob, speculativeStep(1))
	first := sim.firstTask()
	for end := sim.now + 4*time.Second; first.copy == nil || first.copy.startedAt == 0; {
		require.Less(t, sim.now, end, "no copy was started")
		sim.run(tick)
	}
	for _, placed := range sim.core.lastPlaced {
		assert.Equal(t, first.placedAt, placed)
	}
	sim.endSlow(1, EndLapsed, 100*time.Millisecond)
	require.Equal(t, workflow.Pending, first.phase)
	classes := map[classKey]*backlog.Class{}
	sim.core.addWaiting(sim.now, classes, first.job())
	assert.Empty(t, classes)
	sim.endSlow(2, EndFailed, 50*time.Millisecond)
	require.Equal(t, workflow.Pending, first.phase)
	sim.core.addWaiting(sim.now, classes, first.job())
	assert.Len(t, classes, 1)
}

// Guards against a third run beside a copy whose original was lost.
func TestLostOriginalWaitsForItsCopy(t *testing.T) {
	sim := newCopySimulation(t, 1)
	original, k := sim.runUntilCopied(speculativeStep(1))
	sim.endSlow(1, EndLapsed, 300*time.Millisecond)
	require.Equal(t, workflow.Placed, k.phase)
	assert.Equal(t, workflow.Pending, original.phase)
	assert.Len(t, sim.slowRuns(), 1)
	// The task is placed again when its copy has failed.
	sim.endSlow(2, EndFailed, 500*time.Millisecond)
	assert.Equal(t, 3, original.run)
	sim.run(2 * time.Second)
	assert.Equal(t, workflow.Done, sim.state(slowJob))
}

// Guards against a successor that does not know an attempt: it would start the task with a used run number, give its worker too
// much, or leave an attempt running.
func TestOwnerDiesBesideACopy(t *testing.T) {
	for name, prepare := range map[string]func(*simulation){
		"while both run":                       func(*simulation) {},
		"after the original was lost":          func(sim *simulation) { sim.endSlow(1, EndLapsed, 100*time.Millisecond) },
		"after the copy was lost":              func(sim *simulation) { sim.endSlow(2, EndFailed, 100*time.Millisecond) },
		"after the copy has ended":             func(sim *simulation) { sim.endSlow(2, EndDone, 50*time.Millisecond) },
		"before the end of the copy is stored": func(sim *simulation) { sim.endSlow(2, EndDone, 2*tick) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCopySimulation(t, 1)
			sim.runUntilCopied(speculativeStep(3), speculativeStep(1, 0))
			sim.run(100 * time.Millisecond)
			prepare(sim)
			runs := len(sim.slowRuns())
			sim.takeOver()
			known := 0
			for _, w := range sim.core.workers {
				for t := range w.tasks {
					if t.id == (workflow.TaskID{Job: slowJob}) {
						known++
					}
				}
			}
			assert.GreaterOrEqual(t, known, runs)
			if first := sim.firstTask(); !first.done() {
				assert.GreaterOrEqual(t, first.lastRun(), sim.startedRun[first.id])
			}
			sim.run(12 * time.Second)
			sim.requireSettled()
		})
	}
}

// Guards against a task that counts twice: both attempts end as done at the same time, and a worker reports its end again.
func TestBothAttemptsEnd(t *testing.T) {
	sim := newCopySimulation(t, 1)
	original, k := sim.runUntilCopied(speculativeStep(2), speculativeStep(1, 0))
	sim.endSlow(1, EndDone, 0)
	sim.endSlow(2, EndDone, 0)
	w, end := k.worker, k.worker.appliedEnd
	sim.run(30 * time.Millisecond)
	require.Equal(t, workflow.Ended, original.phase)
	// The ends that the worker still holds are applied again.
	w.appliedEnd = end
	open := original.step.open
	sim.run(100 * time.Millisecond)
	assert.Equal(t, open, original.step.open)
	sim.run(3 * time.Second)
	sim.requireSettled()
}

// Guards against an attempt that runs on, or counts no more, because the call that stops it gets no answer.
func TestStopOfTheOtherAttemptIsLost(t *testing.T) {
	sim := newCopySimulation(t, 1)
	original, k := sim.runUntilCopied(speculativeStep(1))
	w, f := original.worker, sim.workers[original.worker.ID]
	sim.runWhilePlaced(k)
	f.disconnected = true
	sim.run(time.Second)
	assert.Equal(t, workflow.Done, sim.state(slowJob))
	assert.NotEmpty(t, f.running)
	assert.Equal(t, int64(1000), w.node.Reserved.MilliCores)
	f.disconnected = false
	sim.run(3 * time.Second)
	assert.Empty(t, f.running)
	assert.Zero(t, w.node.Reserved.MilliCores)
}

// Guards against a start long after a success: the worker of a copy reports its success after the copy counted as lost, and the
// original, which still runs, fails later.
func TestLateSuccessOfALostCopyEndsItsTask(t *testing.T) {
	sim := newCopySimulation(t, 1)
	usual := sim.workTime
	sim.workTime = func(f *fakeWorker, a Attempt, s *workflow.Step) time.Duration {
		if usual(f, a, s) == slowWork {
			return time.Minute
		}
		return s.Estimate
	}
	original, k := sim.runUntilCopied(speculativeStep(1), speculativeStep(1, 0))
	original.copies = maxCopies
	first, second := sim.workers[original.worker.ID], sim.workers[k.worker.ID]
	second.disconnected = true
	for end := sim.now + 20*time.Second; original.copy != nil; {
		require.Less(t, sim.now, end, "the copy is never given up")
		sim.run(tick)
	}
	require.True(t, sim.doneReported[original.id])
	second.disconnected = false
	sim.run(time.Second)
	assert.Empty(t, first.running[Attempt{Task: original.id, Run: 1}], "the original is stopped")
	if _, runs := sim.slowRuns()[1]; runs {
		sim.endSlow(1, EndFailed, time.Second)
	}
	sim.run(2 * time.Second)
	assert.Equal(t, 2, sim.startedRun[original.id], "no start follows the success")
	sim.requireSettled()
}

// Guards against a start long after a success: the worker of a copy reports its success after the copy counted as lost, and the
// original and the next copy, which still run, fail later. Guards also against a successor that does not know both of them.
func TestLateSuccessOfALostCopyEndsBothOtherAttempts(t *testing.T) {
	for name, successor := range map[string]bool{"same owner": false, "successor": true} {
		t.Run(name, func(t *testing.T) {
			sim := newCopySimulation(t, 1)
			usual := sim.workTime
			sim.workTime = func(f *fakeWorker, a Attempt, s *workflow.Step) time.Duration {
				if usual(f, a, s) == slowWork || a.Task.Job == slowJob && a.Task.Step == 0 && a.Run > 2 {
					return time.Minute
				}
				return s.Estimate
			}
			original, first := sim.runUntilCopied(speculativeStep(1), speculativeStep(1, 0))
			silent := sim.workers[first.worker.ID]
			silent.disconnected = true
			for end := sim.now + 20*time.Second; original.copy == nil || original.copy == first || original.copy.startedAt == 0; {
				require.Less(t, sim.now, end, "no second copy is started")
				sim.run(tick)
			}
			require.True(t, sim.doneReported[original.id])
			require.Len(t, sim.slowRuns(), 2)
			// Neither of the other workers can be reached, so both attempts run on after the end of their task.
			cut := slices.Collect(maps.Values(sim.slowRuns()))
			silent.disconnected = false
			sim.core.workers[silent.id].retryInterval = 0
			for _, f := range cut {
				f.disconnected = true
			}
			sim.run(time.Second)
			require.True(t, original.done())
			require.Empty(t, silent.ends, "the success is confirmed")
			require.Len(t, sim.slowRuns(), 2)
			if successor {
				sim.takeOver()
			}
			known := 0
			for _, f := range cut {
				for o := range sim.core.workers[f.id].tasks {
					if o.id == original.id {
						known++
					}
				}
			}
			assert.Equal(t, 2, known, "both attempts count on their workers")
			for _, f := range cut {
				f.disconnected = false
			}
			sim.run(4 * time.Second)
			assert.Empty(t, sim.slowRuns(), "both attempts are stopped")
			assert.Equal(t, 3, sim.startedRun[original.id], "no start follows the success")
			sim.requireSettled()
		})
	}
}

// Guards against a running original that is forgotten: a success of an earlier attempt with the run number of a copy, which a
// successor of an earlier version may have given away again, is read before the copy is started.
func TestSuccessWithTheNumberOfAnUnstartedCopy(t *testing.T) {
	sim := newCopySimulation(t, 1)
	sim.submit(slowJob, speculativeStep(1))
	original := sim.firstTask()
	for original.copy == nil {
		sim.run(tick)
	}
	k := original.copy
	require.True(t, k.neverSent())
	for _, f := range sim.workers {
		if w := sim.core.workers[f.id]; w != k.worker && w != original.worker {
			sim.core.applyEnd(sim.now, w, &End{Number: w.appliedEnd + 1, Attempt: k.attempt(), Outcome: EndDone})
			break
		}
	}
	require.True(t, original.done())
	require.Equal(t, workflow.Placed, original.phase, "it counts until it has been stopped")
	sim.run(2 * time.Second)
	assert.Zero(t, sim.runningTasks())
	assert.Empty(t, sim.core.copies)
	assert.Equal(t, 1, sim.startedRun[original.id])
}

// Guards against failures of copies that do not count, and against a failure that counts after the task has ended.
func TestFailuresOfBothAttemptsCount(t *testing.T) {
	const soon = 50 * time.Millisecond
	sim := newCopySimulation(t, 1)
	original, _ := sim.runUntilCopied(speculativeStep(1))
	sim.endSlow(2, EndFailed, soon)
	assert.Equal(t, 1, original.failures)
	sim.endSlow(1, EndFailed, soon)
	assert.Equal(t, 2, original.failures)
	sim.run(200 * time.Millisecond)
	sim.endSlow(3, EndFailed, soon)
	assert.Equal(t, workflow.Failed, sim.core.jobs[slowJob].state)

	sim = newCopySimulation(t, 1)
	original, k := sim.runUntilCopied(speculativeStep(1), speculativeStep(1, 0))
	sim.runWhilePlaced(k)
	sim.endSlow(1, EndFailed, soon)
	assert.Zero(t, original.failures)
	sim.run(2 * time.Second)
	assert.Equal(t, workflow.Done, sim.state(slowJob))
}

// Guards against an attempt that outlives the cancellation of its submission.
func TestCancellationStopsBothAttempts(t *testing.T) {
	sim := newCopySimulation(t, 1)
	sim.runUntilCopied(speculativeStep(3))
	sim.cancel(slowJob)
	sim.run(time.Second)
	assert.Zero(t, sim.runningTasks())
	assert.Empty(t, sim.core.copies)
}

// Guards against records that one of two versions cannot read.
func TestRecordsOfCopies(t *testing.T) {
	rec := &workflow.Record{State: workflow.Running, Tasks: [][][]workflow.TaskRecord{{{{Phase: workflow.Placed, Run: 1, Worker: "a"}}}}}
	tasks, err := catalog.TasksEntry(slowJob, rec)
	require.NoError(t, err)
	for _, copies := range [][]workflow.CopyRecord{{{Run: 2, Worker: "b", WorkerStartedAt: 5}}, {{Run: 2}, {Index: 1, Run: 3}}} {
		e, err := catalog.CopiesEntry(slowJob, copies)
		require.NoError(t, err)
		loaded := catalog.DecodeTasks([]eventlog.Entry{e, tasks}, discardLogger())
		assert.Equal(t, copies, loaded.Records[slowJob].Copies)
		loaded = catalog.DecodeTasks([]eventlog.Entry{tasks}, discardLogger())
		assert.Empty(t, loaded.Records[slowJob].Copies, "a record of an earlier version")
		// An earlier version takes the entry for the record of a submission and must refuse it.
		assert.Error(t, workflow.Decode("task record", e.Value, &workflow.Record{}))
	}
}
