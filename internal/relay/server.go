package relay

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log/slog"
	"math/big"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	alpnProtocol = "clementine-relay"
	// sessionProtocol is the protocol of connections that carry one long session instead of calls.
	sessionProtocol = "clementine-session"
	// maxStreams limits the concurrent calls of one peer.
	maxStreams = 128
	// requestTimeout limits the time to receive a request, answerTimeout that to carry it out and to answer.
	requestTimeout = time.Second
	answerTimeout  = 2 * time.Second
	// idleTimeout closes a connection without calls. An outage of a few seconds needs one connection for each peer.
	idleTimeout      = 15 * time.Second
	handshakeTimeout = 400 * time.Millisecond
	// certificateValidity is longer than any process runs; a peer checks the fingerprint, not the dates.
	certificateValidity = 10 * 365 * 24 * time.Hour
)

func quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1}
}

// Server answers the calls of peers.
type Server struct {
	endpoint catalog.Endpoint
	listener *quic.Listener
	logger   *slog.Logger
}

// quietBuffers keeps quic-go from writing to standard error, past the log, that the system limits the receive buffer.
// Relayed calls are few and small, so the default buffer suffices.
const quietBuffers = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

// Listen opens the socket of the relay and creates its key. Calls are answered while Serve runs.
func Listen(instance, addr string, l *slog.Logger) (*Server, error) {
	if err := os.Setenv(quietBuffers, "true"); err != nil {
		return nil, errors.WithStack(err)
	}
	certificate, err := newCertificate()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	listener, err := quic.ListenAddr(addr, &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol, sessionProtocol},
		Certificates: []tls.Certificate{certificate}, SessionTicketsDisabled: true}, quicConfig())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	hash := sha256.Sum256(certificate.Certificate[0])
	return &Server{endpoint: catalog.Endpoint{Instance: instance, Addr: listener.Addr().String(), Fingerprint: hash[:]},
		listener: listener, logger: l}, nil
}

func newCertificate() (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	now := time.Now()
	t := &x509.Certificate{SerialNumber: big.NewInt(now.UnixNano()), NotBefore: now.Add(-time.Hour),
		NotAfter: now.Add(certificateValidity)}
	der, err := x509.CreateCertificate(rand.Reader, t, t, public, private)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// Endpoint returns what peers need to call this server.
func (s *Server) Endpoint() catalog.Endpoint { return s.endpoint }

// Sessions serves sessions of other instances. Serve is called before the first bytes have arrived, and returns when the
// stream has ended.
type Sessions interface {
	Serve(ctx context.Context, peer string, stream Stream)
}

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context, h Handler, sessions Sessions) {
	defer context.AfterFunc(ctx, func() { _ = s.listener.Close() })()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() == nil {
				s.logger.Error("listener failed, no further calls of peers are answered", "error", err)
			}
			return
		}
		if conn.ConnectionState().TLS.NegotiatedProtocol == sessionProtocol {
			go s.serveSession(ctx, conn, sessions)
			continue
		}
		go s.serveConn(ctx, conn, h)
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn, h Handler) {
	defer context.AfterFunc(ctx, func() { _ = conn.CloseWithError(0, "stopping") })()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go s.serveStream(ctx, stream, h)
	}
}

func (s *Server) serveSession(ctx context.Context, conn *quic.Conn, sessions Sessions) {
	sessions.Serve(ctx, conn.RemoteAddr().String(), &acceptedStream{conn: conn,
		accept: sync.OnceValues(func() (*quic.Stream, error) { return conn.AcceptStream(ctx) })})
}

func (s *Server) serveStream(ctx context.Context, stream *quic.Stream, h Handler) {
	defer func() {
		// A fault in the handling of one call must not end the process.
		if p := recover(); p != nil {
			s.logger.Error("call of a peer failed", "panic", p)
			stream.CancelWrite(0)
		}
	}()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	r, err := readRequest(stream)
	if err != nil {
		s.logger.Info("call of a peer cannot be read", "error", err)
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	b, err := cbor.Marshal(handle(ctx, r, h))
	if err != nil {
		s.logger.Error("answer to a peer cannot be encoded", "error", err)
		stream.CancelWrite(0)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(requestTimeout))
	if _, err := stream.Write(b); err != nil {
		s.logger.Info("answer to a peer cannot be sent", "error", err)
		return
	}
	_ = stream.Close()
}

func readRequest(r io.Reader) (request, error) {
	b, err := readMessage(r)
	if err != nil {
		return request{}, err
	}
	var q request
	if err := cbor.Unmarshal(b, &q); err != nil {
		return request{}, &MessageError{Problem: err.Error()}
	}
	return q, nil
}

func readMessage(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(b) > maxMessageBytes {
		return nil, &MessageError{Problem: "too long"}
	}
	return b, nil
}

func handle(ctx context.Context, r request, h Handler) response {
	switch r.Op {
	case opAppend:
		err := h.Append(ctx, eventlog.Entry{Key: r.Key, Value: r.Value})
		var unknown *eventlog.UnknownError
		switch {
		case err == nil:
			return response{Outcome: outcomeDone}
		case errors.As(err, &unknown):
			return response{Outcome: outcomeUnknown, Reason: err.Error()}
		}
		return response{Outcome: outcomeRefused, Reason: err.Error()}
	case opState:
		s, ok := h.State(ctx, workflow.JobID(r.Key))
		if !ok {
			return response{Outcome: outcomeRefused, Reason: "the view of the log is too old"}
		}
		return response{Outcome: outcomeDone, State: s.State, Known: s.Known}
	}
	return response{Outcome: outcomeRefused, Reason: "unknown operation"}
}
