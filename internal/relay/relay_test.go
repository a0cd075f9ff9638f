package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// fakeHandler stores entries in memory. Some keys have a fault.
type fakeHandler struct {
	mu      sync.Mutex
	entries []eventlog.Entry
}

func (h *fakeHandler) Append(ctx context.Context, e eventlog.Entry) error {
	switch e.Key {
	case "panic":
		panic("fault in the handler")
	case "refused":
		return &eventlog.RefusedError{Op: "append", Status: 503}
	case "unknown":
		return &eventlog.UnknownError{Op: "append", Err: io.EOF}
	case "late":
		<-ctx.Done()
		return &eventlog.UnsentError{}
	case "stopping":
		return &eventlog.UnsentError{Stopped: true}
	case "slow":
		<-ctx.Done()
		return ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, e)
	return nil
}

func (h *fakeHandler) stored() []eventlog.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries
}

func (h *fakeHandler) AppendTime() time.Duration { return 264 * time.Millisecond }

func (h *fakeHandler) Report(peer string, d time.Duration) { h.note("report of "+peer, d) }

func (h *fakeHandler) Hint(d time.Duration) { h.note("hint", d) }

func (h *fakeHandler) Unknown(keys []string, forward bool) {
	h.note(fmt.Sprintf("unknown %v, forward %t", keys, forward), 0)
}

func (h *fakeHandler) note(key string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, eventlog.Entry{Key: key, Offset: int64(d)})
}

func (h *fakeHandler) State(_ context.Context, id workflow.JobID) (State, bool) {
	switch id {
	case "stale":
		return State{}, false
	case "missing":
		return State{}, true
	}
	return State{State: workflow.Done, Known: true}, true
}

func startServer(t *testing.T, h Handler) *Server {
	return startServerWith(t, h, ingress.New(ingress.Settings{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry()))
}

func startServerWith(t *testing.T, h Handler, g *ingress.Gate) *Server {
	s, err := Listen("peer", "127.0.0.1:0", g, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(ctx, h, nil) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func callContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCalls(t *testing.T) {
	h := &fakeHandler{}
	to, c := startServer(t, h).Endpoint(), NewClient()
	ctx := callContext(t, 5*time.Second)
	e := eventlog.Entry{Key: "5c0e7a21d94b36f8", Value: bytes.Repeat([]byte("x"), 300<<10)}
	require.NoError(t, c.Append(ctx, to, e))
	assert.Equal(t, []eventlog.Entry{e}, h.stored())

	var refused *RefusedError
	var noAnswer *NoAnswerError
	assert.ErrorAs(t, c.Append(ctx, to, eventlog.Entry{Key: "refused"}), &refused)
	assert.ErrorAs(t, c.Append(ctx, to, eventlog.Entry{Key: "unknown"}), &noAnswer)
	assert.ErrorAs(t, c.Append(ctx, to, eventlog.Entry{Key: "x", Value: make([]byte, maxMessageBytes)}), &refused,
		"too long")

	s, err := c.State(ctx, to, "5c0e7a21d94b36f8")
	require.NoError(t, err)
	assert.Equal(t, State{State: workflow.Done, Known: true}, s)
	s, err = c.State(ctx, to, "missing")
	require.NoError(t, err)
	assert.False(t, s.Known)
	_, err = c.State(ctx, to, "stale")
	assert.ErrorAs(t, err, &refused)
}

// A call without an answer in time may have been carried out, and must be reported so.
func TestCallWithoutAnswer(t *testing.T) {
	to, c := startServer(t, &fakeHandler{}).Endpoint(), NewClient()
	require.NoError(t, c.Append(callContext(t, 5*time.Second), to, eventlog.Entry{Key: "first"}), "connects")
	var noAnswer *NoAnswerError
	assert.ErrorAs(t, c.Append(callContext(t, 200*time.Millisecond), to, eventlog.Entry{Key: "slow"}), &noAnswer)
	assert.NoError(t, c.Append(callContext(t, 5*time.Second), to, eventlog.Entry{Key: "next"}), "a new connection")
}

// Guards against a fault in one call, or a malformed one, that ends the process.
func TestFaultyCallsDoNotEndTheServer(t *testing.T) {
	to, c := startServer(t, &fakeHandler{}).Endpoint(), NewClient()
	ctx := callContext(t, 10*time.Second)
	var noAnswer *NoAnswerError
	assert.ErrorAs(t, c.Append(ctx, to, eventlog.Entry{Key: "panic"}), &noAnswer)
	for _, bad := range [][]byte{nil, {0xff}, []byte("GET / HTTP/1.1"), {0xa1, 0x01, 0x18, 0x63},
		bytes.Repeat([]byte{0x9f}, 1000), make([]byte, maxMessageBytes+10)} {
		conn, err := quic.DialAddr(ctx, to.Addr, clientTLS(to), quicConfig())
		require.NoError(t, err)
		stream, err := conn.OpenStreamSync(ctx)
		require.NoError(t, err)
		// The server may refuse the rest of a long message.
		_, _ = stream.Write(bad)
		_ = stream.Close()
		_, _ = io.ReadAll(stream)
		_ = conn.CloseWithError(0, "")
	}
	assert.NoError(t, c.Append(ctx, to, eventlog.Entry{Key: "next"}))
}

// Guards against an error that says nothing about the entry and is reported as a refusal.
func TestOnlyKnownRefusalsAreReported(t *testing.T) {
	for err, want := range map[error]outcome{
		context.DeadlineExceeded: outcomeUnknown,
		&eventlog.UnknownError{Op: "append", Err: &eventlog.RefusedError{Op: "append"}}: outcomeUnknown,
		&eventlog.RefusedError{Op: "append", Err: context.DeadlineExceeded}:             outcomeRefused,
		&eventlog.QueueFullError{}: outcomeRefused,
		&eventlog.UnsentError{}:    outcomeRefused,
		&InvalidError{}:            outcomeRefused,
	} {
		got := handle(context.Background(), request{Op: opAppend}, &failingHandler{err: err})
		assert.Equal(t, want, got.Outcome, "%T %v", err, err)
	}
}

// failingHandler stores nothing.
type failingHandler struct {
	fakeHandler
	err error
}

func (h *failingHandler) Append(context.Context, eventlog.Entry) error { return h.err }

// Guards against a collector that works on an entry longer than its caller waits, and against a refusal for lack of time
// that is taken for another one.
func TestCollect(t *testing.T) {
	h := &fakeHandler{}
	to, c := startServer(t, h).Endpoint(), NewClient()
	d, err := c.Collect(callContext(t, 5*time.Second), to, eventlog.Entry{Key: "k"})
	require.NoError(t, err)
	assert.Equal(t, 264*time.Millisecond, d)
	var refused *RefusedError
	_, err = c.Collect(callContext(t, 300*time.Millisecond), to, eventlog.Entry{Key: "late"})
	require.ErrorAs(t, err, &refused, "the collector answers before the caller has given up")
	assert.True(t, refused.NoTime)
	require.ErrorAs(t, c.Append(callContext(t, 300*time.Millisecond), to, eventlog.Entry{Key: "late"}), &refused)
	for _, key := range []string{"refused", "stopping"} {
		_, err = c.Collect(callContext(t, 300*time.Millisecond), to, eventlog.Entry{Key: key})
		require.ErrorAs(t, err, &refused)
		assert.False(t, refused.NoTime, "another collector may store it")
	}
	require.NoError(t, c.Report(callContext(t, time.Second), to, "a", 80*time.Millisecond))
	require.NoError(t, c.Hint(callContext(t, time.Second), to, 90*time.Millisecond))
	require.NoError(t, c.Unknown(callContext(t, time.Second), to, []string{"a", "b"}, true))
	assert.Equal(t, []eventlog.Entry{{Key: "k"}, {Key: "report of a", Offset: int64(80 * time.Millisecond)},
		{Key: "hint", Offset: int64(90 * time.Millisecond)}, {Key: "unknown [a b], forward true"}}, h.stored())
}

// Guards against an instance of the version before that cannot read a call or an answer with the new fields.
func TestOldPeers(t *testing.T) {
	type oldRequest struct {
		Op    uint8  `cbor:"1,keyasint"`
		Key   string `cbor:"2,keyasint"`
		Value []byte `cbor:"3,keyasint,omitempty"`
	}
	b, err := cbor.Marshal(request{Op: opAppend, Key: "k", Value: []byte("v"), LeftMS: 5, AppendMS: 7})
	require.NoError(t, err)
	var old oldRequest
	require.NoError(t, cbor.Unmarshal(b, &old))
	assert.Equal(t, oldRequest{Op: 1, Key: "k", Value: []byte("v")}, old)
	b, err = cbor.Marshal(old)
	require.NoError(t, err)
	var r request
	require.NoError(t, cbor.Unmarshal(b, &r))
	assert.Equal(t, outcomeDone, handle(callContext(t, time.Second), r, &fakeHandler{}).Outcome)
}

// A process that restarts has another key; nothing may be sent to one that answers in its place.
func TestOnlyThePublishedCertificateIsAccepted(t *testing.T) {
	h := &fakeHandler{}
	to := startServer(t, h).Endpoint()
	to.Fingerprint = append([]byte{to.Fingerprint[0] ^ 1}, to.Fingerprint[1:]...)
	var unreachable *UnreachableError
	err := NewClient().Append(callContext(t, 2*time.Second), to, eventlog.Entry{Key: "x"})
	assert.ErrorAs(t, err, &unreachable)
	assert.ErrorContains(t, err, (&CertificateError{Peer: "peer"}).Error())
	assert.Empty(t, h.stored())
}

func TestUnreachablePeer(t *testing.T) {
	to := catalog.Endpoint{Instance: "gone", Addr: "127.0.0.1:1", Fingerprint: []byte{1}}
	var unreachable *UnreachableError
	assert.ErrorAs(t, NewClient().Append(callContext(t, 2*time.Second), to, eventlog.Entry{Key: "x"}), &unreachable)
}

// smallGate is a gate of an instance with almost no memory: 2 MB of bodies, of which the largest may take 1.25 MB, and 16
// connections, 14 of one address.
func smallGate() *ingress.Gate {
	return ingress.New(ingress.Settings{MemoryBytes: 1, BodyShare: 8}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
}

// Guards against a call that was refused to protect the peer and counts as unknown, so that the caller's request ends
// without an outcome.
func TestCallRefusedForLackOfMemory(t *testing.T) {
	h, g := &fakeHandler{}, smallGate()
	to, c := startServerWith(t, h, g).Endpoint(), NewClient()
	ctx := callContext(t, 5*time.Second)
	require.NoError(t, c.Append(ctx, to, eventlog.Entry{Key: "first"}))
	var held []*ingress.Body
	for {
		b, err := g.Read(bytes.NewReader(make([]byte, 1000)), 1000, 1000, netip.MustParseAddr("127.0.0.1"), func() {})
		if err != nil {
			break
		}
		held = append(held, b)
	}
	var refused *RefusedError
	assert.ErrorAs(t, c.Append(ctx, to, eventlog.Entry{Key: "x", Value: make([]byte, 300<<10)}), &refused)
	for _, b := range held {
		b.Close()
	}
	assert.NoError(t, c.Append(ctx, to, eventlog.Entry{Key: "last"}))
	assert.Len(t, h.stored(), 2)
}

// Guards against idle connections that keep peers out, and against one of a peer that is given up for them.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	to, known := startServerWith(t, &fakeHandler{}, smallGate()).Endpoint(), NewClient()
	ctx := callContext(t, 20*time.Second)
	require.NoError(t, known.Append(ctx, to, eventlog.Entry{Key: "known"}))
	before, err := known.conn(ctx, to)
	require.NoError(t, err)
	var idle []*quic.Conn
	for range 40 {
		// The server refuses connections while those that it gives up are not closed yet.
		if conn, err := quic.DialAddr(ctx, to.Addr, clientTLS(to), quicConfig()); err == nil {
			idle = append(idle, conn)
		}
	}
	require.Greater(t, len(idle), 20)
	require.Eventually(t, func() bool { return NewClient().Append(ctx, to, eventlog.Entry{Key: "new"}) == nil }, 10*time.Second,
		10*time.Millisecond)
	assert.Error(t, idle[0].Context().Err(), "the first idle one was closed")
	require.NoError(t, known.Append(ctx, to, eventlog.Entry{Key: "known"}))
	after, err := known.conn(ctx, to)
	require.NoError(t, err)
	assert.Same(t, before, after, "a connection with calls goes last")
}

// Guards against a collector that counts as dead because it holds as many entries of an instance as it takes calls: the
// entries would be given up, with an unknown outcome.
func TestBusyPeerAnswersReports(t *testing.T) {
	to, c := startServer(t, &fakeHandler{}).Endpoint(), NewClient()
	require.NoError(t, c.Append(callContext(t, 5*time.Second), to, eventlog.Entry{Key: "first"}), "connects")
	ctx := callContext(t, time.Second)
	results := make(chan error, 3*maxStreams)
	for range cap(results) {
		go func() {
			_, err := c.Collect(ctx, to, eventlog.Entry{Key: "late"})
			results <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	assert.NoError(t, c.Report(callContext(t, 250*time.Millisecond), to, "self", 0))
	// An entry that has waited for its turn is not sent with more time than is left.
	var noAnswer *NoAnswerError
	for range cap(results) {
		require.NotErrorAs(t, <-results, &noAnswer)
	}
}

// Guards against an entry that is sent although no time is left for the answer.
func TestCollectWithoutTime(t *testing.T) {
	h := &fakeHandler{}
	to, c := startServer(t, h).Endpoint(), NewClient()
	require.NoError(t, c.Append(callContext(t, 5*time.Second), to, eventlog.Entry{Key: "first"}), "connects")
	_, err := c.Collect(callContext(t, linkMargin/2), to, eventlog.Entry{Key: "x"})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.True(t, refused.NoTime)
	assert.Len(t, h.stored(), 1)
}
