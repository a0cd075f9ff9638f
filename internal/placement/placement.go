// Package placement decides which worker runs a task. It holds no clock, network or goroutine.
package placement

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// Worker is one candidate.
type Worker struct {
	ID       instance.ID
	Rack     int
	Capacity resource.Vector
	// Reserved is kept free for urgent requests: the slot envelope times the slots.
	Reserved resource.Vector
	// Used is what the open attempts hold.
	Used resource.Vector
	// Tasks counts the open attempts.
	Tasks int
	// Fenced tells that the worker answers this owner. Only a fenced worker gets work.
	Fenced, Leaving, Draining, Quarantined bool
}

// Free returns what tasks may still occupy. Components can be negative.
func (w *Worker) Free() resource.Vector { return w.Capacity.Sub(w.Reserved).Sub(w.Used) }

// Limit returns what a single task may occupy on the worker when it holds nothing else.
func (w *Worker) Limit() resource.Vector { return w.Capacity.Sub(w.Reserved) }

func (w *Worker) exclusion() Reason {
	switch {
	case w.Leaving:
		return ReasonLeaving
	case w.Draining:
		return ReasonDraining
	case w.Quarantined:
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
	// Remaining is the declared run time less what the newest checkpoint covers.
	Remaining time.Duration
	Submitted time.Time
}

// State is what a decision is taken from. Assign keeps it current within one round of placements.
type State struct {
	Workers []Worker
	// Usage holds the shares of teams; nil stands for no limits.
	Usage *Usage
	index map[instance.ID]int
	racks racks
	// spread counts the open attempts of a job by rack and by worker.
	spread map[spreadKey]int
}

type spreadKey struct {
	job    string
	rack   int
	worker instance.ID
}

// NewState returns a state over workers, whose order is kept. Ties go to the earlier worker.
func NewState(workers []Worker) *State {
	s := &State{Workers: workers, index: make(map[instance.ID]int, len(workers)), spread: map[spreadKey]int{}, racks: newRacks(workers)}
	for i := range workers {
		s.index[workers[i].ID] = i
	}
	return s
}

// Note records that a job already holds an attempt on a worker, whose Used includes it.
func (s *State) Note(job string, worker instance.ID) {
	if i, ok := s.index[worker]; ok {
		s.spread[spreadKey{job: job, rack: s.Workers[i].Rack}]++
		s.spread[spreadKey{job: job, rack: -1, worker: worker}]++
	}
}

// Assign adds a task to a worker.
func (s *State) Assign(t Task, worker instance.ID) {
	if i, ok := s.index[worker]; ok {
		w := &s.Workers[i]
		before := usable(w)
		w.Used = w.Used.Add(t.Size)
		n := s.racks.ofWorker[i]
		s.racks.free[n] = s.racks.free[n].Sub(before).Add(usable(w))
		w.Tasks++
		s.Usage.Add(t.Team, t.Size)
		s.Note(t.Job, worker)
	}
}

// Decision names the chosen worker.
type Decision struct {
	Worker instance.ID
	// Reason tells why, in words for operators.
	Reason string
	// Candidates is the number of workers that could have held the task.
	Candidates int
}

// Policy chooses the worker of a task. Place returns a *Refusal if it chooses none.
type Policy interface {
	Name() string
	// Order sorts pending tasks in place, the first to place in front.
	Order(now time.Time, tasks []Task)
	Place(s *State, t Task) (Decision, error)
}

// Reason is why a worker or a task is refused.
type Reason string

// The reasons.
const (
	ReasonNoWorkers   Reason = "no-workers"
	ReasonLeaving     Reason = "leaving"
	ReasonDraining    Reason = "draining"
	ReasonQuarantined Reason = "quarantined"
	ReasonUnfenced    Reason = "unfenced"
	ReasonNoRoom      Reason = "no-room"
	// ReasonQuota: the team would hold more than its share of its quota in this shard.
	ReasonQuota Reason = "quota"
	// ReasonTooLarge parks a task: no worker could hold it even if it held nothing else.
	ReasonTooLarge Reason = "too-large"
)

// Refusal reports that no worker can take a task now, or ever if Parked is set.
type Refusal struct {
	Task   Task
	Reason Reason
	Parked bool
	// Counts holds the number of workers refused for each reason.
	Counts map[Reason]int
	// Held is what the team holds, Share what it may hold in this shard; set for ReasonQuota.
	Held, Share resource.Vector
}

// ForName returns the policy with the given name, or a *PolicyError.
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
