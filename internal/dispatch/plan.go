package dispatch

import (
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// maxPlacements limits one plan, so that renewals and ends are not delayed.
const maxPlacements = 200

const (
	// minPlanInterval limits how often plans are made; tasks that become pending in between are placed together.
	minPlanInterval = 10 * time.Millisecond
	// replanInterval is how soon tasks without room are tried again when no change is known.
	replanInterval = 100 * time.Millisecond
)

// Plan places the pending tasks for which there is room.
func (c *Core) Plan(now time.Duration) {
	c.activateDueRounds(now)
	if len(c.pending) == 0 || now-c.lastPlan < minPlanInterval || !c.replan && now-c.lastPlan < replanInterval {
		return
	}
	c.lastPlan, c.replan = now, false
	c.sortPending(now)
	p := c.newPlan(now)
	rest := c.pending[:0]
	for _, t := range c.pending {
		if t.phase != workflow.Pending || t.job().cancelled || t.job().state.Over() {
			t.queued = false
			continue
		}
		if p.placed >= maxPlacements || t.notBefore > now || c.mustHold(now, t) || !p.place(t) {
			c.recordShortage(now, t)
			rest = append(rest, t)
			continue
		}
		t.queued = false
	}
	clear(c.pending[len(rest):])
	c.pending = rest
}

func (c *Core) activateDueRounds(now time.Duration) {
	if len(c.scheduledRounds) == 0 {
		return
	}
	wall := c.wallClock()
	rest := c.scheduledRounds[:0]
	var due []*round
	for _, r := range c.scheduledRounds {
		switch {
		case r.job.state.Over():
		case wall.Before(r.due):
			rest = append(rest, r)
		default:
			due = append(due, r)
		}
	}
	c.scheduledRounds = rest
	for _, r := range due {
		c.activateRound(now, r)
	}
}

// plan is one pass over the pending tasks.
type plan struct {
	core *Core
	now  time.Duration
	// healthy caches the candidates of each service; all also contains workers in quarantine.
	healthy, all map[string][]*assign.Node
	placed       int
	// full holds the sizes for which no worker had room, fullSteps the steps whose restrictions left no candidate.
	full      map[fullKey]struct{}
	fullSteps map[*step]struct{}
}

type fullKey struct {
	service, label string
	size           resource.Vector
	holdExpired    bool
}

func (c *Core) newPlan(now time.Duration) *plan {
	return &plan{core: c, now: now, healthy: map[string][]*assign.Node{}, all: map[string][]*assign.Node{},
		full: map[fullKey]struct{}{}, fullSteps: map[*step]struct{}{}}
}

// candidates returns the workers of a service that may get tasks.
func (p *plan) candidates(service string) []*assign.Node {
	return p.collectNodes(p.healthy, service, true)
}

// candidatesWithQuarantined includes workers in quarantine: a service must be placed where there is room, and a
// failure costs it little.
func (p *plan) candidatesWithQuarantined(service string) []*assign.Node {
	return p.collectNodes(p.all, service, false)
}

func (p *plan) collectNodes(cache map[string][]*assign.Node, service string, skipQuarantined bool) []*assign.Node {
	if n, ok := cache[service]; ok {
		return n
	}
	var out []*assign.Node
	for _, w := range p.core.sortedWorkers() {
		if w.Service != service || w.unusable() || skipQuarantined && w.quarantinedUntil > p.now ||
			w.fullUntil > p.now || w.failingSince != 0 {
			continue
		}
		w.node.ID, w.node.Rack, w.node.Capacity = w.ID, w.Rack, w.Capacity
		w.node.Slack, w.node.RecentlyFailed = 1-w.worstTailRatio, w.consecutiveFailures > 0
		out = append(out, &w.node)
	}
	cache[service] = out
	return out
}

// sortedWorkers returns all workers, sorted by id.
func (c *Core) sortedWorkers() []*worker {
	if len(c.workersByID) != len(c.workers) {
		c.workersByID = c.workersByID[:0]
		for _, w := range c.workers {
			c.workersByID = append(c.workersByID, w)
		}
		sort.Slice(c.workersByID, func(i, k int) bool { return c.workersByID[i].ID < c.workersByID[k].ID })
	}
	return c.workersByID
}

// place places a task, or all tasks of its gang, and reports whether it did.
func (p *plan) place(t *task) bool {
	if t.step.def.Gang {
		return p.placeGang(t.step)
	}
	var usable func(*worker) bool
	if t.lastAttempt() && p.now-t.queuedAt < lastAttemptHold {
		usable = func(w *worker) bool { return w.consecutiveFailures == 0 }
	}
	node := p.chooseNode(t, usable)
	if node == nil {
		p.requestAdvice(t)
		return false
	}
	p.assignTask(t, node, t.run+1)
	return true
}

// lastAttemptHold is how long the last attempt of a task waits for a worker without recent failures.
const lastAttemptHold = 2 * time.Second

// lastAttempt reports whether another failure of the task would fail the submission.
func (t *task) lastAttempt() bool {
	return t.failures > 0 && !t.step.def.Service && t.failures+1 >= t.job().terms.MaxAttempts
}

func (p *plan) chooseNode(t *task, usable func(*worker) bool) *assign.Node {
	usable = p.requirePermit(t, usable)
	def, terms := t.step.def, &t.job().terms
	holdExpired := t.holdExpired(p.now)
	key := fullKey{service: terms.Service, label: def.Label, size: def.Reserved(), holdExpired: holdExpired}
	if _, ok := p.full[key]; ok {
		return nil
	}
	if _, ok := p.fullSteps[t.step]; ok {
		return nil
	}
	nodes := p.candidates(terms.Service)
	if holdExpired {
		nodes = p.candidatesWithQuarantined(terms.Service)
	}
	restricted := def.Label != "" || def.MaxPerWorker > 0 || usable != nil
	if restricted {
		nodes = p.filterNodes(nodes, t, usable)
	}
	n := assign.Choose(nodes, &assign.Task{Size: def.Size, BestEffort: def.BestEffort, Service: latencyCritical(def),
		Image: def.Image, DataRack: def.DataRack, AvoidWorker: t.avoidWorker,
		Disturbance: p.core.disturbance(p.now, t)})
	switch {
	case n != nil || usable != nil:
	case restricted:
		p.fullSteps[t.step] = struct{}{}
	default:
		p.full[key] = struct{}{}
	}
	return n
}

func (p *plan) filterNodes(nodes []*assign.Node, t *task, usable func(*worker) bool) []*assign.Node {
	out := make([]*assign.Node, 0, len(nodes))
	for _, n := range nodes {
		w := p.core.workers[n.ID]
		if l := t.step.def.Label; l != "" && !w.hasLabel(l) {
			continue
		}
		if m := t.step.def.MaxPerWorker; m > 0 && w.countStepTasks(t.step) >= m {
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

func (p *plan) assignTask(t *task, n *assign.Node, run int) {
	c := p.core
	w := c.workers[n.ID]
	t.run, t.workerBorn, t.order, t.batch, t.startTries = run, w.Born, orderUncommitted, 0, 0
	w.addTask(t)
	j := t.job()
	j.placed++
	if j.state == workflow.Queued {
		j.state = workflow.Running
	}
	c.uncommitted = append(c.uncommitted, t)
	c.markDirty(j)
	p.placed++
	c.logger.Info("task placed", "task", t.id, "run", run, "worker", w.ID,
		"waited_ms", (p.now - t.queuedAt).Milliseconds(), "failures", t.failures)
}
