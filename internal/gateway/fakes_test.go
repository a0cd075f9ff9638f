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
	testShard      = "bne-0"
	schedulerAddr  = "10.0.0.9:1"
	slotsPerWorker = 4
)

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{RacksPerShard: 2, DataCentres: []manifest.DataCentre{{Name: "bne", Workers: 2}},
		Worker: manifest.Worker{Slots: slotsPerWorker, PerRack: 8,
			Capacity: resource.Vector{MilliCores: 8000, MemoryMB: 8000}},
		Prices: manifest.Prices{CoreHour: 3600},
		Teams:  []manifest.Team{{Name: "sales", DailySpending: 1000}},
		Kinds: []manifest.Kind{
			{Name: "quote", Team: "sales", Class: manifest.ClassRequest, Urgency: manifest.UrgencyInteractive,
				Idempotent: true, Deadline: 5 * time.Second},
			{Name: "send", Team: "sales", Class: manifest.ClassRequest, Urgency: manifest.UrgencyInteractive,
				Deadline: 5 * time.Second},
			{Name: "rebid", Team: "sales", Class: manifest.ClassBatch, Size: resource.Vector{MilliCores: 1000},
				RunTime: time.Second, Spending: 10},
			{Name: "huge", Team: "sales", Class: manifest.ClassBatch, Size: resource.Vector{MilliCores: 9000}},
		},
		Policies: manifest.Policies{Routing: "exact", QueueLimit: 50, RetryShare: 10}}
}

// fixedConfig is a config.Source with one version.
type fixedConfig struct{ v *config.Version }

func (c fixedConfig) Current() *config.Version { return c.v }
func (c fixedConfig) Changed() <-chan struct{} { return nil }

// testCluster fakes the owner, the workers, the links and the platform for several gateways.
type testCluster struct {
	t         *testing.T
	mu        sync.Mutex
	members   map[instance.ID]instance.Member
	peers     map[string]link.Handler
	allocator *budget.SlotAllocator
	records   [][]byte
	// appendErr is returned by Append. storeFailed reports whether the records are stored nevertheless.
	appendErr   error
	storeFailed bool
	// execute answers requests. running and maxRunning count the requests in progress on each worker, by address.
	execute             func(ctx context.Context, r upstream.ExecuteRequest) (upstream.Answer, error)
	running, maxRunning map[string]int
	calls               []upstream.ExecuteRequest
	cancelled           int
}

func newTestCluster(t *testing.T) *testCluster {
	tc := &testCluster{t: t, members: map[instance.ID]instance.Member{}, peers: map[string]link.Handler{},
		allocator: budget.NewSlotAllocator(testShard, 7, 3*time.Second), running: map[string]int{},
		maxRunning: map[string]int{}}
	for i := range 2 {
		id, addr := instance.ID(fmt.Sprintf("w%d", i)), fmt.Sprintf("10.0.1.%d:1", i)
		tc.members[id] = instance.Member{ID: id, Role: instance.RoleWorker, DataCentre: "bne", Addr: addr,
			Slots: slotsPerWorker}
		tc.allocator.SetWorker(time.Now(), id, addr, "bne", slotsPerWorker)
		tc.allocator.ApplyLeaseReply(time.Now(), id, nil, nil)
	}
	tc.members["s"] = instance.Member{ID: "s", Role: instance.RoleScheduler, Addr: schedulerAddr}
	tc.peers[schedulerAddr] = func(_ context.Context, _ link.Peer, m contract.Message) (contract.Message, error) {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		switch m := m.(type) {
		case *contract.GrantRequest:
			r := tc.allocator.Grant(time.Now(), *m)
			return &r, nil
		case *contract.JobStatus:
			return &contract.JobStatusReply{Jobs: []contract.JobState{{Job: m.Job, Shard: m.Shard}}}, nil
		}
		return nil, &contract.Failure{Code: contract.FailureUnsupported}
	}
	tc.execute = func(_ context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) { return echo(r), nil }
	return tc
}

func echo(r upstream.ExecuteRequest) upstream.Answer {
	body := append([]byte("answer to "), r.Body...)
	return upstream.Answer{RequestID: r.RequestID, Body: body, Digest: upstream.Digest(body)}
}

// Execute implements Workers.
func (tc *testCluster) Execute(ctx context.Context, addr string, r upstream.ExecuteRequest) (upstream.Answer, error) {
	tc.mu.Lock()
	tc.running[addr]++
	tc.maxRunning[addr] = max(tc.maxRunning[addr], tc.running[addr])
	tc.calls = append(tc.calls, r)
	f := tc.execute
	tc.mu.Unlock()
	defer func() {
		tc.mu.Lock()
		tc.running[addr]--
		tc.mu.Unlock()
	}()
	return f(ctx, r)
}

// Cancel implements Workers.
func (tc *testCluster) Cancel(context.Context, string, upstream.CancelRequest) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.cancelled++
	return nil
}

func (tc *testCluster) setExecute(f func(ctx context.Context, r upstream.ExecuteRequest) (upstream.Answer, error)) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.execute = f
}

func (tc *testCluster) callCount() int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return len(tc.calls)
}

// Call implements link.Caller.
func (tc *testCluster) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	tc.mu.Lock()
	h := tc.peers[addr]
	tc.mu.Unlock()
	if h == nil {
		return nil, &link.CallError{Addr: addr, Err: io.EOF}
	}
	return h(ctx, link.Peer{ID: "x", Role: instance.RoleGateway}, m)
}

// Append implements platform.Log.
func (tc *testCluster) Append(_ context.Context, _ string, records [][]byte) (uint64, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.appendErr == nil || tc.storeFailed {
		tc.records = append(tc.records, records...)
	}
	return uint64(len(tc.records)), tc.appendErr
}

// Read implements platform.Log.
func (tc *testCluster) Read(context.Context, string, uint64, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, nil
}

// Members implements platform.List.
func (tc *testCluster) Members(context.Context, ...instance.Role) ([]instance.Member, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var out []instance.Member
	for _, m := range tc.members {
		out = append(out, m)
	}
	return out, nil
}

// Register implements platform.List.
func (tc *testCluster) Register(_ context.Context, m instance.Member) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.members[m.ID] = m
	return nil
}

// Deregister implements platform.List.
func (tc *testCluster) Deregister(_ context.Context, id instance.ID, _ instance.Incarnation) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	delete(tc.members, id)
	return nil
}

func (tc *testCluster) deps() Deps {
	return Deps{Log: tc, List: tc, Link: tc, Workers: tc,
		Config: fixedConfig{&config.Version{Offset: 3, Manifest: testManifest()}},
		Logger: slog.New(slog.DiscardHandler), Registry: process.NewRegistry(), Health: &process.Health{}}
}

// testGateway is one running gateway.
type testGateway struct {
	*Gateway
	url  string
	stop context.CancelFunc
	done chan error
}

func (tc *testCluster) start(name string) *testGateway {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tc.t, err)
	addr := "link-" + name
	g := New(Settings{ID: instance.ID(name), Incarnation: instance.Incarnation(name + "-1"), DataCentre: "bne",
		LinkAddr: addr, HTTPAddr: ln.Addr().String(), DrainDelay: 100 * time.Millisecond}, tc.deps())
	tc.mu.Lock()
	tc.peers[addr] = g.Handle
	tc.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n := &testGateway{Gateway: g, url: "http://" + ln.Addr().String(), stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- g.Run(ctx, ln) }()
	tc.t.Cleanup(cancel)
	require.Eventually(tc.t, func() bool {
		free, _ := postAndWait(g, func(time.Time) int { return g.control.pool.Free() })
		return free > 0 && g.deps.Health.Ready()
	}, 5*time.Second, 10*time.Millisecond)
	return n
}

type result struct {
	status int
	header http.Header
	body   string
}

func (n *testGateway) post(t *testing.T, path, body string, header ...string) result {
	return n.do(t, http.MethodPost, path, body, header...)
}

func (n *testGateway) do(t *testing.T, method, path, body string, header ...string) result {
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
