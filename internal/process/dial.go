package process

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Traffic counts the bytes of TCP connections by what they are used for. Control traffic has a budget of 5 KB/s a node,
// so it is told apart from the requests of callers.
type Traffic struct {
	bytes *prometheus.CounterVec
}

// NewTraffic returns counters that are exported as clementine_tcp_bytes_total.
func NewTraffic(r prometheus.Registerer) *Traffic {
	t := &Traffic{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "clementine_tcp_bytes_total",
		Help: "Bytes on outgoing TCP connections, without packet headers, by use and direction.",
	}, []string{"use", "direction"})}
	r.MustRegister(t.bytes)
	return t
}

// Count wraps dial so that the bytes of its connections are counted under use.
func (t *Traffic) Count(use string, dial DialFunc) DialFunc {
	sent, received := t.bytes.WithLabelValues(use, "sent"), t.bytes.WithLabelValues(use, "received")
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, sent: sent, received: received}, nil
	}
}

type countedConn struct {
	net.Conn
	sent, received prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(float64(n))
	return n, err
}
