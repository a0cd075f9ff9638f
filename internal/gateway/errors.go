package gateway

import "fmt"

// NoSchedulerError reports that no scheduler answered for a shard.
type NoSchedulerError struct {
	Shard string
	Err   error
}

// Error implements error.
func (e *NoSchedulerError) Error() string {
	return fmt.Sprintf("no scheduler answers for shard %s: %v", e.Shard, e.Err)
}

// Unwrap returns the error of the last call.
func (e *NoSchedulerError) Unwrap() error { return e.Err }

// EmptyListError reports that the instance list contains no scheduler.
type EmptyListError struct{}

// Error implements error.
func (e *EmptyListError) Error() string { return "the instance list names no scheduler" }

// ReplyError reports a reply of an unexpected type.
type ReplyError struct{ Got string }

// Error implements error.
func (e *ReplyError) Error() string { return "unexpected reply of type " + e.Got }
