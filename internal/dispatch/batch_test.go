package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against a start whose placement was made while an earlier batch was on its way to the log.
func TestStartWaitsForTheBatchWithItsPlacement(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(200 * time.Millisecond)
	sim.assumeHeard()
	starts := func() (jobs []workflow.JobID) {
		for _, o := range sim.core.Orders() {
			if s, ok := o.(StartOrder); ok {
				jobs = append(jobs, s.Call.Task.Job)
			}
		}
		return jobs
	}
	plan := func(id workflow.JobID) {
		sim.submit(id, batchStep(1, time.Second))
		sim.now += 2 * minPlanInterval
		sim.core.Plan(sim.now)
		require.NotEmpty(t, sim.core.uncommitted)
	}
	plan("a")
	first := sim.core.TakeBatch()
	plan("b")
	assert.Empty(t, starts())
	sim.core.Committed(sim.now, first.ID)
	assert.Equal(t, []workflow.JobID{"a"}, starts())
	second := sim.core.TakeBatch()
	assert.Empty(t, starts())
	sim.core.Committed(sim.now, second.ID)
	assert.Equal(t, []workflow.JobID{"b"}, starts())
}
