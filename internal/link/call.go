package link

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// streamAbandoned is the code with which an unfinished stream is reset.
const streamAbandoned quic.StreamErrorCode = 1

// StoppedError reports a call through a transport that has been closed.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the link has been closed" }

// peerConn is the connection to one address. Its fields other than ready, conn and err are guarded by Transport.mu;
// conn and err are set before ready is closed.
type peerConn struct {
	addr    string
	ready   chan struct{}
	conn    *quic.Conn
	err     error
	calls   int
	lastUse time.Time
	// expires is when the first of the two certificates expires; it is set together with conn.
	expires time.Time
	// packetsSeen is the number of packets received at the last check, noPacketSince the time since which it has not
	// changed.
	packetsSeen   uint64
	noPacketSince time.Time
}

// Call implements Caller. If ctx has no deadline, it takes at most DefaultCallTimeout. The reply can come from another
// incarnation of the peer than earlier replies; only its content identifies the incarnation.
func (t *Transport) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	if !t.beginCall(&t.outCalls) {
		return nil, &CallError{Addr: addr, Err: &StoppedError{}}
	}
	defer t.endCall(&t.outCalls)
	reply, sent, err := t.call(ctx, addr, m)
	if err != nil {
		t.metrics.calls.WithLabelValues(map[bool]string{false: "not-sent", true: "unanswered"}[sent]).Inc()
		return nil, &CallError{Addr: addr, Sent: sent, Err: err}
	}
	if f, ok := reply.(*contract.Failure); ok {
		t.metrics.calls.WithLabelValues("failure").Inc()
		return nil, f
	}
	t.metrics.calls.WithLabelValues("answered").Inc()
	return reply, nil
}

func (t *Transport) call(
	ctx context.Context, addr string, m contract.Message,
) (_ contract.Message, sent bool, _ error) {
	frame, err := encodeFrame(m)
	if err != nil {
		return nil, false, err
	}
	p, s, err := t.openStream(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	defer t.release(p)
	t.checkPackets(p, time.Now())
	reply, err := t.exchange(ctx, s, m, frame)
	if err != nil && t.checkPackets(p, time.Now()) {
		t.closeConnection(p, closeFailed, "silent")
	}
	return reply, true, err
}

// checkPackets updates packetsSeen and reports whether a connection in use has received no packet for noPacketTimeout.
// Such a connection is replaced after a failed call, as the peer may have lost its state. A shorter time without
// packets proves nothing: a call can be given up before the first acknowledgement is due, and other calls share the
// connection.
func (t *Transport) checkPackets(p *peerConn, now time.Time) bool {
	received := p.conn.ConnectionStats().PacketsReceived
	t.mu.Lock()
	defer t.mu.Unlock()
	if received != p.packetsSeen {
		p.packetsSeen, p.noPacketSince = received, now
	}
	return now.Sub(p.noPacketSince) >= noPacketTimeout
}

// exchange writes one frame and reads the reply. It closes the write side only after it has read the reply, which
// signals the peer that the reply has arrived.
func (t *Transport) exchange(
	ctx context.Context, s *quic.Stream, m contract.Message, frame []byte,
) (contract.Message, error) {
	stop := context.AfterFunc(ctx, func() { abandon(s) })
	defer stop()
	t.metrics.addBytes(m, directionSent, len(frame))
	if _, err := s.Write(frame); err != nil {
		abandon(s)
		return nil, contextError(ctx, err)
	}
	reply, n, err := readFrame(s)
	t.metrics.addBytes(reply, directionReceived, n)
	if err != nil {
		abandon(s)
		return nil, contextError(ctx, err)
	}
	_ = s.Close()
	s.CancelRead(streamAbandoned)
	return reply, nil
}

// contextError returns the cause of ctx if ctx has ended, and err otherwise. The error of a stream that was abandoned
// at the end of ctx does not hold the cause.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.WithStack(context.Cause(ctx))
	}
	return err
}

func abandon(s *quic.Stream) {
	s.CancelWrite(streamAbandoned)
	s.CancelRead(streamAbandoned)
}

// openStream opens a stream on the connection to addr. If an existing connection turns out to be closed, it dials once
// more, since nothing has been sent.
func (t *Transport) openStream(ctx context.Context, addr string) (*peerConn, *quic.Stream, error) {
	for attempt := 0; ; attempt++ {
		p, err := t.connect(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		s, err := p.conn.OpenStreamSync(ctx)
		if err == nil {
			return p, s, nil
		}
		t.release(p)
		if ctx.Err() != nil {
			return nil, nil, errors.WithStack(context.Cause(ctx))
		}
		t.closeConnection(p, closeFailed, "failed")
		if attempt > 0 {
			return nil, nil, errors.WithStack(err)
		}
	}
}

// connect returns the connection to addr and counts a call on it. Concurrent calls share one dial.
func (t *Transport) connect(ctx context.Context, addr string) (*peerConn, error) {
	p, err := t.acquire(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-p.ready:
	case <-ctx.Done():
		t.release(p)
		return nil, errors.WithStack(context.Cause(ctx))
	}
	if p.err != nil {
		t.release(p)
		return nil, p.err
	}
	return p, nil
}

// acquire returns the usable or pending connection to addr, or starts a dial, and counts a call on it.
func (t *Transport) acquire(addr string) (*peerConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, &StoppedError{}
	}
	now := time.Now()
	p := t.peers[addr]
	if p == nil || p.ended(now) {
		target, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		p = &peerConn{addr: addr, ready: make(chan struct{})}
		t.peers[addr] = p
		t.wg.Add(1)
		go t.dial(p, target)
	}
	if now.Sub(p.lastUse) >= noPacketTimeout {
		// A connection without calls receives no packets, so the time without packets counts from this call on.
		p.noPacketSince = now
	}
	p.calls++
	p.lastUse = now
	return p, nil
}

// established returns the connection, or nil before the dial has succeeded.
func (p *peerConn) established() *quic.Conn {
	select {
	case <-p.ready:
		return p.conn
	default:
		return nil
	}
}

// ended reports whether the connection has been established and is now closed, or one of its certificates has expired.
func (p *peerConn) ended(now time.Time) bool {
	c := p.established()
	return c != nil && (c.Context().Err() != nil || now.After(p.expires))
}

// release ends a call on a connection. The last call on a connection that has been replaced closes it.
func (t *Transport) release(p *peerConn) {
	t.mu.Lock()
	p.calls--
	p.lastUse = time.Now()
	replaced := p.calls == 0 && t.peers[p.addr] != p
	t.mu.Unlock()
	if replaced {
		t.closeConnection(p, closeUnused, "replaced")
	}
}

// closeConnection removes a connection from the peers and closes it.
func (t *Transport) closeConnection(p *peerConn, code quic.ApplicationErrorCode, reason string) {
	t.mu.Lock()
	if t.peers[p.addr] == p {
		delete(t.peers, p.addr)
	}
	t.mu.Unlock()
	if c := p.established(); c != nil {
		_ = c.CloseWithError(code, reason)
	}
}

// dial establishes a connection. It does not depend on the context of the call that started it, because calls with
// later deadlines may wait for the same dial.
func (t *Transport) dial(p *peerConn, target netip.AddrPort) {
	defer t.wg.Done()
	defer close(p.ready)
	ctx, cancel := context.WithTimeout(t.ctx, 2*handshakeTimeout)
	defer cancel()
	tlsConfig := t.settings.Keys.ClientTLS(target.Addr(), t.settings.Roles...)
	conn, err := t.quic.Dial(ctx, net.UDPAddrFromAddrPort(target), tlsConfig, quicConfig(true))
	if err == nil {
		p.conn, p.expires = conn, t.settings.Keys.Expires()
		if peer := conn.ConnectionState().TLS.PeerCertificates[0]; peer.NotAfter.Before(p.expires) {
			p.expires = peer.NotAfter
		}
		t.track(conn)
		return
	}
	p.err = errors.WithStack(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[p.addr] == p {
		delete(t.peers, p.addr)
	}
}
