package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/shard"
)

// managedShard is the state that a scheduler keeps of one shard. The shard's stream is read only while the scheduler
// owns the shard or is a candidate to claim it.
type managedShard struct {
	name, stream string
	claimant     *shard.Claimant
	state        *attempt.State
	replay       *shard.Replayer
	out          outbox
	// own is nil unless this process owns the shard.
	own *ownerState
	// following is set while the stream is read. session is incremented whenever following starts or stops, so that
	// answers to calls of an earlier session are dropped.
	following    bool
	session      int
	cancelRead   context.CancelFunc
	readInFlight bool
	nextRead     time.Time
	// caughtUp reports whether every record up to the end of the stream has been read.
	caughtUp                bool
	oldestOffset, endOffset uint64
	// readSentAt is when the newest successful read was sent, from which the isolation of this owner is counted, and
	// readAnsweredAt when its answer arrived.
	readSentAt, readAnsweredAt time.Time
	// claimInFlight is set from the decision to claim until the claim was read back.
	claimInFlight bool
	// needsReconcile requests a reconciliation of the open attempts with the workers' reports, needsPlacement also a
	// round of placements.
	needsReconcile, needsPlacement bool
}

func newManagedShard(name string, inc instance.Incarnation) *managedShard {
	return &managedShard{name: name, stream: datacentre.ShardStream(name), claimant: shard.NewClaimant(name, inc)}
}

// tickShard runs one iteration of the control loop for a shard.
func (s *Scheduler) tickShard(sh *managedShard, now time.Time) {
	s.runClaimant(sh, now)
	s.startRead(sh, now)
	if sh.own != nil {
		s.renewLeases(sh, now)
		if sh.needsReconcile || sh.needsPlacement && s.canWrite(sh, now) {
			sh.needsReconcile = false
			s.reconcile(sh, now)
		}
	}
	s.flush(sh, now)
}

// runClaimant executes the next step of the shard's claimant.
func (s *Scheduler) runClaimant(sh *managedShard, now time.Time) {
	if s.leaving {
		return
	}
	var read *shard.Ownership
	if sh.following && sh.caughtUp {
		o := sh.replay.Ownership()
		read = &o
	}
	switch sh.claimant.Next(s.view(now), read) {
	case shard.StepNone:
		if sh.following && sh.own == nil && !sh.claimInFlight {
			s.stopFollowing(sh)
		}
	case shard.StepRead:
		s.startFollowing(sh)
	case shard.StepClaim:
		s.writeClaim(sh)
	case shard.StepRelease:
		s.beginRelease(sh, now, "another scheduler is selected")
	}
}

// writeClaim writes a Claim record unless one is in flight.
func (s *Scheduler) writeClaim(sh *managedShard) {
	if sh.claimInFlight || !sh.out.idle() {
		return
	}
	sh.claimInFlight = true
	s.log.Info("claiming shard", "shard", sh.name, "after", sh.replay.Ownership().Epoch)
	s.enqueue(sh, 0, &contract.Claim{Owner: s.ID, Incarnation: s.Incarnation, Addr: s.LinkAddr,
		PreviousEpoch: sh.replay.Ownership().Epoch, Snapshot: sh.replay.Snapshot().First, TTL: s.policy.ttl,
		Isolation: s.policy.isolationLimit})
}

func (s *Scheduler) startFollowing(sh *managedShard) {
	if sh.following {
		return
	}
	sh.following, sh.caughtUp, sh.readInFlight = true, false, false
	sh.state = attempt.New(sh.name)
	sh.replay = nil
	sh.nextRead = time.Time{}
	sh.session++
}

func (s *Scheduler) stopFollowing(sh *managedShard) {
	sh.following, sh.caughtUp, sh.claimInFlight = false, false, false
	sh.session++
	if sh.cancelRead != nil {
		sh.cancelRead()
	}
	sh.replay, sh.state, sh.out, sh.readSentAt, sh.readAnsweredAt = nil, nil, outbox{}, time.Time{}, time.Time{}
}

// startRead starts the next read of the stream unless one is in flight or none is due.
func (s *Scheduler) startRead(sh *managedShard, now time.Time) {
	if !sh.following || sh.readInFlight || now.Before(sh.nextRead) {
		return
	}
	sh.readInFlight = true
	from, limit, wait := uint64(1), 1, time.Duration(0)
	switch {
	case sh.replay != nil:
		from, limit = sh.replay.Next(), maxReadRecords
		if sh.caughtUp {
			wait = readLongPoll
		}
	case sh.oldestOffset > 0:
		from = sh.oldestOffset
	}
	session := sh.session
	ctx, cancel := context.WithTimeout(s.ioCtx, wait+platformTimeout)
	sh.cancelRead = cancel
	// The answer reflects the log at or after this time, however long it takes to arrive.
	sent := now
	s.spawn(func(context.Context) {
		defer cancel()
		page, err := s.deps.Log.Read(ctx, sh.stream, from, limit, wait)
		s.post(func(now time.Time) {
			if session != sh.session {
				return
			}
			sh.readInFlight = false
			if err != nil {
				s.readFailed(sh, now, err)
				return
			}
			s.lastLogRead, sh.readSentAt, sh.readAnsweredAt = now, sent, now
			s.applyPage(sh, now, page)
			s.startRead(sh, now)
		})
	})
}

func (s *Scheduler) readFailed(sh *managedShard, now time.Time, err error) {
	var retention *platform.RetentionError
	if errors.As(err, &retention) {
		sh.oldestOffset = retention.Oldest
		if sh.replay != nil {
			s.log.Warn("stream reader fell behind the retention of the log", "shard", sh.name, "oldest",
				retention.Oldest)
			s.lose(sh, "the stream reader fell behind the retention of the log")
		}
		return
	}
	s.log.Debug("stream read failed", "shard", sh.name, "error", err)
	sh.nextRead = now.Add(jitter(time.Second))
}

// applyPage applies the records of one read. The first page of a session only determines where the replay starts.
func (s *Scheduler) applyPage(sh *managedShard, now time.Time, page platform.Page) {
	sh.oldestOffset, sh.endOffset = page.Oldest, page.End
	if sh.replay == nil {
		sh.replay = shard.NewReplayer(sh.name, sh.state, shard.Lookback(page.Oldest, page.End, snapshotRecords))
		return
	}
	for i, data := range page.Records {
		res, err := sh.replay.Apply(page.First+uint64(i), data)
		if err != nil {
			s.log.Error("log returned records at unexpected offsets; restarting the replay", "shard", sh.name, "error",
				err)
			sh.replay.Restart(max(page.Oldest, 1))
			return
		}
		s.onRecord(sh, res)
	}
	sh.caughtUp = sh.replay.Next() >= page.End
	if !sh.caughtUp {
		return
	}
	if from, again := sh.replay.EndOfStream(page.Oldest); again {
		sh.replay.Restart(from)
		sh.caughtUp = false
		return
	}
	s.updateOwnership(sh, now)
}

// onRecord handles one record that was read from the stream and consumed by the replayer.
func (s *Scheduler) onRecord(sh *managedShard, res shard.Result) {
	sh.out.onReadBack(res.Record.ID)
	sh.needsReconcile, sh.needsPlacement = true, true
	s.metrics.observeRecord(res)
	switch res.Body.(type) {
	case *contract.Claim:
		if c := res.Body.(*contract.Claim); c.Owner == s.ID && c.Incarnation == s.Incarnation {
			sh.claimInFlight = false
		}
	case *contract.Place, *contract.Close:
		if sh.own != nil {
			s.onAttemptRecord(sh, res)
		}
	}
	if res.Outcome == shard.Ignored {
		s.log.Debug("shard state ignored a record", "shard", sh.name, "offset", res.Offset, "error", res.Err)
	}
}

// updateOwnership starts or ends the ownership of a shard according to the newest claim. It is called when the stream
// was read to its end.
func (s *Scheduler) updateOwnership(sh *managedShard, now time.Time) {
	o := sh.replay.Ownership()
	owns := sh.claimant.Owns(s.ID, o)
	switch {
	case sh.own != nil && (!owns || o.Epoch != sh.own.epoch):
		reason := "a newer claim was read"
		if o.Released && o.Epoch == sh.own.epoch {
			reason = "the release was read back"
		}
		s.lose(sh, reason)
	case sh.own == nil && owns:
		s.acquire(sh, now, o)
	}
}

// lose ends the ownership of a shard, if there is one, and stops following its stream. Workers that a later owner has
// fenced refuse the calls that are still in flight.
func (s *Scheduler) lose(sh *managedShard, reason string) {
	if sh.own != nil {
		s.log.Info("shard ownership ended", "shard", sh.name, "epoch", sh.own.epoch, "reason", reason)
		sh.own = nil
		s.metrics.epoch.DeleteLabelValues(sh.name)
	}
	s.stopFollowing(sh)
}
