package link

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/keys"
	"clementinewalk.example/clementinewalk/internal/process"
)

func TestMain(m *testing.M) {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	goleak.VerifyTestMain(m)
}

// testTransport is a transport whose Serve is running.
type testTransport struct {
	*Transport
	stop   context.CancelFunc
	served chan error
	once   sync.Once
}

// stopAndWait stops the transport and returns the result of Serve.
func (n *testTransport) stopAndWait() error {
	var err error
	n.once.Do(func() {
		n.stop()
		err = <-n.served
	})
	return err
}

// keyDir returns a directory with a new certificate authority.
func keyDir(t testing.TB) string {
	dir := t.TempDir()
	require.NoError(t, keys.CreateAuthority(dir))
	return dir
}

// start runs a transport with a certificate for id and role until the test ends.
func start(
	t testing.TB, dir string, id instance.ID, role instance.Role, listen string, c *Conditions, h Handler,
) *testTransport {
	t.Helper()
	ip := netip.MustParseAddrPort(listen).Addr()
	require.NoError(t, keys.Issue(dir, id, role, []netip.Addr{ip}, time.Hour))
	store, err := keys.Open(dir, id)
	require.NoError(t, err)
	tr, err := NewTransport(Settings{Listen: listen, Keys: store, Conditions: c, Logger: slog.New(slog.DiscardHandler),
		Registerer: prometheus.NewRegistry()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &testTransport{Transport: tr, stop: cancel, served: make(chan error, 1)}
	go func() { n.served <- tr.Serve(ctx, h) }()
	t.Cleanup(func() { _ = n.stopAndWait() })
	return n
}

// echo answers a heartbeat with the id of the peer, and any other message with a failure.
func echo(_ context.Context, p Peer, m contract.Message) (contract.Message, error) {
	h, ok := m.(*contract.Heartbeat)
	if !ok {
		return nil, &contract.Failure{Code: contract.FailureNotOwner, Owner: "127.0.0.1:9"}
	}
	return &contract.HeartbeatReply{From: p.ID, Config: h.Config}, nil
}

// call sends a heartbeat and returns the reply.
func call(n *testTransport, addr string, limit time.Duration) (*contract.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	m, err := n.Call(ctx, addr, &contract.Heartbeat{From: "x", Config: 7})
	if err != nil {
		return nil, err
	}
	return m.(*contract.HeartbeatReply), nil
}

// Guards against a handler that gets a wrong identity, a failure that does not reach the calling process, and errors
// that claim that a call may have been sent although it was too large or its peer was never reached.
func TestCall(t *testing.T) {
	dir := keyDir(t)
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil, echo)
	g := start(t, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, echo)
	r, err := call(g, s.Addr(), time.Second)
	require.NoError(t, err)
	require.Equal(t, &contract.HeartbeatReply{From: "g1", Config: 7}, r)

	var failure *contract.Failure
	_, err = g.Call(context.Background(), s.Addr(), &contract.ShardStatus{})
	require.ErrorAs(t, err, &failure)
	require.Equal(t, "127.0.0.1:9", failure.Owner)

	_, err = g.Call(context.Background(), s.Addr(), &contract.Forward{Body: make([]byte, MaxMessageBytes)})
	var failed *CallError
	var size *SizeError
	require.ErrorAs(t, err, &failed)
	require.ErrorAs(t, err, &size)
	require.False(t, failed.Sent)
	_, err = call(g, "127.0.0.1:1", 300*time.Millisecond)
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	require.ErrorIs(t, err, context.DeadlineExceeded)

	sent := testutil.ToFloat64(g.metrics.bytes.WithLabelValues("heartbeat", directionSent))
	require.Equal(t, sent, testutil.ToFloat64(s.metrics.bytes.WithLabelValues("heartbeat", directionReceived)))
	require.Positive(t, sent)
}

// Guards against messages that are truncated at the boundary of a packet, a flow-control window or a read chunk.
func TestLargeMessages(t *testing.T) {
	dir := keyDir(t)
	h := func(_ context.Context, _ Peer, m contract.Message) (contract.Message, error) {
		return &contract.ForwardReply{Body: m.(*contract.Forward).Body}, nil
	}
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil, h)
	g := start(t, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, h)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			body := make([]byte, 1<<20+i)
			body[len(body)-1] = byte(i)
			m, err := g.Call(context.Background(), s.Addr(), &contract.Forward{Body: body})
			if !(err == nil && string(m.(*contract.ForwardReply).Body) == string(body)) {
				t.Errorf("call %d: %v", i, err)
			}
		})
	}
	wg.Wait()
}

// Guards against a link that does not recover after its peer was restarted on the same address.
func TestRestartOfPeer(t *testing.T) {
	dir := keyDir(t)
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil, echo)
	g := start(t, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, echo)
	addr := s.Addr()
	_, err := call(g, addr, time.Second)
	require.NoError(t, err)
	require.NoError(t, s.stopAndWait())
	_, err = call(g, addr, 200*time.Millisecond)
	require.Error(t, err)
	start(t, dir, "s1", instance.RoleScheduler, addr, nil, echo)
	require.Eventually(t, func() bool {
		_, err := call(g, addr, 500*time.Millisecond)
		return err == nil
	}, 3*time.Second, 10*time.Millisecond)
}

// Guards against a call with a short deadline that closes the connection which other calls share, and against a
// connection that stays in use after one of its certificates has expired.
func TestConnectionIsKeptAndRenewed(t *testing.T) {
	dir := keyDir(t)
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil,
		func(ctx context.Context, p Peer, m contract.Message) (contract.Message, error) {
			if _, slow := m.(*contract.ShardStatus); slow {
				<-ctx.Done()
			}
			return &contract.HeartbeatReply{}, nil
		})
	g := start(t, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, echo)
	_, err := call(g, s.Addr(), time.Second)
	require.NoError(t, err)
	first := g.peers[s.Addr()]
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_, err := g.Call(ctx, s.Addr(), &contract.ShardStatus{})
		cancel()
		require.Error(t, err)
	}
	_, err = call(g, s.Addr(), time.Second)
	require.NoError(t, err)
	require.Same(t, first, g.peers[s.Addr()])
	g.mu.Lock()
	first.expires = time.Now().Add(-time.Second)
	g.mu.Unlock()
	_, err = call(g, s.Addr(), time.Second)
	require.NoError(t, err)
	require.NotSame(t, first, g.peers[s.Addr()])
}

// Guards against calls from or to a peer whose role is not permitted.
func TestWrongRoleIsRefused(t *testing.T) {
	dir := keyDir(t)
	called := make(chan struct{}, 1)
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil,
		func(context.Context, Peer, contract.Message) (contract.Message, error) {
			called <- struct{}{}
			return &contract.HeartbeatReply{}, nil
		})
	w := start(t, dir, "w1", instance.RoleWorker, "127.0.0.1:0", nil, echo)
	_, err := call(w, s.Addr(), time.Second)
	var failed *CallError
	require.ErrorAs(t, err, &failed)
	g := start(t, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, echo)
	_, err = call(g, w.Addr(), time.Second)
	var refused *keys.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, keys.ReasonRole, refused.Reason)
	require.Empty(t, called)
}

// Guards against a planned stop that discards the reply of a call in progress, or that still accepts new calls.
func TestStopFinishesCalls(t *testing.T) {
	dir := keyDir(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil,
		func(ctx context.Context, p Peer, m contract.Message) (contract.Message, error) {
			close(entered)
			<-leave
			return &contract.ForwardReply{Body: make([]byte, 1<<20)}, nil
		})
	g := start(t, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, echo)
	answered := make(chan error, 1)
	go func() {
		_, err := g.Call(context.Background(), s.Addr(), &contract.Forward{})
		answered <- err
	}()
	<-entered
	s.stop()
	require.Eventually(t, s.isStopping, time.Second, time.Millisecond)
	_, err := call(g, s.Addr(), time.Second)
	var failure *contract.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, contract.FailureNotReady, failure.Code)
	close(leave)
	require.NoError(t, <-answered)
	require.NoError(t, s.stopAndWait())
}

// Guards against a handler that continues after the calling process has given up the call.
func TestAbandonedCallEndsHandler(t *testing.T) {
	dir := keyDir(t)
	ended := make(chan struct{})
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil,
		func(ctx context.Context, _ Peer, _ contract.Message) (contract.Message, error) {
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
	g := start(t, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, echo)
	_, err := call(g, s.Addr(), 100*time.Millisecond)
	var failed *CallError
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the handler did not end")
	}
}

// Guards against an address in use that is not reported as a *process.ListenError.
func TestTakenPort(t *testing.T) {
	dir := keyDir(t)
	s := start(t, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil, echo)
	_, err := NewTransport(Settings{Listen: s.Addr(), Keys: s.settings.Keys})
	var listen *process.ListenError
	require.ErrorAs(t, err, &listen)
}

// writeConditions writes a conditions file with the prefixes of two data centres and extra.
func writeConditions(t *testing.T, path, extra string) {
	t.Helper()
	text := "prefixes:\n  127.10.0.0/16: brisbane\n  127.11.0.0/16: ipswich\n" + extra
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// openConditions opens a new conditions file and returns its path.
func openConditions(t *testing.T, extra string) (*Conditions, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "links.yaml")
	writeConditions(t, path, extra)
	c, err := OpenConditions(path, 1, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return c, path
}

// Guards against conditions that have no effect. It checks the delay of both directions and calls over a link with
// losses, a link that is cut, and a link after the end of a cut.
func TestConditions(t *testing.T) {
	dir := keyDir(t)
	c, path := openConditions(t, "default: {delay: 20ms, jitter: 10ms, loss: 0.1}\n")
	s := start(t, dir, "s1", instance.RoleScheduler, "127.11.0.1:0", c, echo)
	g := start(t, dir, "g1", instance.RoleGateway, "127.10.0.1:0", c, echo)
	for range 20 {
		begin := time.Now()
		_, err := call(g, s.Addr(), 5*time.Second)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(begin), 40*time.Millisecond)
	}
	writeConditions(t, path, "pairs:\n  - {from: ipswich, to: brisbane, cut: true}\n")
	time.Sleep(2 * conditionsPollInterval)
	_, err := call(g, s.Addr(), 300*time.Millisecond)
	var failed *CallError
	require.ErrorAs(t, err, &failed)
	writeConditions(t, path, "")
	require.Eventually(t, func() bool {
		_, err := call(g, s.Addr(), 500*time.Millisecond)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against TCP connections that the conditions neither delay nor cut.
func TestConditionsOfTCP(t *testing.T) {
	c, path := openConditions(t, "default: {delay: 20ms}\n")
	ln, err := net.Listen("tcp", "127.11.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buf := make([]byte, 5)
				for {
					if _, err := conn.Read(buf); err != nil {
						return
					}
					_, _ = conn.Write(buf)
				}
			}()
		}
	}()
	dial := c.DialContext(netip.MustParseAddr("127.10.0.9"))
	begin := time.Now()
	conn, err := dial(context.Background(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Contains(t, conn.LocalAddr().String(), "127.10.0.9:")
	buf := make([]byte, 5)
	_, _ = conn.Write([]byte("hello"))
	_, err = conn.Read(buf)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(begin), 80*time.Millisecond, "two round trips")

	writeConditions(t, path, "default: {cut: true}\n")
	time.Sleep(2 * conditionsPollInterval)
	_, _ = conn.Write([]byte("hello"))
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = conn.Read(buf)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = dial(ctx, "tcp", ln.Addr().String())
	var failed *DialError
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Timeout())
}

// Guards against an invalid conditions file that is accepted, a nil *Conditions that panics, and effects of the wrong
// pair or direction.
func TestConditionsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "links.yaml")
	for i, bad := range []string{"defautl: {}\n", "default: {loss: 2}\n",
		"pairs:\n  - {from: a, to: b, delay: -1ms}\n"} {
		writeConditions(t, path, bad)
		_, err := OpenConditions(path, 1, slog.New(slog.DiscardHandler))
		var failed *ConditionsError
		require.ErrorAs(t, err, &failed, fmt.Sprint(i))
	}
	var none *Conditions
	require.Zero(t, none.Effect(netip.Addr{}, netip.Addr{}))
	c, _ := openConditions(t,
		"default: {delay: 5ms}\npairs:\n  - {from: brisbane, to: ipswich, delay: 7ms, cut: true}\n")
	b, i := netip.MustParseAddr("127.10.3.4"), netip.MustParseAddr("127.11.0.1")
	require.Equal(t, Effect{Delay: 7 * time.Millisecond, Cut: true}, c.Effect(b, i))
	require.Equal(t, Effect{Delay: 5 * time.Millisecond}, c.Effect(i, b))
	require.Zero(t, c.Effect(b, netip.MustParseAddr("127.10.9.9")))
	require.Zero(t, c.Effect(b, netip.MustParseAddr("127.0.0.1")))
}

// BenchmarkCall measures a heartbeat and its reply between two transports in one process.
func BenchmarkCall(b *testing.B) {
	dir := keyDir(b)
	s := start(b, dir, "s1", instance.RoleScheduler, "127.0.0.1:0", nil, echo)
	g := start(b, dir, "g1", instance.RoleGateway, "127.0.0.1:0", nil, echo)
	for b.Loop() {
		if _, err := call(g, s.Addr(), time.Second); err != nil {
			b.Fatal(err)
		}
	}
}
