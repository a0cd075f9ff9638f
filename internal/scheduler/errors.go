package scheduler

import "fmt"

// ReadBackError reports that the log acknowledged a record but does not return it at the acknowledged offset.
type ReadBackError struct {
	Stream string
	Offset uint64
}

// Error implements error.
func (e *ReadBackError) Error() string {
	return fmt.Sprintf("record at offset %d of stream %s differs from the one that was appended there", e.Offset,
		e.Stream)
}
