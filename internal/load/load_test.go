package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDeployment serves the endpoints of gateways and of the workers' stand-in: requests, tickets, jobs, and the
// execution counts of the workers.
type fakeDeployment struct {
	mu sync.Mutex
	// mode selects the error that the deployment makes; empty for none.
	mode    string
	tickets int
	// answers and executed hold the answer and the number of executions of each request id.
	answers  map[string][]byte
	executed map[string]int
	// stall delays the first request.
	stall time.Duration
}

func (f *fakeDeployment) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tickets++
	w.Header().Set(headerTicket, fmt.Sprint("t", f.tickets))
	switch {
	case r.URL.Path == "/readyz":
	case r.URL.Path == pathTickets:
		f.tickets++
		_, _ = fmt.Fprintf(w, `{"tickets":["t%d"]}`, f.tickets)
	case strings.HasPrefix(r.URL.Path, pathRequests):
		f.request(w, r)
	case r.Method == http.MethodPost && r.URL.Path == pathJobs:
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"job":"s~1"}`)
	case strings.HasPrefix(r.URL.Path, pathJobs):
		s := contract.JobState{Tasks: 10, Done: 10, Evicted: 2, Resumed: 2, Submitted: time.Now(), Ended: time.Now(),
			Deadline: time.Now().Add(time.Hour)}
		if f.mode == "lost" {
			s.Done, s.Pending = 9, 1
		}
		_ = json.NewEncoder(w).Encode(s)
	case r.URL.Path == pathExecuted:
		_ = json.NewEncoder(w).Encode(executionsAnswer{Executions: f.executed, TasksDone: map[string]int{"s~1": 10}})
	default:
		_, _ = io.WriteString(w, `{"counts":{"executions":5}}`)
	}
}

func (f *fakeDeployment) request(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	stall := f.stall
	f.stall = 0
	// The other endpoints answer meanwhile.
	f.mu.Unlock()
	time.Sleep(stall)
	f.mu.Lock()
	id, ticket, kind := r.Header.Get(headerRequestID), r.Header.Get(headerTicket), r.URL.Path[len(pathRequests):]
	w.Header().Set(headerRequestID, id)
	if kind == "send-price" && ticket == "" {
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	if f.mode == "not-run" || f.mode == "not-run-lie" {
		if f.mode == "not-run-lie" {
			f.executed[id]++
		}
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if a, ok := f.answers[id]; ok && f.mode != "doubled" {
		_, _ = w.Write(a)
		return
	}
	f.executed[id]++
	if f.mode == "crossed" {
		id = "other"
	}
	a := fmt.Appendf(nil, `{"request_id":%q,"kind":%q,"body_digest":"%016x","n":%d}`, upstream.AttemptID(id, 7), kind,
		xxhash.Sum64(body), f.tickets)
	if f.mode == "cut" {
		a = a[:len(a)/2]
	}
	f.answers[id] = a
	_, _ = w.Write(a)
}

// testRun makes a run against two gateways that f serves, one that is not ready and one that refuses connections. It
// returns the result that was written, the printed table and the error of the run. configure may change the settings.
func testRun(t *testing.T, f *fakeDeployment, configure func(*Settings)) (*Result, string, error) {
	t.Helper()
	f.answers, f.executed = map[string][]byte{}, map[string]int{}
	servers := []*httptest.Server{httptest.NewServer(f), httptest.NewServer(f),
		httptest.NewServer(http.NotFoundHandler())}
	for _, s := range servers {
		defer s.Close()
	}
	s := &Settings{Gateways: []string{servers[0].URL, servers[1].URL, servers[2].URL, "http://127.0.0.1:1"}, Rate: 500,
		Manifest: "../../examples/quotes.yaml", Duration: 300 * time.Millisecond, Requests: 1000, PeakFactor: 2,
		PeakEvery: 100 * time.Millisecond, PeakLength: 50 * time.Millisecond, Repeat: 0.5, BodyBytes: 64,
		MaxInFlight: 100, Timeout: 5 * time.Second, BatchJobs: 1, TasksPerJob: 10,
		BatchWait: 5 * time.Second, Seed: 1, Standin: servers[0].URL,
		Out: filepath.Join(t.TempDir(), "run"), Plots: "svg"}
	if configure != nil {
		configure(s)
	}
	require.NoError(t, s.Check())
	client, err := NewHTTPClient(s, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer client.CloseIdleConnections()
	var table bytes.Buffer
	runErr := NewRunner(s, client, Outputs{Table: &table, Progress: io.Discard}).Run(context.Background())
	res, err := readResult(s.Out)
	require.NoError(t, err)
	return res, table.String(), runErr
}

// Guards against a run that reports a violation for a correct system, and against a result that is not written.
func TestCleanRun(t *testing.T) {
	res, table, err := testRun(t, &fakeDeployment{}, nil)
	require.NoError(t, err, table)
	require.Positive(t, res.Repeats)
	require.Equal(t, 10, res.Batch.Done)
	require.Equal(t, 1, res.Batch.OnTime)
	for _, k := range res.Kinds {
		require.Equal(t, k.Sent, k.Answered, k.Kind)
		require.Positive(t, k.Latency.Count)
	}
	require.Contains(t, table, "cavity-cost")
}

// Guards against a violation that the run does not report as an error or does not count.
func TestViolations(t *testing.T) {
	for mode, want := range map[string]string{"crossed": "crossed answers", "cut": "cut answers",
		"doubled": "doubled answers", "lost": "lost tasks", "not-run-lie": "called not run but executed"} {
		res, _, err := testRun(t, &fakeDeployment{mode: mode}, func(s *Settings) {
			if mode == "lost" {
				s.BatchWait = 400 * time.Millisecond
			}
		})
		var violation *ViolationError
		require.ErrorAs(t, err, &violation, mode)
		require.Contains(t, violation.Violated, want)
		require.Positive(t, res.Violations[want])
	}
	_, _, err := testRun(t, &fakeDeployment{mode: "not-run"}, nil)
	require.NoError(t, err, "a request that was not run is no violation")
}

// Guards against coordinated omission: during a stall, requests that wait for a free slot must have their waiting time
// counted as latency, and not only the request in progress.
// The stall covers five sixths of the run, so the median request waits for 0.4 of it, about 100 ms; without its waiting
// time it would take less than 1 ms.
func TestLatencyIncludesQueueing(t *testing.T) {
	res, _, err := testRun(t, &fakeDeployment{stall: 250 * time.Millisecond}, func(s *Settings) {
		s.MaxInFlight, s.Weights = 1, map[string]float64{"send-price": 0, "price-history": 0}
	})
	require.NoError(t, err)
	require.Greater(t, res.Kinds[0].Latency.P50, int64(50_000))
}

// Guards against load that is sent to addresses outside the loopback range.
func TestTargets(t *testing.T) {
	for _, bad := range []string{"http://192.0.2.1:80", "http://localhost:80", "https://127.0.0.1:80",
		"http://127.0.0.1",
		"http://[2001:db8::1]:1"} {
		var target *TargetError
		require.ErrorAs(t, (&Settings{Gateways: []string{bad}}).Check(), &target, bad)
	}
}

// Guards against a comparison that mixes up the order of the runs or the direction of the ratio.
func TestCompare(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir()}
	for i, d := range dirs {
		require.NoError(t, writeResult(d, &Result{Kinds: []KindResult{{Kind: "a", Sent: 10 * (i + 1),
			Latency: Latency{P99: int64(1000 * (i + 1))}}}}))
	}
	var out bytes.Buffer
	require.NoError(t, Compare(&out, dirs))
	require.Regexp(t, `a sent +10 +20 \(x2.00\)`, out.String())
	require.Regexp(t, `a p99 +1ms +2ms \(x2.00\)`, out.String())
	var file *FileError
	require.ErrorAs(t, Compare(&out, []string{filepath.Join(t.TempDir(), "absent")}), &file)
}

// Guards against a layout whose conditions file the link package cannot read, or whose delays do not apply to the
// addresses that the layout prints.
func TestLayout(t *testing.T) {
	path := filepath.Join(t.TempDir(), "links.yaml")
	var out bytes.Buffer
	l := &Layout{Manifest: "../../examples/quotes.yaml", Port: 17000, Conditions: path, Jitter: 0.2, Loss: 0.001}
	require.NoError(t, l.Run(&out))
	require.Contains(t, out.String(), "CLEMENTINE_WORKER_FLEET=brisbane=17@127.10.0.1:17100,")
	c, err := link.OpenConditions(path, 1, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	brisbane, ipswich, caller := netip.MustParseAddr("127.10.0.1"), netip.MustParseAddr("127.11.1.1"),
		netip.MustParseAddr("127.9.0.1")
	require.Equal(t, link.Effect{Delay: 5 * time.Millisecond, Jitter: time.Millisecond, Loss: 0.001},
		c.Effect(brisbane, ipswich))
	require.Equal(t, time.Millisecond, c.Effect(ipswich, caller).Delay)
	l.Port = 65000
	var setting *process.SettingError
	require.ErrorAs(t, l.Run(&out), &setting)
}
