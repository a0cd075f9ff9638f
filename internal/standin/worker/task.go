package worker

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// task is one running attempt. Work is counted in run time on an idle worker.
type task struct {
	req  upstream.StartRequest
	run  *Run
	work time.Duration
	done time.Duration
	// rate is the work that is done per unit of time, until settled is set again.
	rate float64
	// usage is the true processor use over the declared size.
	usage    float64
	throttle float64
	started  time.Time
	settled  time.Time
	// failAt is the time at which the attempt fails; zero if it does not.
	failAt time.Time
	// newest is the newest checkpoint, which may be an earlier attempt's; made counts those of this attempt.
	newest      Checkpoint
	made        int
	checkpoints time.Time
}

// due returns the time at which the task needs to be settled next, if nothing changes.
func (t *task) due() time.Time {
	next := t.settled.Add(time.Hour)
	if !t.req.Service && t.rate > 0 {
		next = earlier(next, t.settled.Add(time.Duration(min(float64(t.work-t.done)/t.rate, float64(time.Hour)))+time.Microsecond))
	}
	if !t.failAt.IsZero() {
		next = earlier(next, t.failAt)
	}
	if t.req.CheckpointEvery > 0 {
		next = earlier(next, t.checkpoints.Add(t.req.CheckpointEvery))
	}
	return next
}

func (t *task) progress() float64 {
	if t.req.Service || t.work <= 0 {
		return 0
	}
	return min(1, float64(t.done)/float64(t.work))
}

// settle accounts for the work done until now and ends the attempt or makes a checkpoint if that is due. A time before the last one
// changes nothing.
func (w *Worker) settle(t *task, now time.Time) {
	if now.Before(t.settled) {
		return
	}
	t.done += time.Duration(float64(now.Sub(t.settled)) * t.rate)
	t.settled = now
	switch {
	case !t.failAt.IsZero() && !now.Before(t.failAt):
		w.end(t, now, upstream.OutcomeFailed, "the task failed")
		return
	case !t.req.Service && t.done >= t.work:
		w.end(t, now, upstream.OutcomeDone, "")
		return
	case t.req.CheckpointEvery > 0 && !now.Before(t.checkpoints.Add(t.req.CheckpointEvery)):
		t.checkpoint(now)
	}
	t.rate = w.taskRate(t)
}

// checkpoint saves the progress.
func (t *task) checkpoint(now time.Time) {
	t.made++
	t.newest = Checkpoint{TaskRef: t.req.TaskRef, Number: t.made, Done: t.done}
	t.checkpoints = now
	t.run.Checkpointed(t.newest)
}

// checkpointName returns the name of the newest checkpoint, or the empty string.
func (t *task) checkpointName() string {
	if t.newest.Number == 0 {
		return ""
	}
	return t.newest.Name()
}

// end removes the attempt and keeps the event until an owner acknowledges it.
func (w *Worker) end(t *task, now time.Time, o upstream.Outcome, reason string) {
	lf := w.life
	delete(lf.tasks, t.req.TaskRef)
	t.run.End(o)
	lf.lastEvent++
	lf.events = append(lf.events, event{lapses: lf.lapses, TaskEvent: upstream.TaskEvent{Number: lf.lastEvent,
		TaskRef: t.req.TaskRef, Outcome: o, Checkpoint: t.checkpointName(), RunTime: now.Sub(t.started), Reason: reason}})
	lf.attempts[keyOf(t.req.TaskRef)] = attemptSeen{attempt: t.req.Attempt, checkpoint: t.checkpointName(), at: now}
}

// acknowledge forgets the events up to a number.
func (w *Worker) acknowledge(number uint64) {
	lf := w.life
	for len(lf.events) > 0 && lf.events[0].Number <= number {
		if e := lf.events[0]; e.lapses == lf.lapses {
			w.ledger.Recorded(e.TaskEvent)
		}
		lf.events = lf.events[1:]
	}
}

// taskRate returns the work that a task does per unit of time.
func (w *Worker) taskRate(t *task) float64 {
	rate := t.throttle
	if w.faults.Slow > 1 {
		rate /= w.faults.Slow
	}
	if w.cfg.Model.Interference > 0 && w.cfg.Slots > 0 {
		rate /= 1 + requestPressure*w.cfg.Model.Interference*float64(w.life.busy)/float64(w.cfg.Slots)
	}
	return rate
}
