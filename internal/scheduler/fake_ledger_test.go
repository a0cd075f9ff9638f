package scheduler

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// fakeAllocator records the slots of its workers and grants all of them to every gateway.
type fakeAllocator struct{ workers map[instance.ID]int }

func (a *fakeAllocator) SetWorker(_ time.Time, id instance.ID, _, _ string, slots int) {
	a.workers[id] = slots
}
func (a *fakeAllocator) RemoveWorker(_ time.Time, id instance.ID)       { delete(a.workers, id) }
func (a *fakeAllocator) NextFences(instance.ID) []upstream.GatewayFence { return nil }
func (a *fakeAllocator) ApplyLeaseReply(time.Time, instance.ID, []upstream.GatewayFence, []upstream.GatewayUse) {
}
func (a *fakeAllocator) Grant(_ time.Time, r contract.GrantRequest) contract.GrantReply {
	out := contract.GrantReply{Shard: r.Shard, Generation: 1}
	for id, n := range a.workers {
		out.Workers = append(out.Workers, contract.WorkerGrant{Worker: id, Slots: n})
	}
	return out
}
func (a *fakeAllocator) Granted() int { return len(a.workers) }
