package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/routing"
)

// Guards against a worker on probation that gets more than one request at a time, and against one that gets none after the first.
func TestProbation(t *testing.T) {
	g, now := New(Settings{ID: "g", Incarnation: "g-1", DataCentre: "bne"}, newWorld(t).deps()), time.Now()
	c := &g.control
	g.followEjection(manifest.EjectionLatency)
	c.holding.Apply(now, now, contract.GrantReply{Shard: testShard, Epoch: 1, Generation: 1, TTL: time.Hour,
		Workers: []contract.WorkerGrant{{Worker: "slow", Slots: 4}, {Worker: "fast", Slots: 2}}}, false)
	ejected := false
	for range 20 {
		ejected = c.outliers.Took(now, "slow", 10, 2) || ejected
	}
	require.True(t, ejected)
	c.holding.SetEjected("slow", true)
	for _, id := range c.outliers.Returned(now.Add(time.Minute)) {
		c.holding.SetEjected(id, false)
	}
	enter := func() *call {
		x := &call{slot: make(chan slot, 1)}
		x.entry = admission.Entry[*call]{Kind: "quote", Arrived: now, Deadline: now.Add(time.Minute), Value: x}
		g.enter(now, x, false)
		return x
	}
	var probe slot
	for range 3 {
		if s := <-enter().slot; s.permit.Worker == "slow" {
			require.Nil(t, probe.refusal)
			require.Empty(t, probe.permit.Worker, "one request at a time")
			probe = s
		}
	}
	require.NotEmpty(t, probe.permit.Worker)
	waiting := enter()
	require.Empty(t, waiting.slot, "slots of a worker on probation are not used")
	require.Equal(t, routing.None, c.policy.Choose(c.holding.Candidates(), routing.None))
	g.release(now, probe.permit)
	next := <-waiting.slot
	require.Equal(t, probe.permit.Worker, next.permit.Worker, "the next request")

	c.services.Observe(now, "quote", time.Second)
	g.succeeded(now, "quote", next.permit, time.Second)
	require.False(t, c.outliers.Probation("slow"))
	i, known := c.holding.Index("slow")
	require.True(t, known)
	require.False(t, c.holding.Candidates()[i].Ejected, "an answer in time ends the probation")
}

// Guards against a gateway that uses no slot at all because each of its workers is ejected or on probation.
func TestLastResort(t *testing.T) {
	g, now := New(Settings{ID: "g", Incarnation: "g-1", DataCentre: "bne"}, newWorld(t).deps()), time.Now()
	c := &g.control
	c.holding.Apply(now, now, contract.GrantReply{Shard: testShard, Epoch: 1, Generation: 1, TTL: time.Hour,
		Workers: []contract.WorkerGrant{{Worker: "a", Slots: 1}, {Worker: "b", Slots: 2}}}, false)
	enter := func() *call {
		x := &call{slot: make(chan slot, 1)}
		x.entry = admission.Entry[*call]{Kind: "quote", Arrived: now, Deadline: now.Add(time.Minute), Value: x}
		g.enter(now, x, false)
		return x
	}
	c.holding.SetEjected("b", true)
	require.EqualValues(t, "a", (<-enter().slot).permit.Worker)
	waiting := enter()
	require.Empty(t, waiting.slot, "one worker is in use and not ejected")
	c.holding.SetEjected("a", true)
	g.pump(now)
	require.EqualValues(t, "b", (<-waiting.slot).permit.Worker)
}
