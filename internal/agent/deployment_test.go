package agent

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/relay"
)

// recorder answers calls and counts them. While blocked is open, calls wait for it.
type recorder struct {
	name    string
	mu      sync.Mutex
	starts  []dispatch.StartCall
	leases  int
	now     int
	blocked chan struct{}
}

func (r *recorder) enter() func() {
	r.mu.Lock()
	r.now++
	blocked := r.blocked
	r.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.now--
	}
}

func (r *recorder) block(c chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = c
}

func (r *recorder) started() []dispatch.StartCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

func (r *recorder) leaseCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases
}

func (r *recorder) Start(_ context.Context, m dispatch.Member, c dispatch.StartCall) (dispatch.CallAnswer, error) {
	defer r.enter()()
	if c.Spec == "panic" {
		panic("fault in a call")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, c)
	if m.ID == "full" {
		return dispatch.CallAnswer{}, &dispatch.RefusedError{Reason: dispatch.ReasonNoRoom}
	}
	return dispatch.CallAnswer{StartedAt: 3, Clock: time.Second}, nil
}

func (r *recorder) Stop(context.Context, dispatch.Member, dispatch.StopCall) (dispatch.CallAnswer, error) {
	defer r.enter()()
	return dispatch.CallAnswer{Clock: 2 * time.Second}, nil
}

func (r *recorder) LimitCPU(_ context.Context, _ dispatch.Member, c dispatch.CPULimitCall) (dispatch.CallAnswer, error) {
	return dispatch.CallAnswer{Clock: time.Duration(c.Percent) * time.Millisecond}, nil
}

func (r *recorder) Renew(_ context.Context, m dispatch.Member, c dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	defer r.enter()()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases++
	return dispatch.LeaseAnswer{StartedAt: 5, Clock: c.ExpiresAt + c.Wait, MoreEnds: r.leases == 2,
		Running: []dispatch.Running{{Attempt: attempt("a", r.leases, 1), Checkpoint: m.ID, Percent: 40, Load: 7}},
		Ends:    []dispatch.End{{Number: c.LastStoredEnd + 1, Attempt: attempt("b", 2, 9), Outcome: dispatch.EndDone}}}, nil
}

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// deployment has a pool and agents that it reaches over pipes.
type deployment struct {
	t     *testing.T
	pool  *Pool
	local *recorder
	mu    sync.Mutex
	// agents holds the recorders of the agents; a missing one cannot be dialled.
	agents map[string]*recorder
	// conns holds the agents' ends of the newest sessions.
	conns map[string]net.Conn
	dials map[string]int
}

func newDeployment(t *testing.T, agents ...string) *deployment {
	d := &deployment{t: t, local: &recorder{name: "local"}, agents: map[string]*recorder{}, conns: map[string]net.Conn{},
		dials: map[string]int{}}
	for _, name := range agents {
		d.agents[name] = &recorder{name: name}
	}
	endpoints := func() []catalog.Endpoint {
		var out []catalog.Endpoint
		for _, name := range agents {
			out = append(out, catalog.Endpoint{Instance: name, DataCentre: "dc0", Cores: 0.1})
		}
		return append(out, catalog.Endpoint{Instance: "self", DataCentre: "dc0", Cores: 8})
	}
	d.pool = NewPool(Instance{Name: "self", DataCentre: "dc0", Cores: 0.1}, d.local,
		Limits{Task: 100 * time.Millisecond, Lease: 100 * time.Millisecond}, d.dial, endpoints, discard(),
		prometheus.NewRegistry())
	t.Cleanup(d.pool.Release)
	return d
}

func (d *deployment) dial(_ context.Context, to catalog.Endpoint) (relay.Stream, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials[to.Instance]++
	r := d.agents[to.Instance]
	if r == nil {
		return nil, &relay.UnreachableError{Peer: to.Instance}
	}
	near, far := net.Pipe()
	d.conns[to.Instance] = far
	go NewServer(r, 0, discard()).Serve(context.Background(), "owner", far)
	return near, nil
}

func (d *deployment) assigned(m dispatch.Member) string {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	return d.pool.assigned[m.ID]
}

func members(n int) []dispatch.Member {
	var out []dispatch.Member
	for _, w := range fleet(1, n) {
		out = append(out, dispatch.Member{Incarnation: dispatch.Incarnation{ID: w.ID, StartedAt: 1}, DataCentre: "dc0",
			Addr: "addr-" + w.ID})
	}
	return out
}

func start(job, spec string) dispatch.StartCall {
	return dispatch.StartCall{Attempt: attempt(job, 1, 2), Spec: spec, Checkpoint: "c", Ticket: "t", Epoch: 4,
		Deadline: 9 * time.Second}
}

func (d *deployment) startAll(all []dispatch.Member, job string) {
	for _, m := range all {
		_, err := d.pool.Start(context.Background(), m, start(job, "spec of "+job))
		require.NoError(d.t, err)
	}
}

func (d *deployment) renewAll(all []dispatch.Member, wait time.Duration) (lost int) {
	results := make(chan error, len(all))
	for _, m := range all {
		go func() {
			_, err := d.pool.Renew(context.Background(), m, dispatch.LeaseCall{Epoch: 4, Wait: wait})
			results <- err
		}()
	}
	for range all {
		if isLost(<-results) {
			lost++
		}
	}
	return lost
}

func (d *deployment) directLeases() int {
	d.local.mu.Lock()
	defer d.local.mu.Unlock()
	return d.local.leases
}
