// Package backlog decides on arrival whether a submission can still end while its result has value. It answers load in
// which more best-effort or urgent work arrives than a pool can run beside its services: work of a lower priority then
// waits behind all work of a higher one and ends when its result has no value any more. The
// package uses no clock, network or goroutine.
//
// A submission is refused only behind work of a higher priority. Work of its own priority is no reason: the owner places
// tasks that can be in time before those that are late, so a new submission overtakes the older ones that it would have to
// wait for.
//
// Amounts of work are in core-milliseconds by the estimates of the submissions, rates in thousandths of a core. Errors
// that all estimates of a pool have in common cancel out, because the rate is measured in the same unit.
package backlog

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// LateFactor is the multiple of the latency objective after which a result has no value.
const LateFactor = 3

const (
	// MaxAge is the age from which a summary is not used: the backlog may be another one by then, or the owner lost.
	MaxAge = 3 * time.Second
	// Interval is the time between two summaries.
	Interval = time.Second
	// MaxBytes limits an encoded summary. Every instance reads each of them.
	MaxBytes = 2 << 10
	// margin is the multiple of the time in which the result has value that the earliest end must exceed. Rates of the last seconds vary by a tenth, and the
	// work ahead by what is cancelled or fails.
	margin = 1.25
	// minStarved is how long no task of a class must have been placed while some waited. Lower priorities also run beside a
	// backlog of higher ones, on workers that the latter may not use.
	minStarved = 4 * time.Second
	// maxRetryAfter limits the retry time. Callers wait for 3 s; a longer time tells those that may come back later.
	maxRetryAfter = 10 * time.Minute
	// retrySpread is the part of the retry time over which the retries of different submissions are spread.
	retrySpread = 0.25
	// maxSlowdown limits by how much the present rate lengthens the retry time: a pool that does far less than its best is
	// disturbed, which mostly passes.
	maxSlowdown = 4
	// maxAmount bounds the amounts of a valid summary, so that sums of them do not overflow.
	maxAmount = math.MaxInt64 / 256
)

// Class is the work of one queue in one pool that is accepted and not placed.
type Class struct {
	Queue    string `cbor:"1,keyasint"`
	Pool     string `cbor:"2,keyasint"`
	Priority int    `cbor:"3,keyasint,omitempty"`
	// BestEffort is set for work without reserved processors. It does not keep reserving work from being placed, nor the
	// other way round.
	BestEffort bool `cbor:"4,keyasint,omitempty"`
	// Submissions and ObjectiveMS are the number of its submissions and the mean of their latency objectives.
	Submissions int64 `cbor:"5,keyasint,omitempty"`
	ObjectiveMS int64 `cbor:"6,keyasint,omitempty"`
	// Waiting is the work in core-milliseconds.
	Waiting int64 `cbor:"7,keyasint,omitempty"`
	// StarvedMS is for how long no task of the class was placed although some could run.
	StarvedMS int64 `cbor:"8,keyasint,omitempty"`
}

// Pool is the rate at which the work of a pool is done.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Best is the highest rate of the last 20 s, Recent that of the last 4 s, both in thousandths of a core. A pool without a backlog has no entry: its rate
	// does not tell what it can do.
	Best   int64 `cbor:"2,keyasint,omitempty"`
	Recent int64 `cbor:"3,keyasint,omitempty"`
}

// Summary describes the backlog of an owner.
type Summary struct {
	Epoch int64 `cbor:"1,keyasint"`
	// WrittenAt is the time of writing in Unix milliseconds, by the clock of the owner.
	WrittenAt int64   `cbor:"2,keyasint"`
	Pools     []Pool  `cbor:"3,keyasint,omitempty"`
	Classes   []Class `cbor:"4,keyasint,omitempty"`
	// AcceptedBytes is the memory that all accepted submissions take in the owner, AcceptedLimit the most that it takes; 0 if it
	// sets no limit.
	AcceptedBytes int64 `cbor:"5,keyasint,omitempty"`
	AcceptedLimit int64 `cbor:"6,keyasint,omitempty"`
}

// Newer reports whether the summary was written after another one.
func (s *Summary) Newer(other *Summary) bool {
	return cmp.Or(cmp.Compare(s.Epoch, other.Epoch), cmp.Compare(s.WrittenAt, other.WrittenAt)) > 0
}

// Valid reports whether all amounts are possible.
func (s *Summary) Valid() bool {
	possible := func(amounts ...int64) bool {
		return !slices.ContainsFunc(amounts, func(a int64) bool { return a < 0 || a > maxAmount })
	}
	for _, c := range s.Classes {
		if !possible(c.Submissions, c.ObjectiveMS, c.Waiting, c.StarvedMS) {
			return false
		}
	}
	return possible(s.AcceptedBytes, s.AcceptedLimit) &&
		!slices.ContainsFunc(s.Pools, func(p Pool) bool { return !possible(p.Best, p.Recent) })
}

// DropSmallest removes the class with the least work, and reports whether there was one. Without it, more is admitted.
func (s *Summary) DropSmallest() bool {
	if len(s.Classes) == 0 {
		return false
	}
	smallest := 0
	for i := range s.Classes {
		if s.Classes[i].Waiting < s.Classes[smallest].Waiting {
			smallest = i
		}
	}
	s.Classes = slices.Delete(s.Classes, smallest, smallest+1)
	return true
}

// Request is a new submission.
type Request struct {
	ID, Queue, Pool string
	Priority        int
	BestEffort      bool
	// Objective is its latency objective, Chain the estimate of its longest chain of steps.
	Objective, Chain time.Duration
}

// Verdict is the decision on a submission.
type Verdict struct {
	Refused bool
	// End is the earliest time until its end, ValueEnd the time until its result has no value.
	End, ValueEnd time.Duration
	// RetryAfter is the time after which a refused submission is expected to be admitted; at least a second, in whole seconds.
	RetryAfter time.Duration
}

// Judge decides on a submission by a summary of the given age. The end is the earliest one: no more work of a higher
// priority arrives, the pool does its best rate, and the submission runs its chain at once when the work ahead is placed. The
// size of a submission does not count, so that large ones are refused no sooner than small ones.
func (s *Summary) Judge(age time.Duration, r Request) Verdict {
	i := slices.IndexFunc(s.Pools, func(p Pool) bool { return p.Name == r.Pool })
	if age >= MaxAge || i < 0 || s.Pools[i].Best <= 0 {
		return Verdict{}
	}
	pool := s.Pools[i]
	ahead, objective, starved := int64(0), r.Objective, false
	for i := range s.Classes {
		switch c := &s.Classes[i]; {
		case c.Pool != r.Pool || c.BestEffort != r.BestEffort:
		case c.Priority < r.Priority:
			ahead += c.Waiting
		case c.Queue == r.Queue && c.Priority == r.Priority:
			// The estimate of a single submission may be far too low.
			objective = max(objective, time.Duration(c.ObjectiveMS)*time.Millisecond)
			starved = time.Duration(c.StarvedMS)*time.Millisecond >= minStarved
		}
	}
	wait := float64(ahead)/float64(pool.Best) - max(0, age).Seconds()
	v := Verdict{End: duration(max(0, wait)) + r.Chain, ValueEnd: LateFactor * objective}
	limit := time.Duration(margin * float64(v.ValueEnd))
	if !starved || v.End <= limit {
		return v
	}
	v.Refused = true
	slowdown := min(maxSlowdown, max(1, float64(pool.Best)/float64(max(1, pool.Recent))))
	v.RetryAfter = retryAfter(time.Duration(slowdown*float64(v.End-limit)), r.ID)
	return v
}

// retryAfter returns a retry time in whole seconds. Those of different submissions are spread.
func retryAfter(d time.Duration, id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := 1 + retrySpread*float64(h.Sum32())/math.MaxUint32
	whole := time.Duration(math.Ceil(d.Seconds()*spread)) * time.Second
	return min(max(time.Second, whole), maxRetryAfter)
}

// maxWait limits waits, so that sums of them do not overflow.
const maxWait = 24 * time.Hour

func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}
