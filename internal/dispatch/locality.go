package dispatch

import (
	"log/slog"
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/locality"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// A task that would run away from the rack of its data, or a gang on more than one rack, may wait for a better place. The
// rule is in package locality; its inputs are the ends of tasks that this owner has placed, so a successor places at once
// until it has seen some. Nothing of it is stored.

// gangRetryInterval is the time between two searches for a waiting gang: each goes through all workers of its pool.
const gangRetryInterval = 50 * time.Millisecond

// rackWaits is the owner's state of the waits for racks.
type rackWaits struct {
	// decide is locality.Decide, unless a test compares another rule.
	decide func(*locality.Request) locality.Decision
	// outcomes holds those of the waits for each rack. Only racks of workers get an entry.
	outcomes map[rackKey]*rackOutcomes
	// The following fields count since the last summary.
	reasons [locality.Reasons]int
	counts  rackCounts
}

// rackOutcomes are separate for gangs, which need more room than tasks.
type rackOutcomes struct{ tasks, gangs locality.Outcomes }

type rackKey struct{ pool, rack string }

// rackCounts counts the waits that have ended.
type rackCounts struct {
	// paid counts the waits of tasks and gangs that got the place for which they waited, vain the others that were placed.
	paid, vain int
	// waited is how long all of them have waited, gained what the better places saved beyond that, as expected, and lost what
	// they did not save.
	waited, gained, lost time.Duration
}

// rackWait is the wait of a task, or of a gang, whose first task stands for it.
type rackWait struct {
	// active is set from the first decision to wait until the task is placed. since is when it was made.
	active bool
	since  time.Duration
	// until is when the wait is decided anew. retryAt is when a gang is tried again.
	until, retryAt time.Duration
	// spent is the sum of the earlier waits.
	spent time.Duration
	// gain is what the better place is expected to save; rack is that place.
	gain time.Duration
	rack string
}

// busyShare is the share of a pool that must be reserved for the time without a running task not to count. It is above
// idleShare, so that the pool does not fall below that during a wait.
const busyShare = 0.6

// waitedForRack returns how long the task has waited for a better place. A submission with nothing running must not wait for
// long in all while the pool is idle, so its time without a running task counts then.
func (t *task) waitedForRack(now time.Duration, busy bool) time.Duration {
	waited := t.rackWait.spent
	if t.rackWait.active {
		waited += now - t.rackWait.since
	}
	if t.job().placed == 0 && !busy {
		waited = max(waited, t.idleTime(now))
	}
	return waited
}

// expectedWork returns how long the task is expected to run in the better place; 0 if that is unknown.
func expectedWork(t *task) time.Duration { return t.step.duration }

// prefersRack reports whether the run time of the task depends on its rack, and is expected to be known.
func (c *Core) prefersRack(t *task) bool {
	def := t.step.def
	if c.params.RemoteSlowdown <= 1 || def.LongRunning || expectedWork(t) <= 0 {
		return false
	}
	if def.Gang {
		return def.SameRack && len(t.step.tasks) > 1
	}
	return def.DataRack != ""
}

// rackView is what a plan knows of one rack of a pool.
type rackView struct {
	// nodes are the candidates that are warm.
	nodes []*assign.Node
	// freed is the room that has become free on them, valid if measured is set.
	freed locality.Flow
	// load is the share of the rack's processors for short tasks that tasks with their data in the rack have used; valid if
	// measured is set.
	load     float64
	measured bool
	// ahead is what the tasks request that come first in the plan and wait for room in the rack.
	ahead int64
}

// poolView is what a plan knows of the racks of a pool.
type poolView struct {
	// racks holds those with a warm candidate.
	racks map[string]*rackView
	// load is the share of the processors that short tasks request of those that long-running ones leave; busy reports whether
	// busyShare of the pool is reserved.
	load float64
	busy bool
}

// racks returns the racks of a pool as they were when the plan first asked, but for the room in them.
func (p *plan) racks(pool string) *poolView {
	if view, ok := p.rackViews[pool]; ok {
		return view
	}
	views := map[string]*rackView{}
	capacity, reserved, services, bestEffort := int64(0), int64(0), int64(0), int64(0)
	for _, n := range p.candidates(pool) {
		capacity, reserved, bestEffort = capacity+n.Capacity.MilliCores, reserved+n.Reserved.MilliCores, bestEffort+n.BestEffort
		services += p.core.workersByID[n.Index].longRunning.MilliCores
		if n.Rack == "" || n.Cold {
			continue
		}
		v := views[n.Rack]
		if v == nil {
			v = &rackView{}
			views[n.Rack] = v
		}
		v.nodes = append(v.nodes, n)
	}
	view := &poolView{racks: views, load: float64(reserved-services+bestEffort) / float64(max(1, capacity-services)),
		busy: float64(reserved) >= busyShare*float64(capacity)}
	if p.rackViews == nil {
		p.rackViews = map[string]*poolView{}
	}
	p.rackViews[pool] = view
	return view
}

// window returns the effective time over which the flows of workers were observed, see locality.Window.
func (p *plan) window() time.Duration { return locality.Window(p.now - p.core.ownerSince) }

func (p *plan) measure(v *rackView) {
	if v.measured {
		return
	}
	v.measured = true
	var near locality.Flow
	room := int64(0)
	for _, n := range v.nodes {
		w := p.core.workersByID[n.Index]
		near, room = near.Add(w.near.At(p.now)), room+w.Capacity.MilliCores-w.longRunning.MilliCores
		v.freed = v.freed.Add(w.freed.At(p.now))
	}
	v.load = near.PerSecond(p.window()) / float64(max(1, room))
}

// forgetRack drops what depends on the candidates of a pool, because one of them is held. The count of tasks that come first is kept.
func (p *plan) forgetRack(pool string, held *assign.Node) {
	if view := p.rackViews[pool]; view != nil && view.racks[held.Rack] != nil {
		v := view.racks[held.Rack]
		v.nodes, v.freed, v.measured = without(v.nodes, held), locality.Flow{}, false
	}
}

// noteAhead counts a task that was left pending among those that come first in its rack.
func (p *plan) noteAhead(t *task) {
	if t.step.def.Gang || t.notBefore > p.now || !p.core.prefersRack(t) {
		return
	}
	if v := p.racks(t.job().terms.Pool).racks[t.step.def.DataRack]; v != nil {
		v.ahead += max(1, requestedMilliCores(t.step.def))
	}
}

// nearNode returns the node for a task in the rack of its data; nil if none of its warm workers has room.
func (p *plan) nearNode(t *task, v *rackView, bounded bool, search candidateSearch, accept func(*assign.Node) bool) *assign.Node {
	failedIn := &t.step.noNear[search.index()]
	if v == nil || *failedIn == p.number {
		return nil
	}
	key := p.rankingKey(t, reachUsable, bounded)
	key.near = true
	r := p.rankings[key]
	if r == nil {
		var admits func(*assign.Node) bool
		if bounded {
			admits = p.bound.admits(t, p.candidates(t.job().terms.Pool))
		}
		r = &planRanking{Ranking: assign.NewRanking(v.nodes, p.core.placement(p.now, t, ""), admits), seen: len(p.changed)}
		p.rankings[key] = r
	}
	p.update(r)
	n := r.Best(t.avoidWorker, accept)
	if n == nil {
		*failedIn = p.number
	}
	return n
}

// canHold reports whether the rack could take a task of the step if only its long-running tasks were there. It is checked
// once in each plan.
func (p *plan) canHold(s *step, v *rackView) bool {
	if v == nil {
		return false
	}
	if s.rackCheckedIn != p.number {
		s.rackCheckedIn, s.rackCanHold = p.number, p.slots(s, v, 1) >= 1
	}
	return s.rackCanHold
}

// lastingTasks returns the number of tasks of a step on the worker that are expected to run for longer than any wait, if the step
// limits the tasks on one worker.
func (w *worker) lastingTasks(s *step, now time.Duration) int {
	n := 0
	if s.def.MaxPerWorker <= 0 {
		return n
	}
	for t := range w.tasks {
		if t.step != s {
			continue
		}
		left := s.duration
		if t.startedAt > 0 {
			left = t.remaining(now)
		}
		if left > locality.MaxWait {
			n++
		}
	}
	return n
}

// slots returns how many tasks of a step the rack could take if only its long-running tasks and those that keep others of the step
// away were there, up to a limit.
func (p *plan) slots(s *step, v *rackView, limit int) int {
	need, t, slots := s.def.Size, s.tasks[0], 0
	filter := p.requireApproval(t, nil)
	for _, n := range v.nodes {
		w := p.core.workersByID[n.Index]
		free := w.Capacity.Sub(w.longRunning)
		if !need.Fits(free) || !w.suits(t) || filter != nil && !filter(w) {
			continue
		}
		for taken := w.lastingTasks(s, p.now); need.Fits(free) && (s.def.MaxPerWorker <= 0 || taken < s.def.MaxPerWorker); taken++ {
			if slots++; slots >= limit {
				return slots
			}
			free = free.Sub(need)
		}
	}
	return slots
}

// awaits reports whether a task goes on with a wait that was decided before. A place that cannot become free ends it.
func (p *plan) awaits(t *task, v *rackView) bool {
	w := &t.rackWait
	return w.active && p.now < w.until && p.canHold(t.step, v)
}

// asksToWait decides whether a task waits for its rack although there is room elsewhere.
func (p *plan) asksToWait(t *task, v *rackView) bool {
	r := locality.Request{Place: locality.Place{Possible: p.canHold(t.step, v)}}
	if v != nil {
		p.measure(v)
		r.Needed, r.Ahead, r.Place.Freed = max(1, requestedMilliCores(t.step.def)), v.ahead, v.freed
		r.Place.Load = v.load
	}
	if o := p.core.rackWaits.outcomes[rackKey{t.job().terms.Pool, t.step.def.DataRack}]; o != nil {
		r.Place.Outcomes = o.tasks.At(p.now)
	}
	return p.decide(t, &r, t.step.def.DataRack)
}

// decide completes a request for a task and applies the decision.
func (p *plan) decide(t *task, r *locality.Request, rack string) bool {
	c, j, w := p.core, t.job(), &t.rackWait
	following := t.step.path - expectedWork(t)
	r.Now, r.Work, r.Slowdown = p.now, expectedWork(t), c.params.RemoteSlowdown
	r.ToObjective = j.objectiveAt - p.now - following
	r.ToWorthless = r.ToObjective + (lateFactor-1)*j.latencyObjective
	view := p.racks(j.terms.Pool)
	r.PoolLoad, r.Waited = view.load, t.waitedForRack(p.now, view.busy)
	r.Place.Window = p.window()
	d := c.rackWaits.decide(r)
	c.rackWaits.reasons[d.Reason]++
	if d.Reason != locality.Waits {
		return false
	}
	if !w.active {
		w.active, w.since = true, p.now
	}
	w.until, w.gain, w.rack = d.Until, d.Gain, rack
	p.logWait(t, r, &d)
	return true
}

// waitLogInterval limits the lines about the waits of one step.
const waitLogInterval = time.Second

func (p *plan) logWait(t *task, r *locality.Request, d *locality.Decision) {
	if s := t.step; s.waitLoggedAt == 0 || p.now-s.waitLoggedAt >= waitLogInterval {
		s.waitLoggedAt = p.now
		p.core.logger.Info("task waits for a rack", "task", t.id, "gang", s.def.Gang, "rack", t.rackWait.rack,
			"expected_ms", d.Expected.Milliseconds(), "gain_ms", d.Gain.Milliseconds(), "ask_again_ms",
			(d.Until - p.now).Milliseconds(), "waited_ms", r.Waited.Milliseconds(), "ahead_millicores", r.Ahead,
			"needed_millicores", r.Needed, "pool_load", r.PoolLoad, "rack_load", r.Place.Load, "to_objective_ms", r.ToObjective.Milliseconds())
	}
}

// endRackWait ends the wait of a task that is placed. inPlace reports whether that is in the place that it waited for.
func (c *Core) endRackWait(now time.Duration, t *task, inPlace bool) {
	w := &t.rackWait
	if !w.active {
		return
	}
	w.active = false
	waited := now - w.since
	w.spent += waited
	counts := &c.rackWaits.counts
	counts.waited += waited
	switch {
	case !inPlace:
		counts.vain++
		counts.lost += waited
	case waited > w.gain:
		// No room was free elsewhere during a part of the wait.
		counts.paid++
		counts.lost += waited - w.gain
	default:
		counts.paid++
		counts.gained += w.gain - waited
	}
	key := rackKey{t.job().terms.Pool, w.rack}
	o := c.rackWaits.outcomes[key]
	if o == nil {
		o = &rackOutcomes{}
		c.rackWaits.outcomes[key] = o
	}
	if t.step.def.Gang {
		o.gangs.Observe(now, inPlace)
	} else {
		o.tasks.Observe(now, inPlace)
	}
	c.logger.Info("wait for a rack ended", "task", t.id, "rack", w.rack, "paid", inPlace,
		"waited_ms", waited.Milliseconds(), "gain_ms", w.gain.Milliseconds())
}

// endTaskRackWait ends the wait of a task that is placed on its own.
func (c *Core) endTaskRackWait(now time.Duration, t *task, n *assign.Node) {
	if !t.step.def.Gang {
		c.endRackWait(now, t, n.Rack == t.step.def.DataRack)
	}
}

// noteFreed notes that a task has ended as done and frees its room. The ends of tasks that another owner has placed may have
// gathered while there was none, and say nothing about the rate.
func (c *Core) noteFreed(now time.Duration, t *task) {
	d := t.step.def
	if c.params.RemoteSlowdown <= 1 || d.LongRunning || t.placedAt == 0 {
		return
	}
	size := max(1, requestedMilliCores(d))
	t.worker.freed.Observe(now, size)
	if !d.Gang && d.DataRack != "" && d.DataRack == t.worker.Rack {
		t.worker.near.Observe(now, int64(float64(size)*min(now-t.placedAt, time.Hour).Seconds()))
	}
}

// gangWaits reports whether a gang waits for room within one rack although there is room on several. It holds nothing
// meanwhile.
func (p *plan) gangWaits(s *step) bool {
	t := s.tasks[0]
	w := &t.rackWait
	if !p.core.prefersRack(t) {
		return false
	}
	views := p.racks(t.job().terms.Pool).racks
	if w.active && p.now < w.until {
		if v := views[w.rack]; v != nil && p.slots(s, v, len(s.tasks)) >= len(s.tasks) {
			w.retryAt = min(w.until, p.now+gangRetryInterval)
			return true
		}
	}
	if !p.decide(t, p.gangRequest(s, views), p.gangRack) {
		return false
	}
	w.retryAt = min(w.until, p.now+gangRetryInterval)
	return true
}

// gangRequest describes the wait of a gang for the rack that is expected to have room first among those that could hold it,
// and sets gangRack. What others take there meanwhile shows in the outcomes of the waits.
func (p *plan) gangRequest(s *step, views map[string]*rackView) *locality.Request {
	var best locality.Request
	size := max(1, requestedMilliCores(s.def))
	p.gangRack = ""
	for rack, v := range views {
		if p.slots(s, v, len(s.tasks)) < len(s.tasks) {
			continue
		}
		p.measure(v)
		r := locality.Request{Needed: size * int64(len(s.tasks)-s.freeSlots(v.nodes)), Ahead: v.ahead,
			Place: locality.Place{Possible: true, Freed: v.freed}}
		if o := p.core.rackWaits.outcomes[rackKey{s.round.job.terms.Pool, rack}]; o != nil {
			r.Place.Outcomes = o.gangs.At(p.now)
		}
		if p.gangRack == "" || faster(&r, rack, &best, p.gangRack) {
			best, p.gangRack = r, rack
		}
	}
	return &best
}

// faster reports whether a rack is expected to have room earlier than another one.
func faster(a *locality.Request, rackA string, b *locality.Request, rackB string) bool {
	// The quotients of room and rate, without a division by 0.
	timeA, timeB := float64(a.Needed+a.Ahead)*b.Place.Freed.Amount, float64(b.Needed+b.Ahead)*a.Place.Freed.Amount
	if timeA != timeB {
		return timeA < timeB
	}
	return a.Needed < b.Needed || a.Needed == b.Needed && rackA < rackB
}

// freeSlots returns how many tasks of a gang the nodes can take now.
func (s *step) freeSlots(nodes []*assign.Node) int {
	need, slots := s.def.Reserved(), 0
	for _, n := range nodes {
		free := n.Free()
		for taken := 0; slots < len(s.tasks) && need.Fits(free) && (s.def.MaxPerWorker <= 0 || taken < s.def.MaxPerWorker); taken++ {
			slots++
			free = free.Sub(need)
		}
	}
	return slots
}

// rackWaiting counts the tasks and gangs that wait by choice.
type rackWaiting struct {
	tasks, gangs int
	longest      time.Duration
}

func (c *Core) newRackWaiting(now time.Duration) rackWaiting {
	var w rackWaiting
	for _, t := range c.pending {
		switch {
		case t.unplaced != unplacedAwaitsRack || t.phase != workflow.Pending:
			continue
		case t.step.def.Gang:
			w.gangs++
		default:
			w.tasks++
		}
		w.longest = max(w.longest, now-t.rackWait.since)
	}
	return w
}

// summarizeRackWaits logs and counts the waits since the last summary.
func (c *Core) summarizeRackWaits(now time.Duration) {
	if c.params.RemoteSlowdown <= 1 {
		return
	}
	r := &c.rackWaits
	waiting := c.newRackWaiting(now)
	c.metrics.setRackWaits(waiting, r)
	asked := make([]any, 0, len(r.reasons))
	for reason, n := range r.reasons {
		if n > 0 {
			asked = append(asked, slog.Int(locality.Reason(reason).String(), n))
		}
	}
	if n := r.counts; len(asked) > 0 || waiting != (rackWaiting{}) || n != (rackCounts{}) {
		c.logger.Info("waits for racks", "tasks", waiting.tasks, "gangs", waiting.gangs,
			"longest_ms", waiting.longest.Milliseconds(), "paid", n.paid,
			"vain", n.vain, "waited_ms", n.waited.Milliseconds(), "gained_ms", n.gained.Milliseconds(),
			"lost_ms", n.lost.Milliseconds(), slog.Group("decisions", asked...))
	}
	r.reasons, r.counts = [locality.Reasons]int{}, rackCounts{}
}
