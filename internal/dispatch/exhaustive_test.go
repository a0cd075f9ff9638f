package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/headroom"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// exhaustivePlan repeats a plan on copies of the workers. It goes through all workers for each task and keeps no result.
type exhaustivePlan struct {
	core    *Core
	now     time.Duration
	pending []*task
	workers map[string]*worker
	// placed holds the placed tasks of each submission that has pending ones.
	placed       map[*job]int
	lastShortage time.Duration
	held         map[string]bool
	holds        int
	bound        *bestEffortBound
	// lastInTimeWait is when a best-effort task that can be in time last waited for minInTimeWait; 0 if none has.
	lastInTimeWait time.Duration
	// turns counts the tasks that were placed as a turn of their submission.
	turns      int
	shares     map[string]float64
	placements int
	// fresh holds the tasks that had no attempt before the plan, probed the submissions with a probe.
	fresh  map[*task]bool
	probed map[*job]bool
	// uncommitted is the number of uncommitted placements before the plan.
	uncommitted int
	lastPlan    time.Duration
}

func newExhaustivePlan(c *Core, now time.Duration) *exhaustivePlan {
	c.checkHealth(now)
	x := &exhaustivePlan{core: c, now: now, pending: slices.Clone(c.pending), workers: map[string]*worker{},
		placed: map[*job]int{}, fresh: map[*task]bool{}, probed: map[*job]bool{}, lastShortage: c.lastShortage, held: map[string]bool{}, bound: newBestEffortBound(c, now),
		shares: map[string]float64{}, uncommitted: len(c.uncommitted), lastPlan: c.lastPlan,
		lastInTimeWait: c.lastInTimeWait["pool"]}
	for id, w := range c.workers {
		o := *w
		o.tasks, o.node.Services, o.load.BestEffort = maps.Clone(w.tasks), maps.Clone(w.node.Services),
			maps.Clone(w.load.BestEffort)
		o.node.ID, o.node.Rack, o.node.Capacity = w.ID, w.Rack, w.Capacity
		o.load.Capacity = w.Capacity.MilliCores
		o.node.Slack, o.node.Bad = 1-w.worstTailRatio, w.exclusion(now) != excludedNone
		o.node.RecentlyFailed = w.exclusion(now) == excludedNone && w.health.RecentlyFailed()
		x.workers[id] = &o
	}
	for _, t := range x.pending {
		x.placed[t.job()] = t.job().placed
		x.fresh[t], x.probed[t.job()] = t.run == 0, t.job().probed
	}
	return x
}

func (x *exhaustivePlan) candidates(reach reach) []*assign.Node {
	var out []*assign.Node
	for _, id := range slices.Sorted(maps.Keys(x.workers)) {
		w := x.workers[id]
		if !reach.includes(w.exclusion(x.now)) || reach != reachExpired && x.held[id] {
			continue
		}
		if reach == reachProbation && w.exclusion(x.now) == excludedProbation && w.probes() >= w.health.Allowance() {
			continue
		}
		out = append(out, &w.node)
	}
	return out
}

// reach returns the workers on which a task is placed first.
func (x *exhaustivePlan) reach(t *task) reach {
	switch {
	case t.waitExpired(x.now):
		return reachExpired
	case x.fresh[t] && !x.probed[t.job()] && t.maySpareAttempt(x.now):
		return reachProbation
	}
	return reachUsable
}

// isLastResort reports whether a task without room may be placed on an excluded worker.
func (x *exhaustivePlan) isLastResort(t *task) bool {
	d := t.step.def
	return x.now-t.queuedAt >= lastResortWait &&
		(!d.BestEffort || x.placed[t.job()] == 0 && x.now-t.job().idleSince >= lastResortWait)
}

func (x *exhaustivePlan) admits(t *task) func(n *assign.Node) bool {
	def, share := t.step.def, x.share(t, x.candidates(reachUsable))
	return func(n *assign.Node) bool {
		return x.workers[n.ID].load.Fits(x.bound, x.bound.servicesOn(x.workers[n.ID]), def.Image, requestedMilliCores(def), share)
	}
}

func (x *exhaustivePlan) share(t *task, nodes []*assign.Node) float64 {
	image := t.step.def.Image
	if _, ok := x.shares[image]; !ok {
		var services []map[string]int
		for _, n := range nodes {
			services = append(services, n.Services)
		}
		x.shares[image] = headroom.Share(x.bound, services, image)
	}
	return x.shares[image]
}

// turnIsDue reports whether a task may take a turn if the pool is idle.
func (x *exhaustivePlan) turnIsDue(t *task) bool {
	inTimeWaits := x.lastInTimeWait != 0 && x.now-x.lastInTimeWait < inTimeWaitMemory
	return x.placed[t.job()] == 0 && x.now-t.job().idleSince >= maxIdleWait && x.now-t.queuedAt >= maxIdleWait &&
		(t.tier(x.now) == tierOnTime || !inTimeWaits)
}

// turn returns the node for a turn of a task.
func (x *exhaustivePlan) turn(t *task, actual string) *assign.Node {
	if n := x.turnWithin(t, x.reach(t), actual); n != nil || !x.isLastResort(t) {
		return n
	}
	return x.turnWithin(t, reachExcluded, actual)
}

func (x *exhaustivePlan) turnWithin(t *task, reach reach, actual string) *assign.Node {
	nodes := x.candidates(reach)
	reserved, capacity := int64(0), int64(0)
	for _, n := range nodes {
		reserved += n.Reserved.MilliCores
		capacity += n.Capacity.MilliCores
	}
	if float64(reserved) >= idleShare*float64(capacity) || !x.turnIsDue(t) {
		return nil
	}
	share := max(turnMarginShare, x.share(t, x.candidates(reachUsable)))
	nodes = slices.DeleteFunc(nodes, func(n *assign.Node) bool {
		w := x.workers[n.ID]
		return !w.load.BelowObjectives() || x.now < w.nextTurn ||
			!w.load.KeepsMargins(x.bound, x.bound.servicesOn(w), t.step.def.Image, requestedMilliCores(t.step.def), share)
	})
	return x.best(t, nodes, actual)
}

// tailRise predicts the rise on a copy of a worker. The sums of services depend on the order of tasks by rounding
// errors, so actual, the worker that the plan chose, gets an advantage above these.
func (x *exhaustivePlan) tailRise(t *task, actual string) func(n *assign.Node) float64 {
	def := t.step.def
	switch {
	case def.BestEffort:
		return x.core.tailRise(x.now, t)
	case latencyCritical(def):
		return func(n *assign.Node) float64 {
			sum, w := 0.0, x.workers[n.ID]
			for o := range w.tasks {
				if o.step.def.BestEffort {
					sum += x.core.model.Coefficient(x.now, def.Image, o.step.def.Image) * w.requestedShare(o)
				}
			}
			if n.ID == actual {
				sum -= 1e-9
			}
			return sum
		}
	}
	return nil
}

func (x *exhaustivePlan) choose(t *task, actual string) *assign.Node {
	if n := x.chooseWithin(t, x.reach(t), actual); n != nil || !x.isLastResort(t) {
		return n
	}
	return x.chooseWithin(t, reachExcluded, actual)
}

func (x *exhaustivePlan) chooseWithin(t *task, reach reach, actual string) *assign.Node {
	nodes := x.candidates(reach)
	if t.step.def.BestEffort {
		admits := x.admits(t)
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *assign.Node) bool { return !admits(n) })
	}
	return x.best(t, nodes, actual)
}

// best returns the best of the nodes that the task's step and its failures allow.
func (x *exhaustivePlan) best(t *task, nodes []*assign.Node, actual string) *assign.Node {
	def := t.step.def
	spared := t.lastAttempt() && x.now-t.queuedAt < lastAttemptWait
	nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *assign.Node) bool {
		w := x.workers[n.ID]
		return def.MaxPerWorker > 0 && w.countStepTasks(t.step) >= def.MaxPerWorker || spared && w.health.Suspect()
	})
	return assign.Choose(nodes, &assign.Task{Size: def.Size, BestEffort: def.BestEffort,
		LatencyCritical: latencyCritical(def), Image: def.Image, AvoidWorker: t.avoidWorker,
		TailRise: x.tailRise(t, actual)})
}

func (x *exhaustivePlan) hold(t *task) {
	if t.rank.tier != tierRestart {
		return
	}
	var best *assign.Node
	nodes := x.candidates(reachUsable)
	for _, n := range nodes {
		if t.reserved().Fits(n.Capacity.Sub(x.workers[n.ID].longRunning)) &&
			(best == nil || n.Free().MilliCores > best.Free().MilliCores) {
			best = n
		}
	}
	if best != nil && x.holds < max(1, int(maxHeldShare*float64(len(nodes)))) {
		x.holds++
		x.held[best.ID] = true
	}
}

func (x *exhaustivePlan) add(t *task, n *assign.Node) {
	w := x.workers[n.ID]
	w.tasks[t] = struct{}{}
	w.node.Reserved = w.node.Reserved.Add(t.reserved())
	if t.step.def.LongRunning {
		w.longRunning = w.longRunning.Add(t.reserved())
	}
	w.adjustCounts(t, 1)
	x.placed[t.job()]++
	x.probed[t.job()] = x.probed[t.job()] || w.exclusion(x.now) == excludedProbation
	x.placements++
}

// check requires that the plan has placed the tasks like the exhaustive one.
func (x *exhaustivePlan) check(tb testing.TB) {
	if x.core.lastPlan == x.lastPlan {
		return
	}
	actual := map[*task]string{}
	for _, t := range x.core.uncommitted[x.uncommitted:] {
		actual[t] = t.worker.ID
	}
	sortTasks(x.now, x.pending)
	var rest []*task
	for _, t := range x.pending {
		if t.job().state.Over() {
			continue
		}
		scarce := x.lastShortage != 0 && x.now-x.lastShortage < scarcityDuration
		mustWait := scarce && t.tier(x.now) == tierLongRunning && t.queuedAt > x.core.ownerSince &&
			!t.waitExpired(x.now)
		d := t.step.def
		if x.placements < maxPlacements && t.notBefore <= x.now && !mustWait {
			n := x.choose(t, actual[t])
			if n != nil {
				require.Equal(tb, n.ID, actual[t], "worker of %s at %s", t.id, x.now)
				x.add(t, n)
				continue
			}
			x.hold(t)
			if d.BestEffort && !t.restricted() && x.now-t.queuedAt >= minInTimeWait && t.tier(x.now) == tierOnTime {
				x.lastInTimeWait = x.now
			}
		}
		rest = append(rest, t)
		if !d.LongRunning && !d.BestEffort && t.notBefore <= x.now && t.tier(x.now) == tierOnTime {
			x.lastShortage = x.now
		}
	}
	x.checkTurns(tb, rest, actual)
}

// checkTurns requires that the plan has given turns to those of the pending tasks that may have one, and to no others.
func (x *exhaustivePlan) checkTurns(tb testing.TB, pending []*task, actual map[*task]string) {
	slices.SortStableFunc(pending, func(a, b *task) int { return compareTurns(x.now, a, b) })
	tried := map[*job]bool{}
	for _, t := range pending {
		if t.step.def.BestEffort && t.notBefore <= x.now && !tried[t.job()] &&
			x.placements < maxPlacements {
			tried[t.job()] = x.turnIsDue(t)
			if n := x.turn(t, actual[t]); n != nil {
				require.Equal(tb, n.ID, actual[t], "worker of %s, a turn at %s", t.id, x.now)
				x.workers[n.ID].nextTurn = x.now + turnInterval
				x.turns++
				x.add(t, n)
				continue
			}
		}
		require.Empty(tb, actual[t], "worker of %s at %s, which finds no room", t.id, x.now)
	}
}

// Guards against a plan whose cached scores lead to other workers than a search through all of them for each task.
func TestPlanChoosesLikeAnExhaustiveSearch(t *testing.T) {
	t.Parallel()
	crowded := fleetLoad{workers: 60, serviceJobs: 10, batchRate: 1.4, quickRate: 1, exclusiveRate: 20, failShare: 0.03,
		warmUp: 2 * time.Second, steady: 3 * time.Second, burst: 3 * time.Second, end: time.Second}
	// Few services and more best-effort work than the processors can run.
	idle := fleetLoad{workers: 20, serviceJobs: 1, batchRate: 4, quickRate: 1, exclusiveRate: 2, failShare: 0.03,
		warmUp: 2 * time.Second, steady: 3 * time.Second, burst: 3 * time.Second, end: 3 * time.Second}
	var placements, holds, avoided, turns atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				load := crowded
				if seed == 3 {
					load = idle
				}
				f := newFleet(seed, load)
				var x *exhaustivePlan
				steps := 0
				f.beforePlan = func() {
					x = nil
					// The search is slow, so not every plan is checked.
					if steps++; steps%11 == 0 {
						x = newExhaustivePlan(f.core, f.now)
					}
				}
				f.afterPlan = func() {
					if x == nil {
						return
					}
					x.check(t)
					placements.Add(int64(x.placements))
					holds.Add(int64(x.holds))
					turns.Add(int64(x.turns))
					for _, p := range f.core.pending {
						if p.avoidWorker != "" && p.phase == workflow.Pending {
							avoided.Add(1)
						}
					}
				}
				f.play(load)
			})
		}
	})
	assert.Greater(t, placements.Load(), int64(500))
	assert.Positive(t, holds.Load(), "no worker was held")
	assert.Positive(t, avoided.Load(), "no task avoided a worker")
	assert.Positive(t, turns.Load(), "no submission took a turn")
}
