package workflow

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// State is what a caller is told of a submission.
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

// String returns the name for logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Over reports whether the state is final.
func (s State) Over() bool { return s >= Done }

// Phase is how far a task is.
type Phase uint8

// The phases of a task. A task whose attempt ended without success is pending again.
const (
	Pending Phase = iota
	// Placed tells that an attempt may be running on the named worker.
	Placed
	Ended
)

// TaskRecord is the part of a task's state that outlives its owner.
type TaskRecord struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run numbers the attempts; 0 before the first.
	Run      int
	Failures int
	// Worker and Born name the worker's lifetime while the task is placed.
	Worker     string
	Born       int64
	Checkpoint string
}

// Record is the state of a submission that outlives its owner.
type Record struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Tasks holds the tasks by round and step. It is empty once the submission is over and nothing runs.
	Tasks [][][]TaskRecord
}

// DecodeError reports a record that does not have the form of this build.
type DecodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("cannot decode %s: %v", e.What, e.Err) }

// Unwrap returns the codec's own error.
func (e *DecodeError) Unwrap() error { return e.Err }

// EncodeError reports a value that the codec refuses.
type EncodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string { return fmt.Sprintf("cannot encode %s: %v", e.What, e.Err) }

// Unwrap returns the codec's own error.
func (e *EncodeError) Unwrap() error { return e.Err }

// Encode returns v in the form in which it is stored. It returns an *EncodeError.
func Encode(what string, v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, &EncodeError{What: what, Err: err}
	}
	return b, nil
}

// Decode is the inverse of Encode. It returns a *DecodeError.
func Decode(what string, b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	return nil
}
