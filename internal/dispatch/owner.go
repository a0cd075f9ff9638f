package dispatch

import (
	"context"
	"log/slog"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Settings configures an Owner.
type Settings struct {
	Params
	Instance string
	// Cores is the processor time available to the instance; instances with more of it claim earlier.
	Cores float64
	// LinkBytesPerSecond is the bandwidth of the instance's link; 0 if unknown.
	LinkBytesPerSecond float64
	// LogReadBytesPerSecond is the bandwidth that all instances share for reading the log; 0 if unknown.
	LogReadBytesPerSecond float64
	// ProgressTopic holds the ownership and the states of submissions, which all instances read. TasksTopic holds the
	// records with tasks, which only a new owner reads. WorkersTopic holds the worker list, and SubmissionsTopic the
	// submissions and cancellations.
	ProgressTopic, TasksTopic, WorkersTopic, SubmissionsTopic string
	// Retention is how long a submission can be queried after it is over.
	Retention time.Duration
	// Limits are the sizes that the log accepts.
	Limits eventlog.Limits
	// AcceptedLimit is the memory that accepted submissions may take, by workflow.Submission.Footprint; 0 for no limit.
	AcceptedLimit int64
}

const (
	// claimSilence is how long the owner must have written nothing, while the log could be read, before another
	// instance claims. It is slightly longer than three heartbeat intervals.
	claimSilence      = 1600 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// maxClaimPause limits the random pause after a lost claim. maxClaimJitter keeps equal instances from claiming at
	// the same moment.
	maxClaimPause  = 250 * time.Millisecond
	maxClaimJitter = 20 * time.Millisecond
	// oneCoreClaimDelay is the claim delay of an instance with one core; it is longer with fewer cores.
	oneCoreClaimDelay = 50 * time.Millisecond
	// The claim delay contains roundTripFactor times the round trip to the log, so that instances near the log claim
	// earlier: about 30 ms within the data centre of the log, 110 ms from another one.
	roundTripFactor = 8
	// firstClaimFactor lengthens the delays of the first claim in a deployment: instances start within 0.3 s of each
	// other, and better ones may start slightly later.
	firstClaimFactor = 5
	// releasedClaimDivisor shortens the delays after a release. All instances read a release at about the same time, so
	// most claims arrive in the right order nevertheless.
	releasedClaimDivisor = 3
	// An instance waits for weakClaimDelay longer while another one has strongerFactor times its processor time. It is
	// longer than the times at which instances notice the silence of an owner differ.
	weakClaimDelay = 500 * time.Millisecond
	strongerFactor = 2
	// maxRoundTrip limits the round trip in the claim delay, and stands in for one that is not measured.
	maxRoundTrip = 25 * time.Millisecond
	// minCores limits the claim delay of an instance whose processor time is unknown.
	minCores = 0.05
	// No task is placed while the view of submissions, workers or closed data centres is older than maxViewAge, and none is
	// started while the last one is. It is well below the time after which a cancelled submission, a leaving worker or a
	// closed data centre must get no more starts.
	maxViewAge = 1400 * time.Millisecond
	// ownerTick and standbyTick are the intervals at which the loop runs without an event.
	ownerTick   = 20 * time.Millisecond
	standbyTick = 200 * time.Millisecond
	// minStepInterval limits how often an owner goes through its workers and tasks; events in between are handled
	// together.
	minStepInterval = 4 * time.Millisecond
	// minAppendInterval limits the rate of appends of task records; the decisions in between are stored with one append.
	minAppendInterval = 15 * time.Millisecond
	// maxRecordBytesPerSecond limits the task records that an owner writes while its submissions change fast, to a part of
	// what the log takes.
	maxRecordBytesPerSecond = 4 << 20
	// recordLinkShare is the share of the own link that task records may take.
	recordLinkShare = 0.25
	// minStatusInterval limits the rate of appends of states.
	minStatusInterval = 25 * time.Millisecond
	// maxStatusBytesPerSecond limits the states that an owner publishes. Every instance reads them, and weak ones have
	// links of 20 Mbit/s, which must also carry the traffic of callers.
	maxStatusBytesPerSecond = 1 << 20
	// statusReadShare is the share of the log's read bandwidth that the states may take when all instances read them.
	// Beyond it every view falls behind, and all instances report that they are not ready.
	statusReadShare = 0.5
	// maxAppendInterval limits the time between two appends that the limits of bytes cause.
	maxAppendInterval = 250 * time.Millisecond
	// maxLoadTime limits how long a claimant writes heartbeats before it has taken over.
	maxLoadTime = 5 * time.Second
	// modelStoreInterval is the least time between two records of the interference model, modelBytesPerSecond limits the rate at
	// which it is written, and maxModelBytes its size. With the images of usual deployments it has a few hundred bytes.
	modelStoreInterval  = 4 * time.Second
	modelBytesPerSecond = 16 << 10
	maxModelBytes       = 128 << 10
	// Limits of the exponential backoff for an append that was refused or not answered.
	minAppendRetry = 30 * time.Millisecond
	maxAppendRetry = 250 * time.Millisecond
	// releaseTimeout limits how long a stopping owner waits for its last append, releaseCallWait how long it waits for the
	// outcome of its calls.
	releaseTimeout   = 1500 * time.Millisecond
	releaseCallWait  = 400 * time.Millisecond
	eventQueueLength = 4096
	producerName     = "owner"
)

// Views are the followers that feed the catalog.
type Views struct {
	Submissions catalog.Freshness
	Progress    ProgressView
}

// ProgressView is the view of the owner's records.
type ProgressView interface {
	catalog.Freshness
	// RoundTrip returns the round-trip time to the log, and false while it is unknown.
	RoundTrip() (time.Duration, bool)
}

// Owner takes part in the ownership of all submissions for one instance: it waits, claims if there is no active
// owner, and then decides with a Core. Run is its only goroutine; all other exported methods may be called from any
// goroutine.
type Owner struct {
	settings Settings
	log      eventlog.Log
	workers  Workers
	advisor  Advisor
	decode   func(id string, b []byte) (Member, error)
	config   *queue.Current
	catalog  *catalog.Catalog
	views    Views
	logger   *slog.Logger
	onRole   func(owner bool)
	metrics  *Metrics
	events   chan func(now time.Duration)
	done     chan struct{}

	// core is nil while this instance is not the owner.
	core     *Core
	lastStep time.Duration
	epoch    int64
	// status and tasks are the appends to ProgressTopic and TasksTopic.
	status, tasks appendStream
	// lastConfirmed is when the newest confirmed append of status was sent. Appends of tasks do not count: a successor
	// counts the leases of its predecessor from the newest record that it has read in ProgressTopic.
	lastConfirmed  time.Duration
	nextModelStore time.Duration
	lastRemoval    time.Duration
	// lastBacklog is when the backlog was last summarised.
	lastBacklog time.Duration
	// unremovedTasks and unremovedStates hold the removed submissions whose records are still to be removed from
	// TasksTopic, and then from ProgressTopic.
	unremovedTasks, unremovedStates []workflow.JobID
	// callsInFlight counts the calls for whose outcome a hand-over waits.
	callsInFlight int
	load          callLoad
	stopping      bool
	// tenure is the context of the calls that this instance makes as claimant and owner. It is cancelled when the
	// ownership ends or the claim is given up.
	tenure       context.Context
	cancelTenure context.CancelFunc
	workerList   *eventlog.Follower

	// lastOwnerWrite is when the silence of the current owner began: its newest record was read, the log could be read
	// again after an interruption, or this instance ceased to be the owner. lastLogRead is when the log was last read.
	lastOwnerWrite time.Duration
	lastLogRead    time.Duration
	// predecessorRead is when the newest record of another owner was read. predecessor is the owner at this instance's
	// claim; predecessorsEnded is set if it does not act any more, and owners before it do at most on workers that it has
	// stored as unfenced.
	predecessorRead   time.Duration
	predecessor       catalog.Ownership
	predecessorsEnded bool
	settlement        settlement
	// progressOffset is the offset up to which the owner's records have been read.
	progressOffset int64
	claimInFlight  bool
	// claimOffset is the offset after this instance's claim until the claim has been read back; 0 if there is none.
	claimOffset int64
	// claimedAt is when the claim was confirmed. loading is set once the tasks are requested, and loaded when they are
	// read.
	claimedAt time.Duration
	loading   bool
	loaded    *catalog.Tasks
	// nextClaim is the earliest time of the next claim; claimAt is when the scheduled claim is due, 0 if there is none.
	nextClaim time.Duration
	claimAt   time.Duration
	// closed holds the closed data centres as of closedAsOf; closuresKnown is set once they have been read.
	closed        evacuation.Set
	closedAsOf    time.Duration
	closuresKnown bool
	// newestEpoch is the highest epoch that was read from the log.
	newestEpoch int64
}

// NewOwner returns an Owner; Run starts it. decode parses an entry of the worker list. onRole is called with true
// when this instance becomes the owner and with false when it ceases to be.
func NewOwner(s Settings, l eventlog.Log, w Workers, a Advisor, decode func(string, []byte) (Member, error),
	config *queue.Current, cat *catalog.Catalog, v Views, onRole func(bool), logger *slog.Logger) *Owner {
	return &Owner{settings: s, log: l, workers: w, advisor: a, decode: decode, config: config, catalog: cat, views: v,
		onRole: onRole, logger: logger, events: make(chan func(time.Duration), eventQueueLength),
		done: make(chan struct{})}
}

// UseMetrics makes the owner set metrics. It is called before Run.
func (o *Owner) UseMetrics(m *Metrics) { o.metrics = m }

// post queues an event for the goroutine of Run. Events after its end are dropped.
func (o *Owner) post(f func(now time.Duration)) {
	select {
	case o.events <- f:
	case <-o.done:
	}
}

// SubmissionsChanged reports new or cancelled submissions.
func (o *Owner) SubmissionsChanged(jobs []*catalog.Job) {
	o.post(func(now time.Duration) {
		if o.core == nil {
			return
		}
		for _, j := range jobs {
			o.core.Submit(now, j)
		}
	})
}

// ProgressRead reports a batch of the owner's records that was read, and the newest ownership.
func (o *Owner) ProgressRead(b eventlog.Batch, newest catalog.Ownership) {
	n := len(b.Entries)
	o.post(func(now time.Duration) {
		o.progressOffset = b.Next
		// If the log could not be read for a while, the silence of the owner counts from now on.
		if now-o.lastLogRead > claimSilence {
			o.lastOwnerWrite = now
		}
		if n > 0 && !(n == 1 && newest.IsClaimOf(o.settings.Instance)) && !o.followsClaim(b, newest) ||
			o.lastLogRead == 0 {
			o.predecessorRead = now
		}
		o.lastLogRead = now
		if n > 0 && !b.Reset {
			o.lastOwnerWrite = now
		}
		o.observeOwnership(newest)
	})
}

// followsClaim reports whether all records of a batch are this instance's own, written after its claim.
func (o *Owner) followsClaim(b eventlog.Batch, newest catalog.Ownership) bool {
	return o.claimOffset > 0 && !b.Reset && b.Entries[0].Offset >= o.claimOffset && newest.Epoch == o.epoch
}

// predecessorUntil returns the time until which previous owners may have granted leases. An owner acts for the isolation
// limit after the last append to ProgressTopic that the log confirmed to it, and that was stored before it was read here.
func (o *Owner) predecessorUntil() time.Duration {
	if o.predecessorsEnded {
		return o.predecessorRead
	}
	return o.actingUntil()
}

// actingUntil returns the time until which any previous owner may act.
func (o *Owner) actingUntil() time.Duration {
	return o.predecessorRead + withDrift(o.settings.Isolation)
}

// ConfigChanged reports that a newer configuration is in force.
func (o *Owner) ConfigChanged() {
	o.post(func(time.Duration) {
		if o.core != nil {
			o.core.Configure(o.config.Load())
		}
	})
}

// Run takes part in the ownership until ctx is done, and then hands it over.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.done)
	// Calls are not cancelled with ctx: the hand-over waits for their outcome.
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	timer := time.NewTimer(standbyTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			o.handOver()
			return
		case f := <-o.events:
			f(clock.Now())
			o.drainEvents()
		case <-timer.C:
		}
		now := clock.Now()
		if due := o.lastStep + minStepInterval; o.core != nil && now < due {
			timer.Reset(due - now)
			continue
		}
		o.lastStep = now
		o.step(calls, now)
		switch {
		case o.core != nil:
			timer.Reset(ownerTick)
		case o.claimAt > 0:
			timer.Reset(max(0, o.claimAt-now))
		default:
			timer.Reset(standbyTick)
		}
	}
}

// maxDrainedEvents limits how many events are handled before the next step.
const maxDrainedEvents = 256

func (o *Owner) drainEvents() {
	for range maxDrainedEvents {
		select {
		case f := <-o.events:
			f(clock.Now())
		default:
			return
		}
	}
}

func (o *Owner) step(ctx context.Context, now time.Duration) {
	if o.core == nil {
		o.maybeClaim(ctx, now)
		return
	}
	if o.core.Superseded() {
		o.stepDown("a worker has received a call from a later owner")
		return
	}
	// Without confirmed appends, another instance may have become the owner, so no order is sent.
	if now-o.lastConfirmed < o.settings.Isolation {
		o.core.HoldStarts(now, !o.closuresFresh(now))
		if o.viewsFresh(now) {
			o.core.Plan(now)
			o.load.planned(clock.Now() - now)
		}
		o.core.Act(now)
		o.sendOrders(o.tenure, now)
	} else {
		o.core.RevokeOrders(now)
	}
	o.flushTasks(o.tenure, now)
	o.flushStatus(o.tenure, now)
	o.removeExpired(o.tenure, now)
	o.load.log(now, o.logger, o.metrics)
}

// viewsFresh reports whether the views are new enough to place tasks.
func (o *Owner) viewsFresh(now time.Duration) bool {
	submissions, ok := o.views.Submissions.AsOf()
	workers, okWorkers := o.workerList.AsOf()
	return o.closuresFresh(now) && ok && okWorkers && now-submissions < maxViewAge && now-workers < maxViewAge
}

// applyMembers applies a batch of the worker list; one with Reset set contains the whole list.
func (o *Owner) applyMembers(b eventlog.Batch) {
	var members []Member
	var removed []string
	for _, e := range b.Entries {
		if e.Value == nil {
			removed = append(removed, e.Key)
			continue
		}
		m, err := o.decode(e.Key, e.Value)
		if err != nil {
			o.logger.Info("cannot decode worker entry, treating worker as unlisted", "worker", e.Key, "error", err)
			removed = append(removed, e.Key)
			continue
		}
		members = append(members, m)
	}
	if len(members) == 0 && len(removed) == 0 && !b.Reset {
		return
	}
	o.post(func(now time.Duration) {
		if o.core == nil {
			return
		}
		if b.Reset {
			listed := make(map[string]struct{}, len(members))
			for _, m := range members {
				listed[m.ID] = struct{}{}
			}
			for _, id := range o.core.Listed() {
				if _, ok := listed[id]; !ok {
					removed = append(removed, id)
				}
			}
		}
		for _, id := range removed {
			o.core.DropMember(id)
		}
		for _, m := range members {
			o.core.SetMember(now, m)
		}
		if r, ok := o.workers.(Router); ok {
			r.Route(o.core.Members())
		}
	})
}
