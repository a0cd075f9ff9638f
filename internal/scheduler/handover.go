package scheduler

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// beginStop begins the planned stop: no task is placed or started any more, and every owned shard is handed over.
func (s *Scheduler) beginStop(now time.Time) {
	s.leaving = true
	s.deps.Health.SetReady(false)
	s.log.Info("scheduler is stopping; handing over its shards")
	for _, name := range s.shardNames {
		s.beginRelease(s.shards[name], now, "the scheduler stops")
	}
	s.refreshMembership(now)
	s.heartbeat()
}

// ownsNoShard reports whether this process owns no shard.
func (s *Scheduler) ownsNoShard() bool {
	for _, sh := range s.shards {
		if sh.own != nil {
			return false
		}
	}
	return true
}

// beginRelease begins the handover of a shard: it renews every lease once more, so that the tasks keep running until
// the next owner has claimed the shard and fenced its workers.
func (s *Scheduler) beginRelease(sh *managedShard, now time.Time, reason string) {
	if sh.own == nil || sh.own.releasing {
		return
	}
	s.log.Info("releasing shard", "shard", sh.name, "epoch", sh.own.epoch, "reason", reason)
	sh.own.releasing, sh.own.releaseNotBefore = true, now.Add(2*tickInterval)
	for _, w := range sh.own.workers {
		w.nextRenewal = now
	}
	sh.needsReconcile = true
}

// finishRelease writes the Release record once the final renewals were answered, or after half a lease TTL.
func (s *Scheduler) finishRelease(sh *managedShard, now time.Time) {
	if !sh.own.releasing || sh.own.released {
		return
	}
	sh.needsReconcile = true
	if now.Before(sh.own.releaseNotBefore) || now.Sub(sh.own.releaseNotBefore) < s.policy.ttl/2 &&
		sh.own.callsInFlight() {
		return
	}
	if !sh.own.earlierRenewalsEnded(now) {
		// Without a Release the next owner waits for the isolation limit, as after a crash.
		s.lose(sh, "leases of an earlier owner may still be valid, so no release is written")
		return
	}
	sh.own.released = true
	s.enqueue(sh, sh.own.epoch, &contract.Release{LeasesLeft: sh.own.leasesLeft(now)})
}

// callsInFlight reports whether a call to a worker is in flight.
func (o *ownerState) callsInFlight() bool {
	for _, w := range o.workers {
		if w.leaseInFlight {
			return true
		}
		for _, a := range w.attempts {
			if a.callInFlight {
				return true
			}
		}
	}
	return false
}

// writeSnapshot writes a snapshot of the state to the stream when snapshotRecords or snapshotInterval have passed since
// the last one. The final SnapshotEnd follows in a later call, once all parts were read back.
func (s *Scheduler) writeSnapshot(sh *managedShard, now time.Time) {
	own := sh.own
	if own.pendingSnapshot != nil {
		if end, ok := sh.replay.End(own.pendingSnapshot); ok {
			s.enqueue(sh, own.epoch, end)
			own.pendingSnapshot = nil
		} else if sh.out.idle() {
			// A delayed part of an earlier owner's snapshot interrupted the parts, so this snapshot is discarded.
			own.pendingSnapshot = nil
		}
		return
	}
	if own.releasing || sh.replay.RecordsSinceSnapshot() < snapshotRecords &&
		now.Sub(own.snapshotAt) < snapshotInterval {
		return
	}
	draft, err := sh.replay.Draft(contract.NewRecordID())
	if err != nil {
		s.log.Error("shard state cannot be encoded for a snapshot", "shard", sh.name, "error", err)
		return
	}
	own.pendingSnapshot, own.snapshotAt = draft, now
	for i, p := range draft.Parts {
		id := draft.ID
		if i > 0 {
			id = contract.NewRecordID()
		}
		s.enqueueWithID(sh, id, own.epoch, p)
	}
	s.metrics.snapshots.Inc()
}
