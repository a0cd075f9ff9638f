// Package workerhealth decides which workers get no tasks, and which get few, because of what their tasks and calls show. It
// answers load on hundreds of workers of which a few at any time run everything several times slower, do not respond for
// seconds, fail what they start, refuse calls while their health check passes, or go down and come back every few seconds.
// Tasks that go on being placed there end late or fail, and all of the load that returns at once hits a worker that is still
// bad. Single tasks are slow and single calls are lost on good workers, too; these must not exclude any. The package uses no
// clock, network or goroutine.
package workerhealth

import (
	"math/bits"
	"slices"
	"time"
)

// Reason is why a worker is excluded.
type Reason uint8

const (
	// None: the worker is not excluded.
	None Reason = iota
	// Slow: its tasks take much longer than their kinds.
	Slow
	// Stalled: a task makes no progress.
	Stalled
	// Flapping: it was silent repeatedly.
	Flapping
	// Failing: attempts of several submissions fail.
	Failing
	// Refusing: it refuses starts although it renews leases.
	Refusing
	// Full: it refuses starts for lack of room that it should have.
	Full
	// Mute: starts get no answer, or are carried out too late, although it renews leases.
	Mute
	// Reasons is the number of reasons.
	Reasons
)

var reasonNames = [Reasons]string{None: "none", Slow: "slow", Stalled: "stalled", Flapping: "flapping", Failing: "failing",
	Refusing: "refusing", Full: "full", Mute: "mute"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// firstExclusion is the duration of the first exclusion for each reason. Workers are slow for about 6 s at a time, so the second
// or third exclusion outlasts that; a probe that is too early costs one task.
var firstExclusion = [Reasons]time.Duration{Slow: 2 * time.Second, Stalled: 3 * time.Second, Flapping: time.Second,
	Failing: 4 * time.Second, Refusing: 1500 * time.Millisecond, Full: time.Second, Mute: time.Second}

// pauses is how long a worker gets no task at all after a refusal: another start would be refused as well.
var pauses = [Reasons]time.Duration{Refusing: 1500 * time.Millisecond, Full: 400 * time.Millisecond, Mute: time.Second}

const (
	// MaxExclusion is the longest exclusion, Period the time without evidence after the last one from which the next is the
	// first again. Within the period, each exclusion is twice as long as the one before.
	MaxExclusion = 16 * time.Second
	Period       = 20 * time.Second
	// stages is the number of stages of a probation. In each, a worker gets twice as many tasks as in the one before, first one,
	// and as many must succeed.
	stages = 3
	// A worker is failing after as many failures in a row, of several submissions, as happen on a good worker with a probability of
	// chance at most; at least minFailuresInRow. Of one submission, failuresOfOne more are needed; if there were successes in
	// between, moreOfLast more of the last eight tasks must have failed.
	chance           = 0.001
	minFailuresInRow = 2
	failuresOfOne    = 2
	moreOfLast       = 2
	// pausesToExclude is the number of pauses, without an accepted start in between, for which a worker is excluded. Single calls
	// are lost, and a worker may free its room late.
	pausesToExclude = 3
	// unansweredToPause is the number of starts without an answer in a row after which a worker is paused: under poor network
	// conditions, one call in twenty has none.
	unansweredToPause = 2
	// minSilence is the shortest silence that counts. Single calls are lost.
	minSilence = 400 * time.Millisecond
	// minAnswering is how long a worker must answer between two silences; otherwise they are parts of one.
	minAnswering = time.Second
	// flaps is the number of silences within the period from which a worker is flapping.
	flaps = 2
	// maxShare is the part of a pool that may be excluded or on probation for slowness, failures or flapping. If more workers
	// are bad at the same time, they are not the cause.
	maxShare = 4
)

// State is what a worker may get.
type State uint8

const (
	// Usable: any task.
	Usable State = iota
	// Probation: a few probes.
	Probation
	// Excluded: only tasks that find no room elsewhere and have waited.
	Excluded
	// Paused: nothing, because it refuses starts.
	Paused
	// States is the number of states.
	States
)

var stateNames = [States]string{Usable: "usable", Probation: "probation", Excluded: "excluded", Paused: "paused"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Worker is the health of one worker. The zero value is a good one. The fields that State reads come first, because a plan goes
// through all workers.
type Worker struct {
	// reason is that of the newest exclusion until the worker is readmitted. It began at since and ends at until, when the
	// probation begins.
	reason Reason
	// crowded is set while too many workers of the pool are bad, spared if this one is used all the same.
	crowded, spared bool
	// mixed is set if the failures among the last tasks belong to several submissions, and otherwise to failed.
	mixed bool
	// outcomes holds those of the last eight tasks; a set bit is a failure.
	outcomes uint8
	// pausedUntil is when the pause ends.
	pausedUntil, until, since time.Duration
	// failures counts the failures in a row.
	failures int
	// stage and successes are those of the probation.
	stage, successes int
	// exclusions counts those within the period.
	exclusions int
	failed     string
	// paused counts the pauses, unanswered the starts without an answer, both since the last start that was accepted.
	paused, unanswered int
	// silentSince is when the present silence began; 0 if the worker answers. silences holds the ends of the last ones.
	silentSince time.Duration
	silences    [4]time.Duration
	// ended holds the newest ends of tasks whose pace is known.
	ended     []endedTask
	nextEnded int
}

type endedTask struct {
	at   time.Duration
	task Task
}

// State returns what the worker may get.
func (w *Worker) State(now time.Duration) State {
	switch {
	case now < w.pausedUntil:
		return Paused
	case w.reason == None || w.spared:
		return Usable
	case now < w.until:
		return Excluded
	}
	return Probation
}

// Reason returns why the worker is excluded or on probation, or None.
func (w *Worker) Reason() Reason { return w.reason }

// Until returns when the newest exclusion ends.
func (w *Worker) Until() time.Duration { return w.until }

// Exclusions returns the number of exclusions within the period.
func (w *Worker) Exclusions() int { return w.exclusions }

// RecentlyFailed reports whether the last attempt on the worker failed.
func (w *Worker) RecentlyFailed() bool { return w.failures > 0 }

// Suspect reports whether anything speaks against the worker.
func (w *Worker) Suspect() bool { return w.failures > 0 || w.reason != None && !w.spared }

// BadPace reports whether the worker is known to be the cause of slow tasks.
func (w *Worker) BadPace() bool { return (w.reason == Slow || w.reason == Stalled) && !w.crowded }

// Allowance returns how many tasks a worker on probation may have that were placed since the time ProbationSince.
func (w *Worker) Allowance() int { return 1 << w.stage }

// ProbationSince returns when the probation began. What was placed before says nothing about the worker as it is now.
func (w *Worker) ProbationSince() time.Duration { return w.until }

// counts reports whether the outcome of a task that was placed at the time is evidence.
func (w *Worker) counts(now, placedAt time.Duration) bool {
	return w.reason == None || now >= w.until && placedAt >= w.until
}

// exclude begins an exclusion, and reports that.
func (w *Worker) exclude(now time.Duration, r Reason, first time.Duration) bool {
	if w.exclusions > 0 && now-w.until >= Period {
		w.exclusions = 0
	}
	w.reason, w.since, w.stage, w.successes = r, now, 0, 0
	w.until = now + min(MaxExclusion, first<<min(w.exclusions, 10))
	w.exclusions++
	w.paused, w.unanswered = 0, 0
	w.ended, w.nextEnded = w.ended[:0], 0
	return true
}

func (w *Worker) readmit() {
	w.reason, w.crowded, w.spared, w.stage, w.successes = None, false, false, 0, 0
	w.outcomes = 0
}

// Advance ends a probation during which nothing has happened for a period, and reports whether the worker is readmitted.
func (w *Worker) Advance(now time.Duration) bool {
	if w.reason == None || now < w.until+Period {
		return false
	}
	w.readmit()
	return true
}

// Succeeded applies the success of a task, and reports whether the worker is readmitted. slow is set if it took much longer than
// its kind.
func (w *Worker) Succeeded(now, placedAt time.Duration, slow bool) bool {
	w.failures = 0
	if w.outcomes <<= 1; w.outcomes == 0 {
		w.mixed = false
	}
	if w.reason == None || slow || !w.counts(now, placedAt) {
		return false
	}
	w.successes++
	if w.successes < w.Allowance() {
		return false
	}
	w.stage, w.successes = w.stage+1, 0
	if w.stage < stages {
		return false
	}
	w.readmit()
	return true
}

// Failed applies the failure of a task of a submission, and reports whether it excludes the worker. repeated is set if the task has
// failed before, which does not count against a worker without failures: the cause is more likely the task.
func (w *Worker) Failed(now, placedAt time.Duration, f *Fleet, submission string, repeated bool) bool {
	if repeated && w.failures == 0 || !w.counts(now, placedAt) {
		return false
	}
	w.mixed = w.mixed || w.outcomes != 0 && w.failed != submission
	w.failed = submission
	w.failures++
	w.outcomes = w.outcomes<<1 | 1
	needed := f.failuresInRow()
	if w.reason == Failing || w.mixed && w.failures >= needed || w.failures >= needed+failuresOfOne ||
		bits.OnesCount8(w.outcomes) >= needed+moreOfLast && w.mixed {
		w.outcomes = 0
		return w.exclude(now, Failing, firstExclusion[Failing])
	}
	return false
}

// Refused applies the refusal of a start for one of the reasons Refusing, Full and Mute, and reports whether it excludes the
// worker. Mute stands for a start that arrived too late.
func (w *Worker) Refused(now time.Duration, r Reason) bool {
	if r == Mute {
		return w.Unanswered(now)
	}
	return w.pause(now, r)
}

// Unanswered applies a start without an answer, and reports whether it excludes the worker.
func (w *Worker) Unanswered(now time.Duration) bool {
	if w.unanswered++; w.unanswered < unansweredToPause || w.silentSince != 0 {
		return false
	}
	// Short silences end before a lease call fails.
	flaps := now >= w.pausedUntil && w.returned(now, now)
	return w.pause(now, Mute) || flaps
}

func (w *Worker) pause(now time.Duration, r Reason) bool {
	// The starts that were sent together are refused together.
	repeated := now < w.pausedUntil
	w.pausedUntil = max(w.pausedUntil, now+pauses[r])
	if repeated || w.reason != None && now < w.until {
		return false
	}
	if w.paused++; r != Refusing && w.paused < pausesToExclude {
		return false
	}
	return w.exclude(now, r, firstExclusion[r])
}

// Accepted applies the confirmation of a start.
func (w *Worker) Accepted() { w.paused, w.unanswered = 0, 0 }

// StalledTask applies a task without progress that was placed at the time, and reports whether it excludes the worker.
func (w *Worker) StalledTask(now, placedAt time.Duration) bool {
	return w.counts(now, placedAt) && w.exclude(now, Stalled, firstExclusion[Stalled])
}

// Silent notes that the worker does not answer.
func (w *Worker) Silent(now time.Duration) {
	if w.silentSince == 0 {
		w.silentSince = now
	}
}

// Answered notes that the worker answers, and reports whether it is excluded because it flaps.
func (w *Worker) Answered(now time.Duration) bool {
	since := w.silentSince
	w.silentSince = 0
	return since != 0 && now-since >= minSilence && w.returned(now, since)
}

// Restarted notes that the worker has restarted, and reports whether it is excluded because it flaps. Nothing else that is known
// of it holds any more.
func (w *Worker) Restarted(now time.Duration) bool {
	silences, exclusions, until := w.silences, w.exclusions, w.until
	keep := w.reason == Flapping
	stage, successes, since := w.stage, w.successes, w.since
	*w = Worker{silences: silences, exclusions: exclusions, until: until}
	if keep {
		w.reason, w.since, w.stage, w.successes = Flapping, since, stage, successes
	}
	return w.returned(now, now)
}

// returned counts a silence that has begun at since and ended now, unless it is part of the one before. The second one within the period begins a probation without an exclusion, because most
// workers stay up then.
func (w *Worker) returned(now, since time.Duration) bool {
	if w.silences[0] != 0 && since-w.silences[0] < minAnswering {
		w.silences[0] = now
		return false
	}
	n := 1
	for _, at := range w.silences {
		if at != 0 && now-at < Period {
			n++
		}
	}
	copy(w.silences[1:], w.silences[:])
	w.silences[0] = now
	switch {
	case n < flaps, w.reason != None && w.reason != Flapping && now < w.until:
		return false
	case n == flaps:
		return w.exclude(now, Flapping, 0)
	}
	return w.exclude(now, Flapping, firstExclusion[Flapping])
}

// Limit spares the least bad of the bad workers of a pool, so that at most a part of its workers, but at least one, are excluded or
// on probation for slowness, failures or flapping. size is the number of the workers of the pool that could get tasks otherwise.
// It reorders bad.
func Limit(bad []*Worker, size int) {
	n := 0
	for _, w := range bad {
		w.crowded, w.spared = false, false
		if w.limited() {
			bad[n] = w
			n++
		}
	}
	bad = bad[:n]
	most := max(1, size/maxShare)
	if size < 2 {
		most = 0
	}
	if n <= most {
		return
	}
	slices.SortStableFunc(bad, func(a, b *Worker) int {
		switch {
		case a.reason != b.reason:
			return int(b.reason) - int(a.reason)
		case a.exclusions != b.exclusions:
			return b.exclusions - a.exclusions
		}
		// The earlier exclusion comes first, so that workers do not take turns.
		return int((a.since - b.since) / time.Millisecond)
	})
	for i, w := range bad {
		w.crowded, w.spared = true, i >= most
	}
}

// limited reports whether the exclusion counts against the share of the pool that may be excluded.
func (w *Worker) limited() bool { return w.reason >= Slow && w.reason <= Failing }
