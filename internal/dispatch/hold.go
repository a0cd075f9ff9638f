package dispatch

import (
	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// maxHeldShare is the share of a pool's workers, or of those with the label that a task needs, that are held at the same
// time. At least one may be.
const maxHeldShare = 0.02

// hold keeps the worker with the most free processors for a long-running task that has run before and finds no room.
// Without that, smaller tasks would take each part of a worker that becomes free. A worker is held only if the end of
// its short tasks would leave enough room. Long-running tasks whose wait has expired are placed on held workers too.
func (p *plan) hold(t *task) {
	if t.rank.tier != tierRestart || t.step.def.BestEffort {
		return
	}
	pool := t.job().terms.Pool
	nodes := p.candidates(pool)
	if p.held >= p.maxHeld(pool, t.step.def.Label) {
		return
	}
	key := p.holdKey(t)
	if _, ok := p.noHold[key]; ok {
		return
	}
	best := p.mostFree(t, nodes, key.step != nil)
	if best == nil {
		// Later in the plan, no more of the workers have room.
		p.noHold[key] = struct{}{}
		return
	}
	p.held++
	if p.heldWorkers == nil {
		p.heldWorkers = map[*worker]bool{}
	}
	p.heldWorkers[p.core.workersByID[best.Index]] = true
	p.nodes[candidateKey{pool, reachUsable}] = without(nodes, best)
	delete(p.nodes, candidateKey{pool, reachProbation})
	delete(p.nodes, candidateKey{pool, reachExcluded})
	// The rankings contain the held worker.
	clear(p.rankings)
	p.bound.forgetRoom(pool)
	p.forgetRack(pool, best)
}

// maxHeld returns how many workers may be held when a task that needs a label, which may be empty, wants one more. Workers
// with a rare label must not all be held.
func (p *plan) maxHeld(pool, label string) int {
	key := poolLabel{pool: pool, label: label}
	limit, ok := p.heldLimits[key]
	if !ok {
		n := 0
		for _, node := range p.candidates(pool) {
			if label == "" || p.core.workersByID[node.Index].hasLabel(label) {
				n++
			}
		}
		limit = max(1, int(maxHeldShare*float64(n)))
		p.heldLimits[key] = limit
	}
	return limit
}

type poolLabel struct{ pool, label string }

// mostFree returns the node with the most free processors among those that have room for the task once their short tasks
// have ended; nil if there is none. In a full pool few nodes have that room, so it is checked before what the step asks
// for.
func (p *plan) mostFree(t *task, nodes []*assign.Node, restricted bool) *assign.Node {
	need := t.reserved()
	var filter func(*worker) bool
	if restricted {
		filter = p.requireApproval(t, nil)
	}
	var best *assign.Node
	for _, n := range nodes {
		if !need.Fits(n.Capacity.Sub(p.core.workersByID[n.Index].longRunning)) ||
			best != nil && n.Free().MilliCores <= best.Free().MilliCores {
			continue
		}
		if !restricted || p.allows(n, t, filter) {
			best = n
		}
	}
	return best
}

// holdKey identifies the tasks for which the same workers can be held. step is nil if the step does not restrict them.
type holdKey struct {
	pool string
	size resource.Vector
	step *step
}

func (p *plan) holdKey(t *task) holdKey {
	key := holdKey{pool: t.job().terms.Pool, size: t.reserved()}
	if t.restricted() {
		key.step = t.step
	}
	return key
}

// restricted reports whether the task may run only on some of the workers with room.
func (t *task) restricted() bool {
	def := t.step.def
	return def.Label != "" || def.MaxPerWorker > 0 || t.job().terms.Advised != nil
}

func without(nodes []*assign.Node, n *assign.Node) []*assign.Node {
	out := make([]*assign.Node, 0, len(nodes))
	for _, o := range nodes {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}
