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

const readLimit = 2000

// cost is one closed attempt.
type cost struct {
	job     string
	outcome upstream.Outcome
	at      time.Time
	runTime time.Duration
	micros  int64
}

// owner is who pays for a job.
type owner struct{ team, kind string }

// ledger collects the closed attempts of one shard. It implements shard.State and unlike attempt.State accepts a Close
// whose Submit or Place is no longer kept, because the cost arose all the same.
type ledger struct {
	// whole tells that the stream is kept from its first record on; then an attempt must have been placed to be closed.
	whole  bool
	jobs   map[string]owner
	placed map[upstream.TaskRef]bool
	closed map[upstream.TaskRef]bool
	costs  []cost
}

var _ shard.State = (*ledger)(nil)

func newLedger(whole bool) *ledger {
	l := &ledger{whole: whole, jobs: map[string]owner{}}
	l.Reset()
	return l
}

// Reset implements shard.State. Who pays for a job never changes, so that knowledge stays.
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
		if l.closed[b.TaskRef] || l.whole && !l.placed[b.TaskRef] {
			return &attempt.IgnoredError{Ref: b.TaskRef, Reason: attempt.ReasonNotOpen}
		}
		l.closed[b.TaskRef] = true
		l.costs = append(l.costs, cost{job: b.Job, outcome: b.Outcome, at: b.At, runTime: b.RunTime, micros: b.Cost})
	}
	return nil
}

func (l *ledger) job(s contract.Submit) {
	if _, known := l.jobs[s.Job]; !known {
		l.jobs[s.Job] = owner{team: s.Team, kind: s.Kind}
	}
}

// SnapshotSkippedError tells the replayer to go on without a snapshot.
type SnapshotSkippedError struct{}

// Error implements error.
func (e *SnapshotSkippedError) Error() string { return "snapshots are not used for costs" }

// Decode implements shard.State. A snapshot has no costs by outcome, so the ledger takes only the payers of jobs from it and has
// the replayer apply all kept records.
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

// Encode implements shard.State. A reader writes no snapshots.
func (l *ledger) Encode() ([]byte, error) { return nil, &SnapshotSkippedError{} }

// shardCosts is what the kept records of one shard cost.
type shardCosts struct {
	shard  string
	ledger *ledger
	// from and to are the offsets of the first kept record and of the last one that was read.
	from, to uint64
	// replayed is the sum by the rules of the shard's own state, if the stream is whole.
	replayed int64
}

// sum returns the sum of all closed attempts.
func (c *shardCosts) sum() int64 {
	var n int64
	for _, v := range c.ledger.costs {
		n += v.micros
	}
	return n
}

// readCosts reads the stream of one shard to the end that it has at the start.
func readCosts(ctx context.Context, log platform.Log, name string) (*shardCosts, error) {
	for from := uint64(1); ; {
		c, err := readCostsFrom(ctx, log, name, from)
		var lost *platform.RetentionError
		if errors.As(err, &lost) {
			from = lost.Oldest
			continue
		}
		return c, err
	}
}

func readCostsFrom(ctx context.Context, log platform.Log, name string, from uint64) (*shardCosts, error) {
	c := &shardCosts{shard: name, ledger: newLedger(from == 1), from: from}
	costs := shard.NewReplayer(name, c.ledger, from)
	jobs := shard.NewReplayer(name, attempt.New(name), from)
	end := from
	for first := true; first || costs.Next() < end; first = false {
		p, err := log.Read(ctx, datacentre.ShardStream(name), costs.Next(), readLimit, 0)
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
			if err := c.check(jobs, p.First+uint64(i), data); err != nil {
				return nil, err
			}
		}
	}
	costs.Settle(from)
	c.to = costs.Next() - 1
	if c.ledger.whole && c.sum() != c.replayed {
		return nil, &ReconcileError{Shard: name, Report: c.sum(), Replay: c.replayed}
	}
	return c, nil
}

// check replays the record as the owners do, so that two independent sums can be compared.
func (c *shardCosts) check(jobs *shard.Replayer, offset uint64, data []byte) error {
	if !c.ledger.whole {
		return nil
	}
	r, err := jobs.Apply(offset, data)
	if b, ok := r.Body.(*contract.Close); ok && r.Verdict == shard.Valid {
		c.replayed += b.Cost
	}
	return err
}
