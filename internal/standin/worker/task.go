package worker

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// task is one running attempt. Work is measured as run time on an idle worker.
type task struct {
	req upstream.StartRequest
	run *Run
	// work is the total work of the task, done the work done until updatedAt.
	work time.Duration
	done time.Duration
	// rate is the work done per unit of time since updatedAt.
	rate float64
	// usageFactor is the ratio of the true processor use to the declared size.
	usageFactor float64
	// throttle is the fraction of the full speed that the owner has set.
	throttle  float64
	started   time.Time
	updatedAt time.Time
	// failAt is the time at which the attempt fails because of an injected fault, or zero.
	failAt time.Time
	// newest is the newest checkpoint, which can be that of an earlier attempt. checkpointCount is the number of
	// checkpoints of this attempt, checkpointedAt the time of the last one or of the start.
	newest          Checkpoint
	checkpointCount int
	checkpointedAt  time.Time
}

// nextDue returns the time of the next update of the task if its rate does not change: its end, failure or checkpoint,
// or an hour after the last update.
func (t *task) nextDue() time.Time {
	next := t.updatedAt.Add(time.Hour)
	if !t.req.Service && t.rate > 0 {
		next = earlier(next,
			t.updatedAt.Add(time.Duration(min(float64(t.work-t.done)/t.rate, float64(time.Hour)))+time.Microsecond))
	}
	if !t.failAt.IsZero() {
		next = earlier(next, t.failAt)
	}
	if t.req.CheckpointEvery > 0 {
		next = earlier(next, t.checkpointedAt.Add(t.req.CheckpointEvery))
	}
	return next
}

// progress returns the share of the work that is done, from 0 to 1. It is 0 for a service.
func (t *task) progress() float64 {
	if t.req.Service || t.work <= 0 {
		return 0
	}
	return min(1, float64(t.done)/float64(t.work))
}

// updateProgress adds the work done until now, and ends the attempt or makes a checkpoint if that is due. It has no
// effect if now is before the last update.
func (w *Worker) updateProgress(t *task, now time.Time) {
	if now.Before(t.updatedAt) {
		return
	}
	t.done += time.Duration(float64(now.Sub(t.updatedAt)) * t.rate)
	t.updatedAt = now
	switch {
	case !t.failAt.IsZero() && !now.Before(t.failAt):
		w.endTask(t, now, upstream.OutcomeFailed, "the task failed")
		return
	case !t.req.Service && t.done >= t.work:
		w.endTask(t, now, upstream.OutcomeDone, "")
		return
	case t.req.CheckpointEvery > 0 && !now.Before(t.checkpointedAt.Add(t.req.CheckpointEvery)):
		t.checkpoint(now)
	}
	t.rate = w.taskRate(t)
}

// checkpoint makes a checkpoint of the current progress.
func (t *task) checkpoint(now time.Time) {
	t.checkpointCount++
	t.newest = Checkpoint{TaskRef: t.req.TaskRef, Number: t.checkpointCount, Done: t.done}
	t.checkpointedAt = now
	t.run.Checkpointed(t.newest)
}

// checkpointName returns the name of the newest checkpoint, or the empty string if there is none.
func (t *task) checkpointName() string {
	if t.newest.Number == 0 {
		return ""
	}
	return t.newest.Name()
}

// endTask removes the attempt from the running tasks and stores an event, which is kept until an owner acknowledges it.
func (w *Worker) endTask(t *task, now time.Time, o upstream.Outcome, reason string) {
	bs := w.bootState
	delete(bs.tasks, t.req.TaskRef)
	t.run.End(o)
	bs.lastEvent++
	bs.events = append(bs.events, event{leaseExpirations: bs.leaseExpirations, TaskEvent: upstream.TaskEvent{
		Number: bs.lastEvent, TaskRef: t.req.TaskRef, Outcome: o, Checkpoint: t.checkpointName(),
		RunTime: now.Sub(t.started), Reason: reason}})
	bs.attempts[keyOf(t.req.TaskRef)] = attemptRecord{attempt: t.req.Attempt, checkpoint: t.checkpointName(), at: now}
}

// acknowledge removes the events up to the given number. Those that ended since the last lease expiration are passed
// to the ledger as recorded.
func (w *Worker) acknowledge(number uint64) {
	bs := w.bootState
	for len(bs.events) > 0 && bs.events[0].Number <= number {
		if e := bs.events[0]; e.leaseExpirations == bs.leaseExpirations {
			w.ledger.EndRecorded(e.TaskEvent)
		}
		bs.events = bs.events[1:]
	}
}

// taskRate returns the work that a task does per unit of time under its throttle, the injected slowness and the load of
// requests.
func (w *Worker) taskRate(t *task) float64 {
	rate := t.throttle
	if w.faults.Slow > 1 {
		rate /= w.faults.Slow
	}
	if w.cfg.Model.Interference > 0 && w.cfg.Slots > 0 {
		rate /= 1 + fullLoadTaskSlowdown*w.cfg.Model.Interference*float64(w.bootState.busy)/float64(w.cfg.Slots)
	}
	return rate
}
