package relay

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Client calls the relays of peers. Its methods may be called from any goroutine.
type Client struct {
	mu sync.Mutex
	// conns holds the open connections by fingerprint, so that a restarted peer gets a new one.
	conns map[string]*quic.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*quic.Conn{}} }

// Append stores an entry through a peer. It returns *RefusedError or *UnreachableError if the peer has not stored it and
// will not, and *NoAnswerError if it may have.
func (c *Client) Append(ctx context.Context, to catalog.Endpoint, e eventlog.Entry) error {
	_, err := c.call(ctx, to, request{Op: opAppend, Key: e.Key, Value: e.Value})
	return err
}

// State asks a peer for the state of a submission. Its errors are those of Append.
func (c *Client) State(ctx context.Context, to catalog.Endpoint, id workflow.JobID) (State, error) {
	r, err := c.call(ctx, to, request{Op: opState, Key: string(id)})
	return State{State: r.State, Known: r.Known}, err
}

func (c *Client) call(ctx context.Context, to catalog.Endpoint, q request) (response, error) {
	b, err := cbor.Marshal(q)
	if err != nil || len(b) > maxMessageBytes {
		return response{}, &RefusedError{Peer: to.Instance, Reason: "the call is too long or cannot be encoded"}
	}
	conn, err := c.conn(ctx, to)
	if err != nil {
		return response{}, &UnreachableError{Peer: to.Instance, Err: err}
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.drop(to, conn)
		return response{}, &UnreachableError{Peer: to.Instance, Err: err}
	}
	defer context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})()
	answer, err := exchange(stream, b)
	if err != nil {
		c.drop(to, conn)
		return response{}, &NoAnswerError{Peer: to.Instance, Err: err}
	}
	switch answer.Outcome {
	case outcomeDone:
		return answer, nil
	case outcomeRefused:
		return answer, &RefusedError{Peer: to.Instance, Reason: answer.Reason}
	}
	return answer, &NoAnswerError{Peer: to.Instance, Err: &MessageError{Problem: answer.Reason}}
}

func exchange(stream *quic.Stream, b []byte) (response, error) {
	_, sendErr := stream.Write(b)
	if sendErr == nil {
		sendErr = stream.Close()
	}
	if sendErr != nil && !cancelledByPeer(sendErr) {
		return response{}, sendErr
	}
	// A peer that refuses a call may do so before it has received all of it.
	b, err := readMessage(stream)
	if err != nil {
		return response{}, err
	}
	var r response
	if err := cbor.Unmarshal(b, &r); err != nil {
		return response{}, &MessageError{Problem: err.Error()}
	}
	return r, nil
}

func cancelledByPeer(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote
}

// conn returns the open connection to an endpoint, or a new one.
func (c *Client) conn(ctx context.Context, to catalog.Endpoint) (*quic.Conn, error) {
	key := string(to.Fingerprint)
	c.mu.Lock()
	conn := c.conns[key]
	c.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	conn, err := quic.DialAddr(ctx, to.Addr, clientTLS(to), quicConfig())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, old := range c.conns {
		if old.Context().Err() != nil {
			delete(c.conns, k)
		}
	}
	c.conns[key] = conn
	return conn, nil
}

// drop closes a connection on which a call has failed.
func (c *Client) drop(to catalog.Endpoint, conn *quic.Conn) {
	c.mu.Lock()
	if c.conns[string(to.Fingerprint)] == conn {
		delete(c.conns, string(to.Fingerprint))
	}
	c.mu.Unlock()
	_ = conn.CloseWithError(0, "call failed")
}

// CertificateError reports a peer that does not have the published certificate.
type CertificateError struct{ Peer string }

// Error implements error.
func (e *CertificateError) Error() string { return e.Peer + " does not have the published certificate" }

// clientTLS replaces the check of crypto/tls by one of the fingerprint, because the certificates are self-signed.
func clientTLS(to catalog.Endpoint) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 1 {
				if hash := sha256.Sum256(s.PeerCertificates[0].Raw); bytes.Equal(hash[:], to.Fingerprint) {
					return nil
				}
			}
			return &CertificateError{Peer: to.Instance}
		}}
}
