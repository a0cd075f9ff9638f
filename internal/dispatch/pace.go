package dispatch

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/loadlevel"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// noLimitPercent is the CPU limit of a task that is not limited. A CPU limit is the percentage of its processors
	// that a task may use.
	noLimitPercent = 100
	// unknownCPULimit is the CPU limit of a task that an earlier owner started.
	unknownCPULimit = -1
	// CPU limits are rounded down to multiples of cpuLimitStepPercent.
	cpuLimitStepPercent = 10
	// minChangePercent is the smallest change of a CPU limit that is ordered, except for one to noLimitPercent or to 0: each order is
	// a call, and the forecast changes with every report.
	minChangePercent = 20
	// tailTargetFraction is the target for the tail latency of a service that shares a worker with best-effort tasks,
	// as a fraction of its objective.
	tailTargetFraction = 0.8
	// From the coefficient strongInterference on, the tasks of an image are throttled for a service as far as its
	// target requires. At 1.0, an image that uses 10% of a worker's processors raises the tail latency by about 10%.
	strongInterference = 1.0
	// While the service is over its target (tailTargetFraction), the tasks of an image are throttled from the coefficient
	// weakInterference on, or slackInterference if the task has time to spare.
	weakInterference  = 0.5
	slackInterference = 0.2
	// minThrottleSlack is the time to spare from which a task is throttled before others.
	minThrottleSlack = time.Second
	// overObjectiveLimitFactor is applied to the CPU limit of tasks with strong interference, or of all best-effort
	// tasks after slowAllToleranceFraction, while a service is over its objective.
	overObjectiveLimitFactor = 0.4
	// Fractions of Params.ObjectiveTolerance. If every report was over the objective for slowAllToleranceFraction, all
	// best-effort tasks on the worker are slowed, whatever their coefficients. If the mean was over it for
	// pauseAllToleranceFraction, they are paused.
	slowAllToleranceFraction  = 0.3
	pauseAllToleranceFraction = 0.5
	// violationDecayTime is the time constant of the mean over tail reports. Single reports differ by a third.
	violationDecayTime = time.Second
	// minRise avoids a division by zero; it is too small to be noticed.
	minRise = 1e-6
	// If less than minEvenFraction of the requested rise is allowed, tasks are no longer slowed equally; the allowance
	// goes to the first tasks in placement order.
	minEvenFraction = 0.35
	// maxRaisePercent is the largest raise of a CPU limit with each answer.
	maxRaisePercent = 30
	// A task whose target CPU limit stays below evictLimitPercent for evictAfter is moved, at most maxEvictions times.
	evictLimitPercent = 40
	evictAfter        = 300 * time.Millisecond
	maxEvictions      = 3
	// keepProgressPercent is the progress from which a task is not moved any more.
	keepProgressPercent = 70
	// A predicted rise of the logarithm of a tail latency below negligibleRise is ignored, because normal changes of
	// load cause more.
	negligibleRise = 0.08
)

// latencyCritical reports whether a step is a service with a latency objective.
func latencyCritical(s *workflow.Step) bool { return s.LongRunning && s.Objective > 0 }

// isMixed reports whether best-effort tasks run beside services with an objective.
func (w *worker) isMixed() bool { return w.latencyCritical > 0 && w.bestEffort > 0 }

// usedShare returns the share of the worker's processors that a task uses under its present CPU limit.
func (w *worker) usedShare(t *task) float64 { return t.load / float64(max(1, w.Capacity.MilliCores)) }

// requestedShare returns the share of the worker's processors that a task requests.
func (w *worker) requestedShare(t *task) float64 {
	return float64(t.step.def.Size.MilliCores) / float64(max(1, w.Capacity.MilliCores))
}

// tailRise returns a function that predicts, for a worker, by how much the task would raise the logarithm of the worst
// tail latency there. It returns nil if the task affects no tail latency.
func (c *Core) tailRise(now time.Duration, t *task) func(*assign.Node) float64 {
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

// adjustCPULimits updates the model with a worker's report, and sets the CPU limits of its best-effort tasks according
// to the tail latencies of its services.
func (c *Core) adjustCPULimits(now time.Duration, w *worker) {
	var services, bestEffort []*task
	for t := range w.tasks {
		switch {
		case !t.reported:
		case latencyCritical(t.step.def):
			services = append(services, t)
		case t.step.def.BestEffort:
			bestEffort = append(bestEffort, t)
		}
	}
	c.updateModel(now, w, services, bestEffort)
	w.worstTailRatio = 0
	for _, s := range services {
		w.worstTailRatio = max(w.worstTailRatio, math.Exp(c.logTail(now, w, s, bestEffort))/objectiveMillis(s.step))
	}
	w.load.TailRatio = w.worstTailRatio
	if len(bestEffort) == 0 {
		return
	}
	sortTasks(now, bestEffort)
	for _, t := range bestEffort {
		t.targetCPULimit = min(noLimitPercent, t.cpuLimit+maxRaisePercent)
		if t.cpuLimit == unknownCPULimit {
			t.targetCPULimit = noLimitPercent
		}
	}
	for _, s := range services {
		c.throttleForService(now, w, s, bestEffort)
	}
	for _, t := range bestEffort {
		c.orderCPULimit(t)
		c.evictSlowed(now, t)
	}
}

// objectiveMillis returns the objective of a service in milliseconds.
func objectiveMillis(s *step) float64 {
	return float64(s.def.Objective) / float64(time.Millisecond)
}

const (
	// reportNoise is the usual noise of the logarithm of a reported tail latency: 98 of 100 reports deviate by less from what
	// the load of their service and the tasks beside them explain.
	reportNoise = 0.2
	// minLoadReports is the number of recent reports of a service from which its load is known.
	minLoadReports = 4
	// limitHorizon is the time from a report until a CPU limit that it causes has an effect: the age of the report, the call,
	// and the time that a worker takes.
	limitHorizon = 400 * time.Millisecond
)

// rise returns by how much the best-effort tasks on a worker raise the logarithm of the tail latency of a service.
func (c *Core) rise(now time.Duration, w *worker, service string, bestEffort []*task) float64 {
	sum := 0.0
	for _, t := range bestEffort {
		sum += c.model.Coefficient(now, service, t.step.def.Image) * w.usedShare(t)
	}
	return sum
}

// logTail returns the logarithm of the tail latency in milliseconds that a service task is expected to have when a CPU limit that
// is ordered now has an effect. It follows from the load of the service and the tasks beside it. A report of the task that is higher
// by more than reportNoise shows an unknown disturbance, and counts less reportNoise.
func (c *Core) logTail(now time.Duration, w *worker, s *task, bestEffort []*task) float64 {
	own := interference.LogTail(s.load)
	base, known := c.model.Base(now, s.step.def.Image)
	if !known || s.step.load.Reports(now) < minLoadReports {
		return own
	}
	expected := math.Log(base) + s.step.load.At(now, limitHorizon) + c.rise(now, w, s.step.def.Image, bestEffort)
	return max(expected, own-reportNoise)
}

func (c *Core) updateModel(now time.Duration, w *worker, services, bestEffort []*task) {
	var shares []interference.Share
	for _, t := range bestEffort {
		shares = append(shares, interference.Share{Image: t.step.def.Image, Fraction: w.usedShare(t)})
	}
	for _, s := range services {
		// A service task that is still starting reports no tail latency.
		if s.percent == completePercent && s.load > 0 {
			c.observeService(now, w, s, shares, bestEffort)
		}
	}
}

// observeService applies the tail latency that a service task has reported to the load of its service and to the model.
func (c *Core) observeService(now time.Duration, w *worker, s *task, shares []interference.Share, bestEffort []*task) {
	image := s.step.def.Image
	if base, known := c.model.Base(now, image); known {
		rise := c.rise(now, w, image, bestEffort)
		s.step.load.Observe(now, loadlevel.Report{Deviation: interference.LogTail(s.load) - math.Log(base) - rise, Rise: rise,
			Since: now - s.loadObservedAt})
	}
	s.loadObservedAt = now
	c.model.Observe(now, image, s.load, s.step.load.At(now, 0), shares)
}

// completePercent is the progress of a task that has finished, and the readiness of a service task that is serving.
const completePercent = 100

// objectiveViolation tracks how far the tail latency of a service is over its objective. Single reports are imprecise,
// so an exponentially weighted mean decides whether tasks are paused.
type objectiveViolation struct {
	// mean is the mean of the logarithm of tail latency over objective, at the time of the newest report.
	mean      float64
	updatedAt time.Duration
	// overSince is the start of an unbroken series of reports over the objective, meanSince the time from which their
	// mean is over it; 0 if not.
	overSince, meanSince time.Duration
}

func (o *objectiveViolation) observe(now time.Duration, logRatio float64) {
	weight := 1.0
	if o.updatedAt > 0 {
		weight = 1 - math.Exp(-float64(now-o.updatedAt)/float64(violationDecayTime))
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

// throttleOrPause reports whether all best-effort tasks beside the service must be slowed, and whether they must be
// paused.
func (o *objectiveViolation) throttleOrPause(now, tolerance time.Duration) (slowAll, pauseAll bool) {
	lasted := func(since time.Duration, fraction float64) bool {
		return since > 0 && float64(now-since) >= fraction*float64(tolerance)
	}
	return lasted(o.overSince, slowAllToleranceFraction), lasted(o.meanSince, pauseAllToleranceFraction)
}

// throttleForService lowers the target CPU limit of the tasks that lengthen the tail latency of a service beyond its
// target.
func (c *Core) throttleForService(now time.Duration, w *worker, s *task, bestEffort []*task) {
	if s.load <= 0 {
		return
	}
	over := s.load > objectiveMillis(s.step)
	s.objectiveViolation.observe(now, math.Log(s.load/objectiveMillis(s.step)))
	target := math.Log(tailTargetFraction * objectiveMillis(s.step))
	logTail := c.logTail(now, w, s, bestEffort)
	slowAll, pauseAll := s.objectiveViolation.throttleOrPause(now, c.params.ObjectiveTolerance)
	minCoefficient := func(t *task) float64 {
		switch {
		case logTail <= target:
			return strongInterference
		case t.hasSlack(now):
			return slackInterference
		}
		return weakInterference
	}
	image := s.step.def.Image
	rise := 0.0
	coefficients := c.coefficients[:0]
	for _, t := range bestEffort {
		k := c.model.Coefficient(now, image, t.step.def.Image)
		rise += k * w.usedShare(t)
		coefficients = append(coefficients, k)
	}
	c.coefficients = coefficients
	// Without the best-effort tasks, the logarithm of the latency would be logTail-rise. allowedRise is what may be
	// added to it up to the target; it is divided among the responsible tasks in proportion to their requests.
	allowedRise := max(0, target-(logTail-rise))
	requestedRise := 0.0
	for i, t := range bestEffort {
		if k := coefficients[i]; k >= minCoefficient(t) {
			requestedRise += k * w.requestedShare(t)
		}
	}
	evenFraction := min(1, allowedRise/max(requestedRise, minRise))
	for i, t := range bestEffort {
		k := coefficients[i]
		if k >= minCoefficient(t) {
			fraction := evenFraction
			if evenFraction < minEvenFraction {
				// If all ran this slowly, all would end late, so the allowance is given out in order.
				taskRise := k * w.requestedShare(t)
				fraction = min(1, allowedRise/taskRise)
				allowedRise -= fraction * taskRise
			}
			t.targetCPULimit = min(t.targetCPULimit, int(fraction*noLimitPercent))
		}
		if pauseAll {
			t.targetCPULimit = 0
		} else if over && (k >= strongInterference || slowAll) {
			t.targetCPULimit = min(t.targetCPULimit, int(float64(max(0, t.cpuLimit))*overObjectiveLimitFactor))
		}
	}
}

// hasSlack reports whether a best-effort task can be slowed without making its submission late: it is expected to end long before
// its objective, or it is too late to have value.
func (t *task) hasSlack(now time.Duration) bool {
	j := t.job()
	switch t.tier(now) {
	case tierOnTime:
		remaining := t.step.path - time.Duration(t.percent)*(t.step.duration/completePercent)
		return now+time.Duration(pathMargin*float64(remaining))+minThrottleSlack <= j.objectiveAt
	case tierTooLate:
		return true
	}
	return false
}

// orderCPULimit orders the target CPU limit if it differs enough from the current one.
func (c *Core) orderCPULimit(t *task) {
	wanted := t.targetCPULimit / cpuLimitStepPercent * cpuLimitStepPercent
	small := wanted < min(t.cpuLimit+minChangePercent, noLimitPercent) && wanted > max(t.cpuLimit-minChangePercent, 0) &&
		t.cpuLimit != unknownCPULimit
	if !t.step.def.BestEffort || t.cpuLimit == wanted || small || t.cpuLimitInFlight || t.startState != startSettled ||
		t.stopWanted {
		return
	}
	t.cpuLimitInFlight, t.timed = true, false
	c.orders = append(c.orders, CPULimitOrder{Member: t.worker.Member, task: t,
		Call: CPULimitCall{Attempt: t.attempt(), Percent: wanted, Epoch: c.epoch}})
}

// evictSlowed moves a task whose target CPU limit has been too low for evictAfter.
func (c *Core) evictSlowed(now time.Duration, t *task) {
	if t.targetCPULimit >= evictLimitPercent {
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
		"pace", t.cpuLimit, "percent", t.percent)
	c.stopAttempt(t)
}

// hasBetterWorker reports whether another worker has room for the task and services there would be affected
// negligibly.
func (c *Core) hasBetterWorker(now time.Duration, t *task) bool {
	def := t.step.def
	tailRise := c.tailRise(now, t)
	for _, w := range c.sortedWorkers() {
		if w == t.worker || w.Pool != t.job().terms.Pool || w.exclusion(now) != excludedNone {
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

// CPULimitReturned applies the outcome of a CPULimitOrder.
func (c *Core) CPULimitReturned(now time.Duration, o CPULimitOrder, a CallAnswer, err error) {
	t := o.task
	if !c.isCurrent(t, o.Member, o.Call.Attempt) {
		return
	}
	t.cpuLimitInFlight = false
	var refused *RefusedError
	switch {
	case !c.observeAnswer(now, t.worker, answeredKind(callCPULimit, err), o.Member.StartedAt, ownAnswer(a, err)) || t.phase != workflow.Placed:
		// The attempt has ended with the incarnation that has answered.
	case err == nil:
		t.cpuLimit = o.Call.Percent
		// Progress under the old limit does not show whether the task is stalled under the new one.
		t.percentAt = now
	case errors.As(err, &refused) && refused.Reason == ReasonFenced:
		c.superseded = true
	default:
		c.logger.Info("CPU limit call failed", "task", t.id, "worker", o.Member.ID, "percent", o.Call.Percent,
			"error", err)
	}
}
