package scheduler

import (
	"math/rand/v2"
	"time"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/lease"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// ownerState is the state that the owner of a shard keeps for one epoch.
type ownerState struct {
	epoch         uint64
	terms         lease.Terms
	slotAllocator SlotAllocator
	workers       map[instance.ID]*worker
	// superseded is set when a worker has reported a higher epoch. Until this owner reads the newer claim, it only
	// renews leases of workers that have not yet answered the new owner, so that their tasks keep running.
	superseded bool
	// releasing is set when the owner decides to hand the shard over; released is set once the Release record is in the
	// outbox. releaseNotBefore is the earliest time for writing it, after the final lease renewals.
	releasing        bool
	releaseNotBefore time.Time
	released         bool
	snapshotAt       time.Time
	pendingSnapshot  *shard.Draft
	// unschedulableReasons holds, by job, why no worker can ever run its tasks. notPlacedReasons holds why the last
	// round placed none of them.
	unschedulableReasons map[string]string
	notPlacedReasons     map[string]string
	// unusableSince is the time since which no worker of the shard is usable, zero if one is.
	unusableSince time.Time
}

// worker is the state that an owner keeps of one worker.
type worker struct {
	id instance.ID
	// member is the newest entry of the instance list; its ID is empty if the worker was never listed.
	member instance.Member
	// listed reports whether the instance list contains the worker.
	listed bool
	// listedLeaving is the incarnation that the list has last shown as leaving. reportedLeaving reports whether the
	// incarnation that holds the lease has reported that it leaves.
	listedLeaving   instance.Incarnation
	reportedLeaving bool
	// ended is the incarnation that the newest restart of the worker has ended, empty if it has not restarted.
	ended         instance.Incarnation
	lease         *lease.WorkerLease
	leaseInFlight bool
	nextRenewal   time.Time
	// leaseCalls is the number of lease calls sent to the worker.
	leaseCalls int
	// unreachable reports whether the newest lease call failed.
	unreachable bool
	// leased reports whether the worker held a valid lease in its newest answer. Without one it refuses every start
	// call.
	leased bool
	// finalRenewalSent reports whether the renewal that precedes a Release was sent.
	finalRenewalSent bool
	// sawHigherEpoch is set when this worker has reported a higher epoch; its lease is not renewed any more.
	sawHigherEpoch bool
	// lastAckedEvent is the number of the newest event that the next lease call will acknowledge; unackedEvents holds
	// the reported events after it.
	lastAckedEvent uint64
	unackedEvents  []upstream.TaskEvent
	attempts       map[upstream.TaskRef]*openAttempt
	// inAllocator reports whether the slot allocator may grant the worker's slots.
	inAllocator bool
	health      health
	usage       *upstream.UsageReport
}

// openAttempt is an open attempt on a worker.
type openAttempt struct {
	ref         upstream.TaskRef
	kind        jobKind
	incarnation instance.Incarnation
	size        resource.Vector
	// startedAt is when the worker confirmed the start, zero before.
	startedAt    time.Time
	callInFlight bool
	nextCall     time.Time
	// startSent reports whether a start call was sent. A start call without an answer may still start the task until
	// startUncertainUntil.
	startSent           bool
	startUncertainUntil time.Time
	checkpoint          string
	// endEvent is the end of the attempt, nil while it is not known to have ended; closeWritten reports whether its
	// Close is in the outbox.
	endEvent     *upstream.TaskEvent
	closeWritten bool
	stopping     bool
	stoppedAt    time.Time
}

// acquire starts to act as the owner of a shard whose claim was read back at now.
func (s *Scheduler) acquire(sh *managedShard, now time.Time, ownership shard.Ownership) {
	// The limits of the claim are used even if a newer manifest has others, because later owners compute waiting times
	// from the claim.
	terms := lease.Terms{Shard: sh.name, Epoch: ownership.Epoch, Owner: s.ID, TTL: ownership.Claim.TTL,
		IsolationLimit: ownership.Claim.Isolation, ClaimReadAt: now,
		AfterRelease: ownership.AfterRelease, EarlierTTL: ownership.EarlierTTL,
		EarlierIsolation: ownership.EarlierIsolation}
	sh.own = &ownerState{epoch: ownership.Epoch, terms: terms,
		slotAllocator: s.deps.NewSlotAllocator(sh.name, ownership.Epoch, grantTTL),
		workers:       map[instance.ID]*worker{}, snapshotAt: now, unschedulableReasons: map[string]string{},
		notPlacedReasons: map[string]string{}}
	s.metrics.epoch.WithLabelValues(sh.name).Set(float64(ownership.Epoch))
	s.metrics.acquired.Inc()
	s.log.Info("shard acquired", "shard", sh.name, "epoch", ownership.Epoch, "after_release", ownership.AfterRelease,
		"earlier_ttl", ownership.EarlierTTL)
	s.syncWorkers(sh, now)
	for _, id := range sh.state.Workers() {
		w := s.ensureWorker(sh, id)
		for ref, t := range sh.state.Open(id) {
			w.attempts[ref] = s.newOpenAttempt(sh, ref, t)
		}
	}
	sh.needsPlacement = true
}

func (s *Scheduler) newOpenAttempt(sh *managedShard, ref upstream.TaskRef, t *attempt.Task) *openAttempt {
	k := s.kindOf(sh, ref.Job)
	return &openAttempt{ref: ref, kind: k, incarnation: t.Incarnation, size: k.Size, checkpoint: t.Checkpoint}
}

// kindOf returns the kind of a job's tasks, or the zero value for an unknown job or kind.
func (s *Scheduler) kindOf(sh *managedShard, job string) jobKind {
	j := sh.state.Job(job)
	if j == nil {
		return jobKind{}
	}
	return s.kinds[j.Submit.Kind]
}

// ensureWorker returns the state of a worker and creates it if there is none.
func (s *Scheduler) ensureWorker(sh *managedShard, id instance.ID) *worker {
	w := sh.own.workers[id]
	if w == nil {
		w = &worker{id: id, lease: lease.NewWorkerLease(sh.own.terms), attempts: map[upstream.TaskRef]*openAttempt{}}
		sh.own.workers[id] = w
	}
	return w
}

// syncWorkers updates the workers of a shard from the instance list, and forgets unlisted workers whose lease has
// lapsed and that have neither open attempts nor unacknowledged events.
func (s *Scheduler) syncWorkers(sh *managedShard, now time.Time) {
	for _, w := range sh.own.workers {
		w.listed = false
	}
	for id, m := range s.members.workers {
		if datacentre.Shard(m.DataCentre, m.Rack, s.policy.racksPerShard) != sh.name {
			continue
		}
		w := s.ensureWorker(sh, id)
		if w.member.ID == "" {
			// The first lease calls of a new owner are sent within one tick; later renewals are spread by jitter.
			w.nextRenewal = now.Add(time.Duration(rand.Int64N(int64(tickInterval))))
		}
		wasLeaving := w.leaving()
		w.member, w.listed = m, true
		if m.State == instance.StateLeaving {
			w.listedLeaving = m.Incarnation
		}
		if w.leaving() && !wasLeaving {
			s.log.Info("worker is leaving", "shard", sh.name, "worker", id)
		}
	}
	for id, w := range sh.own.workers {
		s.syncAllocator(sh, w, now)
		if !w.listed && len(w.attempts) == 0 && w.lease.Lapsed(now) && len(w.unackedEvents) == 0 {
			delete(sh.own.workers, id)
		}
	}
}

// leaving reports whether the incarnation that holds the lease or the listed one is known to leave. A stale list may
// show one that has ended.
func (w *worker) leaving() bool {
	inc := w.listedLeaving
	return w.reportedLeaving || inc != "" && inc != w.ended &&
		(inc == w.member.Incarnation || inc == w.lease.Incarnation())
}

// usable reports whether a worker may get new work. It need not be in the current instance list as long as its lease is
// valid.
func (s *Scheduler) usable(sh *managedShard, w *worker, now time.Time) bool {
	return w.lease.Fenced() && !w.lease.Lapsed(now) && w.member.ID != "" && !w.leaving() && !sh.state.Drained(w.id)
}

// syncAllocator adds a worker that became usable to the slot allocator and removes one that no longer is.
func (s *Scheduler) syncAllocator(sh *managedShard, w *worker, now time.Time) {
	usable := s.usable(sh, w, now) && !sh.own.superseded
	if usable && !w.inAllocator {
		sh.own.slotAllocator.SetWorker(now, w.id, w.member.Addr, w.member.DataCentre, w.member.Slots)
	}
	if !usable && w.inAllocator {
		sh.own.slotAllocator.RemoveWorker(now, w.id)
	}
	w.inAllocator = usable
}

// onAttemptRecord updates the attempts of the workers after a Place or Close record was applied.
func (s *Scheduler) onAttemptRecord(sh *managedShard, res shard.Result) {
	switch b := res.Body.(type) {
	case *contract.Place:
		if res.Outcome != shard.Valid {
			return
		}
		w := s.ensureWorker(sh, b.Worker)
		if t := sh.state.Open(b.Worker)[b.TaskRef]; t != nil && w.attempts[b.TaskRef] == nil {
			w.attempts[b.TaskRef] = s.newOpenAttempt(sh, b.TaskRef, t)
		}
	case *contract.Close:
		for _, w := range sh.own.workers {
			if a := w.attempts[b.TaskRef]; a != nil && !sh.state.IsOpen(b.TaskRef) {
				delete(w.attempts, b.TaskRef)
				s.metrics.ends.WithLabelValues(string(b.Outcome)).Inc()
			}
		}
	}
}

// earlierRenewalsEnded reports whether no earlier owner can still renew the lease of a worker with open attempts. This must
// hold before a Release, because the next owner treats it as proof that no lease outlasts the TTL or leasesLeft.
func (o *ownerState) earlierRenewalsEnded(now time.Time) bool {
	for _, w := range o.workers {
		if len(w.attempts) > 0 && !w.lease.Fenced() && !w.lease.Lapsed(now) {
			return false
		}
	}
	return true
}

// leasesLeft returns how long workers with open attempts may still hold leases, of this owner or of earlier ones.
func (o *ownerState) leasesLeft(now time.Time) (left time.Duration) {
	for _, w := range o.workers {
		if len(w.attempts) > 0 {
			left = max(left, w.lease.LapseTime().Sub(now))
		}
	}
	return left
}
