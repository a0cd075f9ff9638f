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
	micros  int64
}

// payer is the team and kind to which the cost of a job is charged.
type payer struct{ team, kind string }

// ledger collects the costs of the closed attempts of one shard. It implements shard.State. Unlike attempt.State it
// accepts a Close whose Submit or Place is no longer in the log, because the attempt has a cost nevertheless.
type ledger struct {
	// complete reports whether the log keeps the stream from its first record on. A Close without a Place is then
	// ignored.
	complete bool
	jobs     map[string]payer
	placed   map[upstream.TaskRef]bool
	closed   map[upstream.TaskRef]bool
	costs    []attemptCost
}

var _ shard.State = (*ledger)(nil)

func newLedger(complete bool) *ledger {
	l := &ledger{complete: complete, jobs: map[string]payer{}}
	l.Reset()
	return l
}

// Reset implements shard.State. The payers of jobs are kept, because they never change.
func (l *ledger) Reset() {
	l.placed, l.closed, l.costs = map[upstream.TaskRef]bool{}, map[upstream.TaskRef]bool{}, nil
}

// Apply implements shard.State.
func (l *ledger) Apply(_, _ uint64, b contract.Body) error {
	switch b := b.(type) {
	case *contract.Submit:
		l.job(*b)
	case *contract.TransferIn:
		l.job(b.Submit)
	case *contract.Place:
		l.placed[b.TaskRef] = true
	case *contract.Close:
		if l.closed[b.TaskRef] || l.complete && !l.placed[b.TaskRef] {
			return &attempt.IgnoredError{Ref: b.TaskRef, Reason: attempt.ReasonNotOpen}
		}
		l.closed[b.TaskRef] = true
		l.costs = append(l.costs, attemptCost{job: b.Job, outcome: b.Outcome, at: b.At, runTime: b.RunTime,
			micros: b.Cost})
	}
	return nil
}

func (l *ledger) job(s contract.Submit) {
	if _, known := l.jobs[s.Job]; !known {
		l.jobs[s.Job] = payer{team: s.Team, kind: s.Kind}
	}
}

// SnapshotSkippedError is returned by Decode, so that the replayer applies all kept records instead of using a
// snapshot.
type SnapshotSkippedError struct{}

// Error implements error.
func (e *SnapshotSkippedError) Error() string { return "snapshots are not used for cost reports" }

// Decode implements shard.State. It reads only the payers of jobs, because a snapshot has no costs by outcome, and
// returns *SnapshotSkippedError so that the replayer applies all kept records.
func (l *ledger) Decode(data []byte) error {
	s := attempt.New("")
	if err := s.Decode(data); err != nil {
		return err
	}
	for _, j := range s.JobStates("") {
		l.job(contract.Submit{Job: j.Job, Team: j.Team, Kind: j.Kind})
	}
	return &SnapshotSkippedError{}
}

// Encode implements shard.State. It is not used, because a reader writes no snapshots.
func (l *ledger) Encode() ([]byte, error) { return nil, &SnapshotSkippedError{} }

// shardLedger is the ledger of the kept records of one shard.
type shardLedger struct {
	shard  string
	ledger *ledger
	// from and to are the offsets of the first kept record and of the last one that was read.
	from, to uint64
	// replayed is the sum of costs by attempt.State, as owners compute it. It is set only if the ledger is complete.
	replayed int64
}

// sum returns the cost of all closed attempts.
func (c *shardLedger) sum() int64 {
	var n int64
	for _, v := range c.ledger.costs {
		n += v.micros
	}
	return n
}

// readCosts reads the stream of one shard from the oldest kept record to the end that the stream has when the reading
// begins. It returns *ReconcileError if the costs differ from those of a replay of the jobs.
func readCosts(ctx context.Context, log platform.Log, name string) (*shardLedger, error) {
	for from := uint64(1); ; {
		c, err := readCostsFrom(ctx, log, name, from)
		var retention *platform.RetentionError
		if errors.As(err, &retention) {
			from = retention.Oldest
			continue
		}
		return c, err
	}
}

func readCostsFrom(ctx context.Context, log platform.Log, name string, from uint64) (*shardLedger, error) {
	c := &shardLedger{shard: name, ledger: newLedger(from == 1), from: from}
	costs := shard.NewReplayer(name, c.ledger, from)
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
			if err := c.replayJobs(jobs, p.First+uint64(i), data); err != nil {
				return nil, err
			}
		}
	}
	costs.EndOfStream(from)
	c.to = costs.Next() - 1
	if c.ledger.complete && c.sum() != c.replayed {
		return nil, &ReconcileError{Shard: name, Report: c.sum(), Replay: c.replayed}
	}
	return c, nil
}

// replayJobs applies the record to jobs as an owner does and adds its cost to replayed, which is compared with the sum
// of the ledger.
func (c *shardLedger) replayJobs(jobs *shard.Replayer, offset uint64, data []byte) error {
	if !c.ledger.complete {
		return nil
	}
	r, err := jobs.Apply(offset, data)
	if b, ok := r.Body.(*contract.Close); ok && r.Outcome == shard.Valid {
		c.replayed += b.Cost
	}
	return err
}
