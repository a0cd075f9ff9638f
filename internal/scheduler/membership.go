package scheduler

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/shard"
)

// pollList registers this process and reads the instance list.
func (s *Scheduler) pollList(time.Time) {
	if s.members.polling {
		return
	}
	s.members.polling = true
	self := s.self()
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ioTimeout)
		defer cancel()
		if err := s.deps.List.Register(ctx, self); err != nil {
			s.log.Debug("registration failed", "error", err)
		}
		list, err := s.deps.List.Members(ctx, instance.RoleScheduler, instance.RoleWorker)
		s.post(func(now time.Time) {
			s.members.polling = false
			if err != nil {
				s.log.Debug("instance list is not readable", "error", err)
				return
			}
			s.takeList(now, list)
		})
	})
}

func (s *Scheduler) self() instance.Member {
	state := instance.StateLive
	if s.leaving {
		state = instance.StateLeaving
	}
	return instance.Member{ID: s.ID, Incarnation: s.Incarnation, Role: instance.RoleScheduler, State: state,
		DataCentre: s.DataCentre, Addr: s.LinkAddr, HTTPAddr: s.HTTPAddr}
}

func (s *Scheduler) takeList(now time.Time, list []instance.Member) {
	clear(s.members.workers)
	for id, p := range s.members.peers {
		p.Listed = false
		s.members.peers[id] = p
	}
	for _, m := range list {
		if m.Role == instance.RoleWorker {
			s.members.workers[m.ID] = m
			continue
		}
		if m.ID == s.ID {
			continue
		}
		p := s.members.peers[m.ID]
		if p.Incarnation != m.Incarnation {
			if now.Sub(p.Heard) < s.policy.ownerTimeout {
				// The list lags behind the heartbeats of a restarted peer.
				continue
			}
			p = shard.Peer{ID: m.ID, Incarnation: m.Incarnation}
		}
		if p.ListedAt.IsZero() {
			p.ListedAt = now
		}
		p.Addr, p.Listed, p.Leaving = m.Addr, true, p.Leaving || m.State == instance.StateLeaving
		s.members.peers[m.ID] = p
	}
	for id, p := range s.members.peers {
		if !p.Listed && now.Sub(p.Heard) > time.Minute {
			delete(s.members.peers, id)
		}
	}
}

// heartbeat calls every other scheduler.
func (s *Scheduler) heartbeat() {
	m := &contract.Heartbeat{From: s.ID, Incarnation: s.Incarnation, Config: s.configOffset(), Leaving: s.leaving,
		LogReachable: s.logUp(time.Now()), Owned: s.owned()}
	for id, p := range s.members.peers {
		if s.members.beating[id] || p.Addr == "" {
			continue
		}
		s.members.beating[id] = true
		s.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			reply, err := s.deps.Link.Call(ctx, p.Addr, m)
			s.post(func(now time.Time) {
				delete(s.members.beating, id)
				if r, ok := reply.(*contract.HeartbeatReply); ok && err == nil && r.From == id {
					s.heard(now, id, r.Incarnation, p.Addr, r.Leaving, r.Owned)
				}
			})
		})
	}
}

// heard records a sign of life. A different incarnation replaces the old one.
func (s *Scheduler) heard(now time.Time, id instance.ID, inc instance.Incarnation, addr string, leaving bool,
	owned []contract.OwnedShard) {
	p := s.members.peers[id]
	if p.Incarnation != inc {
		p = shard.Peer{ID: id, Incarnation: inc, Addr: p.Addr}
	}
	if addr != "" {
		p.Addr = addr
	}
	p.Heard, p.Leaving = now, leaving
	p.Owned = make(map[string]uint64, len(owned))
	for _, o := range owned {
		p.Owned[o.Shard] = o.Epoch
	}
	s.members.peers[id] = p
}

// configOffset returns the version in force, zero before the first one.
func (s *Scheduler) configOffset() uint64 {
	if s.version == nil {
		return 0
	}
	return s.version.Offset
}

func (s *Scheduler) owned() []contract.OwnedShard {
	var out []contract.OwnedShard
	for _, name := range s.names {
		if sh := s.shards[name]; sh.own != nil {
			out = append(out, contract.OwnedShard{Shard: name, Epoch: sh.own.epoch})
		}
	}
	return out
}

func (s *Scheduler) view(now time.Time) shard.View {
	return shard.View{Now: now, Self: s.ID, Start: s.start, OwnerTimeout: s.policy.ownerTimeout,
		LogUp: s.logUp(now), Peers: s.members.peers}
}

// logUp reports whether some stream was read lately. A process that reads none does not know and assumes it.
func (s *Scheduler) logUp(now time.Time) bool {
	return s.lastRead.IsZero() || now.Sub(s.lastRead) < logFresh || !s.following()
}

func (s *Scheduler) following() bool {
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
		s.log.Debug("deregistration failed", "error", err)
	}
}
