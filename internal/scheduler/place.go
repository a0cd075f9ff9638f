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
	// maxPlacements limits the tasks that one round places, and the tasks of one job that it considers: tasks of a job
	// have the same deadline, so that more of them would not change the order. maxCandidates limits the tasks of all
	// jobs.
	maxPlacements = 250
	maxCandidates = 10000
	// maxCandidatesPerTeam limits the tasks of one team, so that its backlog does not crowd out the other teams.
	maxCandidatesPerTeam = maxCandidates / 4
	// minRetryDelay and maxRetryDelay limit the backoff of a failed task.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = time.Minute
)

type teamKind struct{ team, kind string }

type taskKey struct {
	job   string
	index int
}

// placePending runs one round of placements: it writes Place records for pending tasks.
func (s *Scheduler) placePending(sh *managedShard, now time.Time) {
	clear(sh.own.notPlacedReasons)
	if sh.state.PendingCount() == 0 && sh.state.PlacedCount() == 0 {
		return
	}
	inFlight := map[taskKey]*contract.Place{}
	sh.out.each(func(b contract.Body) {
		if p, ok := b.(*contract.Place); ok {
			inFlight[taskKey{p.Job, p.Index}] = p
		}
	})
	usage := s.quotaUsage(sh)
	tasks := s.candidates(sh, now, inFlight, usage)
	queued := s.queuedAttempts(sh, now)
	if len(inFlight) >= maxPlacements || len(tasks)+len(queued) == 0 {
		return
	}
	state := s.placementState(sh, now, inFlight)
	state.Usage = usage
	s.policy.placementPolicy.Order(now, tasks)
	queued = s.withdrawMovable(sh, state, queued)
	unplaced := s.placeAll(sh, now, state, tasks, maxPlacements-len(inFlight))
	s.placeQueued(sh, now, usage, unplaced, queued, inFlight)
	s.assertQuotaShares(sh, inFlight)
}

// placeAll places at most limit tasks on workers that have room and returns those for which no worker has room.
func (s *Scheduler) placeAll(sh *managedShard, now time.Time, state *placement.State, tasks []placement.Task,
	limit int) (unplaced []placement.Task) {
	// Tasks of one kind have the same size, so in one round a placement failure applies to all tasks of that kind and
	// team.
	failures := map[teamKind]*placementFailure{}
	for _, t := range tasks {
		if limit == 0 {
			return nil
		}
		key := teamKind{t.Team, t.Kind}
		failure := failures[key]
		if failure == nil {
			d, err := s.policy.placementPolicy.Place(state, t)
			if err == nil {
				delete(sh.own.unschedulableReasons, t.Job)
				state.Assign(t, d.Worker)
				s.enqueuePlace(sh, now, t, d)
				limit--
				continue
			}
			failure = s.placementFailureOf(err)
			failures[key] = failure
		}
		sh.own.recordPlacementFailure(t.Job, failure)
		if failure.reason == placement.ReasonNoRoom {
			unplaced = append(unplaced, t)
		}
	}
	return unplaced
}

// placementFailure is the reason why the tasks of one kind and team were not placed in a round. unschedulable reports
// that no worker could ever hold them.
type placementFailure struct {
	reason        placement.Reason
	unschedulable bool
	text          string
}

func (s *Scheduler) placementFailureOf(err error) *placementFailure {
	var r *placement.Refusal
	if !errors.As(err, &r) {
		return &placementFailure{text: err.Error()}
	}
	s.metrics.refusals.WithLabelValues(string(r.Reason)).Inc()
	return &placementFailure{reason: r.Reason, unschedulable: r.Unschedulable, text: r.Error()}
}

// recordPlacementFailure stores the reason for the explanations and states of a job.
func (o *ownerState) recordPlacementFailure(job string, r *placementFailure) {
	o.notPlacedReasons[job] = r.text
	if r.unschedulable {
		o.unschedulableReasons[job] = r.text
	} else {
		delete(o.unschedulableReasons, job)
	}
}

func (s *Scheduler) enqueuePlace(sh *managedShard, now time.Time, t placement.Task, d placement.Decision) {
	task := sh.state.Job(t.Job).Task(t.Index)
	w := sh.own.workers[d.Worker]
	s.enqueue(sh, sh.own.epoch, &contract.Place{
		TaskRef: upstream.TaskRef{Job: t.Job, Index: t.Index, Attempt: task.Attempt + 1}, Worker: d.Worker,
		Incarnation: w.lease.Incarnation(), Checkpoint: task.Checkpoint, At: now,
		Reason: s.policy.placementPolicy.Name() + ": " + d.Reason})
}

// candidates returns the pending tasks that may be placed now. inFlight holds the Place records that were not read back
// yet.
func (s *Scheduler) candidates(sh *managedShard, now time.Time, inFlight map[taskKey]*contract.Place,
	usage *placement.Usage) []placement.Task {
	var out []placement.Task
	perTeam := map[string]int{}
	var job *attempt.Job
	perJob := 0
	sh.state.EachPending(func(j *attempt.Job, t *attempt.Task) bool {
		if j != job {
			job, perJob = j, 0
		}
		if perJob >= maxPlacements {
			return true
		}
		k, known := s.kinds[j.Submit.Kind]
		if !known {
			sh.own.unschedulableReasons[j.Submit.Job] = "kind " + j.Submit.Kind + " is not in the manifest"
			return true
		}
		if inFlight[taskKey{j.Submit.Job, t.Index}] != nil || now.Before(t.EndedAt.Add(retryDelay(t))) {
			return true
		}
		if err := usage.Check(placement.Task{Kind: k.Name, Team: j.Submit.Team, Size: k.Size}); err != nil {
			// The other tasks of the job have the same size and would exceed the share as well.
			sh.own.recordPlacementFailure(j.Submit.Job, s.placementFailureOf(err))
			perJob = maxPlacements
			return true
		}
		if perTeam[j.Submit.Team] >= maxCandidatesPerTeam {
			return true
		}
		perJob++
		perTeam[j.Submit.Team]++
		out = append(out, placementTask(j, t, k))
		return len(out) < maxCandidates
	})
	return out
}

// retryDelay returns how long a task waits after a failure. The delay keeps tasks that fail immediately from flooding
// the log.
func retryDelay(t *attempt.Task) time.Duration {
	if t.Failures == 0 || t.Outcome == upstream.OutcomeEvicted {
		return 0
	}
	return min(minRetryDelay<<min(t.Failures, 10), maxRetryDelay)
}

func placementTask(j *attempt.Job, t *attempt.Task, k jobKind) placement.Task {
	return placement.Task{Job: j.Submit.Job, Index: t.Index, Kind: k.Name, Team: j.Submit.Team, Size: k.Size,
		Rank: k.Urgency.Rank(), Deadline: j.Submit.Deadline, Remaining: remaining(j, t, k),
		Submitted: j.Submit.Submitted}
}

// placementState returns the workers with their allocations, which include the placements in flight.
func (s *Scheduler) placementState(sh *managedShard, now time.Time,
	inFlight map[taskKey]*contract.Place) *placement.State {
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
			Reserved: s.policy.envelope.Scale(int64(w.member.Slots)),
			Used:     w.allocated(func(*openAttempt) bool { return true }), Tasks: len(w.attempts),
			Fenced:  w.lease.Fenced() && !w.lease.Lapsed(now) && !w.unreachable,
			Leaving: w.leaving(), Draining: sh.state.Drained(id), Quarantined: w.health.quarantined(now),
			Probation: w.health.onProbation()}
	}
	state := placement.NewState(workers)
	for _, id := range ids {
		for ref := range sh.own.workers[id].attempts {
			state.AddAttempt(ref.Job, id)
		}
	}
	for _, p := range inFlight {
		state.Assign(placement.Task{Job: p.Job, Size: s.kindOf(sh, p.Job).Size}, p.Worker)
	}
	return state
}
