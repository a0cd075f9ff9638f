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
	// fullPacePercent is the pace of a task that is not limited. A pace is the share of its processors that a task may
	// use.
	fullPacePercent = 100
	// unknownPace is the pace of a task that an earlier owner started.
	unknownPace = -1
	// Paces are rounded down to multiples of paceStepPercent.
	paceStepPercent = 10
	// minRaisePercent is the smallest raise of a pace that is ordered, except for the last one to fullPacePercent.
	minRaisePercent = 20
	// tailTargetShare is the share of the objective that the tail latency of a service may reach beside best-effort
	// tasks that lengthen it.
	tailTargetShare = 0.8
	// harmfulCoefficient is the coefficient from which an image is held responsible for the tail latency of a
	// service. On a tenth of a worker's processors it lengthens the tail by a tenth.
	harmfulCoefficient = 1.0
	// noticeableCoefficient is the coefficient from which an image is held responsible where a service is over its
	// tail target.
	noticeableCoefficient = 0.2
	// overObjectivePaceFactor is applied to the pace of responsible tasks while a service is over its objective.
	overObjectivePaceFactor = 0.4
	// Shares of Params.Tolerance. After slowAllShare with every report over the objective, all best-effort tasks
	// beside the service are slowed, whatever their coefficients; after pauseAllShare with the mean over it, they are
	// paused.
	slowAllShare  = 0.3
	pauseAllShare = 0.5
	// overrunDecayTime is the time constant of the mean over tail reports. Single reports differ by a third.
	overrunDecayTime = time.Second
	// minDisturbance avoids a division by zero; it is too small to be noticed.
	minDisturbance = 1e-6
	// minEvenShare is the share of their pace down to which tasks are slowed evenly.
	minEvenShare = 0.35
	// maxRaisePercent is the largest raise of a pace with each answer.
	maxRaisePercent = 30
	// A task whose pace stays below evictPacePercent for evictAfter is moved, at most maxEvictions times.
	evictPacePercent = 40
	evictAfter       = 300 * time.Millisecond
	maxEvictions     = 3
	// keepProgressPercent is the progress from which a task is not moved any more.
	keepProgressPercent = 70
	// negligibleRise is the rise of the logarithm of a tail latency that is lost in the variation of load.
	negligibleRise = 0.08
)

// latencyCritical reports whether a step is a service with a latency objective.
func latencyCritical(s *workflow.Step) bool { return s.Service && s.Objective > 0 }

// isMixed reports whether best-effort tasks run beside services with an objective.
func (w *worker) isMixed() bool {
	service, bestEffort := false, false
	for t := range w.tasks {
		service = service || latencyCritical(t.step.def)
		bestEffort = bestEffort || t.step.def.BestEffort
	}
	return service && bestEffort
}

// usedShare returns the share of the worker's processors that a task uses at its present pace.
func (w *worker) usedShare(t *task) float64 { return t.load / float64(max(1, w.Capacity.MilliCores)) }

// requestedShare returns the share of the worker's processors that a task requests.
func (w *worker) requestedShare(t *task) float64 {
	return float64(t.step.def.Size.MilliCores) / float64(max(1, w.Capacity.MilliCores))
}

// disturbance returns a function from a worker to the rise of the logarithm of the worst tail latency that placing
// the task there would cause. It is nil for a task that affects no tail latency.
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
					sum += c.model.Coefficient(now, def.Image, o.step.def.Image) * w.requestedShare(o)
				}
			}
			return sum
		}
	}
	return nil
}

// adjustPaces updates the model with a worker's report, and sets the paces of its best-effort tasks according to the
// tail latencies of its services.
func (c *Core) adjustPaces(now time.Duration, w *worker) {
	w.worstTailRatio = 0
	var services, bestEffort []*task
	for t := range w.tasks {
		switch {
		case !t.reported:
		case latencyCritical(t.step.def):
			services = append(services, t)
			w.worstTailRatio = max(w.worstTailRatio, t.load/objectiveMillis(t))
		case t.step.def.BestEffort:
			bestEffort = append(bestEffort, t)
		}
	}
	c.updateModel(now, w, services, bestEffort)
	if len(bestEffort) == 0 {
		return
	}
	sort.Slice(bestEffort, func(i, k int) bool { return bestEffort[i].before(bestEffort[k], now) })
	for _, t := range bestEffort {
		t.targetPace = min(fullPacePercent, t.pace+maxRaisePercent)
		if t.pace == unknownPace {
			t.targetPace = fullPacePercent
		}
	}
	for _, s := range services {
		c.protectService(now, w, s, bestEffort)
	}
	for _, t := range bestEffort {
		c.setPace(t)
		c.evictSlowed(now, t)
	}
}

// objectiveMillis returns the objective of a service task in milliseconds.
func objectiveMillis(t *task) float64 {
	return float64(t.step.def.Objective) / float64(time.Millisecond)
}

func (c *Core) updateModel(now time.Duration, w *worker, services, bestEffort []*task) {
	var shares []interference.Share
	for _, t := range bestEffort {
		shares = append(shares, interference.Share{Image: t.step.def.Image, Fraction: w.usedShare(t)})
	}
	for _, s := range services {
		// A service task that is still starting reports no tail latency.
		if s.percent == fullProgressPercent && s.load > 0 {
			c.model.Observe(now, s.step.def.Image, s.load, shares)
		}
	}
}

// fullProgressPercent is the progress of a service task that is serving.
const fullProgressPercent = 100

// overrun tracks how far the tail latency of a service is over its objective. Single reports are imprecise, so an
// exponentially weighted mean decides whether tasks are paused.
type overrun struct {
	// mean is the mean of the logarithm of tail latency over objective, at the time of the newest report.
	mean      float64
	updatedAt time.Duration
	// overSince is the start of an unbroken series of reports over the objective, meanSince the time from which their
	// mean is over it; 0 if not.
	overSince, meanSince time.Duration
}

func (o *overrun) observe(now time.Duration, logRatio float64) {
	weight := 1.0
	if o.updatedAt > 0 {
		weight = 1 - math.Exp(-float64(now-o.updatedAt)/float64(overrunDecayTime))
	}
	o.mean += weight * (logRatio - o.mean)
	o.updatedAt = now
	o.overSince = conditionSince(o.overSince, now, logRatio > 0)
	o.meanSince = conditionSince(o.meanSince, now, o.mean > 0)
}

// conditionSince returns the time since when a condition holds, or 0 if it does not.
func conditionSince(since, now time.Duration, holds bool) time.Duration {
	switch {
	case !holds:
		return 0
	case since == 0:
		return now
	}
	return since
}

// requiredAction reports whether all best-effort tasks beside the service must be slowed, and whether they must be
// paused.
func (o *overrun) requiredAction(now, tolerance time.Duration) (slowAll, pauseAll bool) {
	lasted := func(since time.Duration, share float64) bool {
		return since > 0 && float64(now-since) >= share*float64(tolerance)
	}
	return lasted(o.overSince, slowAllShare), lasted(o.meanSince, pauseAllShare)
}

// protectService lowers the target pace of the tasks that lengthen the tail latency of a service beyond its target.
func (c *Core) protectService(now time.Duration, w *worker, s *task, bestEffort []*task) {
	if s.load <= 0 {
		return
	}
	over := s.load > objectiveMillis(s)
	s.overrun.observe(now, math.Log(s.load/objectiveMillis(s)))
	slowAll, pauseAll := s.overrun.requiredAction(now, c.params.Tolerance)
	minCoefficient := harmfulCoefficient
	if s.load > tailTargetShare*objectiveMillis(s) {
		minCoefficient = noticeableCoefficient
	}
	image := s.step.def.Image
	rise := 0.0
	for _, t := range bestEffort {
		rise += c.model.Coefficient(now, image, t.step.def.Image) * w.usedShare(t)
	}
	allowed := max(0, math.Log(tailTargetShare*objectiveMillis(s))-(math.Log(s.load)-rise))
	requested := 0.0
	for _, t := range bestEffort {
		if k := c.model.Coefficient(now, image, t.step.def.Image); k >= minCoefficient {
			requested += k * w.requestedShare(t)
		}
	}
	evenShare := min(1, allowed/max(requested, minDisturbance))
	for _, t := range bestEffort {
		k := c.model.Coefficient(now, image, t.step.def.Image)
		if k >= minCoefficient {
			share := evenShare
			if evenShare < minEvenShare {
				// Running evenly at a small share of their pace, all tasks would end late, so the first in order get
				// what the service tolerates.
				full := k * w.requestedShare(t)
				share = min(1, allowed/full)
				allowed -= share * full
			}
			t.targetPace = min(t.targetPace, int(share*fullPacePercent))
		}
		if pauseAll {
			t.targetPace = 0
		} else if over && (k >= harmfulCoefficient || slowAll) {
			t.targetPace = min(t.targetPace, int(float64(max(0, t.pace))*overObjectivePaceFactor))
		}
	}
}

// setPace orders the target pace if it differs enough from the current one.
func (c *Core) setPace(t *task) {
	wanted := t.targetPace / paceStepPercent * paceStepPercent
	// Small raises are not worth an order; the last one to full pace is.
	small := wanted > t.pace && wanted < min(t.pace+minRaisePercent, fullPacePercent) && t.pace != unknownPace
	if !t.step.def.BestEffort || t.pace == wanted || small || t.paceInFlight || t.order != orderSettled ||
		t.stopWanted {
		return
	}
	t.paceInFlight = true
	c.orders = append(c.orders, PaceOrder{Member: t.worker.Member, task: t,
		Call: PaceCall{Attempt: t.attempt(), Percent: wanted, Fence: c.epoch}})
}

// evictSlowed moves a task whose target pace has been too low for evictAfter.
func (c *Core) evictSlowed(now time.Duration, t *task) {
	if t.targetPace >= evictPacePercent {
		t.slowedSince = 0
		return
	}
	if t.slowedSince == 0 {
		t.slowedSince = now
	}
	if now-t.slowedSince < evictAfter || t.evictions >= maxEvictions || t.stopWanted ||
		t.percent >= keepProgressPercent || !c.hasBetterWorker(now, t) {
		return
	}
	t.evictions++
	t.avoidWorker = t.worker.ID
	c.logger.Info("task evicted", "task", t.id, "run", t.run, "worker", t.worker.ID, "image", t.step.def.Image,
		"pace", t.pace, "percent", t.percent)
	c.stopAttempt(t)
}

// hasBetterWorker reports whether another worker has room for the task and services there would be affected
// negligibly.
func (c *Core) hasBetterWorker(now time.Duration, t *task) bool {
	def := t.step.def
	tailRise := c.disturbance(now, t)
	for _, w := range c.workers {
		if w == t.worker || w.Service != t.job().terms.Service || w.unusable() || w.failingSince != 0 ||
			w.quarantinedUntil > now {
			continue
		}
		w.node.Capacity = w.Capacity
		requested := w.node.Reserved.MilliCores + w.node.BestEffort + def.Size.MilliCores
		if def.Reserved().Fits(w.node.Free()) && requested <= w.Capacity.MilliCores &&
			tailRise(&w.node) < negligibleRise {
			return true
		}
	}
	return false
}

// PaceReturned applies the outcome of a pace order.
func (c *Core) PaceReturned(now time.Duration, o PaceOrder, a CallAnswer, err error) {
	t := o.task
	if !c.isCurrent(t, o.Member, o.Call.Attempt) {
		return
	}
	t.paceInFlight = false
	var refused *RefusedError
	switch {
	case err == nil:
		t.worker.observeClock(now, a.Clock)
		t.pace = o.Call.Percent
		// Progress at the old pace does not show whether the task is stalled at the new one.
		t.percentAt = now
	case errors.As(err, &refused) && refused.Reason == ReasonFenced:
		c.deposed = true
	default:
		c.logger.Info("pace call failed", "task", t.id, "worker", o.Member.ID, "percent", o.Call.Percent, "error", err)
	}
}
