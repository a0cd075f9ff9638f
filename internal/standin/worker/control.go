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
	// attemptRetention is the minimum time for which an attempt is remembered. It is longer than any delay of a call.
	attemptRetention = time.Hour
	// maxRememberedAttempts is the number of remembered attempts from which the expired ones are dropped.
	maxRememberedAttempts = 50_000
	// failureDelay is the run time of a task that fails because of an injected fault.
	failureDelay = 100 * time.Millisecond
)

// leaseCall fences the worker with the epoch of the owner, renews the lease and reports the worker's state.
func (w *Worker) leaseCall(now time.Time, r upstream.LeaseRequest) upstream.LeaseReply {
	bs := w.bootState
	out := upstream.LeaseReply{Incarnation: bs.incarnation, Clock: w.clock(now), Leaving: !w.leavingSince.IsZero()}
	if r.AsOf > 0 && r.Incarnation != bs.incarnation {
		// The reading is from before a reboot, so the call fences the worker but does not extend the lease.
		r.AsOf = 0
	}
	renewal := bs.lease.Renew(out.Clock, r.Shard, r.Epoch, r.AsOf, r.TTL)
	out.Refusal, out.Epoch, out.Expiry = renewal.Refusal, bs.lease.Epoch(), bs.lease.Expiry()
	if renewal.Refusal != upstream.RefusalNone {
		w.countRefusal(renewal.Refusal)
		return out
	}
	if renewal.NewEpoch {
		clear(bs.minGenerations)
	}
	bs.slotReservation = r.Envelope
	for _, f := range r.Revoked {
		bs.minGenerations[f.Gateway] = max(bs.minGenerations[f.Gateway], f.MinGeneration)
	}
	w.acknowledge(r.AckEvents)
	for _, t := range bs.tasks {
		t.run.SetLeaseEnd(w.wallTime(bs.lease.Expiry()))
	}
	w.fillReport(now, &out, renewal.NewEpoch || r.Full)
	return out
}

// fillReport adds the worker's state to a lease reply: events, use by gateway, usage, and with full the running tasks.
func (w *Worker) fillReport(now time.Time, out *upstream.LeaseReply, full bool) {
	bs := w.bootState
	if full {
		out.HasRunning = true
		for _, t := range bs.tasks {
			out.Running = append(out.Running, upstream.TaskReport{TaskRef: t.req.TaskRef, Kind: t.req.Kind,
				Progress: t.progress(), Throttle: t.throttle, Checkpoint: t.checkpointName()})
		}
	}
	for _, e := range bs.events {
		out.Events = append(out.Events, e.TaskEvent)
	}
	for _, g := range slices.Sorted(maps.Keys(bs.inProgress)) {
		out.InProgress = append(out.InProgress, upstream.GatewayUse{Gateway: g, Slots: bs.inProgress[g]})
	}
	out.Usage = bs.usage.report(now, w.cfg.UsageLag)
}

// startCall starts an attempt. A repeated call for a known attempt has no effect and is answered with its newest
// checkpoint.
func (w *Worker) startCall(now time.Time, r upstream.StartRequest) upstream.TaskReply {
	bs := w.bootState
	if refusal := bs.lease.CheckLease(w.clock(now), r.Shard, r.Epoch); refusal != upstream.RefusalNone {
		return w.refuse(refusal)
	}
	if r.Incarnation != bs.incarnation {
		return w.refuse(upstream.RefusalWrongIncarnation)
	}
	if r.NotAfter > 0 && w.clock(now) >= r.NotAfter {
		return w.refuse(upstream.RefusalNoLease)
	}
	if t := bs.tasks[r.TaskRef]; t != nil {
		return upstream.TaskReply{Known: true, Checkpoint: t.checkpointName()}
	}
	last := bs.attempts[keyOf(r.TaskRef)]
	if last.attempt == r.Attempt && last.attempt > 0 && !last.neverStarted {
		return upstream.TaskReply{Known: true, Checkpoint: last.checkpoint}
	}
	if r.Attempt <= last.attempt {
		return w.refuse(upstream.RefusalStaleAttempt)
	}
	from, err := ParseCheckpoint(r.Checkpoint)
	if err != nil || !validStart(r, from) {
		return w.refuse(upstream.RefusalMalformed)
	}
	if w.refusesNewWork(now) {
		w.ledger.RecordViolation(ViolationLateWork, w.cfg.ID, fmt.Sprintf("start of %v", r.TaskRef))
		return w.refuse(upstream.RefusalLeaving)
	}
	if !w.fits(r) {
		w.ledger.RecordViolation(ViolationOverload, w.cfg.ID,
			fmt.Sprintf("start of %v with %+v beside %d tasks", r.TaskRef, r.Size, len(bs.tasks)))
		return w.refuse(upstream.RefusalOverload)
	}
	w.startTask(now, r, from)
	return upstream.TaskReply{}
}

// validStart reports whether the fields of a request are valid. A checkpoint must belong to an earlier attempt of the
// same task.
func validStart(r upstream.StartRequest, from Checkpoint) bool {
	var none resource.Vector
	if r.Job == "" || r.Attempt < 1 || r.Index < 0 || r.RunTime < 0 || r.CheckpointEvery < 0 || !none.Fits(r.Size) {
		return false
	}
	return from.Number == 0 || (keyOf(from.TaskRef) == keyOf(r.TaskRef) && from.Attempt < r.Attempt)
}

// fits reports whether the worker has capacity for the task in addition to its running tasks and the reservation of
// every slot.
func (w *Worker) fits(r upstream.StartRequest) bool {
	sum := w.bootState.slotReservation.Scale(int64(w.cfg.Slots)).Add(r.Size)
	for _, t := range w.bootState.tasks {
		sum = sum.Add(t.req.Size)
	}
	return sum.Fits(w.cfg.Capacity)
}

// startTask starts an attempt from a checkpoint.
func (w *Worker) startTask(now time.Time, r upstream.StartRequest, from Checkpoint) {
	bs := w.bootState
	// The strings outlive the request; clones do not keep its whole body in memory.
	r.Job, r.Kind = strings.Clone(r.Job), strings.Clone(r.Kind)
	t := &task{req: r, work: w.cfg.Model.TaskTime(r.Kind, r.TaskRef, r.RunTime), done: from.Done,
		throttle: 1, started: now,
		usageFactor: w.cfg.Model.UsageFactor(r.Job), updatedAt: now, newest: from, checkpointedAt: now}
	if w.faults.FailTasks || slices.Contains(w.faults.FailKinds, r.Kind) {
		t.failAt = now.Add(failureDelay)
	}
	t.run = w.ledger.Start(now, w.cfg.ID, r.TaskRef, from, w.wallTime(bs.lease.Expiry()))
	t.rate = w.taskRate(t)
	bs.tasks[r.TaskRef] = t
	w.recordAttempt(r.TaskRef, attemptRecord{checkpoint: t.checkpointName(), at: now})
}

// recordAttempt stores the highest known attempt of a task.
func (w *Worker) recordAttempt(ref upstream.TaskRef, record attemptRecord) {
	bs := w.bootState
	if len(bs.attempts) >= maxRememberedAttempts {
		maps.DeleteFunc(bs.attempts, func(k taskKey, old attemptRecord) bool {
			_, running := bs.tasks[upstream.TaskRef{Job: k.job, Index: k.index, Attempt: old.attempt}]
			return !running && record.at.Sub(old.at) > attemptRetention
		})
	}
	record.attempt = ref.Attempt
	bs.attempts[keyOf(ref)] = record
}

// stopCall ends an attempt with the outcome that the owner gives, evicted by default.
func (w *Worker) stopCall(now time.Time, r upstream.StopRequest) upstream.TaskReply {
	t, reply := w.findTask(r.Shard, r.Epoch, r.TaskRef)
	if t == nil {
		if reply.Refusal == upstream.RefusalUnknownTask && w.bootState.attempts[keyOf(r.TaskRef)].attempt < r.Attempt {
			// The owner concludes from the answer that the attempt does not run here, so a delayed start of it must be
			// refused.
			w.recordAttempt(r.TaskRef, attemptRecord{at: now, neverStarted: true})
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
	w.endTask(t, now, outcome, "stopped by the owner")
	return upstream.TaskReply{Known: true, Checkpoint: t.checkpointName()}
}

// throttleCall sets the fraction of the full speed at which a task runs.
func (w *Worker) throttleCall(_ time.Time, r upstream.ThrottleRequest) upstream.TaskReply {
	t, reply := w.findTask(r.Shard, r.Epoch, r.TaskRef)
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

// checkpointCall makes a checkpoint of a running attempt.
func (w *Worker) checkpointCall(now time.Time, r upstream.CheckpointRequest) upstream.TaskReply {
	t, reply := w.findTask(r.Shard, r.Epoch, r.TaskRef)
	if t == nil {
		return reply
	}
	t.checkpoint(now)
	reply.Checkpoint = t.checkpointName()
	return reply
}

// findTask returns a running attempt and the answer to a call for it, or nil and the answer if the attempt is not
// running.
func (w *Worker) findTask(shard string, epoch uint64, ref upstream.TaskRef) (*task, upstream.TaskReply) {
	bs := w.bootState
	if refusal := bs.lease.CheckEpoch(shard, epoch); refusal != upstream.RefusalNone {
		return nil, w.refuse(refusal)
	}
	if t := bs.tasks[ref]; t != nil {
		return t, upstream.TaskReply{Known: true, Checkpoint: t.checkpointName()}
	}
	last := bs.attempts[keyOf(ref)]
	if last.attempt == ref.Attempt && last.attempt > 0 && !last.neverStarted {
		return nil, upstream.TaskReply{Known: true, Checkpoint: last.checkpoint}
	}
	return nil, w.refuse(upstream.RefusalUnknownTask)
}

// refuse counts a refusal and returns the answer for it.
func (w *Worker) refuse(r upstream.Refusal) upstream.TaskReply {
	w.countRefusal(r)
	return upstream.TaskReply{Refusal: r}
}

func (w *Worker) countRefusal(r upstream.Refusal) { w.ledger.Count(CountRefusedPrefix + string(r)) }

// fenced reports whether requests under a generation of a gateway's grant are refused.
func (bs *bootState) fenced(g instance.Incarnation, generation uint64) bool {
	return generation < bs.minGenerations[g]
}
