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

// Guards against a worker on probation that gets more than one request at a time, and against one that gets no second
// request.
func TestProbation(t *testing.T) {
	g, now := New(Settings{ID: "g", Incarnation: "g-1", DataCentre: "bne"}, newTestCluster(t).deps()), time.Now()
	c := &g.control
	g.applyEjectionPolicy(manifest.EjectionLatency)
	c.pool.Apply(now, now, contract.GrantReply{Shard: testShard, Epoch: 1, Generation: 1, TTL: time.Hour,
		Workers: []contract.WorkerGrant{{Worker: "slow", Slots: 4}, {Worker: "fast", Slots: 2}}}, false)
	ejected := false
	for range 20 {
		ejected = c.outliers.RecordServiceTime(now, "slow", 10, 2) || ejected
	}
	require.True(t, ejected)
	c.pool.SetBlocked("slow", true)
	for _, id := range c.outliers.EndEjections(now.Add(time.Minute)) {
		c.pool.SetBlocked(id, false)
	}
	enqueue := func() *slotRequest {
		req := &slotRequest{result: make(chan slotResult, 1)}
		req.entry = admission.Entry[*slotRequest]{Kind: "quote", Arrived: now, Deadline: now.Add(time.Minute),
			Value: req}
		g.enqueue(now, req, false)
		return req
	}
	var probe slotResult
	for range 3 {
		if s := <-enqueue().result; s.permit.Worker == "slow" {
			require.Nil(t, probe.refusal)
			require.Empty(t, probe.permit.Worker, "one request at a time")
			probe = s
		}
	}
	require.NotEmpty(t, probe.permit.Worker)
	waiting := enqueue()
	require.Empty(t, waiting.result, "slots of a worker on probation are not used")
	require.Equal(t, routing.NoWorker, c.policy.Choose(c.pool.Candidates(), routing.NoWorker))
	g.releaseSlot(now, probe.permit)
	next := <-waiting.result
	require.Equal(t, probe.permit.Worker, next.permit.Worker, "the next request")

	c.serviceTimes.Observe(now, "quote", time.Second)
	g.recordSuccess(now, "quote", next.permit, time.Second)
	require.False(t, c.outliers.OnProbation("slow"))
	i, known := c.pool.Index("slow")
	require.True(t, known)
	require.False(t, c.pool.Candidates()[i].Blocked, "an answer in time ends the probation")
}

// Guards against a gateway that uses no slot because all of its workers are ejected or on probation.
func TestAllWorkersBlocked(t *testing.T) {
	g, now := New(Settings{ID: "g", Incarnation: "g-1", DataCentre: "bne"}, newTestCluster(t).deps()), time.Now()
	c := &g.control
	c.pool.Apply(now, now, contract.GrantReply{Shard: testShard, Epoch: 1, Generation: 1, TTL: time.Hour,
		Workers: []contract.WorkerGrant{{Worker: "a", Slots: 1}, {Worker: "b", Slots: 2}}}, false)
	enqueue := func() *slotRequest {
		req := &slotRequest{result: make(chan slotResult, 1)}
		req.entry = admission.Entry[*slotRequest]{Kind: "quote", Arrived: now, Deadline: now.Add(time.Minute),
			Value: req}
		g.enqueue(now, req, false)
		return req
	}
	c.pool.SetBlocked("b", true)
	require.EqualValues(t, "a", (<-enqueue().result).permit.Worker)
	waiting := enqueue()
	require.Empty(t, waiting.result, "one worker is in use and not ejected")
	c.pool.SetBlocked("a", true)
	g.assignSlots(now)
	require.EqualValues(t, "b", (<-waiting.result).permit.Worker)
}
