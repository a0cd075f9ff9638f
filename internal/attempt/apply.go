package attempt

import (
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// maxTasksPerJob limits the tasks of one job, so that a single record cannot exhaust the memory of every reader.
const maxTasksPerJob = 20000

// failureResetRunTime is the run time after which the earlier failures of a service replica no longer count. Otherwise
// the delays before its restarts would grow over months.
const failureResetRunTime = 10 * time.Minute

// Apply implements shard.State. It returns an *IgnoredError for a record that does not apply to the state.
func (s *State) Apply(offset, epoch uint64, b contract.Body) error {
	switch b := b.(type) {
	case *contract.Submit:
		return s.submit(offset, *b)
	case *contract.Cancel:
		return s.cancel(b)
	case *contract.Place:
		return s.place(epoch, b)
	case *contract.Close:
		return s.close(b)
	case *contract.TransferOut:
		return s.transferOut(b)
	case *contract.TransferIn:
		return s.transferIn(offset, b)
	case *contract.Drain:
		if b.Drain {
			s.drained[b.Worker] = true
		} else {
			delete(s.drained, b.Worker)
		}
	}
	return nil
}

func (s *State) submit(offset uint64, sub contract.Submit) error {
	ref := upstream.TaskRef{Job: sub.Job}
	if sub.Job == "" || sub.Tasks < 0 || sub.Tasks > maxTasksPerJob || sub.Tasks == 0 && !sub.Service {
		return ignored(ref, ReasonMalformed)
	}
	if j := s.jobs[sub.Job]; j != nil && j.Submit.Service && sub.Service {
		s.resize(j, sub)
		return nil
	}
	if s.knownJob(sub.Job) {
		return ignored(ref, ReasonKnownJob)
	}
	j := s.addJob(offset, sub)
	for i := range sub.Tasks {
		s.addTask(j, &Task{Index: i})
	}
	return nil
}

// resize changes the number of tasks of a service job. Tasks that return keep their attempt numbers, because workers
// refuse attempt numbers that they have already started.
func (s *State) resize(j *Job, sub contract.Submit) {
	j.Submit, j.Cancelled = sub, false
	j.State.Ended = time.Time{}
	for i := len(j.Tasks); i < sub.Tasks; i++ {
		s.addTask(j, &Task{Index: i})
	}
	for _, t := range j.Tasks {
		switch {
		case t.Index < sub.Tasks && t.Phase == Cancelled:
			s.setPhase(j, t, Pending)
		case t.Index >= sub.Tasks && t.Phase == Pending:
			s.setPhase(j, t, Cancelled)
		}
	}
}

func (s *State) cancel(c *contract.Cancel) error {
	j := s.jobs[c.Job]
	if j == nil {
		return ignored(upstream.TaskRef{Job: c.Job}, ReasonUnknownJob)
	}
	j.Cancelled = true
	for _, t := range j.Tasks {
		if t.Phase == Pending {
			s.setPhase(j, t, Cancelled)
		}
	}
	s.finish(j, c.At)
	return nil
}

// ShouldStop reports whether a placed task is to be stopped, because its job was cancelled or its service has fewer
// replicas now.
func ShouldStop(j *Job, t *Task) bool {
	return j.Cancelled || j.Submit.Service && t.Index >= j.Submit.Tasks
}

func (s *State) place(epoch uint64, p *contract.Place) error {
	j := s.jobs[p.Job]
	if j == nil {
		return ignored(p.TaskRef, ReasonUnknownJob)
	}
	t := j.Task(p.Index)
	if t == nil {
		return ignored(p.TaskRef, ReasonUnknownTask)
	}
	open := t.Phase == Placed
	invariant.Check(invariant.SingleAttempt, !(open && p.Attempt > t.Attempt), "job", p.Job, "index", p.Index,
		"open", t.Attempt, "placed", p.Attempt)
	if t.Phase != Pending {
		return ignored(p.TaskRef, ReasonNotPending)
	}
	if p.Attempt != t.Attempt+1 {
		return ignored(p.TaskRef, ReasonAttempt)
	}
	resumes := p.Checkpoint == t.Checkpoint
	invariant.Check(invariant.ResumeOnce, resumes, "job", p.Job, "index", p.Index, "attempt", p.Attempt,
		"newest", t.Checkpoint, "placed", p.Checkpoint)
	if !resumes {
		return ignored(p.TaskRef, ReasonMalformed)
	}
	s.setPhase(j, t, Placed)
	t.Attempt, t.Worker, t.Incarnation, t.Epoch = p.Attempt, p.Worker, p.Incarnation, epoch
	t.PlacedAt, t.Reason = p.At, p.Reason
	j.State.Attempts++
	if p.Checkpoint != "" {
		j.State.Resumed++
	}
	s.addPlaced(j, t)
	return nil
}

func (s *State) close(c *contract.Close) error {
	j := s.jobs[c.Job]
	if j == nil {
		return ignored(c.TaskRef, ReasonUnknownJob)
	}
	t := j.Task(c.Index)
	if t == nil {
		return ignored(c.TaskRef, ReasonUnknownTask)
	}
	if t.Phase != Placed || t.Attempt != c.Attempt {
		return ignored(c.TaskRef, ReasonNotOpen)
	}
	s.removePlaced(j, t)
	s.recordEnd(j, t, c)
	s.setPhase(j, t, nextPhase(j, t, c))
	s.finish(j, c.At)
	return nil
}

func (s *State) recordEnd(j *Job, t *Task, c *contract.Close) {
	if !wasStarted(c) {
		// An attempt that was withdrawn before its start counts neither as an attempt nor as a resume or eviction.
		j.State.Attempts--
		if t.Checkpoint != "" {
			j.State.Resumed--
		}
	}
	t.Outcome, t.EndedAt, t.Reason = c.Outcome, c.At, c.Reason
	if j.Submit.Service && c.RunTime >= failureResetRunTime {
		t.Failures = 0
	}
	if c.Checkpoint != "" {
		t.Checkpoint = c.Checkpoint
		t.CheckpointedRunTime += c.RunTime
	}
	switch c.Outcome {
	case upstream.OutcomeEvicted:
		if wasStarted(c) {
			j.State.Evicted++
		}
	case upstream.OutcomeFailed, upstream.OutcomeLost:
		t.Failures++
	}
	// A service that ended by itself restarts without a checkpoint.
	if c.Outcome == upstream.OutcomeDone && j.Submit.Service {
		t.Checkpoint, t.CheckpointedRunTime = "", 0
	}
	j.State.Cost += c.Cost
}

// wasStarted reports whether the closed attempt was started, as far as its owner knows. A withdrawn attempt has no run
// time.
func wasStarted(c *contract.Close) bool {
	return c.RunTime > 0 || c.Outcome != upstream.OutcomeEvicted && c.Outcome != upstream.OutcomeCancelled
}

func nextPhase(j *Job, t *Task, c *contract.Close) Phase {
	switch {
	case c.Outcome == upstream.OutcomeDone && !j.Submit.Service:
		return Done
	case ShouldStop(j, t):
		return Cancelled
	case c.Outcome == upstream.OutcomeCancelled && !j.Submit.Service:
		return Cancelled
	case c.Final && !j.Submit.Service:
		return Failed
	}
	return Pending
}

func (s *State) transferOut(o *contract.TransferOut) error {
	if o.Done {
		for i := range s.transfers {
			if s.transfers[i].In == o.In {
				s.transfers = append(s.transfers[:i:i], s.transfers[i+1:]...)
				return nil
			}
		}
		return ignored(upstream.TaskRef{Job: o.Job}, ReasonUnknownJob)
	}
	j := s.jobs[o.Job]
	if j == nil {
		return ignored(upstream.TaskRef{Job: o.Job}, ReasonUnknownJob)
	}
	// The record applies to all of its tasks or to none, because the TransferIn record of the other shard lists the
	// same tasks.
	for _, moved := range o.Tasks {
		t := j.Task(moved.Index)
		if t == nil || t.Phase != Pending || t.Attempt != moved.Attempts || t.Checkpoint != moved.Checkpoint {
			return ignored(upstream.TaskRef{Job: o.Job, Index: moved.Index}, ReasonNotPending)
		}
	}
	for _, moved := range o.Tasks {
		s.setPhase(j, j.Task(moved.Index), Transferred)
	}
	s.transfers = append(s.transfers, *o)
	if j.State.Pending == 0 && j.State.Running == 0 {
		s.finish(j, j.Submit.Submitted)
	}
	return nil
}

func (s *State) transferIn(offset uint64, in *contract.TransferIn) error {
	j := s.jobs[in.Submit.Job]
	if j == nil {
		j = s.addJob(offset, in.Submit)
		s.reopen(j)
	}
	for _, arrived := range in.Tasks {
		if arrived.Index < 0 || arrived.Index >= maxTasksPerJob || j.Task(arrived.Index) != nil {
			continue
		}
		s.addTask(j, &Task{Index: arrived.Index, Attempt: arrived.Attempts, Checkpoint: arrived.Checkpoint})
		sort.Slice(j.Tasks, func(i, k int) bool { return j.Tasks[i].Index < j.Tasks[k].Index })
	}
	if j.Cancelled || j.State.Pending == 0 {
		return s.finishTransferIn(j)
	}
	return nil
}

// reopen restores the totals and tasks of a finished job from another shard of which further tasks arrive.
func (s *State) reopen(j *Job) {
	for i, f := range s.finished {
		if f.State.Job != j.Submit.Job {
			continue
		}
		s.finished = append(s.finished[:i:i], s.finished[i+1:]...)
		j.State = f.State
		j.State.Ended = time.Time{}
		for _, index := range f.Indexes {
			j.Tasks = append(j.Tasks, &Task{Index: index, Phase: Done})
		}
		return
	}
}

// finishTransferIn cancels the tasks that arrived for a cancelled job, and finishes a job for which no new task
// arrived.
func (s *State) finishTransferIn(j *Job) error {
	for _, t := range j.Tasks {
		if j.Cancelled && t.Phase == Pending {
			s.setPhase(j, t, Cancelled)
		}
	}
	s.finish(j, j.Submit.Submitted)
	return nil
}
