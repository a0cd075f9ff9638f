package platform

import (
	"fmt"
	"time"
)

// UnavailableError reports a call without a valid answer; the outcome of an append may be unknown.
type UnavailableError struct {
	// Op is the operation, for example "append".
	Op string
	// MayHaveApplied reports whether the operation may have taken effect. If it is false, certainly it did not.
	MayHaveApplied bool
	Err            error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	effect := "it had no effect"
	if e.MayHaveApplied {
		effect = "its effect is unknown"
	}
	return fmt.Sprintf("platform unavailable for %s, %s: %v", e.Op, effect, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RateLimitedError reports an append that the platform refused because of its rate limit. Nothing was stored.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform refused the append because of its rate limit; retry after %s", e.RetryAfter)
}

// RetentionError reports a read from an offset that the log no longer keeps.
type RetentionError struct{ Oldest uint64 }

// Error implements error.
func (e *RetentionError) Error() string {
	return fmt.Sprintf("offset is no longer kept; the oldest one is %d", e.Oldest)
}

// RequestError reports a call that the platform refused as invalid. A retry would fail in the same way.
type RequestError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("platform refused the call with status %d: %s", e.Status, e.Detail)
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// DecodeError reports a body that is not valid CBOR of the expected type.
type DecodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("cannot decode %s: %v", e.What, e.Err) }

// Unwrap returns the error of the CBOR library.
func (e *DecodeError) Unwrap() error { return e.Err }

// SizeError reports a body of more than Limit bytes, the limit of the protocol.
type SizeError struct{ Limit int64 }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("body is larger than %d bytes", e.Limit) }
