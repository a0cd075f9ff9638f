// Package eventlog is the system's view of the ordered log that outlives every process: conditional appends, reads from an offset and the
// newest record of each key.
package eventlog

import (
	"context"
	"fmt"
	"time"
)

// Entry is one keyed record. A nil Value removes the key.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Producer makes the log refuse appends of earlier epochs and repeats of the same sequence number.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence must follow that of the producer's last append in the epoch. The first append of an epoch may use any.
	Sequence int64
}

// Page is the answer to a read. End is the offset behind the newest record of the log.
type Page struct {
	Entries []Entry
	End     int64
}

// Log is one keyed log for each topic.
type Log interface {
	// Append stores all entries or none and returns the offset of the first. It returns *RefusedError if nothing was stored,
	// *FencedError or *SequenceError for a producer that lost its epoch, and *UnknownError if the entries may be stored, now or later.
	Append(ctx context.Context, topic string, p *Producer, entries []Entry) (int64, error)
	// Read returns the entries from an offset on; it waits up to wait for the first. It returns *TrimmedError if they are gone.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest entry of each key. Page.End is an offset from which Read continues without a gap.
	Newest(ctx context.Context, topic string) (Page, error)
}

// RefusedError reports a call that had no effect.
type RefusedError struct {
	Op     string
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log refused %s with status %d", e.Op, e.Status)
}

// UnknownError reports a call without an answer. An append may have been carried out, or may be seconds later.
type UnknownError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("log did not answer %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// FencedError reports an append under an epoch that is over.
type FencedError struct{ Epoch int64 }

// Error implements error.
func (e *FencedError) Error() string { return fmt.Sprintf("epoch %d is over", e.Epoch) }

// SequenceError reports an append whose sequence number does not follow the last one of the epoch.
type SequenceError struct{ Sent int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("sequence number %d is not the next one", e.Sent)
}

// TrimmedError reports a read of records that the log no longer keeps.
type TrimmedError struct{ From int64 }

// Error implements error.
func (e *TrimmedError) Error() string { return fmt.Sprintf("offset %d is no longer kept", e.From) }

// FormatError reports an answer that is not of the log's format.
type FormatError struct{ Op, Problem string }

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("answer to %s: %s", e.Op, e.Problem) }
