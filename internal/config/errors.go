package config

import "fmt"

// ConflictError reports a publication that names another version than the one that was in force.
type ConflictError struct {
	// Replaces is the version that the publication was to replace, InForce the newest publication before it.
	Replaces uint64
	InForce  uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the publication replaces version %d, but version %d is in force", e.Replaces, e.InForce)
}

// UnknownOutcomeError reports a publication that may take effect although its publisher has seen no answer.
type UnknownOutcomeError struct {
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the log did not confirm the publication, which may still take effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ExpiredError reports that the log keeps no publication any more although there were some, so that the version in force
// is not known.
type ExpiredError struct{ Oldest uint64 }

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the config stream was dropped up to offset %d and holds no publication; name the version that the "+
		"instances report as the one to replace", e.Oldest)
}
