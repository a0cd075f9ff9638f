package load

import (
	"fmt"
	"strings"
	"time"
)

// TargetError reports an address outside the loopback range, or one that is malformed. No load is sent to it.
type TargetError struct{ Target string }

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %q is not allowed; allowed: %s", e.Target, allowedTarget)
}

// FileError reports a file that cannot be read, decoded or written.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// NoGatewayError reports that no gateway was ready within Wait, which is zero for a call that does not wait.
type NoGatewayError struct {
	Gateways int
	Wait     time.Duration
}

// Error implements error.
func (e *NoGatewayError) Error() string {
	return fmt.Sprintf("none of %d gateways was ready within %s", e.Gateways, e.Wait)
}

// ViolationError reports a run in which guarantees were violated, for example by lost tasks or crossed answers.
// Violated holds the names of the violations in alphabetical order.
type ViolationError struct{ Violated []string }

// Error implements error.
func (e *ViolationError) Error() string {
	return "guarantees were violated: " + strings.Join(e.Violated, ", ")
}

// StatusError reports an answer with an unexpected HTTP status. Detail is the start of its body, if that was read.
type StatusError struct {
	URL    string
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d: %s", e.URL, e.Status, e.Detail)
}
