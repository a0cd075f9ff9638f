package gateway

import (
	"context"
	"testing"
	"time"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/contract"
)

// The control loop handles two events for each request. The result bounds the requests per second of one gateway.
func BenchmarkControlLoop(b *testing.B) {
	w := newWorld(&testing.T{})
	g := New(Settings{ID: "g", Incarnation: "g-1", DataCentre: "bne"}, w.deps())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.io = ctx
	go g.loop(ctx)
	_, _ = ask(g, func(now time.Time) bool {
		return g.control.holding.Apply(now, now, contract.GrantReply{Shard: testShard, Epoch: 1, Generation: 1, TTL: time.Hour,
			Workers: []contract.WorkerGrant{{Worker: "w", Slots: 100}}}, false)
	})
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c := &call{slot: make(chan slot, 1)}
			now := time.Now()
			c.entry = admission.Entry[*call]{Kind: "quote", Arrived: now, Deadline: now.Add(time.Minute), Value: c}
			s, ok := g.await(ctx, c, false)
			if !ok || s.refusal != nil {
				b.Fatal("no slot")
			}
			g.post(func(now time.Time) { g.succeeded(now, "quote", s.permit, time.Millisecond) })
		}
	})
}
