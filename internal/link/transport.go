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

	// A connection without calls sends one keep-alive every 10 s and is closed by its dialler after a minute without calls,
	// from when on the link costs nothing. The idle timeout is three keep-alives, so that one lost packet does not end it.
	keepAlivePeriod = 10 * time.Second
	idleTimeout     = 30 * time.Second
	unusedTimeout   = time.Minute
	janitorInterval = 10 * time.Second

	// silentTimeout is many round trips between data centres, and short enough that a peer whose process was replaced under
	// another key is reached again within two calls.
	silentTimeout = 500 * time.Millisecond

	handshakeTimeout = 2 * time.Second
	// certificateGrace is how long calls are still answered after the caller's certificate has expired, for clocks that differ.
	certificateGrace = time.Minute
	// stopTimeout bounds how long a planned stop waits for calls in progress.
	stopTimeout = 10 * time.Second
	// maxStreams bounds the calls of one peer that are in progress at the same time.
	maxStreams = 1024
	// streamWindow lets a message of the largest size pass without waiting for window updates.
	streamWindow     = MaxMessageBytes + lengthBytes
	connectionWindow = 4 * streamWindow

	settingListen = "link-listen"
)

// The codes with which connections are closed.
const (
	closeStopped quic.ApplicationErrorCode = iota
	closeUnused
	closeSilent
	closeExpired
)

// Settings configure a Transport.
type Settings struct {
	// Listen is the ip:port of the UDP socket. Calls to peers are sent from it, too.
	Listen string
	Keys   *keys.Store
	// Conditions are the simulated properties of links between data centres; nil has no effect.
	Conditions *Conditions
	// Roles are the roles of peers that may call and be called; gateway and scheduler if empty.
	Roles []instance.Role
	// Logger and Registerer may be nil.
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Transport calls peers and answers their calls over one UDP socket.
type Transport struct {
	settings Settings
	log      *slog.Logger
	metrics  *metrics
	conn     net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener

	// life ends when the transport is closed.
	life    context.Context
	end     context.CancelFunc
	running sync.WaitGroup
	closing sync.Once

	mu             sync.Mutex
	peers          map[string]*peerConn
	open           map[*quic.Conn]struct{}
	closedSent     uint64
	closedReceived uint64
	// stopping and calls belong to the accepting side; outgoing counts this process's own calls. idle is closed when
	// stopping is set and nothing is in progress.
	stopping bool
	closed   bool
	inCalls  int
	outCalls int
	idle     chan struct{}
}

// NewTransport opens the socket. Calls can be made at once; calls of peers are answered once Serve runs. It returns
// *process.SettingError for a bad address and *process.ListenError for one that cannot be used.
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
	t := &Transport{settings: s, log: process.Part(s.Logger, "link"), metrics: newMetrics(),
		conn: s.Conditions.PacketConn(socket), peers: map[string]*peerConn{}, open: map[*quic.Conn]struct{}{},
		idle: make(chan struct{})}
	t.life, t.end = context.WithCancel(context.Background())
	// The reset key survives a restart, so that a peer learns with its first packet that its connection is gone.
	t.quic = &quic.Transport{Conn: t.conn, StatelessResetKey: &reset}
	t.listener, err = t.quic.Listen(s.Keys.ServerTLS(s.Roles...), quicConfig(false))
	if err != nil {
		t.end()
		_ = t.conn.Close()
		return nil, &process.ListenError{Setting: settingListen, Addr: s.Listen, Err: err}
	}
	if s.Registerer != nil {
		s.Registerer.MustRegister(t)
	}
	t.running.Add(1)
	go t.closeUnused()
	return t, nil
}

// quicConfig leaves path MTU discovery out: control messages are small, and its probes are most of a new connection's bytes.
func quicConfig(dialler bool) *quic.Config {
	c := &quic.Config{HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, DisablePathMTUDiscovery: true,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1, InitialStreamReceiveWindow: streamWindow,
		MaxStreamReceiveWindow: streamWindow, InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow: connectionWindow}
	if dialler {
		c.KeepAlivePeriod = keepAlivePeriod
	}
	return c
}

// Addr returns the address of the socket.
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// Close ends all connections at once and releases the socket. Serve does so by itself after a planned stop.
func (t *Transport) Close() error {
	t.closing.Do(func() {
		t.mu.Lock()
		t.closed = true
		conns := make([]*quic.Conn, 0, len(t.open))
		for c := range t.open {
			conns = append(conns, c)
		}
		t.mu.Unlock()
		t.end()
		_ = t.listener.Close()
		for _, c := range conns {
			_ = c.CloseWithError(closeStopped, "stopped")
		}
		_ = t.quic.Close()
		_ = t.conn.Close()
		t.running.Wait()
	})
	return nil
}

// begin counts a call in progress unless the transport has been closed.
func (t *Transport) begin(count *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	*count++
	return true
}

func (t *Transport) done(count *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*count--
	t.signalIdle()
}

// signalIdle is called with mu held.
func (t *Transport) signalIdle() {
	if !t.stopping || t.inCalls+t.outCalls > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// closeUnused ends the connections that this side dialled and has not used for unusedTimeout.
func (t *Transport) closeUnused() {
	defer t.running.Done()
	tick := time.NewTicker(janitorInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.life.Done():
			return
		case now := <-tick.C:
			for _, p := range t.unused(now) {
				t.drop(p, closeUnused, "unused")
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
