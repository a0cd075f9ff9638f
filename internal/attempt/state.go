// Package attempt derives the jobs, tasks and attempts of one shard from its records. It uses no clock, network or
// goroutine.
package attempt

import (
	"sort"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Phase is the state of a task according to the log. Only the owner of the shard knows whether a placed task runs.
type Phase uint8

// The phases.
const (
	Pending Phase = iota
	Placed
	Done
	Failed
	Cancelled
	// Transferred tasks have moved to another shard.
	Transferred
)

// Task is one task of a job.
type Task struct {
	Index int   `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint,omitempty"`
	// Attempt is the number of the newest attempt, zero before the first.
	Attempt int `cbor:"3,keyasint,omitempty"`
	// Failures counts the attempts that failed or were lost.
	Failures    int                  `cbor:"4,keyasint,omitempty"`
	Checkpoint  string               `cbor:"5,keyasint,omitempty"`
	Worker      instance.ID          `cbor:"6,keyasint,omitempty"`
	Incarnation instance.Incarnation `cbor:"7,keyasint,omitempty"`
	// Epoch is the epoch of the newest placement, PlacedAt its time on the clock of its owner.
	Epoch    uint64    `cbor:"8,keyasint,omitempty"`
	PlacedAt time.Time `cbor:"9,keyasint,omitempty"`
	// Reason is the reason for the newest placement or end.
	Reason string `cbor:"10,keyasint,omitempty"`
	// CheckpointedRunTime is the total run time of the attempts that left a checkpoint.
	CheckpointedRunTime time.Duration `cbor:"11,keyasint,omitempty"`
	// Outcome is how the newest closed attempt ended, EndedAt when.
	Outcome upstream.Outcome `cbor:"12,keyasint,omitempty"`
	EndedAt time.Time        `cbor:"13,keyasint,omitempty"`
}

// Job is one job with the tasks that this shard holds.
type Job struct {
	Submit    contract.Submit
	Cancelled bool
	Tasks     []*Task
	// State holds the totals. Running counts the placed tasks, whether or not they run.
	State contract.JobState
	// submitOffset is the offset of the record that added the job.
	submitOffset uint64
}

// Task returns the task with the given index, or nil.
func (j *Job) Task(index int) *Task {
	if index >= 0 && index < len(j.Tasks) && j.Tasks[index].Index == index {
		return j.Tasks[index]
	}
	i := sort.Search(len(j.Tasks), func(i int) bool { return j.Tasks[i].Index >= index })
	if i < len(j.Tasks) && j.Tasks[i].Index == index {
		return j.Tasks[i]
	}
	return nil
}

// maxFinishedJobs limits the summaries of finished jobs that are kept. A shard of the target size ends about 80 jobs a
// day.
const maxFinishedJobs = 256

// finishedJob is the summary kept of a finished job. For a job that was submitted to another shard, Indexes lists its
// tasks in this shard, because more of its tasks may still be transferred here.
type finishedJob struct {
	State   contract.JobState `cbor:"1,keyasint"`
	Indexes []int             `cbor:"2,keyasint,omitempty"`
}

// State is the state of one shard. It implements shard.State. The zero value is not usable; see New.
type State struct {
	shard string
	// jobs holds the unfinished jobs by id, jobOrder in the order of their submission.
	jobs     map[string]*Job
	jobOrder []*Job
	finished []finishedJob
	drained  map[instance.ID]bool
	// placed holds the open attempts by worker.
	placed map[instance.ID]map[upstream.TaskRef]*Task
	// transfers holds the outgoing transfers that are not confirmed yet.
	transfers []contract.TransferOut
	// pending counts the pending tasks of all jobs.
	pending int
}

// New returns the empty state of a shard.
func New(shard string) *State {
	s := &State{shard: shard}
	s.Reset()
	return s
}

// Reset implements shard.State.
func (s *State) Reset() {
	*s = State{shard: s.shard, jobs: map[string]*Job{}, drained: map[instance.ID]bool{},
		placed: map[instance.ID]map[upstream.TaskRef]*Task{}}
}

// Job returns an unfinished job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Jobs returns the unfinished jobs in the order of their submission. The caller must not change the slice.
func (s *State) Jobs() []*Job { return s.jobOrder }

// JobStates returns the summaries of the job with the given id, or of all jobs if id is empty. Finished jobs come
// first.
func (s *State) JobStates(id string) []contract.JobState {
	var out []contract.JobState
	for _, f := range s.finished {
		if id == "" || f.State.Job == id {
			out = append(out, f.State)
		}
	}
	for _, j := range s.jobOrder {
		if id == "" || j.Submit.Job == id {
			out = append(out, j.State)
		}
	}
	return out
}

// PendingCount returns the number of pending tasks.
func (s *State) PendingCount() int { return s.pending }

// PlacedCount returns the number of open attempts.
func (s *State) PlacedCount() int {
	n := 0
	for _, m := range s.placed {
		n += len(m)
	}
	return n
}

// Open returns the open attempts on a worker. The caller must not change the map.
func (s *State) Open(worker instance.ID) map[upstream.TaskRef]*Task { return s.placed[worker] }

// Workers returns the sorted ids of the workers that hold open attempts.
func (s *State) Workers() []instance.ID {
	out := make([]instance.ID, 0, len(s.placed))
	for id := range s.placed {
		out = append(out, id)
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// IsOpen reports whether ref is the open attempt of its task.
func (s *State) IsOpen(ref upstream.TaskRef) bool {
	j := s.jobs[ref.Job]
	if j == nil {
		return false
	}
	t := j.Task(ref.Index)
	return t != nil && t.Phase == Placed && t.Attempt == ref.Attempt
}

// EachPending calls f for the pending tasks, in the order of submission and index, until f returns false.
func (s *State) EachPending(f func(j *Job, t *Task) bool) {
	for _, j := range s.jobOrder {
		if j.State.Pending == 0 {
			continue
		}
		for _, t := range j.Tasks {
			if t.Phase == Pending && !f(j, t) {
				return
			}
		}
	}
}

// Drained reports whether an operator has requested that the worker's tasks move to other workers.
func (s *State) Drained(worker instance.ID) bool { return s.drained[worker] }

// Transfers returns the outgoing transfers that the target shard has not confirmed yet.
func (s *State) Transfers() []contract.TransferOut { return s.transfers }

func (s *State) addJob(offset uint64, sub contract.Submit) *Job {
	j := &Job{Submit: sub, submitOffset: offset, State: contract.JobState{Job: sub.Job, Kind: sub.Kind, Team: sub.Team,
		Shard: s.shard, Submitted: sub.Submitted, Deadline: sub.Deadline}}
	s.jobs[sub.Job] = j
	s.jobOrder = append(s.jobOrder, j)
	return j
}

// submittedHere reports whether the job was submitted to this shard; job ids begin with the name of that shard.
func (s *State) submittedHere(id string) bool { return strings.HasPrefix(id, s.shard+"~") }

func (s *State) knownJob(id string) bool {
	if s.jobs[id] != nil {
		return true
	}
	for _, f := range s.finished {
		if f.State.Job == id {
			return true
		}
	}
	return false
}

// finish replaces a job without pending or placed tasks by its summary. Service jobs are kept, because their attempt
// numbers must continue when the service returns.
func (s *State) finish(j *Job, at time.Time) {
	if j.State.Pending > 0 || j.State.Running > 0 {
		return
	}
	j.State.Ended = at
	if j.Submit.Service {
		return
	}
	delete(s.jobs, j.Submit.Job)
	for i, o := range s.jobOrder {
		if o == j {
			s.jobOrder = append(s.jobOrder[:i], s.jobOrder[i+1:]...)
			break
		}
	}
	f := finishedJob{State: j.State}
	if !s.submittedHere(j.Submit.Job) {
		for _, t := range j.Tasks {
			f.Indexes = append(f.Indexes, t.Index)
		}
	}
	s.finished = append(s.finished, f)
	if n := len(s.finished) - maxFinishedJobs; n > 0 {
		s.finished = append(s.finished[:0], s.finished[n:]...)
	}
}

// setPhase changes the phase of a task and adjusts the totals.
func (s *State) setPhase(j *Job, t *Task, to Phase) {
	s.adjustTotals(j, t.Phase, -1)
	t.Phase = to
	s.adjustTotals(j, to, 1)
}

func (s *State) adjustTotals(j *Job, p Phase, n int) {
	switch p {
	case Pending:
		j.State.Pending += n
		s.pending += n
	case Placed:
		j.State.Running += n
	case Done:
		j.State.Done += n
	case Failed:
		j.State.Failed += n
	case Cancelled:
		j.State.Cancelled += n
	case Transferred:
		j.State.Transferred += n
	}
}

func (s *State) addTask(j *Job, t *Task) {
	j.Tasks = append(j.Tasks, t)
	j.State.Tasks++
	s.adjustTotals(j, t.Phase, 1)
	if t.Phase == Placed {
		s.addPlaced(j, t)
	}
}

func (s *State) addPlaced(j *Job, t *Task) {
	if s.placed[t.Worker] == nil {
		s.placed[t.Worker] = map[upstream.TaskRef]*Task{}
	}
	s.placed[t.Worker][Ref(j, t)] = t
}

func (s *State) removePlaced(j *Job, t *Task) {
	delete(s.placed[t.Worker], Ref(j, t))
	if len(s.placed[t.Worker]) == 0 {
		delete(s.placed, t.Worker)
	}
}

// Ref returns the reference of the task's newest attempt.
func Ref(j *Job, t *Task) upstream.TaskRef {
	return upstream.TaskRef{Job: j.Submit.Job, Index: t.Index, Attempt: t.Attempt}
}
