package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Measures what a closed data centre adds to the owner of a large fleet four times a second (moves) and every 2 s (load),
// while 20,000 best-effort tasks of 500 sizes wait and the other data centres are full.
func BenchmarkClosedDataCentre(b *testing.B) {
	const workers, services, waiting = 890, 140, 1000
	f := newFleet(1, fleetLoad{})
	c := f.core
	for i := range workers {
		id := fleetWorkerID(i)
		c.SetMember(f.now, Member{Incarnation: Incarnation{ID: id, StartedAt: 1}, Pool: testPool, Addr: id,
			DataCentre: fmt.Sprintf("dc%d", i%4), Capacity: fleetCapacity})
		c.workers[id].fenced = true
	}
	for range services {
		f.submit(workflow.Step{Count: 24, LongRunning: true, DisruptionBudget: 2, MaxPerWorker: 1,
			Size: resource.Vector{MilliCores: 13000, MemoryMB: 26000}})
	}
	for len(c.pending) > 0 {
		f.now += noRoomRetryInterval
		c.Plan(f.now)
	}
	for _, w := range c.workers {
		for t := range w.tasks {
			t.startState, t.reported, t.percent = startSettled, true, completePercent
		}
	}
	for i := range waiting {
		f.submit(workflow.Step{Count: 20, BestEffort: true, Image: "x", Estimate: time.Hour,
			Size: resource.Vector{MilliCores: 7000, MemoryMB: 300_000 + int64(i/2)}})
	}
	for _, t := range c.pending {
		t.unplaced = unplacedNoWorker
	}
	f.now += time.Second
	c.SetClosed(f.now, evacuation.Set{"dc0": {}})
	require.NotEmpty(b, c.movable())
	b.Run("moves", func(b *testing.B) {
		for b.Loop() {
			c.nextMoves = 0
			c.moveOut(f.now)
		}
	})
	b.Run("load", func(b *testing.B) {
		for b.Loop() {
			c.newClosedLoad()
		}
	})
}
