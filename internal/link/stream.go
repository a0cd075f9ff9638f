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
	// streamChunk is what one read of a delayed TCP connection takes up, and streamQueue how many of them can be on their way.
	streamChunk = 16 << 10
	streamQueue = 64
	// retransmission is the extra delay of a lost TCP segment: the shortest retransmission timeout of Linux.
	retransmission = 200 * time.Millisecond
	// cutPoll is how often a connection over a link that is cut looks whether the cut has ended.
	cutPoll = 50 * time.Millisecond
	// dialTimeout bounds a dial over a link that is cut if the context has no deadline.
	dialTimeout = 10 * time.Second
)

// DialError reports a TCP connection that could not be made.
type DialError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return "cannot connect to " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Timeout implements net.Error.
func (e *DialError) Timeout() bool {
	var t net.Error
	return errors.As(e.Err, &t) && t.Timeout() || errors.Is(e.Err, context.DeadlineExceeded)
}

// Temporary implements net.Error.
func (e *DialError) Temporary() bool { return false }

// DialContext returns a dial function for http.Transport. It binds the local address, by which the other side's data
// centre and this one's are told apart, and applies the conditions to the connection: data is delayed in both directions,
// a lost segment arrives a retransmission timeout late, and while the link is cut data waits and dials do not end before
// their deadline. With nil conditions only the local address is bound; an invalid local address binds none.
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
		if err := c.awaitDial(ctx, local, remote.Addr()); err != nil {
			return nil, &DialError{Addr: addr, Err: err}
		}
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, &DialError{Addr: addr, Err: err}
		}
		if !c.between(local, remote.Addr()) {
			return conn, nil
		}
		return newDelayedConn(c, conn, local, remote.Addr()), nil
	}
}

// between tells whether the two addresses lie in prefixes of the file. Other connections are never affected and need no
// queues.
func (c *Conditions) between(a, b netip.Addr) bool {
	return c != nil && c.DataCentre(a) != "" && c.DataCentre(b) != ""
}

// awaitDial takes the time of TCP's handshake, or as long as the link is cut.
func (c *Conditions) awaitDial(ctx context.Context, local, remote netip.Addr) error {
	if c == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for _, way := range [][2]netip.Addr{{local, remote}, {remote, local}} {
		if !c.await(ctx.Done(), way[0], way[1], time.Now()) {
			return errors.WithStack(ctx.Err())
		}
	}
	return nil
}

// await waits until a segment that was sent at the given time has arrived. It returns false if done ends first.
func (c *Conditions) await(done <-chan struct{}, from, to netip.Addr, sent time.Time) bool {
	delay, lost := c.fate(from, to)
	for lost {
		pause := retransmission
		if c.Effect(from, to).Cut {
			pause = cutPoll
		}
		if !sleep(done, pause) {
			return false
		}
		sent = time.Now()
		delay, lost = c.fate(from, to)
	}
	return sleep(done, time.Until(sent.Add(delay)))
}

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

// delayedConn is one end of a pipe, whose other end is copied to and from the real connection with delay.
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

// copy passes data on in order until one side has ended, and then ends the other one.
func (d *delayedConn) copy(c *Conditions, dst, src net.Conn, from, to netip.Addr) {
	queue := make(chan segment, streamQueue)
	go func() {
		defer close(queue)
		d.read(src, queue)
	}()
	for s := range queue {
		if !c.await(d.done, from, to, s.sent) {
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

func (d *delayedConn) read(src net.Conn, queue chan<- segment) {
	buf := make([]byte, streamChunk)
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

// Close ends the connection and discards data that is on its way.
func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.done) })
	_ = d.Conn.Close()
	return d.inner.Close()
}

// LocalAddr implements net.Conn.
func (d *delayedConn) LocalAddr() net.Addr { return d.inner.LocalAddr() }

// RemoteAddr implements net.Conn.
func (d *delayedConn) RemoteAddr() net.Addr { return d.inner.RemoteAddr() }
