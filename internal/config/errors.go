package config

import "fmt"

// ConflictError reports a publication that replaces a version other than the newest one.
type ConflictError struct {
	// Replaces is the version that the publication names as its predecessor, InForce the newest publication in the
	// chain.
	Replaces uint64
	InForce  uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the publication replaces version %d, but version %d is in force", e.Replaces, e.InForce)
}

// UnknownOutcomeError reports a publication that the log did not confirm in time. It may still take effect.
type UnknownOutcomeError struct {
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the log did not confirm the publication, which may still take effect: %v", e.Err)
}

// Unwrap returns the error of the log.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ExpiredError reports that retention removed all publications from the log, so that the active version cannot be read
// from it. Oldest is the first offset that the log retains.
type ExpiredError struct{ Oldest uint64 }

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log dropped the records of the config stream below offset %d and holds no publication; name "+
		"the version that the instances report as the one to replace", e.Oldest)
}
