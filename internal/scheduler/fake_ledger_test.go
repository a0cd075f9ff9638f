package scheduler

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// fakeLedger records the slots of its workers and grants all of them to every gateway.
type fakeLedger struct{ workers map[instance.ID]int }

func (l *fakeLedger) SetWorker(_ time.Time, id instance.ID, _, _ string, slots int) {
	l.workers[id] = slots
}
func (l *fakeLedger) RemoveWorker(_ time.Time, id instance.ID)   { delete(l.workers, id) }
func (l *fakeLedger) Fences(instance.ID) []upstream.GatewayFence { return nil }
func (l *fakeLedger) Report(time.Time, instance.ID, []upstream.GatewayFence, []upstream.GatewayUse) {
}
func (l *fakeLedger) Grant(_ time.Time, r contract.GrantRequest) contract.GrantReply {
	out := contract.GrantReply{Shard: r.Shard, Generation: 1}
	for id, n := range l.workers {
		out.Workers = append(out.Workers, contract.WorkerGrant{Worker: id, Slots: n})
	}
	return out
}
func (l *fakeLedger) Granted() int { return len(l.workers) }
