// Package pinned sends HTTP calls to one incarnation of a server. A server that restarts under its address receives the calls
// that were meant for its earlier incarnation, unless they are sent over a connection that it has not opened: a TCP connection
// ends with the process that accepted it. A connection belongs to an incarnation once an answer over it has named one, and a
// pinned call is sent only over a connection that belongs to the incarnation it is meant for.
//
// A server that closes each connection after an answer leaves none that is known. For it, a connection is opened first and kept
// unused, and then an unpinned call is made over a connection that is opened later. Incarnations follow each other, so the one
// that answers this call has accepted the kept connection as well, unless that belongs to an earlier one and is dead.
package pinned

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/clock"
)

// UnknownConnectionError reports a call that was not sent, because no idle connection is known to belong to Incarnation or the
// server drops its connections. Incarnation is 0 for a call that is not pinned.
type UnknownConnectionError struct{ Incarnation int64 }

// Error implements error.
func (e *UnknownConnectionError) Error() string {
	return "no idle connection is known to stay open and to belong to the incarnation of the server"
}

// IsUnknownConnection reports whether a call was not sent for lack of a known connection.
func IsUnknownConnection(err error) bool {
	var unknown *UnknownConnectionError
	return errors.As(err, &unknown)
}

// connection is a connection to a server. incarnation is that of the server; 0 while it is unknown.
type connection struct {
	net.Conn
	owner    *Connections
	addr     string
	openedAt time.Duration
	// answeredAt is when a part of an answer was last received, as of clock.Now; 0 before the first. announced is set once the
	// server has announced that it closes the connection.
	answeredAt atomic.Int64
	announced  atomic.Bool
	// number orders the connections by when they were opened: any number is taken before the connection is opened, that of a
	// reserved one after it.
	number      int64
	incarnation atomic.Int64
	// call is the one that the connection was chosen for last.
	call atomic.Pointer[Call]
}

// Write implements net.Conn. It writes nothing and returns *UnknownConnectionError if the call is pinned and the connection is
// not known to belong to its incarnation, or if the server may be about to drop the connection.
func (c *connection) Write(b []byte) (int, error) {
	if call := c.call.Load(); call != nil && (call.dropping || call.incarnation != 0 && call.incarnation != c.incarnation.Load()) {
		return 0, &UnknownConnectionError{Incarnation: call.incarnation}
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. It notes if the server closes the connection right after an answer, without having announced it.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case n > 0:
		c.answeredAt.Store(int64(clock.Now()))
	case (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) && !c.announced.Load():
		at := time.Duration(c.answeredAt.Load())
		if at != 0 && clock.Now()-at < closedAtOnce && clock.Now()-c.openedAt < dropAge {
			c.owner.noteDrop(c)
		}
	}
	return n, err
}

type callKey struct{}

// Call is one call to a server. It is pinned if it must reach a given incarnation only.
type Call struct {
	incarnation int64
	conn        atomic.Pointer[connection]
	// dropping is set if conn had carried an earlier call when it was chosen, and its server drops such connections. It does not
	// change afterwards: a call of which a part is written is not stopped.
	dropping bool
}

// NewCall returns a call, and the context with which it is made. It is pinned to an incarnation unless that is 0. The body of its
// request must not be replayable: the transport would repeat the call over another connection.
func NewCall(ctx context.Context, incarnation int64) (context.Context, *Call) {
	c := &Call{incarnation: incarnation}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if conn, ok := i.Conn.(*connection); ok {
			c.dropping = conn.answeredAt.Load() != 0 && conn.owner.Drops(conn.addr)
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
		conn.owner.identify(conn, incarnation)
	}
}

// NoteClose notes that the server closes the connection after its answer to the call of ctx.
func NoteClose(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*Call); ok {
		if conn := c.conn.Load(); conn != nil {
			conn.announced.Store(true)
			conn.owner.NoteCloses(conn.addr)
		}
	}
}

const (
	// closesFor is how long a server counts as one that closes its connections after the last time it has done so.
	closesFor = 10 * time.Second
	// A server that closes a connection of less than dropAge within closedAtOnce after an answer, without having announced it, has
	// dropped it. After two of them within dropWindow, the second opened after the first was dropped, it counts for dropsFor as one
	// that drops connections. A restart drops all connections at once, and the next ones live longer.
	closedAtOnce = 500 * time.Millisecond
	dropAge      = 3 * time.Second
	dropWindow   = 10 * time.Second
	minDrops     = 2
	dropsFor     = time.Minute
	// reservedFor is how long a reserved connection is kept. It is used within a round trip.
	reservedFor = 2 * time.Second
	// maxReserved limits the reserved connections to one server.
	maxReserved = 12
)

// Connections tells the connections of a transport apart.
type Connections struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu     sync.Mutex
	opened int64
	// reserved holds the connections that were opened for later calls, by address.
	reserved map[string][]*connection
	// closing holds until when a server counts as one that closes its connections, by address.
	closing map[string]time.Time
	// drops holds the servers that have dropped connections, by address.
	drops map[string]*drops
}

// drops counts the connections that a server has dropped.
type drops struct {
	count int
	// last is the number of the newest connection when the last one was dropped.
	last int64
	at   time.Time
}

// UseConnections makes a transport tell its connections apart. Pinned calls open no connection, since one that was opened after
// the server has restarted belongs to the next incarnation; they may take a reserved one.
func UseConnections(t *http.Transport) *Connections {
	c := &Connections{dial: t.DialContext, reserved: map[string][]*connection{}, closing: map[string]time.Time{}, drops: map[string]*drops{}}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if call, ok := ctx.Value(callKey{}).(*Call); ok && call.incarnation != 0 {
			if conn := c.take(addr, call.incarnation); conn != nil {
				return conn, nil
			}
			return nil, &UnknownConnectionError{Incarnation: call.incarnation}
		}
		number := c.next()
		conn, err := c.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: conn, owner: c, addr: addr, number: number, openedAt: clock.Now()}, nil
	}
	return c
}

func (c *Connections) next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	return c.opened
}

// NoteCloses notes that a server closes its connections.
func (c *Connections) NoteCloses(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, until := range c.closing {
		if now.After(until) {
			delete(c.closing, other)
		}
	}
	c.closing[addr] = now.Add(closesFor)
}

// Closes reports whether a server has closed a connection after an answer within the last seconds.
func (c *Connections) Closes(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.closing[addr]) || c.dropsNow(addr)
}

// noteDrop notes that a server has closed a connection without having announced it.
func (c *Connections) noteDrop(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, d := range c.drops {
		if now.Sub(d.at) > dropsFor {
			delete(c.drops, addr)
		}
	}
	d := c.drops[conn.addr]
	switch {
	case d == nil || d.count < minDrops && now.Sub(d.at) > dropWindow:
		d = &drops{}
		c.drops[conn.addr] = d
	case conn.number <= d.last:
		return
	}
	d.count, d.last, d.at = d.count+1, c.opened, now
}

// Drops reports whether a server closes its connections without announcing it, so that a call over a connection that has carried
// one may be lost.
func (c *Connections) Drops(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropsNow(addr)
}

// dropsNow is Drops; it requires c.mu.
func (c *Connections) dropsNow(addr string) bool {
	d := c.drops[addr]
	return d != nil && d.count >= minDrops && time.Since(d.at) <= dropsFor
}

// Reserve opens a connection that a later pinned call may take once an unpinned call, over a connection that is opened after
// it, has shown which incarnation it belongs to.
func (c *Connections) Reserve(ctx context.Context, addr string) error {
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	r := &connection{Conn: conn, owner: c, addr: addr, number: c.next(), openedAt: clock.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reserved[addr]) >= maxReserved {
		c.closeReserved(addr, 0)
	}
	c.reserved[addr] = append(c.reserved[addr], r)
	time.AfterFunc(reservedFor, func() { c.drop(r) })
	return nil
}

// drop closes a reserved connection that no call has taken.
func (c *Connections) drop(r *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.reserved[r.addr], r); i >= 0 {
		c.closeReserved(r.addr, i)
	}
}

// closeReserved removes a reserved connection and closes it. It requires c.mu.
func (c *Connections) closeReserved(addr string, i int) {
	r := c.reserved[addr][i]
	c.remove(addr, i)
	_ = r.Close()
}

// remove removes a reserved connection. It requires c.mu.
func (c *Connections) remove(addr string, i int) {
	c.reserved[addr] = slices.Delete(c.reserved[addr], i, i+1)
	if len(c.reserved[addr]) == 0 {
		delete(c.reserved, addr)
	}
}

// take returns the newest reserved connection that belongs to an incarnation, or nil. An older one may belong to an earlier
// incarnation, and a call over it would be lost.
func (c *Connections) take(addr string, incarnation int64) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range slices.Backward(c.reserved[addr]) {
		if r.incarnation.Load() == incarnation {
			c.remove(addr, i)
			return r
		}
	}
	return nil
}

// identify notes that the incarnation that has answered over a connection has accepted those that were reserved before it was
// opened, unless they are dead. Those that were found to belong to another incarnation are: it has ended by now.
func (c *Connections) identify(by *connection, incarnation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range slices.Backward(c.reserved[by.addr]) {
		if r.number < by.number && !r.incarnation.CompareAndSwap(0, incarnation) && r.incarnation.Load() != incarnation {
			c.closeReserved(by.addr, i)
		}
	}
}
