package process

import (
	"fmt"
	"time"
)

// SettingError reports a setting with a value that is not allowed.
type SettingError struct {
	Setting string
	Value   string
	Allowed string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s has value %q; allowed: %s", e.Setting, e.Value, e.Allowed)
}

// ListenError reports an address that cannot be listened on, for example because the port is taken.
type ListenError struct {
	Setting string
	Addr    string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("setting %s: cannot listen on %s: %v", e.Setting, e.Addr, e.Err)
}

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Err }

// PlatformError reports that the platform did not answer within the time allowed at startup.
type PlatformError struct {
	Addr string
	Wait time.Duration
	Err  error
}

// Error implements error.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("platform at %s did not answer within %s: %v", e.Addr, e.Wait, e.Err)
}

// Unwrap returns the last failure.
func (e *PlatformError) Unwrap() error { return e.Err }

// StopError reports work that was still in progress when the time for a planned stop ran out.
type StopError struct {
	Part string
	Wait time.Duration
}

// Error implements error.
func (e *StopError) Error() string {
	return fmt.Sprintf("%s was still busy %s after the stop began", e.Part, e.Wait)
}
