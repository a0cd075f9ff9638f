package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxSegmentBytes is the size of the largest simulated segment in bytes, and maxQueuedSegments the number of
	// segments that can be in transit in one direction.
	maxSegmentBytes   = 16 << 10
	maxQueuedSegments = 64
	// retransmissionTimeout is the extra delay of a lost TCP segment: the shortest retransmission timeout of Linux.
	retransmissionTimeout = 200 * time.Millisecond
	// cutPollInterval is the interval at which a connection over a link that is cut checks whether the cut has ended.
	cutPollInterval = 50 * time.Millisecond
	// dialTimeout limits a dial over a link that is cut, if the context has no earlier deadline.
	dialTimeout = 10 * time.Second
)

// DialError reports a TCP connection that could not be established.
type DialError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return "cannot connect to " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Timeout implements net.Error. It also reports true if the context's deadline has passed.
func (e *DialError) Timeout() bool {
	var t net.Error
	return errors.As(e.Err, &t) && t.Timeout() || errors.Is(e.Err, context.DeadlineExceeded)
}

// Temporary implements net.Error.
func (e *DialError) Temporary() bool { return false }

// DialContext returns a dial function for http.Transport. It binds the local address, which determines the data centre
// of this side, and applies the conditions to the connection: data is delayed in both directions, and a lost segment
// arrives one retransmission timeout late. While the link is cut, data waits and dials do not end before their
// deadline. With nil conditions only the local address is bound; an invalid local address binds none.
func (c *Conditions) DialContext(local netip.Addr) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{}
	if local.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		remote, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, &DialError{Addr: addr, Err: err}
		}
		if err := c.awaitHandshake(ctx, local, remote.Addr()); err != nil {
			return nil, &DialError{Addr: addr, Err: err}
		}
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, &DialError{Addr: addr, Err: err}
		}
		if !c.affects(local, remote.Addr()) {
			return conn, nil
		}
		return newDelayedConn(c, conn, local, remote.Addr()), nil
	}
}

// affects reports whether both addresses belong to data centres of the file. Other connections are not affected and
// need no queues.
func (c *Conditions) affects(a, b netip.Addr) bool {
	return c != nil && c.DataCentre(a) != "" && c.DataCentre(b) != ""
}

// awaitHandshake waits as long as the handshake of TCP takes on the simulated link. It returns an error if ctx or
// dialTimeout ends first.
func (c *Conditions) awaitHandshake(ctx context.Context, local, remote netip.Addr) error {
	if c == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for _, direction := range [][2]netip.Addr{{local, remote}, {remote, local}} {
		if !c.awaitArrival(ctx.Done(), direction[0], direction[1], time.Now()) {
			return errors.WithStack(ctx.Err())
		}
	}
	return nil
}

// awaitArrival waits until a segment that was sent at the given time has arrived. It returns false if done is closed
// first.
func (c *Conditions) awaitArrival(done <-chan struct{}, from, to netip.Addr, sent time.Time) bool {
	delay, lost := c.samplePacket(from, to)
	for lost {
		pause := retransmissionTimeout
		if c.Effect(from, to).Cut {
			pause = cutPollInterval
		}
		if !sleep(done, pause) {
			return false
		}
		sent = time.Now()
		delay, lost = c.samplePacket(from, to)
	}
	return sleep(done, time.Until(sent.Add(delay)))
}

// sleep waits for d and returns false if done is closed first.
func sleep(done <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-done:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}

// delayedConn is one end of a pipe. Data is copied with delay between the other end and the real connection.
type delayedConn struct {
	net.Conn
	inner net.Conn
	once  sync.Once
	done  chan struct{}
}

func newDelayedConn(c *Conditions, inner net.Conn, local, remote netip.Addr) net.Conn {
	near, far := net.Pipe()
	d := &delayedConn{Conn: near, inner: inner, done: make(chan struct{})}
	go d.copy(c, inner, far, local, remote)
	go d.copy(c, far, inner, remote, local)
	return d
}

// segment is a piece of data with the time at which it was sent.
type segment struct {
	data []byte
	sent time.Time
}

// copy copies data in order from src to dst until one of them is closed, and then closes both.
func (d *delayedConn) copy(c *Conditions, dst, src net.Conn, from, to netip.Addr) {
	queue := make(chan segment, maxQueuedSegments)
	go func() {
		defer close(queue)
		d.read(src, queue)
	}()
	for s := range queue {
		if !c.awaitArrival(d.done, from, to, s.sent) {
			break
		}
		if _, err := dst.Write(s.data); err != nil {
			break
		}
	}
	_ = dst.Close()
	_ = src.Close()
	for range queue {
		continue
	}
}

// read queues the data read from src as segments until src or the connection is closed.
func (d *delayedConn) read(src net.Conn, queue chan<- segment) {
	buf := make([]byte, maxSegmentBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case queue <- segment{data: append([]byte(nil), buf[:n]...), sent: time.Now()}:
			case <-d.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close closes the connection and discards the data in transit.
func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.done) })
	_ = d.Conn.Close()
	return d.inner.Close()
}

// LocalAddr implements net.Conn.
func (d *delayedConn) LocalAddr() net.Addr { return d.inner.LocalAddr() }

// RemoteAddr implements net.Conn.
func (d *delayedConn) RemoteAddr() net.Addr { return d.inner.RemoteAddr() }
