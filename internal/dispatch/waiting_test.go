package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Services that wait for workers are reported with what the last plan found and with the room that there is.
func TestWaitingServicesAreReported(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	large := workflow.Step{Count: 2, Size: resource.Vector{MilliCores: 3000, MemoryMB: 100}, LongRunning: true}
	sim.submit("service", large)
	sim.run(2 * time.Second)
	sim.workers["a"].disconnected = true
	sim.run(10 * time.Second)
	s := sim.core.newWaitingServices(sim.now)["pool"]
	require.NotNil(t, s)
	assert.Equal(t, 1, s.tasks)
	assert.Equal(t, map[string]int{"no-worker": 1}, s.byReason)
	assert.Equal(t, map[string]int{"unschedulable": 1}, s.fitting, "only the lost worker has room")
	assert.Equal(t, int64(1000), s.largest)
	assert.GreaterOrEqual(t, s.oldest, sim.params.Lease)
}
