package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against tasks that run twice, and workers that get no more tasks: the clock of a worker was set back before it
// restarted, so its start is earlier than that of the incarnation before.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		unnamed, entryFirst, oldEntryAgain, takeOver bool
	}{
		"answer first":      {},
		"unnamed":           {unnamed: true},
		"entry first":       {entryFirst: true},
		"old entry again":   {oldEntryAgain: true},
		"owner lost":        {takeOver: true},
		"owner lost, again": {takeOver: true, oldEntryAgain: true},
	} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				sim := newSimulation(t, seed, 2)
				sim.unnamedAnswers = test.unnamed
				sim.capacity = resource.Vector{MilliCores: 40000, MemoryMB: 80000}
				for _, f := range sim.workers {
					f.capacity = sim.capacity
				}
				sim.listWorkers()
				sim.run(7 * time.Second)
				before := sim.member(sim.workers["a"])
				entryRead := heartbeat
				if test.entryFirst {
					entryRead = 0
				}
				restarted := sim.restartUnlisted("a", entryRead)
				restarted.startedAt = before.StartedAt - 1500
				// The entry is written once each heartbeat.
				sim.schedule(2*heartbeat, func() { sim.core.SetMember(sim.now, sim.member(restarted)) })
				sim.run(tick)
				sim.delayLeaseCalls(60 * time.Millisecond)
				sim.submit("0000000000000001", batchStep(8, 2*time.Second))
				sim.run(time.Second)
				if test.oldEntryAgain {
					sim.core.SetMember(sim.now, before)
				}
				if test.takeOver {
					sim.loseOwner()
				}
				sim.run(10 * time.Second)
				assert.Equal(t, workflow.Done, sim.state("0000000000000001"))
				sim.submit("0000000000000002", batchStep(8, 2*time.Second))
				sim.run(time.Second)
				assert.NotEmpty(t, restarted.running, "the restarted worker gets no tasks")
			})
		}
	}
}
