package link

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/keys"
	"clementinewalk.example/clementinewalk/internal/process"
)

const (
	// requestTimeout limits the time that a peer may take to send a complete call.
	requestTimeout = 5 * time.Second
	// receiptTimeout limits the wait for the peer to close the stream, which it does after it has read the reply.
	receiptTimeout = 2 * time.Second
)

// Serve answers calls with h until ctx ends. It then refuses new calls with FailureNotReady, waits for the calls in
// progress in both directions, and closes the transport. A process that calls peers while it stops must end ctx after
// its last call. Serve returns *process.StopError if calls are still in progress after stopTimeout, and *StoppedError
// if the transport has already been closed.
func (t *Transport) Serve(ctx context.Context, h Handler) error {
	if !t.startAccept(h) {
		return &StoppedError{}
	}
	<-ctx.Done()
	t.mu.Lock()
	t.stopping = true
	t.signalCallsDone()
	t.mu.Unlock()
	var err error
	limit := time.NewTimer(stopTimeout)
	defer limit.Stop()
	select {
	case <-t.callsDone:
	case <-limit.C:
		err = &process.StopError{Component: "link", Wait: stopTimeout}
	}
	_ = t.Close()
	return err
}

func (t *Transport) startAccept(h Handler) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Add(1)
	go t.accept(h)
	return true
}

func (t *Transport) accept(h Handler) {
	defer t.wg.Done()
	for {
		c, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.track(c)
		t.wg.Add(1)
		go t.serveConn(c, h)
	}
}

func (t *Transport) serveConn(c *quic.Conn, h Handler) {
	defer t.wg.Done()
	id, role, err := keys.Identity(c.ConnectionState().TLS)
	if err != nil {
		t.log.Warn("closed a connection whose peer certificate holds no identity", "error", err)
		_ = c.CloseWithError(closeFailed, "no identity")
		return
	}
	until := c.ConnectionState().TLS.PeerCertificates[0].NotAfter.Add(certificateGrace)
	for {
		s, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		if time.Now().After(until) {
			t.log.Warn("closed a connection whose peer certificate has expired", "peer", id)
			_ = c.CloseWithError(closeExpired, "certificate expired")
			return
		}
		t.wg.Add(1)
		go t.serveStream(s, Peer{ID: id, Role: role}, h)
	}
}

func (t *Transport) serveStream(s *quic.Stream, p Peer, h Handler) {
	defer t.wg.Done()
	if !t.beginCall(&t.inCalls) {
		abandon(s)
		return
	}
	defer t.endCall(&t.inCalls)
	_ = s.SetReadDeadline(time.Now().Add(requestTimeout))
	m, n, err := readFrame(s)
	t.metrics.addBytes(m, directionReceived, n)
	if err != nil && !malformed(err) {
		abandon(s)
		return
	}
	frame, reply := t.reply(s.Context(), p, m, err, h)
	if _, err := s.Write(frame); err != nil {
		abandon(s)
		return
	}
	t.metrics.addBytes(reply, directionSent, len(frame))
	_ = s.Close()
	// Closing the connection would discard a reply that is not yet delivered, so the call lasts until the peer has read
	// it.
	_ = s.SetReadDeadline(time.Now().Add(receiptTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(s, MaxMessageBytes))
	s.CancelRead(streamAbandoned)
}

// malformed reports whether err means that a complete message arrived that is too large or cannot be decoded, as
// opposed to a message that did not arrive.
func malformed(err error) bool {
	var size *SizeError
	var decode *contract.DecodeError
	var kind *contract.UnknownKindError
	return errors.As(err, &size) || errors.As(err, &decode) || errors.As(err, &kind)
}

// reply returns the encoded reply to a call, and the reply itself. err is the error of reading the call.
func (t *Transport) reply(
	ctx context.Context, p Peer, m contract.Message, err error, h Handler,
) ([]byte, contract.Message) {
	reply := t.answer(ctx, p, m, err, h)
	frame, err := encodeFrame(reply)
	if err == nil {
		return frame, reply
	}
	t.log.Error("reply cannot be encoded", "kind", kindName(reply), "error", err)
	reply = &contract.Failure{Code: contract.FailureUnsupported, Detail: "the reply cannot be encoded"}
	frame, _ = encodeFrame(reply)
	return frame, reply
}

// answer returns the handler's reply to a call, or a *contract.Failure.
func (t *Transport) answer(ctx context.Context, p Peer, m contract.Message, err error, h Handler) contract.Message {
	if err != nil {
		var kind *contract.UnknownKindError
		if errors.As(err, &kind) {
			return &contract.Failure{Code: contract.FailureUnsupported, Detail: kind.Error()}
		}
		return &contract.Failure{Code: contract.FailureMalformed, Detail: "the call cannot be decoded"}
	}
	if t.isStopping() {
		return &contract.Failure{Code: contract.FailureNotReady, Detail: "stopping"}
	}
	reply, err := h(ctx, p, m)
	if err == nil && reply != nil {
		return reply
	}
	var f *contract.Failure
	if errors.As(err, &f) {
		return f
	}
	t.log.Warn("handler failed, the call is answered with a failure", "kind", kindName(m), "peer", p.ID, "error", err)
	return &contract.Failure{Code: contract.FailureNotReady}
}

func (t *Transport) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}
