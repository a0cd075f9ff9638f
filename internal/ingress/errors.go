package ingress

import "fmt"

// RefusedError reports a request that was not processed and never will be. The client may repeat it.
type RefusedError struct{ Cause string }

// Error implements error.
func (e *RefusedError) Error() string { return "refused to protect the process: " + e.Cause }

// TooLargeError reports a body that is longer than allowed.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes", e.Limit)
}

// MalformedError reports a body that is not as its header announces, for example one that ends early or has an invalid
// chunk.
type MalformedError struct{ Err error }

// Error implements error.
func (e *MalformedError) Error() string { return "the body is malformed: " + e.Err.Error() }

// Unwrap returns the error of the reader.
func (e *MalformedError) Unwrap() error { return e.Err }
