package workerhealth

import (
	"math"
	"time"

	"clementinewalk.example/clementinewalk/internal/durations"
)

const (
	// slowFactor is how many times as long as its kind a task takes that is slow.
	slowFactor = 2.0
	// minElapsed is the part of the expected duration before which progress says nothing about a task: it is reported in whole
	// percent, and later than the start.
	minElapsed = 0.25
	// minSlow is the number of slow tasks that show that a worker is slow, if most of those that are known there are slow.
	minSlow = 2
	// slowMemory and normalMemory are how long an ended task counts. What was normal before the running tasks had begun says nothing
	// about a worker that has become slow since, see also OwnPace.
	slowMemory   = 3 * time.Second
	normalMemory = 500 * time.Millisecond
	// One slow task is enough if it is the only task that is known on the worker, and if of at least minKnown tasks of its kind
	// elsewhere at most rareShare were slow. A kind of which more than usualShare are slow elsewhere says nothing.
	minKnown   = 50.0
	rareShare  = 0.01
	usualShare = 0.1
	// maxEnded limits the ended tasks that are kept of a worker.
	maxEnded = 8
	// kindMemory is the number of ends of a kind beyond which older ones are forgotten.
	kindMemory = 500.0
	// maxKinds limits the kinds that are kept.
	maxKinds = 512
	// outcomeMemory is the number of outcomes of tasks beyond which older ones are forgotten.
	outcomeMemory = 2000.0
	// maxFailureShare bounds the share of failures that counts as usual.
	maxFailureShare = 0.5
)

// Pace is how long a task takes compared with its kind.
type Pace uint8

const (
	// PaceUnknown: too little is known of the task.
	PaceUnknown Pace = iota
	// PaceNormal: the task takes about as long as its kind.
	PaceNormal
	// PaceSlow: it takes much longer.
	PaceSlow
)

// Running returns the pace of a running task by its progress in percent after the time elapsed; expected is how long a task of its
// kind takes, 0 if that is not known.
func Running(elapsed, expected time.Duration, percent int) Pace {
	if expected <= 0 || elapsed < time.Duration(minElapsed*float64(expected)) {
		return PaceUnknown
	}
	slow := time.Duration(slowFactor * float64(expected))
	switch {
	case percent <= 0:
		// Some tasks report no progress.
		if elapsed >= slow {
			return PaceSlow
		}
		return PaceUnknown
	// Progress is rounded down.
	case elapsed*100/time.Duration(percent+1) >= slow:
		return PaceSlow
	}
	return PaceNormal
}

// Ended returns the pace of a task that took at most the time elapsed and whose pace was last before it ended. Its end may have
// been read late, so a long time alone says nothing.
func Ended(elapsed, expected time.Duration, last Pace) Pace {
	switch {
	case expected <= 0:
		return PaceUnknown
	case elapsed < time.Duration(slowFactor*float64(expected)):
		return PaceNormal
	case last == PaceSlow:
		return PaceSlow
	}
	return PaceUnknown
}

// Task is a task on a worker whose pace is known.
type Task struct {
	Kind durations.Kind
	Slow bool
}

// Fleet holds what is usual on the workers that are not excluded: how many of the tasks of each kind are slow, and how many tasks
// fail. The zero value knows nothing.
type Fleet struct {
	shares map[durations.Kind]*share
	ends   int64
	// failures and outcomes count the failures and the outcomes of all tasks.
	failures, outcomes float64
}

type share struct {
	slow, all float64
	lastUse   int64
}

// Ended adds the end of a task.
func (f *Fleet) Ended(t Task) {
	f.ends++
	s := f.shares[t.Kind]
	if s == nil {
		if f.shares == nil {
			f.shares = map[durations.Kind]*share{}
		}
		if len(f.shares) >= maxKinds {
			f.forgetOldest()
		}
		s = &share{}
		f.shares[t.Kind] = s
	}
	if s.all >= kindMemory {
		s.slow, s.all = s.slow/2, s.all/2
	}
	s.lastUse = f.ends
	s.all++
	if t.Slow {
		s.slow++
	}
}

func (f *Fleet) forgetOldest() {
	var oldest durations.Kind
	first := f.ends + 1
	for kind, s := range f.shares {
		if s.lastUse < first {
			oldest, first = kind, s.lastUse
		}
	}
	delete(f.shares, oldest)
}

// Outcome adds the success or the failure of a task.
func (f *Fleet) Outcome(failed bool) {
	if f.outcomes >= outcomeMemory {
		f.failures, f.outcomes = f.failures/2, f.outcomes/2
	}
	f.outcomes++
	if failed {
		f.failures++
	}
}

// failuresInRow returns the number of failures in a row that are unlikely on a good worker.
func (f *Fleet) failuresInRow() int {
	if f.outcomes < minKnown {
		return minFailuresInRow
	}
	share := min(maxFailureShare, f.failures/f.outcomes)
	n, p := minFailuresInRow, math.Pow(share, minFailuresInRow)
	for p > chance {
		n, p = n+1, p*share
	}
	return n
}

// slowShare returns the share of the tasks of a kind that are slow, and false if too few are known.
func (f *Fleet) slowShare(kind durations.Kind) (float64, bool) {
	s := f.shares[kind]
	if s == nil || s.all < minKnown {
		return 0, false
	}
	return s.slow / s.all, true
}

// OwnPace reports whether a running slow task is slow for reasons of its own: a task that has begun after it on the same worker took
// its usual time.
func OwnPace(p Pace, begun time.Duration, ended Pace, endedBegun time.Duration) bool {
	return p == PaceSlow && ended == PaceNormal && begun <= endedBegun
}

// Paces applies what the newest answer of the worker shows of the running tasks that were placed since ProbationSince, and those
// that have just ended. It returns the numbers of slow and of all known tasks, and whether they exclude the worker.
func (w *Worker) Paces(now time.Duration, f *Fleet, running, ended []Task) (slow, known int, excluded bool) {
	for _, t := range ended {
		if e := (endedTask{at: now, task: t}); len(w.ended) < maxEnded {
			w.ended = append(w.ended, e)
		} else {
			w.ended[w.nextEnded%maxEnded] = e
			w.nextEnded++
		}
	}
	if w.reason != None && now < w.until {
		return 0, 0, false
	}
	alone := false
	count := func(t Task) {
		share, ok := f.slowShare(t.Kind)
		if ok && share > usualShare {
			return
		}
		known++
		if t.Slow {
			slow++
			alone = ok && share <= rareShare
		}
	}
	for _, t := range running {
		count(t)
	}
	for _, e := range w.ended {
		memory := normalMemory
		if e.task.Slow {
			memory = slowMemory
		}
		if now-e.at < memory {
			count(e.task)
		}
	}
	switch {
	case slow >= minSlow && 2*slow > known:
	case slow == 1 && known == 1 && (alone || w.reason == Slow || w.reason == Stalled):
		// The probe of a worker that was slow is not alone.
	default:
		return slow, known, false
	}
	return slow, known, w.exclude(now, Slow, firstExclusion[Slow])
}
