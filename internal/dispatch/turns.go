package dispatch

import (
	"cmp"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/resource"
)

const (
	// idleShare is the share of a pool's processors below which submissions with nothing running get turns: while half of
	// the pool is not reserved, such a submission must not wait for 3 s.
	idleShare   = 0.5
	maxIdleWait = 400 * time.Millisecond
	// turnInterval is the time between two turns on one worker. CPU limits follow the latency that services report beside
	// the first ones.
	turnInterval = 150 * time.Millisecond
	// turnMarginShare is the least share of the services' margins that turns may use up.
	turnMarginShare = 0.5
	// After a task that can be in time has waited for minInTimeWait, late submissions get no turns for inTimeWaitMemory.
	minInTimeWait    = 300 * time.Millisecond
	inTimeWaitMemory = 500 * time.Millisecond
)

// turns places single tasks beyond the bound on best-effort work, so that no submission waits without end behind the
// other tasks of the backlog. A turn may share processors with other tasks, but leaves services their margins.
type turns struct {
	// nodes holds, for each pool, the workers that may still take a turn in this plan.
	nodes map[candidateKey][]*assign.Node
	// refused holds, for each pool, reach and image, the smallest tasks that none of them could take.
	refused map[turnKey][]resource.Vector
}

type turnKey struct {
	candidateKey
	image string
}

// giveTurns places one task of each best-effort submission that has had nothing running for maxIdleWait. It returns the
// tasks that stay pending.
func (p *plan) giveTurns(pending []*task) []*task {
	next := map[*job]*task{}
	for _, t := range pending {
		if !p.mayTakeTurn(t) {
			continue
		}
		if n := next[t.job()]; n == nil || compareTurns(p.now, t, n) < 0 {
			next[t.job()] = t
		}
	}
	order := make([]*task, 0, len(next))
	for _, t := range next {
		order = append(order, t)
	}
	slices.SortFunc(order, func(a, b *task) int { return compareTurns(p.now, a, b) })
	p.turns = &turns{nodes: map[candidateKey][]*assign.Node{}, refused: map[turnKey][]resource.Vector{}}
	for _, t := range order {
		if t.unplaced = p.tryPlace(t); t.unplaced == unplacedNone {
			t.queued = false
		}
	}
	return slices.DeleteFunc(pending, func(t *task) bool { return !t.queued })
}

// mayTakeTurn reports whether a pending task may be placed as a turn of its submission. One that is late already must not
// delay those that can be in time.
func (p *plan) mayTakeTurn(t *task) bool {
	def, j := t.step.def, t.job()
	return def.BestEffort && !def.Gang && j.placed == 0 && t.notBefore <= p.now && t.unplaced != unplacedAwaitsRack &&
		t.idleTime(p.now) >= maxIdleWait && (t.rank.tier == tierOnTime || !p.core.inTimeWaits(p.now, j.terms.Pool))
}

// idleTime returns how long a task has waited while its submission had nothing running.
func (t *task) idleTime(now time.Duration) time.Duration {
	return now - max(t.job().idleSince, t.queuedAt)
}

// compareTurns orders tasks for turns: those that can be in time come first, then those that have waited longest.
func compareTurns(now time.Duration, a, b *task) int {
	inTimeA, inTimeB := a.rank.tier == tierOnTime, b.rank.tier == tierOnTime
	switch {
	case inTimeA && !inTimeB:
		return -1
	case inTimeB && !inTimeA:
		return 1
	}
	return cmp.Or(cmp.Compare(b.idleTime(now), a.idleTime(now)), a.rank.compare(&b.rank))
}

// inTimeWaits reports whether tasks of a pool that can be in time have recently waited for minInTimeWait.
func (c *Core) inTimeWaits(now time.Duration, pool string) bool {
	last, ok := c.lastInTimeWait[pool]
	return ok && now-last < inTimeWaitMemory
}

// noteInTimeWait notes that a task was not placed, if it is best effort, may run on any worker and can be in time.
func (c *Core) noteInTimeWait(now time.Duration, t *task) {
	if t.step.def.BestEffort && !t.restricted() && t.unplaced == unplacedNoWorker && t.rank.tier == tierOnTime &&
		now-t.queuedAt >= minInTimeWait {
		c.lastInTimeWait[t.job().terms.Pool] = now
	}
}

// chooseTurn chooses the node for a turn.
func (p *plan) chooseTurn(t *task, reach reach, filter func(*worker) bool) *assign.Node {
	def, pool := t.step.def, t.job().terms.Pool
	candidates := candidateKey{pool, reach}
	if _, ok := p.turns.nodes[candidates]; !ok {
		p.turns.nodes[candidates] = p.turnNodes(p.candidatesWithin(pool, reach))
	}
	key := turnKey{candidates, def.Image}
	for _, size := range p.turns.refused[key] {
		if size.Fits(def.Size) {
			return nil
		}
	}
	need, size := def.Reserved(), requestedMilliCores(def)
	share := max(turnMarginShare, p.bound.share(p.bound.pool(pool), p.candidates(pool), def.Image))
	var admitted []*assign.Node
	for _, n := range p.turns.nodes[candidates] {
		w := p.core.workersByID[n.Index]
		if need.Fits(n.Free()) && w.load.KeepsMargins(p.bound, p.bound.servicesOn(w), def.Image, size, share) {
			admitted = append(admitted, n)
		}
	}
	if len(admitted) == 0 {
		p.turns.refused[key] = append(p.turns.refused[key], def.Size)
		return nil
	}
	admitted = slices.DeleteFunc(admitted, func(n *assign.Node) bool {
		return !p.allows(n, t, filter) || reach == reachProbation && !p.mayTakeProbe(n)
	})
	n := assign.Choose(admitted, p.core.placement(p.now, t, t.avoidWorker))
	if n != nil {
		p.core.workersByID[n.Index].nextTurn = p.now + turnInterval
		for key, nodes := range p.turns.nodes {
			if key.pool == pool {
				p.turns.nodes[key] = without(nodes, n)
			}
		}
	}
	return n
}

// turnNodes returns those of the candidates of a pool that may take a turn; none if tasks reserve idleShare of the pool.
func (p *plan) turnNodes(nodes []*assign.Node) []*assign.Node {
	reserved, capacity := int64(0), int64(0)
	var out []*assign.Node
	for _, n := range nodes {
		reserved += n.Reserved.MilliCores
		capacity += n.Capacity.MilliCores
		if w := p.core.workersByID[n.Index]; w.load.BelowObjectives() && p.now >= w.nextTurn {
			out = append(out, n)
		}
	}
	if float64(reserved) >= idleShare*float64(capacity) {
		return nil
	}
	return out
}
