package scheduler

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
)

// Handle answers one message of a link; it implements link.Handler.
func (s *Scheduler) Handle(ctx context.Context, p link.Peer, m contract.Message) (contract.Message, error) {
	type answer struct {
		m   contract.Message
		err error
	}
	out := make(chan answer, 1)
	posted := s.post(func(now time.Time) {
		reply, err := s.handle(now, p, m)
		out <- answer{reply, err}
	})
	if !posted {
		return nil, &contract.Failure{Code: contract.FailureNotReady, Detail: "the scheduler has stopped"}
	}
	select {
	case a := <-out:
		return a.m, a.err
	case <-ctx.Done():
		return nil, &contract.Failure{Code: contract.FailureNotReady, Detail: "the call has ended"}
	case <-s.done:
		return nil, &contract.Failure{Code: contract.FailureNotReady, Detail: "the scheduler has stopped"}
	}
}

func (s *Scheduler) handle(now time.Time, p link.Peer, m contract.Message) (contract.Message, error) {
	switch m := m.(type) {
	case *contract.Heartbeat:
		return s.handleHeartbeat(now, p, m)
	case *contract.GrantRequest:
		return s.handleGrant(now, p, m)
	case *contract.JobStatus:
		return s.handleJobStatus(m)
	case *contract.Explain:
		return s.handleExplain(now, m)
	case *contract.ShardStatus:
		return &contract.ShardStatusReply{Shards: s.shardStates(now)}, nil
	case *contract.ConfigFetch:
		if s.version == nil {
			return &contract.ConfigFetchReply{}, nil
		}
		return &contract.ConfigFetchReply{Version: s.version.Offset, Manifest: s.version.Raw}, nil
	}
	return nil, &contract.Failure{Code: contract.FailureUnsupported, Detail: "schedulers do not answer this message"}
}

func (s *Scheduler) handleHeartbeat(now time.Time, p link.Peer, m *contract.Heartbeat) (contract.Message, error) {
	if p.Role != instance.RoleScheduler || p.ID != m.From || m.From == s.ID {
		return nil, &contract.Failure{Code: contract.FailureForbidden, Detail: "heartbeats come from other schedulers"}
	}
	s.heard(now, m.From, m.Incarnation, "", m.Leaving, m.Owned)
	return &contract.HeartbeatReply{From: s.ID, Incarnation: s.Incarnation, LogReachable: s.logUp(now), Owned: s.owned(),
		Leaving: s.leaving, Config: s.configOffset()}, nil
}

// owner returns the shard if this process owns it, and the failure to answer otherwise.
func (s *Scheduler) owner(name string) (*shardLoop, error) {
	sh := s.shards[name]
	if sh != nil && sh.own != nil && !sh.own.released && !sh.own.superseded {
		return sh, nil
	}
	f := &contract.Failure{Code: contract.FailureNotOwner, Detail: "shard " + name}
	if s.version == nil {
		return nil, f
	}
	if p, ok := s.view(time.Now()).KnownOwner(name); ok {
		f.Owner = p.Addr
	}
	return nil, f
}

func (s *Scheduler) handleGrant(now time.Time, p link.Peer, m *contract.GrantRequest) (contract.Message, error) {
	if p.Role != instance.RoleGateway || p.ID != m.Gateway {
		return nil, &contract.Failure{Code: contract.FailureForbidden, Detail: "grants go to the gateway that asks"}
	}
	sh, err := s.owner(m.Shard)
	if err != nil {
		return nil, err
	}
	r := sh.own.ledger.Grant(now, *m)
	r.Pending = sh.state.PendingCount()
	r.FreeMilliCores = s.freeMilliCores(sh, now)
	return &r, nil
}

func (s *Scheduler) freeMilliCores(sh *shardLoop, now time.Time) int64 {
	var free int64
	for _, w := range sh.own.workers {
		if s.usable(sh, w, now) {
			free += max(s.limit(w).Sub(w.held(func(*run) bool { return true })).MilliCores, 0)
		}
	}
	return free
}

func (s *Scheduler) handleJobStatus(m *contract.JobStatus) (contract.Message, error) {
	sh, err := s.owner(m.Shard)
	if err != nil {
		return nil, err
	}
	r := &contract.JobStatusReply{Epoch: sh.own.epoch, Jobs: sh.state.JobStates(m.Job)}
	for i := range r.Jobs {
		r.Jobs[i].Parked = sh.own.parked[r.Jobs[i].Job]
		s.countStarted(sh, &r.Jobs[i])
	}
	return r, nil
}

// countStarted counts placed attempts that no worker has confirmed as pending.
func (s *Scheduler) countStarted(sh *shardLoop, j *contract.JobState) {
	for _, w := range sh.own.workers {
		for ref, t := range w.tasks {
			if ref.Job == j.Job && t.started.IsZero() && j.Running > 0 {
				j.Running--
				j.Pending++
			}
		}
	}
}

func (s *Scheduler) shardStates(now time.Time) []contract.ShardState {
	out := []contract.ShardState{}
	for _, name := range s.names {
		sh := s.shards[name]
		if sh.own == nil {
			continue
		}
		out = append(out, contract.ShardState{Shard: name, Owner: s.ID, Epoch: sh.own.epoch, Offset: sh.replay.Next() - 1,
			Workers: len(sh.own.workers), Fenced: sh.own.fenced(now), Pending: sh.state.PendingCount(),
			Running: sh.state.PlacedCount(), SlotsGiven: sh.own.ledger.Granted(), Snapshot: sh.replay.Snapshot().First})
	}
	return out
}
