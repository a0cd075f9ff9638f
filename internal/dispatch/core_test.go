package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

func batch(count int, d time.Duration, after ...int) workflow.Step {
	return workflow.Step{Count: count, Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}, Estimate: d, After: after}
}

func service(count int) workflow.Step {
	s := batch(count, 0)
	s.Service = true
	return s
}

func TestStepsRunInOrder(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.submit("0000000000000001", batch(5, 200*time.Millisecond), batch(3, 200*time.Millisecond, 0))
	w.run(2 * time.Second)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
}

// Guards against an owner that takes over a running task and starts it a second time.
func TestTakeOverAdoptsWhatRuns(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.submit("0000000000000001", batch(6, time.Second))
	w.run(500 * time.Millisecond)
	w.takeOver()
	w.run(2 * time.Second)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
}

// Guards against a stop that is answered after the end of its attempt and then keeps the next attempt from ever being stopped.
func TestLateStopAnswerDoesNotBlockTheNextStop(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.submit("0000000000000001", service(1))
	w.run(200 * time.Millisecond)
	job := w.core.jobs["0000000000000001"]
	task := job.rounds[0].steps[0].tasks[0]
	w.core.withdraw(task)
	w.core.Act(w.now)
	orders := w.core.Orders()
	require.Len(t, orders, 1)
	stop := orders[0].(StopOrder)
	// The end is listed before the answer to the stop comes back.
	_, err := w.stop(w.workers["a"], stop.Call)
	require.NoError(t, err)
	w.run(time.Second)
	w.core.StopReturned(w.now, stop, CallAnswer{}, nil)
	assert.Equal(t, 1, w.runningTasks(), "the service was not started again")
	w.cancel("0000000000000001")
	w.run(time.Second)
	assert.Zero(t, w.runningTasks(), "the cancelled service runs on")
}

// Guards against renewals that a silent worker may still receive and that put off the end of its lease for ever.
func TestTasksOfASilentWorkerAreStartedElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.submit("0000000000000001", service(4))
	w.run(500 * time.Millisecond)
	w.workers["a"].cut = true
	w.run(w.params.Lease + 2*time.Second)
	assert.Len(t, w.workers["b"].running, 4)
}

// Guards against a new owner that waits for leases which the old one has not granted for long, and against the old one granting them after it said so.
func TestSilenceOutlivesTheOwner(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.submit("0000000000000001", service(4))
	w.run(500 * time.Millisecond)
	w.workers["a"].cut = true
	w.run(3 * time.Second)
	w.takeOver()
	w.run(w.params.Lease)
	assert.Len(t, w.workers["b"].running, 4)
	w.workers["a"].cut = false
	w.submit("0000000000000002", service(4))
	w.run(time.Second)
	assert.Equal(t, 8, w.runningTasks(), "the worker that answers again gets tasks")
}

// Guards against tasks that stay with a worker which has started anew under its id.
func TestRestartedWorkerLosesItsTasks(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.submit("0000000000000001", service(4))
	w.run(500 * time.Millisecond)
	w.restart("a")
	w.run(500 * time.Millisecond)
	assert.Equal(t, 4, w.runningTasks())
}

// Guards against an end that is confirmed to the worker before it is stored.
func TestEndsAreConfirmedOnlyWhenStored(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.submit("0000000000000001", batch(1, 200*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.logDown = true
	w.run(2 * time.Second)
	assert.Len(t, w.workers["a"].ends, 1)
	w.logDown = false
	w.run(500 * time.Millisecond)
	assert.Empty(t, w.workers["a"].ends)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
}

// Guards against a catalog that grows for ever, and against a submission that is dropped before its time or before its state is stored.
func TestSubmissionsAreForgottenAfterTheirTime(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.submit("0000000000000001", batch(1, 100*time.Millisecond))
	w.submit("0000000000000002", service(1))
	w.run(2 * time.Second)
	assert.Empty(t, w.core.Forget(w.now, time.Minute, 10))
	assert.Equal(t, []workflow.JobID{"0000000000000001"}, w.core.Forget(w.now, time.Second, 10))
}

// Guards against tasks that wait for a worker on which nothing makes progress.
func TestStalledTaskIsMoved(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.workers["a"].hanging = true
	w.submit("0000000000000001", batch(4, 800*time.Millisecond))
	w.run(5 * time.Second)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
}

// Guards against a submission that fails because its last attempt goes to a worker on which everything fails.
func TestLastAttemptGoesToAProvenWorker(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.run(50 * time.Millisecond)
	w.core.workers["a"].quarantine = w.now + 100*time.Millisecond
	w.submit("0000000000000001", batch(4, time.Second))
	w.run(200 * time.Millisecond)
	require.Len(t, w.workers["b"].running, 4)
	// Only a has room, and the last attempt there has failed.
	w.workers["a"].failing = true
	w.core.workers["a"].failedInRow = 1
	w.submit("0000000000000002", batch(1, 100*time.Millisecond))
	w.core.jobs["0000000000000002"].rounds[0].steps[0].tasks[0].failures = 2
	w.run(2 * time.Second)
	assert.Equal(t, workflow.Done, w.state("0000000000000002"))
}

func TestFailingTaskUsesUpItsAttempts(t *testing.T) {
	w := newWorld(t, 1, 5)
	for _, f := range w.workers {
		f.failing = true
	}
	w.submit("0000000000000001", batch(1, 50*time.Millisecond))
	w.run(20 * time.Second)
	assert.Equal(t, workflow.Failed, w.state("0000000000000001"))
}

func TestGangStartsTogetherAndStartsAnewTogether(t *testing.T) {
	w := newWorld(t, 1, 2)
	gang := batch(4, time.Second)
	gang.Gang = true
	w.submit("0000000000000001", gang)
	w.run(300 * time.Millisecond)
	assert.Equal(t, 4, w.runningTasks())
	w.restart("a")
	w.run(500 * time.Millisecond)
	runs := map[int]int{}
	for _, f := range w.workers {
		for a := range f.running {
			runs[a.Run]++
		}
	}
	assert.Equal(t, map[int]int{2: 4}, runs)
	w.run(2 * time.Second)
	assert.Equal(t, workflow.Done, w.state("0000000000000001"))
}

// Random faults in virtual time: lost and late calls, cuts, restarts, changes of the owner, outages of the log and cancellations. The world checks at each
// start that no task runs twice, none starts after its end was confirmed or before its turn, and no worker is overcommitted.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomFaults(t, seed)
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 5)
	w.loss = 0.08
	cancelled := map[workflow.JobID]bool{}
	var jobs []workflow.JobID
	for round := range 60 {
		id := workflow.JobID(fmt.Sprintf("%016x", round))
		steps := []workflow.Step{batch(1+w.random.IntN(5), time.Duration(100+w.random.IntN(1500))*time.Millisecond),
			batch(1+w.random.IntN(3), 300*time.Millisecond, 0)}
		if w.random.IntN(6) == 0 {
			steps = steps[:1]
			steps[0].Gang = true
		}
		w.submit(id, steps...)
		jobs = append(jobs, id)
		w.fault(jobs, cancelled)
		w.run(time.Duration(50+w.random.IntN(800)) * time.Millisecond)
	}
	w.loss, w.logDown = 0, false
	for _, f := range w.workers {
		f.cut = false
	}
	w.run(60 * time.Second)
	for _, id := range jobs {
		if cancelled[id] {
			assert.True(t, w.state(id).Over(), "%s is %s", id, w.state(id))
			continue
		}
		assert.Equal(t, workflow.Done, w.state(id), "%s", id)
	}
	assert.Zero(t, w.runningTasks())
}

func (w *world) fault(jobs []workflow.JobID, cancelled map[workflow.JobID]bool) {
	f := w.workers[string(rune('a'+w.random.IntN(5)))]
	switch w.random.IntN(8) {
	case 0:
		f.cut = true
	case 1:
		f.cut = false
	case 2:
		w.restart(f.id)
	case 3:
		w.takeOver()
	case 4:
		w.logDown = !w.logDown
	case 5:
		id := jobs[w.random.IntN(len(jobs))]
		cancelled[id] = true
		w.cancel(id)
	}
}
