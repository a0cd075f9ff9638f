package scheduler

import "fmt"

// ReadBackError reports a record that the log acknowledged and does not return at its offset.
type ReadBackError struct {
	Stream string
	Offset uint64
}

// Error implements error.
func (e *ReadBackError) Error() string {
	return fmt.Sprintf("record at offset %d of stream %s is not what was appended", e.Offset, e.Stream)
}
