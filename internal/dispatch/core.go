// Package dispatch decides where the tasks of all submissions run and follows them to their end. One instance at a time, the owner, does so: Core is
// its state, without network or goroutine, and Owner the loop around it.
//
// A decision is stored before a worker hears of it. A start is ordered when the record that names its worker is stored; an end is confirmed to
// the worker when the record that contains it is stored. A later owner therefore knows every worker on which a task may run.
package dispatch

import (
	"log/slog"
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Params are the figures that decide how a Core acts.
type Params struct {
	// Lease is the time for which a worker runs its tasks without a renewal.
	Lease time.Duration
	// Isolation is how long an owner acts without a confirmed append. An earlier owner may have acted for as long after the claim.
	Isolation time.Duration
	// Tolerance is how long a service may be over its objective by what runs beside it.
	Tolerance time.Duration
}

// driftFactor turns a time on a worker's clock, which may run 2% slow, into one that has certainly passed.
const driftFactor = 1.0205

func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * driftFactor) }

// Core is the state of an owner. All times are since the instance was started.
type Core struct {
	params Params
	logger *slog.Logger
	epoch  int64
	config *queue.Config
	// time is that of the newest answer or plan.
	time time.Duration
	// now is the wall clock; the due times of scheduled rounds are compared with it.
	now     func() time.Time
	jobs    map[workflow.JobID]*job
	workers map[string]*worker
	dirty   map[*job]struct{}
	pending []*task
	// changed tells that something may have room that had none at the time of the last plan.
	changed bool
	planned time.Duration
	// shortAt is when a task found no room that its submission needed on time; 0 if none did.
	shortAt    time.Duration
	summarized time.Duration
	sorted     []*worker
	// waiting holds the rounds whose time has not come.
	waiting []*round
	// committing holds the placements that are not stored yet, by order of their batch.
	committing []*task
	// attention holds the placed tasks for which an order is to be sent or sent again.
	attention map[*task]struct{}
	batch     int64
	// advising tells that the advisor is being asked; adviseAt is when it may be asked again.
	advising  bool
	adviseAt  time.Duration
	orders    []Order
	deposed   bool
	recovered time.Duration
	// silent holds the workers that the earlier owner stated to be silent, with the end of their leases.
	silent map[catalog.Lifetime]time.Duration
	model  *interference.Model
}

// New returns the core of an owner that has just claimed the epoch, over everything that the log holds.
func New(p Params, epoch int64, now time.Duration, wall func() time.Time, l *slog.Logger, config *queue.Config, jobs []*catalog.Job,
	silent map[catalog.Lifetime]time.Duration, learned interference.State) *Core {
	c := &Core{params: p, logger: l, epoch: epoch, config: config, now: wall, jobs: map[workflow.JobID]*job{}, workers: map[string]*worker{},
		dirty: map[*job]struct{}{}, attention: map[*task]struct{}{}, recovered: now, silent: silent, model: interference.Restore(now, learned)}
	for l := range silent {
		// The statements stand until this owner has stored others.
		w := c.worker(l.ID)
		w.Born, w.silence = l.Born, silenceStated
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].Offset < jobs[k].Offset })
	for _, j := range jobs {
		c.Submit(now, j)
	}
	return c
}

// Learned returns what the owner knows of disturbance.
func (c *Core) Learned() interference.State { return c.model.State() }

// Deposed reports whether a worker has seen a later owner.
func (c *Core) Deposed() bool { return c.deposed }

// Configure takes a newer configuration over.
func (c *Core) Configure(n *queue.Config) {
	c.config = n
	for _, j := range c.jobs {
		c.refreshTerms(j)
	}
}

// Submit takes a submission over, or its cancellation.
func (c *Core) Submit(now time.Duration, known *catalog.Job) {
	c.time = now
	j := c.jobs[known.Submission.Job]
	if j == nil {
		j = c.add(now, known)
	}
	if known.Cancelled && !j.cancelled && !j.state.Over() {
		c.cancel(j)
	}
}

// cancel ends a submission: nothing of it is started any more, and what runs is stopped.
func (c *Core) cancel(j *job) {
	j.cancelled = true
	c.finish(j, workflow.Cancelled)
}

// finish gives a submission its final state and stops what still runs.
func (c *Core) finish(j *job, s workflow.State) {
	j.state, j.overAt = s, c.time
	c.markDirty(j)
	c.logger.Info("submission over", "job", j.sub.Job, "state", s, "placed", j.placed)
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for _, t := range st.tasks {
				c.withdraw(t)
			}
		}
	}
}

// withdraw ends the attempt of a task: at once if no worker has heard of it.
func (c *Core) withdraw(t *task) {
	if t.phase != workflow.Placed {
		return
	}
	if t.order == orderStoring {
		c.release(t)
		return
	}
	t.stopWanted = true
	c.attention[t] = struct{}{}
}

// release takes a task off its worker. Its attempt has ended or was never ordered.
func (c *Core) release(t *task) {
	t.worker.drop(t)
	c.changed = true
	t.worker, t.order, t.batch = nil, orderNone, 0
	t.phase = workflow.Pending
	// An answer to a stop of this attempt comes too late to be taken for one of the next.
	t.stopWanted, t.stopSending, t.unsure, t.seen, t.attempts, t.retryAt = false, false, false, false, 0, 0
	t.percent, t.load, t.pace, t.pacing, t.startedAt = 0, 0, fullPace, false, 0
	t.wantedPace, t.slowedSince, t.strain = fullPace, 0, strain{}
	delete(c.attention, t)
	j := t.job()
	j.placed--
	if j.placed == 0 && j.state.Over() {
		j.rounds = nil
	}
	c.markDirty(j)
}
