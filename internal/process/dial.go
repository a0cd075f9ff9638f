package process

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Traffic counts the bytes of outgoing TCP connections by use. Control traffic has a budget of 5 KB/s per node, so it
// is counted separately from the requests of callers.
type Traffic struct {
	bytes *prometheus.CounterVec
}

// NewTraffic returns counters that are registered with r as clementine_tcp_bytes_total.
func NewTraffic(r prometheus.Registerer) *Traffic {
	t := &Traffic{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "clementine_tcp_bytes_total",
		Help: "Bytes on outgoing TCP connections, without packet headers, by use and direction.",
	}, []string{"use", "direction"})}
	r.MustRegister(t.bytes)
	return t
}

// Count returns a DialFunc that counts the bytes of the connections of dial under the label use.
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

// countedConn counts the bytes that are sent and received over a connection.
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
