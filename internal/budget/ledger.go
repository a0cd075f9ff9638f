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
	// gatewayTimeout is how long after its last request a gateway is considered gone and its grants are fenced off. It
	// may be shorter than the TTL: slots are freed by the fence and not by the expiry, so a long TTL lets gateways keep
	// working without an owner and does not hold back the slots of a dead gateway.
	gatewayTimeout = 3 * time.Second
	// gatewayRetention is how long a gateway that is considered gone is kept, so that a worker that restarts gets its
	// fence again.
	gatewayRetention = 10 * time.Minute
)

// Ledger is the owner's record of the grants of one shard in one epoch. It is not safe for concurrent use.
//
// What a gateway may still use on a worker is the largest number of any grant from the newest acknowledged to the
// newest issued one. The gateway counts all of its requests against the grant that it has, so this is a maximum and not
// a sum.
type Ledger struct {
	shard          string
	epoch          uint64
	ttl            time.Duration
	lastGeneration uint64
	workers        map[instance.ID]*worker
	workerIDs      []instance.ID
	gateways       map[instance.Incarnation]*gateway
	targets        map[instance.Incarnation]int
	dividedSlots   int
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
	weight          float64
	generation      uint64
	ackedGeneration uint64
	// minGeneration is the lowest generation that workers may still accept, zero if they were not told any.
	minGeneration uint64
	// expiry is when the gateway is considered gone unless it sends another request.
	expiry  time.Time
	expired bool
	leaving bool
}

// NewLedger returns a ledger without workers. ttl is how long a grant may be used without being renewed.
func NewLedger(shard string, epoch uint64, ttl time.Duration) *Ledger {
	return &Ledger{shard: shard, epoch: epoch, ttl: ttl, workers: map[instance.ID]*worker{},
		gateways: map[instance.Incarnation]*gateway{}, targets: map[instance.Incarnation]int{}}
}

// SetWorker adds a worker or changes its slots. Its slots are granted only after the first Report.
func (l *Ledger) SetWorker(now time.Time, id instance.ID, addr, dataCentre string, slots int) {
	l.expireGateways(now)
	w := l.workers[id]
	if w == nil {
		w = &worker{id: id, allocations: map[instance.Incarnation]*allocation{}}
		l.workers[id] = w
		i, _ := slices.BinarySearch(l.workerIDs, id)
		l.workerIDs = slices.Insert(l.workerIDs, i, id)
	}
	w.addr, w.dataCentre, w.slots = addr, dataCentre, slots
}

// RemoveWorker withdraws the grants on a worker that is leaving or gone. Slots that gateways may still use stay
// reserved in case the worker returns.
func (l *Ledger) RemoveWorker(now time.Time, id instance.ID) {
	l.expireGateways(now)
	if w := l.workers[id]; w != nil {
		w.slots = 0
		l.purgeWorker(w)
	}
}

// Fences returns the gateways whose older grants the worker must refuse. They must be repeated in every lease request,
// because a worker that restarts loses them.
func (l *Ledger) Fences(id instance.ID) []upstream.GatewayFence {
	w := l.workers[id]
	if w == nil {
		return nil
	}
	var out []upstream.GatewayFence
	for _, inc := range sortedKeys(w.allocations) {
		g := l.gateways[inc]
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

// Report applies a worker's answer to a lease request that carried fences. inProgress is the worker's count of the
// requests that occupy slots. The answers of one worker must be passed in the order in which the worker gave them; an
// answer that was overtaken by a later one must be dropped.
func (l *Ledger) Report(now time.Time, id instance.ID, fences []upstream.GatewayFence, inProgress []upstream.GatewayUse) {
	l.expireGateways(now)
	w := l.workers[id]
	if w == nil {
		return
	}
	used := make(map[instance.Incarnation]int, len(inProgress))
	for _, u := range inProgress {
		used[u.Gateway] += u.Slots
	}
	if !w.fenced {
		w.fenced = true
		l.adoptRequests(w, used)
	}
	for _, f := range fences {
		if a, g := w.allocations[f.Gateway], l.gateways[f.Gateway]; a != nil && g != nil {
			a.fence(f.MinGeneration, g.generation, used[f.Gateway])
		}
	}
	for inc, a := range w.allocations {
		a.applyReport(used[inc])
		if l.gateways[inc] == nil && a.reserved() == 0 {
			delete(w.allocations, inc)
		}
	}
	l.purgeWorker(w)
}

// adoptRequests reserves slots for requests that occupied them before this ledger knew the worker. The first
// acknowledgement of a gateway in this epoch covers them. A gateway that has acknowledged before may have given up on
// them while the worker was unreachable; only the worker's own reports lower the number then.
func (l *Ledger) adoptRequests(w *worker, used map[instance.Incarnation]int) {
	for inc, n := range used {
		below := uint64(1)
		if g := l.gateways[inc]; g != nil && g.ackedGeneration > 0 {
			below = math.MaxUint64
		}
		if n > 0 {
			w.allocation(inc).staleGrants = append(w.allocation(inc).staleGrants,
				staleGrant{below: below, slots: n, fenced: true})
		}
	}
}

// Grant answers a gateway's request with its whole grant. The caller sets Pending and FreeMilliCores of the reply.
func (l *Ledger) Grant(now time.Time, r contract.GrantRequest) contract.GrantReply {
	l.expireGateways(now)
	if r.Epoch > l.epoch {
		return contract.GrantReply{Shard: l.shard, Epoch: l.epoch}
	}
	g := l.updateGateway(now, r)
	l.acknowledge(r, g)
	plan := l.plan(r.Incarnation, g)
	changed := l.issue(r.Incarnation, g, plan)
	reply := contract.GrantReply{Shard: l.shard, Epoch: l.epoch, Generation: g.generation, TTL: l.ttl}
	if !changed && r.Epoch == l.epoch && r.Generation == g.generation {
		reply.Unchanged = true
		return reply
	}
	for _, id := range l.workerIDs {
		if a := l.workers[id].allocations[r.Incarnation]; a != nil && a.granted > 0 {
			reply.Workers = append(reply.Workers, contract.WorkerGrant{Worker: id, Addr: l.workers[id].addr,
				Slots: a.granted})
		}
	}
	return reply
}

// updateGateway records the state of the gateway that sent r. Leaving is final for an incarnation, because requests can
// arrive out of order.
func (l *Ledger) updateGateway(now time.Time, r contract.GrantRequest) *gateway {
	g := l.gateways[r.Incarnation]
	if g == nil {
		g = &gateway{}
		l.gateways[r.Incarnation] = g
	}
	g.id, g.dataCentre = r.Gateway, r.DataCentre
	g.leaving = g.leaving || r.Leaving
	g.weight = smoothDemand(g.weight, float64(max(r.Demand, 0)))
	g.expired, g.expiry = false, now.Add(gatewayTimeout)
	return g
}

func (l *Ledger) acknowledge(r contract.GrantRequest, g *gateway) {
	if r.Epoch != l.epoch || r.Generation <= g.ackedGeneration || r.Generation > g.generation {
		return
	}
	g.ackedGeneration = r.Generation
	for _, id := range slices.Clone(l.workerIDs) {
		if a := l.workers[id].allocations[r.Incarnation]; a != nil {
			a.acknowledge(g.ackedGeneration)
			l.purgeWorker(l.workers[id])
		}
	}
}

// issue makes plan the gateway's grant and reports whether it differs from the last one. A grant whose generation
// workers were told to refuse gets a new generation even if it is equal.
func (l *Ledger) issue(inc instance.Incarnation, g *gateway, plan map[instance.ID]int) bool {
	changed := g.generation == 0 || g.generation < g.minGeneration
	for _, id := range l.workerIDs {
		if a := l.workers[id].allocations[inc]; a != nil && a.granted != plan[id] || a == nil && plan[id] > 0 {
			changed = true
		}
	}
	if !changed {
		return false
	}
	l.lastGeneration++
	g.generation = l.lastGeneration
	for _, id := range slices.Clone(l.workerIDs) {
		w := l.workers[id]
		if n := plan[id]; n > 0 || w.allocations[inc] != nil {
			grew := n > w.allocation(inc).reserved()
			w.allocation(inc).setGranted(g.generation, n)
			invariant.Check(invariant.SlotBudget, !grew || w.reserved() <= w.slots, "shard", l.shard, "worker", id,
				"charged", w.reserved(), "slots", w.slots)
			l.purgeWorker(w)
		}
	}
	return true
}

// Granted returns the number of slots in the newest grants of all gateways.
func (l *Ledger) Granted() int {
	n := 0
	for _, w := range l.workers {
		n += w.granted()
	}
	return n
}

// expireGateways marks gateways that sent no request in time as expired, and removes those that were expired for
// gatewayRetention and can occupy no slot.
func (l *Ledger) expireGateways(now time.Time) {
	for inc, g := range l.gateways {
		if !g.expired && now.After(g.expiry) {
			g.expired = true
			g.weight = 0
		}
		if g.expired && now.Sub(g.expiry) > gatewayRetention && l.removeFromWorkers(inc) {
			delete(l.gateways, inc)
		}
	}
}

// removeFromWorkers removes a gateway from all workers. It does nothing and reports false if a request of the gateway
// may still occupy a slot.
func (l *Ledger) removeFromWorkers(inc instance.Incarnation) bool {
	for _, w := range l.workers {
		if a := w.allocations[inc]; a != nil && a.reserved() > 0 {
			return false
		}
	}
	for _, id := range slices.Clone(l.workerIDs) {
		delete(l.workers[id].allocations, inc)
		l.purgeWorker(l.workers[id])
	}
	return true
}

// purgeWorker removes a worker without slots once no request can be in progress on it.
func (l *Ledger) purgeWorker(w *worker) {
	if w.slots > 0 || w.reserved() > 0 {
		return
	}
	delete(l.workers, w.id)
	if i, found := slices.BinarySearch(l.workerIDs, w.id); found {
		l.workerIDs = slices.Delete(l.workerIDs, i, i+1)
	}
}
