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

// workerListPollIntervals is how often the owner reads the worker list: heartbeats arrive continuously, and a leaving
// worker must be detected within one or two seconds.
var workerListPollIntervals = eventlog.PollIntervals{Wait: 600 * time.Millisecond, Pause: 250 * time.Millisecond}

// observeOwnership applies the newest ownership in the log, and steps down if a later owner has claimed.
func (o *Owner) observeOwnership(newest catalog.Ownership) {
	if newest.Epoch > o.newestEpoch {
		o.newestEpoch = newest.Epoch
		o.logger.Info("newer ownership read from the log", "epoch", newest.Epoch, "owner", newest.Instance)
	}
	if o.core != nil && newest.Epoch > o.epoch {
		o.stepDown("a later owner has claimed")
	}
}

// maybeClaim claims if there is no active owner, and takes over once its claim and all records before it have been
// read.
func (o *Owner) maybeClaim(ctx context.Context, now time.Duration) {
	if o.claimOffset > 0 {
		o.maybeTakeOver(now)
		return
	}
	if o.stopping || o.claimInFlight || o.config.Load() == nil || !o.closuresKnown || now < o.nextClaim || !o.viewsComplete(now) {
		return
	}
	owner := o.catalog.Owner()
	if owner.Epoch > o.newestEpoch {
		// The catalog holds a newer claim than the events that were handled, so lastOwnerWrite is that of an earlier owner.
		o.claimAt = 0
		return
	}
	ended := o.ended(owner)
	// Silence counts up to the newest read only: the owner may have written since.
	readUpTo, _ := o.views.Progress.AsOf()
	if owner.Epoch > 0 && !ended && readUpTo-o.lastOwnerWrite < claimSilence {
		o.claimAt = 0
		return
	}
	if o.claimAt == 0 {
		o.claimAt = now + o.claimDelay(owner)
	}
	if now >= o.claimAt {
		o.claimAt = 0
		o.claim(ctx, now, owner)
	}
}

// claimDelay returns the delay before a claim. It is shorter for instances with more processor time and a shorter
// round trip to the log, since the owner needs both for every step of a submission.
func (o *Owner) claimDelay(previous catalog.Ownership) time.Duration {
	if previous.Instance == o.settings.Instance {
		// All other instances still wait for the claim silence of the earlier process.
		return 0
	}
	roundTrip, known := o.views.Progress.RoundTrip()
	if !known {
		roundTrip = maxRoundTrip
	}
	coresDelay := time.Duration(float64(oneCoreClaimDelay) / max(minCores, o.settings.Cores))
	delay := coresDelay + roundTripFactor*min(roundTrip, maxRoundTrip) + rand.N(maxClaimJitter)
	switch {
	case previous.Epoch == 0:
		// No work waits for the first owner of a deployment, so the longer delay lets better instances that start
		// slightly later claim first.
		delay *= firstClaimFactor
	case previous.Released:
		// All instances read the release at about the same time.
		delay /= releasedClaimDivisor
	}
	if o.catalog.MostCores(o.settings.Instance) >= strongerFactor*o.settings.Cores {
		delay += weakClaimDelay
	}
	return delay
}

// viewsComplete reports whether all records have been read and the log has been readable recently.
func (o *Owner) viewsComplete(now time.Duration) bool {
	progress, ok := o.views.Progress.AsOf()
	submissions, okSubmissions := o.views.Submissions.AsOf()
	return ok && okSubmissions && now-progress <= claimSilence && now-submissions <= claimSilence &&
		o.catalog.Complete()
}

func (o *Owner) claim(ctx context.Context, now time.Duration, previous catalog.Ownership) {
	o.claimInFlight, o.predecessor = true, previous
	// The log accepts one claim for each epoch: the random sequence number of any other claim does not follow it.
	p := eventlog.Producer{Name: producerName, Epoch: previous.Epoch + 1, Sequence: rand.Int64N(1<<40) + 1}
	own := catalog.Ownership{Epoch: p.Epoch, Instance: o.settings.Instance, Claim: uuid.NewString()}
	o.logger.Info("claiming ownership", "epoch", p.Epoch, "before", previous.Instance, "released", previous.Released,
		"silent_ms", (now - o.lastOwnerWrite).Milliseconds())
	e, err := catalog.OwnerEntry(&own)
	if err != nil {
		o.logger.Error("cannot encode claim", "error", err)
		return
	}
	go func() {
		sent := clock.Now()
		// A failed claim is not repeated, as the reason for it may no longer hold. If it was stored nevertheless, it
		// shows in the log.
		offset, err := o.log.Append(ctx, o.settings.ProgressTopic, &p, []eventlog.Entry{e})
		o.post(func(now time.Duration) {
			o.claimInFlight = false
			o.nextClaim = now + rand.N(maxClaimPause)
			if err != nil {
				o.logger.Info("claim not confirmed by the log", "epoch", p.Epoch, "error", err)
				return
			}
			o.epoch, o.lastConfirmed, o.claimOffset, o.claimedAt = p.Epoch, sent, offset+1, now
			// Appends of an earlier tenure may still be in flight; they do not count in this one.
			o.status = appendStream{topic: o.settings.ProgressTopic, sequence: p.Sequence, sentAt: now, next: now}
			o.tasks = appendStream{topic: o.settings.TasksTopic, sequence: p.Sequence, next: now}
			o.loading, o.loaded, o.unremovedTasks, o.unremovedStates = false, nil, nil, nil
			o.tenure, o.cancelTenure = context.WithCancel(ctx)
		})
	}()
}

// maybeTakeOver loads the tasks once the claim has been read back, and takes over when the submissions of all records
// have been read. Until then heartbeats keep others from claiming.
func (o *Owner) maybeTakeOver(now time.Duration) {
	if newest := o.catalog.Owner(); newest.Epoch > o.epoch {
		o.dropClaim("a later owner has claimed")
		return
	}
	if o.progressOffset >= o.claimOffset && !o.loading {
		o.loading = true
		o.loadTasks(o.tenure)
	}
	if o.loaded != nil {
		if jobs, complete := o.catalog.Restore(o.loaded); complete {
			o.takeOver(now, jobs)
			return
		}
	}
	if now-o.claimedAt < maxLoadTime {
		o.flushStatus(o.tenure, now)
	}
}

// loadTasks reads the tasks of the previous owners. The append before it fences TasksTopic, so that none of them can
// store anything there that was not read.
func (o *Owner) loadTasks(ctx context.Context) {
	fence, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: o.epoch, Instance: o.settings.Instance})
	if err != nil {
		o.logger.Error("cannot encode fence of tasks", "error", err)
		return
	}
	p := eventlog.Producer{Name: producerName, Epoch: o.epoch, Sequence: o.tasks.sequence}
	go func() {
		started := clock.Now()
		_, err := o.appendWithRetry(ctx, o.settings.TasksTopic, &p, []eventlog.Entry{fence})
		var loaded *catalog.Tasks
		if err == nil {
			loaded = o.newestTasks(ctx)
		}
		o.post(func(now time.Duration) {
			switch {
			case ctx.Err() != nil:
			case err != nil:
				o.dropClaim(err.Error())
			default:
				o.logger.Info("tasks loaded", "epoch", p.Epoch, "records", len(loaded.Records),
					"took_ms", (now - started).Milliseconds())
				o.loaded = loaded
			}
		})
	}()
}

// newestTasks returns the content of TasksTopic. It repeats failed reads, and returns nil when ctx ends.
func (o *Owner) newestTasks(ctx context.Context) *catalog.Tasks {
	retry := minAppendRetry
	for {
		page, err := o.log.Newest(ctx, o.settings.TasksTopic)
		if err == nil {
			return catalog.DecodeTasks(page.Entries, o.logger)
		}
		o.logger.Info("cannot load tasks, retrying", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retry):
		}
		retry = min(2*retry, maxAppendRetry)
	}
}

// dropClaim gives up a claim before the takeover.
func (o *Owner) dropClaim(reason string) {
	o.logger.Info("claim given up", "epoch", o.epoch, "reason", reason)
	o.cancelTenure()
	o.claimOffset, o.loading, o.loaded = 0, false, nil
}

// ended reports whether an owner has certainly stopped acting: it has released the ownership, or it was an earlier process
// of this instance.
func (o *Owner) ended(owner catalog.Ownership) bool {
	return owner.Released || owner.Instance == o.settings.Instance
}

// takeOver starts the tenure: everything that earlier owners have stored has been read.
func (o *Owner) takeOver(now time.Duration, jobs []*catalog.Job) {
	loaded := o.loaded
	o.claimOffset, o.loading, o.loaded = 0, false, nil
	unfenced, settled := loaded.Settled(o.predecessor.Epoch)
	o.predecessorsEnded = o.ended(o.predecessor) && settled
	o.core = New(o.settings.Params, o.epoch, now, time.Now, o.logger, o.config.Load(), Stored{
		PredecessorUntil: o.predecessorUntil(), Unfenced: unfenced, EarlierUntil: o.actingUntil(),
		Jobs: jobs, SilentLeases: o.catalog.SilentLeases(),
		Suspects: loaded.Suspects, Interference: loaded.Interference, Closed: o.closed})
	o.core.metrics = o.metrics
	o.settlement = settlement{earlierUntil: o.actingUntil(), next: now + settleDelay}
	if o.predecessorsEnded && len(unfenced) == 0 {
		o.settlement.earlierUntil, o.settlement.next = now, now
	}
	o.nextModelStore, o.lastRemoval, o.lastBacklog = now+modelStoreInterval, now, now
	// Calls of an earlier tenure may still be in flight; they do not count in this one.
	o.callsInFlight = 0
	o.workerList = eventlog.NewFollower(o.log, o.settings.WorkersTopic, workerListPollIntervals, o.logger,
		o.applyMembers)
	go o.workerList.Run(o.tenure)
	o.onRole(true)
	o.logger.Info("became owner", "epoch", o.epoch,
		"earlier_leases_ms", max(0, o.core.predecessorUntil+withDrift(o.settings.Params.Lease)-now).Milliseconds())
}

// stepDown ends the tenure. Its stored records remain valid; its calls are fenced by the next owner.
func (o *Owner) stepDown(reason string) {
	o.logger.Warn("no longer owner", "epoch", o.epoch, "reason", reason)
	o.core = nil
	o.metrics.reset()
	o.cancelTenure()
	if r, ok := o.workers.(Router); ok {
		r.Release()
	}
	now := clock.Now()
	o.lastOwnerWrite, o.predecessorRead = now, now
	o.onRole(false)
}

// handOver releases the ownership, so that another instance claims at once instead of after claimSilence.
func (o *Owner) handOver() {
	o.stopping = true
	if o.core == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// A call that takes longer may be carried out after the release, within the lease that a successor waits for.
	callsUntil := clock.Now() + releaseCallWait
	for o.core != nil && (o.tasks.inFlight || o.status.inFlight || o.core.HasUnpublished() ||
		o.callsInFlight > 0 && clock.Now() < callsUntil) {
		o.flushStatus(o.tenure, clock.Now())
		select {
		case <-ctx.Done():
			o.logger.Warn("ownership not released before the timeout", "epoch", o.epoch, "calls", o.callsInFlight)
			return
		case f := <-o.events:
			f(clock.Now())
		case <-time.After(ownerTick):
		}
	}
	if o.core == nil {
		return
	}
	e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: o.epoch, Instance: o.settings.Instance, Released: true})
	if err != nil {
		o.logger.Error("cannot encode release", "error", err)
		return
	}
	o.status.sequence++
	_, err = o.appendWithRetry(ctx, o.status.topic,
		&eventlog.Producer{Name: producerName, Epoch: o.epoch, Sequence: o.status.sequence}, []eventlog.Entry{e})
	if err != nil {
		o.logger.Warn("cannot store release of ownership", "epoch", o.epoch, "error", err)
		return
	}
	o.logger.Info("ownership released", "epoch", o.epoch)
	o.catalog.ApplyProgress([]eventlog.Entry{e})
	o.stepDown("stopping")
}
