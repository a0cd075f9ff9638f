package placement

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// BestFit is the baseline: tasks in order of submission, each on the worker that it leaves with the least free capacity.
type BestFit struct{}

// Name implements Policy.
func (BestFit) Name() string { return "best-fit" }

// Order implements Policy.
func (BestFit) Order(_ time.Time, tasks []Task) {
	sort.SliceStable(tasks, func(i, k int) bool { return tasks[i].Submitted.Before(tasks[k].Submitted) })
}

// Place implements Policy.
func (BestFit) Place(s *State, t Task) (Decision, error) {
	return choose(s, t, func(_ int, w *Worker) score { return score{load: -used(w, t.Size)} },
		func(w *Worker) string { return fmt.Sprintf("least free capacity, %.0f%% used", 100*used(w, t.Size)) })
}

// Spread keeps the tasks of a job apart, first over racks in proportion to their room and then over workers, and balances the load otherwise. The loss of a
// rack then stops few tasks of each job.
type Spread struct{}

// Name implements Policy.
func (Spread) Name() string { return "spread" }

// Order implements Policy.
func (Spread) Order(now time.Time, tasks []Task) { BestFit{}.Order(now, tasks) }

// Place implements Policy.
func (Spread) Place(s *State, t Task) (Decision, error) {
	shares := s.rackShares(t)
	return choose(s, t, func(i int, w *Worker) score {
		return score{rack: shares[s.racks.ofWorker[i]],
			worker: s.spread[spreadKey{job: t.Job, rack: -1, worker: w.ID}], load: used(w, t.Size)}
	}, func(w *Worker) string {
		return fmt.Sprintf("least share of the room in rack %d, %.0f%% used", w.Rack, 100*used(w, t.Size))
	})
}

// LeastLaxity places as Spread does, the tasks with the least time to spare first.
type LeastLaxity struct{ Spread }

// Name implements Policy.
func (LeastLaxity) Name() string { return "least-laxity" }

// Order implements Policy. Tasks without a deadline come last, by urgency and then by time of submission. Sorting small keys and moving
// each task once is several times faster than sorting the tasks, which are large.
func (LeastLaxity) Order(now time.Time, tasks []Task) {
	keys := make([]orderKey, len(tasks))
	for i := range tasks {
		t := &tasks[i]
		keys[i] = orderKey{endless: t.Deadline.IsZero(), rank: t.Rank, submitted: t.Submitted, index: i}
		if !keys[i].endless {
			keys[i].laxity = Laxity(now, *t)
		}
	}
	slices.SortFunc(keys, orderKey.compare)
	old := slices.Clone(tasks)
	for i, k := range keys {
		tasks[i] = old[k.index]
	}
}

// orderKey is what the order of a task depends on. The index keeps equal tasks in their order.
type orderKey struct {
	laxity    time.Duration
	submitted time.Time
	rank      int
	index     int
	endless   bool
}

func (a orderKey) compare(b orderKey) int {
	switch {
	case a.endless != b.endless:
		if a.endless {
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

// Laxity is the time that a task can still wait and end before its deadline; negative if it is late.
func Laxity(now time.Time, t Task) time.Duration { return t.Deadline.Sub(now) - t.Remaining }

// score orders candidates, the lowest first.
type score struct {
	// rack is the share of a rack, worker a number of tasks.
	rack   float64
	worker int
	load   float64
}

func (a score) less(b score) bool {
	if a.rack != b.rack {
		return a.rack < b.rack
	}
	if a.worker != b.worker {
		return a.worker < b.worker
	}
	return a.load < b.load
}

// used returns the largest share of a resource that is occupied on w once it holds size as well.
func used(w *Worker, size resource.Vector) float64 {
	after, limit := w.Used.Add(size), w.Limit()
	share := func(a, l int64) float64 {
		if l <= 0 {
			return 0
		}
		return float64(a) / float64(l)
	}
	return max(share(after.MilliCores, limit.MilliCores), share(after.MemoryMB, limit.MemoryMB),
		share(after.Accelerators, limit.Accelerators))
}

func choose(s *State, t Task, rate func(int, *Worker) score, why func(*Worker) string) (Decision, error) {
	if err := s.Usage.Check(t); err != nil {
		return Decision{}, err
	}
	best, bestScore, candidates, possible := -1, score{}, 0, false
	var counts map[Reason]int
	refuse := func(r Reason) {
		if counts == nil {
			counts = map[Reason]int{}
		}
		counts[r]++
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if !t.Size.Fits(w.Limit()) {
			refuse(ReasonTooLarge)
			continue
		}
		possible = true
		if r := w.exclusion(); r != "" {
			refuse(r)
			continue
		}
		if !t.Size.Fits(w.Free()) {
			refuse(ReasonNoRoom)
			continue
		}
		candidates++
		if sc := rate(i, w); best < 0 || sc.less(bestScore) {
			best, bestScore = i, sc
		}
	}
	if best < 0 {
		return Decision{}, refusal(t, counts, possible, len(s.Workers))
	}
	w := &s.Workers[best]
	return Decision{Worker: w.ID, Reason: why(w), Candidates: candidates}, nil
}

func refusal(t Task, counts map[Reason]int, possible bool, workers int) error {
	r := &Refusal{Task: t, Counts: counts, Reason: ReasonNoRoom}
	switch {
	case workers == 0:
		r.Reason = ReasonNoWorkers
	case !possible:
		r.Reason, r.Parked = ReasonTooLarge, true
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
