package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against services that leave a closed data centre and take the room that short tasks need a moment later: a fleet
// whose services reserve three fifths of its processors loses a quarter of its workers.
func TestMovesLeaveRoomForShortTasks(t *testing.T) {
	t.Parallel()
	const (
		workers, services  = 200, 54
		rate               = 5.7
		calm, closed       = 8 * time.Second, 30 * time.Second
		workerCores, tasks = 40_000, 10
		estimate           = 800 * time.Millisecond
	)
	f := newFleet(1, fleetLoad{})
	c := f.core
	for i := range workers {
		id := fleetWorkerID(i)
		f.workers[id] = &fleetWorker{member: Member{Incarnation: Incarnation{ID: id, StartedAt: 1}, Pool: testPool, Addr: id,
			DataCentre: fmt.Sprintf("dc%d", i%4), Capacity: resource.Vector{MilliCores: workerCores, MemoryMB: 160_000}}}
		c.SetMember(f.now, f.workers[id].member)
	}
	start := f.now
	f.scheduleSteps(start + calm + closed)
	f.runUntil(start + time.Second)
	for i := range services {
		f.submit(workflow.Step{Count: 14, LongRunning: true, DisruptionBudget: 2, Image: fmt.Sprintf("service-%d", i%fleetServiceImages),
			Objective: tailObjective, Size: resource.Vector{MilliCores: 6400, MemoryMB: 8000}})
	}
	f.scheduleRate(calm+closed-2*time.Second, rate, func() {
		s := workflow.Step{Count: tasks, Size: resource.Vector{MilliCores: 5300, MemoryMB: 4000}, Estimate: estimate}
		second := s
		second.After = []int{0}
		f.submit(s, second)
	})
	f.runUntil(start + calm)
	inClosed := func() int {
		n := 0
		for _, w := range f.workers {
			for _, r := range w.running {
				if r.step.LongRunning && w.member.DataCentre == "dc0" {
					n++
				}
			}
		}
		return n
	}
	before := inClosed()
	require.NotZero(t, before)
	c.SetClosed(f.now, evacuation.Set{"dc0": {}})
	f.runUntil(start + calm + closed)
	assert.Less(t, inClosed(), before, "some find room elsewhere")
	assert.Zero(t, c.lastShortage, "short tasks found no room")
}
