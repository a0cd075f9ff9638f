package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// wrongEstimate returns an estimate for a duration that is wrong by up to 0.9, or 0 for one of five.
func wrongEstimate(sim *simulation, actual time.Duration) time.Duration {
	if sim.rng.IntN(5) == 0 {
		return 0
	}
	return time.Duration((0.1 + 1.8*sim.rng.Float64()) * float64(actual))
}

// newWrongEstimates returns a simulation in which 40 submissions of the images fast (200 ms a task) and slow (1 s) have run,
// whose estimates were wrong. 3 tasks in 100 took 7 times as long.
func newWrongEstimates(t *testing.T) *simulation {
	sim := newSimulation(t, 1, 6)
	sim.workTime = func(_ *fakeWorker, _ Attempt, s *workflow.Step) time.Duration {
		d := time.Second
		if s.Image == "fast" {
			d = 200 * time.Millisecond
		}
		if sim.rng.IntN(100) < 3 {
			d *= 7
		}
		return d
	}
	for i := range 40 {
		for image, actual := range map[string]time.Duration{"fast": 200 * time.Millisecond, "slow": time.Second} {
			s := batchStep(2, wrongEstimate(sim, actual))
			s.Image = image
			sim.submit(workflow.JobID(fmt.Sprintf("%s-%d", image, i)), s)
		}
		sim.run(400 * time.Millisecond)
	}
	return sim
}

// Guards against an order of placement by estimates that are wrong or missing: a submission that has less time would wait
// behind one that has more.
func TestOrderFollowsLearnedDurations(t *testing.T) {
	sim := newWrongEstimates(t)
	fast, slow := batchStep(1, 380*time.Millisecond), batchStep(1, 100*time.Millisecond)
	fast.Image, slow.Image = "fast", "slow"
	unknown := slow
	unknown.Estimate = 0
	sim.submit("slow", slow)
	sim.submit("unknown", unknown)
	sim.submit("fast", fast)
	chain := func(id workflow.JobID) float64 { return sim.core.jobs[id].rounds[0].steps[0].path.Seconds() }
	assert.InDelta(t, 0.2, chain("fast"), 0.1)
	assert.InDelta(t, 1, chain("slow"), 0.5)
	assert.InDelta(t, 1, chain("unknown"), 0.3)
	first := func(id workflow.JobID) *task { return sim.core.jobs[id].rounds[0].steps[0].tasks[0] }
	f, s := first("fast").newRank(sim.now), first("slow").newRank(sim.now)
	assert.Negative(t, f.compare(&s), "the submission with less time is placed first")
	// The objective is 2 times the chain plus 1 s.
	assert.InDelta(t, 2*chain("fast")+1, sim.core.jobs["fast"].latencyObjective.Seconds(), 0.001)
}

// Guards against work that takes scarce room although it can no longer be in time.
func TestWorkThatCannotBeInTimeIsLate(t *testing.T) {
	sim := newWrongEstimates(t)
	slow := batchStep(1, 0)
	slow.Image = "slow"
	unknown := batchStep(1, 0)
	unknown.Image = "new"
	sim.submit("slow", slow)
	sim.submit("unknown", unknown)
	for id, tier := range map[workflow.JobID]int{"slow": tierLate, "unknown": tierOnTime} {
		j := sim.core.jobs[id]
		first := j.rounds[0].steps[0].tasks[0]
		assert.Equal(t, tierOnTime, first.tier(j.objectiveAt-2*time.Second))
		assert.Equal(t, tier, first.tier(j.objectiveAt-300*time.Millisecond), id)
	}
}

// Guards against a submission whose objective stays that of its first prediction while it waits.
func TestObjectiveOfWaitingWorkFollowsWhatIsLearned(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.workTime = func(*fakeWorker, Attempt, *workflow.Step) time.Duration { return 400 * time.Millisecond }
	first := batchStep(100, 4*time.Second)
	sim.submit("first", first)
	sim.run(200 * time.Millisecond)
	late := batchStep(1, 0)
	sim.submit("late", late)
	require.InDelta(t, 1, sim.core.jobs["late"].latencyObjective.Seconds(), 0.001, "nothing is known yet")
	deadline := sim.core.jobs["first"].objectiveAt
	sim.run(3 * time.Second)
	assert.Less(t, sim.core.jobs["first"].objectiveAt, deadline-2*time.Second)
	sim.takeOver()
	assert.Equal(t, deadline, sim.core.jobs["first"].objectiveAt, "a successor starts from the estimates")
}

// Guards against durations that are not those of whole tasks: the attempt was throttled, resumed or moved, its start or end was
// read late, or its worker was slow or far from its data.
func TestDisturbedTasksAreNotLearned(t *testing.T) {
	onlyTask := func(sim *simulation) *task { return sim.core.jobs["j"].rounds[0].steps[0].tasks[0] }
	for name, c := range map[string]struct {
		step   func(*workflow.Step)
		before func(*simulation)
		during func(*simulation)
		learns int
	}{
		"undisturbed": {learns: 1},
		"throttled": {during: func(sim *simulation) {
			onlyTask(sim).targetCPULimit = 50
			sim.core.orderCPULimit(onlyTask(sim))
		}},
		"resumed":   {before: func(sim *simulation) { onlyTask(sim).checkpoint = "half" }},
		"moved":     {before: func(sim *simulation) { onlyTask(sim).evictions = 1 }},
		"successor": {during: func(sim *simulation) { sim.takeOver() }},
		"silent worker": {during: func(sim *simulation) {
			sim.workers["a"].disconnected = true
			sim.run(400 * time.Millisecond)
			sim.workers["a"].disconnected = false
		}},
		"unanswered start": {before: func(sim *simulation) { onlyTask(sim).hadUnansweredStart = true }},
		"cold worker": {before: func(sim *simulation) {
			m := sim.member(sim.workers["a"])
			m.ColdFor = time.Second
			sim.core.SetMember(sim.now, m)
		}},
		"far from its data": {step: func(s *workflow.Step) { s.DataRack = "elsewhere" }},
		"gang":              {step: func(s *workflow.Step) { s.Gang = true }},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.run(300 * time.Millisecond)
			s := batchStep(1, time.Second)
			s.BestEffort, s.Image = true, "x"
			if c.step != nil {
				c.step(&s)
			}
			sim.submit("j", s)
			if c.before != nil {
				c.before(sim)
			}
			sim.run(500 * time.Millisecond)
			if c.during != nil {
				c.during(sim)
			}
			sim.run(2 * time.Second)
			require.Equal(t, workflow.Done, sim.state("j"))
			assert.Equal(t, c.learns, sim.core.durations.Kinds())
		})
	}
}
