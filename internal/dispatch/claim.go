package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
)

// workersPace is how the owner reads the list: heartbeats come all the time, and a leaving worker must be seen within a second or two.
var workersPace = eventlog.PollIntervals{Wait: 600 * time.Millisecond, Pause: 250 * time.Millisecond}

// ownershipRead takes the newest ownership of the log over.
func (o *Owner) ownershipRead(newest catalog.Ownership) {
	if newest.Epoch > o.seenEpoch {
		o.seenEpoch = newest.Epoch
		o.logger.Info("ownership read", "epoch", newest.Epoch, "owner", newest.Instance)
	}
	if o.core != nil && newest.Epoch > o.epoch {
		o.stepDown("a later owner has claimed")
	}
}

// maybeClaim claims when there is no owner, and takes over when a claim has been read back with everything before it.
func (o *Owner) maybeClaim(ctx context.Context, now time.Duration) {
	if o.claimOffset > 0 {
		if o.progressEnd >= o.claimOffset && o.catalog.Complete() {
			o.takeOver(ctx, now)
		}
		return
	}
	if o.stopping || o.claiming || o.config.Load() == nil || now < o.claimAfter || !o.viewsKnown(now) {
		return
	}
	owner := o.catalog.Owner()
	// An owner of this instance was an earlier process, which has ended.
	ended := owner.Released || owner.Instance == o.settings.Instance
	// Only what has been read counts: the owner may have written since.
	read, _ := o.views.Progress.AsOf()
	if owner.Epoch > 0 && !ended && read-o.ownerSign < claimSilence {
		o.claimDue = 0
		return
	}
	if o.claimDue == 0 {
		o.claimDue = now + o.claimDelay(owner)
	}
	if now >= o.claimDue {
		o.claimDue = 0
		o.claim(ctx, now, owner)
	}
}

// claimDelay lets instances with much processor time and a short way to the log go first: the owner needs both in every step of a submission.
func (o *Owner) claimDelay(before catalog.Ownership) time.Duration {
	if before.Instance == o.settings.Instance {
		// Everyone else still waits for the silence of the earlier process.
		return 0
	}
	roundTrip, known := o.views.Progress.RoundTrip()
	if !known {
		roundTrip = unknownRoundTrip
	}
	strength := time.Duration(float64(strengthDelay) / max(leastCores, o.settings.Cores))
	d := strength + distanceFactor*min(roundTrip, unknownRoundTrip) + rand.N(claimJitter)
	switch {
	case before.Epoch == 0:
		// Nothing waits for the first owner of a deployment, so instances that start a little later may still go before others.
		return firstFactor * d
	case before.Released:
		// All instances read the release at about the same time.
		return d / releasedDivisor
	}
	return d
}

// viewsKnown reports whether everything has been read and the log can be read at present.
func (o *Owner) viewsKnown(now time.Duration) bool {
	progress, ok := o.views.Progress.AsOf()
	submissions, okSubmissions := o.views.Submissions.AsOf()
	return ok && okSubmissions && now-progress <= claimSilence && now-submissions <= claimSilence && o.catalog.Complete()
}

func (o *Owner) claim(ctx context.Context, now time.Duration, before catalog.Ownership) {
	o.claiming = true
	// The log takes one claim of an epoch: the sequence number of any other does not follow it.
	p := eventlog.Producer{Name: producer, Epoch: before.Epoch + 1, Sequence: rand.Int64N(1<<40) + 1}
	own := catalog.Ownership{Epoch: p.Epoch, Instance: o.settings.Instance, Claim: uuid.NewString()}
	o.logger.Info("claiming", "epoch", p.Epoch, "before", before.Instance, "released", before.Released, "silent_ms", (now - o.ownerSign).Milliseconds())
	e, err := catalog.OwnerEntry(&own)
	if err != nil {
		o.logger.Error("claim not encoded", "error", err)
		return
	}
	go func() {
		sent := clock.Now()
		// A claim that fails is not repeated as it is: what justified it may be over. One that was carried out all the same shows in the log.
		offset, err := o.log.Append(ctx, o.settings.ProgressTopic, &p, []eventlog.Entry{e})
		o.post(func(now time.Duration) {
			o.claiming = false
			o.claimAfter = now + rand.N(claimSpread)
			if err != nil {
				o.logger.Info("claim lost", "epoch", p.Epoch, "error", err)
				return
			}
			o.epoch, o.sequence, o.confirmed, o.claimOffset = p.Epoch, p.Sequence, sent, offset+1
		})
	}()
}

// takeOver starts to decide: everything that was stored before the claim has been read.
func (o *Owner) takeOver(ctx context.Context, now time.Duration) {
	o.claimOffset = 0
	if newest := o.catalog.Owner(); newest.Epoch > o.epoch {
		o.logger.Info("claim outdated", "epoch", o.epoch, "newest", newest.Epoch)
		return
	}
	o.core = New(o.settings.Params, o.epoch, now, time.Now, o.logger, o.config.Load(), o.catalog.All(), o.catalog.Silent(),
		o.catalog.Learned())
	o.appended, o.learned, o.forgot, o.forgetting = now, now, now, nil
	// Calls and appends of an earlier ownership may still be on their way; they concern this one no more.
	o.appending, o.calls = false, 0
	o.tenure, o.endTenure = context.WithCancel(ctx)
	o.fleet = eventlog.NewFollower(o.log, o.settings.WorkersTopic, workersPace, o.logger, o.membersRead)
	go o.fleet.Run(o.tenure)
	o.onRole(true)
	o.logger.Info("owner", "epoch", o.epoch)
}

// stepDown ends the ownership. What it has stored stands; its calls are fenced by the next one.
func (o *Owner) stepDown(reason string) {
	o.logger.Warn("no longer owner", "epoch", o.epoch, "reason", reason)
	o.core = nil
	o.endTenure()
	o.ownerSign = clock.Now()
	o.onRole(false)
}

// handOver ends the ownership, so that another instance claims at once instead of after a silence.
func (o *Owner) handOver() {
	o.stopping = true
	if o.core == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	for o.core != nil && (o.appending || o.calls > 0) {
		select {
		case <-ctx.Done():
			o.logger.Warn("ownership not released in time", "epoch", o.epoch, "calls", o.calls)
			return
		case f := <-o.events:
			f(clock.Now())
		}
	}
	if o.core == nil {
		return
	}
	e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: o.epoch, Instance: o.settings.Instance, Released: true})
	if err != nil {
		o.logger.Error("release not encoded", "error", err)
		return
	}
	o.sequence++
	_, err = o.appendUntil(ctx, &eventlog.Producer{Name: producer, Epoch: o.epoch, Sequence: o.sequence}, []eventlog.Entry{e})
	if err != nil {
		o.logger.Warn("ownership not released", "epoch", o.epoch, "error", err)
		return
	}
	o.logger.Info("ownership released", "epoch", o.epoch)
	o.catalog.ApplyProgress([]eventlog.Entry{e})
	o.stepDown("stopping")
}
