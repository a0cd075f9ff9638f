package keys

import (
	"bytes"
	"crypto/tls"
	"io/fs"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/instance"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// newKeyDir returns a key directory with a new authority.
func newKeyDir(t *testing.T) string {
	dir := t.TempDir()
	require.NoError(t, CreateAuthority(dir))
	return dir
}

// issue issues a certificate for the loopback address and opens it.
func issue(t *testing.T, dir string, id instance.ID, role instance.Role, options ...Option) *Store {
	t.Helper()
	require.NoError(t, Issue(dir, id, role, []netip.Addr{loopback}, time.Hour))
	s, err := Open(dir, id, options...)
	require.NoError(t, err)
	return s
}

// handshake performs a TLS handshake and returns the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	clientConn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	serverConn, err := ln.Accept()
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		done <- tls.Server(serverConn, server).Handshake()
		_ = serverConn.Close()
	}()
	clientErr = tls.Client(clientConn, client).Handshake()
	_ = clientConn.Close()
	return <-done, clientErr
}

func requireReason(t *testing.T, want Reason, err error) {
	t.Helper()
	var refused *RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)
	require.Equal(t, want, refused.Reason)
}

// Guards against a peer that is accepted without a certificate, or with one of a wrong role, authority, address or
// period of validity.
func TestPeersAreRefused(t *testing.T) {
	dir := newKeyDir(t)
	registry, logs := prometheus.NewRegistry(), &bytes.Buffer{}
	s := issue(t, dir, "s1", instance.RoleScheduler, WithRegisterer(registry),
		WithLogger(slog.New(slog.NewTextHandler(logs, nil))))
	server := s.ServerTLS(instance.RoleGateway)

	good := issue(t, dir, "g1", instance.RoleGateway)
	serverErr, clientErr := handshake(t, server, good.ClientTLS(loopback, instance.RoleScheduler))
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)

	worker := issue(t, dir, "w1", instance.RoleWorker)
	serverErr, _ = handshake(t, server, worker.ClientTLS(loopback, instance.RoleScheduler))
	requireReason(t, ReasonRole, serverErr)
	untrusted := issue(t, newKeyDir(t), "g1", instance.RoleGateway).ClientTLS(loopback, instance.RoleScheduler)
	untrusted.VerifyConnection = nil
	serverErr, _ = handshake(t, server, untrusted)
	requireReason(t, ReasonUntrusted, serverErr)
	noCertificate := good.ClientTLS(loopback, instance.RoleScheduler)
	noCertificate.Certificates = nil
	serverErr, _ = handshake(t, server, noCertificate)
	requireReason(t, ReasonMissing, serverErr)
	s.now = func() time.Time { return time.Now().Add(2 * time.Hour) }
	serverErr, _ = handshake(t, server, good.ClientTLS(loopback, instance.RoleScheduler))
	requireReason(t, ReasonExpired, serverErr)

	_, clientErr = handshake(t, server, good.ClientTLS(loopback, instance.RoleGateway))
	requireReason(t, ReasonRole, clientErr)
	_, clientErr = handshake(t, server, good.ClientTLS(netip.MustParseAddr("127.0.0.2"), instance.RoleScheduler))
	requireReason(t, ReasonAddress, clientErr)
	n, err := testutil.GatherAndCount(registry, "clementine_link_refused_peers_total")
	require.NoError(t, err)
	require.Equal(t, 4, n, "one series for each reason")
	require.Equal(t, 1, bytes.Count(logs.Bytes(), []byte("keys: peer was refused")), "the log line is rate-limited")
}

// Guards against a process that needs a restart to load a new certificate, or that fails while a certificate file is
// incomplete.
func TestReload(t *testing.T) {
	dir := newKeyDir(t)
	now := time.Now()
	s := issue(t, dir, "g1", instance.RoleGateway, WithClock(func() time.Time { return now }))
	first := s.Expires()
	require.NoError(t, os.WriteFile(certPath(dir, "g1"), []byte("half"), certFileMode))
	now = now.Add(2 * reloadInterval)
	require.Equal(t, first, s.Expires())
	require.NoError(t, Issue(dir, "g1", instance.RoleGateway, nil, 5*time.Hour))
	now = now.Add(2 * reloadInterval)
	require.True(t, s.Expires().After(first.Add(time.Hour)))
}

// Guards against failures without an error type, which callers could not distinguish.
func TestTypedFailures(t *testing.T) {
	dir := newKeyDir(t)
	var exists *ExistsError
	require.ErrorAs(t, CreateAuthority(dir), &exists)
	var name *NameError
	require.ErrorAs(t, Issue(dir, "../x", instance.RoleGateway, nil, time.Hour), &name)
	require.ErrorAs(t, Issue(dir, "ca", instance.RoleGateway, nil, time.Hour), &name)
	var validity *ValidityError
	require.ErrorAs(t, Issue(dir, "x", instance.RoleGateway, nil, 0), &validity)
	_, err := Open(dir, "absent")
	var file *FileError
	require.ErrorAs(t, err, &file)
	require.ErrorIs(t, err, fs.ErrNotExist)
	issue(t, dir, "old", instance.RoleGateway)
	_, err = Open(dir, "old", WithClock(func() time.Time { return time.Now().Add(2 * time.Hour) }))
	requireReason(t, ReasonExpired, err)
}
