package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

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
	// permits is what the advisor has said of the step's workers.
	permits permits
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
	// strain is that of a service task.
	strain   strain
	avoid    string
	queuedAt time.Duration
	// queued tells that the task is in the list of pending tasks.
	queued bool
}

func (t *task) job() *job { return t.step.round.job }

func (t *task) attempt() Attempt { return Attempt{Task: t.id, Run: t.run} }

// refreshTerms takes the terms of the queue in force; those of the submission stay when the queue was removed.
func (c *Core) refreshTerms(j *job) {
	if c.config == nil {
		return
	}
	if q := c.config.Named(j.sub.Terms.Queue); q != nil {
		j.terms = q.Terms
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
	if t.queued || t.job().cancelled || t.job().state.Over() {
		return
	}
	t.queued, t.queuedAt = true, now
	c.pending = append(c.pending, t)
	c.changed = true
}

// reserved returns what a task occupies exclusively on its worker.
func (t *task) reserved() resource.Vector { return t.step.def.Reserved() }
