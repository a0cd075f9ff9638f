// Package placement decides which worker runs a task. It uses no clock, network or goroutine.
package placement

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// Worker is a worker that may be chosen for tasks.
type Worker struct {
	ID       instance.ID
	Rack     int
	Capacity resource.Vector
	// Reserved is the capacity kept free for requests: the slot envelope times the number of slots.
	Reserved resource.Vector
	// Used is the sum of the sizes of the open attempts.
	Used resource.Vector
	// Tasks counts the open attempts.
	Tasks int
	// Fenced reports whether the worker answers this owner. Only fenced workers get tasks.
	Fenced, Leaving, Draining, Quarantined bool
	// Probation limits the worker to one task at a time, because its last tasks failed and none has succeeded since.
	Probation bool
}

// Free returns the capacity that further tasks may use. Components can be negative.
func (w *Worker) Free() resource.Vector { return w.Capacity.Sub(w.Reserved).Sub(w.Used) }

// Allocatable returns the capacity that all tasks together may use. A single task must fit into it.
func (w *Worker) Allocatable() resource.Vector { return w.Capacity.Sub(w.Reserved) }

// exclusionReason returns why the worker gets no task of any size, or the empty reason.
func (w *Worker) exclusionReason() Reason {
	switch {
	case w.Leaving:
		return ReasonLeaving
	case w.Draining:
		return ReasonDraining
	case w.Quarantined, w.Probation && w.Tasks > 0:
		return ReasonQuarantined
	case !w.Fenced:
		return ReasonUnfenced
	}
	return ""
}

// Task is one pending task.
type Task struct {
	Job      string
	Index    int
	Kind     string
	Team     string
	Size     resource.Vector
	Rank     int
	Deadline time.Time
	// Remaining is the declared run time less the part that the newest checkpoint covers.
	Remaining time.Duration
	Submitted time.Time
}

// State is the input of placement decisions. Assign keeps it current within one round of placements.
type State struct {
	Workers []Worker
	// Usage holds the quota shares and the usage of teams; nil means no limits.
	Usage       *Usage
	workerIndex map[instance.ID]int
	racks       racks
	// jobAttempts counts the open attempts of each job by rack and by worker.
	jobAttempts map[jobLocation]int
}

// jobLocation is a job in a rack, with an empty worker, or on a worker, with the rack -1.
type jobLocation struct {
	job    string
	rack   int
	worker instance.ID
}

// NewState returns a state of the given workers. Of workers that are equally good, policies choose the first in this
// order.
func NewState(workers []Worker) *State {
	s := &State{Workers: workers, workerIndex: make(map[instance.ID]int, len(workers)),
		jobAttempts: map[jobLocation]int{}, racks: newRacks(workers)}
	for i := range workers {
		s.workerIndex[workers[i].ID] = i
	}
	return s
}

// AddAttempt records an open attempt of a job that Used and Tasks of the worker already include.
func (s *State) AddAttempt(job string, worker instance.ID) {
	if i, ok := s.workerIndex[worker]; ok {
		s.jobAttempts[jobLocation{job: job, rack: s.Workers[i].Rack}]++
		s.jobAttempts[jobLocation{job: job, rack: -1, worker: worker}]++
	}
}

// Assign records the placement of a task on a worker.
func (s *State) Assign(t Task, worker instance.ID) {
	if i, ok := s.workerIndex[worker]; ok {
		w := &s.Workers[i]
		before := usableCapacity(w)
		w.Used = w.Used.Add(t.Size)
		w.Tasks++
		n := s.racks.ofWorker[i]
		s.racks.free[n] = s.racks.free[n].Sub(before).Add(usableCapacity(w))
		s.Usage.Add(t.Team, t.Size)
		s.AddAttempt(t.Job, worker)
	}
}

// Decision is the result of a placement.
type Decision struct {
	Worker instance.ID
	// Reason is why the worker was chosen, as text for operators.
	Reason string
	// Candidates is the number of workers that had room for the task.
	Candidates int
}

// Policy decides on the order of tasks and the worker of each.
type Policy interface {
	Name() string
	// Order sorts pending tasks in place, in the order in which they are to be placed.
	Order(now time.Time, tasks []Task)
	// Place chooses a worker for a task. It returns a *Refusal if no worker can take the task. The placement is not
	// recorded in s; see Assign.
	Place(s *State, t Task) (Decision, error)
}

// Reason is why a task is not placed, or why a worker does not take it.
type Reason string

// The reasons.
const (
	ReasonNoWorkers   Reason = "no-workers"
	ReasonLeaving     Reason = "leaving"
	ReasonDraining    Reason = "draining"
	ReasonQuarantined Reason = "quarantined"
	ReasonUnfenced    Reason = "unfenced"
	ReasonNoRoom      Reason = "no-room"
	// ReasonQuota means that the team would exceed its share of its quota in this shard.
	ReasonQuota Reason = "quota"
	// ReasonTooLarge means that a worker could not hold the task even if it were empty. If this applies to all workers,
	// the task is unschedulable, which is reported to users as parked.
	ReasonTooLarge Reason = "too-large"
)

// Refusal reports that no worker can take a task now, or, if Unschedulable is set, that none ever could.
type Refusal struct {
	Task          Task
	Reason        Reason
	Unschedulable bool
	// Counts holds, for each reason, the number of workers that do not take the task because of it.
	Counts map[Reason]int
	// Held is what the team holds and Share what it may hold in this shard. Both are set for ReasonQuota only.
	Held, Share resource.Vector
}

// ForName returns the policy with the given name, or a *PolicyError. The empty name selects the default, least-laxity.
func ForName(name string) (Policy, error) {
	switch name {
	case "best-fit":
		return BestFit{}, nil
	case "spread":
		return Spread{}, nil
	case "least-laxity", "":
		return LeastLaxity{}, nil
	}
	return nil, &PolicyError{Name: name}
}
