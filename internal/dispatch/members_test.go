package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/queue"
)

// Guards against calls to the address in an entry of another writer: its pool is in no configuration.
func TestWorkersOfUnknownPoolsAreNotCalled(t *testing.T) {
	sim := newSimulation(t, 1, 0)
	known := testConfig()
	known.Pools = map[string]queue.Pool{"pool": {}}
	sim.core.Configure(known)
	sim.core.SetMember(sim.now, Member{Incarnation: Incarnation{ID: "odd", StartedAt: 1}, Pool: "elsewhere", Addr: "a"})
	sim.core.SetMember(sim.now, Member{Incarnation: Incarnation{ID: "sound", StartedAt: 1}, Pool: "pool", Addr: "b"})
	called := func() (ids []string) {
		sim.now += time.Second
		sim.core.Act(sim.now)
		for _, o := range sim.core.Orders() {
			ids = append(ids, orderMember(o).ID)
		}
		return ids
	}
	assert.Equal(t, []string{"sound"}, called())
	known = testConfig()
	known.Pools = map[string]queue.Pool{"pool": {}, "elsewhere": {}}
	sim.core.Configure(known)
	assert.Equal(t, []string{"odd"}, called(), "the pool is configured now")
}
