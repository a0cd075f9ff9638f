package placement

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// BestFit is the baseline policy. It places tasks in the order of submission, each on the worker with the least free
// capacity left.
type BestFit struct{}

// Name implements Policy.
func (BestFit) Name() string { return "best-fit" }

// Order implements Policy.
func (BestFit) Order(_ time.Time, tasks []Task) {
	sort.SliceStable(tasks, func(i, k int) bool { return tasks[i].Submitted.Before(tasks[k].Submitted) })
}

// Place implements Policy.
func (BestFit) Place(s *State, t Task) (Decision, error) {
	return chooseWorker(s, t, func(_ int, w *Worker) score { return score{load: -usedShare(w, t.Size)} },
		func(w *Worker) string {
			return fmt.Sprintf("least free capacity, %.0f%% used", 100*usedShare(w, t.Size))
		})
}

// Spread distributes the tasks of a job over racks in proportion to their free capacity, then over workers, and
// otherwise balances the load. The loss of a rack then stops few tasks of each job.
type Spread struct{}

// Name implements Policy.
func (Spread) Name() string { return "spread" }

// Order implements Policy.
func (Spread) Order(now time.Time, tasks []Task) { BestFit{}.Order(now, tasks) }

// Place implements Policy.
func (Spread) Place(s *State, t Task) (Decision, error) {
	shares := s.rackShares(t)
	return chooseWorker(s, t, func(i int, w *Worker) score {
		return score{rackShare: shares[s.racks.ofWorker[i]],
			attemptsOnWorker: s.jobAttempts[jobLocation{job: t.Job, rack: -1, worker: w.ID}],
			load:             usedShare(w, t.Size)}
	}, func(w *Worker) string {
		return fmt.Sprintf("least share of the room in rack %d, %.0f%% used", w.Rack, 100*usedShare(w, t.Size))
	})
}

// LeastLaxity places tasks like Spread, those with the lowest laxity first.
type LeastLaxity struct{ Spread }

// Name implements Policy.
func (LeastLaxity) Name() string { return "least-laxity" }

// Order implements Policy. Tasks without a deadline come last, by urgency and then by the time of submission. Sorting
// small keys and moving each task once is several times faster than sorting the tasks, which are large.
func (LeastLaxity) Order(now time.Time, tasks []Task) {
	keys := make([]orderKey, len(tasks))
	for i := range tasks {
		t := &tasks[i]
		keys[i] = orderKey{noDeadline: t.Deadline.IsZero(), rank: t.Rank, submitted: t.Submitted, index: i}
		if !keys[i].noDeadline {
			keys[i].laxity = Laxity(now, *t)
		}
	}
	slices.SortFunc(keys, orderKey.compare)
	old := slices.Clone(tasks)
	for i, k := range keys {
		tasks[i] = old[k.index]
	}
}

// orderKey is the sort key of a task. The index keeps the order of equal tasks.
type orderKey struct {
	laxity     time.Duration
	submitted  time.Time
	rank       int
	index      int
	noDeadline bool
}

// compare orders a before b if the result is negative.
func (a orderKey) compare(b orderKey) int {
	switch {
	case a.noDeadline != b.noDeadline:
		if a.noDeadline {
			return 1
		}
		return -1
	case a.laxity != b.laxity:
		return cmp.Compare(a.laxity, b.laxity)
	case a.rank != b.rank:
		return cmp.Compare(a.rank, b.rank)
	}
	if c := a.submitted.Compare(b.submitted); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// Laxity returns how long a task can still wait and nevertheless meet its deadline; it is negative if the task is late.
func Laxity(now time.Time, t Task) time.Duration { return t.Deadline.Sub(now) - t.Remaining }

// score ranks candidates; the lowest is the best.
type score struct {
	// rackShare is the job's share of the worker's rack, attemptsOnWorker the number of its attempts on the worker, and
	// load the share of the worker that is used.
	rackShare        float64
	attemptsOnWorker int
	load             float64
}

func (a score) less(b score) bool {
	if a.rackShare != b.rackShare {
		return a.rackShare < b.rackShare
	}
	if a.attemptsOnWorker != b.attemptsOnWorker {
		return a.attemptsOnWorker < b.attemptsOnWorker
	}
	return a.load < b.load
}

// usedShare returns the largest share of any resource that is used on w once it holds size as well.
func usedShare(w *Worker, size resource.Vector) float64 {
	after, limit := w.Used.Add(size), w.Allocatable()
	share := func(a, l int64) float64 {
		if l <= 0 {
			return 0
		}
		return float64(a) / float64(l)
	}
	return max(share(after.MilliCores, limit.MilliCores), share(after.MemoryMB, limit.MemoryMB),
		share(after.Accelerators, limit.Accelerators))
}

// chooseWorker returns the candidate with the lowest score. reasonFor is called for the chosen worker only.
func chooseWorker(s *State, t Task, scoreOf func(int, *Worker) score,
	reasonFor func(*Worker) string) (Decision, error) {
	if err := s.Usage.Check(t); err != nil {
		return Decision{}, err
	}
	best, bestScore, candidates, anyLargeEnough := -1, score{}, 0, false
	var counts map[Reason]int
	refuse := func(r Reason) {
		if counts == nil {
			counts = map[Reason]int{}
		}
		counts[r]++
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if !t.Size.Fits(w.Allocatable()) {
			refuse(ReasonTooLarge)
			continue
		}
		anyLargeEnough = true
		if r := w.exclusionReason(); r != "" {
			refuse(r)
			continue
		}
		if !t.Size.Fits(w.Free()) {
			refuse(ReasonNoRoom)
			continue
		}
		candidates++
		if sc := scoreOf(i, w); best < 0 || sc.less(bestScore) {
			best, bestScore = i, sc
		}
	}
	if best < 0 {
		return Decision{}, newRefusal(t, counts, anyLargeEnough, len(s.Workers))
	}
	w := &s.Workers[best]
	return Decision{Worker: w.ID, Reason: reasonFor(w), Candidates: candidates}, nil
}

func newRefusal(t Task, counts map[Reason]int, anyLargeEnough bool, workers int) error {
	r := &Refusal{Task: t, Counts: counts, Reason: ReasonNoRoom}
	switch {
	case workers == 0:
		r.Reason = ReasonNoWorkers
	case !anyLargeEnough:
		r.Reason, r.Unschedulable = ReasonTooLarge, true
	case counts[ReasonNoRoom] == 0:
		r.Reason = mostCommon(counts)
	}
	return r
}

func mostCommon(counts map[Reason]int) Reason {
	var best Reason
	for _, r := range []Reason{ReasonUnfenced, ReasonLeaving, ReasonDraining, ReasonQuarantined} {
		if counts[r] > counts[best] {
			best = r
		}
	}
	return best
}
