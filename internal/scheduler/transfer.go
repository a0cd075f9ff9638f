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
	// transferDelay is how long a shard must be without a usable worker before its pending tasks move to other shards.
	// A restart of the workers takes less.
	transferDelay = 30 * time.Second
	// maxTransferTasks limits the tasks of one TransferOut record.
	maxTransferTasks = 1000
)

// syncTransfers transfers the pending tasks of a shard that has had no usable worker for transferDelay, and retries the
// TransferIn records that are not confirmed yet.
func (s *Scheduler) syncTransfers(sh *managedShard, now time.Time) {
	if !s.canWrite(sh, now) || sh.own.releasing {
		return
	}
	for _, out := range sh.state.Transfers() {
		s.retryTransferIn(sh, out)
	}
	for _, w := range sh.own.workers {
		if s.usable(sh, w, now) {
			sh.own.unusableSince = time.Time{}
			return
		}
	}
	if sh.own.unusableSince.IsZero() {
		sh.own.unusableSince = now
	}
	if now.Sub(sh.own.unusableSince) < transferDelay || !sh.out.idle() {
		return
	}
	s.transferOut(sh)
}

// transferOut writes TransferOut records for the pending tasks of a shard, if another shard has live workers.
func (s *Scheduler) transferOut(sh *managedShard) {
	targets := s.transferTargets(sh.name)
	if len(targets) == 0 {
		return
	}
	for _, j := range sh.state.Jobs() {
		// Only the shard to which a job was submitted transfers its tasks. Otherwise a delayed copy of the record could
		// bring back tasks that have been transferred again.
		if j.State.Pending == 0 || j.Submit.Service || !strings.HasPrefix(j.Submit.Job, sh.name+"~") {
			continue
		}
		to := string(shard.Choose(j.Submit.Job, targets))
		out := &contract.TransferOut{Job: j.Submit.Job, To: to, In: contract.NewRecordID()}
		for _, t := range j.Tasks {
			if t.Phase == attempt.Pending && len(out.Tasks) < maxTransferTasks {
				out.Tasks = append(out.Tasks,
					contract.Transferred{Index: t.Index, Attempts: t.Attempt, Checkpoint: t.Checkpoint})
			}
		}
		s.log.Info("transferring pending tasks to another shard", "shard", sh.name, "job", j.Submit.Job, "to", to,
			"tasks", len(out.Tasks))
		s.enqueue(sh, sh.own.epoch, out)
	}
}

// transferTargets returns the names of the shards, without except, that have live workers.
func (s *Scheduler) transferTargets(except string) []instance.ID {
	var out []instance.ID
	for _, m := range s.members.workers {
		name := instance.ID(datacentre.Shard(m.DataCentre, m.Rack, s.policy.racksPerShard))
		if m.State == instance.StateLive && name != instance.ID(except) && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// retryTransferIn appends the TransferIn record to the stream of the target shard and writes a confirmation once it was
// read there.
func (s *Scheduler) retryTransferIn(sh *managedShard, out contract.TransferOut) {
	key := string(out.In[:])
	if s.transfersInFlight[key] {
		return
	}
	sub := contract.Submit{Job: out.Job}
	if j := sh.state.Job(out.Job); j != nil {
		sub = j.Submit
	} else if f := sh.state.JobStates(out.Job); len(f) > 0 {
		sub = contract.Submit{Job: f[0].Job, Kind: f[0].Kind, Team: f[0].Team, Tasks: f[0].Tasks,
			Submitted: f[0].Submitted,
			Deadline:  f[0].Deadline}
	}
	data, err := contract.EncodeRecord(out.In, 0, &contract.TransferIn{Submit: sub, From: sh.name, Tasks: out.Tasks})
	if err != nil {
		s.log.Error("TransferIn record cannot be encoded", "shard", sh.name, "error", err)
		return
	}
	s.transfersInFlight[key] = true
	own := sh.own
	s.spawn(func(ctx context.Context) {
		err := s.appendAndReadBack(ctx, datacentre.ShardStream(out.To), data)
		s.post(func(time.Time) {
			delete(s.transfersInFlight, key)
			if err != nil {
				s.log.Debug("appending the TransferIn record failed", "shard", sh.name, "to", out.To, "error", err)
				return
			}
			if sh.own == own && !own.released {
				done := out
				done.Tasks, done.Done = nil, true
				s.enqueue(sh, own.epoch, &done)
			}
		})
	})
}

// appendAndReadBack appends one record and reads it back. It returns a *ReadBackError if the log returns another
// record.
func (s *Scheduler) appendAndReadBack(ctx context.Context, stream string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	offset, err := s.deps.Log.Append(ctx, stream, [][]byte{data})
	if err != nil {
		return errors.WithStack(err)
	}
	page, err := s.deps.Log.Read(ctx, stream, offset, 1, time.Second)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(page.Records) == 0 || !slices.Equal(page.Records[0], data) {
		return &ReadBackError{Stream: stream, Offset: offset}
	}
	return nil
}
