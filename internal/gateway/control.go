package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/budget"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/routing"
	"clementinewalk.example/clementinewalk/internal/ticket"
)

// control is the state that the control loop owns.
type control struct {
	version      *config.Version
	pool         *budget.SlotPool
	queue        *admission.Queue[*slotRequest]
	serviceTimes *admission.ServiceTimes
	retryBudget  *admission.RetryBudget
	policy       routing.Policy
	outliers     *routing.OutlierDetector
	// ejectFailing reports whether workers with repeated failures are ejected.
	ejectFailing bool
	// ejectSlow reports whether slow workers are ejected, too.
	ejectSlow     bool
	tickets       *ticket.Table
	waiters       map[uint64][]chan ticket.Answer
	grantRequests map[string]*grantRequestState
	rng           *rand.Rand
	// peakDemand is the largest number of slots in use plus queued requests since the last grant round. requestedDemand
	// is the demand sent in that round.
	peakDemand, requestedDemand int
	nextGrantRound              time.Time
	// nextEarlyGrantRound is the earliest time of a grant round before nextGrantRound, which a sharp rise of demand
	// causes.
	nextEarlyGrantRound time.Time
	nextListRead        time.Time
	nextHousekeeping    time.Time
	readingList         bool
	// configuredAt is when the first manifest came into force. registered reports whether the instance list contains
	// the gateway's own entry.
	configuredAt      time.Time
	registered, ready bool
	// rejectNew reports whether new requests are refused. returningGrants reports whether the gateway is returning its
	// grants.
	rejectNew, returningGrants bool
	// unansweredSlots is the number of slots that stay occupied because their request was not answered and may still
	// run.
	unansweredSlots int
}

// slotRequest is a request that waits for a slot.
type slotRequest struct {
	entry admission.Entry[*slotRequest]
	// avoid is the worker that failed the last attempt.
	avoid  instance.ID
	result chan slotResult
}

// slotResult is the result of a slotRequest: a permit or a refusal.
type slotResult struct {
	permit budget.Permit
	// expected is the expected service time, zero if unknown.
	expected time.Duration
	refusal  *admission.Refusal
}

func newControl() control {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	policy, _ := routing.New(routing.NameExact, r)
	return control{pool: budget.NewSlotPool(), queue: admission.NewQueue[*slotRequest](defaultQueueLimit),
		serviceTimes: admission.NewServiceTimes(), retryBudget: admission.NewRetryBudget(defaultRetryPercent),
		policy: policy, outliers: routing.NewOutlierDetector(), ejectFailing: true,
		tickets: ticket.NewTable(ticket.Limits{Tickets: maxUsedTickets, Bytes: maxStoredAnswerBytes}),
		waiters: map[uint64][]chan ticket.Answer{}, grantRequests: map[string]*grantRequestState{}, rng: r}
}

// idle reports whether no request is in progress. Unanswered slots are not counted: the gateway has already answered
// the requests that occupy them.
func (c *control) idle() bool { return c.pool.InUse() == c.unansweredSlots && c.queue.Len() == 0 }

// tick runs the periodic work of the control loop, every tickInterval.
func (g *Gateway) tick(now time.Time) {
	c := &g.control
	g.applyManifest()
	c.pool.Expire(now)
	g.sendRefusals(c.queue.Expire(now))
	for _, id := range c.outliers.EndEjections(now) {
		c.pool.SetBlocked(id, false)
	}
	if !now.Before(c.nextHousekeeping) {
		c.nextHousekeeping = now.Add(time.Second)
		c.serviceTimes.Decay(now)
		g.metrics.updateGauges(c)
	}
	if !now.Before(c.nextListRead) && !c.readingList {
		c.nextListRead = now.Add(listInterval)
		g.readList()
	}
	g.assignSlots(now)
	g.requestDueGrants(now)
	g.updateReadiness(now)
}

// applyManifest applies a new version of the manifest.
func (g *Gateway) applyManifest() {
	c := &g.control
	v := g.deps.Config.Current()
	if v == nil || v == c.version {
		return
	}
	if c.version == nil {
		c.configuredAt = time.Now()
	}
	c.version = v
	p := v.Manifest.Policies
	if p.QueueLimit > 0 {
		c.queue.SetLimit(p.QueueLimit)
	}
	// The manifest calls the permitted retries per 100 requests retry_share, and the order of the queue admission.
	c.retryBudget.SetPercent(p.RetryShare)
	c.queue.SetOrder(admission.Order(p.Admission))
	g.applyEjectionPolicy(p.Ejection)
	if policy, err := routing.New(p.Routing, c.rng); err != nil {
		g.log.Warn("manifest names an unknown routing policy; the current one stays in use", "error", err)
	} else {
		c.policy = policy
	}
	g.log.Info("manifest applied", "version", v.Offset)
}

// applyEjectionPolicy applies the ejection policy of the manifest. A change of the policy ends all ejections.
func (g *Gateway) applyEjectionPolicy(name string) {
	c := &g.control
	failing, slow := name != manifest.EjectionNone, name == manifest.EjectionLatency
	if failing == c.ejectFailing && slow == c.ejectSlow {
		return
	}
	c.ejectFailing, c.ejectSlow = failing, slow
	for _, id := range c.outliers.Clear() {
		c.pool.SetBlocked(id, false)
	}
}

// updateReadiness reports the gateway as ready once it has slots and is in the instance list, so that the first
// requests need not wait for grants and other gateways find the issuer of its tickets. After readyTimeout it becomes
// ready without them, because submissions and status queries need neither.
func (g *Gateway) updateReadiness(now time.Time) {
	c := &g.control
	if c.ready || c.version == nil || g.stopping.Load() {
		return
	}
	if c.registered && c.pool.Slots() > 0 || now.Sub(c.configuredAt) > readyTimeout {
		c.ready = true
		g.deps.Health.SetReady(true)
		g.log.Info("ready", "slots", c.pool.Slots(), "listed", c.registered)
	}
}

func (c *control) load() admission.Load {
	return admission.Load{Slots: c.pool.Slots(), MeanServiceTime: c.serviceTimes.Mean(),
		ServiceTime: c.serviceTimes.Estimate}
}

// enqueue adds a request to the queue and assigns free slots. retry reports whether an earlier attempt was made, as for
// retries and hedges. Such requests are accepted even while the gateway stops.
func (g *Gateway) enqueue(now time.Time, req *slotRequest, retry bool) {
	c := &g.control
	if c.rejectNew && !retry {
		g.sendRefusals([]admission.Refused[*slotRequest]{{Entry: &req.entry,
			Refusal: admission.Refusal{Reason: admission.ReasonStopping, RetryAfter: time.Second}}})
		return
	}
	if !retry {
		c.retryBudget.CountRequest()
	}
	g.sendRefusals(c.queue.Push(now, &req.entry, c.load()))
	c.peakDemand = max(c.peakDemand, c.pool.InUse()+c.queue.Len())
	g.assignSlots(now)
}

// assignSlots assigns free slots to the requests at the head of the queue.
func (g *Gateway) assignSlots(now time.Time) {
	c := &g.control
	c.pool.Expire(now)
	for c.queue.Len() > 0 && c.pool.Free() > 0 && g.deps.Limit.Allow(c.pool.InUse()) {
		// Choose the worker before popping a request: if only ejected workers have free slots, the request stays
		// queued. If all workers are ejected, one of them is used.
		i := c.policy.Choose(c.pool.Candidates(), routing.NoWorker)
		if i == routing.NoWorker {
			fallback, ok := c.pool.BestBlocked()
			if !ok {
				return
			}
			i = fallback
		}
		entry, refused := c.queue.Pop(now, c.load())
		g.sendRefusals(refused)
		if entry == nil {
			return
		}
		if avoid, known := c.pool.Index(entry.Value.avoid); known {
			if other := c.policy.Choose(c.pool.Candidates(), avoid); other != routing.NoWorker {
				i = other
			}
		}
		permit, ok := c.pool.Acquire(now, i)
		if !ok {
			g.sendRefusals([]admission.Refused[*slotRequest]{{Entry: entry,
				Refusal: admission.Refusal{Reason: admission.ReasonNoCapacity, RetryAfter: time.Second}}})
			continue
		}
		if c.outliers.OnProbation(permit.Worker) {
			// A worker on probation gets no other request until releaseSlot unblocks it.
			c.pool.SetBlocked(permit.Worker, true)
		}
		entry.Value.result <- slotResult{permit: permit, expected: c.serviceTimes.Estimate(entry.Kind)}
	}
}

// sendRefusals passes refusals of the queue to the goroutines that wait in awaitSlot.
func (g *Gateway) sendRefusals(refused []admission.Refused[*slotRequest]) {
	for _, r := range refused {
		refusal := r.Refusal
		r.Entry.Value.result <- slotResult{refusal: &refusal}
	}
}

// awaitSlot queues a request and waits until it gets a slot or is refused. If ctx ends or the control loop stops first,
// the request is withdrawn and false is returned.
func (g *Gateway) awaitSlot(ctx context.Context, req *slotRequest, retry bool) (slotResult, bool) {
	if !g.post(func(now time.Time) { g.enqueue(now, req, retry) }) {
		return slotResult{refusal: &admission.Refusal{Reason: admission.ReasonStopping, RetryAfter: time.Second}}, true
	}
	select {
	case s := <-req.result:
		return s, true
	case <-ctx.Done():
	case <-g.loopDone:
	}
	if removed, ok := postAndWait(g,
		func(time.Time) bool { return g.control.queue.Remove(&req.entry) }); removed || !ok {
		return slotResult{}, false
	}
	// It was assigned or refused in the meantime; return the slot.
	s := <-req.result
	if s.refusal == nil {
		g.post(func(now time.Time) { g.releaseSlot(now, s.permit) })
	}
	return slotResult{}, false
}

// releaseSlot returns the slot of a permit to the pool and assigns it again.
func (g *Gateway) releaseSlot(now time.Time, p budget.Permit) {
	g.control.pool.Release(p)
	// An answer may have changed the worker's state, so the pool is updated from the detector.
	g.control.pool.SetBlocked(p.Worker, g.control.outliers.Ejected(p.Worker))
	g.assignSlots(now)
}
