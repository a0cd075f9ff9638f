package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

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
	// claimSpread keeps several instances from claiming at the same moment, and claimDelay, for an instance of one core, lets the strongest
	// go first.
	claimSpread = 250 * time.Millisecond
	claimDelay  = 30 * time.Millisecond
	// maxViewAge is the age of the views of submissions and workers up to which tasks are placed. It is well within the times after
	// which a cancelled submission or a leaving worker must get nothing.
	maxViewAge = 1400 * time.Millisecond
	// ownerTick and standbyTick bound the time until something that no message announces is noticed.
	ownerTick   = 20 * time.Millisecond
	standbyTick = 200 * time.Millisecond
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
	Submissions, Progress catalog.Freshness
}

// Owner is one instance's part in the ownership of all submissions: it waits, claims when there is no owner, and then decides with a Core. One
// goroutine runs it; all other methods may be called from any goroutine.
type Owner struct {
	settings Settings
	log      eventlog.Log
	workers  Workers
	decode   func(id string, b []byte) (Member, error)
	config   *queue.Current
	catalog  *catalog.Catalog
	views    Views
	logger   *slog.Logger
	onRole   func(owner bool)
	events   chan func(now time.Duration)
	ended    chan struct{}

	core      *Core
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
func NewOwner(s Settings, l eventlog.Log, w Workers, decode func(string, []byte) (Member, error), config *queue.Current, cat *catalog.Catalog, v Views,
	onRole func(bool), logger *slog.Logger) *Owner {
	return &Owner{settings: s, log: l, workers: w, decode: decode, config: config, catalog: cat, views: v, onRole: onRole, logger: logger,
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

func (o *Owner) ownershipRead(newest catalog.Ownership) {
	if newest.Epoch > o.seenEpoch {
		o.seenEpoch = newest.Epoch
		o.logger.Info("ownership read", "epoch", newest.Epoch, "owner", newest.Instance)
	}
	if o.core != nil && newest.Epoch > o.epoch {
		o.stepDown("a later owner has claimed")
	}
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
	o.claimAfter = clock.Now() + rand.N(claimSpread)
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

const (
	// forgetInterval and forgetLimit bound the calls and the size of removals.
	forgetInterval = 10 * time.Second
	forgetLimit    = 200
)

// forget removes submissions that nobody may ask for any more: first they themselves, then their records.
func (o *Owner) forget(ctx context.Context, now time.Duration) {
	if now-o.forgot < forgetInterval || o.forgetting != nil {
		return
	}
	o.forgot = now
	ids := o.core.Forget(now, o.settings.Retention, forgetLimit)
	var entries []eventlog.Entry
	for _, id := range ids {
		entries = append(entries, catalog.ForgetSubmission(id)...)
	}
	// Those of an earlier owner lack their records only.
	ids = append(ids, o.catalog.Leftovers()...)
	if len(ids) == 0 {
		return
	}
	core := o.core
	go func() {
		var err error
		if len(entries) > 0 {
			_, err = o.log.Append(ctx, o.settings.SubmissionsTopic, nil, entries)
		}
		o.post(func(time.Duration) {
			if err != nil {
				// The next owner finds them again.
				o.logger.Info("submissions not removed", "count", len(ids), "error", err)
				return
			}
			o.logger.Info("submissions removed", "count", len(ids))
			if o.core == core {
				o.forgetting = ids
			}
		})
	}()
}

// current reports whether the views are new enough to place tasks.
func (o *Owner) current(now time.Duration) bool {
	submissions, ok := o.views.Submissions.AsOf()
	workers, okWorkers := o.fleet.AsOf()
	return ok && okWorkers && now-submissions < maxViewAge && now-workers < maxViewAge
}

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
		o.claimDue = now + time.Duration(float64(claimDelay)*(1+rand.Float64())/max(leastCores, o.settings.Cores))
	}
	if now >= o.claimDue {
		o.claimDue = 0
		o.claim(ctx, now, owner)
	}
}

// leastCores bounds the delay of a claim.
const leastCores = 0.05

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
	o.fleet = eventlog.NewFollower(o.log, o.settings.WorkersTopic, eventlog.Pace{Wait: 600 * time.Millisecond, Pause: 250 * time.Millisecond}, o.logger, o.membersRead)
	go o.fleet.Run(o.tenure)
	o.onRole(true)
	o.logger.Info("owner", "epoch", o.epoch)
}

func (o *Owner) stepDown(reason string) {
	o.logger.Warn("no longer owner", "epoch", o.epoch, "reason", reason)
	o.core = nil
	o.endTenure()
	o.ownerSign = clock.Now()
	o.onRole(false)
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

// flush stores what was decided since the last append, or shows that the owner is alive.
func (o *Owner) flush(ctx context.Context, now time.Duration) {
	if o.appending || now-o.appended < appendSpacing {
		return
	}
	b := o.core.TakeBatch(now)
	if b == nil && now-o.appended < heartbeat {
		return
	}
	var entries []eventlog.Entry
	id := int64(0)
	if b != nil {
		entries, id = b.Entries, b.ID
	} else {
		e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: o.epoch, Instance: o.settings.Instance})
		if err != nil {
			o.logger.Error("heartbeat not encoded", "error", err)
			return
		}
		entries = []eventlog.Entry{e}
	}
	if now-o.learned >= learnedInterval {
		o.learned = now
		e, err := catalog.LearnedEntry(o.core.Learned())
		if err != nil {
			o.logger.Error("learned disturbance not encoded", "error", err)
		} else {
			entries = append(entries, e)
		}
	}
	for _, id := range o.forgetting {
		entries = append(entries, catalog.ForgetProgress(id))
	}
	o.forgetting = nil
	o.sequence++
	o.appending, o.appended = true, now
	core, p := o.core, eventlog.Producer{Name: producer, Epoch: o.epoch, Sequence: o.sequence}
	go func() {
		offset, err := o.appendUntil(ctx, &p, entries)
		o.post(func(done time.Duration) { o.stored(now, done, core, id, offset, entries, err) })
	}()
}

func (o *Owner) stored(sent, now time.Duration, core *Core, batch, offset int64, entries []eventlog.Entry, err error) {
	if o.core != core {
		return
	}
	o.appending = false
	if err != nil {
		o.stepDown(err.Error())
		return
	}
	o.confirmed = max(o.confirmed, sent)
	for i := range entries {
		entries[i].Offset = offset + int64(i)
	}
	o.catalog.ApplyProgress(entries)
	if batch != 0 {
		core.Committed(now, batch)
	}
}

// appendUntil repeats an append until it is answered for good. The sequence number makes repeats harmless.
func (o *Owner) appendUntil(ctx context.Context, p *eventlog.Producer, entries []eventlog.Entry) (int64, error) {
	retry := firstAppendRetry
	for {
		offset, err := o.log.Append(ctx, o.settings.ProgressTopic, p, entries)
		var refused *eventlog.RefusedError
		var unknown *eventlog.UnknownError
		switch {
		case err == nil:
			return offset, nil
		case errors.As(err, &refused), errors.As(err, &unknown):
			o.logger.Info("append repeated", "epoch", p.Epoch, "sequence", p.Sequence, "error", err)
		default:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(retry):
		}
		retry = min(2*retry, maxAppendRetry)
	}
}

// send carries the core's orders out.
func (o *Owner) send(ctx context.Context, now time.Duration) {
	for _, order := range o.core.Orders() {
		// A lease call may wait for a second and changes nothing that a successor would have to know.
		counted := 1
		if _, ok := order.(LeaseOrder); ok {
			counted = 0
		}
		o.calls += counted
		core := o.core
		go func() {
			report := o.carryOut(ctx, core, now, order)
			o.post(func(now time.Duration) {
				if o.core == core {
					o.calls -= counted
					report(now)
				}
			})
		}()
	}
}

func (o *Owner) carryOut(ctx context.Context, core *Core, sent time.Duration, order Order) func(time.Duration) {
	switch c := order.(type) {
	case StartOrder:
		a, err := o.workers.Start(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.StartReturned(now, c, a, err) }
	case StopOrder:
		a, err := o.workers.Stop(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.StopReturned(now, c, a, err) }
	case PaceOrder:
		a, err := o.workers.Pace(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.PaceReturned(now, c, a, err) }
	case LeaseOrder:
		a, err := o.workers.Renew(ctx, c.Member, c.Call)
		if err != nil {
			return func(now time.Duration) { core.LeaseFailed(now, c, err) }
		}
		return func(now time.Duration) { core.LeaseAnswered(now, sent, c, a) }
	}
	return func(time.Duration) {}
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
