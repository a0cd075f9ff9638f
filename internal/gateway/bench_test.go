package gateway

import (
	"context"
	"testing"
	"time"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/contract"
)

// The control loop handles two events for each request. The result limits the requests per second of one gateway.
func BenchmarkControlLoop(b *testing.B) {
	tc := newTestCluster(&testing.T{})
	g := New(Settings{ID: "g", Incarnation: "g-1", DataCentre: "bne"}, tc.deps())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.ioContext = ctx
	go g.runLoop(ctx)
	_, _ = postAndWait(g, func(now time.Time) bool {
		return g.control.pool.Apply(now, now, contract.GrantReply{Shard: testShard, Epoch: 1, Generation: 1,
			TTL:     time.Hour,
			Workers: []contract.WorkerGrant{{Worker: "w", Slots: 100}}}, false)
	})
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			req := &slotRequest{result: make(chan slotResult, 1)}
			now := time.Now()
			req.entry = admission.Entry[*slotRequest]{Kind: "quote", Arrived: now, Deadline: now.Add(time.Minute),
				Value: req}
			s, ok := g.awaitSlot(ctx, req, false)
			if !ok || s.refusal != nil {
				b.Fatal("no slot")
			}
			g.post(func(now time.Time) { g.recordSuccess(now, "quote", s.permit, time.Millisecond) })
		}
	})
}
