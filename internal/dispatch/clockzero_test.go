package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a lease far longer than the owner counts: the first reading of a worker's clock is 0, and counts as none.
func TestLeaseByAFirstClockReadingOfZero(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.pinnedCalls, sim.holdsCalls = true, true
	sim.run(20 * time.Second)
	delete(sim.workers, "a")
	sim.takeOver()
	f := sim.addWorker("a")
	sim.core.SetMember(sim.now, sim.member(f))
	sim.core.Act(sim.now)
	for _, o := range sim.core.Orders() {
		if l, ok := o.(LeaseOrder); ok {
			require.Zero(t, sim.clock(f))
			sim.core.LeaseAnswered(sim.now, sim.now, l, sim.list(f))
		}
	}
	sim.submit("0000000000000001", batchStep(1, 30*time.Second))
	for range 60 {
		sim.run(tick)
		remaining := f.leaseUntil - sim.clock(f)
		assert.LessOrEqual(t, remaining, sim.core.workers["a"].leaseEnd-sim.now)
	}
	assert.NotEmpty(t, f.running)
}
