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
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Params are the figures that decide how a Core acts.
type Params struct {
	// Lease is the time for which a worker runs its tasks without a renewal.
	Lease time.Duration
	// Isolation is how long an owner acts without a confirmed append. An earlier owner may have acted for as long after the claim.
	Isolation time.Duration
	// PaceDelay is the time after which a pace order is in force.
	PaceDelay time.Duration
	// WorkerStop is the longest time that a worker takes to stop a task.
	WorkerStop time.Duration
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
	changed    bool
	planned    time.Duration
	summarized time.Duration
	sorted     []*worker
	// waiting holds the rounds whose time has not come.
	waiting []*round
	// committing holds the placements that are not stored yet, by order of their batch.
	committing []*task
	// attention holds the placed tasks for which an order is to be sent or sent again.
	attention map[*task]struct{}
	batch     int64
	orders    []Order
	deposed   bool
	recovered time.Duration
	// silent holds the workers that the earlier owner stated to be silent, with the end of their leases.
	silent map[catalog.Lifetime]time.Duration
	model  *interference.Model
}

type job struct {
	sub       *workflow.Submission
	terms     workflow.Terms
	offset    int64
	cancelled bool
	state     workflow.State
	rounds    []*round
	// objective is the time until which the submission should be done.
	objective time.Duration
	// span is the time that the objective allows from the acceptance on.
	span time.Duration
	// overAt is when the submission was seen to be over.
	overAt time.Duration
	open   int // rounds that are not done
	placed int // tasks that may run
}

type round struct {
	job   *job
	index int
	due   time.Time
	ready bool
	steps []*step
	open  int // steps that are not done
}

type step struct {
	def   *workflow.Step
	round *round
	index int
	tasks []*task
	open  int // tasks that have not ended
	ready bool
	// breaking tells that a task of a gang has ended without success, so that all must end before the next run.
	breaking bool
}

// orderState is how far the start order of a placed task is.
type orderState uint8

const (
	orderNone orderState = iota
	// orderStoring: the placement is not stored yet, so no worker has heard of it.
	orderStoring
	// orderSending: the call is in flight.
	orderSending
	// orderUnsure: the call had no answer and may be carried out later.
	orderUnsure
	// orderSettled: the worker has taken the order, or refuses it from now on.
	orderSettled
)

type task struct {
	id   workflow.TaskID
	step *step
	// The fields of the record.
	phase      workflow.Phase
	run        int
	failures   int
	checkpoint string
	worker     *worker
	born       int64
	// The fields of a placed task.
	order orderState
	batch int64
	// settledAt is the time at which the order was settled: the worker's lists that were asked for later show the attempt.
	settledAt time.Duration
	attempts  int
	retryAt   time.Duration
	// unsure tells that an earlier call of this run had no answer, so a refusal of a later one proves nothing.
	unsure      bool
	stopWanted  bool
	stopSending bool
	percent     int
	percentAt   time.Duration
	startedAt   time.Duration
	load        float64
	pace        int
	pacing      bool
	seen        bool
	notBefore   time.Duration
	// wantedPace is what the services beside the task leave it; slowedSince is when it fell below evictPace.
	wantedPace  int
	slowedSince time.Duration
	evictions   int
	stalls      int
	// overSince is when a service task went over its objective; 0 if it is not.
	overSince    time.Duration
	avoid        string
	queuedAt     time.Duration
	pendingIndex bool
}

func (t *task) job() *job { return t.step.round.job }

func (t *task) attempt() Attempt { return Attempt{Task: t.id, Run: t.run} }

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

// refreshTerms takes the terms of the queue in force; those of the submission stay when the queue was removed.
func (c *Core) refreshTerms(j *job) {
	if c.config == nil {
		return
	}
	if q := c.config.Named(j.sub.Terms.Queue); q != nil {
		j.terms = q.Terms
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

func (c *Core) add(now time.Duration, known *catalog.Job) *job {
	j := &job{sub: known.Submission, terms: known.Submission.Terms, offset: known.Offset}
	c.jobs[j.sub.Job] = j
	c.refreshTerms(j)
	j.span = time.Duration(j.terms.Stretch*float64(j.sub.Chain())) + j.terms.Allowance
	j.objective = now + j.span - max(0, min(j.span, c.now().Sub(j.sub.Accepted)))
	var rec workflow.Record
	if known.Record != nil {
		rec = *known.Record
	}
	j.state, j.overAt = rec.State, now
	if j.state.Over() && len(rec.Tasks) == 0 {
		return j
	}
	for k := range j.sub.Rounds() {
		r := c.addRound(j, k, rec)
		if r.open > 0 {
			j.open++
		}
	}
	if !j.state.Over() {
		for _, r := range j.rounds {
			c.openRound(now, r)
		}
	}
	return j
}

func (c *Core) addRound(j *job, k int, rec workflow.Record) *round {
	r := &round{job: j, index: k, due: j.sub.Due(k)}
	j.rounds = append(j.rounds, r)
	for s := range j.sub.Steps {
		st := &step{def: &j.sub.Steps[s], round: r, index: s}
		r.steps = append(r.steps, st)
		for i := range st.def.Count {
			t := &task{id: workflow.TaskID{Job: j.sub.Job, Round: k, Step: s, Index: i}, step: st, pace: fullPace, wantedPace: fullPace}
			st.tasks = append(st.tasks, t)
			if k < len(rec.Tasks) && s < len(rec.Tasks[k]) && i < len(rec.Tasks[k][s]) {
				c.restore(t, &rec.Tasks[k][s][i])
			}
			if t.phase != workflow.Ended {
				st.open++
			}
		}
		if st.open > 0 {
			r.open++
		}
	}
	return r
}

// restore takes over what an earlier owner stored of a task. A placed one may run: its worker's next answer tells.
func (c *Core) restore(t *task, r *workflow.TaskRecord) {
	t.phase, t.run, t.failures, t.checkpoint = r.Phase, r.Run, r.Failures, r.Checkpoint
	if r.Phase != workflow.Placed {
		return
	}
	w := c.worker(r.Worker)
	t.order, t.settledAt = orderSettled, c.recovered
	t.pace = unknownPace
	if t.job().state.Over() {
		t.stopWanted = true
		c.attention[t] = struct{}{}
	}
	t.born = r.Born
	w.hold(t)
	t.job().placed++
	if end, ok := c.silent[catalog.Lifetime{ID: r.Worker, Born: r.Born}]; ok {
		// The earlier owner has stored that it grants the worker no lease.
		w.extend(end)
		return
	}
	// The earlier owner may have renewed the lease for as long as it was allowed to act.
	w.extend(c.recovered + c.params.Isolation + withDrift(c.params.Lease))
}

// openRound makes the steps of a round that wait for nothing ready.
func (c *Core) openRound(now time.Duration, r *round) {
	if !r.due.IsZero() && c.now().Before(r.due) {
		c.waiting = append(c.waiting, r)
		return
	}
	r.ready = true
	for _, s := range r.steps {
		c.openStep(now, s)
	}
}

func (c *Core) openStep(now time.Duration, s *step) {
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
		c.regroup(now, s)
		return
	}
	for _, t := range s.tasks {
		if t.phase == workflow.Pending {
			c.enqueue(now, t)
		}
	}
}

func (c *Core) enqueue(now time.Duration, t *task) {
	if t.pendingIndex || t.job().cancelled || t.job().state.Over() {
		return
	}
	t.pendingIndex, t.queuedAt = true, now
	c.pending = append(c.pending, t)
	c.changed = true
}

func (c *Core) markDirty(j *job) { c.dirty[j] = struct{}{} }

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
	t.wantedPace, t.slowedSince, t.overSince = fullPace, 0, 0
	delete(c.attention, t)
	j := t.job()
	j.placed--
	if j.placed == 0 && j.state.Over() {
		j.rounds = nil
	}
	c.markDirty(j)
}

// Forget drops the submissions that have been over for the retention time, and returns up to limit of them. Their states are stored.
func (c *Core) Forget(now, retention time.Duration, limit int) []workflow.JobID {
	var ids []workflow.JobID
	for id, j := range c.jobs {
		_, dirty := c.dirty[j]
		if len(ids) < limit && j.state.Over() && j.placed == 0 && !dirty && now-j.overAt > retention {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// Batch is what has to be stored together.
type Batch struct {
	ID      int64
	Entries []eventlog.Entry
}

// maxBatchJobs bounds one append; a record has a few hundred bytes.
const maxBatchJobs = 400

// TakeBatch returns the changes since the last batch, nil if there are none. The last batch must be committed.
func (c *Core) TakeBatch(now time.Duration) *Batch {
	silent, stated := c.stateSilence(now)
	if len(c.dirty) == 0 && !stated {
		for _, w := range c.workers {
			// Ends of earlier attempts change nothing that would have to be stored.
			w.confirmed = w.applied
		}
		return nil
	}
	c.batch++
	b := &Batch{ID: c.batch}
	if stated {
		b.Entries = append(b.Entries, silent)
	}
	for j := range c.dirty {
		if len(b.Entries) == maxBatchJobs {
			break
		}
		delete(c.dirty, j)
		rec := j.record()
		e, err := catalog.ProgressEntry(j.sub.Job, rec)
		if err != nil {
			c.logger.Error("progress not stored", "job", j.sub.Job, "error", err)
			continue
		}
		b.Entries = append(b.Entries, e)
		for _, t := range c.committing {
			if t.batch == 0 && t.job() == j {
				t.batch = b.ID
			}
		}
	}
	for _, w := range c.workers {
		w.seal(b.ID, c.dirty)
		if stated && w.silence == silenceEnding {
			w.silenceBatch = b.ID
		}
	}
	return b
}

func (j *job) record() *workflow.Record {
	rec := &workflow.Record{State: j.state}
	if len(j.rounds) == 0 || j.state.Over() && j.placed == 0 {
		return rec
	}
	rec.Tasks = make([][][]workflow.TaskRecord, len(j.rounds))
	for k, r := range j.rounds {
		rec.Tasks[k] = make([][]workflow.TaskRecord, len(r.steps))
		for s, st := range r.steps {
			rows := make([]workflow.TaskRecord, len(st.tasks))
			for i, t := range st.tasks {
				rows[i] = workflow.TaskRecord{Phase: t.phase, Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
				if t.phase == workflow.Placed {
					rows[i].Worker, rows[i].Born = t.worker.ID, t.born
				}
				if t.phase == workflow.Ended {
					rows[i].Checkpoint = ""
				}
			}
			rec.Tasks[k][s] = rows
		}
	}
	return rec
}

// Committed tells that a batch is stored. The starts that it contains are ordered and its ends are confirmed.
func (c *Core) Committed(now time.Duration, id int64) {
	c.endSilence(id)
	rest := c.committing[:0]
	for _, t := range c.committing {
		switch {
		case t.order != orderStoring:
		case t.batch == 0 || t.batch > id:
			rest = append(rest, t)
		case t.worker.unusable() || t.job().state.Over():
			c.giveBack(now, t)
		default:
			c.sendStart(now, t)
		}
	}
	c.committing = rest
	for _, w := range c.workers {
		w.commit(id)
	}
}

// giveBack makes a task pending again whose order was never sent.
func (c *Core) giveBack(now time.Duration, t *task) {
	c.logger.Info("placement withdrawn", "task", t.id, "run", t.run, "worker", t.worker.ID)
	gang := t.step.def.Gang
	c.release(t)
	if gang {
		c.breakGang(now, t.step)
		return
	}
	c.enqueue(now, t)
}

// Orders returns what is to be sent now.
func (c *Core) Orders() []Order {
	o := c.orders
	c.orders = nil
	return o
}

// Order is a call that the owner's loop sends. Sent calls report their outcome to the Core.
type Order interface{ isOrder() }

// StartOrder starts a task.
type StartOrder struct {
	Member Member
	Call   StartCall
	task   *task
}

// StopOrder stops a task.
type StopOrder struct {
	Member Member
	Call   StopCall
	task   *task
}

// PaceOrder sets the pace of a task.
type PaceOrder struct {
	Member Member
	Call   PaceCall
	task   *task
}

// LeaseOrder renews the lease of a worker.
type LeaseOrder struct {
	Member Member
	Call   LeaseCall
	worker *worker
}

func (StartOrder) isOrder() {}
func (StopOrder) isOrder()  {}
func (PaceOrder) isOrder()  {}
func (LeaseOrder) isOrder() {}

// reserved returns what a task occupies exclusively on its worker.
func (t *task) reserved() resource.Vector { return t.step.def.Reserved() }
