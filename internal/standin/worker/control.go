package worker

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// forgetAttemptsAfter bounds the memory of ended attempts. No call is delayed for so long.
	forgetAttemptsAfter = time.Hour
	maxAttemptsSeen     = 50_000
	// failAfter is how long a task runs on a worker that fails every task.
	failAfter = 100 * time.Millisecond
)

func (w *Worker) leaseCall(now time.Time, r upstream.LeaseRequest) upstream.LeaseReply {
	lf := w.life
	out := upstream.LeaseReply{Incarnation: lf.boot, Clock: w.clock(now), Leaving: !w.leaving.IsZero()}
	if r.AsOf > 0 && r.Incarnation != lf.boot {
		// The reading is of another clock. The call still fences.
		r.AsOf = 0
	}
	renewal := lf.lease.Renew(out.Clock, r.Shard, r.Epoch, r.AsOf, r.TTL)
	out.Refusal, out.Epoch, out.Expiry = renewal.Refusal, lf.lease.Epoch(), lf.lease.Expiry()
	if renewal.Refusal != upstream.RefusalNone {
		w.refused(renewal.Refusal)
		return out
	}
	if renewal.NewEpoch {
		clear(lf.fences)
	}
	lf.envelope = r.Envelope
	for _, f := range r.Revoked {
		lf.fences[f.Gateway] = max(lf.fences[f.Gateway], f.MinGeneration)
	}
	w.acknowledge(r.AckEvents)
	for _, t := range lf.tasks {
		t.run.Hold(w.wall(lf.lease.Expiry()))
	}
	w.report(now, &out, renewal.NewEpoch || r.Full)
	return out
}

// report fills in the worker's own word on its state.
func (w *Worker) report(now time.Time, out *upstream.LeaseReply, full bool) {
	lf := w.life
	if full {
		out.HasRunning = true
		for _, t := range lf.tasks {
			out.Running = append(out.Running, upstream.TaskReport{TaskRef: t.req.TaskRef, Kind: t.req.Kind,
				Progress: t.progress(), Throttle: t.throttle, Checkpoint: t.checkpointName()})
		}
	}
	for _, e := range lf.events {
		out.Events = append(out.Events, e.TaskEvent)
	}
	for _, g := range slices.Sorted(maps.Keys(lf.inProgress)) {
		out.InProgress = append(out.InProgress, upstream.GatewayUse{Gateway: g, Slots: lf.inProgress[g]})
	}
	out.Usage = lf.usage.report(now, w.cfg.UsageLag)
}

func (w *Worker) startCall(now time.Time, r upstream.StartRequest) upstream.TaskReply {
	lf := w.life
	if refusal := lf.lease.CheckLease(w.clock(now), r.Shard, r.Epoch); refusal != upstream.RefusalNone {
		return w.refuse(refusal)
	}
	if r.Incarnation != lf.boot {
		return w.refuse(upstream.RefusalWrongIncarnation)
	}
	if r.NotAfter > 0 && w.clock(now) >= r.NotAfter {
		return w.refuse(upstream.RefusalNoLease)
	}
	if t := lf.tasks[r.TaskRef]; t != nil {
		return upstream.TaskReply{Known: true, Checkpoint: t.checkpointName()}
	}
	seen := lf.attempts[keyOf(r.TaskRef)]
	if seen.attempt == r.Attempt && seen.attempt > 0 && !seen.never {
		return upstream.TaskReply{Known: true, Checkpoint: seen.checkpoint}
	}
	if r.Attempt <= seen.attempt {
		return w.refuse(upstream.RefusalStaleAttempt)
	}
	from, err := ParseCheckpoint(r.Checkpoint)
	if err != nil || !validStart(r, from) {
		return w.refuse(upstream.RefusalMalformed)
	}
	if w.late(now) {
		w.ledger.Violate(ViolationLateWork, w.cfg.ID, fmt.Sprintf("start of %v", r.TaskRef))
		return w.refuse(upstream.RefusalLeaving)
	}
	if !w.fits(r) {
		w.ledger.Violate(ViolationOverload, w.cfg.ID, fmt.Sprintf("start of %v with %+v beside %d tasks", r.TaskRef, r.Size, len(lf.tasks)))
		return w.refuse(upstream.RefusalOverload)
	}
	w.begin(now, r, from)
	return upstream.TaskReply{}
}

// validStart reports whether the request can be carried out at all. A checkpoint must belong to an earlier attempt of the same task.
func validStart(r upstream.StartRequest, from Checkpoint) bool {
	var none resource.Vector
	if r.Job == "" || r.Attempt < 1 || r.Index < 0 || r.RunTime < 0 || r.CheckpointEvery < 0 || !none.Fits(r.Size) {
		return false
	}
	return from.Number == 0 || (keyOf(from.TaskRef) == keyOf(r.TaskRef) && from.Attempt < r.Attempt)
}

// fits reports whether the worker can hold the task beside its tasks and the reserve for every slot.
func (w *Worker) fits(r upstream.StartRequest) bool {
	sum := w.life.envelope.Scale(int64(w.cfg.Slots)).Add(r.Size)
	for _, t := range w.life.tasks {
		sum = sum.Add(t.req.Size)
	}
	return sum.Fits(w.cfg.Capacity)
}

func (w *Worker) begin(now time.Time, r upstream.StartRequest, from Checkpoint) {
	lf := w.life
	// The request's strings are kept for as long as the task runs and must not hold on to its whole body.
	r.Job, r.Kind = strings.Clone(r.Job), strings.Clone(r.Kind)
	t := &task{req: r, work: w.cfg.Model.TaskTime(r.Kind, r.TaskRef, r.RunTime), done: from.Done, throttle: 1, started: now,
		usage: w.cfg.Model.UsageFactor(r.Job), settled: now, newest: from, checkpoints: now}
	if w.faults.FailTasks || slices.Contains(w.faults.FailKinds, r.Kind) {
		t.failAt = now.Add(failAfter)
	}
	t.run = w.ledger.Start(now, w.cfg.ID, r.TaskRef, from, w.wall(lf.lease.Expiry()))
	t.rate = w.taskRate(t)
	lf.tasks[r.TaskRef] = t
	w.sawAttempt(r.TaskRef, attemptSeen{checkpoint: t.checkpointName(), at: now})
}

// sawAttempt remembers the highest attempt of a task.
func (w *Worker) sawAttempt(ref upstream.TaskRef, s attemptSeen) {
	lf := w.life
	if len(lf.attempts) >= maxAttemptsSeen {
		maps.DeleteFunc(lf.attempts, func(k taskKey, old attemptSeen) bool {
			_, running := lf.tasks[upstream.TaskRef{Job: k.job, Index: k.index, Attempt: old.attempt}]
			return !running && s.at.Sub(old.at) > forgetAttemptsAfter
		})
	}
	s.attempt = ref.Attempt
	lf.attempts[keyOf(ref)] = s
}

func (w *Worker) stopCall(now time.Time, r upstream.StopRequest) upstream.TaskReply {
	t, reply := w.find(r.Shard, r.Epoch, r.TaskRef)
	if t == nil {
		if reply.Refusal == upstream.RefusalUnknownTask && w.life.attempts[keyOf(r.TaskRef)].attempt < r.Attempt {
			// The answer tells the owner that the attempt does not run here, so a delayed start of it must not take effect.
			w.sawAttempt(r.TaskRef, attemptSeen{at: now, never: true})
		}
		return reply
	}
	outcome := r.Outcome
	switch outcome {
	case "":
		outcome = upstream.OutcomeEvicted
	case upstream.OutcomeEvicted, upstream.OutcomeCancelled, upstream.OutcomeFailed:
	default:
		return w.refuse(upstream.RefusalMalformed)
	}
	if r.Checkpoint {
		t.checkpoint(now)
	}
	w.end(t, now, outcome, "stopped by the owner")
	return upstream.TaskReply{Known: true, Checkpoint: t.checkpointName()}
}

func (w *Worker) throttleCall(_ time.Time, r upstream.ThrottleRequest) upstream.TaskReply {
	t, reply := w.find(r.Shard, r.Epoch, r.TaskRef)
	if t == nil {
		return reply
	}
	if math.IsNaN(r.Fraction) || r.Fraction < 0 || r.Fraction > 1 {
		return w.refuse(upstream.RefusalMalformed)
	}
	t.throttle = r.Fraction
	t.rate = w.taskRate(t)
	return reply
}

func (w *Worker) checkpointCall(now time.Time, r upstream.CheckpointRequest) upstream.TaskReply {
	t, reply := w.find(r.Shard, r.Epoch, r.TaskRef)
	if t == nil {
		return reply
	}
	t.checkpoint(now)
	reply.Checkpoint = t.checkpointName()
	return reply
}

// find returns a running attempt, or nil and the answer to a call that concerns another one.
func (w *Worker) find(shard string, epoch uint64, ref upstream.TaskRef) (*task, upstream.TaskReply) {
	lf := w.life
	if refusal := lf.lease.CheckEpoch(shard, epoch); refusal != upstream.RefusalNone {
		return nil, w.refuse(refusal)
	}
	if t := lf.tasks[ref]; t != nil {
		return t, upstream.TaskReply{Known: true, Checkpoint: t.checkpointName()}
	}
	seen := lf.attempts[keyOf(ref)]
	if seen.attempt == ref.Attempt && seen.attempt > 0 && !seen.never {
		return nil, upstream.TaskReply{Known: true, Checkpoint: seen.checkpoint}
	}
	return nil, w.refuse(upstream.RefusalUnknownTask)
}

func (w *Worker) refuse(r upstream.Refusal) upstream.TaskReply {
	w.refused(r)
	return upstream.TaskReply{Refusal: r}
}

func (w *Worker) refused(r upstream.Refusal) { w.ledger.Count(CountRefused + string(r)) }

// stale reports whether a gateway's generation is fenced off.
func (lf *life) stale(g instance.Incarnation, generation uint64) bool {
	return generation < lf.fences[g]
}
