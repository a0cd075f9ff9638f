package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/budget"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	testShard  = "bne-0"
	schedAddr  = "10.0.0.9:1"
	workerSlot = 4
)

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{RacksPerShard: 2, DataCentres: []manifest.DataCentre{{Name: "bne", Workers: 2}},
		Worker: manifest.Worker{Slots: workerSlot, PerRack: 8, Capacity: resource.Vector{MilliCores: 8000, MemoryMB: 8000}},
		Prices: manifest.Prices{CoreHour: 3600},
		Teams:  []manifest.Team{{Name: "sales", DailySpending: 1000}},
		Kinds: []manifest.Kind{
			{Name: "quote", Team: "sales", Class: manifest.ClassRequest, Urgency: manifest.UrgencyInteractive, Idempotent: true, Deadline: 5 * time.Second},
			{Name: "send", Team: "sales", Class: manifest.ClassRequest, Urgency: manifest.UrgencyInteractive, Deadline: 5 * time.Second},
			{Name: "rebid", Team: "sales", Class: manifest.ClassBatch, Size: resource.Vector{MilliCores: 1000}, RunTime: time.Second, Spending: 10},
			{Name: "huge", Team: "sales", Class: manifest.ClassBatch, Size: resource.Vector{MilliCores: 9000}},
		},
		Policies: manifest.Policies{Routing: "exact", QueueLimit: 50, RetryShare: 10}}
}

// fixedConfig is a config.Source with one version.
type fixedConfig struct{ v *config.Version }

func (c fixedConfig) Current() *config.Version { return c.v }
func (c fixedConfig) Changed() <-chan struct{} { return nil }

// world holds the fakes that several gateways share.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	members map[instance.ID]instance.Member
	peers   map[string]link.Handler
	ledger  *budget.Ledger
	records [][]byte
	// appendErr is returned by appends; stored tells that the record is kept nevertheless.
	appendErr error
	stored    bool
	// execute answers requests; running and most count those in progress.
	execute       func(ctx context.Context, r upstream.ExecuteRequest) (upstream.Answer, error)
	running, most map[string]int
	calls         []upstream.ExecuteRequest
	cancelled     int
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, members: map[instance.ID]instance.Member{}, peers: map[string]link.Handler{},
		ledger: budget.NewLedger(testShard, 7, 3*time.Second), running: map[string]int{}, most: map[string]int{}}
	for i := range 2 {
		id, addr := instance.ID(fmt.Sprintf("w%d", i)), fmt.Sprintf("10.0.1.%d:1", i)
		w.members[id] = instance.Member{ID: id, Role: instance.RoleWorker, DataCentre: "bne", Addr: addr, Slots: workerSlot}
		w.ledger.SetWorker(time.Now(), id, addr, "bne", workerSlot)
		w.ledger.Report(time.Now(), id, nil, nil)
	}
	w.members["s"] = instance.Member{ID: "s", Role: instance.RoleScheduler, Addr: schedAddr}
	w.peers[schedAddr] = func(_ context.Context, _ link.Peer, m contract.Message) (contract.Message, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch m := m.(type) {
		case *contract.GrantRequest:
			r := w.ledger.Grant(time.Now(), *m)
			return &r, nil
		case *contract.JobStatus:
			return &contract.JobStatusReply{Jobs: []contract.JobState{{Job: m.Job, Shard: m.Shard}}}, nil
		}
		return nil, &contract.Failure{Code: contract.FailureUnsupported}
	}
	w.execute = func(_ context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) { return echo(r), nil }
	return w
}

func echo(r upstream.ExecuteRequest) upstream.Answer {
	body := append([]byte("answer to "), r.Body...)
	return upstream.Answer{RequestID: r.RequestID, Body: body, Digest: upstream.Digest(body)}
}

// Execute implements Workers.
func (w *world) Execute(ctx context.Context, addr string, r upstream.ExecuteRequest) (upstream.Answer, error) {
	w.mu.Lock()
	w.running[addr]++
	w.most[addr] = max(w.most[addr], w.running[addr])
	w.calls = append(w.calls, r)
	f := w.execute
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running[addr]--
		w.mu.Unlock()
	}()
	return f(ctx, r)
}

// Cancel implements Workers.
func (w *world) Cancel(context.Context, string, upstream.CancelRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled++
	return nil
}

func (w *world) set(f func(ctx context.Context, r upstream.ExecuteRequest) (upstream.Answer, error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.execute = f
}

func (w *world) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

// Call implements link.Caller.
func (w *world) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	w.mu.Lock()
	h := w.peers[addr]
	w.mu.Unlock()
	if h == nil {
		return nil, &link.CallError{Addr: addr, Err: io.EOF}
	}
	return h(ctx, link.Peer{ID: "x", Role: instance.RoleGateway}, m)
}

// Append implements platform.Log.
func (w *world) Append(_ context.Context, _ string, records [][]byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.appendErr == nil || w.stored {
		w.records = append(w.records, records...)
	}
	return uint64(len(w.records)), w.appendErr
}

// Read implements platform.Log.
func (w *world) Read(context.Context, string, uint64, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, nil
}

// Members implements platform.List.
func (w *world) Members(context.Context, ...instance.Role) ([]instance.Member, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []instance.Member
	for _, m := range w.members {
		out = append(out, m)
	}
	return out, nil
}

// Register implements platform.List.
func (w *world) Register(_ context.Context, m instance.Member) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members[m.ID] = m
	return nil
}

// Deregister implements platform.List.
func (w *world) Deregister(_ context.Context, id instance.ID, _ instance.Incarnation) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.members, id)
	return nil
}

func (w *world) deps() Deps {
	return Deps{Log: w, List: w, Link: w, Workers: w, Config: fixedConfig{&config.Version{Offset: 3, Manifest: testManifest()}},
		Logger: slog.New(slog.DiscardHandler), Registry: process.NewRegistry(), Health: &process.Health{}}
}

// node is one running gateway.
type node struct {
	*Gateway
	url  string
	stop context.CancelFunc
	done chan error
}

func (w *world) start(name string) *node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	addr := "link-" + name
	g := New(Settings{ID: instance.ID(name), Incarnation: instance.Incarnation(name + "-1"), DataCentre: "bne", LinkAddr: addr,
		HTTPAddr: ln.Addr().String(), DrainDelay: 100 * time.Millisecond},
		w.deps())
	w.mu.Lock()
	w.peers[addr] = g.Handle
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Gateway: g, url: "http://" + ln.Addr().String(), stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- g.Run(ctx, ln) }()
	w.t.Cleanup(cancel)
	require.Eventually(w.t, func() bool {
		free, _ := ask(g, func(time.Time) int { return g.control.holding.Free() })
		return free > 0 && g.deps.Health.Ready()
	}, 5*time.Second, 10*time.Millisecond)
	return n
}

type result struct {
	status int
	header http.Header
	body   string
}

func (n *node) post(t *testing.T, path, body string, header ...string) result {
	return n.do(t, http.MethodPost, path, body, header...)
}

func (n *node) do(t *testing.T, method, path, body string, header ...string) result {
	req, err := http.NewRequest(method, n.url+path, bytes.NewBufferString(body))
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return result{resp.StatusCode, resp.Header, string(data)}
}
