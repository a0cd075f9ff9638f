package attempt

import (
	"sort"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// maxTasks bounds the tasks of one job, so that one record cannot exhaust the memory of every reader.
const maxTasks = 20000

// serviceStable is how long a replica of a service must have run for its earlier failures to be forgotten; otherwise the pauses before
// its restarts would grow over months.
const serviceStable = 10 * time.Minute

// Apply implements shard.State. It returns an *IgnoredError for a record that does not apply.
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
	if sub.Job == "" || sub.Tasks < 0 || sub.Tasks > maxTasks || sub.Tasks == 0 && !sub.Service {
		return ignored(ref, ReasonMalformed)
	}
	if j := s.jobs[sub.Job]; j != nil && j.Submit.Service && sub.Service {
		s.resize(j, sub)
		return nil
	}
	if s.known(sub.Job) {
		return ignored(ref, ReasonKnownJob)
	}
	j := s.addJob(offset, sub)
	for i := range sub.Tasks {
		s.addTask(j, &Task{Index: i})
	}
	return nil
}

// resize gives a service job another number of tasks. Attempt numbers go on, because workers remember them.
func (s *State) resize(j *Job, sub contract.Submit) {
	j.Submit, j.Cancelled = sub, false
	j.State.Ended = time.Time{}
	for i := len(j.Tasks); i < sub.Tasks; i++ {
		s.addTask(j, &Task{Index: i})
	}
	for _, t := range j.Tasks {
		switch {
		case t.Index < sub.Tasks && t.Phase == Cancelled:
			s.move(j, t, Pending)
		case t.Index >= sub.Tasks && t.Phase == Pending:
			s.move(j, t, Cancelled)
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
			s.move(j, t, Cancelled)
		}
	}
	s.finish(j, c.At)
	return nil
}

// Unwanted reports whether a placed task is to be stopped because its job was cancelled or its service shrank.
func Unwanted(j *Job, t *Task) bool {
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
	s.move(j, t, Placed)
	t.Attempt, t.Worker, t.Boot, t.Epoch = p.Attempt, p.Worker, p.Boot, epoch
	t.PlacedAt, t.Reason = p.At, p.Reason
	j.State.Attempts++
	if p.Checkpoint != "" {
		j.State.Resumed++
	}
	s.hold(j, t)
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
	s.release(j, t)
	s.end(j, t, c)
	s.move(j, t, nextPhase(j, t, c))
	s.finish(j, c.At)
	return nil
}

func (s *State) end(j *Job, t *Task, c *contract.Close) {
	if !ran(c) {
		// An attempt that was given up before it started counts neither as an attempt nor as a resume or eviction.
		j.State.Attempts--
		if t.Checkpoint != "" {
			j.State.Resumed--
		}
	}
	t.Outcome, t.EndedAt, t.Reason = c.Outcome, c.At, c.Reason
	if j.Submit.Service && c.RunTime >= serviceStable {
		t.Failures = 0
	}
	if c.Checkpoint != "" {
		t.Checkpoint = c.Checkpoint
		t.Ran += c.RunTime
	}
	switch c.Outcome {
	case upstream.OutcomeEvicted:
		if ran(c) {
			j.State.Evicted++
		}
	case upstream.OutcomeFailed, upstream.OutcomeLost:
		t.Failures++
	}
	// A service starts anew after it ended by itself.
	if c.Outcome == upstream.OutcomeDone && j.Submit.Service {
		t.Checkpoint, t.Ran = "", 0
	}
	j.State.Cost += c.Cost
}

// ran reports whether the closed attempt was started, as far as its owner knows. The run time of one that was given up is zero.
func ran(c *contract.Close) bool {
	return c.RunTime > 0 || c.Outcome != upstream.OutcomeEvicted && c.Outcome != upstream.OutcomeCancelled
}

func nextPhase(j *Job, t *Task, c *contract.Close) Phase {
	switch {
	case c.Outcome == upstream.OutcomeDone && !j.Submit.Service:
		return Done
	case Unwanted(j, t):
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
		for i := range s.out {
			if s.out[i].In == o.In {
				s.out = append(s.out[:i:i], s.out[i+1:]...)
				return nil
			}
		}
		return ignored(upstream.TaskRef{Job: o.Job}, ReasonUnknownJob)
	}
	j := s.jobs[o.Job]
	if j == nil {
		return ignored(upstream.TaskRef{Job: o.Job}, ReasonUnknownJob)
	}
	// All or nothing: the record that arrives in the other shard lists the same tasks.
	for _, m := range o.Tasks {
		t := j.Task(m.Index)
		if t == nil || t.Phase != Pending || t.Attempt != m.Attempts || t.Checkpoint != m.Checkpoint {
			return ignored(upstream.TaskRef{Job: o.Job, Index: m.Index}, ReasonNotPending)
		}
	}
	for _, m := range o.Tasks {
		s.move(j, j.Task(m.Index), Moved)
	}
	s.out = append(s.out, *o)
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
	for _, m := range in.Tasks {
		if m.Index < 0 || m.Index >= maxTasks || j.Task(m.Index) != nil {
			continue
		}
		s.addTask(j, &Task{Index: m.Index, Attempt: m.Attempts, Checkpoint: m.Checkpoint})
		sort.Slice(j.Tasks, func(i, k int) bool { return j.Tasks[i].Index < j.Tasks[k].Index })
	}
	if j.Cancelled || j.State.Pending == 0 {
		return s.cancelArrived(j)
	}
	return nil
}

// reopen continues a job of another shard whose earlier tasks have ended here.
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

// cancelArrived ends the tasks that arrived for a cancelled job, and a job for which nothing new arrived.
func (s *State) cancelArrived(j *Job) error {
	for _, t := range j.Tasks {
		if j.Cancelled && t.Phase == Pending {
			s.move(j, t, Cancelled)
		}
	}
	s.finish(j, j.Submit.Submitted)
	return nil
}
