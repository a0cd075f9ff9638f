package process

import (
	"fmt"
	"time"
)

// SettingError reports a setting whose value is not allowed.
type SettingError struct {
	Setting string
	Value   string
	Allowed string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s has value %q; allowed: %s", e.Setting, e.Value, e.Allowed)
}

// ListenError reports an address on which the process cannot listen, for example because the port is in use.
type ListenError struct {
	Setting string
	Addr    string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("setting %s: cannot listen on %s: %v", e.Setting, e.Addr, e.Err)
}

// Unwrap returns the error of the operating system.
func (e *ListenError) Unwrap() error { return e.Err }

// PlatformError reports that the platform did not answer within the startup time limit.
type PlatformError struct {
	Addr string
	Wait time.Duration
	Err  error
}

// Error implements error.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("platform at %s did not answer within %s: %v", e.Addr, e.Wait, e.Err)
}

// Unwrap returns the error of the last call.
func (e *PlatformError) Unwrap() error { return e.Err }

// StopError reports work of Component that was still in progress at the time limit of a graceful shutdown. Wait is the
// time limit.
type StopError struct {
	Component string
	Wait      time.Duration
}

// Error implements error.
func (e *StopError) Error() string {
	return fmt.Sprintf("%s was still busy %s after the stop began", e.Component, e.Wait)
}
