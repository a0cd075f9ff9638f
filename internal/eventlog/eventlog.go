// Package eventlog defines the interface of the persistent, ordered log that the processes share: conditional appends,
// reads from an offset, and the newest record of each key. It also provides a Batcher for appends and a Follower for
// reads.
package eventlog

import (
	"context"
	"fmt"
	"time"
)

// Entry is one keyed record of a topic. A nil Value removes the key.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Producer identifies the writer of an append. The log refuses appends of an earlier epoch of the same name, and does
// not store a second append with the same sequence number.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence must be one above that of the previous append of the epoch. The first append of an epoch may use any
	// number.
	Sequence int64
}

// Page is the answer to a read. End is the offset after the newest record of the topic.
type Page struct {
	Entries []Entry
	End     int64
}

// Log is a set of topics, each of which is a keyed log with its own offsets.
type Log interface {
	// Append stores all entries or none and returns the offset of the first. It returns *RefusedError if nothing was
	// stored, *RejectedError if it never will be, *FencedError or *SequenceError if the log has refused the epoch or the
	// sequence number of the producer, and *UnknownError if the entries may have been stored or may be later.
	Append(ctx context.Context, topic string, p *Producer, entries []Entry) (int64, error)
	// Read returns the entries from an offset on. If there are none, it waits for the next one for at most wait. It
	// returns *TrimmedError if the log no longer keeps the entry at the offset.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest entry of each key. Page.End is an offset from which Read continues without missing an
	// entry.
	Newest(ctx context.Context, topic string) (Page, error)
}

// RefusedError reports a call that the log has refused; it had no effect. Status is 0 if the call was not sent, because
// there was no connection; Err is the cause then.
type RefusedError struct {
	Op     string
	Status int
	// RateLimited reports that the operation has reached its rate limit, which says nothing about other operations.
	RateLimited bool
	Err         error
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("log cannot be called for %s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("log refused %s with status %d", e.Op, e.Status)
}

// UnknownError reports a call without an answer. An append may have been carried out, or may still be carried out
// seconds later.
type UnknownError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("log did not answer %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// FencedError reports an append of an epoch that a later epoch has replaced.
type FencedError struct{ Epoch int64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("log refused the append: epoch %d has been replaced", e.Epoch)
}

// SequenceError reports an append whose sequence number is not the next one of its epoch.
type SequenceError struct{ Sent int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("log refused the append: sequence number %d is not the next one", e.Sent)
}

// TrimmedError reports a read from an offset that the log no longer keeps.
type TrimmedError struct{ From int64 }

// Error implements error.
func (e *TrimmedError) Error() string { return fmt.Sprintf("log no longer keeps offset %d", e.From) }

// FormatError reports an answer of the log that cannot be decoded.
type FormatError struct{ Op, Problem string }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("log answer to %s cannot be decoded: %s", e.Op, e.Problem)
}
