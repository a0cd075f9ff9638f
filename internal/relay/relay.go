// Package relay lets an instance that cannot reach the log use another instance that can. While the log turns single
// instances away, the load balancer may still send them callers; they pass submissions, cancellations and questions
// about states on, over QUIC. While appends are slow, all instances pass submissions and cancellations to a collector,
// and tell each other about it.
//
// Each process creates a key at its start and publishes its address and the fingerprint of its certificate in the log,
// which only instances of the system can write. A client accepts only the published certificate, so nobody else can
// answer in a peer's place. Callers need no certificate: a relayed entry is checked like one of a caller.
package relay

import (
	"context"
	"fmt"
	"time"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// State is a peer's answer about a submission.
type State struct {
	State workflow.State
	// Known reports whether the peer knows the submission. If not, it does not exist.
	Known bool
}

// Handler carries out the calls of peers. Its methods are called from several goroutines.
type Handler interface {
	// Append stores an entry, with the errors of eventlog.Batcher, or refuses it as *InvalidError.
	Append(ctx context.Context, e eventlog.Entry) error
	// AppendTime returns the expected time of an append.
	AppendTime() time.Duration
	// Report notes that an append of a peer takes at least d. Hint notes that appends take d on the whole fleet.
	Report(peer string, d time.Duration)
	Hint(d time.Duration)
	// Unknown notes that an instance does not know whether the entries with these keys are stored. With forward, all other
	// instances are told.
	Unknown(keys []string, forward bool)
	// State returns the state of a submission; false if the view of this instance is too old.
	State(ctx context.Context, id workflow.JobID) (State, bool)
}

// InvalidError reports an entry that the peer does not accept.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "relayed entry is invalid: " + e.Reason }

// RefusedError reports a call that had no effect. NoTime reports that the log is too slow for the time that was left.
type RefusedError struct {
	Peer, Reason string
	NoTime       bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call: %s", e.Peer, e.Reason)
}

// UnreachableError reports a call that was not sent.
type UnreachableError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s cannot be reached: %v", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// NoAnswerError reports a call whose outcome is unknown.
type NoAnswerError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("%s did not answer: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// MessageError reports bytes that are not a message of this package.
type MessageError struct{ Problem string }

// Error implements error.
func (e *MessageError) Error() string { return "malformed message: " + e.Problem }

type operation uint8

const (
	opAppend operation = iota + 1
	opState
	// opReport and opHint carry the time of an append. A peer that does not know them refuses them, which has no effect.
	opReport
	opHint
	// opUnknown carries keys of entries. A peer that does not know it refuses it as well.
	opUnknown
)

// request is a call. Key and Value are those of the entry of an append; Key is the submission of a question, or the
// instance of a report. LeftMS is how long the caller of an append waits; 0 if it does not say so.
type request struct {
	Op       operation `cbor:"1,keyasint"`
	Key      string    `cbor:"2,keyasint"`
	Value    []byte    `cbor:"3,keyasint,omitempty"`
	LeftMS   int64     `cbor:"4,keyasint,omitempty"`
	AppendMS int64     `cbor:"5,keyasint,omitempty"`
	Keys     []string  `cbor:"6,keyasint,omitempty"`
	Forward  bool      `cbor:"7,keyasint,omitempty"`
	// limited makes the client set LeftMS when it sends the call.
	limited bool
}

type outcome uint8

const (
	outcomeDone outcome = iota + 1
	outcomeRefused
	outcomeUnknown
)

type response struct {
	Outcome outcome        `cbor:"1,keyasint"`
	Reason  string         `cbor:"2,keyasint,omitempty"`
	State   workflow.State `cbor:"3,keyasint,omitempty"`
	Known   bool           `cbor:"4,keyasint,omitempty"`
	// AppendMS is the expected time of an append; 0 if it is not known.
	AppendMS int64 `cbor:"5,keyasint,omitempty"`
	NoTime   bool  `cbor:"6,keyasint,omitempty"`
}

// maxMessageBytes limits a message. The largest submission has a few hundred kilobytes.
const maxMessageBytes = 512 << 10
