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
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	alpnProtocol = "clementine-relay"
	// sessionProtocol is the protocol of connections that carry one long session instead of calls.
	sessionProtocol = "clementine-session"
	// maxStreams limits the concurrent calls of one peer; further ones wait at the peer. A stream takes 10 KB even if
	// nothing arrives on it, and an instance passes on a few calls a second, each for 1.35 s at most.
	maxStreams = 16
	// The receive windows limit what a peer can make an instance hold before it is read. The largest lets a session use
	// 200 Mbit/s at 10 ms.
	firstWindowBytes = 64 << 10
	maxWindowBytes   = 256 << 10
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
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: firstWindowBytes, MaxStreamReceiveWindow: maxWindowBytes,
		InitialConnectionReceiveWindow: firstWindowBytes, MaxConnectionReceiveWindow: maxWindowBytes}
}

// Server answers the calls of peers.
type Server struct {
	endpoint catalog.Endpoint
	listener *quic.Listener
	// close closes the socket and all connections.
	close  func()
	gate   *ingress.Gate
	peers  *ingress.Slots
	logger *slog.Logger
}

// quietBuffers keeps quic-go from writing to standard error, past the log, that the system limits the receive buffer.
// Relayed calls are few and small, so the default buffer suffices.
const quietBuffers = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

// Listen opens the socket of the relay and creates its key. Calls are answered while Serve runs. gate bounds what peers
// take.
func Listen(instance, addr string, gate *ingress.Gate, l *slog.Logger) (*Server, error) {
	if err := os.Setenv(quietBuffers, "true"); err != nil {
		return nil, errors.WithStack(err)
	}
	certificate, err := newCertificate()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{gate: gate, peers: gate.PeerSlots(), logger: l}
	// A client must prove its address while many connections are open, so that a forged one takes no slot.
	transport := &quic.Transport{Conn: socket, ConnContext: s.admit,
		VerifySourceAddress: func(net.Addr) bool { return s.peers.Busy() }}
	s.close = func() { _, _ = transport.Close(), socket.Close() }
	s.listener, err = transport.Listen(&tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol, sessionProtocol},
		Certificates: []tls.Certificate{certificate}, SessionTicketsDisabled: true}, quicConfig())
	if err != nil {
		s.close()
		return nil, errors.WithStack(err)
	}
	hash := sha256.Sum256(certificate.Certificate[0])
	s.endpoint = catalog.Endpoint{Instance: instance, Addr: s.listener.Addr().String(), Fingerprint: hash[:]}
	return s, nil
}

// slotKey is the key of a connection's *ingress.Slot in its context.
type slotKey struct{}

// admit takes a slot for a connection whose handshake begins. It is released when the connection or the handshake ends.
func (s *Server) admit(ctx context.Context, c *quic.ClientInfo) (context.Context, error) {
	slot, err := s.peers.Take(c.RemoteAddr)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, slot.Release)
	return context.WithValue(ctx, slotKey{}, slot), nil
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
	defer s.close()
	defer context.AfterFunc(ctx, func() { _ = s.listener.Close() })()
	sessionSlots := s.gate.SessionSlots()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() == nil {
				s.logger.Error("listener failed, no further calls of peers are answered", "error", err)
			}
			return
		}
		// admit has stored the slot.
		slot := conn.Context().Value(slotKey{}).(*ingress.Slot)
		slot.MayClose(func() { go func() { _ = conn.CloseWithError(0, "inactive") }() })
		if conn.ConnectionState().TLS.NegotiatedProtocol == sessionProtocol {
			go s.serveSession(ctx, conn, slot, sessionSlots, sessions)
			continue
		}
		go s.serveConn(ctx, conn, slot, h)
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn, slot *ingress.Slot, h Handler) {
	defer context.AfterFunc(ctx, func() { _ = conn.CloseWithError(0, "stopping") })()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go s.serveStream(ctx, stream, conn.RemoteAddr(), slot, h)
	}
}

func (s *Server) serveSession(ctx context.Context, conn *quic.Conn, slot *ingress.Slot, slots *ingress.Slots, sessions Sessions) {
	session, err := slots.Take(conn.RemoteAddr())
	if err != nil {
		_ = conn.CloseWithError(0, "too many sessions")
		return
	}
	defer session.Release()
	session.MayClose(func() { go func() { _ = conn.CloseWithError(0, "inactive") }() })
	sessions.Serve(ctx, conn.RemoteAddr().String(), &acceptedStream{conn: conn, slots: []*ingress.Slot{slot, session},
		accept: sync.OnceValues(func() (*quic.Stream, error) { return conn.AcceptStream(ctx) })})
}

func (s *Server) serveStream(ctx context.Context, stream *quic.Stream, peer net.Addr, slot *ingress.Slot, h Handler) {
	defer func() {
		// A fault in the handling of one call must not end the process.
		if p := recover(); p != nil {
			s.logger.Error("call of a peer failed", "panic", p)
			stream.CancelWrite(0)
		}
	}()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	body, r, err := s.readRequest(ctx, stream, peer)
	if err != nil {
		s.gate.Report("call of a peer cannot be read", "peer", peer, "error", err)
		s.refuse(stream, err)
		return
	}
	defer body.Close()
	slot.Progress(len(body.Bytes), true)
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

// refuse tells the peer that its call was not carried out, if the call was refused to protect the process.
func (s *Server) refuse(stream *quic.Stream, err error) {
	stream.CancelRead(0)
	var refused *ingress.RefusedError
	b, encodeErr := cbor.Marshal(response{Outcome: outcomeRefused, Reason: err.Error()})
	if encodeErr != nil || !errors.As(err, &refused) {
		stream.CancelWrite(0)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(requestTimeout))
	if _, err := stream.Write(b); err == nil {
		_ = stream.Close()
	}
}

// readRequest returns a call and its body, which holds the memory of the call until it is closed.
func (s *Server) readRequest(ctx context.Context, stream *quic.Stream, peer net.Addr) (*ingress.Body, request, error) {
	client, _ := netip.ParseAddrPort(peer.String())
	body, err := s.gate.Read(stream, -1, maxMessageBytes, client.Addr(), func() { _ = stream.SetReadDeadline(time.Unix(1, 0)) })
	if err != nil {
		return nil, request{}, err
	}
	var q request
	done, err := s.gate.AwaitTurn(ctx, len(body.Bytes))
	if err == nil {
		err = cbor.Unmarshal(body.Bytes, &q)
		done()
	}
	if err != nil {
		body.Close()
		return nil, request{}, err
	}
	return body, q, nil
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

// isRefusal reports whether the error of an append says that the entry is not stored and never will be. The outcome of any
// other error is unknown.
func isRefusal(err error) bool {
	var unknown *eventlog.UnknownError
	if errors.As(err, &unknown) {
		return false
	}
	var refused *eventlog.RefusedError
	var rejected *eventlog.RejectedError
	var unsent *eventlog.UnsentError
	var full *eventlog.QueueFullError
	var invalid *InvalidError
	return errors.As(err, &refused) || errors.As(err, &rejected) || errors.As(err, &unsent) || errors.As(err, &full) || errors.As(err, &invalid)
}

func handle(ctx context.Context, r request, h Handler) response {
	switch r.Op {
	case opAppend:
		if r.LeftMS > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(min(r.LeftMS, answerTimeout.Milliseconds()))*time.Millisecond)
			defer cancel()
		}
		err := h.Append(ctx, eventlog.Entry{Key: r.Key, Value: r.Value})
		answer := response{Outcome: outcomeDone, AppendMS: h.AppendTime().Milliseconds()}
		var unsent *eventlog.UnsentError
		if err == nil {
			return answer
		}
		answer.Outcome = outcomeUnknown
		if isRefusal(err) {
			answer.Outcome = outcomeRefused
			answer.NoTime = errors.As(err, &unsent) && !unsent.Health.Unreachable() && !unsent.Stopped
		}
		answer.Reason = err.Error()
		return answer
	case opReport, opHint:
		d := time.Duration(min(max(0, r.AppendMS), answerTimeout.Milliseconds())) * time.Millisecond
		if r.Op == opHint {
			h.Hint(d)
		} else {
			h.Report(r.Key, d)
		}
		return response{Outcome: outcomeDone}
	case opUnknown:
		h.Unknown(r.Keys, r.Forward)
		return response{Outcome: outcomeDone}
	case opState:
		s, ok := h.State(ctx, workflow.JobID(r.Key))
		if !ok {
			return response{Outcome: outcomeRefused, Reason: "the view of the log is too old"}
		}
		return response{Outcome: outcomeDone, State: s.State, Known: s.Known}
	}
	return response{Outcome: outcomeRefused, Reason: "unknown operation"}
}
