package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/preemption"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// stateLoad is the load of a deployment of docs/design/0000-work.md, and the assumed rates of events that it causes.
type stateLoad struct {
	name string
	// urgent and bestEffort are submissions a second, urgentSeconds and bestEffortSeconds the durations of their tasks. An
	// urgent submission has 1.6 steps of 10 tasks, a best-effort one 2 steps of 20 tasks.
	urgent, urgentSeconds, bestEffort, bestEffortSeconds float64
	// services is the number of tasks of services.
	services float64
	queues   [2]string
}

// The page gives no size of the services of B. They are assumed to reserve the same share of the cores as on A, by tasks of the
// same size.
var stateLoads = []stateLoad{
	{"A", 14, 0.8, 20, 2.2, 14_600 / 6.4, [2]string{"till", "reprice"}},
	{"B", 12, 0.68, 22, 1.4, 490 * 16 * 14_600 / 18_300 / 6.4, [2]string{"daily", "harvest"}},
}

// stateJob is as long as a usual id.
const stateJob = workflow.JobID("00000000000000ff")

const (
	urgentTasks, bestEffortTasks = 16, 40
	// speculativeShare is the share of urgent steps that allow copies, slowShare that of their tasks that take 7 times as long.
	// The page gives the latter for B only; A is assumed to have as many.
	speculativeShare, slowShare = 0.3, 0.03
	// closedShare is the share of the services in a data centre that is closed, movingTime the time in which they are assumed
	// to leave it.
	closedShare, movingTime = 0.25, 60.0
	// stateBytesLimit is the rate of task records that the weakest usual link of a new deployment (10 Mbit/s) allows an owner.
	stateBytesLimit = recordLinkShare * 10e6 / 8
)

// preemptionsPerSecond returns the highest rate of stops that the limiter allows.
func (l *stateLoad) preemptionsPerSecond() float64 {
	inProgress := l.urgent*urgentTasks*l.urgentSeconds + l.bestEffort*bestEffortTasks*l.bestEffortSeconds
	limiter, stops := &preemption.Limiter{}, 0
	const seconds = 100
	for now := time.Second; now <= seconds*time.Second; now += 10 * time.Millisecond {
		if limiter.Allows(now, 1, int(inProgress)) {
			stops++
		}
	}
	return float64(stops) / seconds
}

// largeWorkers returns a simulation with workers whose names are as long as usual ones, in two data centres.
func largeWorkers(t *testing.T, n int, capacity resource.Vector) *simulation {
	sim := newSimulation(t, 1, 0)
	sim.useClosures(readLag)
	sim.capacity = capacity
	for i := range n {
		sim.addWorker(fmt.Sprintf("%c-worker-%04d", 'a'+i%2, i))
	}
	sim.listWorkers()
	sim.run(200 * time.Millisecond)
	return sim
}

// bytesOf returns the bytes that were stored about the tasks of a submission.
func (sim *simulation) bytesOf(id workflow.JobID) int {
	n := 0
	for key, bytes := range sim.taskBytes {
		if strings.HasSuffix(key, string(id)) {
			n += bytes
		}
	}
	return n
}

// bytesOfCopy returns the bytes of a submission of the urgent kind of which one task is slow, and whether it got a copy.
func bytesOfCopy(t *testing.T, speculative bool) (bytes int, copied bool) {
	sim := largeWorkers(t, 6, resource.Vector{MilliCores: 100_000, MemoryMB: 100_000})
	sim.workTime = func(_ *fakeWorker, a Attempt, s *workflow.Step) time.Duration {
		if a.Task.Job == stateJob && a.Task.Index == 0 && a.Task.Step == 0 && a.Run == 1 {
			return slowWork
		}
		return s.Estimate
	}
	sim.learn()
	first, second := speculativeStep(10), speculativeStep(urgentTasks-10, 0)
	first.Speculative, second.Speculative = speculative, speculative
	sim.submit(stateJob, first, second)
	task := sim.core.jobs[stateJob].rounds[0].steps[0].tasks[0]
	sim.run(15 * time.Second)
	require.Equal(t, workflow.Done, sim.state(stateJob))
	return sim.bytesOf(stateJob), task.copyRun > 0
}

// bytesOfPreemptions returns the bytes of a submission of the best-effort kind of which some tasks are stopped, and their number.
func bytesOfPreemptions(t *testing.T, urgent bool) (bytes, stops int) {
	sim := largeWorkers(t, 5, resource.Vector{MilliCores: 4000, MemoryMB: 8000})
	sim.checkpointInterval = time.Second
	m := NewMetrics(prometheus.NewRegistry())
	sim.core.metrics = m
	first, second := fillerStep(20, 12*time.Second), fillerStep(bestEffortTasks-20, 12*time.Second)
	second.After = []int{0}
	sim.submitLow(stateJob, first, second)
	sim.run(1200 * time.Millisecond)
	if urgent {
		sim.submit("urgent", urgentStep(2, 1500))
		sim.took("urgent", 5*time.Second)
		require.Equal(t, workflow.Done, sim.state("urgent"))
	}
	sim.run(60 * time.Second)
	require.Equal(t, workflow.Done, sim.state(stateJob))
	return sim.bytesOf(stateJob), preempted(m)
}

// bytesOfMoves returns the bytes that a service of 14 tasks adds while it leaves a closed data centre, and the number of tasks
// that leave it.
func bytesOfMoves(t *testing.T, closed bool) (bytes, moved int) {
	sim := largeWorkers(t, 8, resource.Vector{MilliCores: 8000, MemoryMB: 8000})
	sim.submit(stateJob, budgetedServices(14, 2))
	sim.run(2 * time.Second)
	moved = sim.running(stateJob, "odd")
	before := sim.bytesOf(stateJob)
	if closed {
		sim.close("odd")
	}
	sim.run(40 * time.Second)
	require.Equal(t, closed, sim.running(stateJob, "odd") == 0)
	return sim.bytesOf(stateJob) - before, moved
}

// summaryOf returns a summary of the backlog of a deployment while both kinds of submissions wait.
func summaryOf(l *stateLoad) *backlog.Summary {
	return &backlog.Summary{Epoch: 12, WrittenAt: 1_796_000_000_000,
		Pools: []backlog.Pool{{Name: "general", Best: 4_000_000, Recent: 3_900_000}},
		Classes: []backlog.Class{
			{Queue: l.queues[0], Pool: "general", Submissions: 60, ObjectiveMS: 2300, Waiting: 4_000_000, StarvedMS: 1500},
			{Queue: l.queues[1], Pool: "general", Priority: 2, BestEffort: true, Submissions: 400, ObjectiveMS: 9000,
				Waiting: 90_000_000, StarvedMS: 6000}}}
}

// Guards against durable state that takes a large part of what an owner may write. Prints the table of docs/CAPACITY.md.
func TestBytesOfDurableState(t *testing.T) {
	with, copied := bytesOfCopy(t, true)
	without, _ := bytesOfCopy(t, false)
	require.True(t, copied)
	perCopy := with - without

	preemptedBytes, stops := bytesOfPreemptions(t, true)
	usual, _ := bytesOfPreemptions(t, false)
	require.NotZero(t, stops)
	perPreemption := (preemptedBytes - usual) / stops

	moving, moved := bytesOfMoves(t, true)
	staying, _ := bytesOfMoves(t, false)
	require.NotZero(t, moved)
	perMove := (moving - staying) / moved

	sums := map[string]float64{}
	t.Log("| event | bytes | events/s on A | bytes/s on A | events/s on B | bytes/s on B |")
	for _, e := range []struct {
		name  string
		bytes func(*stateLoad) int
		rate  func(*stateLoad) float64
	}{
		{"copy of a task", func(*stateLoad) int { return perCopy },
			func(l *stateLoad) float64 { return l.urgent * urgentTasks * speculativeShare * slowShare }},
		{"task that is stopped for another", func(*stateLoad) int { return perPreemption }, (*stateLoad).preemptionsPerSecond},
		{"service task that leaves a closed data centre", func(*stateLoad) int { return perMove },
			func(l *stateLoad) float64 { return l.services * closedShare / movingTime }},
		{"summary of the backlog", func(l *stateLoad) int {
			e, err := catalog.BacklogEntry(summaryOf(l))
			require.NoError(t, err)
			assert.LessOrEqual(t, len(e.Value), backlog.MaxBytes)
			return len(e.Key) + len(e.Value)
		}, func(*stateLoad) float64 { return float64(time.Second) / float64(backlog.Interval) }},
	} {
		row := "| " + e.name
		for i := range stateLoads {
			l := &stateLoads[i]
			bytes, rate := e.bytes(l), e.rate(l)
			assert.Positive(t, bytes)
			if i == 0 {
				row += fmt.Sprintf(" | %d", bytes)
			}
			row += fmt.Sprintf(" | %.2f | %.0f", rate, float64(bytes)*rate)
			sums[l.name] += float64(bytes) * rate
		}
		t.Log(row + " |")
	}
	t.Logf("| all | | | %.0f | | %.0f |", sums["A"], sums["B"])
	for name, sum := range sums {
		assert.Less(t, sum, stateBytesLimit, "deployment %s", name)
	}
}
