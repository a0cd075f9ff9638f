package dispatch

import (
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// maxPlacements limits one plan, so that lease renewals and the handling of ended tasks are not delayed.
const maxPlacements = 200

const (
	// minPlanInterval limits how often plans are made; tasks that become pending in between are placed together.
	minPlanInterval = 10 * time.Millisecond
	// planIntervalPerTask makes plans rarer while many tasks wait: a plan goes through all of them, for up to 2 us each.
	planIntervalPerTask = 5 * time.Microsecond
	// noRoomRetryInterval is the interval at which tasks that found no room are tried again if nothing has changed.
	noRoomRetryInterval = 100 * time.Millisecond
)

// Plan places the pending tasks for which there is room.
func (c *Core) Plan(now time.Duration) {
	c.activateDueRounds(now)
	c.checkHealth(now)
	c.moveOut(now)
	c.placeCopies(now)
	if len(c.pending) == 0 || now-c.lastPlan < c.planInterval() ||
		!c.planNeeded && now-c.lastPlan < noRoomRetryInterval {
		return
	}
	c.lastPlan, c.planNeeded, c.planCutShort = now, false, false
	sortTasks(now, c.pending)
	p := c.newPlan(now)
	c.planCost.plans++
	c.planCost.tasks += len(c.pending)
	rest := c.pending[:0]
	for _, t := range c.pending {
		if t.phase != workflow.Pending || t.job().cancelled || t.job().state.Over() {
			t.queued = false
			continue
		}
		if t.unplaced = p.tryPlace(t); t.unplaced != unplacedNone {
			c.noteShortage(now, t)
			c.noteInTimeWait(now, t)
			p.noteAhead(t)
			rest = append(rest, t)
			continue
		}
		t.queued = false
	}
	p.preempt(rest)
	rest = p.giveTurns(rest)
	clear(c.pending[len(rest):])
	c.pending = rest
	if p.placed >= maxPlacements {
		// The tasks that were not tried may find room.
		c.planCutShort, c.planNeeded = true, true
	}
}

// planInterval returns the least time between two plans. It does not grow with the backlog while tasks find room.
func (c *Core) planInterval() time.Duration {
	if c.planCutShort {
		return minPlanInterval
	}
	return min(max(minPlanInterval, time.Duration(len(c.pending))*planIntervalPerTask), noRoomRetryInterval)
}

// tryPlace places a task and returns unplacedNone, or returns why it stays pending.
func (p *plan) tryPlace(t *task) unplaced {
	switch {
	case p.placed >= maxPlacements:
		return unplacedPlanFull
	case t.notBefore > p.now:
		return unplacedBackoff
	case p.core.mustWait(p.now, t):
		return unplacedYields
	case p.place(t):
		return unplacedNone
	case p.awaitsRack:
		return unplacedAwaitsRack
	}
	return unplacedNoWorker
}

// plan is one pass over the pending tasks.
type plan struct {
	core   *Core
	number int64
	now    time.Duration
	// nodes caches the candidates of each pool of workers.
	nodes map[candidateKey][]*assign.Node
	// badWorkers is what is known of the bad workers of each pool.
	badWorkers map[string]badWorkers
	placed     int
	// noRoom holds the sizes for which no worker had room.
	noRoom   map[noRoomKey]struct{}
	bound    *bestEffortBound
	rankings map[rankingKey]*planRanking
	// turns is set once the plan gives turns to submissions with nothing running.
	turns *turns
	// changed holds the nodes that have taken a task, in order.
	changed []*assign.Node
	// held is the number of workers that get no other task in this plan, which are heldWorkers.
	held        int
	heldWorkers map[*worker]bool
	// heldLimits caches maxHeld.
	heldLimits map[poolLabel]int
	// noHold holds the tasks for which no other worker can be held.
	noHold map[holdKey]struct{}
	// warm leaves out the cold workers.
	warm bool
	// rackViews holds the racks of each pool, once a task asks for one.
	rackViews map[string]*poolView
	// awaitsRack is set if the task that was tried last waits for a better place by choice. gangRack is the place of the last
	// gang that was asked.
	awaitsRack bool
	gangRack   string
}

// candidateKey identifies the candidates for tasks.
type candidateKey struct {
	pool  string
	reach reach
}

// rankingKey holds what the scores of the workers depend on.
type rankingKey struct {
	pool, image, dataRack                string
	size                                 resource.Vector
	reach                                reach
	bestEffort, latencyCritical, bounded bool
	// near is set for the workers in the rack of the data only.
	near bool
}

// planRanking is a ranking and the number of changed nodes that it contains.
type planRanking struct {
	*assign.Ranking
	seen int
}

func (c *Core) newPlan(now time.Duration) *plan {
	c.planNumber++
	return &plan{core: c, number: c.planNumber, now: now, nodes: map[candidateKey][]*assign.Node{},
		noRoom: map[noRoomKey]struct{}{}, bound: newBestEffortBound(c, now),
		rankings: map[rankingKey]*planRanking{}, noHold: map[holdKey]struct{}{}, heldLimits: map[poolLabel]int{}}
}

// candidates returns the workers of a pool that may get any task.
func (p *plan) candidates(pool string) []*assign.Node { return p.candidatesWithin(pool, reachUsable) }

// candidatesWithin returns the workers of a pool within a reach.
func (p *plan) candidatesWithin(pool string, reach reach) []*assign.Node {
	key := candidateKey{pool, reach}
	if n, ok := p.nodes[key]; ok {
		return n
	}
	workers := p.core.sortedWorkers()
	out := make([]*assign.Node, 0, len(workers))
	for i, w := range workers {
		if w.Pool != pool {
			continue
		}
		e := w.exclusion(p.now)
		if !reach.includes(e) || reach != reachExpired && p.held > 0 && p.heldWorkers[w] {
			continue
		}
		w.node.Cold = w.coldUntil > p.now
		if p.warm && w.node.Cold {
			continue
		}
		w.node.ID, w.node.Rack, w.node.Index, w.node.Capacity = w.ID, w.Rack, i, w.Capacity
		w.load.Capacity = w.Capacity.MilliCores
		w.node.Slack, w.node.Bad = 1-w.worstTailRatio, e != excludedNone
		w.node.RecentlyFailed = !w.node.Bad && w.health.RecentlyFailed()
		out = append(out, &w.node)
	}
	p.nodes[key] = out
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
	p.awaitsRack = false
	if t.step.def.Gang {
		return p.placeGang(t.step)
	}
	node := p.chooseNode(t)
	if node == nil && p.awaitsRack {
		return false
	}
	if node == nil {
		p.requestAdvice(t)
		p.hold(t)
		return false
	}
	p.assignTask(t, node, t.lastRun()+1)
	return true
}

// ranking returns the ranking of the nodes within a reach for a task.
func (p *plan) ranking(t *task, reach reach, bounded bool) *assign.Ranking {
	key := p.rankingKey(t, reach, bounded)
	r := p.rankings[key]
	if r == nil {
		nodes := p.candidatesWithin(key.pool, reach)
		var admits func(*assign.Node) bool
		if bounded {
			nodes = p.bound.withRoom(t, reach, nodes)
			if len(nodes) > 0 {
				admits = p.bound.admits(t, p.candidates(key.pool))
			}
		}
		r = &planRanking{Ranking: assign.NewRanking(nodes, p.core.placement(p.now, t, ""), admits), seen: len(p.changed)}
		p.rankings[key] = r
	}
	p.update(r)
	return r.Ranking
}

func (p *plan) rankingKey(t *task, reach reach, bounded bool) rankingKey {
	def := t.step.def
	return rankingKey{pool: t.job().terms.Pool, image: def.Image, dataRack: def.DataRack, size: def.Size,
		reach: reach, bestEffort: def.BestEffort, latencyCritical: latencyCritical(def), bounded: bounded}
}

// update scores the nodes again that have taken a task since the last use of a ranking.
func (p *plan) update(r *planRanking) {
	for _, n := range p.changed[r.seen:] {
		r.Update(n)
	}
	r.seen = len(p.changed)
}

// placement returns the description of a task for the choice of its worker.
func (c *Core) placement(now time.Duration, t *task, avoidWorker string) *assign.Task {
	def := t.step.def
	return &assign.Task{Size: def.Size, BestEffort: def.BestEffort, LatencyCritical: latencyCritical(def),
		Image: def.Image, DataRack: def.DataRack, AvoidWorker: avoidWorker, TailRise: c.tailRise(now, t)}
}

func (p *plan) assignTask(t *task, n *assign.Node, run int) {
	c := p.core
	w := c.workers[n.ID]
	p.changed = append(p.changed, n)
	c.nextExpiry = min(c.nextExpiry, w.leaseEnd)
	t.run, t.workerStartedAt, t.startState, t.commitBatch, t.startCalls = run, w.StartedAt, startUncommitted, 0, 0
	t.startCutShort = false
	t.placedAt, t.takesAnyRack = p.now, false
	c.endTaskRackWait(p.now, t, n)
	w.addTask(t)
	w.noteShared(p.now)
	c.trackCopyable(t)
	j := t.job()
	j.probed = j.probed || w.exclusion(p.now) == excludedProbation
	j.placed++
	if j.state == workflow.Queued {
		j.state = workflow.Running
	}
	c.uncommitted = append(c.uncommitted, t)
	c.noteShort(t)
	if t.original == nil {
		// A copy has not waited, and does not show that its class finds room.
		c.timing.observe(phaseWait, p.now-t.queuedAt)
		c.notePlaced(p.now, t)
	}
	c.markDirty(j)
	p.placed++
	c.logger.Info("task placed", "task", t.id, "run", run, "worker", w.ID, "born", w.StartedAt,
		"waited_ms", (p.now - t.queuedAt).Milliseconds(), "failures", t.failures,
		"millicores", t.step.def.Size.MilliCores, "mb", t.step.def.Size.MemoryMB)
}
