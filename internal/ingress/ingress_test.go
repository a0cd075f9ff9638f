package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/process"
)

func TestLimitsFollowFromTheSettings(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		name                                  string
		memory                                int64
		descriptors                           int
		bodyBytes, connections, peerInstances int64
	}{
		{"smallest test variant", 160 * mb, 4100, 20 * mb, 640, 213},
		{"smallest usual instance", 184 * mb, 4100, 23 * mb, 736, 245},
		{"usual instance", 284 * mb, 8192, 284 * mb / 8, 1136, 378},
		{"few descriptors", 284 * mb, 256, 284 * mb / 8, 128, 378},
		{"unknown memory", 0, 8192, 64 * mb, 2048, 682},
		{"almost nothing", mb, 8, 2 * mb, 16, 16},
	} {
		l := limitsOf(Settings{MemoryBytes: c.memory, Descriptors: c.descriptors, BodyShare: 8})
		assert.Equal(t, limits{bodyBytes: c.bodyBytes, connections: c.connections, peers: c.peerInstances, sess: maxSessions}, l, c.name)
	}
	assert.Positive(t, limitsOf(Settings{}).connections, "unknown descriptors")
}

const bodyLimit = 256 << 10

// testServer answers with the length of the body of a POST. A request to /work waits until working is closed.
type testServer struct {
	gate    *Gate
	addr    string
	working chan struct{}
	// began gets a value when a request to /work is being processed.
	began chan struct{}
}

func startServer(t *testing.T, l limits) *testServer {
	s := &testServer{working: make(chan struct{}), began: make(chan struct{}, 16)}
	s.gate = New(Settings{WorkFactor: 2}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	s.gate.limits = l
	p := policy(l.bodyBytes, 4<<10)
	p.Stall, p.MinRate, p.Grace = 200*time.Millisecond, minBodyRate, rateGrace
	s.gate.registry = prometheus.NewRegistry()
	s.gate.bodies = newAccount[*Body](s.gate, "body_bytes", p)
	server := process.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &Body{}
		if r.Method == http.MethodPost {
			var err error
			if b, err = s.gate.ReadBody(w, r, bodyLimit); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			defer b.Close()
		}
		if r.URL.Path == "/work" {
			s.began <- struct{}{}
			<-s.working
		}
		_, _ = fmt.Fprintf(w, "%d bytes", len(b.Bytes))
	}), 2*time.Second)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = ln.Addr().String()
	ln = s.gate.GuardCallers(server, ln)
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ln) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
		for _, name := range []string{"body_bytes", "caller_connections"} {
			assert.Eventually(t, func() bool { return s.held(t, name) == 0 }, 5*time.Second, 5*time.Millisecond, "%s is still held", name)
		}
	})
	return s
}

// held returns what is held of a resource, by the metric.
func (s *testServer) held(t *testing.T, resource string) float64 {
	families, err := s.gate.registry.(*prometheus.Registry).Gather()
	require.NoError(t, err)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "clementine_ingress_held" && m.GetLabel()[0].GetValue() == resource {
				return m.GetGauge().GetValue()
			}
		}
	}
	t.Fatalf("no metric of %s", resource)
	return 0
}

// dial opens a connection and sends text.
func (s *testServer) dial(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// response reads a response and returns its status, its text and whether the connection is closed after it. A closed
// connection gives 0.
func response(t *testing.T, c net.Conn) (status int, text string, closes bool) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error(), true
	}
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, string(b), r.Close
}

func header(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// Guards against stalled bodies that keep others out, against an evicted client that does not learn that it was
// refused, and against usual requests that get no room beside large ones.
func TestStalledBodiesMakeRoom(t *testing.T) {
	s := startServer(t, limits{bodyBytes: 256 << 10, connections: 100})
	long := strings.Repeat("x", 64<<10)
	stalled := s.dial(t, header("/", len(long)+1)+long)
	require.Eventually(t, func() bool { return s.held(t, "body_bytes") >= float64(len(long)) }, time.Second, time.Millisecond)

	status, text, _ := response(t, s.dial(t, header("/", 3)+"abc"))
	assert.Equal(t, 200, status, "usual requests have room")
	assert.Equal(t, "3 bytes", text)
	status, text, closes := response(t, s.dial(t, header("/", len(long))+long))
	assert.Equal(t, 503, status, "the stalled body had progress a moment ago")
	assert.Contains(t, text, causeBudget)
	assert.True(t, closes)

	time.Sleep(250 * time.Millisecond)
	status, text, _ = response(t, s.dial(t, header("/", len(long))+long))
	assert.Equal(t, 200, status, text)
	status, text, closes = response(t, stalled)
	assert.Equal(t, 503, status)
	assert.Contains(t, text, causeEvicted)
	assert.True(t, closes)
	assert.Equal(t, 1.0, testutil.ToFloat64(s.gate.refused.WithLabelValues(causeEvicted)))
	assert.Equal(t, 1.0, testutil.ToFloat64(s.gate.evicted.WithLabelValues("body_bytes")))
}

// Guards against a body that is given up while the process works on it, and against work that is not counted.
func TestWorkOnABodyIsCountedAndStays(t *testing.T) {
	s := startServer(t, limits{bodyBytes: 256 << 10, connections: 100})
	long := strings.Repeat("x", 64<<10)
	work := s.dial(t, header("/work", len(long))+long)
	<-s.began
	assert.Equal(t, 2.0*float64(len(long)), s.held(t, "body_bytes"))
	time.Sleep(250 * time.Millisecond)
	status, text, _ := response(t, s.dial(t, header("/", len(long))+long))
	assert.Equal(t, 503, status)
	assert.Contains(t, text, causeBudget)
	close(s.working)
	status, _, _ = response(t, work)
	assert.Equal(t, 200, status)
}

// Guards against bodies that stay for ever, and against their memory.
func TestEveryBodyHasATimeLimit(t *testing.T) {
	s := startServer(t, limits{bodyBytes: 1 << 20, connections: 100})
	status, text, closes := response(t, s.dial(t, header("/", 10)+"x"))
	assert.Equal(t, 503, status)
	assert.Contains(t, text, causeLate)
	assert.True(t, closes)
}

// Guards against memory for bodies that are announced and not sent, and against bodies beyond the limit.
func TestMemoryFollowsWhatHasArrived(t *testing.T) {
	s := startServer(t, limits{bodyBytes: 1 << 20, connections: 100})
	s.dial(t, header("/", bodyLimit)+"x")
	s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\nx")
	require.Eventually(t, func() bool { return s.held(t, "body_bytes") == firstBytes+firstUnknownBytes }, time.Second, time.Millisecond)

	status, text, _ := response(t, s.dial(t, header("/", bodyLimit+1)))
	assert.Equal(t, 503, status)
	assert.Equal(t, (&TooLargeError{Limit: bodyLimit}).Error()+"\n", text, "it is not read")
	body := strings.Repeat("x", bodyLimit)
	status, text, _ = response(t, s.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n1\r\nx\r\n0\r\n\r\n", len(body), body)))
	assert.Equal(t, 503, status)
	assert.Contains(t, text, "longer than")
	status, text, _ = response(t, s.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)))
	assert.Equal(t, 200, status)
	assert.Equal(t, "262144 bytes", text)
}

// Guards against idle and half-sent requests that keep callers out, and against closing a connection whose request is
// being processed.
func TestInactiveConnectionsMakeRoom(t *testing.T) {
	s := startServer(t, limits{bodyBytes: 1 << 20, connections: 8})
	work := s.dial(t, "GET /work HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.began
	known := s.dial(t, header("/", 1)+"x")
	status, _, _ := response(t, known)
	require.Equal(t, 200, status)
	var idle []net.Conn
	for range 20 {
		idle = append(idle, s.dial(t, ""), s.dial(t, "GET / HT"))
		time.Sleep(time.Millisecond)
	}
	status, text, _ := response(t, s.dial(t, header("/", 3)+"abc"))
	assert.Equal(t, 200, status, text)
	status, _, _ = response(t, idle[0])
	assert.Zero(t, status, "the first idle one was closed")
	assert.LessOrEqual(t, s.held(t, "caller_connections"), 8.0)

	_, err := io.WriteString(known, header("/", 1)+"x")
	require.NoError(t, err)
	status, _, _ = response(t, known)
	assert.Equal(t, 200, status, "a connection that has served a request goes after those that have not")
	close(s.working)
	status, _, _ = response(t, work)
	assert.Equal(t, 200, status, "work in progress is not given up")
}

// Guards against clients that send requests byte by byte and so seem more active than a caller whose body is on its way.
func TestTrickledRequestsAreNotActive(t *testing.T) {
	s := startServer(t, limits{bodyBytes: 1 << 20, connections: 8})
	ctx, cancel := context.WithCancel(t.Context())
	var trickling sync.WaitGroup
	defer func() { cancel(); trickling.Wait() }()
	for range 6 {
		c := s.dial(t, "GET / HTTP/1.1\r\nX-Long: ")
		trickling.Go(func() {
			for ctx.Err() == nil {
				_, _ = io.WriteString(c, "x")
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	caller := s.dial(t, header("/", 2)+"x")
	time.Sleep(20 * time.Millisecond)
	for range 3 {
		status, _, _ := response(t, s.dial(t, header("/", 1)+"x"))
		assert.Equal(t, 200, status)
	}
	_, err := io.WriteString(caller, "x")
	require.NoError(t, err)
	status, text, _ := response(t, caller)
	assert.Equal(t, 200, status, text)
}

// Guards against more connections than allowed while all of them work, and against slots that are lost.
func TestConnectionsThatAllWork(t *testing.T) {
	s := startServer(t, limits{bodyBytes: 1 << 20, connections: 8})
	var working []net.Conn
	for range 7 { // One address has seven eighths.
		working = append(working, s.dial(t, "GET /work HTTP/1.1\r\nHost: h\r\n\r\n"))
		<-s.began
	}
	status, _, _ := response(t, s.dial(t, header("/", 1)+"x"))
	assert.Zero(t, status)
	assert.Positive(t, testutil.ToFloat64(s.gate.refused.WithLabelValues(causeConnection)))
	close(s.working)
	for _, c := range working {
		status, _, _ = response(t, c)
		assert.Equal(t, 200, status)
	}
	status, _, _ = response(t, s.dial(t, header("/", 1)+"x"))
	assert.Equal(t, 200, status)
}

// Guards against log lines without bound.
func TestReportsAreLimited(t *testing.T) {
	var out strings.Builder
	g := New(Settings{}, slog.New(slog.NewTextHandler(&out, nil)), prometheus.NewRegistry())
	for range 1000 {
		g.Report("refused")
	}
	assert.Equal(t, 1, strings.Count(out.String(), "msg=refused"))
}

// Guards against large bodies that are decoded all at the same time.
func TestFewLargeBodiesAreDecodedAtATime(t *testing.T) {
	g := New(Settings{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	for range maxDecoding {
		_, err := g.AwaitTurn(t.Context(), bodyLimit)
		require.NoError(t, err)
	}
	done, err := g.AwaitTurn(t.Context(), 2000)
	require.NoError(t, err, "usual ones do not wait")
	done()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var refused *RefusedError
	_, err = g.AwaitTurn(ctx, bodyLimit)
	require.ErrorAs(t, err, &refused)
}

// Guards against counters whose labels do not say what their values are: refusals have a cause, evictions the resource that
// was given up, with the names of the held amounts.
func TestLabelsOfCounters(t *testing.T) {
	r := prometheus.NewRegistry()
	g := New(Settings{}, slog.New(slog.DiscardHandler), r)
	_ = g.refuse(causeBudget)
	families, err := r.Gather()
	require.NoError(t, err)
	values := map[string][]string{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				values[f.GetName()+" "+l.GetName()] = append(values[f.GetName()+" "+l.GetName()], l.GetValue())
			}
		}
	}
	assert.Equal(t, []string{causeBudget}, values["clementine_ingress_refused_total cause"])
	assert.NotEmpty(t, values["clementine_ingress_evicted_total resource"])
	assert.Equal(t, values["clementine_ingress_held resource"], values["clementine_ingress_evicted_total resource"])
}
