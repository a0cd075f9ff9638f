package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// exclude excludes a worker for 12 s, as after two earlier exclusions.
func (sim *simulation) exclude(id string) {
	w := sim.core.workers[id]
	for _, before := range []time.Duration{9 * time.Second, 6 * time.Second, 0} {
		w.health.StalledTask(sim.now-before, sim.now-before)
	}
	sim.core.noteExcluded(sim.now, w)
}

func (sim *simulation) healthState(id string) workerhealth.State {
	return sim.core.workers[id].health.State(sim.now)
}

// newHealthSimulation returns a simulation of 8 workers that knows how long the tasks of the image x take. The tasks on the workers in
// the set slow take 5 times as long.
func newHealthSimulation(t *testing.T, slow map[string]bool) *simulation {
	sim := newSimulation(t, 1, 8)
	sim.holdsCalls = true
	sim.workTime = func(f *fakeWorker, _ Attempt, s *workflow.Step) time.Duration {
		if slow[f.id] {
			return 5 * s.Estimate
		}
		return s.Estimate
	}
	sim.run(200 * time.Millisecond)
	sim.learn()
	sim.core.metrics = NewMetrics(prometheus.NewRegistry())
	return sim
}

// load submits n submissions of short tasks, one each 100 ms, and calls check after each.
func (sim *simulation) load(n int, bestEffort bool, check func()) {
	for i := range n {
		s := speculativeStep(2)
		s.Speculative, s.BestEffort = false, bestEffort
		sim.submit(workflow.JobID(fmt.Sprint("load", sim.now, i)), s)
		sim.run(100 * time.Millisecond)
		check()
	}
}

// Guards against a slow worker that stays in use, and against one that gets everything at once when it may be used again.
func TestSlowWorkerIsExcludedAndProbed(t *testing.T) {
	slow := map[string]bool{}
	sim := newHealthSimulation(t, slow)
	slow["c"] = true
	begun := sim.now
	excludedAt := time.Duration(0)
	sim.load(30, false, func() {
		if excludedAt == 0 && sim.healthState("c") == workerhealth.Excluded {
			excludedAt = sim.now
		}
	})
	require.NotZero(t, excludedAt)
	t.Logf("excluded after %v", excludedAt-begun)
	assert.Less(t, excludedAt-begun, 2500*time.Millisecond, "1.25 s after its first tasks took twice as long at the latest")
	assert.Equal(t, 1.0, testutil.ToFloat64(sim.core.metrics.exclusions.WithLabelValues("slow")))
	delete(slow, "c")
	w, probed := sim.core.workers["c"], false
	sim.load(120, true, func() {
		if state := sim.healthState("c"); state == workerhealth.Probation {
			assert.LessOrEqual(t, w.probes(), w.health.Allowance())
			probed = probed || w.probes() > 0
		}
	})
	assert.True(t, probed)
	assert.Equal(t, workerhealth.Usable, sim.healthState("c"))
	assert.Empty(t, sim.core.health.bad)
}

// Guards against submissions that fail or wait because workers fail what they start or refuse starts although they renew leases.
func TestFailingAndRefusingWorkers(t *testing.T) {
	for name, fail := range map[string]func(*fakeWorker){
		"failing":  func(f *fakeWorker) { f.failsAttempts = true },
		"refusing": func(f *fakeWorker) { f.unhealthy = true },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newHealthSimulation(t, nil)
			fail(sim.workers["c"])
			sim.load(60, false, func() {})
			sim.run(6 * time.Second)
			for id := range sim.core.jobs {
				assert.Equal(t, workflow.Done, sim.state(id), "%s", id)
			}
			assert.Positive(t, testutil.ToFloat64(sim.core.metrics.exclusions.WithLabelValues(name)))
			assert.NotEqual(t, workerhealth.None, sim.core.workers["c"].health.Reason())
			sim.core.summarize(sim.now + summaryInterval)
			assert.Equal(t, 7.0, testutil.ToFloat64(sim.core.metrics.workers.WithLabelValues("usable")))
		})
	}
}

// Guards against a worker that gets everything at once each time it comes back, and against a single short cut that costs anything.
func TestOnlyAFlappingWorkerIsOnProbation(t *testing.T) {
	sim := newHealthSimulation(t, nil)
	cut := func() workerhealth.State {
		sim.workers["c"].disconnected = true
		for sim.core.workers["c"].failingSince == 0 {
			sim.run(tick)
		}
		sim.run(time.Second)
		sim.workers["c"].disconnected = false
		for sim.core.workers["c"].failingSince != 0 {
			sim.run(tick)
		}
		return sim.healthState("c")
	}
	assert.Equal(t, workerhealth.Usable, cut())
	sim.run(time.Second)
	assert.Equal(t, workerhealth.Probation, cut())
	sim.run(time.Second)
	assert.Equal(t, workerhealth.Excluded, cut())
}

// Guards against a worker that gets more starts although it answers none, and against one that is paused for a single lost call.
func TestUnansweredStartsPauseAWorker(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.submit("0000000000000001", batchStep(4, time.Second))
	var starts []StartOrder
	for len(starts) < 4 {
		sim.now += tick
		sim.storeBatches()
		sim.core.Plan(sim.now)
		sim.core.Act(sim.now)
		for _, o := range sim.core.Orders() {
			if s, ok := o.(StartOrder); ok {
				starts = append(starts, s)
				continue
			}
			sim.sendOrder(o)
		}
		for len(sim.events) > 0 && sim.events[0].at <= sim.now {
			e := sim.events[0]
			sim.events = sim.events[1:]
			e.do()
		}
	}
	sim.reportNoAnswer(sim.core, starts[0])
	assert.Equal(t, workerhealth.Usable, sim.healthState("a"))
	sim.reportNoAnswer(sim.core, starts[1])
	assert.Equal(t, workerhealth.Paused, sim.healthState("a"))
}

// Guards against an exclusion that keeps a submission waiting while there is room for it: no other worker has any.
func TestExcludedWorkerIsTheLastResort(t *testing.T) {
	for name, change := range map[string]func(*workflow.Step){
		"short":       func(*workflow.Step) {},
		"best effort": func(s *workflow.Step) { s.BestEffort = true },
		"gang":        func(s *workflow.Step) { s.Gang = true },
		"service":     func(s *workflow.Step) { s.LongRunning = true },
	} {
		for _, on := range []string{"a", "b"} {
			t.Run(name+" on "+on, func(t *testing.T) {
				sim := newSimulation(t, 1, 8)
				for _, id := range []string{"c", "d", "e", "f", "g", "h"} {
					sim.workers[id].capacity.MemoryMB = 0
					sim.core.SetMember(sim.now, sim.member(sim.workers[id]))
				}
				sim.run(200 * time.Millisecond)
				sim.exclude("a")
				sim.exclude("b")
				if on == "b" {
					// One of them does not answer.
					sim.workers["a"].disconnected = true
				}
				s := batchStep(2, 5*time.Second)
				change(&s)
				sim.submit("0000000000000001", s)
				sim.run(lastResortWait - 50*time.Millisecond)
				assert.Zero(t, sim.runningTasks())
				sim.run(500 * time.Millisecond)
				assert.Positive(t, sim.runningTasks())
			})
		}
	}
}

// Guards against exclusions that take away the pool if all workers are slow at the same time, and that keep its work waiting.
func TestSlowPoolStaysInUse(t *testing.T) {
	slow := map[string]bool{}
	sim := newHealthSimulation(t, slow)
	for id := range sim.workers {
		slow[id] = true
	}
	sim.load(40, false, func() {
		usable := 0
		for id := range sim.workers {
			if sim.healthState(id) == workerhealth.Usable {
				usable++
			}
		}
		assert.GreaterOrEqual(t, usable, 6, "three quarters")
	})
	assert.GreaterOrEqual(t, len(sim.core.health.bad), 2)
}

// Guards against evidence from tasks that something else than their worker has slowed, and from answers that were late.
func TestWhatShowsPace(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*simulation, *worker, *task)
		shows  bool
	}{
		"usual":                {func(*simulation, *worker, *task) {}, true},
		"best effort":          {func(_ *simulation, _ *worker, k *task) { k.step.def.BestEffort = true }, true},
		"shared processors":    {func(_ *simulation, w *worker, k *task) { k.step.def.BestEffort, w.sharedAt = true, k.placedAt }, false},
		"CPU limit":            {func(_ *simulation, _ *worker, k *task) { k.step.def.BestEffort, k.cpuLimit = true, 50 }, false},
		"limited before":       {func(_ *simulation, _ *worker, k *task) { k.timed = false }, false},
		"unknown kind":         {func(_ *simulation, _ *worker, k *task) { k.step.known = false }, false},
		"being stopped":        {func(_ *simulation, _ *worker, k *task) { k.stopWanted = true }, false},
		"of an earlier owner":  {func(_ *simulation, _ *worker, k *task) { k.adopted = true }, false},
		"before the probation": {func(sim *simulation, w *worker, _ *task) { sim.exclude(w.ID); sim.now += 13 * time.Second }, false},
		"cold worker": {func(sim *simulation, w *worker, k *task) {
			w.coldUntil = sim.now + time.Second
			k.timed = k.isTimed(sim.now, "")
		}, false},
		"away from its data": {func(sim *simulation, _ *worker, k *task) {
			k.step.def.DataRack = "other"
			k.timed = k.isTimed(sim.now, "")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newHealthSimulation(t, nil)
			sim.submit(slowJob, speculativeStep(1))
			sim.run(100 * time.Millisecond)
			k := sim.firstTask()
			require.NotNil(t, k.worker)
			c.change(sim, k.worker, k)
			assert.Equal(t, c.shows, sim.core.showsPace(k.worker, k))
		})
	}
	w := &worker{}
	for i := range 50 {
		// The clock runs 2% slow.
		at := time.Minute + time.Duration(i)*100*time.Millisecond
		w.observeClock(at, time.Duration(0.98*float64(at)))
		assert.Less(t, w.answerAge, time.Millisecond)
	}
	at := time.Minute + 5*time.Second
	w.observeClock(at+400*time.Millisecond, time.Duration(0.98*float64(at)))
	assert.InDelta(t, 400, w.answerAge.Milliseconds(), 10, "late by 400 ms")
}

// Guards against exclusions that a successor takes over although nothing of them is stored.
func TestSuccessorStartsWithoutExclusions(t *testing.T) {
	sim := newHealthSimulation(t, nil)
	sim.exclude("c")
	sim.takeOver()
	sim.run(time.Second)
	assert.Empty(t, sim.core.health.bad)
	assert.Equal(t, workerhealth.Usable, sim.healthState("c"))
}
