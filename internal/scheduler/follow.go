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

// shardLoop is what a scheduler knows of one shard. Its stream is read only while the scheduler owns it or is about to.
type shardLoop struct {
	name, stream string
	claimant     *shard.Claimant
	state        *attempt.State
	replay       *shard.Replayer
	out          outbox
	own          *ownership
	// following is set while the stream is read; round tells the answers of an earlier round apart.
	following bool
	round     int
	cancel    context.CancelFunc
	reading   bool
	nextRead  time.Time
	// atEnd is set while everything that the log holds has been read.
	atEnd       bool
	oldest, end uint64
	// lastRead is when the newest answered read was sent, which bounds the isolation of this owner; readAt is when it was answered.
	lastRead, readAt time.Time
	// claiming is set from the decision to claim until the claim was read back.
	claiming bool
	// dirty asks for a comparison of attempts and reports, changed for a round of placements as well.
	dirty, changed bool
}

func newShardLoop(name string, inc instance.Incarnation) *shardLoop {
	return &shardLoop{name: name, stream: datacentre.ShardStream(name), claimant: shard.NewClaimant(name, inc)}
}

// drive does what is due for one shard.
func (s *Scheduler) drive(sh *shardLoop, now time.Time) {
	s.decide(sh, now)
	s.read(sh, now)
	if sh.own != nil {
		s.renew(sh, now)
		if sh.dirty || sh.changed && s.canWrite(sh, now) {
			sh.dirty = false
			s.reconcile(sh, now)
		}
	}
	s.flush(sh, now)
}

func (s *Scheduler) decide(sh *shardLoop, now time.Time) {
	if s.leaving {
		return
	}
	var read *shard.Ownership
	if sh.following && sh.atEnd {
		o := sh.replay.Owner()
		read = &o
	}
	switch sh.claimant.Next(s.view(now), read) {
	case shard.StepNone:
		if sh.following && sh.own == nil && !sh.claiming {
			s.stopFollowing(sh)
		}
	case shard.StepRead:
		s.startFollowing(sh)
	case shard.StepClaim:
		s.claim(sh)
	case shard.StepRelease:
		s.beginRelease(sh, now, "another scheduler is selected")
	}
}

func (s *Scheduler) claim(sh *shardLoop) {
	if sh.claiming || !sh.out.idle() {
		return
	}
	sh.claiming = true
	s.log.Info("claims a shard", "shard", sh.name, "after", sh.replay.Owner().Epoch)
	s.put(sh, 0, &contract.Claim{Owner: s.ID, Incarnation: s.Incarnation, Addr: s.LinkAddr,
		After: sh.replay.Owner().Epoch, Snapshot: sh.replay.Snapshot().First, TTL: s.policy.ttl, Isolation: s.policy.isolation})
}

func (s *Scheduler) startFollowing(sh *shardLoop) {
	if sh.following {
		return
	}
	sh.following, sh.atEnd, sh.reading = true, false, false
	sh.state = attempt.New(sh.name)
	sh.replay = nil
	sh.nextRead = time.Time{}
	sh.round++
}

func (s *Scheduler) stopFollowing(sh *shardLoop) {
	sh.following, sh.atEnd, sh.claiming = false, false, false
	sh.round++
	if sh.cancel != nil {
		sh.cancel()
	}
	sh.replay, sh.state, sh.out, sh.lastRead, sh.readAt = nil, nil, outbox{}, time.Time{}, time.Time{}
}

// read starts the next read unless one is in progress.
func (s *Scheduler) read(sh *shardLoop, now time.Time) {
	if !sh.following || sh.reading || now.Before(sh.nextRead) {
		return
	}
	sh.reading = true
	from, limit, wait := uint64(1), 1, time.Duration(0)
	switch {
	case sh.replay != nil:
		from, limit = sh.replay.Next(), readLimit
		if sh.atEnd {
			wait = readWait
		}
	case sh.oldest > 0:
		from = sh.oldest
	}
	round := sh.round
	ctx, cancel := context.WithTimeout(s.io, wait+ioTimeout)
	sh.cancel = cancel
	// What an answer shows is at least as new as the call, however long the answer travels.
	sent := now
	s.spawn(func(context.Context) {
		defer cancel()
		page, err := s.deps.Log.Read(ctx, sh.stream, from, limit, wait)
		s.post(func(now time.Time) {
			if round != sh.round {
				return
			}
			sh.reading = false
			if err != nil {
				s.readFailed(sh, now, err)
				return
			}
			s.lastRead, sh.lastRead, sh.readAt = now, sent, now
			s.takePage(sh, now, page)
			s.read(sh, now)
		})
	})
}

func (s *Scheduler) readFailed(sh *shardLoop, now time.Time, err error) {
	var gone *platform.RetentionError
	if errors.As(err, &gone) {
		sh.oldest = gone.Oldest
		if sh.replay != nil {
			s.log.Warn("reader fell behind the retention of the log", "shard", sh.name, "oldest", gone.Oldest)
			s.lose(sh, "fell behind the retention of the log")
		}
		return
	}
	s.log.Debug("stream is not readable", "shard", sh.name, "error", err)
	sh.nextRead = now.Add(jitter(time.Second))
}

// takePage applies the records of one read.
func (s *Scheduler) takePage(sh *shardLoop, now time.Time, page platform.Page) {
	sh.oldest, sh.end = page.Oldest, page.End
	if sh.replay == nil {
		sh.replay = shard.NewReplayer(sh.name, sh.state, shard.Lookback(page.Oldest, page.End, snapshotEvery))
		return
	}
	for i, data := range page.Records {
		res, err := sh.replay.Apply(page.First+uint64(i), data)
		if err != nil {
			s.log.Error("log answered with other offsets than asked for", "shard", sh.name, "error", err)
			sh.replay.Restart(max(page.Oldest, 1))
			return
		}
		s.applied(sh, res)
	}
	sh.atEnd = sh.replay.Next() >= page.End
	if !sh.atEnd {
		return
	}
	if from, again := sh.replay.Settle(page.Oldest); again {
		sh.replay.Restart(from)
		sh.atEnd = false
		return
	}
	s.checkOwner(sh, now)
}

// applied reacts to one record that was read back.
func (s *Scheduler) applied(sh *shardLoop, res shard.Result) {
	sh.out.readBack(res.Record.ID)
	sh.dirty, sh.changed = true, true
	s.metrics.record(res)
	switch res.Body.(type) {
	case *contract.Claim:
		if c := res.Body.(*contract.Claim); c.Owner == s.ID && c.Incarnation == s.Incarnation {
			sh.claiming = false
		}
	case *contract.Place, *contract.Close:
		if sh.own != nil {
			s.appliedAttempt(sh, res)
		}
	}
	if res.Verdict == shard.Ignored {
		s.log.Debug("record does not apply", "shard", sh.name, "offset", res.Offset, "error", res.Err)
	}
}

// checkOwner starts or ends ownership once the stream was read to its end.
func (s *Scheduler) checkOwner(sh *shardLoop, now time.Time) {
	o := sh.replay.Owner()
	owns := sh.claimant.Owns(s.ID, o)
	switch {
	case sh.own != nil && (!owns || o.Epoch != sh.own.epoch):
		reason := "another claim was read"
		if o.Released && o.Epoch == sh.own.epoch {
			reason = "release was read back"
		}
		s.lose(sh, reason)
	case sh.own == nil && owns:
		s.acquire(sh, now, o)
	}
}

// lose ends an ownership and the reading of the stream. Calls that are still in progress are refused by the fence.
func (s *Scheduler) lose(sh *shardLoop, reason string) {
	if sh.own != nil {
		s.log.Info("owns a shard no longer", "shard", sh.name, "epoch", sh.own.epoch, "reason", reason)
		sh.own = nil
		s.metrics.epoch.DeleteLabelValues(sh.name)
	}
	s.stopFollowing(sh)
}
