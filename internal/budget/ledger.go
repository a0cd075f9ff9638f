package budget

import (
	"math"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// gatewayTimeout is how long after its last request a gateway is treated as gone: workers are told to refuse its
	// grants, which frees the slots. So this may be shorter than the grant TTL: a long TTL lets gateways
	// work without an owner and does not hold back the slots of a dead gateway.
	gatewayTimeout = 3 * time.Second
	// gatewayRetention is how long a gateway that is treated as gone is kept, so that its fence can be sent again to a
	// worker that restarts.
	gatewayRetention = 10 * time.Minute
)

// SlotAllocator is the owner's record of the grants of one shard in one epoch. It is not safe for concurrent use.
//
// A gateway may still use any grant from the newest that it acknowledged to the newest that was issued. Its reserved
// slots on a worker are the maximum of these grants, not their sum, because all its requests count against one grant.
type SlotAllocator struct {
	shard          string
	epoch          uint64
	ttl            time.Duration
	lastGeneration uint64
	workers        map[instance.ID]*worker
	workerIDs      []instance.ID
	gateways       map[instance.Incarnation]*gateway
	// targetSlots holds how many slots each gateway should have. slotsAtLastDivision is the number of slots that were
	// divided for it; if that number changes, the targets are computed again.
	targetSlots         map[instance.Incarnation]int
	slotsAtLastDivision int
}

type worker struct {
	id         instance.ID
	addr       string
	dataCentre string
	slots      int
	// fenced reports whether the worker has answered a call with this epoch, so that it refuses grants of older ones.
	fenced      bool
	allocations map[instance.Incarnation]*allocation
}

type gateway struct {
	id              instance.ID
	dataCentre      string
	smoothedDemand  float64
	generation      uint64
	ackedGeneration uint64
	// minGeneration is the lowest generation that workers were told to accept, zero if they were not told any.
	minGeneration uint64
	// expiresAt is when the gateway is treated as gone unless it sends another request.
	expiresAt time.Time
	expired   bool
	leaving   bool
}

// NewSlotAllocator returns an allocator without workers. ttl is how long a grant may be used without being renewed.
func NewSlotAllocator(shard string, epoch uint64, ttl time.Duration) *SlotAllocator {
	return &SlotAllocator{shard: shard, epoch: epoch, ttl: ttl, workers: map[instance.ID]*worker{},
		gateways: map[instance.Incarnation]*gateway{}, targetSlots: map[instance.Incarnation]int{}}
}

// SetWorker adds a worker or changes its slots. Its slots are granted only after the first call of
// ApplyLeaseReply.
func (sa *SlotAllocator) SetWorker(now time.Time, id instance.ID, addr, dataCentre string, slots int) {
	sa.expireGateways(now)
	w := sa.workers[id]
	if w == nil {
		w = &worker{id: id, allocations: map[instance.Incarnation]*allocation{}}
		sa.workers[id] = w
		i, _ := slices.BinarySearch(sa.workerIDs, id)
		sa.workerIDs = slices.Insert(sa.workerIDs, i, id)
	}
	w.addr, w.dataCentre, w.slots = addr, dataCentre, slots
}

// RemoveWorker withdraws the grants on a worker that is leaving or gone. Slots that gateways may still use stay
// reserved in case the worker returns.
func (sa *SlotAllocator) RemoveWorker(now time.Time, id instance.ID) {
	sa.expireGateways(now)
	if w := sa.workers[id]; w != nil {
		w.slots = 0
		sa.purgeWorker(w)
	}
}

// NextFences returns the gateways whose older grants the worker must refuse, for the next lease request. They must be
// repeated in every lease request, because a worker that restarts loses them. For a gateway that is treated as gone it
// raises minGeneration above the newest grant.
func (sa *SlotAllocator) NextFences(id instance.ID) []upstream.GatewayFence {
	w := sa.workers[id]
	if w == nil {
		return nil
	}
	var out []upstream.GatewayFence
	for _, inc := range sortedKeys(w.allocations) {
		g := sa.gateways[inc]
		if g == nil {
			continue
		}
		if g.expired {
			g.minGeneration = g.generation + 1
		}
		if g.minGeneration > 0 {
			out = append(out, upstream.GatewayFence{Gateway: inc, MinGeneration: g.minGeneration})
		}
	}
	return out
}

// ApplyLeaseReply applies a worker's reply to a lease request that carried fences. inProgress is the worker's count of
// the requests that occupy slots. Replies of one worker must be applied in the order in which it sent them; a reply
// that is older than one already applied must be dropped.
func (sa *SlotAllocator) ApplyLeaseReply(now time.Time, id instance.ID, fences []upstream.GatewayFence,
	inProgress []upstream.GatewayUse) {
	sa.expireGateways(now)
	w := sa.workers[id]
	if w == nil {
		return
	}
	used := make(map[instance.Incarnation]int, len(inProgress))
	for _, u := range inProgress {
		used[u.Gateway] += u.Slots
	}
	if !w.fenced {
		w.fenced = true
		sa.adoptRequests(w, used)
	}
	for _, f := range fences {
		if a, g := w.allocations[f.Gateway], sa.gateways[f.Gateway]; a != nil && g != nil {
			a.fence(f.MinGeneration, g.generation, used[f.Gateway])
		}
	}
	for inc, a := range w.allocations {
		a.applyReport(used[inc])
		if sa.gateways[inc] == nil && a.reserved() == 0 {
			delete(w.allocations, inc)
		}
	}
	sa.purgeWorker(w)
}

// adoptRequests reserves slots for requests that ran before this allocator knew the worker. They are released by the
// gateway's first acknowledgement in this epoch. If it has already acknowledged, it may have given up on them while the
// worker was unreachable, so only the worker's reports can release them.
func (sa *SlotAllocator) adoptRequests(w *worker, used map[instance.Incarnation]int) {
	for inc, n := range used {
		supersededBy := uint64(1)
		if g := sa.gateways[inc]; g != nil && g.ackedGeneration > 0 {
			supersededBy = math.MaxUint64
		}
		if n > 0 {
			w.allocation(inc).staleGrants = append(w.allocation(inc).staleGrants,
				staleGrant{supersededBy: supersededBy, slots: n, draining: true})
		}
	}
}

// Grant answers a gateway's request with its whole grant. The caller sets Pending and FreeMilliCores of the reply.
func (sa *SlotAllocator) Grant(now time.Time, r contract.GrantRequest) contract.GrantReply {
	sa.expireGateways(now)
	// The gateway knows a newer owner; this one grants nothing.
	if r.Epoch > sa.epoch {
		return contract.GrantReply{Shard: sa.shard, Epoch: sa.epoch}
	}
	g := sa.updateGateway(now, r)
	sa.acknowledge(r, g)
	plan := sa.plan(r.Incarnation, g)
	changed := sa.issue(r.Incarnation, g, plan)
	reply := contract.GrantReply{Shard: sa.shard, Epoch: sa.epoch, Generation: g.generation, TTL: sa.ttl}
	if !changed && r.Epoch == sa.epoch && r.Generation == g.generation {
		reply.Unchanged = true
		return reply
	}
	for _, id := range sa.workerIDs {
		if a := sa.workers[id].allocations[r.Incarnation]; a != nil && a.granted > 0 {
			reply.Workers = append(reply.Workers, contract.WorkerGrant{Worker: id, Addr: sa.workers[id].addr,
				Slots: a.granted})
		}
	}
	return reply
}

// updateGateway records the state of the gateway that sent r. Leaving is final for an incarnation, because requests can
// arrive out of order.
func (sa *SlotAllocator) updateGateway(now time.Time, r contract.GrantRequest) *gateway {
	g := sa.gateways[r.Incarnation]
	if g == nil {
		g = &gateway{}
		sa.gateways[r.Incarnation] = g
	}
	g.id, g.dataCentre = r.Gateway, r.DataCentre
	g.leaving = g.leaving || r.Leaving
	g.smoothedDemand = smoothDemand(g.smoothedDemand, float64(max(r.Demand, 0)))
	g.expired, g.expiresAt = false, now.Add(gatewayTimeout)
	return g
}

func (sa *SlotAllocator) acknowledge(r contract.GrantRequest, g *gateway) {
	if r.Epoch != sa.epoch || r.Generation <= g.ackedGeneration || r.Generation > g.generation {
		return
	}
	g.ackedGeneration = r.Generation
	for _, id := range slices.Clone(sa.workerIDs) {
		if a := sa.workers[id].allocations[r.Incarnation]; a != nil {
			a.acknowledge(g.ackedGeneration)
			sa.purgeWorker(sa.workers[id])
		}
	}
}

// issue makes plan the gateway's grant and reports whether it differs from the last one. If workers were told to refuse
// the current generation, a new one is issued even if the slots are unchanged.
func (sa *SlotAllocator) issue(inc instance.Incarnation, g *gateway, plan map[instance.ID]int) bool {
	changed := g.generation == 0 || g.generation < g.minGeneration
	for _, id := range sa.workerIDs {
		if a := sa.workers[id].allocations[inc]; a != nil && a.granted != plan[id] || a == nil && plan[id] > 0 {
			changed = true
		}
	}
	if !changed {
		return false
	}
	sa.lastGeneration++
	g.generation = sa.lastGeneration
	for _, id := range slices.Clone(sa.workerIDs) {
		w := sa.workers[id]
		if n := plan[id]; n > 0 || w.allocations[inc] != nil {
			grew := n > w.allocation(inc).reserved()
			w.allocation(inc).setGranted(g.generation, n)
			invariant.Check(invariant.SlotBudget, !grew || w.reserved() <= w.slots, "shard", sa.shard, "worker", id,
				"charged", w.reserved(), "slots", w.slots)
			sa.purgeWorker(w)
		}
	}
	return true
}

// Granted returns the number of slots in the newest grants of all gateways.
func (sa *SlotAllocator) Granted() int {
	n := 0
	for _, w := range sa.workers {
		n += w.granted()
	}
	return n
}

// expireGateways marks gateways that sent no request in time as expired, and removes those that were expired for
// gatewayRetention and can occupy no slot.
func (sa *SlotAllocator) expireGateways(now time.Time) {
	for inc, g := range sa.gateways {
		if !g.expired && now.After(g.expiresAt) {
			g.expired = true
			g.smoothedDemand = 0
		}
		if g.expired && now.Sub(g.expiresAt) > gatewayRetention && sa.removeFromWorkers(inc) {
			delete(sa.gateways, inc)
		}
	}
}

// removeFromWorkers removes a gateway from all workers. It does nothing and reports false if a request of the gateway
// may still occupy a slot.
func (sa *SlotAllocator) removeFromWorkers(inc instance.Incarnation) bool {
	for _, w := range sa.workers {
		if a := w.allocations[inc]; a != nil && a.reserved() > 0 {
			return false
		}
	}
	for _, id := range slices.Clone(sa.workerIDs) {
		delete(sa.workers[id].allocations, inc)
		sa.purgeWorker(sa.workers[id])
	}
	return true
}

// purgeWorker removes a worker without slots once no request can be in progress on it.
func (sa *SlotAllocator) purgeWorker(w *worker) {
	if w.slots > 0 || w.reserved() > 0 {
		return
	}
	delete(sa.workers, w.id)
	if i, found := slices.BinarySearch(sa.workerIDs, w.id); found {
		sa.workerIDs = slices.Delete(sa.workerIDs, i, i+1)
	}
}
