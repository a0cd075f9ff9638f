package ingress

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/ingress/ledger"
)

// writeTimeout limits the time that one write to a client may take, so that clients that do not read their responses
// occupy no goroutine. A response has at most 1 MiB.
const writeTimeout = 10 * time.Second

// GuardCallers bounds the connections of callers to a server: beyond the limit, the least active one is closed. A
// connection whose request is complete and being processed stays open. It must be called before the server is started,
// and returns the listener to serve.
func (g *Gate) GuardCallers(s *http.Server, ln net.Listener) net.Listener {
	return g.guard(s, ln, "caller_connections", g.limits.connections, true)
}

// GuardOps is like GuardCallers for the ports of readiness checks and metrics, whose requests may be given up at any
// time. name is that of the port in metrics.
func (g *Gate) GuardOps(s *http.Server, ln net.Listener, name string) net.Listener {
	return g.guard(s, ln, name+"_connections", opsConnections, false)
}

func (g *Gate) guard(s *http.Server, ln net.Listener, name string, n int64, protect bool) net.Listener {
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		defer c.done()
		if r.Body == http.NoBody {
			c.pin()
		}
		h.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return &listener{Listener: ln, protect: protect, gate: g,
		account: newAccount[*conn](g, name, connectionPolicy(n))}
}

type connKey struct{}

// connOf returns the connection of a request; nil if its server is not guarded.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

type listener struct {
	net.Listener
	account *account[*conn]
	gate    *Gate
	protect bool
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client, _ := netip.ParseAddrPort(raw.RemoteAddr().String())
		c := &conn{Conn: raw, listener: l}
		var ok bool
		if c.holder, ok = l.account.open(client.Addr(), c, 1, false); ok {
			return c, nil
		}
		_ = l.gate.refuse(causeConnection)
		l.gate.Report("connection refused, all others are in use", "client", raw.RemoteAddr(), "resource", l.account.name)
		_ = raw.Close()
	}
}

// conn is a connection of a client. Its activity is the begin of a request or the end of its processing: a client that
// sends a request byte by byte becomes the least active one in the course of time. Its methods pin and done may be called
// on nil.
type conn struct {
	net.Conn
	listener *listener
	holder   *ledger.Holder[*conn]
	// inRequest reports whether some of a request has arrived that is not processed yet.
	inRequest atomic.Bool
	once      sync.Once
}

// evict closes the connection. The server then calls Close.
func (c *conn) evict() { _ = c.Conn.Close() }

func (c *conn) pin() {
	if c != nil && c.listener.protect {
		c.listener.account.pin(c.holder)
	}
}

// done records that a request has been processed.
func (c *conn) done() {
	if c != nil {
		c.inRequest.Store(false)
		c.listener.account.progress(c.holder, 1)
		c.listener.account.unpin(c.holder, true)
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.inRequest.CompareAndSwap(false, true) {
		c.listener.account.progress(c.holder, 1)
	}
	return n, err
}

// Write implements net.Conn. The request has been processed when its response is written, so a client that does not
// read it may be evicted.
func (c *conn) Write(b []byte) (int, error) {
	c.listener.account.unpin(c.holder, false)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(b)
}

// CloseWrite lets the server send a response before it closes a connection whose request was not read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.listener.account.close(c.holder) })
	return err
}
