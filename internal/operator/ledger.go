package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// readPageLimit is the maximum number of records that are read at once.
const readPageLimit = 2000

// attemptCost is the cost of one closed attempt.
type attemptCost struct {
	job     string
	outcome upstream.Outcome
	at      time.Time
	runTime time.Duration
	// costMicros is the cost in millionths of the currency.
	costMicros int64
}

// costAccount is the team and kind to which the cost of a job is charged.
type costAccount struct{ team, kind string }

// costState collects the costs of the closed attempts of one shard. It implements shard.State. Unlike attempt.State it
// also accepts a Close whose Submit or Place was removed by retention, because its cost still counts.
type costState struct {
	// fullHistory reports whether the log still holds the stream from its first record. Only then is a Close without a
	// Place ignored.
	fullHistory bool
	jobs        map[string]costAccount
	placed      map[upstream.TaskRef]bool
	closed      map[upstream.TaskRef]bool
	costs       []attemptCost
}

var _ shard.State = (*costState)(nil)

func newCostState(fullHistory bool) *costState {
	s := &costState{fullHistory: fullHistory, jobs: map[string]costAccount{}}
	s.Reset()
	return s
}

// Reset implements shard.State. The accounts of jobs are kept, because they never change.
func (s *costState) Reset() {
	s.placed, s.closed, s.costs = map[upstream.TaskRef]bool{}, map[upstream.TaskRef]bool{}, nil
}

// Apply implements shard.State.
func (s *costState) Apply(_, _ uint64, b contract.Body) error {
	switch b := b.(type) {
	case *contract.Submit:
		s.recordAccount(*b)
	case *contract.TransferIn:
		s.recordAccount(b.Submit)
	case *contract.Place:
		s.placed[b.TaskRef] = true
	case *contract.Close:
		if s.closed[b.TaskRef] || s.fullHistory && !s.placed[b.TaskRef] {
			return &attempt.IgnoredError{Ref: b.TaskRef, Reason: attempt.ReasonNotOpen}
		}
		s.closed[b.TaskRef] = true
		s.costs = append(s.costs, attemptCost{job: b.Job, outcome: b.Outcome, at: b.At, runTime: b.RunTime,
			costMicros: b.Cost})
	}
	return nil
}

func (s *costState) recordAccount(submit contract.Submit) {
	if _, known := s.jobs[submit.Job]; !known {
		s.jobs[submit.Job] = costAccount{team: submit.Team, kind: submit.Kind}
	}
}

// SnapshotSkippedError is returned by Decode and Encode. When Decode returns it, the replayer applies all retained
// records instead of the snapshot.
type SnapshotSkippedError struct{}

// Error implements error.
func (e *SnapshotSkippedError) Error() string { return "snapshots are not used for cost reports" }

// Decode implements shard.State. It takes only the accounts of jobs from a snapshot, since snapshots hold no costs by
// outcome. It returns *SnapshotSkippedError, which makes the replayer apply all retained records instead.
func (s *costState) Decode(data []byte) error {
	jobs := attempt.New("")
	if err := jobs.Decode(data); err != nil {
		return err
	}
	for _, j := range jobs.JobStates("") {
		s.recordAccount(contract.Submit{Job: j.Job, Team: j.Team, Kind: j.Kind})
	}
	return &SnapshotSkippedError{}
}

// Encode implements shard.State. It is not used, because a reader writes no snapshots.
func (s *costState) Encode() ([]byte, error) { return nil, &SnapshotSkippedError{} }

// shardReplay is the result of a replay of the retained records of one shard.
type shardReplay struct {
	shard string
	state *costState
	// from and to are the offsets of the oldest retained record and of the last one that was read.
	from, to uint64
	// replayedCost is the total of the costs in records that attempt.State accepts, as owners compute it, in millionths
	// of the currency. It is set only if the state has the full history.
	replayedCost int64
}

// sum returns the cost of all closed attempts.
func (r *shardReplay) sum() int64 {
	var n int64
	for _, v := range r.state.costs {
		n += v.costMicros
	}
	return n
}

// readCosts reads the stream of one shard from the oldest retained record up to the end of the stream at the first
// read. It returns *ReconcileError if the total differs from that of attempt.State.
func readCosts(ctx context.Context, log platform.Log, name string) (*shardReplay, error) {
	for from := uint64(1); ; {
		r, err := readCostsFrom(ctx, log, name, from)
		var retention *platform.RetentionError
		if errors.As(err, &retention) {
			from = retention.Oldest
			continue
		}
		return r, err
	}
}

func readCostsFrom(ctx context.Context, log platform.Log, name string, from uint64) (*shardReplay, error) {
	r := &shardReplay{shard: name, state: newCostState(from == 1), from: from}
	costs := shard.NewReplayer(name, r.state, from)
	jobs := shard.NewReplayer(name, attempt.New(name), from)
	end := from
	for first := true; first || costs.Next() < end; first = false {
		p, err := log.Read(ctx, datacentre.ShardStream(name), costs.Next(), readPageLimit, 0)
		if err != nil {
			return nil, err
		}
		if first {
			end = p.End
		}
		for i, data := range p.Records {
			if _, err := costs.Apply(p.First+uint64(i), data); err != nil {
				return nil, err
			}
			if err := r.replayRecord(jobs, p.First+uint64(i), data); err != nil {
				return nil, err
			}
		}
	}
	// Apply the buffered records; no earlier ones are retained.
	costs.EndOfStream(from)
	r.to = costs.Next() - 1
	if r.state.fullHistory && r.sum() != r.replayedCost {
		return nil, &ReconcileError{Shard: name, Report: r.sum(), Replay: r.replayedCost}
	}
	return r, nil
}

// replayRecord applies the record to jobs as an owner does and adds its cost to replayedCost, which is compared with
// the sum of the costs in state.
func (r *shardReplay) replayRecord(jobs *shard.Replayer, offset uint64, data []byte) error {
	if !r.state.fullHistory {
		return nil
	}
	rec, err := jobs.Apply(offset, data)
	if b, ok := rec.Body.(*contract.Close); ok && rec.Outcome == shard.Valid {
		r.replayedCost += b.Cost
	}
	return err
}
