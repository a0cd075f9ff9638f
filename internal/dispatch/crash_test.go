package dispatch

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// crashBound is the number of workers after whose crash a task must not be started again. A submission may be given up
// after two crashes; usualCrashBound allows one more.
const (
	crashBound      = 5
	usualCrashBound = 3
)

var smallTask = resource.Vector{MilliCores: 500, MemoryMB: 100}

// sound submits short submissions, two a second, that must all succeed.
func (sim *simulation) sound(n int) []workflow.JobID {
	var ids []workflow.JobID
	for i := range n {
		id := workflow.JobID(fmt.Sprintf("sound%d", i))
		ids = append(ids, id)
		sim.schedule(time.Duration(i)*500*time.Millisecond, func() {
			sim.submit(id, workflow.Step{Count: 3, Size: smallTask, Estimate: 800 * time.Millisecond})
		})
	}
	return ids
}

func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	step := workflow.Step{Count: 2, Size: smallTask, Estimate: time.Second}
	lasting, gang := step, step
	lasting.LongRunning, gang.Gang = true, true
	for name, test := range map[string]struct {
		step        workflow.Step
		delay       time.Duration
		keepsID     bool
		downtime    time.Duration
		takeOvers   []time.Duration
		mostCrashes int
		silent      bool
		unnamed     bool
	}{
		"short":                    {step: step},
		"long-running":             {step: lasting},
		"silent":                   {step: step, silent: true, mostCrashes: crashBound},
		"before the answer":        {step: step, delay: time.Millisecond, mostCrashes: crashBound},
		"gang":                     {step: gang},
		"same id":                  {step: step, keepsID: true},
		"same id, unnamed answers": {step: step, keepsID: true, unnamed: true},
		"back after the lease":     {step: step, downtime: 8 * time.Second},
		"crash after a second":     {step: lasting, delay: time.Second, mostCrashes: crashBound},
		"owner lost between":       {step: step, takeOvers: []time.Duration{7 * time.Second}},
		"owner lost after a crash": {step: step, takeOvers: []time.Duration{100 * time.Millisecond}},
		"owner lost twice": {step: lasting, mostCrashes: crashBound,
			takeOvers: []time.Duration{100 * time.Millisecond, 9 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 1, 8)
			sim.keepsID, sim.silentCrashes, sim.unnamedAnswers = test.keepsID, test.silent, test.unnamed
			if test.downtime > 0 {
				sim.downtime = test.downtime
			}
			deadly := workflow.TaskID{Job: "deadly", Index: 1}
			sim.crashDelays = map[workflow.TaskID]time.Duration{deadly: cmp.Or(test.delay, 10*time.Millisecond)}
			sound := sim.sound(60)
			sim.run(2 * time.Second)
			start := sim.now
			sim.submit("deadly", test.step)
			for _, at := range test.takeOvers {
				sim.run(start + at - sim.now)
				sim.takeOver()
			}
			sim.run(start + time.Minute - sim.now)
			assert.Equal(t, workflow.Failed, sim.state("deadly"))
			assert.LessOrEqual(t, sim.crashes[deadly], max(test.mostCrashes, usualCrashBound))
			for _, id := range sound {
				assert.Equal(t, workflow.Done, sim.state(id), "%s must not be blamed", id)
			}
		})
	}
}

func TestSoundTasksOnCrashingWorkersAreNotGivenUp(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 2, 12)
	sim.submit("service", workflow.Step{Count: 12, Size: smallTask, Estimate: time.Second, LongRunning: true})
	sound := sim.sound(80)
	for range 3 {
		sim.run(11 * time.Second)
		for i := range 6 {
			if f := sim.workers[string(rune('a'+i))]; f != nil {
				sim.keepsID = true
				sim.crash(f)
			}
		}
	}
	sim.run(30 * time.Second)
	assert.Equal(t, workflow.Running, sim.state("service"))
	for _, id := range sound {
		assert.Equal(t, workflow.Done, sim.state(id), id)
	}
}

func TestSuspectsOutliveTheOwner(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	deadly := workflow.TaskID{Job: "deadly"}
	sim.crashDelays = map[workflow.TaskID]time.Duration{deadly: 10 * time.Millisecond}
	sim.submit("deadly", workflow.Step{Count: 1, Size: smallTask, Estimate: time.Second})
	sim.run(5 * time.Second)
	sim.takeOver()
	task := sim.core.jobs["deadly"].rounds[0].steps[0].tasks[0]
	assert.Equal(t, 1, task.crashes.Total)
	assert.Equal(t, blameAlone, task.crashes.Blame)
}

func TestTasksOfWorkersThatWereCutOffAreNotGivenUp(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.submit("service", workflow.Step{Count: 1, Size: smallTask, Estimate: time.Second, LongRunning: true})
	for range 5 {
		sim.run(time.Second)
		for _, f := range sim.workers {
			f.disconnected = len(f.running) > 0
		}
		sim.run(8 * time.Second)
		for id, f := range sim.workers {
			if f.disconnected {
				sim.restart(id)
			}
		}
	}
	assert.Equal(t, workflow.Running, sim.state("service"))
}

func TestStartsToADeadWorkerRaiseNoSuspicion(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(time.Second)
	dead := sim.workers["a"]
	delete(sim.workers, "a")
	sim.delayLeaseCalls(100 * time.Millisecond)
	sim.submit("sound", workflow.Step{Count: 1, Size: smallTask, Estimate: time.Second})
	sim.run(200 * time.Millisecond)
	task := sim.core.jobs["sound"].rounds[0].steps[0].tasks[0]
	assert.Equal(t, workflow.Placed, task.phase)
	sim.workers["a2"] = &fakeWorker{id: "a2", addr: dead.addr, startedAt: dead.startedAt + 5000, bornAt: sim.now}
	sim.run(2 * time.Second)
	assert.Zero(t, task.crashes)
}
