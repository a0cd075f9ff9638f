package shard

import "fmt"

// GapError reports a record whose offset does not follow that of the previous record.
type GapError struct {
	Shard     string
	Want, Got uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("shard %s: expected offset %d, got %d", e.Shard, e.Want, e.Got)
}

// SnapshotError reports a snapshot that cannot be decoded.
type SnapshotError struct {
	Shard string
	Err   error
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("shard %s: snapshot cannot be decoded: %v", e.Shard, e.Err)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }
