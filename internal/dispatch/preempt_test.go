package dispatch

import (
	"fmt"
	"log/slog"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// fillerStep is a best-effort step whose tasks take a quarter of the processors and the memory of a worker each.
func fillerStep(count int, estimate time.Duration) workflow.Step {
	return workflow.Step{Count: count, Size: resource.Vector{MilliCores: 1000, MemoryMB: 2000}, Estimate: estimate,
		BestEffort: true, Checkpoints: true, Image: "filler"}
}

func urgentStep(count int, memoryMB int64) workflow.Step {
	return workflow.Step{Count: count, Size: resource.Vector{MilliCores: 1000, MemoryMB: memoryMB}, Estimate: 800 * time.Millisecond}
}

// newCompetition returns a simulation with work of a lower priority on all its workers, and its metrics.
func newCompetition(t *testing.T, seed uint64, workers int, filler ...workflow.Step) (*simulation, *Metrics) {
	sim := newSimulation(t, seed, 0)
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%03d", i))
	}
	sim.listWorkers()
	sim.checkpointInterval = time.Second
	m := NewMetrics(prometheus.NewRegistry())
	sim.core.metrics = m
	sim.run(200 * time.Millisecond)
	for i, s := range filler {
		sim.submitLow(workflow.JobID(fmt.Sprintf("low-%d", i)), s)
	}
	sim.run(1200 * time.Millisecond)
	return sim, m
}

func (sim *simulation) submitLow(id workflow.JobID, steps ...workflow.Step) {
	terms := testConfig().Queues[0].Terms
	terms.Queue, terms.Priority = "low", 2
	sim.submitOn(terms, id, steps...)
}

func preempted(m *Metrics) int {
	return int(testutil.ToFloat64(m.preemptions.WithLabelValues(testPool)))
}

// took runs the simulation until a submission is over, and returns how long that took.
func (sim *simulation) took(id workflow.JobID, limit time.Duration) time.Duration {
	begin := sim.now
	for !sim.state(id).Over() && sim.now < begin+limit {
		sim.run(20 * time.Millisecond)
	}
	return sim.now - begin
}

// Guards against an urgent task that waits for the memory of long best-effort tasks, or for the processors that tasks of a lower
// priority reserve, and against stops that lose the work of tasks that save no progress.
func TestUrgentTaskGetsRoomOfLongTasks(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ bestEffort, saves bool }{{true, true}, {false, true}, {true, false}} {
		filler, urgent := fillerStep(16, 20*time.Second), urgentStep(2, 1500)
		filler.BestEffort, filler.Checkpoints = test.bestEffort, test.saves
		if !test.saves {
			// Worth more than the work that a stop would lose.
			urgent.Estimate = 4 * time.Second
		}
		sim, m := newCompetition(t, 1, 4, filler)
		assert.Equal(t, 16, sim.runningTasks())
		sim.submit("urgent", urgent)
		took := sim.took("urgent", 5*time.Second)
		t.Logf("%+v: took %v, %d preempted", test, took, preempted(m))
		if !test.saves {
			assert.False(t, sim.state("urgent").Over())
			assert.Zero(t, preempted(m))
			continue
		}
		assert.Less(t, took, 2600*time.Millisecond, "the objective")
		assert.Equal(t, 2, preempted(m))
		sim.run(25 * time.Second)
		assert.Equal(t, workflow.Done, sim.state("low-0"), "those that were stopped end, too")
	}
}

// Shows what preemption cannot do: best-effort tasks hold no processors that urgent ones reserve, and where services
// reserve all of them, the end of every best-effort task leaves no room.
func TestBestEffortTasksHoldNoProcessorsThatUrgentTasksLack(t *testing.T) {
	busy := fillerStep(8, 20*time.Second)
	busy.Size = resource.Vector{MilliCores: 4000, MemoryMB: 1000}
	sim, m := newCompetition(t, 1, 4, busy)
	sim.submit("urgent", urgentStep(16, 500))
	sim.run(200 * time.Millisecond)
	assert.Zero(t, len(slices.DeleteFunc(slices.Clone(sim.core.pending), func(t *task) bool { return t.job().terms.Priority > 0 })),
		"all processors are requested by best-effort tasks, and every urgent task is placed at once")
	assert.Zero(t, preempted(m))

	sim, m = newCompetition(t, 1, 4)
	sim.submit("service", workflow.Step{Count: 4, LongRunning: true, Size: resource.Vector{MilliCores: 3500, MemoryMB: 1000}})
	sim.run(500 * time.Millisecond)
	sim.submitLow("low", fillerStep(4, 20*time.Second))
	sim.run(1500 * time.Millisecond)
	sim.submit("urgent", urgentStep(1, 500))
	sim.run(3 * time.Second)
	assert.Equal(t, 1, len(sim.core.pending))
	assert.Zero(t, preempted(m))
	sim.cancel("low")
	sim.run(2 * time.Second)
	assert.Equal(t, 1, len(sim.core.pending), "without any best-effort task there is no room either")
}

// Shows when preemption is not needed, and guards against stops there: of hundreds of best-effort tasks of some seconds, some
// end in each plan, and their memory goes to the urgent task first.
func TestShortBestEffortTasksAreNotStopped(t *testing.T) {
	t.Parallel()
	const workers, submissions = 60, 12
	for _, saves := range []bool{false, true} {
		var filler []workflow.Step
		for i := range 30 {
			s := fillerStep(60, time.Duration(1200+i*7%20*100)*time.Millisecond)
			s.Checkpoints = saves
			filler = append(filler, s)
		}
		sim, m := newCompetition(t, 1, workers, filler...)
		assert.Equal(t, 4*workers, sim.runningTasks())
		sum, longest := time.Duration(0), time.Duration(0)
		for i := range submissions {
			id := workflow.JobID(fmt.Sprintf("urgent-%d", i))
			sim.submit(id, urgentStep(10, 1500))
			took := sim.took(id, 5*time.Second)
			sum, longest = sum+took, max(longest, took)
		}
		t.Logf("saves progress: %v, mean %v, longest %v, %d preempted", saves, sum/submissions, longest, preempted(m))
		assert.Less(t, longest, 1800*time.Millisecond, "the objective is 2.6 s")
		assert.LessOrEqual(t, preempted(m), 4)
	}
}

// Guards against a task that is stopped again and again.
func TestTaskIsStoppedOnceForOthers(t *testing.T) {
	sim, m := newCompetition(t, 4, 1, fillerStep(4, 60*time.Second))
	for i := range 10 {
		sim.submit(workflow.JobID(fmt.Sprintf("urgent-%d", i)), urgentStep(1, 1500))
		sim.run(2 * time.Second)
	}
	assert.Equal(t, 4, preempted(m))
}

// Guards against a flood of stops, and against stops that get lost with calls or with the owner.
func TestPreemptionIsBounded(t *testing.T) {
	const seconds = 12
	sim, m := newCompetition(t, 3, 4, fillerStep(16, 20*time.Second))
	sim.callLossShare = 0.1
	// The second part meets tasks that were stopped in the first.
	for part := range 2 {
		before := preempted(m)
		for i := range seconds {
			sim.submit(workflow.JobID(fmt.Sprintf("urgent-%d", part*seconds+i)), urgentStep(8, 1500))
			sim.run(time.Second)
			if i == seconds/2 {
				sim.loseOwner()
				sim.core.metrics = m
			}
		}
		t.Logf("part %d: %d preempted in %d s", part, preempted(m)-before, seconds)
		assert.Greater(t, preempted(m), 2)
		assert.LessOrEqual(t, preempted(m)-before, seconds+4)
	}
	for _, j := range sim.core.jobs {
		for _, r := range j.rounds {
			for _, s := range r.steps {
				for _, other := range s.tasks {
					assert.LessOrEqual(t, other.preemptions, maxPreemptions)
				}
			}
		}
	}
	sim.callLossShare = 0
	sim.run(50 * time.Second)
	assert.Equal(t, workflow.Done, sim.state("low-0"))
	for i := range 2 * seconds {
		assert.Equal(t, workflow.Done, sim.state(workflow.JobID(fmt.Sprintf("urgent-%d", i))))
	}
}

// Guards against stops of a copy or of its original. A copy counts its own stops, so a task could be stopped beyond the bound.
func TestCopiesAreNotPreempted(t *testing.T) {
	sim := newCopySimulation(t, 1)
	m := NewMetrics(prometheus.NewRegistry())
	sim.core.metrics = m
	step := speculativeStep(1)
	step.Checkpoints, step.Size.MemoryMB = true, 10_000
	original, k := sim.runUntilCopied(step)
	original.job().terms.Priority = 2
	filler := batchStep(6, 20*time.Second)
	filler.Size.MemoryMB, filler.MaxPerWorker = 89_000, 1
	sim.submitLow("filler", filler)
	sim.run(200 * time.Millisecond)
	sim.submit("urgent", urgentStep(6, 11_000))
	sim.run(600 * time.Millisecond)
	assert.Equal(t, workflow.Placed, original.phase)
	assert.Equal(t, workflow.Placed, k.phase)
	assert.True(t, slices.ContainsFunc(sim.core.pending, func(t *task) bool { return t.job().terms.Priority == 0 }), "an urgent task lacks room")
	assert.Zero(t, preempted(m))
}

// Guards against a bound on stops that grows with the services of a pool, which are never stopped.
func TestServicesDoNotRaiseTheBoundOnStops(t *testing.T) {
	t.Parallel()
	const workers = 12
	service := workflow.Step{Count: 50 * workers, LongRunning: true, Size: resource.Vector{MilliCores: 10, MemoryMB: 1}}
	sim, m := newCompetition(t, 1, workers)
	sim.submit("service", service)
	sim.run(2 * time.Second)
	assert.Equal(t, service.Count, sim.countRuns("service", false))
	filler := fillerStep(4*workers, 20*time.Second)
	filler.Size = resource.Vector{MilliCores: 500, MemoryMB: 1900}
	sim.submitLow("low", filler)
	sim.run(1200 * time.Millisecond)
	assert.Equal(t, service.Count+filler.Count, sim.runningTasks())
	sim.submit("urgent", urgentStep(workers, 1500))
	sim.run(900 * time.Millisecond)
	t.Logf("%d preempted", preempted(m))
	assert.Positive(t, preempted(m))
	assert.LessOrEqual(t, preempted(m), 3, "two at once and one a second")
}

// Guards against progress from before a takeover or a checkpoint that counts as made since: until the next percent, a task with two
// minutes left then seems to end at once, so nothing is stopped for the urgent one.
func TestResumedTasksDoNotSeemToEndSoon(t *testing.T) {
	t.Parallel()
	// A percent takes 2 s.
	for offset := time.Duration(0); offset < 2*time.Second; offset += 500 * time.Millisecond {
		sim, _ := newCompetition(t, 1, 4, fillerStep(16, 200*time.Second))
		sim.run(60*time.Second + offset)
		sim.loseOwner()
		m := NewMetrics(prometheus.NewRegistry())
		sim.core.metrics = m
		sim.run(300 * time.Millisecond)
		sim.submit("urgent", urgentStep(2, 1500))
		took := sim.took("urgent", 5*time.Second)
		t.Logf("offset %v: took %v, %d preempted", offset, took, preempted(m))
		assert.Less(t, took, 2600*time.Millisecond, "the objective")
		assert.Equal(t, 2, preempted(m))
	}
}

// Guards against decisions by estimates where the durations are learned: without an estimate, an urgent task is worth no stop.
func TestPreemptionUsesLearnedDurations(t *testing.T) {
	sim, m := newCompetition(t, 1, 4)
	urgent := urgentStep(2, 1500)
	urgent.Image, urgent.Estimate = "urgent", 0
	sim.workTime = func(_ *fakeWorker, _ Attempt, s *workflow.Step) time.Duration {
		return max(s.Estimate, 800*time.Millisecond)
	}
	for i := range 10 {
		sim.submit(workflow.JobID(fmt.Sprintf("earlier-%d", i)), urgent)
	}
	sim.run(4 * time.Second)
	sim.submitLow("low", fillerStep(16, 20*time.Second))
	sim.run(1200 * time.Millisecond)
	sim.submit("urgent", urgent)
	took := sim.took("urgent", 5*time.Second)
	t.Logf("took %v, %d preempted", took, preempted(m))
	assert.Less(t, took, 2600*time.Millisecond, "the objective")
	assert.Equal(t, 2, preempted(m))
}

// newRackCompetition returns a simulation with long tasks of a lower priority on four workers in four racks, near their data.
func newRackCompetition(t *testing.T) (*simulation, *Metrics) {
	const workers = 4
	sim, m := newCompetition(t, 1, workers)
	sim.remoteSlowdown, sim.params.RemoteSlowdown, sim.core.params.RemoteSlowdown = testSlowdown, testSlowdown, testSlowdown
	for i := range workers {
		sim.workers[fmt.Sprintf("w%03d", i)].rack = rackName(i)
	}
	sim.listWorkers()
	for i := range workers {
		s := fillerStep(4, 20*time.Second)
		s.DataRack = rackName(i)
		sim.submitLow(workflow.JobID(fmt.Sprintf("low-%d", i)), s)
		sim.run(500 * time.Millisecond)
	}
	sim.run(time.Second)
	assert.Equal(t, 4*workers, sim.runningTasks())
	return sim, m
}

// Guards against stops on workers away from the data of the urgent task, where it would be late.
func TestPreemptionMakesRoomNearTheData(t *testing.T) {
	for rack := range 4 {
		sim, m := newRackCompetition(t)
		urgent := urgentStep(1, 1500)
		urgent.DataRack = rackName(rack)
		sim.submit("urgent", urgent)
		took := sim.took("urgent", 8*time.Second)
		t.Logf("rack %d: took %v, %d preempted", rack, took, preempted(m))
		assert.Less(t, took, 2600*time.Millisecond, "the objective")
		assert.Equal(t, 1, preempted(m))
	}
}

// Guards against an urgent task that waits for its rack when others were stopped for it elsewhere: they took the room back, and more
// were stopped.
func TestUrgentTaskTakesTheRoomThatWasMade(t *testing.T) {
	for rack := range 4 {
		sim, m := newRackCompetition(t)
		for _, w := range sim.core.workers {
			for range 30 {
				w.freed.Observe(sim.now, 1000)
			}
		}
		terms := testConfig().Queues[0].Terms
		terms.Queue, terms.Allowance = "in-time-in-any-rack", 5*time.Second
		urgent := urgentStep(1, 1500)
		urgent.DataRack = rackName(rack)
		sim.submitOn(terms, "urgent", urgent)
		sim.run(time.Second)
		assert.Equal(t, 1, sim.countRuns("urgent", false), "rack %d", rack)
		assert.Equal(t, 1, preempted(m), "rack %d", rack)
	}
}

// Guards against stops while the log is away: neither the urgent tasks nor those that were stopped for them could start.
func TestNothingIsPreemptedWhileTheLogIsAway(t *testing.T) {
	sim, m := newCompetition(t, 1, 8, fillerStep(32, 20*time.Second))
	sim.logDown = true
	sim.submit("first", urgentStep(2, 1500))
	sim.run(time.Second)
	stops := preempted(m)
	assert.Positive(t, stops, "not known yet")
	sim.run(500 * time.Millisecond)
	stops = preempted(m)
	for i := range 3 {
		sim.submit(workflow.JobID(fmt.Sprintf("urgent-%d", i)), urgentStep(2, 1500))
		sim.run(time.Second)
	}
	assert.Equal(t, stops, preempted(m))
	sim.logDown = false
	sim.run(300 * time.Millisecond)
	sim.submit("last", urgentStep(2, 1500))
	sim.run(time.Second)
	t.Logf("%d preempted, then %d", stops, preempted(m))
	assert.Greater(t, preempted(m), stops, "the log is back")
}

// Guards against stops on workers that the urgent task avoids for a while, where it does not take the room.
func TestPreemptionSparesAvoidedWorkers(t *testing.T) {
	sim, m := newCompetition(t, 1, 2, fillerStep(8, 20*time.Second))
	sim.core.workers["w000"].health.Failed(sim.now, sim.now, &sim.core.health.usual, "earlier", false)
	sim.submit("urgent", urgentStep(1, 1500))
	urgent := sim.core.jobs["urgent"].rounds[0].steps[0].tasks[0]
	urgent.failures = urgent.job().terms.MaxAttempts - 1
	took := sim.took("urgent", 5*time.Second)
	t.Logf("took %v, %d preempted", took, preempted(m))
	assert.Less(t, took, 2600*time.Millisecond, "the objective")
	assert.Equal(t, 1, preempted(m))
}

// Guards against a log line of each of two preempted tasks with the work that both lose together.
func TestLostWorkIsLoggedByTask(t *testing.T) {
	small, large := fillerStep(1, 20*time.Second), fillerStep(3, 20*time.Second)
	small.Size.MilliCores = 400
	sim, m := newCompetition(t, 1, 1, small, large)
	var out strings.Builder
	sim.core.logger = slog.New(slog.NewTextHandler(&out, nil))
	sim.submit("urgent", urgentStep(1, 3500))
	sim.took("urgent", 5*time.Second)
	assert.Equal(t, 2, preempted(m))
	lost := map[string]float64{}
	for _, match := range regexp.MustCompile(`msg="task preempted" task=(\S+) .*lost_core_ms=(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		lost[match[1]], _ = strconv.ParseFloat(match[2], 64)
	}
	t.Log(lost)
	var values []float64
	for _, v := range lost {
		values = append(values, v)
	}
	slices.Sort(values)
	require.Len(t, values, 2)
	assert.InDelta(t, 400.0/1000, values[0]/values[1], 0.2, "both ran for the same time, on 400 and 1000 thousandths of a core")
}
