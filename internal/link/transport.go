package link

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/keys"
	"clementinewalk.example/clementinewalk/internal/process"
)

const (
	// DefaultCallTimeout applies to calls whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second

	// The dialler sends a keep-alive every 10 s and closes a connection after one minute without calls, so that an
	// unused link causes no traffic. The idle timeout is three keep-alive periods, so that one lost keep-alive does not
	// end the connection.
	keepAlivePeriod     = 10 * time.Second
	idleTimeout         = 30 * time.Second
	unusedTimeout       = time.Minute
	unusedCheckInterval = 10 * time.Second

	// noPacketTimeout is the time after which a connection that receives no packet is replaced if a call on it fails.
	// It is many round trips between data centres, but short enough that a peer that restarted with another key is
	// reached within two calls.
	noPacketTimeout = 500 * time.Millisecond

	handshakeTimeout = 2 * time.Second
	// certificateGrace is how long calls are still answered after the peer's certificate has expired, because clocks
	// differ.
	certificateGrace = time.Minute
	// stopTimeout limits the time that a planned stop waits for calls in progress.
	stopTimeout = 10 * time.Second
	// maxStreams limits the concurrent calls on one connection of a peer.
	maxStreams = 1024
	// streamWindowBytes lets a message of MaxMessageBytes pass without waiting for window updates.
	streamWindowBytes     = MaxMessageBytes + lengthBytes
	connectionWindowBytes = 4 * streamWindowBytes

	settingListen = "link-listen"
)

// The error codes with which connections are closed.
const (
	closeStopped quic.ApplicationErrorCode = iota
	closeUnused
	closeFailed
	closeExpired
)

// Settings configure a Transport.
type Settings struct {
	// Listen is the ip:port of the UDP socket. Calls to peers are sent from the same socket.
	Listen string
	Keys   *keys.Store
	// Conditions are the simulated network conditions between data centres; nil has no effect.
	Conditions *Conditions
	// Roles are the roles that peers must have, in both directions; the default is gateway and scheduler.
	Roles []instance.Role
	// Logger and Registerer may be nil.
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Transport sends calls to peers and answers their calls over one UDP socket.
type Transport struct {
	settings Settings
	log      *slog.Logger
	metrics  *metrics
	conn     net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener

	// ctx is cancelled when the transport is closed. wg counts the goroutines that Close waits for.
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	closeOnce sync.Once

	mu                  sync.Mutex
	peers               map[string]*peerConn
	openConns           map[*quic.Conn]struct{}
	closedBytesSent     uint64
	closedBytesReceived uint64
	stopping            bool
	closed              bool
	// inCalls and outCalls are the numbers of incoming and outgoing calls in progress. callsDone is closed when
	// stopping is set and both are zero.
	inCalls   int
	outCalls  int
	callsDone chan struct{}
}

// NewTransport opens the socket. Calls to peers can be sent at once; incoming calls are answered only while Serve
// runs. It returns *process.SettingError for a malformed address and *process.ListenError for an address that cannot be
// used.
func NewTransport(s Settings) (*Transport, error) {
	if err := process.CheckAddr(settingListen, s.Listen); err != nil {
		return nil, err
	}
	if len(s.Roles) == 0 {
		s.Roles = []instance.Role{instance.RoleGateway, instance.RoleScheduler}
	}
	if s.Logger == nil {
		s.Logger = slog.Default()
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.Listen)))
	if err != nil {
		return nil, &process.ListenError{Setting: settingListen, Addr: s.Listen, Err: err}
	}
	reset := quic.StatelessResetKey(s.Keys.ResetKey())
	t := &Transport{settings: s, log: process.WithPrefix(s.Logger, "link"), metrics: newMetrics(),
		conn: s.Conditions.PacketConn(socket), peers: map[string]*peerConn{}, openConns: map[*quic.Conn]struct{}{},
		callsDone: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	// The key is the same after a restart, so that a packet on an old connection is answered with a stateless reset,
	// which ends the connection at the peer at once.
	t.quic = &quic.Transport{Conn: t.conn, StatelessResetKey: &reset}
	t.listener, err = t.quic.Listen(s.Keys.ServerTLS(s.Roles...), quicConfig(false))
	if err != nil {
		t.cancel()
		_ = t.conn.Close()
		return nil, &process.ListenError{Setting: settingListen, Addr: s.Listen, Err: err}
	}
	if s.Registerer != nil {
		s.Registerer.MustRegister(t)
	}
	t.wg.Add(1)
	go t.closeUnused()
	return t, nil
}

// quicConfig disables path MTU discovery, because control messages are small and its probes make up most of the bytes
// of a new connection.
func quicConfig(dialler bool) *quic.Config {
	c := &quic.Config{HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout,
		DisablePathMTUDiscovery: true, MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: streamWindowBytes, MaxStreamReceiveWindow: streamWindowBytes,
		InitialConnectionReceiveWindow: connectionWindowBytes, MaxConnectionReceiveWindow: connectionWindowBytes}
	if dialler {
		c.KeepAlivePeriod = keepAlivePeriod
	}
	return c
}

// Addr returns the address of the socket.
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// Close closes all connections at once and releases the socket. Serve calls it at the end of a planned stop.
func (t *Transport) Close() error {
	t.closeOnce.Do(func() {
		t.mu.Lock()
		t.closed = true
		conns := make([]*quic.Conn, 0, len(t.openConns))
		for c := range t.openConns {
			conns = append(conns, c)
		}
		t.mu.Unlock()
		t.cancel()
		_ = t.listener.Close()
		for _, c := range conns {
			_ = c.CloseWithError(closeStopped, "stopped")
		}
		_ = t.quic.Close()
		_ = t.conn.Close()
		t.wg.Wait()
	})
	return nil
}

// beginCall adds one to count unless the transport has been closed, and reports whether it did.
func (t *Transport) beginCall(count *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	*count++
	return true
}

// endCall subtracts one from count, and closes callsDone if it was the last call of a stopping transport.
func (t *Transport) endCall(count *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*count--
	t.signalCallsDone()
}

// signalCallsDone closes callsDone if the transport is stopping and no call is in progress. mu must be held.
func (t *Transport) signalCallsDone() {
	if !t.stopping || t.inCalls+t.outCalls > 0 {
		return
	}
	select {
	case <-t.callsDone:
	default:
		close(t.callsDone)
	}
}

// closeUnused closes the connections that this side dialled and has not used for unusedTimeout.
func (t *Transport) closeUnused() {
	defer t.wg.Done()
	tick := time.NewTicker(unusedCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case now := <-tick.C:
			for _, p := range t.unused(now) {
				t.closeConnection(p, closeUnused, "unused")
			}
		}
	}
}

func (t *Transport) unused(now time.Time) []*peerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerConn
	for _, p := range t.peers {
		if p.calls == 0 && now.Sub(p.lastUse) > unusedTimeout {
			out = append(out, p)
		}
	}
	return out
}
