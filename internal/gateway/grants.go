package gateway

import (
	"context"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// grantRequestState is the state of the grant requests to one shard.
type grantRequestState struct {
	dataCentre string
	inFlight   bool
	// requestSoon reports whether the next request is sent as soon as minGrantInterval permits.
	requestSoon bool
	lastRequest time.Time
	// pendingTasks and freeMilliCores are from the last reply, received at lastReply. They choose the shard of new
	// jobs.
	pendingTasks   int
	freeMilliCores int64
	lastReply      time.Time
}

const (
	// demandRiseFactor and demandRiseSlots define the rise of demand that is reported before the next grant round.
	// Smaller changes wait for the round.
	demandRiseFactor = 1.5
	demandRiseSlots  = 4
)

// requestDueGrants sends a grant request to each shard whose request is due.
func (g *Gateway) requestDueGrants(now time.Time) {
	c := &g.control
	if c.returningGrants || c.version == nil {
		return
	}
	c.peakDemand = max(c.peakDemand, c.pool.InUse()+c.queue.Len())
	demand := c.peakDemand
	sharpRise := float64(demand) > demandRiseFactor*float64(c.requestedDemand)+demandRiseSlots &&
		!now.Before(c.nextEarlyGrantRound)
	round := !now.Before(c.nextGrantRound)
	if round || sharpRise {
		c.nextGrantRound, c.nextEarlyGrantRound = now.Add(grantInterval), now.Add(minGrantInterval)
		c.requestedDemand, c.peakDemand = demand, 0
	}
	for shard, s := range c.grantRequests {
		due := round || sharpRise || s.requestSoon
		if due && !s.inFlight && now.Sub(s.lastRequest) >= minGrantInterval {
			s.inFlight, s.requestSoon, s.lastRequest = true, false, now
			g.requestGrant(shard, s, c.requestedDemand)
		}
	}
}

// requestGrantSoon sends a grant request to a shard before the next round, for example after a worker refused a grant.
func (g *Gateway) requestGrantSoon(shard string) {
	if s := g.control.grantRequests[shard]; s != nil {
		s.requestSoon = true
	}
}

// newGrantRequest returns a request that acknowledges the newest grant that the gateway complies with. It runs in the
// control loop.
func (g *Gateway) newGrantRequest(shard string, demand int) *contract.GrantRequest {
	c := &g.control
	epoch, generation := c.pool.CompliantGrant(shard)
	r := &contract.GrantRequest{Shard: shard, Gateway: g.ID, Incarnation: g.Incarnation, DataCentre: g.DataCentre,
		Demand: demand, Epoch: epoch, Generation: generation, Leaving: c.returningGrants}
	if c.version != nil {
		r.Config = c.version.Offset
	}
	return r
}

// requestGrant sends a grant request and applies its reply in the control loop.
func (g *Gateway) requestGrant(shard string, s *grantRequestState, demand int) {
	r := g.newGrantRequest(shard, demand)
	g.spawn(func(ctx context.Context) {
		m, sent, err := g.callOwner(ctx, shard, r)
		reply, ok := m.(*contract.GrantReply)
		g.post(func(now time.Time) {
			s.inFlight = false
			if err != nil || !ok {
				g.metrics.grantFailures.Inc()
				g.log.Debug("grant request failed", "shard", shard, "error", err)
				return
			}
			g.applyGrant(now, sent, s, r, reply)
		})
	})
}

// applyGrant applies a reply. sent is when the answered call was sent; the TTL counts from then, so that the grant
// never expires later than the owner assumes.
func (g *Gateway) applyGrant(now, sent time.Time, s *grantRequestState, r *contract.GrantRequest,
	reply *contract.GrantReply) {
	c := &g.control
	s.pendingTasks, s.freeMilliCores, s.lastReply = reply.Pending, reply.FreeMilliCores, now
	if reply.Shard != r.Shard {
		return
	}
	if c.pool.Apply(now, sent, *reply, s.dataCentre != g.DataCentre) {
		for _, w := range reply.Workers {
			c.pool.SetBlocked(w.Worker, c.outliers.Ejected(w.Worker))
		}
		// The owner can grant the withdrawn slots to others once it knows that the gateway complies.
		s.requestSoon = true
	}
	if _, generation := c.pool.CompliantGrant(r.Shard); generation != r.Generation && generation == reply.Generation {
		s.requestSoon = true
	}
	g.assignSlots(now)
}

// returnGrantCalls is the number of calls that return a grant: the first withdraws it, the second acknowledges the
// empty grant.
const returnGrantCalls = 2

// leaveCluster returns all grants and removes the gateway's own entry from the instance list.
func (g *Gateway) leaveCluster() {
	shards, _ := postAndWait(g, func(time.Time) []string {
		g.control.returningGrants = true
		var shards []string
		for shard := range g.control.grantRequests {
			shards = append(shards, shard)
		}
		return shards
	})
	var wg sync.WaitGroup
	for _, shard := range shards {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.returnGrant(shard)
		}()
	}
	wg.Wait()
	ctx, cancel := context.WithTimeout(g.ioContext, ioTimeout)
	defer cancel()
	if err := g.deps.List.Deregister(ctx, g.ID, g.Incarnation); err != nil {
		g.log.Warn("removal from the instance list failed", "error", err)
	}
}

func (g *Gateway) returnGrant(shard string) {
	for range returnGrantCalls {
		r, ok := postAndWait(g, func(time.Time) *contract.GrantRequest { return g.newGrantRequest(shard, 0) })
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(g.ioContext, 2*peerTimeout)
		m, sent, err := g.callOwner(ctx, shard, r)
		cancel()
		reply, isReply := m.(*contract.GrantReply)
		if err != nil || !isReply {
			g.log.Info("returning a grant failed; it stays in force until its expiry", "shard", shard, "error", err)
			return
		}
		_, _ = postAndWait(g, func(now time.Time) bool { return g.control.pool.Apply(now, sent, *reply, false) })
	}
}
