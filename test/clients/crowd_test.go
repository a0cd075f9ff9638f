package clients

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/relay"
)

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

const (
	// crowdTime bounds the time for which a crowd sends. It is below the time after which the processes give up a body,
	// so that all connections are open at the same time.
	crowdTime = 6 * time.Second
	// settleTime lets a process read what the crowd has sent before its memory is checked.
	settleTime = time.Second
	// attempts is how often a client connects again after its connection was closed.
	attempts = 3
	// answerTimeout limits one ordinary request; answerTries is how often it is sent, as a caller does after a refusal.
	answerTimeout = 5 * time.Second
	answerTries   = 20
	answerPause   = 250 * time.Millisecond
)

// statusOf sends a request on a new connection and returns the status of the response; 0 if there is none.
func statusOf(method, addr, host, path, body string) int {
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host, r.Close = host, true
	c := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// crowd opens connections to addr, lets send write on each of them, and keeps them open until stop is called. It returns
// when all have sent or crowdTime has passed.
func crowd(t *testing.T, addr string, size int, send func(i int, c net.Conn) error) (stop func()) {
	return crowdFrom(t, func(int) net.IP { return nil }, addr, size, send)
}

// manyAddresses gives each client its own address of the loopback network.
func manyAddresses(i int) net.IP { return net.IPv4(127, 20, byte(i>>8), byte(i&0xff)) }

// crowdFrom is like crowd with the addresses of the clients; nil for the same for all.
func crowdFrom(t *testing.T, from func(i int) net.IP, addr string, size int, send func(i int, c net.Conn) error) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	deadline := time.Now().Add(crowdTime)
	var sending, all sync.WaitGroup
	for i := range size {
		sending.Add(1)
		all.Go(func() {
			sent := sync.OnceFunc(sending.Done)
			defer sent()
			for range attempts {
				c, err := (&net.Dialer{Deadline: deadline, LocalAddr: &net.TCPAddr{IP: from(i)}}).Dial("tcp", addr)
				if err != nil {
					return
				}
				_ = c.SetDeadline(deadline)
				if send(i, c) == nil {
					sent()
					_ = c.SetDeadline(time.Time{})
					defer context.AfterFunc(ctx, func() { _ = c.Close() })()
					// Ends when the server closes the connection. A response is not read: the reader is slow.
					waitClosed(ctx, c)
				}
				_ = c.Close()
				if ctx.Err() != nil || time.Now().After(deadline) {
					return
				}
			}
		})
	}
	sending.Wait()
	return func() { cancel(); all.Wait() }
}

// waitClosed waits until the peer has closed the connection or ctx ends.
func waitClosed(ctx context.Context, c net.Conn) {
	for ctx.Err() == nil {
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Read(make([]byte, 16)); err != nil {
			if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// post returns the header of a POST with further header lines.
func post(path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// sized sends a body of length bytes in pieces, but not its last bytes.
func sized(path func(i int) string, body []byte, piece, missing int) func(int, net.Conn) error {
	return func(i int, c net.Conn) error {
		if _, err := io.WriteString(c, post(path(i), fmt.Sprintf("Content-Length: %d", len(body)))); err != nil {
			return err
		}
		for b := body[:len(body)-missing]; len(b) > 0; b = b[min(piece, len(b)):] {
			if _, err := c.Write(b[:min(piece, len(b))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunked sends a body in chunks, but not the last one, which ends the body.
func chunked(path func(i int) string, body []byte, chunk int) func(int, net.Conn) error {
	var encoded bytes.Buffer
	for b := body; len(b) > 0; b = b[min(chunk, len(b)):] {
		part := b[:min(chunk, len(b))]
		_, _ = fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(part), part)
	}
	return func(i int, c net.Conn) error {
		_, err := io.WriteString(c, post(path(i), "Transfer-Encoding: chunked")+encoded.String())
		return err
	}
}

// trickledHeader sends a header byte by byte for as long as it may.
func trickledHeader(_ int, c net.Conn) error {
	for _, b := range []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 20)) {
		if _, err := c.Write([]byte{b}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// largeHeader sends a header of legal size without its end.
func largeHeader(_ int, c net.Conn) error {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 15<<10))
	return err
}

// idle sends nothing.
func idle(int, net.Conn) error { return nil }

// pipelined sends many requests and reads no response.
func pipelined(path string) func(int, net.Conn) error {
	return func(_ int, c net.Conn) error {
		// The server stops reading when its responses fill the buffers of the connection.
		_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(c, strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n", 2000))
		return nil
	}
}

// appendCrowd lets peers relay an entry with many steps, each from its own connection. It returns when all have an
// answer or crowdTime has passed.
func appendCrowd(t *testing.T, to catalog.Endpoint, size int) (stop func()) {
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var all sync.WaitGroup
	for i := range size {
		all.Go(func() {
			// An error is expected: the entry has too many steps.
			_ = relay.NewClient().Append(ctx, to, manySteps(fmt.Sprintf("%016x", i+1)))
		})
	}
	all.Wait()
	return func() {}
}

// manySteps is an entry of 128 KB whose value is a submission with as many empty steps in the format CBOR.
func manySteps(id string) eventlog.Entry {
	const steps = 128 << 10
	value := append([]byte{0xa2, 0x01, 0x70}, id...)
	value = binary.BigEndian.AppendUint32(append(value, 0x04, 0x9a), steps)
	return eventlog.Entry{Key: id, Value: append(value, bytes.Repeat([]byte{0xa0}, steps)...)}
}

// The protocols of the relay: calls, and sessions of an owner with the agent of an instance.
const (
	callProtocol    = "clementine-relay"
	sessionProtocol = "clementine-session"
)

// longFrame announces a frame of 4 MB, the longest that an agent accepts, and holds the first n bytes of it.
func longFrame(n int) []byte {
	return append(binary.BigEndian.AppendUint32(nil, 4<<20), make([]byte, n)...)
}

// relayCrowd opens QUIC connections to the relay, with streams on each of them that send a message without its end, and
// keeps them open until stop is called.
func relayCrowd(t *testing.T, to catalog.Endpoint, protocol string, size, streams int, message []byte) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	sendCtx, sendCancel := context.WithTimeout(ctx, crowdTime)
	defer sendCancel()
	config := &quic.Config{MaxIdleTimeout: 30 * time.Second, KeepAlivePeriod: 2 * time.Second}
	var sending, all sync.WaitGroup
	for range size {
		sending.Add(1)
		all.Go(func() {
			sent := sync.OnceFunc(sending.Done)
			defer sent()
			for range attempts {
				conn, err := quic.DialAddr(sendCtx, to.Addr, &tls.Config{MinVersion: tls.VersionTLS13,
					NextProtos: []string{protocol}, InsecureSkipVerify: true}, config)
				if err != nil {
					continue
				}
				var wg sync.WaitGroup
				for range streams {
					wg.Go(func() {
						stream, err := conn.OpenStreamSync(sendCtx)
						if err != nil {
							return
						}
						if deadline, ok := sendCtx.Deadline(); ok {
							_ = stream.SetWriteDeadline(deadline)
						}
						_, _ = stream.Write(message)
					})
				}
				wg.Wait()
				sent()
				select {
				case <-ctx.Done():
				case <-conn.Context().Done():
				}
				_ = conn.CloseWithError(0, "")
				if ctx.Err() != nil {
					return
				}
			}
		})
	}
	sending.Wait()
	return func() { cancel(); all.Wait() }
}
