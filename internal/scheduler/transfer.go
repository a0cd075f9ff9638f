package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/shard"
)

const (
	// workerlessFor is how long a shard must be without a usable worker before its pending tasks move. A restart of its
	// workers is shorter.
	workerlessFor = 30 * time.Second
	// maxTransfer bounds the tasks of one TransferOut record.
	maxTransfer = 1000
)

// syncTransfers moves pending tasks away from a shard whose workers are gone, and repeats the second half of transfers that is
// not confirmed yet.
func (s *Scheduler) syncTransfers(sh *shardLoop, now time.Time) {
	if !s.canWrite(sh, now) || sh.own.releasing {
		return
	}
	for _, out := range sh.state.Transfers() {
		s.repeatTransfer(sh, out)
	}
	for _, w := range sh.own.workers {
		if s.usable(sh, w, now) {
			sh.own.workerless = time.Time{}
			return
		}
	}
	if sh.own.workerless.IsZero() {
		sh.own.workerless = now
	}
	if now.Sub(sh.own.workerless) < workerlessFor || !sh.out.idle() {
		return
	}
	s.transferOut(sh)
}

func (s *Scheduler) transferOut(sh *shardLoop) {
	targets := s.targets(sh.name)
	if len(targets) == 0 {
		return
	}
	for _, j := range sh.state.Jobs() {
		// A job moves once only, from the shard that it was submitted to, so that a late copy of the record cannot bring back
		// tasks that have moved on.
		if j.State.Pending == 0 || j.Submit.Service || !strings.HasPrefix(j.Submit.Job, sh.name+"~") {
			continue
		}
		to := string(shard.Choose(j.Submit.Job, targets))
		out := &contract.TransferOut{Job: j.Submit.Job, To: to, In: contract.NewRecordID()}
		for _, t := range j.Tasks {
			if t.Phase == attempt.Pending && len(out.Tasks) < maxTransfer {
				out.Tasks = append(out.Tasks, contract.Transferred{Index: t.Index, Attempts: t.Attempt, Checkpoint: t.Checkpoint})
			}
		}
		s.log.Info("moves pending tasks to another shard", "shard", sh.name, "job", j.Submit.Job, "to", to, "tasks", len(out.Tasks))
		s.put(sh, sh.own.epoch, out)
	}
}

// targets returns the other shards that have live workers.
func (s *Scheduler) targets(except string) []instance.ID {
	var out []instance.ID
	for _, m := range s.members.workers {
		name := instance.ID(datacentre.Shard(m.DataCentre, m.Rack, s.policy.racksPerShard))
		if m.State == instance.StateLive && name != instance.ID(except) && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// repeatTransfer appends the TransferIn record to the target's stream and confirms it once it was read there.
func (s *Scheduler) repeatTransfer(sh *shardLoop, out contract.TransferOut) {
	key := string(out.In[:])
	if s.transfer[key] {
		return
	}
	sub := contract.Submit{Job: out.Job}
	if j := sh.state.Job(out.Job); j != nil {
		sub = j.Submit
	} else if f := sh.state.JobStates(out.Job); len(f) > 0 {
		sub = contract.Submit{Job: f[0].Job, Kind: f[0].Kind, Team: f[0].Team, Tasks: f[0].Tasks, Submitted: f[0].Submitted,
			Deadline: f[0].Deadline}
	}
	data, err := contract.EncodeRecord(out.In, 0, &contract.TransferIn{Submit: sub, From: sh.name, Tasks: out.Tasks})
	if err != nil {
		s.log.Error("record cannot be encoded", "shard", sh.name, "error", err)
		return
	}
	s.transfer[key] = true
	own := sh.own
	s.spawn(func(ctx context.Context) {
		err := s.appendRead(ctx, datacentre.ShardStream(out.To), data)
		s.post(func(time.Time) {
			delete(s.transfer, key)
			if err != nil {
				s.log.Debug("transfer is not confirmed", "shard", sh.name, "to", out.To, "error", err)
				return
			}
			if sh.own == own && !own.released {
				done := out
				done.Tasks, done.Done = nil, true
				s.put(sh, own.epoch, &done)
			}
		})
	})
}

// appendRead appends one record and reads it back.
func (s *Scheduler) appendRead(ctx context.Context, stream string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	at, err := s.deps.Log.Append(ctx, stream, [][]byte{data})
	if err != nil {
		return errors.WithStack(err)
	}
	page, err := s.deps.Log.Read(ctx, stream, at, 1, time.Second)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(page.Records) == 0 || !slices.Equal(page.Records[0], data) {
		return &ReadBackError{Stream: stream, Offset: at}
	}
	return nil
}
