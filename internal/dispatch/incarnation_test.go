package dispatch

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// heartbeat is the time after a restart by which the entry of a worker is read.
const heartbeat = 1100 * time.Millisecond

// Guards against tasks that run twice: a worker that restarted under its id runs them, and the owner counts them as lost
// with the earlier incarnation when it reads the new entry.
func TestTasksStartedByARestartedWorkerRunOnce(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		lossShare float64
		takeOver  time.Duration
		unnamed   bool
	}{
		"answered":           {},
		"unanswered":         {lossShare: 0.5},
		"owner lost":         {takeOver: 40 * time.Millisecond},
		"unnamed":            {unnamed: true},
		"unnamed unanswered": {lossShare: 0.5, unnamed: true},
		"unnamed owner lost": {takeOver: 40 * time.Millisecond, unnamed: true},
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, seed, 3)
				sim.unnamedAnswers = test.unnamed
				sim.run(5 * time.Second)
				sim.restartUnlisted("a", heartbeat)
				sim.delayLeaseCalls(60 * time.Millisecond)
				sim.callLossShare = test.lossShare
				sim.submit("0000000000000001", batchStep(9, 2*time.Second))
				if test.takeOver > 0 {
					sim.run(test.takeOver)
					sim.takeOver()
				}
				sim.run(3 * time.Second)
				sim.callLossShare = 0
				sim.run(20 * time.Second)
				assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
			})
		}
	}
}

// Guards against a worker that is chosen by the labels of its earlier incarnation.
func TestRestartedWorkerGetsNoTasksBeforeItsEntryIsRead(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.workers["a"].labels = []string{"rare"}
	sim.listWorkers()
	step := batchStep(1, 1500*time.Millisecond)
	step.Label = "rare"
	kinds := []string{"usual", "rare"}
	for round := range 8 {
		for i := range 5 {
			sim.submit(workflow.JobID(fmt.Sprintf("%016x", 10*round+i)), step)
			sim.run(400 * time.Millisecond)
		}
		sim.workers["a"].disconnected = true
		sim.run(300 * time.Millisecond)
		sim.workers["a"].disconnected = false
		sim.restartUnlisted("a", heartbeat, kinds[round%2])
	}
	sim.run(30 * time.Second)
	for round := range 8 {
		for i := range 5 {
			assert.Equal(t, workflow.Done, sim.state(workflow.JobID(fmt.Sprintf("%016x", 10*round+i))))
		}
	}
}

// Guards against a task that goes on running where it must not: the start reached a worker of another kind before its
// entry was read.
func TestTaskOnAWorkerOfAnotherKindIsMoved(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(time.Second)
	for _, id := range []string{"a", "b"} {
		sim.restartUnlisted(id, time.Hour)
	}
	sim.delayLeaseCalls(60 * time.Millisecond)
	sim.submit("0000000000000001", serviceStep(1))
	sim.run(200 * time.Millisecond)
	task := sim.core.jobs["0000000000000001"].rounds[0].steps[0].tasks[0]
	require.Equal(t, sim.workers[task.worker.ID].startedAt, task.workerStartedAt, "the attempt was not adopted")
	// The test workers check the label at the start, which comes first here.
	task.step.def.Label = "rare"
	for id, f := range sim.workers {
		if id != task.worker.ID {
			f.labels = []string{"rare"}
		}
	}
	sim.listWorkers()
	sim.run(time.Second)
	assert.Contains(t, sim.workers[task.worker.ID].labels, "rare")
	assert.Equal(t, 1, sim.runningTasks())
}

// Guards against stopping what runs because its queue has moved to another pool meanwhile.
func TestTasksOutliveAMoveOfTheirQueue(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.submit("0000000000000001", serviceStep(2))
	sim.run(time.Second)
	moved := testConfig()
	moved.Queues[0].Terms.Pool = "elsewhere"
	sim.core.Configure(moved)
	// A new owner reads the entries of all workers for the first time.
	for _, w := range sim.core.workers {
		w.describedIncarnation = 0
	}
	sim.listWorkers()
	sim.run(time.Second)
	assert.Equal(t, 2, sim.runningTasks())
	for _, f := range sim.workers {
		assert.Empty(t, f.ends)
	}
}

// An answer of an earlier incarnation must not set the clock, the confirmed ends or the health of the newest one.
func TestAnswersOfAnEarlierIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(20 * time.Second)
	sim.submit("0000000000000001", batchStep(2, 10*time.Second))
	sim.run(13 * time.Millisecond)
	b := sim.core.TakeBatch()
	if b == nil {
		b = sim.tasksInFlight
	}
	sim.tasksInFlight = nil
	sim.core.Committed(sim.now, b.ID)
	var starts []StartOrder
	for _, o := range sim.core.Orders() {
		if s, ok := o.(StartOrder); ok {
			starts = append(starts, s)
		}
	}
	require.Len(t, starts, 2)
	earlier := CallAnswer{StartedAt: sim.workers["a"].startedAt, Clock: sim.clock(sim.workers["a"])}
	sim.restartAnswered("a")
	w := sim.core.workers["a"]
	assert.Equal(t, sim.now+withDrift(sim.params.MaxLease), w.leaseEnd)
	sim.core.StartReturned(sim.now, starts[0], earlier, nil)
	sim.core.StartReturned(sim.now, starts[1], earlier, &RefusedError{Reason: ReasonUnhealthy, Answer: earlier})
	assert.Zero(t, w.clockReading)
	assert.Equal(t, workerhealth.Usable, w.health.State(sim.now))
	assert.Empty(t, w.tasks, "the attempts have ended with the earlier incarnation")
	sim.run(30 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
}

// Guards against a confirmation of ends that reaches a later incarnation, which numbers its ends anew and would discard
// those that were not read.
func TestConfirmationIsNotRepeated(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("0000000000000001", batchStep(4, 100*time.Millisecond))
	sim.run(2 * time.Second)
	w := sim.core.workers["a"]
	require.Positive(t, w.receivedConfirmation)
	sim.core.Orders()
	sim.core.sendLease(sim.now, w)
	for _, o := range sim.core.Orders() {
		if l, ok := o.(LeaseOrder); ok {
			assert.Zero(t, l.Call.LastStoredEnd)
		}
	}
}

// Random faults with workers that restart under their ids, some of them as another kind, and whose entries are read later.
func TestRandomRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomRestarts(t, seed, func(*simulation) {})
		})
		t.Run(fmt.Sprint("unnamed", seed), func(t *testing.T) {
			t.Parallel()
			randomRestarts(t, seed, func(sim *simulation) { sim.unnamedAnswers = true })
		})
	}
}

// randomRestarts runs a simulation that setUp has changed.
func randomRestarts(t *testing.T, seed uint64, setUp func(*simulation)) {
	sim := newSimulation(t, seed, 5)
	setUp(sim)
	rng := rand.New(rand.NewPCG(seed, 11))
	sim.callLossShare, sim.listedEnds = 0.05, fewListedEnds
	var jobs []workflow.JobID
	for round := range 60 {
		id := workflow.JobID(fmt.Sprintf("%016x", round))
		sim.submit(id, batchStep(1+rng.IntN(5), time.Duration(100+rng.IntN(1500))*time.Millisecond),
			batchStep(1+rng.IntN(3), 300*time.Millisecond, 0))
		jobs = append(jobs, id)
		switch f := sim.workers[string(rune('a'+rng.IntN(5)))]; rng.IntN(6) {
		case 0, 1:
			sim.restartUnlisted(f.id, time.Duration(rng.Int64N(int64(heartbeat))))
		case 2:
			sim.loseOwner()
		case 3:
			f.disconnected = true
		case 4:
			f.disconnected = false
		}
		if sim.oldEntries && rng.IntN(2) == 0 {
			sim.listWorkers()
		}
		sim.run(time.Duration(50+rng.IntN(800)) * time.Millisecond)
	}
	sim.callLossShare = 0
	for _, f := range sim.workers {
		f.disconnected = false
	}
	if sim.oldEntries {
		sim.schedule(2*heartbeat, sim.listWorkers)
	}
	sim.run(60 * time.Second)
	crashes := map[workflow.JobID]int{}
	for task, n := range sim.crashes {
		crashes[task.Job] = max(crashes[task.Job], n)
	}
	// A submission may be given up after two crashes under one of its tasks. With delayed calls it may after one: attempts that may
	// not have begun when their worker crashed count as well.
	allowed := 2
	if sim.delayedCalls {
		allowed = 1
	}
	for _, id := range jobs {
		if crashes[id] < allowed || sim.state(id) != workflow.Failed {
			assert.Equal(t, workflow.Done, sim.state(id), "%s, %d crashes", id, crashes[id])
		}
	}
}

// stopOfAnUnansweredStart returns a simulation whose owner has sent a stop after a start without an answer, a function that
// takes the stops that it has ordered since, and the stop.
func stopOfAnUnansweredStart(t *testing.T) (*simulation, func() []StopOrder, StopOrder) {
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
	return sim, stops, sent[0]
}

// Guards against a task that runs twice: a start without an answer reaches a worker that has restarted after it had
// answered the stop.
func TestStopIsRepeatedAfterARestart(t *testing.T) {
	sim, stops, sent := stopOfAnUnansweredStart(t)
	earlier := CallAnswer{StartedAt: sim.workers["a"].startedAt, Clock: sim.clock(sim.workers["a"])}
	sim.core.StopReturned(sim.now, sent, earlier, nil)
	sim.restartAnswered("a")
	sim.now += stopRetryDelay
	sim.core.Act(sim.now)
	assert.Len(t, stops(), 1, "the next incarnation has not refused the start")
}
