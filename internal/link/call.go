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

const streamAbandoned quic.StreamErrorCode = 1

// StoppedError reports a call through a transport that has been closed.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the link has been closed" }

// peerConn is the connection to one address. Its fields other than ready, conn and err are guarded by Transport.mu; conn
// and err are set before ready is closed.
type peerConn struct {
	addr    string
	ready   chan struct{}
	conn    *quic.Conn
	err     error
	calls   int
	lastUse time.Time
	// until is when the first of the two certificates expires; set with conn.
	until time.Time
	// seen is the number of packets received when a call last looked, seenAt the time since when it has not changed.
	seen   uint64
	seenAt time.Time
}

// Call implements Caller. Without a deadline in ctx it takes at most DefaultCallTimeout. The reply can come from another
// incarnation of the peer than earlier ones; the caller tells from its content.
func (t *Transport) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	if !t.begin(&t.outCalls) {
		return nil, &CallError{Addr: addr, Err: &StoppedError{}}
	}
	defer t.done(&t.outCalls)
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

func (t *Transport) call(ctx context.Context, addr string, m contract.Message) (_ contract.Message, sent bool, _ error) {
	frame, err := encodeFrame(m)
	if err != nil {
		return nil, false, err
	}
	p, s, err := t.openStream(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	defer t.release(p)
	t.silent(p, time.Now())
	reply, err := t.exchange(ctx, s, m, frame)
	if err != nil && t.silent(p, time.Now()) {
		t.drop(p, closeSilent, "silent")
	}
	return reply, true, err
}

// silent tells that a connection in use has brought no packet for silentTimeout. Such a connection is replaced after a
// failed call, as the peer may have forgotten it. A shorter silence proves nothing: a call can be given up before the first
// acknowledgement is due, and other calls share the connection.
func (t *Transport) silent(p *peerConn, now time.Time) bool {
	received := p.conn.ConnectionStats().PacketsReceived
	t.mu.Lock()
	defer t.mu.Unlock()
	if received != p.seen {
		p.seen, p.seenAt = received, now
	}
	return now.Sub(p.seenAt) >= silentTimeout
}

// exchange writes one frame and reads the reply. The write side is closed only after the reply was read, which tells the
// peer that it arrived.
func (t *Transport) exchange(ctx context.Context, s *quic.Stream, m contract.Message, frame []byte) (contract.Message, error) {
	stop := context.AfterFunc(ctx, func() { abandon(s) })
	defer stop()
	t.metrics.count(m, directionSent, len(frame))
	if _, err := s.Write(frame); err != nil {
		abandon(s)
		return nil, contextError(ctx, err)
	}
	reply, n, err := readFrame(s)
	t.metrics.count(reply, directionReceived, n)
	if err != nil {
		abandon(s)
		return nil, contextError(ctx, err)
	}
	_ = s.Close()
	s.CancelRead(streamAbandoned)
	return reply, nil
}

// contextError prefers the reason why the call was given up over the stream's own error.
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

// openStream opens a stream on the connection to addr. If an idle connection turns out to be gone, it dials once more, as
// nothing was sent.
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
		t.drop(p, closeSilent, "failed")
		if attempt > 0 {
			return nil, nil, errors.WithStack(err)
		}
	}
}

// connect returns the connection to addr and counts a call on it. Callers that arrive during a dial share it.
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
		t.running.Add(1)
		go t.dial(p, target)
	}
	if now.Sub(p.lastUse) >= silentTimeout {
		// No packets are expected on a connection without calls.
		p.seenAt = now
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

// ended tells that the connection was made and is closed, or rests on a certificate that has expired since.
func (p *peerConn) ended(now time.Time) bool {
	c := p.established()
	return c != nil && (c.Context().Err() != nil || now.After(p.until))
}

// release ends a call. The last call on a connection that has been replaced closes it.
func (t *Transport) release(p *peerConn) {
	t.mu.Lock()
	p.calls--
	p.lastUse = time.Now()
	replaced := p.calls == 0 && t.peers[p.addr] != p
	t.mu.Unlock()
	if replaced {
		t.drop(p, closeUnused, "replaced")
	}
}

// drop forgets a connection and closes it.
func (t *Transport) drop(p *peerConn, code quic.ApplicationErrorCode, reason string) {
	t.mu.Lock()
	if t.peers[p.addr] == p {
		delete(t.peers, p.addr)
	}
	t.mu.Unlock()
	if c := p.established(); c != nil {
		_ = c.CloseWithError(code, reason)
	}
}

// dial does not depend on the context of the first caller, so that callers with longer deadlines can wait for it.
func (t *Transport) dial(p *peerConn, target netip.AddrPort) {
	defer t.running.Done()
	defer close(p.ready)
	ctx, cancel := context.WithTimeout(t.life, 2*handshakeTimeout)
	defer cancel()
	tlsConfig := t.settings.Keys.ClientTLS(target.Addr(), t.settings.Roles...)
	conn, err := t.quic.Dial(ctx, net.UDPAddrFromAddrPort(target), tlsConfig, quicConfig(true))
	if err == nil {
		p.conn, p.until = conn, t.settings.Keys.Expires()
		if peer := conn.ConnectionState().TLS.PeerCertificates[0]; peer.NotAfter.Before(p.until) {
			p.until = peer.NotAfter
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
