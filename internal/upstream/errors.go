package upstream

import "fmt"

// CallError reports a control call that got no valid answer.
type CallError struct {
	Addr string
	Path string
	// Sent reports whether bytes of the call may have reached the worker. If it is false, certainly none did.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string {
	sent := "nothing was sent"
	if e.Sent {
		sent = "it may have reached the worker"
	}
	return fmt.Sprintf("call of %s at worker %s failed, %s: %v", e.Path, e.Addr, sent, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RefusedError reports a control call that the worker refused.
type RefusedError struct {
	Addr   string
	Path   string
	Reason Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused the call of %s: %s", e.Addr, e.Path, e.Reason)
}

// NotRunError reports a request that was certainly not run: the worker refused it, or no byte of it was sent.
type NotRunError struct {
	Addr string
	// Reason is the reason that the worker gave; RefusalNone if nothing was sent.
	Reason Refusal
	// Err is the cause if nothing was sent; otherwise nil.
	Err error
}

// Error implements error.
func (e *NotRunError) Error() string {
	if e.Reason != RefusalNone {
		return fmt.Sprintf("worker %s did not run the request: %s", e.Addr, e.Reason)
	}
	return fmt.Sprintf("request was not sent to worker %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownError reports a request that may have been run, but for which there is no complete answer.
type UnknownError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of the request at worker %s is unknown: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Check names the property of an answer that a client verifies.
type Check string

// The properties that a client verifies.
const (
	CheckRequestID Check = "request id"
	CheckLength    Check = "length"
	CheckDigest    Check = "digest"
)

// CorruptAnswerError reports an answer that belongs to another request or is incomplete or altered. The request itself
// may have been run.
type CorruptAnswerError struct {
	Addr  string
	Check Check
	Want  string
	Got   string
}

// Error implements error.
func (e *CorruptAnswerError) Error() string {
	return fmt.Sprintf("answer of worker %s has %s %q in place of %q", e.Addr, e.Check, e.Got, e.Want)
}

// StatusError reports an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// SizeError reports a body of more than Limit bytes.
type SizeError struct{ Limit int }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("body is larger than %d bytes", e.Limit) }

// DecodeError reports an answer that is not valid JSON of the expected type.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "cannot decode the answer: " + e.Err.Error() }

// Unwrap returns the error of encoding/json.
func (e *DecodeError) Unwrap() error { return e.Err }
