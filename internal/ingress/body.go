package ingress

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/ingress/ledger"
)

const (
	// firstBytes is the most that is reserved before any byte of a body has arrived, and the size up to which a body
	// is decoded without waiting for others. A body of usual size needs no second buffer.
	firstBytes = 16 << 10
	// firstUnknownBytes is the first buffer of a body whose length is unknown.
	firstUnknownBytes = 4 << 10
	// growth is the factor by which the buffer of a body grows when it is full.
	growth = 4
)

// Body is a complete body whose memory is reserved until Close.
type Body struct {
	Bytes     []byte
	gate      *Gate
	holder    *ledger.Holder[*Body]
	interrupt func()
}

// evict ends the read in progress. The reader then releases what the body holds.
func (b *Body) evict() { b.interrupt() }

// Close releases the memory of the body. It is called once, when the work on it has ended.
func (b *Body) Close() {
	if b.holder != nil {
		b.gate.bodies.close(b.holder)
	}
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// skipTimeout is how long the server reads on after a refusal. A connection that is closed with unread data is reset, and
// the client may lose the response.
const skipTimeout = 500 * time.Millisecond

// ReadBody reads the body of a request of at most limit bytes. After an error the connection is closed when the response
// has been sent. The error is a *RefusedError, *TooLargeError or *MalformedError.
func (g *Gate) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	client, _ := netip.ParseAddrPort(r.RemoteAddr)
	// The recorders of tests support no deadline.
	setDeadline := func(t time.Time) { _ = http.NewResponseController(w).SetReadDeadline(t) }
	b, err := g.Read(r.Body, r.ContentLength, limit, client.Addr(), func() { setDeadline(past) })
	if err != nil {
		setDeadline(time.Now().Add(skipTimeout))
		w.Header().Set("Connection", "close")
		g.Report("body not read", "client", r.RemoteAddr, "error", err)
		return nil, err
	}
	connOf(r.Context()).pin()
	return b, nil
}

// Read reads at most limit bytes of a client, length if it is not negative. interrupt must make a read that is in
// progress return os.ErrDeadlineExceeded; it may be called from any goroutine until Read returns. Its errors are those of
// ReadBody.
func (g *Gate) Read(r io.Reader, length, limit int64, client netip.Addr, interrupt func()) (*Body, error) {
	b := &Body{gate: g, interrupt: interrupt}
	switch {
	case length == 0:
		return b, nil
	case length > limit:
		return nil, g.tooLarge(limit)
	}
	size := min(length, firstBytes)
	if length < 0 {
		// One byte beyond the limit shows that a body is too long.
		length, size = limit+1, min(limit+1, firstUnknownBytes)
	}
	var ok bool
	if b.holder, ok = g.bodies.open(client, b, size, false); !ok {
		return nil, g.refuse(causeBudget)
	}
	err := b.read(r, size, length, limit)
	if err == nil {
		err = b.reserveWork()
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// read fills a buffer of the given size, which grows up to length.
func (b *Body) read(r io.Reader, size, length, limit int64) error {
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			if int64(len(buf)) == length {
				break
			}
			next := min(length, int64(cap(buf))*growth)
			if !b.gate.bodies.reserve(b.holder, next) {
				return b.noRoom()
			}
			grown := make([]byte, len(buf), next)
			copy(grown, buf)
			b.gate.bodies.release(b.holder, int64(cap(buf)))
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		b.gate.bodies.progress(b.holder, n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return b.readError(err)
		}
	}
	if int64(len(buf)) > limit {
		return b.gate.tooLarge(limit)
	}
	b.Bytes = buf
	return nil
}

// reserveWork reserves the memory of the work on the complete body and protects it from eviction.
func (b *Body) reserveWork() error {
	work := max(0, int64(len(b.Bytes))*b.gate.factor-int64(cap(b.Bytes)))
	if !b.gate.bodies.reserve(b.holder, work) {
		return b.noRoom()
	}
	b.gate.bodies.pin(b.holder)
	return nil
}

func (b *Body) noRoom() error {
	if b.gate.bodies.isEvicted(b.holder) {
		return b.gate.refuse(causeEvicted)
	}
	return b.gate.refuse(causeBudget)
}

func (b *Body) readError(err error) error {
	switch {
	case b.gate.bodies.isEvicted(b.holder), errors.Is(err, net.ErrClosed):
		return b.gate.refuse(causeEvicted)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return b.gate.refuse(causeLate)
	}
	b.gate.refused.WithLabelValues(causeMalformed).Inc()
	return &MalformedError{Err: err}
}

func (g *Gate) tooLarge(limit int64) error {
	g.refused.WithLabelValues(causeTooLarge).Inc()
	return &TooLargeError{Limit: limit}
}
