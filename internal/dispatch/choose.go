package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// chooseNode returns the node for a task that does not belong to a gang, or nil.
func (p *plan) chooseNode(t *task) *assign.Node {
	n := p.chooseWithin(t, p.reach(t))
	if n == nil && !p.awaitsRack && p.isLastResort(t) {
		return p.chooseWithin(t, reachExcluded)
	}
	return n
}

// chooseWithin returns the node for a task among those within a reach, or nil.
func (p *plan) chooseWithin(t *task, reach reach) *assign.Node {
	def, avoids := t.step.def, p.caution(t)
	filter := p.requireApproval(t, avoids.filter(t.job()))
	if p.turns != nil {
		return p.chooseTurn(t, reach, filter)
	}
	key := p.noRoomKey(t, reach)
	if _, ok := p.noRoom[key]; ok {
		return nil
	}
	search := candidateSearch{reach: reach, caution: avoids}
	failedIn := &t.step.noCandidate[search.index()]
	if *failedIn == p.number {
		return nil
	}
	bounded := def.BestEffort
	if bounded && p.bound.full(t, reach) {
		*failedIn = p.number
		return nil
	}
	var accept func(*assign.Node) bool
	if t.restricted() || filter != nil {
		accept = func(n *assign.Node) bool { return p.allows(n, t, filter) }
	}
	if reach == reachProbation {
		allowed := accept
		accept = func(n *assign.Node) bool { return p.mayTakeProbe(n) && (allowed == nil || allowed(n)) }
	}
	var rack *rackView
	prefersRack := p.core.prefersRack(t) && !t.takesAnyRack
	if prefersRack {
		rack = p.racks(t.job().terms.Pool).racks[def.DataRack]
		if p.awaits(t, rack) {
			n := p.nearNode(t, rack, bounded, search, accept)
			p.awaitsRack = n == nil
			return n
		}
	}
	r := p.ranking(t, reach, bounded)
	if bounded && r.Empty() {
		p.bound.noteFull(t, reach)
	}
	n := r.Best(t.avoidWorker, accept)
	if n == nil {
		*failedIn = p.number
		if accept == nil && !def.BestEffort {
			p.noRoom[key] = struct{}{}
		}
		return nil
	}
	if prefersRack && n.Rack != def.DataRack && p.nearNode(t, rack, bounded, search, accept) == nil && p.asksToWait(t, rack) {
		p.awaitsRack = true
		return nil
	}
	return n
}

func (p *plan) noRoomKey(t *task, reach reach) noRoomKey {
	return noRoomKey{pool: t.job().terms.Pool, label: t.step.def.Label, size: t.step.def.Reserved(), reach: reach}
}

// noRoomKey identifies the tasks that need the same room.
type noRoomKey struct {
	pool, label string
	size        resource.Vector
	reach       reach
}

// candidateSearch identifies the tasks of a step for which the same workers are candidates in a plan.
type candidateSearch struct {
	reach   reach
	caution caution
}

// candidateSearches is the number of different searches.
const candidateSearches = 4 * int(reaches)

func (s candidateSearch) index() int {
	i := int(s.reach)
	for _, set := range [...]bool{s.caution.spared, s.caution.isolated} {
		i *= 2
		if set {
			i++
		}
	}
	return i
}

// caution holds what a task avoids for a while besides what its step asks for.
type caution struct {
	// spared keeps the last attempt of a task from bad workers and from those with recent failures.
	spared bool
	// isolated keeps a suspected task from workers with a recent start of another submission.
	isolated bool
}

func (p *plan) caution(t *task) caution {
	waited := p.now - t.queuedAt
	return caution{spared: t.lastAttempt() && waited < lastAttemptWait, isolated: t.suspected() && waited < maxSuspectWait}
}

// filter returns the filter of workers for a task of the job; nil if there is nothing to avoid.
func (c caution) filter(j *job) func(*worker) bool {
	if c == (caution{}) {
		return nil
	}
	return func(w *worker) bool {
		return !(c.spared && w.health.Suspect()) && !(c.isolated && w.hasUnprovenStart(j))
	}
}

// lastAttemptWait is how long the last attempt of a task waits for a worker without recent failures.
const lastAttemptWait = 2 * time.Second

// lastAttempt reports whether another failure of the task would fail the submission.
func (t *task) lastAttempt() bool {
	return t.failures > 0 && !t.step.def.LongRunning && t.failures+1 >= t.job().terms.MaxAttempts
}

// allows reports whether a worker satisfies the filter, which may be nil, and what the step asks for.
func (p *plan) allows(n *assign.Node, t *task, filter func(*worker) bool) bool {
	p.core.planCost.checks++
	w, def := p.core.workersByID[n.Index], t.step.def
	return (def.Label == "" || w.hasLabel(def.Label)) &&
		(def.MaxPerWorker <= 0 || w.countStepTasks(t.step) < def.MaxPerWorker) &&
		(filter == nil || filter(w))
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// countStepTasks returns the number of tasks of a step on the worker.
func (w *worker) countStepTasks(s *step) int {
	n := 0
	for t := range w.tasks {
		if t.step == s {
			n++
		}
	}
	return n
}
