package workflow

import (
	"fmt"
	"log/slog"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a submission as reported to callers.
type State uint8

// The states of a submission.
const (
	Queued State = iota
	Running
	Done
	Failed
	Cancelled
)

var stateNames = [...]string{"queued", "running", "done", "failed", "cancelled"}

// String returns the name of the state, or "unknown".
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// LogValue implements slog.LogValuer.
func (s State) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Over reports whether the state is final.
func (s State) Over() bool { return s >= Done }

// Phase is the phase of a task.
type Phase uint8

// The phases of a task. A task whose attempt ended without success is Pending again.
const (
	Pending Phase = iota
	// Placed: an attempt may be running on the worker in the record.
	Placed
	Ended
)

// TaskRecord is the stored state of a task.
type TaskRecord struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the current or last attempt; 0 before the first.
	Run      int
	Failures int
	// Worker and WorkerStartedAt identify the incarnation of the worker while the task is placed.
	Worker          string
	WorkerStartedAt int64
	Checkpoint      string
}

// Record is the stored state of a submission.
type Record struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Tasks holds the tasks by round and step. It is empty once the submission is over and no task is running. If there is a
	// Schedule, it holds the rounds of Schedule.Live only, in their order.
	Tasks [][][]TaskRecord
	// Schedule says which rounds of a scheduled submission have begun and ended. It is stored apart; records of earlier
	// versions have none.
	Schedule *Schedule `cbor:"-"`
	// Copies holds the second attempts of tasks. They are stored apart: the lists of a record have a fixed length, and earlier
	// versions ignore a record with another one.
	Copies []CopyRecord `cbor:"-"`
	// Parts is the number of entries that hold the tasks if they are stored apart.
	Parts int `cbor:"-"`
}

// MaxCheckpointBytes is the longest checkpoint that is stored. A task whose checkpoints are longer resumes from an earlier
// one or from its start.
const MaxCheckpointBytes = 1024

// Schedule is the stored progress of a submission whose rounds have start times.
type Schedule struct {
	_ struct{} `cbor:",toarray"`
	// Next is the number of rounds that have begun: those from Next on have not.
	Next int
	// Live holds the rounds before Next that have not ended, in ascending order.
	Live []int
}

// Valid reports whether the rounds are possible.
func (s *Schedule) Valid() bool {
	for i, k := range s.Live {
		if k < 0 || k >= s.Next || i > 0 && k <= s.Live[i-1] {
			return false
		}
	}
	return 0 <= s.Next && s.Next <= maxRounds
}

// KeepRounds reduces a record to the live rounds of a schedule.
func (r *Record) KeepRounds(s *Schedule) {
	tasks := make([][][]TaskRecord, len(s.Live))
	for i, k := range s.Live {
		if k < len(r.Tasks) {
			tasks[i] = r.Tasks[k]
		}
	}
	r.Tasks, r.Schedule = tasks, s
}

// Round returns the number of the round at a position of Tasks.
func (r *Record) Round(position int) int {
	if r.Schedule != nil {
		return r.Schedule.Live[position]
	}
	return position
}

// Progress returns the progress of a scheduled submission. That of a record of an earlier version follows from its tasks.
func (r *Record) Progress() Schedule {
	if r.Schedule != nil {
		return *r.Schedule
	}
	var p Schedule
	for k := range r.Tasks {
		if r.roundBegun(k) {
			p.Next = k + 1
		}
	}
	for k := range p.Next {
		if !r.roundEnded(k) {
			p.Live = append(p.Live, k)
		}
	}
	return p
}

// roundBegun reports whether a task of a round was placed.
func (r *Record) roundBegun(k int) bool {
	for _, step := range r.Tasks[k] {
		for i := range step {
			if t := &step[i]; t.Phase != Pending || t.Run > 0 {
				return true
			}
		}
	}
	return false
}

// roundEnded reports whether all tasks of a round have ended.
func (r *Record) roundEnded(k int) bool {
	tasks := 0
	for _, step := range r.Tasks[k] {
		tasks += len(step)
		for i := range step {
			if step[i].Phase != Ended {
				return false
			}
		}
	}
	return tasks > 0
}

// AnyTaskBegun reports whether the record shows that a worker has begun a task of the submission.
func (r *Record) AnyTaskBegun() bool {
	if r.Schedule != nil && r.Schedule.Next > len(r.Schedule.Live) {
		return true
	}
	for _, round := range r.Tasks {
		for _, step := range round {
			for i := range step {
				if t := &step[i]; t.Phase == Ended || t.Failures > 0 || t.Checkpoint != "" {
					return true
				}
			}
		}
	}
	return false
}

// CopyRecord is the stored state of the second attempt of a task, or of the first one if the task has ended without it. A task
// that has ended by an earlier attempt may have both.
type CopyRecord struct {
	_                  struct{} `cbor:",toarray"`
	Round, Step, Index int
	Run                int
	// Worker is empty once the attempt has ended. Its run number is not used again.
	Worker          string
	WorkerStartedAt int64
}

// DecodeError reports a value that cannot be decoded, such as one with another layout.
type DecodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("cannot decode %s: %v", e.What, e.Err) }

// Unwrap returns the error of the codec.
func (e *DecodeError) Unwrap() error { return e.Err }

// EncodeError reports a value that cannot be encoded.
type EncodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string { return fmt.Sprintf("cannot encode %s: %v", e.What, e.Err) }

// Unwrap returns the error of the codec.
func (e *EncodeError) Unwrap() error { return e.Err }

// encoding keeps the fractions of a second of times, which the default drops.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the stored form of v. what names the value in the error, an *EncodeError.
func Encode(what string, v any) ([]byte, error) {
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, &EncodeError{What: what, Err: err}
	}
	return b, nil
}

// boundedDecoding refuses lists that are longer than those of a valid submission before they are decoded: an empty step
// has one byte in its encoded form and some 250 in memory.
var boundedDecoding = newBoundedDecoding()

func newBoundedDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: MaxSteps, MaxMapPairs: MaxSteps}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// DecodeNew decodes a submission of another process that is not checked yet. It returns a *DecodeError.
func DecodeNew(b []byte) (*Submission, error) {
	var s Submission
	if err := boundedDecoding.Unmarshal(b, &s); err != nil {
		return nil, &DecodeError{What: "submission", Err: err}
	}
	return &s, nil
}

// Decode is the inverse of Encode. It returns a *DecodeError.
func Decode(what string, b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	return nil
}
