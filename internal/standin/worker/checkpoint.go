package worker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

const checkpointPrefix = "ck/"

// Checkpoint is a saved state of a task. Its name encodes the whole state, so that it survives the worker and the
// process that made it, like a checkpoint in the platform's storage.
type Checkpoint struct {
	upstream.TaskRef
	// Number is the number of the checkpoint within the attempt, from 1. It is 0 if there is no checkpoint.
	Number int
	// Done is the completed work, measured as run time on an idle worker.
	Done time.Duration
}

// Name returns the name that identifies the checkpoint in calls and records.
func (c Checkpoint) Name() string {
	return fmt.Sprintf("%s%s/%d/%d/%d/%d", checkpointPrefix, c.Job, c.Index, c.Attempt, c.Number, c.Done.Microseconds())
}

// After reports whether c is newer than o, which must belong to the same task.
func (c Checkpoint) After(o Checkpoint) bool {
	return c.Attempt > o.Attempt || (c.Attempt == o.Attempt && c.Number > o.Number)
}

// CheckpointError reports a malformed name of a checkpoint.
type CheckpointError struct{ Name string }

// Error implements error.
func (e *CheckpointError) Error() string {
	return fmt.Sprintf("malformed checkpoint name %q", e.Name)
}

// ParseCheckpoint is the inverse of Name. The empty name gives the zero value, from which a task starts without
// progress. It returns *CheckpointError if the name is malformed.
func ParseCheckpoint(name string) (Checkpoint, error) {
	if name == "" {
		return Checkpoint{}, nil
	}
	rest, ok := strings.CutPrefix(name, checkpointPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) < 5 {
		return Checkpoint{}, &CheckpointError{Name: name}
	}
	var numbers [4]int64
	head := len(parts) - len(numbers)
	for i, p := range parts[head:] {
		n, err := strconv.ParseInt(p, 10, 64)
		if err != nil || n < 0 || n > maxCheckpointNumber {
			return Checkpoint{}, &CheckpointError{Name: name}
		}
		numbers[i] = n
	}
	ref := upstream.TaskRef{Job: strings.Join(parts[:head], "/"), Index: int(numbers[0]), Attempt: int(numbers[1])}
	return Checkpoint{TaskRef: ref, Number: int(numbers[2]), Done: time.Duration(numbers[3]) * time.Microsecond}, nil
}

// maxCheckpointNumber is the largest number in a checkpoint name. It keeps the conversion of microseconds to a
// time.Duration from overflowing.
const maxCheckpointNumber = 1 << 52
