package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

var start = time.Unix(5000, 0)

type cluster struct {
	now       time.Time
	allocator *SlotAllocator
	pools     map[string]*SlotPool
}

func newCluster(workers, slots int) *cluster {
	c := &cluster{now: start, allocator: NewSlotAllocator("d-0", 4, 3*time.Second), pools: map[string]*SlotPool{}}
	for i := range workers {
		id := instance.ID(fmt.Sprintf("w%02d", i))
		c.allocator.SetWorker(c.now, id, "127.0.0.1:1", "d", slots)
		c.allocator.ApplyLeaseReply(c.now, id, nil, nil)
	}
	return c
}

// round lets every gateway send one grant request, half a second after the last round. It returns the number of grants
// that changed.
func (c *cluster) round(demand map[string]int) (changed int) {
	c.now = c.now.Add(500 * time.Millisecond)
	for _, name := range sortedKeys(demand) {
		pool := c.pools[name]
		if pool == nil {
			pool = NewSlotPool()
			c.pools[name] = pool
		}
		epoch, generation := pool.CompliantGrant("d-0")
		reply := c.allocator.Grant(c.now, contract.GrantRequest{Shard: "d-0", Incarnation: instance.Incarnation(name),
			DataCentre: name[:1], Demand: demand[name], Epoch: epoch, Generation: generation})
		if pool.Apply(c.now, c.now, reply, false) {
			changed++
		}
	}
	return changed
}

// Guards against slots that stay unused while a gateway has demand, and against a gateway without any slot.
func TestSlotAllocatorFollowsDemand(t *testing.T) {
	c := newCluster(16, 8)
	for range 8 {
		c.round(map[string]int{"da": 100, "db": 0, "dc": 0})
	}
	require.Equal(t, 128, c.allocator.Granted())
	require.Greater(t, c.pools["da"].Slots(), 100)
	require.GreaterOrEqual(t, c.pools["db"].Slots(), 10)
	for range 20 {
		c.round(map[string]int{"da": 0, "db": 100, "dc": 0})
	}
	require.Equal(t, 128, c.allocator.Granted())
	require.Greater(t, c.pools["db"].Slots(), 100)
}

// Guards against slots that move back and forth while demand hardly changes, and against workers that are split among
// many gateways.
func TestSlotAllocatorIsStable(t *testing.T) {
	c := newCluster(16, 8)
	for range 10 {
		c.round(map[string]int{"da": 40, "db": 42, "dc": 38, "dd": 41})
	}
	changed := 0
	for i := range 20 {
		changed += c.round(map[string]int{"da": 40 + i%3, "db": 42 - i%2, "dc": 38, "dd": 41})
	}
	require.Zero(t, changed)
	split := 0
	for _, w := range c.allocator.workers {
		for _, a := range w.allocations {
			if a.granted > 0 {
				split++
			}
		}
	}
	require.LessOrEqual(t, split, 16+3)
}

// Guards against a division that ignores the data centre of a gateway.
func TestSlotAllocatorPrefersOwnDataCentre(t *testing.T) {
	c := newCluster(16, 8)
	for range 8 {
		c.round(map[string]int{"da": 20, "eb": 20})
	}
	require.Greater(t, c.pools["da"].Slots(), 2*c.pools["eb"].Slots())
}

// Guards against slots of a dead gateway that are granted again while its requests still run, and against slots that
// are never granted again.
func TestSlotAllocatorTakesBackGrantsOfSilentGateways(t *testing.T) {
	c := newCluster(1, 8)
	c.round(map[string]int{"da": 10})
	require.Equal(t, 8, c.pools["da"].Slots())
	for range 10 {
		c.round(map[string]int{"db": 10})
	}
	require.Zero(t, c.pools["db"].Slots())
	fences := c.allocator.NextFences("w00")
	require.Equal(t, []upstream.GatewayFence{{Gateway: "da", MinGeneration: 2}}, fences)
	c.allocator.ApplyLeaseReply(c.now, "w00", fences, []upstream.GatewayUse{{Gateway: "da", Slots: 3}})
	c.round(map[string]int{"db": 10})
	require.Equal(t, 5, c.pools["db"].Slots())
	c.allocator.ApplyLeaseReply(c.now, "w00", c.allocator.NextFences("w00"), nil)
	c.round(map[string]int{"db": 10})
	require.Equal(t, 8, c.pools["db"].Slots())
	c.round(map[string]int{"da": 10})
	require.NotNil(t, c.allocator.NextFences("w00"), "a worker that restarts must get the fence again")
}

// Guards against grants on a worker before it refuses the grants of older epochs, and on a worker that leaves.
func TestSlotAllocatorWaitsForFenceAndWithdraws(t *testing.T) {
	sa := NewSlotAllocator("d-0", 9, 3*time.Second)
	sa.SetWorker(start, "w", "127.0.0.1:1", "d", 4)
	r := contract.GrantRequest{Shard: "d-0", Incarnation: "g", Demand: 9}
	require.Empty(t, sa.Grant(start, r).Workers)
	sa.ApplyLeaseReply(start, "w", nil, []upstream.GatewayUse{{Gateway: "old", Slots: 3}})
	reply := sa.Grant(start, r)
	require.Equal(t, 1, reply.Workers[0].Slots)
	r.Epoch, r.Generation = reply.Epoch, reply.Generation
	require.True(t, sa.Grant(start, r).Unchanged)
	sa.RemoveWorker(start, "w")
	require.Empty(t, sa.Grant(start, r).Workers)
	require.Zero(t, sa.Granted())
}

// Guards against a late reply that restores an older grant, and against requests after the expiry.
func TestSlotPoolIgnoresStaleReplies(t *testing.T) {
	pool := NewSlotPool()
	grant := func(epoch, generation uint64, slots int) contract.GrantReply {
		return contract.GrantReply{Shard: "s", Epoch: epoch, Generation: generation, TTL: time.Second,
			Workers: []contract.WorkerGrant{{Worker: "w", Slots: slots}}}
	}
	require.True(t, pool.Apply(start, start, grant(5, 2, 2), false))
	require.False(t, pool.Apply(start, start.Add(time.Hour), grant(5, 1, 8), false))
	require.False(t, pool.Apply(start, start.Add(time.Hour), grant(4, 9, 8), false))
	p, ok := pool.Acquire(start, 0)
	require.True(t, ok)
	require.Equal(t, Permit{Worker: "w", Shard: "s", Epoch: 5, Generation: 2}, p)
	require.True(t, pool.Apply(start, start, contract.GrantReply{Shard: "s", Epoch: 5, Generation: 3,
		TTL: time.Second}, false))
	_, generation := pool.CompliantGrant("s")
	require.Zero(t, generation, "one request still runs on the worker that the grant left out")
	pool.Release(p)
	_, generation = pool.CompliantGrant("s")
	require.Equal(t, uint64(3), generation)
	require.True(t, pool.Apply(start, start, grant(5, 4, 2), false))
	_, ok = pool.Acquire(start.Add(time.Second), 0)
	require.False(t, ok, "the grant has expired")
	require.Zero(t, pool.Free())
}

// Guards against a worker that is never used again after one refusal, and against one that is used again too early.
func TestSlotPoolPausesRefusingWorkers(t *testing.T) {
	pool := NewSlotPool()
	reply := contract.GrantReply{Shard: "s", Epoch: 1, Generation: 1, TTL: time.Minute,
		Workers: []contract.WorkerGrant{{Worker: "w", Slots: 2}}}
	pool.Apply(start, start, reply, false)
	p, _ := pool.Acquire(start, 0)
	pool.MarkRefused(start.Add(time.Second), p)
	pool.Release(p)
	require.Zero(t, pool.Free())
	confirm := contract.GrantReply{Shard: "s", Epoch: 1, Generation: 1, TTL: time.Minute, Unchanged: true}
	pool.Apply(start.Add(2*time.Second), start.Add(time.Second), confirm, false)
	require.Zero(t, pool.Free(), "the request was sent before the refusal")
	pool.Apply(start.Add(2*time.Second), start.Add(2*time.Second), confirm, false)
	require.Equal(t, 2, pool.Free())
}

// Guards against slots that are granted again although a request still runs on them: its gateway gave up on it while
// the worker was unreachable.
func TestSlotAllocatorCountsRequestsOfReturningWorker(t *testing.T) {
	c := newCluster(1, 8)
	c.round(map[string]int{"da": 10})
	c.round(map[string]int{"da": 10})
	c.allocator.RemoveWorker(c.now, "w00")
	c.round(map[string]int{"da": 10})
	c.round(map[string]int{"da": 10})
	c.allocator.SetWorker(c.now, "w00", "127.0.0.1:1", "d", 8)
	c.allocator.ApplyLeaseReply(c.now, "w00", nil, []upstream.GatewayUse{{Gateway: "da", Slots: 2}})
	for range 10 {
		c.round(map[string]int{"db": 100})
	}
	require.Equal(t, 6, c.pools["db"].Slots())
	c.allocator.ApplyLeaseReply(c.now, "w00", c.allocator.NextFences("w00"), nil)
	c.round(map[string]int{"db": 100})
	require.Equal(t, 8, c.pools["db"].Slots())
}

// Guards against requests to a leaving worker under a grant whose owner is gone.
func TestSlotPoolLeavesOutLeavingWorkers(t *testing.T) {
	pool, now := NewSlotPool(), time.Unix(1000, 0)
	pool.Apply(now, now, contract.GrantReply{Shard: "s", Epoch: 1, Generation: 1, TTL: 10 * time.Second,
		Workers: []contract.WorkerGrant{{Worker: "w0", Slots: 2}, {Worker: "w1", Slots: 3}}}, false)
	pool.SetLeaving(map[instance.ID]bool{"w0": true})
	free := map[int16]int{}
	for _, c := range pool.Candidates() {
		free[c.Free]++
	}
	require.Equal(t, map[int16]int{0: 1, 3: 1}, free)
	pool.SetLeaving(nil)
	for i := range pool.Candidates() {
		_, ok := pool.Acquire(now, i)
		require.True(t, ok)
	}
}
