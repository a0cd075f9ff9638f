// Package link carries messages between the system's own processes: QUIC with mutual TLS, one stream for each call,
// CBOR messages with a length in front.
package link

import (
	"context"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
)

// Peer is the identity that a caller's certificate proves.
type Peer struct {
	ID   instance.ID
	Role instance.Role
}

// Handler answers one call. An error of type *contract.Failure is sent to the peer as it is, any other one as
// FailureNotReady without its text.
type Handler func(ctx context.Context, p Peer, m contract.Message) (contract.Message, error)

// Caller calls a peer by its ip:port. It keeps one connection for each peer and dials again after a failure.
//
// A failed call returns *contract.Failure if the peer answered with one, and *CallError otherwise. CallError.Sent tells whether
// any byte of the call can have reached the peer.
type Caller interface {
	Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error)
}

// CallError reports a call without an answer.
type CallError struct {
	Addr string
	// Sent tells that the peer can have received the call.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return "call to " + e.Addr + " failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
