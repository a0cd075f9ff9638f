package relay

import (
	"context"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/ingress"
)

const (
	// A session whose peer is not heard from for sessionIdleTimeout has ended. keepAlive keeps idle ones open.
	sessionIdleTimeout = 900 * time.Millisecond
	keepAlive          = 250 * time.Millisecond
)

// Stream is one end of a session.
type Stream interface {
	io.ReadWriteCloser
	SetWriteDeadline(time.Time) error
}

// sessionStream is the only stream of a connection, which it closes.
type sessionStream struct {
	*quic.Stream
	conn *quic.Conn
}

// Close implements io.Closer.
func (s *sessionStream) Close() error { return s.conn.CloseWithError(0, "session ended") }

// acceptedStream is the first stream of a connection that was accepted. Its methods but Close wait for the stream.
type acceptedStream struct {
	conn *quic.Conn
	// slots are those of the connection and of the session.
	slots  []*ingress.Slot
	accept func() (*quic.Stream, error)
}

// Read implements io.Reader.
func (s *acceptedStream) Read(b []byte) (int, error) {
	stream, err := s.accept()
	if err != nil {
		return 0, err
	}
	n, err := stream.Read(b)
	for _, slot := range s.slots {
		slot.Progress(n, false)
	}
	return n, err
}

// Write implements io.Writer.
func (s *acceptedStream) Write(b []byte) (int, error) {
	stream, err := s.accept()
	if err != nil {
		return 0, err
	}
	return stream.Write(b)
}

// SetWriteDeadline implements Stream.
func (s *acceptedStream) SetWriteDeadline(t time.Time) error {
	stream, err := s.accept()
	if err != nil {
		return err
	}
	return stream.SetWriteDeadline(t)
}

// Close implements io.Closer.
func (s *acceptedStream) Close() error { return s.conn.CloseWithError(0, "session ended") }

// DialSession opens a session with an instance. It returns *UnreachableError. The peer takes part once the first bytes
// have arrived there.
func DialSession(ctx context.Context, to catalog.Endpoint) (Stream, error) {
	c := quicConfig()
	c.MaxIdleTimeout, c.KeepAlivePeriod = sessionIdleTimeout, keepAlive
	tls := clientTLS(to)
	tls.NextProtos = []string{sessionProtocol}
	conn, err := quic.DialAddr(ctx, to.Addr, tls, c)
	if err != nil {
		return nil, &UnreachableError{Peer: to.Instance, Err: err}
	}
	stream, err := conn.OpenStream()
	if err != nil {
		_ = conn.CloseWithError(0, "no stream")
		return nil, &UnreachableError{Peer: to.Instance, Err: err}
	}
	return &sessionStream{Stream: stream, conn: conn}, nil
}
