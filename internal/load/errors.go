package load

import (
	"fmt"
	"strings"
	"time"
)

// TargetError reports an address to which no load may be sent.
type TargetError struct{ Target string }

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %q is not allowed; allowed: %s", e.Target, loopbackTarget)
}

// FileError reports a file that cannot be read or written.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// NoGatewayError reports that no gateway was ready within the time allowed.
type NoGatewayError struct {
	Gateways int
	Wait     time.Duration
}

// Error implements error.
func (e *NoGatewayError) Error() string {
	return fmt.Sprintf("none of %d gateways was ready within %s", e.Gateways, e.Wait)
}

// PromiseError reports a run in which something was lost, doubled, crossed or otherwise violated.
type PromiseError struct{ Broken []string }

// Error implements error.
func (e *PromiseError) Error() string { return "promises were broken: " + strings.Join(e.Broken, ", ") }

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d: %s", e.URL, e.Status, e.Detail)
}
