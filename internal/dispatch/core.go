// Package dispatch places the tasks of all submissions on workers and tracks them until they end. One instance at a
// time, the owner, does so: Core is its state machine, without network access or goroutines, and Owner is the loop
// around it.
//
// A decision is stored before it is sent to a worker. A start is sent once the record that names its worker is
// stored; an end is confirmed to the worker once the record that contains it is stored. A later owner therefore knows
// every worker on which a task may be running.
package dispatch

import (
	"log/slog"
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/durations"
	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/locality"
	"clementinewalk.example/clementinewalk/internal/preemption"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/speculation"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Params holds the durations that limit leases, ownership and violations of latency objectives.
type Params struct {
	// Lease is how long a worker runs its tasks without a renewal. MaxLease is the longest lease that a worker accepts.
	Lease, MaxLease time.Duration
	// Isolation is how long an owner acts without a confirmed append. A previous owner may have acted for as long
	// after the claim of its successor.
	Isolation time.Duration
	// EvacuationLimit is the time after which nothing may start any more in a closed data centre; 0 for no limit.
	EvacuationLimit time.Duration
	// ObjectiveTolerance is how long the best-effort tasks beside a service may keep it over its latency objective.
	ObjectiveTolerance time.Duration
	// OverlapBytes is the memory that the rounds of schedules beyond the first of each may take; 0 for no limit.
	OverlapBytes int64
	// RecordBytes is the longest record that the log takes; 0 for defaultRecordBytes.
	RecordBytes int
	// RemoteSlowdown is the factor by which a task away from the rack of its data, or a gang on more than one rack, takes
	// longer. No task waits for a better place if it is 1 or less.
	RemoteSlowdown float64
}

const (
	// defaultRecordBytes applies if the limit of the log is not known.
	defaultRecordBytes = 256 << 10
	// taskBytes is the most that the stored state of a task takes, with its copies, a name of a worker of 255 bytes and a
	// checkpoint of workflow.MaxCheckpointBytes.
	taskBytes = 2048
)

func (p *Params) recordBytes() int {
	if p.RecordBytes > 0 {
		return p.RecordBytes
	}
	return defaultRecordBytes
}

// tasksPerRecord returns how many tasks of a submission are stored with one record.
func (p *Params) tasksPerRecord() int { return max(1, p.recordBytes()/taskBytes) }

// driftFactor converts a duration on a worker's clock, which may run 2% slow, to the local time in which it has
// certainly passed.
const driftFactor = 1.0205

func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * driftFactor) }

// Core is the state of an owner. All times count from the start of the instance.
type Core struct {
	params Params
	// steps counts the calls of Act.
	steps  int64
	logger *slog.Logger
	epoch  int64
	config *queue.Config
	// eventTime is the time of the newest submission or lease answer.
	eventTime time.Duration
	// wallClock returns the time of day, against which the due times of scheduled rounds are compared.
	wallClock func() time.Time
	jobs      map[workflow.JobID]*job
	workers   map[string]*worker
	// dirty holds the submissions whose records have changed since the last batch.
	dirty   map[*job]struct{}
	pending []*task
	// planNeeded is set when a pending task may find room that it did not find in the last plan.
	planNeeded bool
	lastPlan   time.Duration
	// planCutShort is set if the newest plan reached maxPlacements.
	planCutShort bool
	// planNumber is the number of the newest plan.
	planNumber int64
	// lastShortage is when a task that should run now last found no room; 0 if none has.
	lastShortage time.Duration
	lastSummary  time.Duration
	workersByID  []*worker
	// callable holds the workers without a lease call in flight.
	callable map[*worker]struct{}
	// unconfirmed holds the workers with ends whose storage is not confirmed to this core yet.
	unconfirmed map[*worker]struct{}
	// unresponsive holds the workers whose last lease call failed or whose silence is recorded.
	unresponsive map[*worker]struct{}
	// silenceRejected is set while the record of silent workers must be stored although it has not changed.
	silenceRejected bool
	// lists counts the lists of running attempts that were applied.
	lists int64
	// nextExpiry is a time before which no lease of a worker with tasks expires.
	nextExpiry time.Duration
	// scheduled holds the submissions with rounds that have not begun.
	scheduled map[*job]struct{}
	// nextDue is a time of day before which none of them begins.
	nextDue time.Time
	// overlapBytes is the memory of the rounds of schedules that have begun, without one of each submission.
	overlapBytes int64
	// uncommitted holds the placements that are not stored yet, in the order of their batches.
	uncommitted []*task
	// needsOrder holds the placed tasks for which an order must be sent or repeated.
	needsOrder map[*task]struct{}
	lastBatch  int64
	// statesInFlight holds the states in the newest batch until it is stored. unpublished holds the submissions whose
	// stored state is not published yet, publishing the states in the newest status batch until that is stored.
	statesInFlight, publishing map[*job]workflow.State
	unpublished                map[*job]struct{}
	lastStatusBatch            int64
	// unstorable holds the submissions whose records the log has rejected, until their failure is stored.
	unstorable map[*job]struct{}
	// adviceInFlight is set while a call to the advisor is in flight; nextAdvice is the earliest time of the next
	// call.
	adviceInFlight bool
	nextAdvice     time.Duration
	orders         []Order
	superseded     bool
	ownerSince     time.Duration
	// predecessorUntil is the time until which previous owners may have granted leases.
	predecessorUntil time.Duration
	// unfenced holds the workers to which owners before the predecessor may have granted leases until earlierUntil.
	unfenced     map[catalog.Incarnation]struct{}
	earlierUntil time.Duration
	// silentLeases holds, for each worker that the previous owner recorded as silent, the time at which its lease
	// ends.
	silentLeases map[catalog.Incarnation]time.Duration
	model        *interference.Model
	// coefficients is reused by throttleForService.
	coefficients []float64
	// suspects holds the tasks under which workers have crashed; suspectsChanged is set until they are in a batch.
	suspects        map[*task]struct{}
	suspectsChanged bool
	// storedCrashes holds the crashes that were stored by earlier owners, by the name of the task.
	storedCrashes map[string]catalog.Crashes
	// metrics may be nil.
	metrics *Metrics
	timing  phaseTimes
	// planCost is reset with each summary.
	planCost planCost
	// lastInTimeWait holds, for each pool, when a best-effort task that can be in time last waited for minInTimeWait.
	lastInTimeWait map[string]time.Duration
	// closed holds the closed data centres. startsHeld is set while starts must not be sent.
	closed     evacuation.Set
	startsHeld bool
	// moving holds the tasks that were stopped in a closed data centre and do not serve again yet, movesHeld why no more
	// tasks of a pool are moved. nextMoves is the earliest time of the next moves.
	moving    map[*task]struct{}
	movesHeld map[string]evacuation.Held
	nextMoves time.Duration
	// demand is that of short tasks, largestShort the processors of the largest one placed since it was last observed, by
	// pool.
	demand       map[string]*evacuation.Demand
	largestShort map[string]int64
	// durations is what this owner has learned of the durations of tasks.
	durations     *durations.Model
	durationStats durationStats
	// copyable holds the placed tasks that may get a copy, copies the placed copies. copyDecider decides, and copyStats
	// counts since the last summary. nextCopies is the earliest time of the next decision.
	copyable, copies map[*task]struct{}
	copyDecider      speculation.Decider
	copyStats        copyStats
	nextCopies       time.Duration
	// meters measure, for each pool, the rate at which short tasks are done.
	meters map[string]*backlog.Meter
	// lastPlaced is when a short task of each class was last placed.
	lastPlaced map[classKey]time.Duration
	// preemptions bound, for each pool, the tasks that are stopped for those of higher priorities.
	preemptions map[string]*preemption.Limiter
	// nextPreemptionCheck is the earliest time of the next decisions about such stops.
	nextPreemptionCheck time.Duration
	rackWaits           rackWaits
	health              health
}

// Stored is what a new owner knows from the log.
type Stored struct {
	// PredecessorUntil is the time until which previous owners may have granted leases.
	PredecessorUntil time.Duration
	// Unfenced are workers to which they may have granted leases until EarlierUntil instead.
	Unfenced     []catalog.Incarnation
	EarlierUntil time.Duration
	// Jobs are all submissions with the records of their tasks.
	Jobs         []*catalog.Job
	SilentLeases map[catalog.Incarnation]time.Duration
	Suspects     map[string]catalog.Crashes
	Interference interference.State
	// Closed holds the closed data centres.
	Closed evacuation.Set
}

// New returns the Core of an owner that has just claimed the epoch.
func New(p Params, epoch int64, now time.Duration, wallClock func() time.Time, l *slog.Logger, config *queue.Config,
	stored Stored) *Core {
	c := &Core{params: p, logger: l, epoch: epoch, config: config, wallClock: wallClock,
		jobs: map[workflow.JobID]*job{}, workers: map[string]*worker{},
		callable: map[*worker]struct{}{}, unconfirmed: map[*worker]struct{}{}, unresponsive: map[*worker]struct{}{},
		dirty: map[*job]struct{}{}, statesInFlight: map[*job]workflow.State{}, unpublished: map[*job]struct{}{},
		publishing: map[*job]workflow.State{}, unstorable: map[*job]struct{}{},
		scheduled:  map[*job]struct{}{},
		needsOrder: map[*task]struct{}{}, ownerSince: now,
		predecessorUntil: stored.PredecessorUntil, silentLeases: stored.SilentLeases,
		unfenced: map[catalog.Incarnation]struct{}{}, earlierUntil: stored.EarlierUntil,
		suspects: map[*task]struct{}{}, storedCrashes: stored.Suspects,
		model:          interference.Restore(now, stored.Interference),
		lastInTimeWait: map[string]time.Duration{}, closed: stored.Closed, moving: map[*task]struct{}{},
		movesHeld: map[string]evacuation.Held{}, demand: map[string]*evacuation.Demand{}, largestShort: map[string]int64{},
		durations: durations.New(), copyable: map[*task]struct{}{}, copies: map[*task]struct{}{},
		meters: map[string]*backlog.Meter{}, lastPlaced: map[classKey]time.Duration{},
		preemptions: map[string]*preemption.Limiter{},
		rackWaits:   rackWaits{decide: locality.Decide, outcomes: map[rackKey]*rackOutcomes{}},
		health:      health{bad: map[*worker]struct{}{}}}
	for _, i := range stored.Unfenced {
		c.unfenced[i] = struct{}{}
	}
	for l := range stored.SilentLeases {
		// The recorded silence holds until this owner has stored an update.
		w := c.worker(l.ID)
		w.StartedAt, w.silence = l.StartedAt, silenceRecorded
		c.unresponsive[w] = struct{}{}
	}
	sort.Slice(stored.Jobs, func(i, k int) bool { return stored.Jobs[i].Offset < stored.Jobs[k].Offset })
	for _, j := range stored.Jobs {
		c.Submit(now, j)
	}
	return c
}

// InterferenceState forgets the images that no longer run, and returns the state of the interference model for storage, of at
// most maxBytes.
func (c *Core) InterferenceState(now time.Duration, maxBytes int) interference.State {
	c.model.Forget(now)
	return c.model.State(now, maxBytes)
}

// Superseded reports whether a worker has refused a call because it has received one from a later owner.
func (c *Core) Superseded() bool { return c.superseded }

// Configure applies a newer configuration.
func (c *Core) Configure(newer *queue.Config) {
	c.config = newer
	for _, j := range c.jobs {
		c.refreshTerms(j)
	}
}

// Submit adds a submission, or applies its cancellation.
func (c *Core) Submit(now time.Duration, stored *catalog.Job) {
	c.eventTime = now
	j := c.jobs[stored.Submission.Job]
	if j == nil {
		j = c.addJob(now, stored)
		if stored.Record == nil {
			c.timing.observe(phaseRead, c.wallClock().Sub(stored.Submission.Accepted))
		}
	}
	if stored.Cancelled && !j.cancelled && !j.state.Over() {
		c.cancel(j)
	}
}

// cancel gives a submission its final state: no task of it is started any more, and running attempts are stopped.
func (c *Core) cancel(j *job) {
	j.cancelled = true
	c.finish(j, workflow.Cancelled)
}

// finish sets the final state of a submission and stops its running attempts.
func (c *Core) finish(j *job, s workflow.State) {
	j.state, j.finishedAt = s, c.eventTime
	c.markDirty(j)
	c.logger.Info("submission finished", "job", j.submission.Job, "state", s, "placed", j.placed,
		"took_ms", c.wallClock().Sub(j.submission.Accepted).Milliseconds(),
		"objective_ms", j.latencyObjective.Milliseconds())
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for _, t := range st.tasks {
				c.stopAttempt(t)
				if t.copy != nil {
					c.stopAttempt(t.copy)
				}
			}
		}
	}
}

// stopAttempt ends the current attempt of a task: immediately if no start was sent, otherwise with a stop order.
func (c *Core) stopAttempt(t *task) {
	if t.phase != workflow.Placed {
		return
	}
	if t.neverSent() {
		c.unplace(t)
		return
	}
	t.stopWanted = true
	c.needsOrder[t] = struct{}{}
}

// unplace removes a task from its worker. The attempt must have ended or never been sent.
func (c *Core) unplace(t *task) {
	c.release(t)
	c.markDirty(t.job())
}

// release is unplace without a change of the record.
func (c *Core) release(t *task) {
	j := t.job()
	if t.startedAt > 0 {
		j.idleSince = c.eventTime
	}
	t.worker.removeTask(t)
	c.planNeeded = true
	t.worker, t.startState, t.commitBatch = nil, startNone, 0
	t.phase = workflow.Pending
	// An answer to a stop of this attempt that arrives later is ignored, so its flags are reset here.
	t.adopted, t.acceptedBy = false, 0
	t.stopWanted, t.stopInFlight, t.hadUnansweredStart, t.reported, t.startCalls, t.retryAt = false, false, false,
		false, 0, 0
	t.unconnected = 0
	t.percent, t.load, t.cpuLimit, t.cpuLimitInFlight, t.startedAt = 0, 0, noLimitPercent, false, 0
	t.timed, t.checkpointAt, t.pace, t.ownPace = false, 0, workerhealth.PaceUnknown, false
	t.targetCPULimit, t.slowedSince, t.objectiveViolation = noLimitPercent, 0, objectiveViolation{}
	delete(c.needsOrder, t)
	c.releaseCopy(t)
	j.placed--
	if j.placed == 0 && j.state.Over() {
		c.setRounds(j, nil)
	}
	c.retireRound(t.step.round)
}
