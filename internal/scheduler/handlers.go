package scheduler

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
)

// Handle answers one message received on a link, in the control loop. It implements link.Handler.
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
		return &contract.ConfigFetchReply{Offset: s.version.Offset, Manifest: s.version.Raw}, nil
	}
	return nil, &contract.Failure{Code: contract.FailureUnsupported, Detail: "schedulers do not answer this message"}
}

func (s *Scheduler) handleHeartbeat(now time.Time, p link.Peer, m *contract.Heartbeat) (contract.Message, error) {
	if p.Role != instance.RoleScheduler || p.ID != m.From || m.From == s.ID {
		return nil, &contract.Failure{Code: contract.FailureForbidden, Detail: "heartbeats come from other schedulers"}
	}
	s.recordHeartbeat(now, m.From, m.Incarnation, "", m.Leaving, m.Owned)
	return &contract.HeartbeatReply{From: s.ID, Incarnation: s.Incarnation, LogReachable: s.logReachable(now),
		Owned: s.ownedShards(), Leaving: s.leaving, Config: s.configOffset()}, nil
}

// ownedShard returns the shard if this process owns it, or else the *contract.Failure to answer with, which names the
// owner if a peer has reported to own the shard.
func (s *Scheduler) ownedShard(name string) (*managedShard, error) {
	sh := s.shards[name]
	if sh != nil && sh.own != nil && !sh.own.released && !sh.own.superseded {
		return sh, nil
	}
	f := &contract.Failure{Code: contract.FailureNotOwner, Detail: "shard " + name}
	if s.version == nil {
		return nil, f
	}
	if p, ok := s.view(time.Now()).ReportedOwner(name); ok {
		f.Owner = p.Addr
	}
	return nil, f
}

func (s *Scheduler) handleGrant(now time.Time, p link.Peer, m *contract.GrantRequest) (contract.Message, error) {
	if p.Role != instance.RoleGateway || p.ID != m.Gateway {
		return nil, &contract.Failure{Code: contract.FailureForbidden, Detail: "grants go to the gateway that asks"}
	}
	sh, err := s.ownedShard(m.Shard)
	if err != nil {
		return nil, err
	}
	r := sh.own.slotAllocator.Grant(now, *m)
	r.Pending = sh.state.PendingCount()
	r.FreeMilliCores = s.freeMilliCores(sh, now)
	return &r, nil
}

// freeMilliCores returns the free processor capacity of the usable workers for batch and service tasks.
func (s *Scheduler) freeMilliCores(sh *managedShard, now time.Time) int64 {
	var free int64
	for _, w := range sh.own.workers {
		if s.usable(sh, w, now) {
			free += max(s.allocatable(w).Sub(w.allocated(func(*openAttempt) bool { return true })).MilliCores, 0)
		}
	}
	return free
}

func (s *Scheduler) handleJobStatus(m *contract.JobStatus) (contract.Message, error) {
	sh, err := s.ownedShard(m.Shard)
	if err != nil {
		return nil, err
	}
	r := &contract.JobStatusReply{Epoch: sh.own.epoch, Jobs: sh.state.JobStates(m.Job)}
	for i := range r.Jobs {
		r.Jobs[i].Parked = sh.own.unschedulableReasons[r.Jobs[i].Job]
		s.countUnconfirmedAsPending(sh, &r.Jobs[i])
	}
	return r, nil
}

// countUnconfirmedAsPending moves the attempts whose start no worker has confirmed from the running to the pending
// count.
func (s *Scheduler) countUnconfirmedAsPending(sh *managedShard, job *contract.JobState) {
	for _, w := range sh.own.workers {
		for ref, a := range w.attempts {
			if ref.Job == job.Job && a.startedAt.IsZero() && job.Running > 0 {
				job.Running--
				job.Pending++
			}
		}
	}
}

func (s *Scheduler) shardStates(now time.Time) []contract.ShardState {
	out := []contract.ShardState{}
	for _, name := range s.shardNames {
		sh := s.shards[name]
		if sh.own == nil {
			continue
		}
		out = append(out, contract.ShardState{Shard: name, Owner: s.ID, Epoch: sh.own.epoch,
			Offset: sh.replay.Next() - 1, Workers: len(sh.own.workers), Fenced: sh.own.fencedWorkers(now),
			Pending: sh.state.PendingCount(), Running: sh.state.PlacedCount(),
			SlotsGiven: sh.own.slotAllocator.Granted(),
			Snapshot:   sh.replay.Snapshot().First})
	}
	return out
}
