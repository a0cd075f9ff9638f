// Package link carries messages between the system's own processes. It uses QUIC with mutual TLS and one stream for
// each call; a message is encoded as CBOR with a length prefix.
package link

import (
	"context"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
)

// Peer is the identity in the certificate of a process that calls this one.
type Peer struct {
	ID   instance.ID
	Role instance.Role
}

// Handler answers one call of peer p. An error of type *contract.Failure is sent to the peer unchanged, any other error
// as FailureNotReady without its text. ctx ends when the peer gives the call up.
type Handler func(ctx context.Context, p Peer, m contract.Message) (contract.Message, error)

// Caller sends calls to peers, which it addresses by ip:port. It keeps one connection to each peer and dials again
// after a failure.
//
// A failed call returns *contract.Failure if the peer answered with one, and *CallError otherwise. CallError.Sent
// reports whether any byte of the call may have reached the peer.
type Caller interface {
	Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error)
}

// CallError reports a call without an answer.
type CallError struct {
	Addr string
	// Sent reports whether the peer may have received the call.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return "call to " + e.Addr + " failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
