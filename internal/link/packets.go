package link

import (
	"container/heap"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// maxQueuedPackets limits the packets that wait for their delay; a full queue drops packets as a router does.
const maxQueuedPackets = 16 << 10

// PacketConn returns a connection that applies the conditions to the packets sent on conn. Packets with different
// delays can be reordered. Closing the result closes conn. With nil conditions it returns conn itself.
func (c *Conditions) PacketConn(conn *net.UDPConn) net.PacketConn {
	if c == nil {
		return conn
	}
	p := &packetConn{conn: conn, conditions: c, local: udpAddr(conn.LocalAddr()), wake: make(chan struct{}, 1),
		stop: make(chan struct{}), stopped: make(chan struct{})}
	go p.run()
	return p
}

// packetConn does not embed the connection, because the QUIC transport would bypass WriteTo if it found the other
// methods of *net.UDPConn.
type packetConn struct {
	conn       *net.UDPConn
	conditions *Conditions
	local      netip.Addr

	mu      sync.Mutex
	queue   packetQueue
	wake    chan struct{}
	once    sync.Once
	stop    chan struct{}
	stopped chan struct{}
}

// packet is a packet that waits to be sent at the time due.
type packet struct {
	due  time.Time
	data []byte
	to   net.Addr
}

// packetQueue is a heap of packets, ordered by due.
type packetQueue []packet

func (q packetQueue) Len() int           { return len(q) }
func (q packetQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q packetQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *packetQueue) Push(x any) { *q = append(*q, x.(packet)) }

// Pop implements heap.Interface.
func (q *packetQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = packet{}
	*q = old[:len(old)-1]
	return last
}

// udpAddr returns the IP address of a UDP address, and the zero address for any other type.
func udpAddr(a net.Addr) netip.Addr {
	if u, ok := a.(*net.UDPAddr); ok {
		return u.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// WriteTo implements net.PacketConn. It sends the packet after its delay, or drops it.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	delay, lost := p.conditions.samplePacket(p.local, udpAddr(to))
	if lost {
		return len(b), nil
	}
	if delay <= 0 {
		return p.conn.WriteTo(b, to)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) < maxQueuedPackets {
		heap.Push(&p.queue, packet{due: time.Now().Add(delay), data: append([]byte(nil), b...), to: to})
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// run sends the queued packets when they are due, until the connection is closed.
func (p *packetConn) run() {
	defer close(p.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(p.sendDue(time.Now()))
		select {
		case <-timer.C:
		case <-p.wake:
		case <-p.stop:
			p.sendDue(time.Now().Add(time.Hour))
			return
		}
	}
}

// sendDue sends the packets that are due at now. It returns the time until the next one is due, an hour if there is
// none.
func (p *packetConn) sendDue(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) > 0 {
		if wait := p.queue[0].due.Sub(now); wait > 0 {
			return wait
		}
		next := heap.Pop(&p.queue).(packet)
		// A packet that cannot be sent counts as lost; QUIC recovers from the loss.
		_, _ = p.conn.WriteTo(next.data, next.to)
	}
	return time.Hour
}

// Close sends the queued packets without further delay, so that peers are notified of a planned stop, and closes the
// connection.
func (p *packetConn) Close() error {
	p.once.Do(func() {
		close(p.stop)
		<-p.stopped
	})
	return p.conn.Close()
}

// ReadFrom implements net.PacketConn.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) { return p.conn.ReadFrom(b) }

// LocalAddr implements net.PacketConn.
func (p *packetConn) LocalAddr() net.Addr { return p.conn.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (p *packetConn) SetDeadline(t time.Time) error { return p.conn.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (p *packetConn) SetReadDeadline(t time.Time) error { return p.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (p *packetConn) SetWriteDeadline(t time.Time) error { return p.conn.SetWriteDeadline(t) }

// SetReadBuffer lets the transport enlarge the socket's buffer.
func (p *packetConn) SetReadBuffer(n int) error { return p.conn.SetReadBuffer(n) }

// SetWriteBuffer lets the transport enlarge the socket's buffer.
func (p *packetConn) SetWriteBuffer(n int) error { return p.conn.SetWriteBuffer(n) }

// SyscallConn lets the transport read the size of the socket's buffers.
func (p *packetConn) SyscallConn() (syscall.RawConn, error) { return p.conn.SyscallConn() }
