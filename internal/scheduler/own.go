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

// ownership is the state that the owner of a shard keeps for one epoch.
type ownership struct {
	epoch   uint64
	terms   lease.Terms
	ledger  Ledger
	workers map[instance.ID]*worker
	// superseded is set when a worker has reported a higher epoch. Until this owner reads the newer claim from the log
	// it only renews the leases of workers that the new owner has not fenced, so that their tasks keep running until it
	// reaches them.
	superseded bool
	// releasing is set from the decision to hand the shard over, released once the Release record is in the outbox. The
	// Release is written no earlier than releaseNotBefore, after the final renewals were sent.
	releasing        bool
	releaseNotBefore time.Time
	released         bool
	snapshotAt       time.Time
	draft            *shard.Draft
	// parkReasons holds, by job, why no worker can ever run its tasks; refusalReasons why the last round placed none.
	parkReasons    map[string]string
	refusalReasons map[string]string
	// unusableSince is the time since which no worker of the shard is usable, zero if one is.
	unusableSince time.Time
}

// worker is the state that an owner keeps of one worker.
type worker struct {
	id     instance.ID
	member instance.Member
	// listed reports whether the instance list contains the worker.
	listed        bool
	leaving       bool
	lease         *lease.WorkerLease
	leaseInFlight bool
	nextRenewal   time.Time
	// renewals counts the lease calls.
	renewals int
	// unreachable reports whether the newest lease call failed.
	unreachable bool
	// leased reports whether the worker held a valid lease in its newest answer. Without one it refuses every start
	// call.
	leased bool
	// finalRenewalSent reports whether the renewal that precedes a Release was sent.
	finalRenewalSent bool
	// sawHigherEpoch is set when this worker has reported a higher epoch; its lease is not renewed any more.
	sawHigherEpoch bool
	// ackedEvent is the number of the newest event that the next lease call acknowledges; events are the reported
	// events after it.
	ackedEvent uint64
	events     []upstream.TaskEvent
	attempts   map[upstream.TaskRef]*openAttempt
	// inLedger reports whether the ledger may grant the worker's slots.
	inLedger bool
	health   health
	usage    *upstream.UsageReport
}

// openAttempt is an open attempt on a worker.
type openAttempt struct {
	ref         upstream.TaskRef
	kind        kindInfo
	incarnation instance.Incarnation
	size        resource.Vector
	// startedAt is when the worker confirmed the start, zero before.
	startedAt    time.Time
	callInFlight bool
	nextCall     time.Time
	// startSent reports whether a start call was sent. A start call without an answer may still be executed until
	// startUncertainUntil.
	startSent           bool
	startUncertainUntil time.Time
	checkpoint          string
	// end is the end of the attempt, nil while it is not known to have ended; closeWritten reports whether its Close is
	// in the outbox.
	end          *upstream.TaskEvent
	closeWritten bool
	stopping     bool
	stoppedAt    time.Time
}

// acquire starts the ownership o of a shard, whose claim was read back at now.
func (s *Scheduler) acquire(sh *managedShard, now time.Time, o shard.Ownership) {
	// The limits are those of the claim, which later owners rely on, even if a newer manifest has other ones.
	terms := lease.Terms{Shard: sh.name, Epoch: o.Epoch, Owner: s.ID, TTL: o.Claim.TTL,
		IsolationLimit: o.Claim.Isolation, ClaimReadAt: now,
		AfterRelease: o.AfterRelease, EarlierTTL: o.EarlierTTL, EarlierIsolation: o.EarlierIsolation}
	sh.own = &ownership{epoch: o.Epoch, terms: terms, ledger: s.deps.NewLedger(sh.name, o.Epoch, grantTTL),
		workers: map[instance.ID]*worker{}, snapshotAt: now, parkReasons: map[string]string{},
		refusalReasons: map[string]string{}}
	s.metrics.epoch.WithLabelValues(sh.name).Set(float64(o.Epoch))
	s.metrics.acquired.Inc()
	s.log.Info("shard acquired", "shard", sh.name, "epoch", o.Epoch, "after_release", o.AfterRelease)
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
func (s *Scheduler) kindOf(sh *managedShard, job string) kindInfo {
	j := sh.state.Job(job)
	if j == nil {
		return kindInfo{}
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
			// A new owner fences every worker at once. The jitter of the renewals spreads them over the interval later.
			w.nextRenewal = now.Add(time.Duration(rand.Int64N(int64(tickInterval))))
		}
		w.member, w.listed = m, true
		if m.State == instance.StateLeaving && !w.leaving {
			w.leaving = true
			s.log.Info("worker is leaving", "shard", sh.name, "worker", id)
		}
		if m.State == instance.StateLive && w.leaving && w.member.Incarnation != m.Incarnation {
			w.leaving = false
		}
	}
	for id, w := range sh.own.workers {
		s.syncLedger(sh, w, now)
		if !w.listed && len(w.attempts) == 0 && w.lease.Lapsed(now) && len(w.events) == 0 {
			delete(sh.own.workers, id)
		}
	}
}

// usable reports whether a worker may get new work. It need not be in the current instance list as long as its lease is
// valid.
func (s *Scheduler) usable(sh *managedShard, w *worker, now time.Time) bool {
	return w.lease.Fenced() && !w.lease.Lapsed(now) && w.member.ID != "" && !w.leaving && !sh.state.Drained(w.id)
}

// syncLedger adds a worker that became usable to the ledger and removes one that no longer is.
func (s *Scheduler) syncLedger(sh *managedShard, w *worker, now time.Time) {
	usable := s.usable(sh, w, now) && !sh.own.superseded
	if usable && !w.inLedger {
		sh.own.ledger.SetWorker(now, w.id, w.member.Addr, w.member.DataCentre, w.member.Slots)
	}
	if !usable && w.inLedger {
		sh.own.ledger.RemoveWorker(now, w.id)
	}
	w.inLedger = usable
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

// earlierLeasesEnded reports whether no attempt can still run under a lease of an earlier owner. A Release may be
// written only then, because to the next owner it means that all leases before this epoch have ended.
func (o *ownership) earlierLeasesEnded(now time.Time) bool {
	for _, w := range o.workers {
		if len(w.attempts) > 0 && !w.lease.Fenced() && !w.lease.Lapsed(now) {
			return false
		}
	}
	return true
}
