package scheduler

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// beginStop starts the planned stop: nothing new is placed or started, and every shard is handed over.
func (s *Scheduler) beginStop(now time.Time) {
	s.leaving = true
	s.deps.Health.SetReady(false)
	s.log.Info("hands its shards over and stops")
	for _, name := range s.names {
		s.beginRelease(s.shards[name], now, "the scheduler stops")
	}
	s.pollList(now)
	s.heartbeat()
}

// handedOver reports whether no shard is owned any more.
func (s *Scheduler) handedOver() bool {
	for _, sh := range s.shards {
		if sh.own != nil {
			return false
		}
	}
	return true
}

// beginRelease renews every lease once more, so that the tasks run on while the next owner claims and fences.
func (s *Scheduler) beginRelease(sh *shardLoop, now time.Time, reason string) {
	if sh.own == nil || sh.own.releasing {
		return
	}
	s.log.Info("releases a shard", "shard", sh.name, "epoch", sh.own.epoch, "reason", reason)
	sh.own.releasing, sh.own.releaseAt = true, now.Add(2*tickEvery)
	for _, w := range sh.own.workers {
		w.next = now
	}
	sh.dirty = true
}

// finishRelease writes the Release after the last renewals were answered.
func (s *Scheduler) finishRelease(sh *shardLoop, now time.Time) {
	if !sh.own.releasing || sh.own.released {
		return
	}
	sh.dirty = true
	if now.Before(sh.own.releaseAt) || now.Sub(sh.own.releaseAt) < s.policy.ttl/2 && sh.own.busy() {
		return
	}
	if !sh.own.settled(now) {
		// The next owner must wait for the isolation limit, as after a crash.
		s.lose(sh, "leases of an earlier owner may still be in force, so no release is written")
		return
	}
	sh.own.released = true
	s.put(sh, sh.own.epoch, &contract.Release{})
}

// busy reports whether a call to a worker is in progress.
func (o *ownership) busy() bool {
	for _, w := range o.workers {
		if w.calling {
			return true
		}
		for _, t := range w.tasks {
			if t.busy {
				return true
			}
		}
	}
	return false
}

// snapshot writes the state into the log when enough records or time have passed since the last snapshot.
func (s *Scheduler) snapshot(sh *shardLoop, now time.Time) {
	own := sh.own
	if own.draft != nil {
		if end, ok := sh.replay.End(own.draft); ok {
			s.put(sh, own.epoch, end)
			own.draft = nil
		} else if sh.out.idle() {
			// A late part of an earlier owner's snapshot came between the parts.
			own.draft = nil
		}
		return
	}
	if own.releasing || sh.replay.Tail() < snapshotEvery && now.Sub(own.snapshotAt) < snapshotAge {
		return
	}
	draft, err := sh.replay.Draft(contract.NewRecordID())
	if err != nil {
		s.log.Error("state cannot be encoded", "shard", sh.name, "error", err)
		return
	}
	own.draft, own.snapshotAt = draft, now
	for i, p := range draft.Parts {
		id := draft.ID
		if i > 0 {
			id = contract.NewRecordID()
		}
		s.putAs(sh, id, own.epoch, p)
	}
	s.metrics.snapshots.Inc()
}
