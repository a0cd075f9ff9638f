package scheduler

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/shard"
)

// refreshMembership registers this process and fetches the instance list, unless a previous refresh is in flight.
func (s *Scheduler) refreshMembership(time.Time) {
	if s.members.refreshInFlight {
		return
	}
	s.members.refreshInFlight = true
	self := s.selfMember()
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		if err := s.deps.List.Register(ctx, self); err != nil {
			s.log.Debug("registration in the instance list failed", "error", err)
		}
		listed, err := s.deps.List.Members(ctx, instance.RoleScheduler, instance.RoleWorker)
		s.post(func(now time.Time) {
			s.members.refreshInFlight = false
			if err != nil {
				s.log.Debug("fetching the instance list failed", "error", err)
				return
			}
			s.applyMembers(now, listed)
		})
	})
}

func (s *Scheduler) selfMember() instance.Member {
	state := instance.StateLive
	if s.leaving {
		state = instance.StateLeaving
	}
	return instance.Member{ID: s.ID, Incarnation: s.Incarnation, Role: instance.RoleScheduler, State: state,
		DataCentre: s.DataCentre, Addr: s.LinkAddr, HTTPAddr: s.HTTPAddr}
}

// applyMembers updates the known workers and peers from the instance list. Peers that are neither listed nor have sent
// a heartbeat for a minute are dropped.
func (s *Scheduler) applyMembers(now time.Time, listed []instance.Member) {
	clear(s.members.workers)
	for id, p := range s.members.peers {
		p.Listed = false
		s.members.peers[id] = p
	}
	for _, m := range listed {
		if m.Role == instance.RoleWorker {
			s.members.workers[m.ID] = m
			continue
		}
		if m.ID == s.ID {
			continue
		}
		p := s.members.peers[m.ID]
		if p.Incarnation != m.Incarnation {
			if now.Sub(p.LastHeartbeat) < s.policy.ownerTimeout {
				// The list still names the previous incarnation of a restarted peer.
				continue
			}
			p = shard.Peer{ID: m.ID, Incarnation: m.Incarnation}
		}
		if p.ListedSince.IsZero() {
			p.ListedSince = now
		}
		p.Addr, p.Listed, p.Leaving = m.Addr, true, p.Leaving || m.State == instance.StateLeaving
		s.members.peers[m.ID] = p
	}
	for id, p := range s.members.peers {
		if !p.Listed && now.Sub(p.LastHeartbeat) > time.Minute {
			delete(s.members.peers, id)
		}
	}
}

// heartbeat sends a heartbeat to every other known scheduler to which none is in flight.
func (s *Scheduler) heartbeat() {
	m := &contract.Heartbeat{From: s.ID, Incarnation: s.Incarnation, Config: s.configOffset(), Leaving: s.leaving,
		LogReachable: s.logReachable(time.Now()), Owned: s.ownedShards()}
	for id, p := range s.members.peers {
		if s.members.heartbeatInFlight[id] || p.Addr == "" {
			continue
		}
		s.members.heartbeatInFlight[id] = true
		s.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			reply, err := s.deps.Link.Call(ctx, p.Addr, m)
			s.post(func(now time.Time) {
				delete(s.members.heartbeatInFlight, id)
				if r, ok := reply.(*contract.HeartbeatReply); ok && err == nil && r.From == id {
					s.recordHeartbeat(now, id, r.Incarnation, p.Addr, r.Leaving, r.Owned)
				}
			})
		})
	}
}

// recordHeartbeat records a heartbeat, or the reply to one, of another scheduler. A different incarnation replaces the
// known one. An empty addr keeps the known address.
func (s *Scheduler) recordHeartbeat(now time.Time, id instance.ID, inc instance.Incarnation, addr string, leaving bool,
	owned []contract.OwnedShard) {
	p := s.members.peers[id]
	if p.Incarnation != inc {
		p = shard.Peer{ID: id, Incarnation: inc, Addr: p.Addr}
	}
	if addr != "" {
		p.Addr = addr
	}
	p.LastHeartbeat, p.Leaving = now, leaving
	p.Owned = make(map[string]uint64, len(owned))
	for _, o := range owned {
		p.Owned[o.Shard] = o.Epoch
	}
	s.members.peers[id] = p
}

// configOffset returns the offset of the manifest in force, zero if there is none.
func (s *Scheduler) configOffset() uint64 {
	if s.version == nil {
		return 0
	}
	return s.version.Offset
}

func (s *Scheduler) ownedShards() []contract.OwnedShard {
	var out []contract.OwnedShard
	for _, name := range s.shardNames {
		if sh := s.shards[name]; sh.own != nil {
			out = append(out, contract.OwnedShard{Shard: name, Epoch: sh.own.epoch})
		}
	}
	return out
}

func (s *Scheduler) view(now time.Time) shard.View {
	return shard.View{Now: now, Self: s.ID, Start: s.start, OwnerTimeout: s.policy.ownerTimeout,
		LogReachable: s.logReachable(now), Peers: s.members.peers}
}

// logReachable reports whether some stream was read within maxLogStaleness. A process that follows no stream has no
// evidence and reports true.
func (s *Scheduler) logReachable(now time.Time) bool {
	return s.lastLogRead.IsZero() || now.Sub(s.lastLogRead) < maxLogStaleness || !s.followsAnyStream()
}

func (s *Scheduler) followsAnyStream() bool {
	for _, sh := range s.shards {
		if sh.following {
			return true
		}
	}
	return false
}

func (s *Scheduler) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := s.deps.List.Deregister(ctx, s.ID, s.Incarnation); err != nil {
		s.log.Debug("deregistration from the instance list failed", "error", err)
	}
}
