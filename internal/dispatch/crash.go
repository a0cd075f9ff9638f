package dispatch

import (
	"cmp"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// A task may crash each worker that starts it. The crash of a worker raises the suspicion against the tasks that it
// ran, and a task under too much suspicion is given up together with its submission. A suspected task is started on a
// worker with no other recent start, so that the next crash shows which task caused it.

const (
	// startProof is how long a worker must outlive the start of a task to show that the start does not crash it.
	startProof = 200 * time.Millisecond
	// A crash before that counts with blameAlone if the worker has no other task without proof and did not crash together
	// with others of its rack, and with blameShared otherwise. Tasks of one submission count as one: they are given up
	// together. When a worker crashed is known only if it closed its connections. One that fell silent may have been cut
	// off first, and may have crashed after the end of the attempt; that counts with blameUncertain, and so does an
	// attempt that may not have begun.
	blameAlone     = 8
	blameShared    = 4
	blameUncertain = 3
	// A task is given up when its blame reaches maxBlame, or after maxCrashes crashes at any time after the start.
	maxBlame   = 12
	maxCrashes = 4
	// crashMemory is the run time after which earlier crashes no longer count.
	crashMemory = time.Minute
	// Workers that stop answering within groupInterval, with at least minGroup others of their rack, have crashed together.
	groupInterval = 500 * time.Millisecond
	minGroup      = 2
	// maxSuspectWait limits how long a suspected task waits for a worker without another recent start.
	maxSuspectWait = time.Second
	// crashEvidenceWait is how long a worker is asked whether it has crashed after its attempts were lost.
	crashEvidenceWait = 15 * time.Second
	// maxStoredSuspects limits the size of the record of suspected tasks.
	maxStoredSuspects = 1000
)

// lostAttempt is an attempt that was lost with its worker.
type lostAttempt struct {
	task *task
	run  int
	// startedAt is when the worker confirmed the start, proven whether it is known to have outlived it by startProof.
	startedAt time.Duration
	proven    bool
	// uncertain is set if the worker did not confirm the start.
	uncertain bool
}

// outlivedStart returns for how long the worker is known to have worked on after it confirmed the start of the task; 0
// if it has not confirmed it.
func (t *task) outlivedStart() time.Duration {
	if t.startedAt == 0 {
		return 0
	}
	return max(0, t.worker.clockReadAt-t.startedAt)
}

func (t *task) startProven() bool { return t.outlivedStart() >= startProof }

// suspected reports whether the task may have crashed a worker.
func (t *task) suspected() bool { return t.crashes != catalog.Crashes{} || t.lostUnproven }

// hasUnprovenStart reports whether a task of another submission was placed on the worker recently.
func (w *worker) hasUnprovenStart(j *job) bool {
	for t := range w.tasks {
		if t.job() != j && !t.startProven() {
			return true
		}
	}
	return false
}

// watchesSuspect reports whether the worker has just started a suspected task, which is proven sooner if the worker
// answers sooner.
func (w *worker) watchesSuspect() bool {
	for t := range w.tasks {
		if t.suspected() && !t.startProven() {
			return true
		}
	}
	return false
}

// attemptLostWith returns the attempt of a task that is lost with its worker, and false if nothing shows that the worker
// has received the start. It is uncertain if an earlier owner sent the start, or if the connection was closed before the
// answer.
func (t *task) attemptLostWith() (lostAttempt, bool) {
	confirmed := t.startedAt != 0
	adopted := t.startCalls == 0 && t.startState == startSettled
	return lostAttempt{task: t, run: t.run, startedAt: t.startedAt, proven: t.startProven(), uncertain: !confirmed},
		confirmed || adopted || t.startCutShort
}

// noteLost keeps attempts on a worker whose lease has expired until it is known whether the worker has crashed.
func (c *Core) noteLost(now time.Duration, w *worker, tasks []*task) {
	for _, t := range tasks {
		if a, started := t.attemptLostWith(); started {
			w.lost, w.lostAt = append(w.lost, a), now
			t = t.main()
			t.lostUnproven = t.lostUnproven || !a.proven
		}
	}
}

// awaitsCrashEvidence reports whether the worker is still asked whether it has crashed.
func (w *worker) awaitsCrashEvidence(now time.Duration) bool {
	if len(w.lost) > 0 && now-w.lostAt > crashEvidenceWait {
		w.lost = nil
	}
	return len(w.lost) > 0
}

// noteSuccessor notes that another incarnation answers at the address of a worker, which has therefore ended.
func (c *Core) noteSuccessor(now time.Duration, w *worker) {
	if !w.succeeded {
		w.succeeded = true
		c.logger.Warn("another incarnation answers at the worker's address", "worker", w.ID, "leaving", w.Leaving,
			"tasks", len(w.tasks), "silent_ms", (now - w.clockReadAt).Milliseconds())
	}
	for t := range w.tasks {
		if t.startedAt != 0 {
			// Every incarnation under the worker's id has ended.
			t.acceptedBy = max(t.acceptedBy, w.StartedAt)
		}
	}
	c.workerCrashed(w, w.StartedAt+1)
}

// workerCrashed counts the crash of the incarnations of a worker that started before startedAt. One that was leaving
// has not crashed.
func (c *Core) workerCrashed(w *worker, startedAt int64) {
	lost := w.lost
	w.lost = nil
	for t := range w.tasks {
		// An attempt that is not known to have begun counts once the list of the later incarnation lacks it.
		if a, started := t.attemptLostWith(); started && t.workerStartedAt < startedAt && !t.unresolved() {
			lost = append(lost, a)
		}
	}
	if w.Leaving || len(lost) == 0 {
		return
	}
	silent := w.failingSince == 0 || !w.connectionLost
	unproven := map[*job]struct{}{}
	for i := range lost {
		a := &lost[i]
		a.proven = a.proven || !silent && !a.uncertain && w.failingSince-a.startedAt >= startProof
		if !a.proven {
			unproven[a.task.job()] = struct{}{}
		}
	}
	together := c.crashedTogether(w)
	for _, a := range lost {
		blame := 0
		switch {
		case a.proven && silent:
			continue
		case a.proven:
		case silent, a.uncertain:
			blame = blameUncertain
		case len(unproven) == 1 && !together:
			blame = blameAlone
		default:
			blame = blameShared
		}
		c.countCrash(a, w, blame)
	}
}

// crashedTogether reports whether others of its rack stopped answering at the same time as w, as when a rack is lost.
func (c *Core) crashedTogether(w *worker) bool {
	others := 0
	for _, o := range c.workers {
		if o != w && o.Rack == w.Rack && o.failingSince != 0 && (o.failingSince-w.failingSince).Abs() <= groupInterval {
			others++
		}
	}
	return others >= minGroup
}

func (c *Core) countCrash(a lostAttempt, w *worker, blame int) {
	t := a.task.main()
	if a.run <= t.crashedRun || t.job().state.Over() {
		return
	}
	t.crashedRun = a.run
	if !a.uncertain {
		t.crashes.Total++
	}
	t.crashes.Blame += blame
	c.suspects[t], c.suspectsChanged = struct{}{}, true
	c.logger.Info("worker crashed under task", "task", t.id, "run", a.run, "worker", w.ID, "blame", blame,
		"blame_in_all", t.crashes.Blame, "crashes", t.crashes.Total)
	if t.crashes.Blame >= maxBlame || t.crashes.Total >= maxCrashes {
		c.logger.Warn("giving up submission whose task crashes workers", "task", t.id, "crashes", t.crashes.Total)
		c.finish(t.job(), workflow.Failed)
	}
}

// clearSuspicion clears a task of the crashes right after its start once its worker has outlived a start, and of all
// crashes once it has run for crashMemory.
func (c *Core) clearSuspicion(t *task) {
	if !t.suspected() || !t.startProven() {
		return
	}
	t.lostUnproven = false
	before := t.crashes
	t.crashes.Blame = 0
	if t.outlivedStart() >= crashMemory {
		t.crashes = catalog.Crashes{}
		delete(c.suspects, t)
	}
	c.suspectsChanged = c.suspectsChanged || t.crashes != before
}

// recordSuspects returns the entry with the suspected tasks, if they have changed.
func (c *Core) recordSuspects() (eventlog.Entry, bool) {
	if !c.suspectsChanged {
		return eventlog.Entry{}, false
	}
	c.suspectsChanged = false
	tasks := make([]*task, 0, len(c.suspects))
	for t := range c.suspects {
		if t.job().state.Over() || t.phase == workflow.Ended {
			delete(c.suspects, t)
			continue
		}
		tasks = append(tasks, t)
	}
	if len(tasks) > maxStoredSuspects {
		slices.SortFunc(tasks, func(a, b *task) int {
			return cmp.Or(cmp.Compare(b.crashes.Blame, a.crashes.Blame), cmp.Compare(b.crashes.Total, a.crashes.Total))
		})
		tasks = tasks[:maxStoredSuspects]
	}
	stored := make(map[string]catalog.Crashes, len(tasks))
	for _, t := range tasks {
		stored[t.id.String()] = t.crashes
	}
	e, err := catalog.SuspectsEntry(stored)
	if err != nil {
		c.logger.Error("cannot encode suspected tasks", "error", err)
		return eventlog.Entry{}, false
	}
	return e, true
}
