// Package pinned sends HTTP calls to one incarnation of a server. A server that restarts under its address receives the calls
// that were meant for its earlier incarnation, unless they are sent over a connection that it has not opened: a TCP connection
// ends with the process that accepted it. A connection belongs to an incarnation once an answer over it has named one, and a
// pinned call is sent only over a connection that belongs to the incarnation it is meant for.
package pinned

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// UnknownConnectionError reports a call that was not sent, because no idle connection is known to belong to Incarnation.
type UnknownConnectionError struct{ Incarnation int64 }

// Error implements error.
func (e *UnknownConnectionError) Error() string {
	return "no idle connection is known to belong to the incarnation of the server"
}

// IsUnknownConnection reports whether a call was not sent for lack of a known connection.
func IsUnknownConnection(err error) bool {
	var unknown *UnknownConnectionError
	return errors.As(err, &unknown)
}

// connection is a connection to a server. incarnation is that of the server; 0 while it is unknown.
type connection struct {
	net.Conn
	incarnation atomic.Int64
	// call is the one that the connection was chosen for last.
	call atomic.Pointer[Call]
}

// Write implements net.Conn. It writes nothing and returns *UnknownConnectionError if the call is pinned and the connection is
// not known to belong to its incarnation.
func (c *connection) Write(b []byte) (int, error) {
	if call := c.call.Load(); call != nil && call.incarnation != 0 && call.incarnation != c.incarnation.Load() {
		return 0, &UnknownConnectionError{Incarnation: call.incarnation}
	}
	return c.Conn.Write(b)
}

type callKey struct{}

// Call is one call to a server. It is pinned if it must reach a given incarnation only.
type Call struct {
	incarnation int64
	conn        atomic.Pointer[connection]
}

// NewCall returns a call, and the context with which it is made. It is pinned to an incarnation unless that is 0. The body of its
// request must not be replayable: the transport would repeat the call over another connection.
func NewCall(ctx context.Context, incarnation int64) (context.Context, *Call) {
	c := &Call{incarnation: incarnation}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if conn, ok := i.Conn.(*connection); ok {
			conn.call.Store(c)
			c.conn.Store(conn)
		}
	}}
	return httptrace.WithClientTrace(context.WithValue(ctx, callKey{}, c), trace), c
}

// Identify notes which incarnation has answered the call; 0 if the answer does not name it.
func (c *Call) Identify(incarnation int64) {
	if conn := c.conn.Load(); conn != nil && incarnation != 0 {
		conn.incarnation.Store(incarnation)
	}
}

// UseConnections makes a transport tell its connections apart. Pinned calls open no connection: one that was opened after the
// server has restarted belongs to the next incarnation.
func UseConnections(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if c, ok := ctx.Value(callKey{}).(*Call); ok && c.incarnation != 0 {
			return nil, &UnknownConnectionError{Incarnation: c.incarnation}
		}
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: conn}, nil
	}
}
