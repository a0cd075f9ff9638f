// Package workflow defines submissions of one or more steps, the identifiers of their parts, and the records in which
// their progress is stored. It uses no clock, network or goroutine.
package workflow

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// JobID identifies a submission. The caller chooses it.
type JobID string

// Step is a group of identical tasks of a submission.
type Step struct {
	Count int             `cbor:"1,keyasint"`
	Size  resource.Vector `cbor:"2,keyasint"`
	// Estimate is the declared duration of one task. The actual duration can differ by a factor.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that must be done before this one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints reports whether a stopped task can resume from a checkpoint.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang reports whether all tasks must start, run and end together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack reports whether the tasks should share a rack, as they are slow on more than one.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the input; tasks are slower elsewhere.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 for no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative reports whether a second copy of a task may run beside the first.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning reports whether the tasks run until the submission is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program. Tasks of one image have the same effect on the latency of services beside them.
	Image string `cbor:"13,keyasint,omitempty"`
	// Objective is the upper limit for the tail latency of a service task; 0 for none.
	Objective time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort reports whether the processors of the step are left unreserved: its tasks use what others leave
	// idle.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many tasks of a long-running step may be disrupted at once.
	DisruptionBudget int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task of the step holds exclusively.
func (s *Step) Reserved() resource.Vector {
	v := s.Size
	if s.BestEffort {
		v.MilliCores = 0
	}
	return v
}

// Terms are the terms under which a queue accepts submissions. They are stored with the submission, so that it can be
// finished after its queue is removed.
type Terms struct {
	Queue string `cbor:"1,keyasint"`
	// Pool is the name of the pool of workers.
	Pool string `cbor:"2,keyasint"`
	// Priority orders submissions; 0 is the highest.
	Priority    int `cbor:"3,keyasint,omitempty"`
	MaxAttempts int `cbor:"4,keyasint,omitempty"`
	// The latency objective is Stretch times the longest chain of steps, plus Allowance.
	Stretch   float64       `cbor:"5,keyasint,omitempty"`
	Allowance time.Duration `cbor:"6,keyasint,omitempty"`
	// Advised is set if an advisor decides which workers may run a step.
	Advised *Advised `cbor:"7,keyasint,omitempty"`
}

// Advised holds the expected duration of a call to the advisor, Decide plus Each for every worker that it names, and
// the time for which its approvals are valid.
type Advised struct {
	Decide time.Duration `cbor:"1,keyasint,omitempty"`
	Each   time.Duration `cbor:"2,keyasint,omitempty"`
	Valid  time.Duration `cbor:"3,keyasint,omitempty"`
}

// Submission is a submission of a caller, with the terms of its queue at the time of acceptance.
type Submission struct {
	Job   JobID  `cbor:"1,keyasint"`
	Terms Terms  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint,omitempty"`
	Steps []Step `cbor:"4,keyasint"`
	// Repeat is how often the steps run, at First and then every Interval; 0 for once, immediately.
	Repeat   int           `cbor:"5,keyasint,omitempty"`
	First    time.Time     `cbor:"6,keyasint,omitempty"`
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
	// Accepted is the time of acceptance, by the clock of the instance that accepted it.
	Accepted time.Time `cbor:"8,keyasint,omitempty"`
}

// Chain returns the total estimate of the longest chain of steps that depend on each other.
func (s *Submission) Chain() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	longest := time.Duration(0)
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Rounds returns how often the steps run.
func (s *Submission) Rounds() int { return max(1, s.Repeat) }

// Scheduled reports whether the rounds have start times.
func (s *Submission) Scheduled() bool { return s.Repeat > 0 }

// Due returns the start time of a round; the zero time means immediately.
func (s *Submission) Due(round int) time.Time {
	if !s.Scheduled() {
		return time.Time{}
	}
	return s.First.Add(time.Duration(round) * s.Interval)
}

// MaxSteps limits the steps of a submission, and with them the entries of every list in it.
const MaxSteps = 200

// Limits of a submission. They bound the memory that one submission can take.
const (
	maxSteps  = MaxSteps
	maxTasks  = 5000
	maxRounds = 10000
	// maxAmount limits each resource of a task, so that sums over all tasks of an owner do not overflow.
	maxAmount = 1 << 40
	// maxEstimate limits the estimate of a task, maxSpan the time from the first round to the last.
	maxEstimate = 366 * 24 * time.Hour
	maxSpan     = 100 * 366 * 24 * time.Hour
	// maxFirst is the latest start of the first round in Unix seconds: the end of the year 9999.
	maxFirst = 253402300799
	// maxObjective limits the latency objective, whatever the terms of the queue say.
	maxObjective = 366 * 24 * time.Hour
	// maxSpecBytes is the longest specification that the platform passes on. maxNameBytes limits the names of labels,
	// racks and images, which are stored with every step; those of the platform are far shorter.
	maxSpecBytes = 4000
	maxNameBytes = 256
)

// Objective returns the latency objective of a submission with a given longest chain of steps.
func (t *Terms) Objective(chain time.Duration) time.Duration {
	objective := t.Stretch*float64(chain) + float64(t.Allowance)
	return time.Duration(min(max(0, objective), float64(maxObjective)))
}

// InvalidError reports a submission that can never be accepted.
type InvalidError struct {
	Field, Problem string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("submission: %s %s", e.Field, e.Problem) }

// Check returns an *InvalidError unless the submission is well formed.
func (s *Submission) Check() error {
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return &InvalidError{"steps", fmt.Sprintf("has %d entries; 1 to %d are allowed", len(s.Steps), maxSteps)}
	}
	if s.Repeat < 0 || s.Repeat > maxRounds || s.Repeat > 1 && s.Interval <= 0 {
		return &InvalidError{"repeat count", "is out of range or has no interval"}
	}
	if s.Scheduled() && (s.Interval < 0 || s.Interval > maxSpan/time.Duration(s.Repeat) ||
		!s.First.IsZero() && s.First.Unix() < 0 || s.First.Unix() > maxFirst) {
		return &InvalidError{"schedule", "is out of range"}
	}
	taskCount := 0
	for i := range s.Steps {
		if err := s.checkStep(i); err != nil {
			return err
		}
		taskCount += s.Steps[i].Count
	}
	if taskCount > maxTasks {
		return &InvalidError{"steps", fmt.Sprintf("have %d tasks; at most %d are allowed", taskCount, maxTasks)}
	}
	return nil
}

// CheckNew is like Check for a submission that is not stored yet, whose texts and lists it limits as well. A stored one
// may be from a version without these limits and must be carried out.
func (s *Submission) CheckNew() error {
	if err := s.Check(); err != nil {
		return err
	}
	if len(s.Spec) > maxSpecBytes {
		return &InvalidError{"specification", fmt.Sprintf("has %d bytes; at most %d are allowed", len(s.Spec), maxSpecBytes)}
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		field := fmt.Sprintf("step %d", i)
		if n := max(len(st.Label), len(st.DataRack), len(st.Image)); n > maxNameBytes {
			return &InvalidError{field, fmt.Sprintf("has a label, rack or image of %d bytes; at most %d are allowed", n, maxNameBytes)}
		}
		if st.MaxPerWorker < 0 || st.DisruptionBudget < 0 || st.Objective < 0 {
			return &InvalidError{field, "has a negative limit or objective, which would count as none"}
		}
		if len(st.After) > maxSteps {
			return &InvalidError{field, fmt.Sprintf("waits for %d steps; at most %d are allowed", len(st.After), maxSteps)}
		}
	}
	return nil
}

func (s *Submission) checkStep(i int) error {
	st := &s.Steps[i]
	field := fmt.Sprintf("step %d", i)
	// The counts are added up, so each of them is limited first.
	if st.Count < 1 || st.Count > maxTasks {
		return &InvalidError{field, fmt.Sprintf("has %d tasks; 1 to %d are allowed", st.Count, maxTasks)}
	}
	most := resource.Vector{MilliCores: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount}
	if !(resource.Vector{}).Fits(st.Size) || !st.Size.Fits(most) {
		return &InvalidError{field, "has a size that is negative or too large"}
	}
	if st.Estimate < 0 || st.Estimate > maxEstimate {
		return &InvalidError{field, "has an estimate that is out of range"}
	}
	for _, a := range st.After {
		if a < 0 || a >= i {
			return &InvalidError{field, fmt.Sprintf("waits for step %d, which is not an earlier one", a)}
		}
	}
	return nil
}

// TaskID identifies one task of a submission.
type TaskID struct {
	Job                JobID
	Round, Step, Index int
}

// String returns the task name that is sent to workers.
func (t TaskID) String() string { return joinDotted(t.Job, t.Round, t.Step, t.Index) }

// InRange reports whether a task of a submission may have this position.
func InRange(round, step, index int) bool {
	return 0 <= round && round < maxRounds && 0 <= step && step < maxSteps && 0 <= index && index < maxTasks
}

// StepID identifies one step of a round of a submission.
type StepID struct {
	Job         JobID
	Round, Step int
}

// String returns the step name that is sent to the advisor.
func (s StepID) String() string { return joinDotted(s.Job, s.Round, s.Step) }

// MarshalText implements encoding.TextMarshaler.
func (s StepID) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// LogValue implements slog.LogValuer, so that logs contain the name.
func (s StepID) LogValue() slog.Value { return slog.StringValue(s.String()) }

func joinDotted(j JobID, numbers ...int) string {
	b := make([]byte, 0, len(j)+12)
	b = append(b, j...)
	for _, n := range numbers {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// LogValue implements slog.LogValuer, so that logs contain the name.
func (t TaskID) LogValue() slog.Value { return slog.StringValue(t.String()) }

// TaskNameError reports a task name that is not of the form JOB.ROUND.STEP.INDEX.
type TaskNameError struct{ Name string }

// Error implements error.
func (e *TaskNameError) Error() string {
	return fmt.Sprintf("task name %q is not of the form JOB.ROUND.STEP.INDEX", e.Name)
}

// ParseTaskID is the inverse of TaskID.String. It returns a *TaskNameError.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, &TaskNameError{Name: name}
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, &TaskNameError{Name: name}
		}
		n[i] = v
	}
	return TaskID{Job: JobID(parts[0]), Round: n[0], Step: n[1], Index: n[2]}, nil
}
