package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
)

// directory is an immutable snapshot of the instance list.
type directory struct {
	gateways   map[instance.Incarnation]instance.Member
	schedulers []instance.Member
	workers    map[instance.ID]instance.Member
	// shards maps each shard that has a worker to its data centre.
	shards map[string]string
}

// self returns the gateway's own entry of the instance list.
func (g *Gateway) self() instance.Member {
	state := instance.StateLive
	if g.stopping.Load() {
		state = instance.StateLeaving
	}
	return instance.Member{ID: g.ID, Incarnation: g.Incarnation, Role: instance.RoleGateway, State: state,
		DataCentre: g.DataCentre, Addr: g.LinkAddr, HTTPAddr: g.HTTPAddr}
}

// readList renews the gateway's own entry and reads the instance list.
func (g *Gateway) readList() {
	c := &g.control
	if c.returningGrants {
		return
	}
	c.readingList = true
	g.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ioTimeout)
		defer cancel()
		if err := g.deps.List.Register(ctx, g.self()); err != nil {
			g.log.Debug("registration in the instance list failed", "error", err)
		}
		members, err := g.deps.List.Members(ctx)
		g.post(func(time.Time) {
			c.readingList = false
			if err != nil {
				g.log.Debug("reading the instance list failed", "error", err)
				return
			}
			g.applyList(members)
		})
	})
}

// applyList replaces the directory by a new reading of the instance list. It runs in the control loop.
func (g *Gateway) applyList(members []instance.Member) {
	c := &g.control
	if c.version == nil {
		// Shards cannot be named without a manifest. The list is read again after listInterval.
		return
	}
	d := &directory{gateways: map[instance.Incarnation]instance.Member{}, workers: map[instance.ID]instance.Member{},
		shards: map[string]string{}}
	leaving := map[instance.ID]bool{}
	for _, m := range members {
		switch m.Role {
		case instance.RoleGateway:
			d.gateways[m.Incarnation] = m
		case instance.RoleScheduler:
			d.schedulers = append(d.schedulers, m)
		case instance.RoleWorker:
			d.workers[m.ID] = m
			if m.State == instance.StateLeaving {
				leaving[m.ID] = true
			}
			d.shards[datacentre.Shard(m.DataCentre, m.Rack, max(c.version.Manifest.RacksPerShard, 1))] = m.DataCentre
		}
	}
	c.pool.SetLeaving(leaving)
	g.directory.Store(d)
	_, c.registered = d.gateways[g.Incarnation]
	for name, dc := range d.shards {
		if c.grantRequests[name] == nil {
			c.grantRequests[name] = &grantRequestState{dataCentre: dc, requestSoon: true}
		}
	}
}

// owners caches the address of each shard's owner. It is used for grants and for queries to owners, not for requests of
// callers. It is safe for concurrent use.
type owners struct {
	mu   sync.Mutex
	addr map[string]string
	next int
}

func (o *owners) get(shard string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addr[shard]
}

func (o *owners) set(shard, addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.addr == nil {
		o.addr = map[string]string{}
	}
	o.addr[shard] = addr
}

// any returns the address of a scheduler, in round-robin order, so that one that does not answer cannot block every
// query. It returns an empty address if there is none.
func (o *owners) any(d *directory) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(d.schedulers) == 0 {
		return ""
	}
	o.next++
	return d.schedulers[o.next%len(d.schedulers)].Addr
}

// maxOwnerCalls limits the calls for one message: a stale owner, a scheduler that names the owner, the owner, and one
// more.
const maxOwnerCalls = 4

// callOwner sends a message to the owner of a shard. If the owner is not known, any scheduler names it. It returns the
// reply and the time at which the answered call was sent, or *NoSchedulerError if no owner answered.
func (g *Gateway) callOwner(ctx context.Context, shard string,
	m contract.Message) (contract.Message, time.Time, error) {
	var lastErr error = &EmptyListError{}
	for range maxOwnerCalls {
		addr := g.owners.get(shard)
		if addr == "" {
			addr = g.owners.any(g.directory.Load())
		}
		if addr == "" || ctx.Err() != nil {
			break
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := g.deps.Link.Call(callCtx, addr, m)
		cancel()
		if err == nil {
			g.owners.set(shard, addr)
			return reply, sent, nil
		}
		lastErr = err
		var failure *contract.Failure
		hint := ""
		if errors.As(err, &failure) && failure.Code == contract.FailureNotOwner && failure.Owner != addr {
			hint = failure.Owner
		}
		g.owners.set(shard, hint)
	}
	return nil, time.Time{}, &NoSchedulerError{Shard: shard, Err: lastErr}
}
