package dispatch

import (
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// maxPlacements bounds one plan, so that renewals and ends are not kept waiting.
const maxPlacements = 200

const (
	// planSpacing bounds how often plans are made; what comes up in that time is placed together.
	planSpacing = 10 * time.Millisecond
	// planRetry is how soon tasks without room are looked at again when nothing is known to have changed.
	planRetry = 100 * time.Millisecond
)

// Plan places what is pending, as far as there is room.
func (c *Core) Plan(now time.Duration) {
	c.openDue(now)
	if len(c.pending) == 0 || now-c.planned < planSpacing || !c.changed && now-c.planned < planRetry {
		return
	}
	c.planned, c.changed = now, false
	c.sortPending(now)
	p := c.newPlan(now)
	rest := c.pending[:0]
	for _, t := range c.pending {
		if t.phase != workflow.Pending || t.job().cancelled || t.job().state.Over() {
			t.queued = false
			continue
		}
		if p.placed >= maxPlacements || t.notBefore > now || c.held(now, t) || !p.place(t) {
			c.noteShortage(now, t)
			rest = append(rest, t)
			continue
		}
		t.queued = false
	}
	clear(c.pending[len(rest):])
	c.pending = rest
}

func (c *Core) openDue(now time.Duration) {
	if len(c.waiting) == 0 {
		return
	}
	wall := c.now()
	rest := c.waiting[:0]
	var due []*round
	for _, r := range c.waiting {
		switch {
		case r.job.state.Over():
		case wall.Before(r.due):
			rest = append(rest, r)
		default:
			due = append(due, r)
		}
	}
	c.waiting = rest
	for _, r := range due {
		c.openRound(now, r)
	}
}

// plan is one round of placements.
type plan struct {
	core *Core
	now  time.Duration
	// nodes are the candidates of each service, made when the first task asks for them; all includes workers in quarantine.
	nodes, all map[string][]*assign.Node
	placed     int
	// full holds the sizes for which no worker had room, fullSteps the steps whose restrictions left none.
	full      map[fullKey]struct{}
	fullSteps map[*step]struct{}
}

type fullKey struct {
	service, label string
	size           resource.Vector
	due            bool
}

func (c *Core) newPlan(now time.Duration) *plan {
	return &plan{core: c, now: now, nodes: map[string][]*assign.Node{}, all: map[string][]*assign.Node{}, full: map[fullKey]struct{}{}, fullSteps: map[*step]struct{}{}}
}

// candidates returns the workers of a service that may get tasks.
func (p *plan) candidates(service string) []*assign.Node { return p.collect(p.nodes, service, true) }

// everyCandidate returns also those in quarantine: a service must be placed where there is room, and a failure costs it little.
func (p *plan) everyCandidate(service string) []*assign.Node {
	return p.collect(p.all, service, false)
}

func (p *plan) collect(known map[string][]*assign.Node, service string, quarantine bool) []*assign.Node {
	if n, ok := known[service]; ok {
		return n
	}
	var out []*assign.Node
	for _, w := range p.core.sortedWorkers() {
		if w.Service != service || w.unusable() || quarantine && w.quarantine > p.now || w.fullUntil > p.now || w.failingSince != 0 {
			continue
		}
		w.node.ID, w.node.Rack, w.node.Capacity = w.ID, w.Rack, w.Capacity
		w.node.Slack, w.node.Unproven = 1-w.pressure, w.failedInRow > 0
		out = append(out, &w.node)
	}
	known[service] = out
	return out
}

// sortedWorkers returns all workers by id.
func (c *Core) sortedWorkers() []*worker {
	if len(c.sorted) != len(c.workers) {
		c.sorted = c.sorted[:0]
		for _, w := range c.workers {
			c.sorted = append(c.sorted, w)
		}
		sort.Slice(c.sorted, func(i, k int) bool { return c.sorted[i].ID < c.sorted[k].ID })
	}
	return c.sorted
}

// place places a task, or all tasks of its gang, and reports whether it did.
func (p *plan) place(t *task) bool {
	if t.step.def.Gang {
		return p.placeGang(t.step)
	}
	var usable func(*worker) bool
	if t.lastAttempt() && p.now-t.queuedAt < carefulTime {
		usable = func(w *worker) bool { return w.failedInRow == 0 }
	}
	w := p.choose(t, usable)
	if w == nil {
		p.ask(t)
		return false
	}
	p.assign(t, w, t.run+1)
	return true
}

// carefulTime is how long the last attempt of a task waits for a worker on which nothing has failed of late.
const carefulTime = 2 * time.Second

// lastAttempt reports whether another failure would end the submission.
func (t *task) lastAttempt() bool {
	return t.failures > 0 && !t.step.def.Service && t.failures+1 >= t.job().terms.MaxAttempts
}

func (p *plan) choose(t *task, usable func(*worker) bool) *assign.Node {
	usable = p.permitted(t, usable)
	def, terms := t.step.def, &t.job().terms
	due := t.due(p.now)
	key := fullKey{service: terms.Service, label: def.Label, size: def.Reserved(), due: due}
	if _, ok := p.full[key]; ok {
		return nil
	}
	if _, ok := p.fullSteps[t.step]; ok {
		return nil
	}
	nodes := p.candidates(terms.Service)
	if due {
		nodes = p.everyCandidate(terms.Service)
	}
	restricted := def.Label != "" || def.MaxPerWorker > 0 || usable != nil
	if restricted {
		nodes = p.restrict(nodes, t, usable)
	}
	n := assign.Choose(nodes, &assign.Task{Size: def.Size, BestEffort: def.BestEffort, Service: latencyCritical(def), Image: def.Image,
		DataRack: def.DataRack, Avoid: t.avoid, Disturbance: p.core.disturbance(p.now, t)})
	switch {
	case n != nil || usable != nil:
	case restricted:
		p.fullSteps[t.step] = struct{}{}
	default:
		p.full[key] = struct{}{}
	}
	return n
}

func (p *plan) restrict(nodes []*assign.Node, t *task, usable func(*worker) bool) []*assign.Node {
	out := make([]*assign.Node, 0, len(nodes))
	for _, n := range nodes {
		w := p.core.workers[n.ID]
		if l := t.step.def.Label; l != "" && !w.hasLabel(l) {
			continue
		}
		if m := t.step.def.MaxPerWorker; m > 0 && w.count(t.step) >= m {
			continue
		}
		if usable != nil && !usable(w) {
			continue
		}
		out = append(out, n)
	}
	return out
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// count returns how many tasks of a step the worker holds.
func (w *worker) count(s *step) int {
	n := 0
	for t := range w.tasks {
		if t.step == s {
			n++
		}
	}
	return n
}

func (p *plan) assign(t *task, n *assign.Node, run int) {
	c := p.core
	w := c.workers[n.ID]
	t.run, t.born, t.order, t.batch, t.attempts = run, w.Born, orderStoring, 0, 0
	w.hold(t)
	j := t.job()
	j.placed++
	if j.state == workflow.Queued {
		j.state = workflow.Running
	}
	c.committing = append(c.committing, t)
	c.markDirty(j)
	p.placed++
	c.logger.Info("task placed", "task", t.id, "run", run, "worker", w.ID, "waited_ms", (p.now - t.queuedAt).Milliseconds(), "failures", t.failures)
}
