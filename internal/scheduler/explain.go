package scheduler

import (
	"fmt"
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
)

// maxExplained limits the tasks that the explanation of one job lists.
const maxExplained = 50

func (s *Scheduler) handleExplain(now time.Time, m *contract.Explain) (contract.Message, error) {
	sh, err := s.ownedShard(m.Shard)
	if err != nil {
		return nil, err
	}
	r := &contract.ExplainReply{}
	if j := sh.state.Job(m.Subject); j != nil {
		r.Lines = s.explainJob(sh, j)
	} else if w := sh.own.workers[instance.ID(m.Subject)]; w != nil {
		r.Lines = s.explainWorker(sh, w, now)
	} else {
		for _, j := range sh.state.JobStates(m.Subject) {
			r.Lines = append(r.Lines, fmt.Sprintf(
				"job %s ended at %s: %d done, %d failed, %d cancelled, %d attempts, cost %d",
				j.Job, j.Ended.Format(time.RFC3339), j.Done, j.Failed, j.Cancelled, j.Attempts, j.Cost))
		}
	}
	return r, nil
}

func (s *Scheduler) explainJob(sh *managedShard, j *attempt.Job) []string {
	st := j.State
	lines := []string{fmt.Sprintf(
		"job %s of kind %s: %d tasks, %d pending, %d placed, %d done, %d failed, %d cancelled",
		st.Job, st.Kind, st.Tasks, st.Pending, st.Running, st.Done, st.Failed, st.Cancelled)}
	if p := sh.own.unschedulableReasons[st.Job]; p != "" {
		lines = append(lines, "parked: "+p)
	}
	if p := sh.own.notPlacedReasons[st.Job]; p != "" {
		lines = append(lines, "waits: "+p)
	}
	for i, t := range j.Tasks {
		if i == maxExplained {
			return append(lines, fmt.Sprintf("%d further tasks", len(j.Tasks)-i))
		}
		line := fmt.Sprintf("task %d: attempt %d", t.Index, t.Attempt)
		switch t.Phase {
		case attempt.Placed:
			line += fmt.Sprintf(" on worker %s since %s, %s", t.Worker, t.PlacedAt.Format(time.RFC3339), t.Reason)
		case attempt.Pending:
			line += " pending"
		default:
			line += " ended"
		}
		if t.Outcome != "" {
			line += fmt.Sprintf("; last outcome %s (%s)", t.Outcome, t.Reason)
		}
		lines = append(lines, line)
	}
	return lines
}

func (s *Scheduler) explainWorker(sh *managedShard, w *worker, now time.Time) []string {
	state := "takes work"
	switch {
	case !w.lease.Fenced():
		state = "has not answered this owner"
	case w.lease.Lapsed(now):
		state = "has lost its lease"
	case w.leaving():
		state = "is leaving"
	case sh.state.Drained(w.id):
		state = "is drained"
	case w.health.quarantined(now):
		state = "is in quarantine until " + w.health.quarantinedUntil.Format(time.RFC3339)
	case w.health.onProbation():
		state = "is on probation"
	}
	held := w.allocated(func(*openAttempt) bool { return true })
	lines := []string{fmt.Sprintf("worker %s in rack %d %s; tasks hold %d of %d millicores and %d of %d MB", w.id,
		w.member.Rack, state, held.MilliCores, s.allocatable(w).MilliCores, held.MemoryMB, s.allocatable(w).MemoryMB)}
	var tasks []string
	for ref, a := range w.attempts {
		line := fmt.Sprintf("job %s task %d attempt %d", ref.Job, ref.Index, ref.Attempt)
		if a.startedAt.IsZero() {
			line += " is not started"
		} else {
			line += " runs since " + a.startedAt.Format(time.RFC3339)
		}
		tasks = append(tasks, line)
	}
	sort.Strings(tasks)
	return append(lines, tasks...)
}
