// Package attempt holds the jobs, tasks and attempts of one shard as its records give them. It holds no clock, network or
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

// Phase is the state of a task as the log gives it. Whether a placed task runs is known to the owner only.
type Phase uint8

// The phases.
const (
	Pending Phase = iota
	Placed
	Done
	Failed
	Cancelled
	Moved
)

// Task is one task of a job.
type Task struct {
	Index int   `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint,omitempty"`
	// Attempt is the number of the newest attempt, zero before the first.
	Attempt int `cbor:"3,keyasint,omitempty"`
	// Failures counts the attempts that failed or were lost.
	Failures   int                  `cbor:"4,keyasint,omitempty"`
	Checkpoint string               `cbor:"5,keyasint,omitempty"`
	Worker     instance.ID          `cbor:"6,keyasint,omitempty"`
	Boot       instance.Incarnation `cbor:"7,keyasint,omitempty"`
	// Epoch is the epoch of the placement, PlacedAt its owner's time.
	Epoch    uint64    `cbor:"8,keyasint,omitempty"`
	PlacedAt time.Time `cbor:"9,keyasint,omitempty"`
	// Reason is the reason of the newest placement or end.
	Reason string `cbor:"10,keyasint,omitempty"`
	// Ran is the run time of the attempts that left a checkpoint.
	Ran time.Duration `cbor:"11,keyasint,omitempty"`
	// Outcome is how the newest closed attempt ended, EndedAt when.
	Outcome upstream.Outcome `cbor:"12,keyasint,omitempty"`
	EndedAt time.Time        `cbor:"13,keyasint,omitempty"`
}

// Job is one job with the tasks that this shard holds.
type Job struct {
	Submit    contract.Submit
	Cancelled bool
	Tasks     []*Task
	// State holds the totals; Pending and Running count tasks, where Running means placed.
	State contract.JobState
	order uint64
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

// finishedKept bounds the summaries of finished jobs. A shard of the target size ends about 80 jobs a day.
const finishedKept = 256

// finishedJob is what stays of a job. Indexes lists the tasks of a job of another shard, more of which may still come.
type finishedJob struct {
	State   contract.JobState `cbor:"1,keyasint"`
	Indexes []int             `cbor:"2,keyasint,omitempty"`
}

// State implements shard.State.
type State struct {
	shard    string
	jobs     map[string]*Job
	order    []*Job
	finished []finishedJob
	drained  map[instance.ID]bool
	placed   map[instance.ID]map[upstream.TaskRef]*Task
	out      []contract.TransferOut
	pending  int
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
func (s *State) Jobs() []*Job { return s.order }

// JobStates returns the summaries of all jobs, or of one.
func (s *State) JobStates(id string) []contract.JobState {
	var out []contract.JobState
	for _, f := range s.finished {
		if id == "" || f.State.Job == id {
			out = append(out, f.State)
		}
	}
	for _, j := range s.order {
		if id == "" || j.Submit.Job == id {
			out = append(out, j.State)
		}
	}
	return out
}

// PendingCount returns the number of pending tasks, PlacedCount that of open attempts.
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

// Workers returns the workers that hold open attempts, in order.
func (s *State) Workers() []instance.ID {
	out := make([]instance.ID, 0, len(s.placed))
	for id := range s.placed {
		out = append(out, id)
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// IsOpen reports whether the attempt is the open one of its task.
func (s *State) IsOpen(ref upstream.TaskRef) bool {
	j := s.jobs[ref.Job]
	if j == nil {
		return false
	}
	t := j.Task(ref.Index)
	return t != nil && t.Phase == Placed && t.Attempt == ref.Attempt
}

// EachPending calls f for the pending tasks in order of submission and index until f returns false.
func (s *State) EachPending(f func(j *Job, t *Task) bool) {
	for _, j := range s.order {
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

// Drained reports whether operators have asked to move work off the worker.
func (s *State) Drained(worker instance.ID) bool { return s.drained[worker] }

// Transfers returns the transfers whose arrival in the other shard is not confirmed yet.
func (s *State) Transfers() []contract.TransferOut { return s.out }

func (s *State) addJob(offset uint64, sub contract.Submit) *Job {
	j := &Job{Submit: sub, order: offset, State: contract.JobState{Job: sub.Job, Kind: sub.Kind, Team: sub.Team,
		Shard: s.shard, Submitted: sub.Submitted, Deadline: sub.Deadline}}
	s.jobs[sub.Job] = j
	s.order = append(s.order, j)
	return j
}

// home reports whether a job was submitted to this shard, which its id begins with.
func (s *State) home(id string) bool { return strings.HasPrefix(id, s.shard+"~") }

func (s *State) known(id string) bool {
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

// finish drops a job without pending or placed tasks from memory. Service jobs stay, because their attempt numbers
// must go on when the service returns.
func (s *State) finish(j *Job, at time.Time) {
	if j.State.Pending > 0 || j.State.Running > 0 {
		return
	}
	j.State.Ended = at
	if j.Submit.Service {
		return
	}
	delete(s.jobs, j.Submit.Job)
	for i, o := range s.order {
		if o == j {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	f := finishedJob{State: j.State}
	if !s.home(j.Submit.Job) {
		for _, t := range j.Tasks {
			f.Indexes = append(f.Indexes, t.Index)
		}
	}
	s.finished = append(s.finished, f)
	if n := len(s.finished) - finishedKept; n > 0 {
		s.finished = append(s.finished[:0], s.finished[n:]...)
	}
}

// move changes the phase of a task and the totals.
func (s *State) move(j *Job, t *Task, to Phase) {
	s.count(j, t.Phase, -1)
	t.Phase = to
	s.count(j, to, 1)
}

func (s *State) count(j *Job, p Phase, n int) {
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
	case Moved:
		j.State.Transferred += n
	}
}

func (s *State) addTask(j *Job, t *Task) {
	j.Tasks = append(j.Tasks, t)
	j.State.Tasks++
	s.count(j, t.Phase, 1)
	if t.Phase == Placed {
		s.hold(j, t)
	}
}

func (s *State) hold(j *Job, t *Task) {
	if s.placed[t.Worker] == nil {
		s.placed[t.Worker] = map[upstream.TaskRef]*Task{}
	}
	s.placed[t.Worker][Ref(j, t)] = t
}

func (s *State) release(j *Job, t *Task) {
	delete(s.placed[t.Worker], Ref(j, t))
	if len(s.placed[t.Worker]) == 0 {
		delete(s.placed, t.Worker)
	}
}

// Ref returns the name of the task's newest attempt.
func Ref(j *Job, t *Task) upstream.TaskRef {
	return upstream.TaskRef{Job: j.Submit.Job, Index: t.Index, Attempt: t.Attempt}
}
