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

// control is the state of the control loop.
type control struct {
	version  *config.Version
	holding  *budget.Holding
	queue    *admission.Queue[*call]
	services *admission.Services
	retries  *admission.RetryBudget
	policy   routing.Policy
	outliers *routing.Outliers
	// ejecting tells that workers with repeated failures are ejected.
	ejecting bool
	// ejectSlow tells that slow workers are ejected, too.
	ejectSlow bool
	tickets   *ticket.Table
	waiters   map[uint64][]chan ticket.Answer
	shards    map[string]*shardCalls
	random    *rand.Rand
	// peak is the largest number of slots that could be used at once since the last grant round, asked the one that was sent then.
	peak, asked int
	nextRound   time.Time
	nextSooner  time.Time
	nextList    time.Time
	nextAge     time.Time
	listing     bool
	// since is the time of the first manifest, listed tells that the instance list has shown the own entry.
	since         time.Time
	listed, ready bool
	// closing refuses new requests, leaving returns the grants.
	closing, leaving bool
	// settling counts slots that wait for the end of a request without an answer.
	settling int
}

// call is one request that waits for a slot.
type call struct {
	entry admission.Entry[*call]
	// avoid is the worker that failed the last attempt.
	avoid instance.ID
	slot  chan slot
}

// slot is the answer to a call.
type slot struct {
	permit budget.Permit
	// expected is the expected service time, zero if it is not known.
	expected time.Duration
	refusal  *admission.Refusal
}

func newControl() control {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	policy, _ := routing.New(routing.NameExact, r)
	return control{holding: budget.NewHolding(), queue: admission.NewQueue[*call](defaultQueue),
		services: admission.NewServices(), retries: admission.NewRetryBudget(defaultRetryShare), policy: policy,
		outliers: routing.NewOutliers(), ejecting: true, tickets: ticket.NewTable(ticket.Limits{Tickets: maxTickets, Bytes: ticketMemory}),
		waiters: map[uint64][]chan ticket.Answer{}, shards: map[string]*shardCalls{}, random: r}
}

// idle reports whether no request is in progress. Slots that are still settling belong to requests that were answered.
func (c *control) idle() bool { return c.holding.InUse() == c.settling && c.queue.Len() == 0 }

// tick does what is due by time.
func (g *Gateway) tick(now time.Time) {
	c := &g.control
	g.follow()
	c.holding.Expire(now)
	g.refuse(c.queue.Expire(now))
	for _, id := range c.outliers.Returned(now) {
		c.holding.SetEjected(id, false)
	}
	if !now.Before(c.nextAge) {
		c.nextAge = now.Add(time.Second)
		c.services.Age(now)
		g.metrics.update(c)
	}
	if !now.Before(c.nextList) && !c.listing {
		c.nextList = now.Add(listEvery)
		g.readList()
	}
	g.pump(now)
	g.grantRounds(now)
	g.beReady(now)
}

// follow takes up a new version of the manifest.
func (g *Gateway) follow() {
	c := &g.control
	v := g.deps.Config.Current()
	if v == nil || v == c.version {
		return
	}
	if c.version == nil {
		c.since = time.Now()
	}
	c.version = v
	p := v.Manifest.Policies
	if p.QueueLimit > 0 {
		c.queue.SetLimit(p.QueueLimit)
	}
	c.retries.SetShare(p.RetryShare)
	c.queue.SetOrder(admission.Order(p.Admission))
	g.followEjection(p.Ejection)
	if policy, err := routing.New(p.Routing, c.random); err != nil {
		g.log.Warn("routing policy is not changed", "error", err)
	} else {
		c.policy = policy
	}
	g.log.Info("manifest is in force", "version", v.Offset)
}

// followEjection takes up whether workers are ejected. A change of the policy ends all ejections.
func (g *Gateway) followEjection(name string) {
	c := &g.control
	ejecting, slow := name != manifest.EjectionNone, name == manifest.EjectionLatency
	if ejecting == c.ejecting && slow == c.ejectSlow {
		return
	}
	c.ejecting, c.ejectSlow = ejecting, slow
	for _, id := range c.outliers.Clear() {
		c.holding.SetEjected(id, false)
	}
}

// beReady makes the gateway ready once it has slots and its entry is in the list, so that the first requests do not wait for grants and
// other gateways find the issuer of its tickets. After readyLimit it is ready anyway: submissions and status need neither.
func (g *Gateway) beReady(now time.Time) {
	c := &g.control
	if c.ready || c.version == nil || g.stopping.Load() {
		return
	}
	if c.listed && c.holding.Slots() > 0 || now.Sub(c.since) > readyLimit {
		c.ready = true
		g.deps.Health.SetReady(true)
		g.log.Info("ready", "slots", c.holding.Slots(), "listed", c.listed)
	}
}

func (c *control) load() admission.Load {
	return admission.Load{Slots: c.holding.Slots(), Mean: c.services.Mean(), Service: c.services.Estimate}
}

// enter queues a call and gives out free slots.
func (g *Gateway) enter(now time.Time, c *call, retry bool) {
	k := &g.control
	if k.closing && !retry {
		g.refuse([]admission.Refused[*call]{{Entry: &c.entry, Refusal: admission.Refusal{Reason: admission.ReasonStopping, RetryAfter: time.Second}}})
		return
	}
	if !retry {
		k.retries.Request()
	}
	g.refuse(k.queue.Push(now, &c.entry, k.load()))
	k.peak = max(k.peak, k.holding.InUse()+k.queue.Len())
	g.pump(now)
}

// pump gives free slots to the first calls of the queue.
func (g *Gateway) pump(now time.Time) {
	k := &g.control
	k.holding.Expire(now)
	for k.queue.Len() > 0 && k.holding.Free() > 0 && g.deps.Limit.Allow(k.holding.InUse()) {
		// The choice comes first, so that no call leaves the queue when only ejected workers have free slots.
		i := k.policy.Choose(k.holding.Candidates(), routing.None)
		if i == routing.None {
			last, ok := k.holding.LastResort()
			if !ok {
				return
			}
			i = last
		}
		entry, refused := k.queue.Pop(now, k.load())
		g.refuse(refused)
		if entry == nil {
			return
		}
		if avoid, known := k.holding.Index(entry.Value.avoid); known {
			if other := k.policy.Choose(k.holding.Candidates(), avoid); other != routing.None {
				i = other
			}
		}
		permit, ok := k.holding.Acquire(now, i)
		if !ok {
			g.refuse([]admission.Refused[*call]{{Entry: entry,
				Refusal: admission.Refusal{Reason: admission.ReasonNoCapacity, RetryAfter: time.Second}}})
			continue
		}
		if k.outliers.Probation(permit.Worker) {
			// release ends this when the request has ended.
			k.holding.SetEjected(permit.Worker, true)
		}
		entry.Value.slot <- slot{permit: permit, expected: k.services.Estimate(entry.Kind)}
	}
}

func (g *Gateway) refuse(refused []admission.Refused[*call]) {
	for _, r := range refused {
		refusal := r.Refusal
		r.Entry.Value.slot <- slot{refusal: &refusal}
	}
}

// await waits for a slot until one is given or the call is refused. A call whose caller is gone leaves the queue.
func (g *Gateway) await(ctx context.Context, c *call, retry bool) (slot, bool) {
	if !g.post(func(now time.Time) { g.enter(now, c, retry) }) {
		return slot{refusal: &admission.Refusal{Reason: admission.ReasonStopping, RetryAfter: time.Second}}, true
	}
	select {
	case s := <-c.slot:
		return s, true
	case <-ctx.Done():
	case <-g.done:
	}
	if left, ok := ask(g, func(time.Time) bool { return g.control.queue.Remove(&c.entry) }); left || !ok {
		return slot{}, false
	}
	s := <-c.slot
	if s.refusal == nil {
		g.post(func(now time.Time) { g.release(now, s.permit) })
	}
	return slot{}, false
}

func (g *Gateway) release(now time.Time, p budget.Permit) {
	g.control.holding.Release(p)
	// The answer may have ended the probation, so the state decides and not whether the worker still is on probation.
	g.control.holding.SetEjected(p.Worker, g.control.outliers.Ejected(p.Worker))
	g.pump(now)
}
