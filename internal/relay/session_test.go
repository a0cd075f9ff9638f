package relay

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/ingress"
)

// echo returns what a session sends, until it ends.
type echo struct{ ended chan struct{} }

func (e *echo) Serve(_ context.Context, _ string, s Stream) {
	_, _ = io.Copy(s, s)
	_ = s.Close()
	e.ended <- struct{}{}
}

func startSessions(t *testing.T) (*Server, *echo) {
	l := slog.New(slog.NewTextHandler(io.Discard, nil))
	s, err := Listen("peer", "127.0.0.1:0", ingress.New(ingress.Settings{}, l, prometheus.NewRegistry()), l)
	require.NoError(t, err)
	e := &echo{ended: make(chan struct{}, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(ctx, &fakeHandler{}, e) }()
	t.Cleanup(func() { cancel(); <-done })
	return s, e
}

func TestSession(t *testing.T) {
	server, e := startSessions(t)
	s, err := DialSession(callContext(t, time.Second), server.Endpoint())
	require.NoError(t, err)
	b := make([]byte, 3)
	for _, text := range []string{"one", "two"} {
		_, err = s.Write([]byte(text))
		require.NoError(t, err)
		_, err = io.ReadFull(s, b)
		require.NoError(t, err)
		assert.Equal(t, text, string(b))
	}
	// An idle session stays open.
	time.Sleep(2 * sessionIdleTimeout)
	_, err = s.Write([]byte("end"))
	require.NoError(t, err)
	_, err = io.ReadFull(s, b)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	select {
	case <-e.ended:
	case <-time.After(time.Second):
		assert.Fail(t, "the peer does not notice the end")
	}
	// Calls go over the same port.
	_, err = NewClient().State(callContext(t, time.Second), server.Endpoint(), "x")
	assert.NoError(t, err)
}

func TestSessionNeedsThePublishedCertificate(t *testing.T) {
	server, _ := startSessions(t)
	to := server.Endpoint()
	to.Fingerprint = make([]byte, len(to.Fingerprint))
	_, err := DialSession(callContext(t, time.Second), to)
	var unreachable *UnreachableError
	assert.ErrorAs(t, err, &unreachable)
}

// Guards against sessions without bound, and against a session of an owner that ends because of others.
func TestSessionsAreLimited(t *testing.T) {
	server, e := startSessions(t)
	ctx := callContext(t, 10*time.Second)
	exchange := func(s Stream) error {
		if _, err := s.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(s, make([]byte, 1))
		return err
	}
	var open []Stream
	for range 4 {
		s, err := DialSession(ctx, server.Endpoint())
		require.NoError(t, err)
		defer func() { _ = s.Close() }()
		require.NoError(t, exchange(s))
		open = append(open, s)
	}
	if s, err := DialSession(ctx, server.Endpoint()); err == nil {
		require.Error(t, exchange(s), "a fifth session")
	}
	for _, s := range open {
		require.NoError(t, exchange(s))
	}
	require.NoError(t, open[0].Close())
	<-e.ended
	require.Eventually(t, func() bool {
		s, err := DialSession(ctx, server.Endpoint())
		if err != nil {
			return false
		}
		defer func() { _ = s.Close() }()
		return exchange(s) == nil
	}, 5*time.Second, 10*time.Millisecond)
}
