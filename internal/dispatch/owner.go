package dispatch

import (
	"context"
	"log/slog"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Settings are the figures of an Owner.
type Settings struct {
	Params
	Instance string
	// Cores is the processor time that the instance has: the more, the sooner it claims.
	Cores float64
	// ProgressTopic is where the owner writes; WorkersTopic lists the workers.
	ProgressTopic, WorkersTopic, SubmissionsTopic string
	// Retention is how long a submission that is over can be asked for.
	Retention time.Duration
}

const (
	// claimSilence is how long the owner must have written nothing, while the log could be read, before another instance claims. It
	// is three heartbeats.
	claimSilence = 1600 * time.Millisecond
	heartbeat    = 500 * time.Millisecond
	// claimSpread is the pause after a claim that was lost, and claimJitter keeps equal instances from claiming at the same moment.
	claimSpread = 250 * time.Millisecond
	claimJitter = 20 * time.Millisecond
	// strengthDelay is how long an instance of one core waits before it claims; weaker ones wait longer.
	strengthDelay = 50 * time.Millisecond
	// distanceFactor times the round trip to the log is added: 30 ms within its data centre, 110 ms from another one.
	distanceFactor = 8
	// firstFactor lengthens the delays of the first claim of all: instances start within 0.3 s of each other.
	firstFactor = 5
	// releasedDivisor shortens them after a release: the order of claims needs to be right only most of the time.
	releasedDivisor = 3
	// unknownRoundTrip is that of an instance which has not measured it, and the longest that counts.
	unknownRoundTrip = 25 * time.Millisecond
	// leastCores bounds the delay of an instance whose processor time is not known.
	leastCores = 0.05
	// maxViewAge is the age of the views of submissions and workers up to which tasks are placed. It is well within the times after
	// which a cancelled submission or a leaving worker must get nothing.
	maxViewAge = 1400 * time.Millisecond
	// ownerTick and standbyTick bound the time until something that no message announces is noticed.
	ownerTick   = 20 * time.Millisecond
	standbyTick = 200 * time.Millisecond
	// stepSpacing bounds how often an owner goes through its workers and tasks; what is reported in that time is dealt with together.
	stepSpacing = 4 * time.Millisecond
	// appendSpacing bounds the number of appends; the decisions of that time go into one.
	appendSpacing = 15 * time.Millisecond
	// learnedInterval is how often what was learned of disturbance is stored: a few kilobytes each time.
	learnedInterval = 4 * time.Second
	// Retry times of an append that was refused.
	firstAppendRetry = 30 * time.Millisecond
	maxAppendRetry   = 250 * time.Millisecond
	// releaseTime bounds how long a stopping owner waits for its calls and its last append.
	releaseTime = 1500 * time.Millisecond
	eventQueue  = 4096
	producer    = "owner"
)

// Views are the followers that feed the catalog.
type Views struct {
	Submissions catalog.Freshness
	Progress    ProgressView
}

// ProgressView is what has been read of the owner's records.
type ProgressView interface {
	catalog.Freshness
	// RoundTrip is the time in which the log answers, and false while it is not known.
	RoundTrip() (time.Duration, bool)
}

// Owner is one instance's part in the ownership of all submissions: it waits, claims when there is no owner, and then decides with a Core. One
// goroutine runs it; all other methods may be called from any goroutine.
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
	events   chan func(now time.Duration)
	ended    chan struct{}

	core      *Core
	stepped   time.Duration
	epoch     int64
	sequence  int64
	confirmed time.Duration
	appending bool
	appended  time.Duration
	learned   time.Duration
	forgot    time.Duration
	// forgetting are the submissions that are removed and whose records are to be.
	forgetting []workflow.JobID
	calls      int
	stopping   bool
	// tenure ends with the ownership, and with it its calls.
	tenure    context.Context
	endTenure context.CancelFunc
	fleet     *eventlog.Follower

	ownerSign   time.Duration
	contact     time.Duration
	progressEnd int64
	claiming    bool
	claimOffset int64
	claimAfter  time.Duration
	claimDue    time.Duration
	seenEpoch   int64
}

// NewOwner returns an owner; Run starts it. decode reads a worker's entry; onRole is told when this instance becomes or ceases to be the owner.
func NewOwner(s Settings, l eventlog.Log, w Workers, a Advisor, decode func(string, []byte) (Member, error), config *queue.Current, cat *catalog.Catalog, v Views,
	onRole func(bool), logger *slog.Logger) *Owner {
	return &Owner{settings: s, log: l, workers: w, advisor: a, decode: decode, config: config, catalog: cat, views: v, onRole: onRole, logger: logger,
		events: make(chan func(time.Duration), eventQueue), ended: make(chan struct{})}
}

// post hands an event to the control goroutine. Events after its end are dropped.
func (o *Owner) post(f func(now time.Duration)) {
	select {
	case o.events <- f:
	case <-o.ended:
	}
}

// SubmissionsChanged tells that submissions are new or cancelled.
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

// ProgressRead tells that the owner's records were read up to an offset, with the newest ownership.
func (o *Owner) ProgressRead(b eventlog.Batch, newest catalog.Ownership) {
	n := len(b.Entries)
	o.post(func(now time.Duration) {
		o.progressEnd = b.Next
		// The time without contact does not count as silence of the owner.
		if now-o.contact > claimSilence {
			o.ownerSign = now
		}
		o.contact = now
		if n > 0 && !b.Reset {
			o.ownerSign = now
		}
		o.ownershipRead(newest)
	})
}

// ConfigChanged tells that a newer configuration is in force.
func (o *Owner) ConfigChanged() {
	o.post(func(time.Duration) {
		if o.core != nil {
			o.core.Configure(o.config.Load())
		}
	})
}

// Run takes part until ctx ends; then it hands the ownership over.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.ended)
	// Calls outlive the request to stop: the hand-over waits for their outcome.
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
			o.drain()
		case <-timer.C:
		}
		now := clock.Now()
		if due := o.stepped + stepSpacing; o.core != nil && now < due {
			timer.Reset(due - now)
			continue
		}
		o.stepped = now
		o.step(calls, now)
		switch {
		case o.core != nil:
			timer.Reset(ownerTick)
		case o.claimDue > 0:
			timer.Reset(max(0, o.claimDue-now))
		default:
			timer.Reset(standbyTick)
		}
	}
}

// drainLimit bounds how many events are taken before the next decisions.
const drainLimit = 256

func (o *Owner) drain() {
	for range drainLimit {
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
	if o.core.Deposed() {
		o.stepDown("a worker has seen a later owner")
		return
	}
	if now-o.confirmed < o.settings.Isolation {
		if o.current(now) {
			o.core.Plan(now)
		}
		o.core.Act(now)
		o.send(o.tenure, now)
	}
	o.flush(o.tenure, now)
	o.forget(o.tenure, now)
}

// current reports whether the views are new enough to place tasks.
func (o *Owner) current(now time.Duration) bool {
	submissions, ok := o.views.Submissions.AsOf()
	workers, okWorkers := o.fleet.AsOf()
	return ok && okWorkers && now-submissions < maxViewAge && now-workers < maxViewAge
}

func (o *Owner) membersRead(b eventlog.Batch) {
	var members []Member
	var gone []string
	for _, e := range b.Entries {
		if e.Value == nil {
			gone = append(gone, e.Key)
			continue
		}
		m, err := o.decode(e.Key, e.Value)
		if err != nil {
			o.logger.Info("worker entry left out", "worker", e.Key, "error", err)
			gone = append(gone, e.Key)
			continue
		}
		members = append(members, m)
	}
	if len(members) == 0 && len(gone) == 0 && !b.Reset {
		return
	}
	o.post(func(now time.Duration) {
		if o.core == nil {
			return
		}
		if b.Reset {
			named := make(map[string]struct{}, len(members))
			for _, m := range members {
				named[m.ID] = struct{}{}
			}
			for _, id := range o.core.Listed() {
				if _, ok := named[id]; !ok {
					gone = append(gone, id)
				}
			}
		}
		for _, id := range gone {
			o.core.DropMember(id)
		}
		for _, m := range members {
			o.core.SetMember(now, m)
		}
	})
}
