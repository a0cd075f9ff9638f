package dispatch

import (
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// fullPace lets a task use all that it can get, in percent.
	fullPace = 100
	// unknownPace is that of a task which an earlier owner started.
	unknownPace = -1
	// paceGrain is the smallest change of pace that is worth an order.
	paceGrain = 10
	// minRaise is the smallest raise of a pace that is ordered, in percent.
	minRaise = 20
	// tailGoal is the share of its objective at which the tail of a service is held where best-effort tasks lengthen it.
	tailGoal = 0.8
	// harmful is the coefficient from which an image is held responsible for the tail of a service. On a tenth of a worker it lengthens
	// the tail by a tenth.
	harmful = 1.0
	// slight is the coefficient from which an image is held responsible where a service is beyond its goal.
	slight = 0.2
	// overCut is applied to the pace of responsible tasks while a service is over its objective.
	overCut = 0.4
	// Shares of the time for which a service may be over its objective: after blameAll with every report over it, all best-effort tasks
	// beside it are slowed, whether known to disturb it or not; after standStill over it on average, they stand still.
	blameAll   = 0.3
	standStill = 0.5
	// strainMemory is the time in which the weight of a report of a tail fades. Single reports are rough: they differ by a third.
	strainMemory = time.Second
	// nothing is a disturbance that cannot be noticed; it keeps from dividing by zero.
	nothing = 1e-6
	// leastEven is the part of their pace down to which tasks are slowed evenly.
	leastEven = 0.35
	// raiseStep is how much a pace may grow with each answer, in percent.
	raiseStep = 30
	// A task whose pace stays below evictPace for evictAfter is moved, at most maxEvictions times.
	evictPace    = 40
	evictAfter   = 300 * time.Millisecond
	maxEvictions = 3
	// keepPercent is the progress from which a task stays where it is.
	keepPercent = 70
	// harmless is the rise of the logarithm of a tail that nobody notices beside the changes of load.
	harmless = 0.08
)

// latencyCritical reports whether the tasks of a step serve callers of their own under an objective.
func latencyCritical(s *workflow.Step) bool { return s.Service && s.Objective > 0 }

// mixed reports whether best-effort tasks run beside services with an objective.
func (w *worker) mixed() bool {
	service, bestEffort := false, false
	for t := range w.tasks {
		service = service || latencyCritical(t.step.def)
		bestEffort = bestEffort || t.step.def.BestEffort
	}
	return service && bestEffort
}

// share returns the part of the worker's processors that a task uses at its present pace.
func (w *worker) share(t *task) float64 { return t.load / float64(max(1, w.Capacity.MilliCores)) }

// fullShare returns the part of the worker's processors that a task asks for.
func (w *worker) fullShare(t *task) float64 {
	return float64(t.step.def.Size.MilliCores) / float64(max(1, w.Capacity.MilliCores))
}

// disturbance returns by how much a task would lengthen the worst tail on a worker, as a function of the worker; nil for a task that
// disturbs nothing.
func (c *Core) disturbance(now time.Duration, t *task) func(*assign.Node) float64 {
	def := t.step.def
	switch {
	case def.BestEffort:
		return func(n *assign.Node) float64 {
			worst := 0.0
			for image := range n.Services {
				worst = max(worst, c.model.Coefficient(now, image, def.Image))
			}
			return worst * float64(def.Size.MilliCores) / float64(max(1, n.Capacity.MilliCores))
		}
	case latencyCritical(def):
		return func(n *assign.Node) float64 {
			sum, w := 0.0, c.workers[n.ID]
			for o := range w.tasks {
				if o.step.def.BestEffort {
					sum += c.model.Coefficient(now, def.Image, o.step.def.Image) * w.fullShare(o)
				}
			}
			return sum
		}
	}
	return nil
}

// regulate learns from a worker's report and sets the pace of its best-effort tasks after the tail latency of its services.
func (c *Core) regulate(now time.Duration, w *worker) {
	w.pressure = 0
	var services, bestEffort []*task
	for t := range w.tasks {
		switch {
		case !t.seen:
		case latencyCritical(t.step.def):
			services = append(services, t)
			w.pressure = max(w.pressure, t.load/objective(t))
		case t.step.def.BestEffort:
			bestEffort = append(bestEffort, t)
		}
	}
	c.learn(now, w, services, bestEffort)
	if len(bestEffort) == 0 {
		return
	}
	sort.Slice(bestEffort, func(i, k int) bool { return bestEffort[i].before(bestEffort[k], now) })
	for _, t := range bestEffort {
		t.wantedPace = min(fullPace, t.pace+raiseStep)
		if t.pace == unknownPace {
			t.wantedPace = fullPace
		}
	}
	for _, s := range services {
		c.protect(now, w, s, bestEffort)
	}
	for _, t := range bestEffort {
		c.setPace(t)
		c.evictSlowed(now, t)
	}
}

// objective returns the objective of a service task in milliseconds.
func objective(t *task) float64 { return float64(t.step.def.Objective) / float64(time.Millisecond) }

func (c *Core) learn(now time.Duration, w *worker, services, bestEffort []*task) {
	var shares []interference.Share
	for _, t := range bestEffort {
		shares = append(shares, interference.Share{Image: t.step.def.Image, Part: w.share(t)})
	}
	for _, s := range services {
		// A service task that still starts has no tail of its own.
		if s.percent == fullPercent && s.load > 0 {
			c.model.Observe(now, s.step.def.Image, s.load, shares)
		}
	}
}

// fullPercent is the progress of a service task that is at work.
const fullPercent = 100

// strain is how far the tail of a service is over its objective. Single reports are rough, so their fading mean decides in the end.
type strain struct {
	// mean is that of the logarithm of tail and objective, at the time of the newest report.
	mean float64
	at   time.Duration
	// overSince is when the reports began that all were over the objective, meanSince when their mean came to be; 0 if not.
	overSince, meanSince time.Duration
}

func (s *strain) observe(now time.Duration, ratio float64) {
	weight := 1.0
	if s.at > 0 {
		weight = 1 - math.Exp(-float64(now-s.at)/float64(strainMemory))
	}
	s.mean += weight * (ratio - s.mean)
	s.at = now
	s.overSince = begin(s.overSince, now, ratio > 0)
	s.meanSince = begin(s.meanSince, now, s.mean > 0)
}

// begin returns the time since when a condition holds, 0 if it does not.
func begin(since, now time.Duration, holds bool) time.Duration {
	switch {
	case !holds:
		return 0
	case since == 0:
		return now
	}
	return since
}

// demand reports whether all best-effort tasks beside the service must slow down, and whether they must stand still.
func (s *strain) demand(now, tolerance time.Duration) (slow, halt bool) {
	lasts := func(since time.Duration, share float64) bool {
		return since > 0 && float64(now-since) >= share*float64(tolerance)
	}
	return lasts(s.overSince, blameAll), lasts(s.meanSince, standStill)
}

// protect lowers the wanted pace of the tasks that lengthen the tail of a service beyond its goal.
func (c *Core) protect(now time.Duration, w *worker, s *task, bestEffort []*task) {
	if s.load <= 0 {
		return
	}
	over := s.load > objective(s)
	s.strain.observe(now, math.Log(s.load/objective(s)))
	everyone, halt := s.strain.demand(now, c.params.Tolerance)
	blamed := harmful
	if s.load > tailGoal*objective(s) {
		blamed = slight
	}
	image := s.step.def.Image
	rise := 0.0
	for _, t := range bestEffort {
		rise += c.model.Coefficient(now, image, t.step.def.Image) * w.share(t)
	}
	allowed := max(0, math.Log(tailGoal*objective(s))-(math.Log(s.load)-rise))
	asked := 0.0
	for _, t := range bestEffort {
		if k := c.model.Coefficient(now, image, t.step.def.Image); k >= blamed {
			asked += k * w.fullShare(t)
		}
	}
	even := min(1, allowed/max(asked, nothing))
	for _, t := range bestEffort {
		k := c.model.Coefficient(now, image, t.step.def.Image)
		if k >= blamed {
			part := even
			if even < leastEven {
				// Side by side at a small part of their pace all would end late: the first in order get what the service can bear.
				full := k * w.fullShare(t)
				part = min(1, allowed/full)
				allowed -= part * full
			}
			t.wantedPace = min(t.wantedPace, int(part*fullPace))
		}
		if halt {
			t.wantedPace = 0
		} else if over && (k >= harmful || everyone) {
			t.wantedPace = min(t.wantedPace, int(float64(max(0, t.pace))*overCut))
		}
	}
}

// setPace orders the wanted pace, if it differs by enough.
func (c *Core) setPace(t *task) {
	wanted := t.wantedPace / paceGrain * paceGrain
	// Small raises are not worth an order; the last one to full pace is.
	small := wanted > t.pace && wanted < min(t.pace+minRaise, fullPace) && t.pace != unknownPace
	if !t.step.def.BestEffort || t.pace == wanted || small || t.pacing || t.order != orderSettled || t.stopWanted {
		return
	}
	t.pacing = true
	c.orders = append(c.orders, PaceOrder{Member: t.worker.Member, task: t, Call: PaceCall{Attempt: t.attempt(), Percent: wanted, Fence: c.epoch}})
}

// evictSlowed moves a task that the services beside it leave too little.
func (c *Core) evictSlowed(now time.Duration, t *task) {
	if t.wantedPace >= evictPace {
		t.slowedSince = 0
		return
	}
	if t.slowedSince == 0 {
		t.slowedSince = now
	}
	if now-t.slowedSince < evictAfter || t.evictions >= maxEvictions || t.stopWanted || t.percent >= keepPercent || !c.refuge(now, t) {
		return
	}
	t.evictions++
	t.avoid = t.worker.ID
	c.logger.Info("task evicted", "task", t.id, "run", t.run, "worker", t.worker.ID, "image", t.step.def.Image, "pace", t.pace, "percent", t.percent)
	c.withdraw(t)
}

// refuge reports whether another worker has room for a task that would hardly be noticed there.
func (c *Core) refuge(now time.Duration, t *task) bool {
	def := t.step.def
	disturbs := c.disturbance(now, t)
	for _, w := range c.workers {
		if w == t.worker || w.Service != t.job().terms.Service || w.unusable() || w.failingSince != 0 || w.quarantine > now {
			continue
		}
		w.node.Capacity = w.Capacity
		asked := w.node.Reserved.MilliCores + w.node.BestEffort + def.Size.MilliCores
		if def.Reserved().Fits(w.node.Free()) && asked <= w.Capacity.MilliCores && disturbs(&w.node) < harmless {
			return true
		}
	}
	return false
}

// PaceReturned takes over the outcome of a pace order.
func (c *Core) PaceReturned(now time.Duration, o PaceOrder, a CallAnswer, err error) {
	t := o.task
	if !c.current(t, o.Member, o.Call.Attempt) {
		return
	}
	t.pacing = false
	var refused *RefusedError
	switch {
	case err == nil:
		t.worker.takeClock(now, a.Clock)
		t.pace = o.Call.Percent
		// What it did at another pace says nothing of whether it stands still.
		t.percentAt = now
	case errors.As(err, &refused) && refused.Reason == ReasonFenced:
		c.deposed = true
	default:
		c.logger.Info("pace not set", "task", t.id, "worker", o.Member.ID, "percent", o.Call.Percent, "error", err)
	}
}
