package gateway

import (
	"context"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// shardCalls is the state of the grant requests to one shard.
type shardCalls struct {
	dataCentre string
	calling    bool
	// soon asks for a request as soon as grantSooner permits.
	soon bool
	last time.Time
	// pending and freeMilliCores are from the last reply and choose a shard for new jobs; answered is the reply's time.
	pending        int
	freeMilliCores int64
	answered       time.Time
}

const (
	// demandFactor and demandStep tell a strong change of demand from noise.
	demandFactor = 1.5
	demandStep   = 4
)

// grantRounds asks the owners whose turn it is.
func (g *Gateway) grantRounds(now time.Time) {
	c := &g.control
	if c.leaving || c.version == nil {
		return
	}
	c.peak = max(c.peak, c.holding.InUse()+c.queue.Len())
	demand := c.peak
	strong := float64(demand) > demandFactor*float64(c.asked)+demandStep && !now.Before(c.nextSooner)
	round := !now.Before(c.nextRound)
	if round || strong {
		c.nextRound, c.nextSooner = now.Add(grantEvery), now.Add(grantSooner)
		c.asked, c.peak = demand, 0
	}
	for name, s := range c.shards {
		due := round || strong || s.soon
		if due && !s.calling && now.Sub(s.last) >= grantSooner {
			s.calling, s.soon, s.last = true, false, now
			g.askGrant(name, s, c.asked)
		}
	}
}

// grantSoon asks a shard before its turn, for example after a worker refused a grant.
func (g *Gateway) grantSoon(shard string) {
	if s := g.control.shards[shard]; s != nil {
		s.soon = true
	}
}

func (g *Gateway) grantRequest(shard string, demand int) *contract.GrantRequest {
	c := &g.control
	epoch, generation := c.holding.Complying(shard)
	r := &contract.GrantRequest{Shard: shard, Gateway: g.ID, Incarnation: g.Incarnation, DataCentre: g.DataCentre,
		Demand: demand, Epoch: epoch, Generation: generation, Leaving: c.leaving}
	if c.version != nil {
		r.Config = c.version.Offset
	}
	return r
}

func (g *Gateway) askGrant(name string, s *shardCalls, demand int) {
	r := g.grantRequest(name, demand)
	g.spawn(func(ctx context.Context) {
		m, sent, err := g.askOwner(ctx, name, r)
		reply, ok := m.(*contract.GrantReply)
		g.post(func(now time.Time) {
			s.calling = false
			if err != nil || !ok {
				g.metrics.grantFailures.Inc()
				g.log.Debug("no grant", "shard", name, "error", err)
				return
			}
			g.takeGrant(now, sent, s, r, reply)
		})
	})
}

// takeGrant applies a reply. sent is the time of the answered call, so that the grant's expiry is never later than the owner thinks.
func (g *Gateway) takeGrant(now, sent time.Time, s *shardCalls, r *contract.GrantRequest, reply *contract.GrantReply) {
	c := &g.control
	s.pending, s.freeMilliCores, s.answered = reply.Pending, reply.FreeMilliCores, now
	if reply.Shard != r.Shard {
		return
	}
	if c.holding.Apply(now, sent, *reply, s.dataCentre != g.DataCentre) {
		for _, w := range reply.Workers {
			c.holding.SetEjected(w.Worker, c.outliers.Ejected(w.Worker))
		}
		// The owner can move the slots that this grant took away once it knows that the gateway complies.
		s.soon = true
	}
	if _, generation := c.holding.Complying(r.Shard); generation != r.Generation && generation == reply.Generation {
		s.soon = true
	}
	g.pump(now)
}

// leaveRounds is the number of requests that return a grant: one withdraws it, the next acknowledges the empty grant.
const leaveRounds = 2

// leave returns all grants and removes the own entry from the instance list.
func (g *Gateway) leave() {
	names, _ := ask(g, func(time.Time) []string {
		g.control.leaving = true
		var names []string
		for name := range g.control.shards {
			names = append(names, name)
		}
		return names
	})
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.returnGrant(name)
		}()
	}
	wg.Wait()
	ctx, cancel := context.WithTimeout(g.io, ioTimeout)
	defer cancel()
	if err := g.deps.List.Deregister(ctx, g.ID, g.Incarnation); err != nil {
		g.log.Warn("entry in the instance list was not removed", "error", err)
	}
}

func (g *Gateway) returnGrant(name string) {
	for range leaveRounds {
		r, ok := ask(g, func(time.Time) *contract.GrantRequest { return g.grantRequest(name, 0) })
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(g.io, 2*peerTimeout)
		m, sent, err := g.askOwner(ctx, name, r)
		cancel()
		reply, isReply := m.(*contract.GrantReply)
		if err != nil || !isReply {
			g.log.Info("grant was not returned; it expires by itself", "shard", name, "error", err)
			return
		}
		_, _ = ask(g, func(now time.Time) bool { return g.control.holding.Apply(now, sent, *reply, false) })
	}
}
