package agent

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
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

func TestSmallFleetIsCalledDirectly(t *testing.T) {
	d := newDeployment(t, "a")
	all := members(20)
	d.pool.Route(all)
	d.startAll(all, "j")
	assert.Len(t, d.local.started(), 20)
	assert.Empty(t, d.dials)
}

func TestCallsOfALargeFleetGoThroughAgents(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	all := members(60)
	d.pool.Route(all)
	d.startAll(all, "j")
	d.startAll(all, "k")
	assert.Empty(t, d.local.started())
	total := 0
	for _, r := range d.agents {
		assert.NotEmpty(t, r.started(), r.name)
		for _, c := range r.started() {
			assert.Equal(t, start(string(c.Task.Job), "spec of "+string(c.Task.Job)), c)
		}
		total += len(r.started())
	}
	assert.Equal(t, 120, total)
	m := all[0]
	for i := range 3 {
		a, err := d.pool.Renew(context.Background(), m, dispatch.LeaseCall{Epoch: 4, ExpiresAt: time.Second, LastStoredEnd: 6,
			Wait: 40 * time.Millisecond})
		require.NoError(t, err)
		assert.Equal(t, int64(5), a.StartedAt)
		assert.Equal(t, i == 1, a.MoreEnds)
		assert.Equal(t, 1040*time.Millisecond, a.Clock)
		require.Len(t, a.Running, 1, i)
		assert.Equal(t, m.ID, a.Running[0].Checkpoint)
		assert.Equal(t, []dispatch.End{{Number: 7, Attempt: attempt("b", 2, 9), Outcome: dispatch.EndDone}}, a.Ends)
	}
	a, err := d.pool.Stop(context.Background(), m, dispatch.StopCall{Attempt: attempt("j", 1, 2), Epoch: 4})
	require.NoError(t, err)
	assert.Equal(t, 2*time.Second, a.Clock)
	a, err = d.pool.LimitCPU(context.Background(), m, dispatch.CPULimitCall{Attempt: attempt("j", 1, 2), Percent: 30})
	require.NoError(t, err)
	assert.Equal(t, 30*time.Millisecond, a.Clock)
	full := m
	full.ID = "full"
	d.pool.Route(append(all, full))
	_, err = d.pool.Start(context.Background(), full, start("j", "s"))
	var refused *dispatch.RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, dispatch.ReasonNoRoom, refused.Reason)
}

// Guards against workers that nobody calls after their agent has gone.
func TestWorkersOfALostAgentMoveToOthers(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	all := members(60)
	d.pool.Route(all)
	d.startAll(all, "j")
	hold := make(chan struct{})
	d.agents["a"].block(hold)
	var mine dispatch.Member
	for _, m := range all {
		if d.assigned(m) == "a" {
			mine = m
		}
	}
	lost := make(chan error, 1)
	go func() {
		_, err := d.pool.Start(context.Background(), mine, start("k", "s"))
		lost <- err
	}()
	require.Eventually(t, func() bool { r := d.agents["a"]; r.mu.Lock(); defer r.mu.Unlock(); return r.now > 0 }, time.Second,
		time.Millisecond)
	d.mu.Lock()
	delete(d.agents, "a")
	_ = d.conns["a"].Close()
	d.mu.Unlock()
	var noAnswer *dispatch.NoAnswerError
	err := <-lost
	require.ErrorAs(t, err, &noAnswer)
	assert.True(t, isLost(err))
	assert.False(t, dispatch.ConnectionLost(err), "the end of a session is no sign of a crashed worker")
	close(hold)
	require.Eventually(t, func() bool {
		_, err := d.pool.Start(context.Background(), mine, start("l", "s"))
		return err == nil
	}, time.Second, 5*time.Millisecond)
	d.startAll(all, "m")
	assert.Empty(t, d.local.started())
}

// Guards against a frozen agent that keeps its workers, and against giving up agents because the owner itself is slow.
func TestOnlyTheSilentAgentIsGivenUp(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	all := members(60)
	d.pool.Route(all)
	d.startAll(all, "j")
	hold := make(chan struct{})
	defer close(hold)
	for _, r := range d.agents {
		r.block(hold)
	}
	call := func(agent string) error {
		for _, m := range all {
			if d.assigned(m) == agent {
				_, err := d.pool.Renew(context.Background(), m, dispatch.LeaseCall{Epoch: 4})
				return err
			}
		}
		return errors.New("no worker")
	}
	assert.True(t, isLost(call("a")))
	assert.Len(t, d.pool.table.Load().sessions, 60)
	assert.Equal(t, 1, d.dials["a"], "no agent answered, so none is given up")
	stop := make(chan struct{})
	defer close(stop)
	d.agents["b"].block(nil)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				_ = call("b")
			}
		}
	}()
	assert.True(t, isLost(call("a")))
	require.Eventually(t, func() bool {
		d.pool.mu.Lock()
		defer d.pool.mu.Unlock()
		return d.pool.avoided["a"].span > 0
	}, time.Second, 5*time.Millisecond)
}

// Guards against repetitions of starts that only wait for their turn at a busy agent.
func TestStartsWaitForTheirTurnAtTheAgent(t *testing.T) {
	d := newDeployment(t, "a")
	all := members(30)
	d.pool.Route(all)
	d.startAll(all, "j")
	hold := make(chan struct{})
	d.agents["a"].block(hold)
	time.AfterFunc(answerSlack+2*d.pool.limits.Task, func() { close(hold) })
	_, err := d.pool.Start(context.Background(), all[0], start("k", "s"))
	require.NoError(t, err)
	assert.Len(t, d.agents["a"].started(), 31)
}

// Guards against a new owner whose starts fill its own link, so that its lease calls come too late.
func TestStartsToAgentsAreBounded(t *testing.T) {
	d := newDeployment(t, "a")
	const bandwidth = 250e3
	bound := tasksInFlight(bandwidth)
	d.pool.turns = make(dispatch.Turns, bound)
	all := members(30)
	d.pool.Route(all)
	d.startAll(all, "j")
	hold := make(chan struct{})
	d.agents["a"].block(hold)
	var wg sync.WaitGroup
	var notSent atomic.Int64
	for i := range 3 * bound {
		wg.Go(func() {
			var e *dispatch.NotSentError
			if _, err := d.pool.Start(context.Background(), all[i%len(all)], start("k", "s")); errors.As(err, &e) {
				notSent.Add(1)
			}
		})
	}
	inFlight := func() int {
		s := d.pool.table.Load().sessions[all[0].ID]
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.pending)
	}
	require.Eventually(t, func() bool { return inFlight() == bound }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return notSent.Load() == int64(2*bound) }, time.Second, time.Millisecond)
	assert.Equal(t, bound, inFlight())
	close(hold)
	wg.Wait()
	assert.Len(t, d.agents["a"].started(), 30+bound)
	assert.Equal(t, maxTasksInFlight, tasksInFlight(0))
	assert.Equal(t, minTasksInFlight, tasksInFlight(1))
}

// Guards against lease calls that wait behind a burst of starts in a session.
func TestLeaseCallsGoFirst(t *testing.T) {
	s := newSender[int](nil, 0, nil)
	for i := range maxFrameCalls + 5 {
		s.add(i, false)
	}
	s.add(-1, true)
	batch, more := s.take()
	assert.Equal(t, -1, batch[0])
	assert.Len(t, batch, maxFrameCalls)
	assert.True(t, more)
	batch, more = s.take()
	assert.Len(t, batch, 6)
	assert.False(t, more)
}

func TestAFaultInACallEndsNeitherSessionNorProcess(t *testing.T) {
	d := newDeployment(t, "a")
	all := members(30)
	d.pool.Route(all)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := d.pool.Start(ctx, all[0], start("p", "panic"))
	require.Error(t, err)
	d.startAll(all, "j")
	assert.Equal(t, 1, d.dials["a"])
}

func TestMalformedFrameEndsTheSessionOnly(t *testing.T) {
	for _, b := range [][]byte{{0, 0, 0, 1, 0xff}, {255, 255, 255, 255}, {0, 0, 0, 0}} {
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewServer(&recorder{}, 0, discard()).Serve(context.Background(), "owner", far)
		}()
		_, err := near.Write(b)
		require.NoError(t, err)
		<-done
	}
}

func TestStartsWithoutAgentsAreCalledDirectly(t *testing.T) {
	d := newDeployment(t)
	all := members(60)
	d.pool.Route(all)
	began := time.Now()
	var wg sync.WaitGroup
	for _, m := range all {
		wg.Go(func() {
			var notSent *dispatch.NotSentError
			_, err := d.pool.Start(context.Background(), m, start("j", "s"))
			for errors.As(err, &notSent) {
				_, err = d.pool.Start(context.Background(), m, start("j", "s"))
			}
			assert.NoError(t, err)
		})
	}
	wg.Wait()
	assert.Len(t, d.local.started(), 60)
	assert.Less(t, time.Since(began), 2*maxSessionWait)
}

func TestReleaseEndsTheSessions(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	all := members(60)
	d.pool.Route(all)
	d.startAll(all, "j")
	d.pool.Release()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.conns {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, err := c.Write([]byte{0})
		assert.Error(t, err, name)
	}
	d.startAll(all, "k")
	assert.Len(t, d.local.started(), 60)
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

// Guards against an owner that makes every call itself after its own link has failed for a moment.
func TestOwnerThatLosesAllSessionsDoesNotCallDirectly(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	all := members(60)
	d.pool.Route(all)
	d.startAll(all, "j")
	d.mu.Lock()
	for _, c := range d.conns {
		_ = c.Close()
	}
	d.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	assert.Zero(t, d.renewAll(all, 0))
	assert.Zero(t, d.directLeases())
}

// Guards against sessions that end while the entries of all workers have expired in an outage of the log.
func TestSessionsSurviveAShrinkingFleet(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	all := members(40)
	d.pool.Route(all)
	d.startAll(all, "j")
	go func() {
		time.Sleep(20 * time.Millisecond)
		d.pool.Route(all[:20])
	}()
	assert.Zero(t, d.renewAll(all, 50*time.Millisecond))
	d.startAll(all[:20], "k")
	assert.Empty(t, d.local.started())
	d.pool.Route(all[:10])
	d.startAll(all[:10], "l")
	assert.Len(t, d.local.started(), 10)
}

// Guards against a new owner that calls a fleet itself because the instances that it dials first were lost with the old
// owner.
func TestTakeoverWaitsForTheSecondChoiceOfAgents(t *testing.T) {
	d := newDeployment(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	dial := d.pool.dial
	d.pool.dial = func(ctx context.Context, to catalog.Endpoint) (relay.Stream, error) {
		if to.Instance < "f" {
			select {
			case <-time.After(420 * time.Millisecond):
			case <-ctx.Done():
			}
			return nil, &relay.UnreachableError{Peer: to.Instance}
		}
		return dial(ctx, to)
	}
	all := members(60)
	d.pool.Route(all)
	assert.Zero(t, d.renewAll(all, 0))
	assert.Zero(t, d.directLeases())
}

func TestAvoidanceIsForgottenAfterALongSession(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	all := members(60)
	d.pool.Route(all)
	d.startAll(all, "j")
	d.pool.mu.Lock()
	d.pool.avoided["a"] = avoidance{span: maxAvoid}
	d.pool.sessions["a"].openedAt -= 2 * maxAvoid
	s := d.pool.sessions["a"]
	d.pool.mu.Unlock()
	s.end(io.EOF)
	require.Eventually(t, func() bool {
		d.pool.mu.Lock()
		defer d.pool.mu.Unlock()
		return d.pool.avoided["a"].span == minAvoid
	}, time.Second, time.Millisecond)
}
