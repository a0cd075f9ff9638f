// Package speculation decides which running tasks get a second attempt (a copy) on another worker. It answers load in which a
// few tasks in a hundred take several times as long as their kind, and in which workers become slow or stop answering for some
// seconds: the submissions that wait for these tasks end late, although a copy started early enough would still be in time. It
// also bounds what copies cost where they do not help, because a task is slow on every worker. It uses no clock, network or
// goroutine.
package speculation

import (
	"slices"
	"time"
)

// Cause is why a task gets a copy.
type Cause uint8

const (
	// None: the task gets no copy.
	None Cause = iota
	// Silent: the worker does not answer.
	Silent
	// Worker: the task is slow on a worker whose other tasks are slow, too, or have failed.
	Worker
	// Task: the task alone is slow. It may be so on every worker.
	Task
	causes
)

var causeNames = [causes]string{None: "none", Silent: "silent-worker", Worker: "slow-worker", Task: "slow-task"}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

const (
	// startDelay is the time from the decision to the start of a copy: it is stored first.
	startDelay = 150 * time.Millisecond
	// minSilence is how long a worker must not have answered. Single calls are lost.
	minSilence = 400 * time.Millisecond
	// silentRemaining is how long a task on a silent worker is expected to take at least until its end or loss is known: its
	// lease ends after 5 s or more.
	silentRemaining = 3 * time.Second
	// A task is slow if it is expected to take taskFactor times as long as its kind in all, or if it has run for overdueFactor
	// times as long and reports no progress; on a worker that is known to be bad, workerFactor is enough.
	taskFactor    = 3.0
	overdueFactor = 2.0
	workerFactor  = 2.0
	// minElapsed is the part of the expected duration before which progress says nothing about a task: it is reported in whole
	// percent, and later than the start.
	minElapsed = 0.25
	// minGain is the least time that a copy is expected to save, as a part of the expected duration.
	minGain = 0.5
	// Copies for the cause Task take trialShare of the budget until minOutcomes of them have ended, and while less than
	// minWonShare of them have ended before the first attempt.
	trialShare  = 0.25
	minOutcomes = 8.0
	minWonShare = 0.3
	// outcomeMemory is the number of outcomes beyond which older ones are forgotten.
	outcomeMemory = 64.0
)

// Attempt describes a running attempt.
type Attempt struct {
	// Elapsed is the time since its start.
	Elapsed time.Duration
	// Percent is the progress that the worker reported Age ago.
	Percent int
	Age     time.Duration
	// Expected is how long a task of its kind takes; 0 if that is not known.
	Expected   time.Duration
	MilliCores int64
	// Silence is for how long the worker has not answered; 0 if it answers.
	Silence time.Duration
	// BadWorker is set if the other tasks on the worker are slow, too, or tasks there have failed recently.
	BadWorker bool
}

// Slowness returns how many times as long as its kind the attempt takes, by its progress; 0 if that is unknown.
func (a *Attempt) Slowness() float64 {
	if a.Expected <= 0 || a.Percent <= 0 {
		return 0
	}
	return float64(a.total()) / float64(a.Expected)
}

// total returns the expected duration of the attempt by its progress, which must not be 0.
func (a *Attempt) total() time.Duration {
	return max(0, a.Elapsed-a.Age) / time.Duration(a.Percent) * 100
}

// remaining returns how much longer the attempt is expected to run.
func (a *Attempt) remaining() time.Duration {
	r := time.Duration(0)
	switch {
	case a.Percent > 0:
		r = a.total() - a.Elapsed
	case a.Elapsed > a.Expected:
		// The longer a task has run beyond its kind, the longer it goes on.
		r = a.Elapsed
	default:
		r = a.Expected - a.Elapsed
	}
	if a.Silence >= minSilence {
		r = max(r, silentRemaining)
	}
	return max(0, r)
}

// cause returns why the attempt should get a copy, or None.
func (a *Attempt) cause() Cause {
	if a.Expected <= 0 || a.gain() < time.Duration(minGain*float64(a.Expected)) {
		return None
	}
	elapsed := float64(a.Elapsed) / float64(a.Expected)
	slowness := a.Slowness()
	switch {
	case a.Silence >= minSilence:
		return Silent
	case a.BadWorker && (elapsed >= minElapsed && slowness >= workerFactor || elapsed >= workerFactor):
		return Worker
	case elapsed >= minElapsed && slowness >= taskFactor, elapsed >= overdueFactor && a.Percent == 0:
		return Task
	}
	return None
}

// gain returns by how much earlier a copy is expected to end.
func (a *Attempt) gain() time.Duration { return a.remaining() - a.Expected - startDelay }

// Budget is what copies may take of a pool, in thousandths of a core.
type Budget struct {
	// Total is the limit, Used what copies take, and UsedForTasks what those for the cause Task take of it.
	Total, Used, UsedForTasks int64
	// Scarce is set while work that should run now finds no room. Only the tasks of silent workers get copies then.
	Scarce bool
}

// Decider decides and remembers whether copies have helped.
type Decider struct{ won, ended float64 }

// Choice is a task that gets a copy.
type Choice struct {
	// Index is that of the attempt.
	Index int
	Cause Cause
}

// Choose returns the attempts that get a copy now, the most useful first.
func (d *Decider) Choose(attempts []Attempt, b Budget) []Choice {
	var out []Choice
	for i := range attempts {
		if c := attempts[i].cause(); c == Silent || c != None && !b.Scarce {
			out = append(out, Choice{Index: i, Cause: c})
		}
	}
	slices.SortStableFunc(out, func(x, y Choice) int {
		if x.Cause != y.Cause {
			return int(x.Cause) - int(y.Cause)
		}
		return int(attempts[y.Index].gain()/time.Microsecond - attempts[x.Index].gain()/time.Microsecond)
	})
	limit := d.taskLimit(b.Total)
	chosen := out[:0]
	for _, c := range out {
		cores := max(0, attempts[c.Index].MilliCores)
		if b.Used+cores > b.Total || c.Cause == Task && b.UsedForTasks+cores > limit {
			continue
		}
		b.Used += cores
		if c.Cause == Task {
			b.UsedForTasks += cores
		}
		chosen = append(chosen, c)
	}
	return chosen
}

// taskLimit returns the part of the budget for copies of tasks that are slow alone.
func (d *Decider) taskLimit(total int64) int64 {
	if d.ended < minOutcomes || d.won < minWonShare*d.ended {
		return int64(trialShare * float64(total))
	}
	return total
}

// Ended notes the outcome of a copy: whether it ended before the first attempt.
func (d *Decider) Ended(c Cause, won bool) {
	if c != Task {
		return
	}
	if d.ended >= outcomeMemory {
		d.won, d.ended = d.won*(outcomeMemory-1)/outcomeMemory, outcomeMemory-1
	}
	d.ended++
	if won {
		d.won++
	}
}
