package dispatch

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Nothing is started in a closed data centre. Its workers are unschedulable, starts that were decided before are taken
// back or stopped, and long-running tasks are moved out gradually. Leases, stops and CPU limits go on.

const (
	// moveInterval is the time between two decisions about moves.
	moveInterval = 250 * time.Millisecond
	// minLackOfRoom is how long a task must have waited to count as one that lacks room.
	minLackOfRoom = 300 * time.Millisecond
	// stepMargin is the time by which the loop of an owner may notice late that its view has become too old.
	stepMargin = 100 * time.Millisecond
	// minStartLimit leaves a start the time to reach its worker where data centres must be left very soon.
	minStartLimit = time.Second
)

// startLimit returns how long after its decision the start of a task may still be carried out. An owner may not know for
// maxViewAge that the data centre is closed.
func (p *Params) startLimit() time.Duration {
	if p.EvacuationLimit == 0 {
		return p.Lease
	}
	limit := time.Duration(float64(p.EvacuationLimit-maxViewAge-stepMargin) / driftFactor)
	return min(p.Lease, max(minStartLimit, limit))
}

// SetClosed replaces the set of closed data centres.
func (c *Core) SetClosed(now time.Duration, closed evacuation.Set) {
	if maps.Equal(c.closed, closed) {
		return
	}
	c.closed, c.planNeeded = closed, true
	for _, w := range c.workers {
		w.closed = closed.Contains(w.DataCentre)
	}
	c.revokeStarts(now, func(m *Member) bool { return closed.Contains(m.DataCentre) })
}

// HoldStarts keeps starts from being sent, or permits them again. The view of the closed data centres may be too old.
func (c *Core) HoldStarts(now time.Duration, hold bool) {
	if hold != c.startsHeld {
		c.logger.Info("view of closed data centres checked", "starts_held", hold)
	}
	c.startsHeld = hold
	if hold {
		c.revokeStarts(now, func(*Member) bool { return true })
	}
}

// revokeStarts takes back the starts on some workers that are decided but not sent.
func (c *Core) revokeStarts(now time.Duration, revoke func(*Member) bool) {
	orders := c.orders
	c.orders = nil
	for _, o := range orders {
		if s, ok := o.(StartOrder); ok && revoke(&s.Member) {
			c.StartReturned(now, s, CallAnswer{}, &NotSentError{})
			continue
		}
		c.orders = append(c.orders, o)
	}
}

// ClosuresRead reports the closed data centres as a read of their topic has left them. asOf is the time up to which the
// view is complete; it is negative if the log has more records than the read returned.
func (o *Owner) ClosuresRead(closed evacuation.Set, asOf time.Duration) {
	o.post(func(now time.Duration) {
		o.closed = closed
		if asOf >= 0 {
			o.closedAsOf, o.closuresKnown = asOf, true
		}
		if o.core != nil {
			o.core.SetClosed(now, closed)
		}
	})
}

// closuresFresh reports whether the view of the closed data centres is new enough to start tasks. It is the view that was
// handled, which may be older than the one that was read.
func (o *Owner) closuresFresh(now time.Duration) bool {
	return o.closuresKnown && now-o.closedAsOf < maxViewAge
}

// serving reports whether a long-running task is known to serve its callers.
func (t *task) serving() bool {
	return t.phase == workflow.Placed && t.startState == startSettled && t.reported && t.percent >= completePercent &&
		!t.stopWanted && t.worker.failingSince == 0
}

// movable returns the tasks that may be moved out of closed data centres, by step. A gang is not moved: it would be down
// as a whole.
func (c *Core) movable() map[*step][]*task {
	out := map[*step][]*task{}
	for _, w := range c.workers {
		if !w.closed {
			continue
		}
		for t := range w.tasks {
			if t.step.def.LongRunning && !t.step.def.Gang && t.serving() {
				out[t.step] = append(out[t.step], t)
			}
		}
	}
	return out
}

// moveOut stops long-running tasks in closed data centres, so that they start elsewhere.
func (c *Core) moveOut(now time.Duration) {
	if now < c.nextMoves {
		return
	}
	c.nextMoves = now + moveInterval
	c.observeDemand(now)
	if len(c.closed) == 0 && len(c.moving) == 0 {
		return
	}
	for t := range c.moving {
		if t.serving() || t.job().state.Over() {
			delete(c.moving, t)
		}
	}
	clear(c.movesHeld)
	byPool := map[string][]*step{}
	movable := c.movable()
	for s := range movable {
		pool := s.round.job.terms.Pool
		byPool[pool] = append(byPool[pool], s)
	}
	for pool, steps := range byPool {
		slices.SortFunc(steps, compareSteps)
		c.movePool(now, pool, steps, movable)
	}
}

// observeDemand notes what short tasks need, also before a data centre is closed.
func (c *Core) observeDemand(now time.Duration) {
	reserved := map[string]int64{}
	for _, w := range c.workers {
		reserved[w.Pool] += w.node.Reserved.MilliCores - w.longRunning.MilliCores
	}
	for pool, r := range reserved {
		c.demandOf(pool).Observe(now, r, c.largestShort[pool])
	}
	clear(c.largestShort)
}

func (c *Core) demandOf(pool string) *evacuation.Demand {
	d := c.demand[pool]
	if d == nil {
		d = &evacuation.Demand{}
		c.demand[pool] = d
	}
	return d
}

// noteShort notes the size of a placed task that is not long-running.
func (c *Core) noteShort(t *task) {
	if pool := t.job().terms.Pool; !t.step.def.LongRunning {
		c.largestShort[pool] = max(c.largestShort[pool], t.reserved().MilliCores)
	}
}

func compareSteps(a, b *step) int {
	return cmp.Or(cmp.Compare(a.round.job.offset, b.round.job.offset), cmp.Compare(a.round.index, b.round.index),
		cmp.Compare(a.index, b.index))
}

// movePool moves tasks of the given steps of one pool.
func (c *Core) movePool(now time.Duration, pool string, steps []*step, movable map[*step][]*task) {
	p := c.newPlan(now)
	p.warm = true
	nodes := p.candidates(pool)
	d, short := c.demandOf(pool), int64(0)
	e := evacuation.Pool{CallersWait: c.scarce(now) || p.callersLackRoom(pool), Unit: d.Unit()}
	for _, n := range nodes {
		e.Free = append(e.Free, n.Free())
		short += n.Reserved.MilliCores - c.workersByID[n.Index].longRunning.MilliCores
	}
	e.Needed = d.Needed(short)
	for t := range c.moving {
		if t.job().terms.Pool == pool {
			e.Moving++
		}
	}
	for _, t := range c.pending {
		if t.step.def.LongRunning && t.job().terms.Pool == pool {
			e.Promised += t.reserved().MilliCores
		}
	}
	for _, s := range steps {
		e.Steps = append(e.Steps, p.stepToMove(s, len(movable[s]), nodes))
	}
	moves, held := e.Moves()
	if len(held) > 0 {
		c.movesHeld[pool] = held
	}
	for i, n := range moves {
		tasks := movable[steps[i]]
		slices.SortFunc(tasks, func(a, b *task) int { return cmp.Compare(a.id.Index, b.id.Index) })
		for _, t := range tasks[:n] {
			c.logger.Info("task moved out of closed data centre", "task", t.id, "run", t.run, "worker", t.worker.ID,
				"data_centre", t.worker.DataCentre, "down", e.Steps[i].Down, "budget", e.Steps[i].Budget)
			c.moving[t], t.avoidWorker = struct{}{}, t.worker.ID
			c.metrics.moved()
			c.stopAttempt(t)
		}
	}
}

// stepToMove describes a step with movable tasks. Its tasks may be placed on some of the nodes only.
func (p *plan) stepToMove(s *step, movable int, nodes []*assign.Node) evacuation.Step {
	out := evacuation.Step{Size: s.def.Reserved(), Budget: s.def.DisruptionBudget, Movable: movable}
	for _, t := range s.tasks {
		if !t.serving() {
			out.Down++
		}
	}
	if t := s.tasks[0]; t.restricted() {
		filter := p.requireApproval(t, nil)
		out.Admits = func(i int) bool { return p.allows(nodes[i], t, filter) }
	}
	return out
}

// callersLackRoom reports whether a task of the pool waits for room that other work on open workers takes. A task that no
// open worker could hold, or whose result has no value any more, does not count.
func (p *plan) callersLackRoom(pool string) bool {
	possible := map[noRoomKey]bool{}
	for _, t := range p.core.pending {
		if t.job().terms.Pool != pool || t.unplaced != unplacedNoWorker || p.now-t.queuedAt < minLackOfRoom ||
			t.tier(p.now) == tierTooLate {
			continue
		}
		key := p.noRoomKey(t, reachUsable)
		ok, known := possible[key]
		if !known {
			ok = slices.ContainsFunc(p.candidates(pool), func(n *assign.Node) bool {
				return p.core.workersByID[n.Index].couldHold(t)
			})
			possible[key] = ok
		}
		if ok {
			return true
		}
	}
	return false
}

// couldHold reports whether the worker could take a task if it were empty.
func (w *worker) couldHold(t *task) bool { return t.reserved().Fits(w.Capacity) && w.suits(t) }

// closedLoad is what closed data centres cost at the time of a summary.
type closedLoad struct {
	// waiting is the number of tasks that found no worker while one in a closed data centre has room for them;
	// waitingServices is the number of long-running ones among them.
	waiting, waitingServices int
	// remaining is the number of long-running tasks in closed data centres, moving that of the tasks being moved.
	remaining, moving int
}

func (c *Core) newClosedLoad() closedLoad {
	l := closedLoad{moving: len(c.moving)}
	var closed []*worker
	for _, w := range c.workers {
		if !w.closed {
			continue
		}
		if !w.unavailable() {
			closed = append(closed, w)
		}
		for t := range w.tasks {
			if t.step.def.LongRunning {
				l.remaining++
			}
		}
	}
	if len(closed) == 0 {
		return l
	}
	hasRoom := map[noRoomKey]bool{}
	for _, t := range c.pending {
		if t.unplaced != unplacedNoWorker {
			continue
		}
		key := noRoomKey{pool: t.job().terms.Pool, label: t.step.def.Label, size: t.reserved()}
		ok, known := hasRoom[key]
		if !known {
			ok = slices.ContainsFunc(closed, func(w *worker) bool {
				return w.suits(t) && t.reserved().Fits(w.Capacity.Sub(w.node.Reserved))
			})
			hasRoom[key] = ok
		}
		if !ok {
			continue
		}
		l.waiting++
		if t.step.def.LongRunning {
			l.waitingServices++
		}
	}
	return l
}

func (c *Core) logClosed(l *closedLoad) {
	if len(c.closed) == 0 {
		return
	}
	held := make([]any, 0, len(c.movesHeld))
	for pool, why := range c.movesHeld {
		held = append(held, slog.Any(pool, why))
	}
	c.logger.Info("data centres closed", "data_centres", slices.Sorted(maps.Keys(c.closed)), "waiting", l.waiting,
		"waiting_services", l.waitingServices, "services_left", l.remaining, "moving", l.moving,
		slog.Group("moves_held", held...))
}
