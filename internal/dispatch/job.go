package dispatch

import (
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/durations"
	"clementinewalk.example/clementinewalk/internal/loadlevel"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/speculation"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// job is the owner's state of one submission.
type job struct {
	submission *workflow.Submission
	terms      workflow.Terms
	// offset is the offset of the submission in the log; it orders submissions by acceptance.
	offset    int64
	cancelled bool
	state     workflow.State
	// stored is the state in the newest stored task record, published the one in the newest stored status batch.
	stored, published workflow.State
	// begun is set once a worker is known to have begun a task. Until then the submission is shown as queued.
	begun bool
	// rounds holds the rounds that have begun, in ascending order. Those of a scheduled submission begin when they are due and
	// are removed when they have ended, so that a schedule takes as much memory as what runs of it. It may be nil once the
	// submission is over.
	rounds []*round
	// nextRound is the number of rounds that have begun.
	nextRound int
	// objectiveAt is the time by which the submission should be done, with the durations that are expected now.
	objectiveAt time.Duration
	// latencyObjective is the time from acceptance to objectiveAt. addedAt is when this owner read the submission.
	latencyObjective, acceptedAt, addedAt time.Duration
	// durations is that of the Core.
	durations *durations.Model
	// lastBatch is the newest batch that contains the record; 0 if none does.
	lastBatch int64
	// probed is set once a task of the submission was placed on a worker on probation.
	probed bool
	// finishedAt is when this owner learned that the submission is over.
	finishedAt time.Duration
	// recordChanged is set if more than the ends of tasks must be stored; endedStored if their ends may be stored apart.
	recordChanged, endedStored bool
	// stateOnly is set once the log has rejected the record with the tasks.
	stateOnly    bool
	storedRecord catalog.StoredRecord
	open         int // number of rounds that are not done, with those that have not begun
	placed       int // number of tasks in the phase workflow.Placed
	// idleSince is when the last running task ended or was lost; the time of acceptance before the first.
	idleSince time.Duration
}

// round is one execution of all steps of a submission.
type round struct {
	job   *job
	index int
	due   time.Time
	// ready is set when the round is due.
	ready bool
	steps []*step
	open  int // number of steps that are not done
	// predictedAt is when the durations of the steps were last predicted.
	predictedAt time.Duration
}

type step struct {
	def   *workflow.Step
	round *round
	index int
	tasks []*task
	open  int // number of tasks that have not ended
	// duration is the expected duration of one task, path that of the longest chain of steps that starts with this one.
	duration, path time.Duration
	// known is set once the duration is learned rather than estimated.
	known bool
	// shortestPath is a duration that the path rarely falls below: the sum of durations.Prediction.AtLeast on it.
	shortestPath time.Duration
	// ready is set when all steps that this one depends on have ended.
	ready bool
	// load is the load of a service with an objective.
	load loadlevel.Level
	// approvals holds the advisor's answers on which workers may run the step.
	approvals approvals
	// rank is the rank of its short tasks as of rankedAt, but for their index.
	rank     rank
	rankedAt time.Duration
	// noCandidate holds, for each kind of search for a worker, the number of the newest plan in which it found none.
	noCandidate [candidateSearches]int64
	// noNear is the same for searches in the rack of the data only. rackCanHold reports whether that rack could hold a task, as of the plan
	// rackCheckedIn.
	noNear        [candidateSearches]int64
	rackCanHold   bool
	rackCheckedIn int64
	// waitLoggedAt is when a wait for a rack was last logged.
	waitLoggedAt time.Duration
	// restarting is set while the remaining tasks of a gang are stopped, because one of them ended without success or
	// could not be started.
	restarting bool
}

// startState is the progress of starting a placed task on its worker.
type startState uint8

const (
	startNone startState = iota
	// startUncommitted: the placement is not stored yet, so no start was sent.
	startUncommitted
	// startStored: the placement is stored. The start is sent once the worker has been heard.
	startStored
	// startInFlight: the start call is in flight.
	startInFlight
	// startUnanswered: the last start call had no answer and may still be carried out, or it arrived after its
	// deadline. Another start or a stop is sent next.
	startUnanswered
	// startSettled: the worker has accepted the start, or refuses it from now on. The start of a restored task is
	// settled, because a worker that answers this owner refuses calls of earlier ones.
	startSettled
)

type task struct {
	id   workflow.TaskID
	step *step
	// The following fields are stored in the task's record.
	phase           workflow.Phase
	run             int
	failures        int
	checkpoint      string
	worker          *worker
	workerStartedAt int64
	// The following fields apply to a placed task.
	startState startState
	// commitBatch is the batch that stores the placement; 0 before the placement is in a batch.
	commitBatch int64
	// settledAt is when startState became startSettled. If a list that is requested from the worker later lacks the
	// attempt, it is not running.
	settledAt  time.Duration
	startCalls int
	// unconnected is how often the start was not sent because no connection to the worker could be identified.
	unconnected int
	// startSentAt is when the newest start call was sent.
	startSentAt time.Duration
	retryAt     time.Duration
	// placedAt is when the task was placed; storedAt is when its placement was stored.
	placedAt, storedAt time.Duration
	// hadUnansweredStart is set when a start call of this run had no answer or arrived after its deadline. The refusal
	// of a later one then does not prove that the task is not running.
	hadUnansweredStart bool
	stopWanted         bool
	stopInFlight       bool
	// acceptedBy is the newest incarnation of the worker that is known to have begun the attempt; 0 if none is.
	acceptedBy int64
	// adopted is set if the attempt was meant for an earlier incarnation of the worker that runs it.
	adopted bool
	percent int
	// percentAt is when percent or the CPU limit last changed, or when the attempt was first listed.
	percentAt time.Duration
	// startedAt is when the worker confirmed the start, or first listed the attempt.
	startedAt time.Duration
	// timed is set if the duration of the attempt will be used to learn that of its kind, see isTimed.
	timed bool
	// pace is the newest known pace of the attempt, see package workerhealth.
	pace workerhealth.Pace
	// ownPace is set if the attempt is slow although its worker is not.
	ownPace bool
	// load is Running.Load: the tail latency in milliseconds of a service task, and the thousandths of a core in use of
	// any other.
	load float64
	// loadObservedAt is when load was last applied to the load of the service.
	loadObservedAt   time.Duration
	cpuLimit         int
	cpuLimitInFlight bool
	// listedIn is the number of the newest list of running attempts that contains the attempt; see Core.lists.
	listedIn int64
	// reported is set once the worker has listed the attempt as running.
	reported bool
	// reportedAt is when reported was set, firstPercent the progress then.
	reportedAt   time.Duration
	firstPercent int
	// notBefore is the earliest time at which the task is placed again after a failure.
	notBefore time.Duration
	// targetCPULimit is the CPU limit that the services beside the task allow, in percent; slowedSince is when it fell
	// below evictLimitPercent, 0 if it is not below.
	targetCPULimit int
	slowedSince    time.Duration
	// evictions and stallMoves are how often the task was moved because it was throttled or stalled.
	evictions  int
	stallMoves int
	// preemptions is how often the task was stopped for others. nextPreemption is the earliest time at which others are stopped
	// for it again.
	preemptions    int
	nextPreemption time.Duration
	// takesAnyRack is set from when others are stopped for the task until it is placed. If it waited for its rack, those that were
	// stopped would take the room back.
	takesAnyRack bool
	// checkpointAt is when the checkpoint last changed; 0 if it has not in this attempt.
	checkpointAt time.Duration
	// longCheckpoint is set once a checkpoint of the task was too long to be stored.
	longCheckpoint bool
	// crashes counts the workers that crashed under the task; crashedRun is the newest run that was counted.
	crashes    catalog.Crashes
	crashedRun int
	// startCutShort is set when the connection was closed before the worker answered the start.
	startCutShort bool
	// lostUnproven is set when an attempt was lost before its worker had outlived the start by startProof.
	lostUnproven bool
	// objectiveViolation tracks how far the tail latency of a service task is over its objective.
	objectiveViolation objectiveViolation
	// copy is the second attempt that is placed beside this one, copyRun the run number of the newest one; copies counts them.
	// original is set on a copy; see copies.go.
	copy, original  *task
	copyRun, copies int
	// copyCause is why a copy was made, copyOutcome what became of it.
	copyCause   speculation.Cause
	copyOutcome copyOutcome
	// overtaken is set while the attempt is stopped because a copy has ended as done.
	overtaken bool
	// avoidWorker is the worker that refused or failed the last attempt, or from which it was moved. Placement
	// prefers other workers that have room.
	avoidWorker string
	queuedAt    time.Duration
	// queued is set while the task is in the list of pending tasks.
	queued bool
	// unplaced is why the last plan left the task pending.
	unplaced unplaced
	// rackWait is the wait for a better place.
	rackWait rackWait
	// rank is the task's place in the order of placement, as of the last plan.
	rank rank
}

func (t *task) job() *job { return t.step.round.job }

func (t *task) attempt() Attempt { return Attempt{Task: t.id, Run: t.run} }

// refreshTerms applies the terms of the configured queue. If the queue was removed, the last known terms stay.
func (c *Core) refreshTerms(j *job) {
	if c.config == nil {
		return
	}
	if q := c.config.Named(j.submission.Terms.Queue); q != nil {
		j.terms = q.Terms
	}
}

// addJob adds a submission and restores the stored state of its tasks.
func (c *Core) addJob(now time.Duration, stored *catalog.Job) *job {
	j := &job{submission: stored.Submission, terms: stored.Submission.Terms, offset: stored.Offset,
		idleSince: now, addedAt: now, acceptedAt: now - max(0, c.wallClock().Sub(stored.Submission.Accepted)),
		durations: c.durations}
	c.jobs[j.submission.Job] = j
	c.refreshTerms(j)
	if err := stored.Submission.Check(); err != nil {
		c.refuseStored(j, stored, err)
		return j
	}
	rec := c.restoreState(j, stored)
	j.state, j.finishedAt = rec.State, now
	j.setObjective(j.submission.Chain())
	if j.state.Over() && len(rec.Tasks) == 0 {
		return j
	}
	progress := workflow.Schedule{Next: 1, Live: []int{0}}
	if j.submission.Scheduled() {
		progress = rec.Progress()
	}
	j.nextRound = min(progress.Next, j.submission.Rounds())
	j.open = j.submission.Rounds() - j.nextRound
	if rec.Schedule == nil && j.submission.Scheduled() {
		rec.KeepRounds(&progress)
	}
	for position, k := range progress.Live {
		if k >= j.nextRound {
			break
		}
		var rows [][]workflow.TaskRecord
		if position < len(rec.Tasks) {
			rows = rec.Tasks[position]
		}
		if r := c.addRound(now, j, k, rows, rec.Copies); r.open > 0 {
			j.open++
		}
	}
	if j.state.Over() {
		return j
	}
	if j.open == 0 {
		// The owner ended after it had stored the ends of all tasks and before it stored that the submission is done.
		c.finish(j, workflow.Done)
		return j
	}
	for _, r := range slices.Clone(j.rounds) {
		c.activateRound(now, r)
		c.retireRound(r)
	}
	if j.nextRound < j.submission.Rounds() {
		c.scheduled[j], c.nextDue = struct{}{}, time.Time{}
		c.beginDueRounds(now, j)
	}
	return j
}

// addRound adds a round with the stored states of its tasks, by step, and the copies of tasks of all rounds.
func (c *Core) addRound(now time.Duration, j *job, k int, rows [][]workflow.TaskRecord, copies []workflow.CopyRecord) *round {
	r := &round{job: j, index: k, due: j.submission.Due(k)}
	c.setRounds(j, append(j.rounds, r))
	for s := range j.submission.Steps {
		st := &step{def: &j.submission.Steps[s], round: r, index: s}
		r.steps = append(r.steps, st)
		for i := range st.def.Count {
			t := &task{id: workflow.TaskID{Job: j.submission.Job, Round: k, Step: s, Index: i}, step: st,
				cpuLimit: noLimitPercent, targetCPULimit: noLimitPercent}
			st.tasks = append(st.tasks, t)
			if s < len(rows) && i < len(rows[s]) {
				c.restoreTask(t, &rows[s][i])
			}
			if t.phase != workflow.Ended {
				st.open++
			}
		}
		if st.open > 0 {
			r.open++
		}
	}
	r.predict(now)
	for i := range copies {
		if copies[i].Round == k {
			c.restoreCopy(r, &copies[i])
		}
	}
	return r
}

// activateRound makes the steps of a round ready whose dependencies have ended.
func (c *Core) activateRound(now time.Duration, r *round) {
	r.ready = true
	for _, s := range r.steps {
		c.activateStep(now, s)
	}
}

func (c *Core) activateStep(now time.Duration, s *step) {
	if s.ready || !s.round.ready {
		return
	}
	for _, a := range s.def.After {
		if s.round.steps[a].open > 0 {
			return
		}
	}
	s.ready = true
	if s.def.Gang {
		c.enqueueGang(now, s)
		return
	}
	for _, t := range s.tasks {
		if t.phase == workflow.Pending {
			c.enqueue(now, t)
		}
	}
}

func (c *Core) enqueue(now time.Duration, t *task) {
	t = t.main()
	if t.phase != workflow.Pending || t.copy != nil {
		// Another attempt is placed, or the task has ended.
		return
	}
	if t.queued || t.job().cancelled || t.job().state.Over() {
		return
	}
	t.queued, t.queuedAt = true, now
	c.pending = append(c.pending, t)
	c.planNeeded = true
}

// reserved returns the resources that a task holds exclusively on its worker.
func (t *task) reserved() resource.Vector { return t.step.def.Reserved() }
