package scheduler

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/placement"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// maxPlaces bounds the tasks that one round places, and the tasks of one job that it considers: they have the same deadline, so
	// that more of them would not change the order. maxCandidates bounds the tasks of all jobs.
	maxPlaces     = 250
	maxCandidates = 10000
	// maxOfTeam bounds the tasks of one team, so that its backlog leaves candidates to the other teams.
	maxOfTeam  = maxCandidates / 4
	firstPause = 500 * time.Millisecond
	maxPause   = time.Minute
)

type teamKind struct{ team, kind string }

type taskKey struct {
	job   string
	index int
}

// place writes Place records for pending tasks.
func (s *Scheduler) place(sh *shardLoop, now time.Time) {
	clear(sh.own.refused)
	if sh.state.PendingCount() == 0 && sh.state.PlacedCount() == 0 {
		return
	}
	placing := map[taskKey]*contract.Place{}
	sh.out.each(func(b contract.Body) {
		if p, ok := b.(*contract.Place); ok {
			placing[taskKey{p.Job, p.Index}] = p
		}
	})
	usage := s.usage(sh)
	tasks := s.candidates(sh, now, placing, usage)
	waiting := s.waiting(sh, now)
	if len(placing) >= maxPlaces || len(tasks)+len(waiting) == 0 {
		return
	}
	state := s.placementState(sh, now, placing)
	state.Usage = usage
	s.policy.place.Order(now, tasks)
	waiting = s.freeAhead(sh, state, waiting)
	left := s.placeAll(sh, now, state, tasks, maxPlaces-len(placing))
	s.placeAhead(sh, now, usage, left, waiting, placing)
	s.checkShares(sh, placing)
}

// placeAll places tasks on workers that have room and returns those for which none has.
func (s *Scheduler) placeAll(sh *shardLoop, now time.Time, state *placement.State, tasks []placement.Task, limit int) (left []placement.Task) {
	// Tasks of one kind have one size, so that one refusal speaks for all of them of one team in this round.
	refused := map[teamKind]*refusal{}
	for _, t := range tasks {
		if limit == 0 {
			return nil
		}
		key := teamKind{t.Team, t.Kind}
		r := refused[key]
		if r == nil {
			d, err := s.policy.place.Place(state, t)
			if err == nil {
				delete(sh.own.parked, t.Job)
				state.Assign(t, d.Worker)
				s.putPlace(sh, now, t, d)
				limit--
				continue
			}
			r = s.refusalOf(err)
			refused[key] = r
		}
		sh.own.refuse(t.Job, r)
		if r.reason == placement.ReasonNoRoom {
			left = append(left, t)
		}
	}
	return left
}

// refusal is why the tasks of one kind were not placed in a round.
type refusal struct {
	reason placement.Reason
	parked bool
	text   string
}

func (s *Scheduler) refusalOf(err error) *refusal {
	var r *placement.Refusal
	if !errors.As(err, &r) {
		return &refusal{text: err.Error()}
	}
	s.metrics.refusals.WithLabelValues(string(r.Reason)).Inc()
	return &refusal{reason: r.Reason, parked: r.Parked, text: r.Error()}
}

// refuse notes the reason for explanations and job states.
func (o *ownership) refuse(job string, r *refusal) {
	o.refused[job] = r.text
	if r.parked {
		o.parked[job] = r.text
	} else {
		delete(o.parked, job)
	}
}

func (s *Scheduler) putPlace(sh *shardLoop, now time.Time, t placement.Task, d placement.Decision) {
	task := sh.state.Job(t.Job).Task(t.Index)
	w := sh.own.workers[d.Worker]
	s.put(sh, sh.own.epoch, &contract.Place{
		TaskRef: upstream.TaskRef{Job: t.Job, Index: t.Index, Attempt: task.Attempt + 1}, Worker: d.Worker,
		Boot: w.lease.Boot(), Checkpoint: task.Checkpoint, At: now, Reason: s.policy.place.Name() + ": " + d.Reason})
}

// candidates returns the pending tasks that may be placed now.
func (s *Scheduler) candidates(sh *shardLoop, now time.Time, placing map[taskKey]*contract.Place, usage *placement.Usage) []placement.Task {
	var out []placement.Task
	ofTeam := map[string]int{}
	var job *attempt.Job
	ofJob := 0
	sh.state.EachPending(func(j *attempt.Job, t *attempt.Task) bool {
		if j != job {
			job, ofJob = j, 0
		}
		if ofJob >= maxPlaces {
			return true
		}
		k, known := s.kinds[j.Submit.Kind]
		if !known {
			sh.own.parked[j.Submit.Job] = "kind " + j.Submit.Kind + " is not in the manifest"
			return true
		}
		if placing[taskKey{j.Submit.Job, t.Index}] != nil || now.Before(t.EndedAt.Add(pause(t))) {
			return true
		}
		if err := usage.Check(placement.Task{Kind: k.Name, Team: j.Submit.Team, Size: k.Size}); err != nil {
			// The rest of the job has the same size, so that it is refused as well.
			sh.own.refuse(j.Submit.Job, s.refusalOf(err))
			ofJob = maxPlaces
			return true
		}
		if ofTeam[j.Submit.Team] >= maxOfTeam {
			return true
		}
		ofJob++
		ofTeam[j.Submit.Team]++
		out = append(out, placementTask(j, t, k))
		return len(out) < maxCandidates
	})
	return out
}

// pause is how long a task waits after a failure, so that work that fails at once does not occupy the log.
func pause(t *attempt.Task) time.Duration {
	if t.Failures == 0 || t.Outcome == upstream.OutcomeEvicted {
		return 0
	}
	return min(firstPause<<min(t.Failures, 10), maxPause)
}

func placementTask(j *attempt.Job, t *attempt.Task, k kindInfo) placement.Task {
	return placement.Task{Job: j.Submit.Job, Index: t.Index, Kind: k.Name, Team: j.Submit.Team, Size: k.Size,
		Rank: k.Urgency.Rank(), Deadline: j.Submit.Deadline, Remaining: remaining(j, t, k), Submitted: j.Submit.Submitted}
}

// placementState lists the workers with what they hold, placements on their way included.
func (s *Scheduler) placementState(sh *shardLoop, now time.Time, placing map[taskKey]*contract.Place) *placement.State {
	ids := make([]instance.ID, 0, len(sh.own.workers))
	for id, w := range sh.own.workers {
		if w.member.ID != "" {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	workers := make([]placement.Worker, len(ids))
	for i, id := range ids {
		w := sh.own.workers[id]
		workers[i] = placement.Worker{ID: id, Rack: w.member.Rack, Capacity: w.member.Capacity,
			Reserved: s.policy.envelope.Scale(int64(w.member.Slots)), Used: w.held(func(*run) bool { return true }),
			Tasks: len(w.tasks), Fenced: w.lease.Fenced() && !w.lease.Lapsed(now) && !w.failing,
			Leaving: w.leaving, Draining: sh.state.Drained(id), Quarantined: w.health.quarantined(now)}
	}
	state := placement.NewState(workers)
	for _, id := range ids {
		for ref := range sh.own.workers[id].tasks {
			state.Note(ref.Job, id)
		}
	}
	for _, p := range placing {
		state.Assign(placement.Task{Job: p.Job, Size: s.kindOf(sh, p.Job).Size}, p.Worker)
	}
	return state
}
