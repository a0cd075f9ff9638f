package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// fullPace lets a task use all that it can get.
const fullPace = 100

const (
	// A service whose tail latency is above this share of its objective has the best-effort tasks beside it slowed.
	highPressure = 0.85
	// Below this share they are sped up again.
	lowPressure = 0.6
	// overPressure is where they are slowed at once to a share that is certainly harmless in a few steps.
	overPressure = 1.0
	slowStep     = 0.6
	overStep     = 0.3
	raiseStep    = 20
	// minPace below which best-effort tasks stand still.
	minPace = 8
	// raiseDelay lets the measured latency, which is half a second old, follow the last change.
	raiseDelay = 800 * time.Millisecond
)

// mixed reports whether best-effort tasks run beside services with an objective.
func (w *worker) mixed() bool {
	service, bestEffort := false, false
	for t := range w.tasks {
		service = service || t.step.def.Service && t.step.def.Objective > 0
		bestEffort = bestEffort || t.step.def.BestEffort
	}
	return service && bestEffort
}

// regulate sets the pace of the best-effort tasks on a worker after the tail latency of its services.
func (c *Core) regulate(now time.Duration, w *worker) {
	w.pressure = 0
	for t := range w.tasks {
		if d := t.step.def; d.Service && d.Objective > 0 && t.seen {
			w.pressure = max(w.pressure, t.load/float64(d.Objective.Milliseconds()))
		}
	}
	before := w.pace
	switch {
	case w.pressure > overPressure:
		w.pace = int(float64(w.pace) * overStep)
		w.raiseAt = now + raiseDelay
	case w.pressure > highPressure:
		w.pace = int(float64(w.pace) * slowStep)
		w.raiseAt = now + raiseDelay
	case w.pressure < lowPressure && now >= w.raiseAt:
		w.pace = min(fullPace, w.pace+raiseStep)
		w.raiseAt = now + raiseDelay
	}
	if w.pace < minPace {
		w.pace = 0
	}
	if w.pace != before && w.mixed() {
		c.logger.Info("pace changed", "worker", w.ID, "percent", w.pace, "pressure", w.pressure)
	}
	for t := range w.tasks {
		c.setPace(t, w.pace)
	}
}

// paceNew gives a task that has just started the pace of its worker.
func (c *Core) paceNew(t *task) {
	t.pace = fullPace
	c.setPace(t, t.worker.pace)
}

func (c *Core) setPace(t *task, percent int) {
	if !t.step.def.BestEffort || t.pace == percent || t.pacing || t.order != orderSettled || t.stopWanted {
		return
	}
	t.pacing = true
	c.orders = append(c.orders, PaceOrder{Member: t.worker.Member, task: t, Call: PaceCall{Attempt: t.attempt(), Percent: percent, Fence: c.epoch}})
}

// PaceReturned takes over the outcome of a pace order.
func (c *Core) PaceReturned(now time.Duration, o PaceOrder, a CallAnswer, err error) {
	t := o.task
	if !c.current(t, o.Member, o.Call.Attempt) || t.phase != workflow.Placed {
		return
	}
	t.pacing = false
	var refused *RefusedError
	switch {
	case err == nil:
		t.worker.takeClock(now, a.Clock)
		t.pace = o.Call.Percent
		// The worker's pace may have changed while the call was in flight.
		c.setPace(t, t.worker.pace)
	case errors.As(err, &refused) && refused.Reason == ReasonFenced:
		c.deposed = true
	default:
		c.logger.Info("pace not set", "task", t.id, "worker", o.Member.ID, "percent", o.Call.Percent, "error", err)
	}
}
