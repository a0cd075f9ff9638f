package relay

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"sync"
	"time"

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
	// entries holds, by fingerprint, a place for each call in progress that passes an entry.
	entries map[string]chan struct{}
}

// maxEntryCalls limits the concurrent calls to one peer that pass an entry. They may take a second; the other streams are
// for short calls, which tell whether the peer is alive.
const maxEntryCalls = maxStreams - 2

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{conns: map[string]*quic.Conn{}, entries: map[string]chan struct{}{}}
}

// Append stores an entry through a peer. It returns *RefusedError or *UnreachableError if the peer has not stored it and
// will not, and *NoAnswerError if it may have. The peer is told how long ctx still lasts, and refuses what it cannot store in
// that time.
func (c *Client) Append(ctx context.Context, to catalog.Endpoint, e eventlog.Entry) error {
	_, err := c.Collect(ctx, to, e)
	return err
}

// linkMargin is subtracted from the time that a peer may use, so that its answer arrives in time also where both instances
// are short of processor time: an answer that is late leaves the outcome unknown.
const linkMargin = 50 * time.Millisecond

// Collect does the same as Append, and returns the expected time of an append at the peer, 0 if that is not known.
func (c *Client) Collect(ctx context.Context, to catalog.Endpoint, e eventlog.Entry) (time.Duration, error) {
	r, err := c.call(ctx, to, request{Op: opAppend, Key: e.Key, Value: e.Value, limited: true})
	return time.Duration(r.AppendMS) * time.Millisecond, err
}

// Report tells a peer that an append of this instance takes at least d.
func (c *Client) Report(ctx context.Context, to catalog.Endpoint, self string, d time.Duration) error {
	_, err := c.call(ctx, to, request{Op: opReport, Key: self, AppendMS: d.Milliseconds()})
	return err
}

// Hint tells a peer that appends take d on the whole fleet.
func (c *Client) Hint(ctx context.Context, to catalog.Endpoint, d time.Duration) error {
	_, err := c.call(ctx, to, request{Op: opHint, AppendMS: d.Milliseconds()})
	return err
}

// Unknown tells a peer that the outcome of the entries with these keys is unknown, and with forward to tell all others.
func (c *Client) Unknown(ctx context.Context, to catalog.Endpoint, keys []string, forward bool) error {
	_, err := c.call(ctx, to, request{Op: opUnknown, Keys: keys, Forward: forward})
	return err
}

// State asks a peer for the state of a submission. Its errors are those of Append.
func (c *Client) State(ctx context.Context, to catalog.Endpoint, id workflow.JobID) (State, error) {
	r, err := c.call(ctx, to, request{Op: opState, Key: string(id)})
	return State{State: r.State, Known: r.Known}, err
}

func (c *Client) call(ctx context.Context, to catalog.Endpoint, q request) (response, error) {
	if q.Op == opAppend {
		release, err := c.awaitEntryCall(ctx, to)
		if err != nil {
			return response{}, &UnreachableError{Peer: to.Instance, Err: err}
		}
		defer release()
	}
	conn, err := c.conn(ctx, to)
	if err != nil {
		return response{}, &UnreachableError{Peer: to.Instance, Err: err}
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		// While the peer has as many calls as it takes, the connection is not at fault.
		if conn.Context().Err() != nil {
			c.drop(to, conn)
		}
		return response{}, &UnreachableError{Peer: to.Instance, Err: err}
	}
	defer context.AfterFunc(ctx, func() { abandon(stream) })()
	if deadline, ok := ctx.Deadline(); ok && q.limited {
		// The connection and the stream may have taken most of the time.
		q.LeftMS = (time.Until(deadline) - linkMargin).Milliseconds()
		if q.LeftMS <= 0 {
			abandon(stream)
			return response{}, &RefusedError{Peer: to.Instance, Reason: "no time is left", NoTime: true}
		}
	}
	b, err := cbor.Marshal(q)
	if err != nil || len(b) > maxMessageBytes {
		abandon(stream)
		return response{}, &RefusedError{Peer: to.Instance, Reason: "the call is too long or cannot be encoded"}
	}
	answer, err := exchange(stream, b)
	if err != nil {
		// A call that was given up early says nothing about the connection.
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.drop(to, conn)
		}
		return response{}, &NoAnswerError{Peer: to.Instance, Err: err}
	}
	switch answer.Outcome {
	case outcomeDone:
		return answer, nil
	case outcomeRefused:
		return answer, &RefusedError{Peer: to.Instance, Reason: answer.Reason, NoTime: answer.NoTime}
	}
	return answer, &NoAnswerError{Peer: to.Instance, Err: &MessageError{Problem: answer.Reason}}
}

// abandon gives up a stream.
func abandon(stream *quic.Stream) {
	stream.CancelRead(0)
	stream.CancelWrite(0)
}

// awaitEntryCall waits until another entry may be passed to a peer, and returns the function to call afterwards.
func (c *Client) awaitEntryCall(ctx context.Context, to catalog.Endpoint) (release func(), err error) {
	key := string(to.Fingerprint)
	c.mu.Lock()
	places := c.entries[key]
	if places == nil {
		places = make(chan struct{}, maxEntryCalls)
		c.entries[key] = places
	}
	c.mu.Unlock()
	select {
	case places <- struct{}{}:
		return func() { <-places }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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
	for k, places := range c.entries {
		if c.conns[k] == nil && len(places) == 0 {
			delete(c.entries, k)
		}
	}
	return conn, nil
}

// dropDelay is how long the other calls on a connection may still be answered after one was not. A call has at most 2 s.
const dropDelay = 2 * time.Second

// drop makes further calls use a new connection after a call has failed, and closes the old one later.
func (c *Client) drop(to catalog.Endpoint, conn *quic.Conn) {
	c.mu.Lock()
	if c.conns[string(to.Fingerprint)] == conn {
		delete(c.conns, string(to.Fingerprint))
	}
	c.mu.Unlock()
	time.AfterFunc(dropDelay, func() { _ = conn.CloseWithError(0, "call failed") })
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
