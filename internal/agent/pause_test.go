package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
)

// pausedAgent is an agent whose clock can be set forward.
type pausedAgent struct {
	t      *testing.T
	server *Server
	calls  *recorder
	ahead  atomic.Int64
}

func newPausedAgent(t *testing.T) *pausedAgent {
	a := &pausedAgent{t: t, calls: &recorder{name: "agent"}}
	a.server = newServer(dispatch.NewLimitedWorkers(a.calls, 0), 0, discard(),
		func() time.Duration { return clock.Now() + time.Duration(a.ahead.Load()) })
	return a
}

// pause sets the clock of the agent forward.
func (a *pausedAgent) pause(d time.Duration) { a.ahead.Add(int64(d)) }

// session opens a session; hold is called for each write of the owner.
func (a *pausedAgent) session(hold func()) *session {
	near, far := net.Pipe()
	go a.server.Serve(context.Background(), "owner", far)
	s := newSession("agent", &heldStream{Conn: near, hold: hold}, 0, &atomic.Int64{})
	go s.run()
	a.t.Cleanup(func() { s.end(context.Canceled) })
	return s
}

// heldStream calls hold before each write.
type heldStream struct {
	net.Conn
	hold func()
}

func (s *heldStream) Write(b []byte) (int, error) {
	s.hold()
	return s.Conn.Write(b)
}

func (a *pausedAgent) start(s *session, job string) error {
	c := start(job, "spec of "+job)
	return s.do(a.t.Context(), call{member: members(1)[0], start: &c}, 5*time.Second).err
}

// inFlight returns the number of calls that the agent is making.
func (a *pausedAgent) inFlight() int {
	a.calls.mu.Lock()
	defer a.calls.mu.Unlock()
	return a.calls.now
}

func (a *pausedAgent) lease(s *session) error {
	return s.do(a.t.Context(), call{member: members(1)[0], lease: &dispatch.LeaseCall{Epoch: 1}}, 5*time.Second).err
}

// Guards against a task that runs twice: an agent that was paused reads a call that had arrived before and makes it.
func TestCallsThatArrivedBeforeAPauseAreNotMade(t *testing.T) {
	for name, do := range map[string]func(*pausedAgent, *session) error{
		"start": func(a *pausedAgent, s *session) error { return a.start(s, "unread") },
		"lease": (*pausedAgent).lease,
	} {
		t.Run(name, func(t *testing.T) {
			a := newPausedAgent(t)
			var writes int
			s := a.session(func() {
				if writes++; writes > 1 {
					a.pause(maxPause + time.Millisecond)
				}
			})
			require.NoError(t, a.start(s, "before"))
			assert.True(t, isLost(do(a, s)))
			assert.NoError(t, a.start(a.session(func() {}), "after"))
			assert.Len(t, a.calls.started(), 2)
			assert.Zero(t, a.calls.leaseCalls())
		})
	}
}

// Guards against a pause that only the agent's own timer notices: it would hide it from the sessions.
func TestPauseEndsAllSessions(t *testing.T) {
	a := newPausedAgent(t)
	sessions := []*session{a.session(func() {}), a.session(func() {})}
	for _, s := range sessions {
		require.NoError(t, a.start(s, "before"))
	}
	a.pause(maxPause + time.Millisecond)
	for _, s := range sessions {
		require.Eventually(t, s.ended, 2*time.Second, time.Millisecond)
	}
	assert.NoError(t, a.start(a.session(func() {}), "after"))
}

// Guards against a task that runs twice: a start that waits for its turn at an agent is made after its owner has given it up.
func TestStartsThatWaitedTooLongAreNotMade(t *testing.T) {
	a := newPausedAgent(t)
	s := a.session(func() {})
	blocked := make(chan struct{})
	a.calls.block(blocked)
	answers := make(chan error, 3)
	for range cap(answers) {
		go func() { answers <- a.start(s, "waiting") }()
	}
	require.Eventually(t, func() bool { return a.inFlight() == 2 }, 2*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	// Not taken for a pause.
	a.pause(maxCallAge + time.Millisecond)
	close(blocked)
	notSent := 0
	for range cap(answers) {
		if err := <-answers; err != nil {
			assert.IsType(t, &dispatch.NotSentError{}, err)
			notSent++
		}
	}
	assert.Equal(t, 1, notSent)
	assert.Len(t, a.calls.started(), 2)
	assert.False(t, s.ended())
}

// Guards against sessions that end under a load that starves the agent.
func TestShortStallsEndNoSession(t *testing.T) {
	a := newPausedAgent(t)
	s := a.session(func() {})
	for range 3 {
		require.NoError(t, a.start(s, "job"))
		a.pause(300 * time.Millisecond)
		time.Sleep(2 * pauseCheckInterval)
	}
	assert.NoError(t, a.start(s, "job"))
	assert.False(t, s.ended())
}

// Guards against frames that waited, unread and of unknown age, while the agent had no room for further calls.
func TestSessionEndsIfItsFramesWaited(t *testing.T) {
	a := newPausedAgent(t)
	var written atomic.Int64
	s := a.session(func() { written.Add(1) })
	blocked := make(chan struct{})
	a.calls.block(blocked)
	var calls sync.WaitGroup
	for range maxSessionCalls {
		calls.Go(func() { _ = a.lease(s) })
	}
	require.Eventually(t, func() bool { return a.inFlight() == maxSessionCalls }, 10*time.Second, time.Millisecond)
	frames := written.Load()
	calls.Go(func() { assert.Error(t, a.lease(s)) })
	require.Eventually(t, func() bool { return written.Load() > frames }, 2*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	a.pause(maxCallAge + time.Millisecond)
	close(blocked)
	require.Eventually(t, s.ended, 2*time.Second, time.Millisecond)
	calls.Wait()
	require.Eventually(t, func() bool { return a.inFlight() == 0 }, 2*time.Second, time.Millisecond)
	assert.Equal(t, maxSessionCalls, a.calls.leaseCalls())
}

// Guards against calls that the owner decided before a pause of its own.
func TestCallsThatTheirGuardForbidsAreNotSentToAgents(t *testing.T) {
	d := newDeployment(t, "a", "b")
	all := members(100)
	d.pool.Route(all)
	d.startAll(all[:1], "allowed")
	forbidden := dispatch.WithGuard(t.Context(), func() bool { return false })
	_, err := d.pool.Start(forbidden, all[0], start("forbidden", "spec"))
	assert.IsType(t, &dispatch.NotSentError{}, err)
	_, err = d.pool.Renew(forbidden, all[0], dispatch.LeaseCall{Epoch: 4})
	assert.IsType(t, &dispatch.NoAnswerError{}, err)
	assert.Len(t, d.agents["a"].started(), 1-len(d.agents["b"].started()))
	assert.Zero(t, d.agents["a"].leaseCalls()+d.agents["b"].leaseCalls()+d.local.leaseCalls())
}

// Guards against a task that runs twice: a call that waited behind a slow write is sent after its owner has given it up.
func TestCallThatWasGivenUpIsNotWritten(t *testing.T) {
	a := newPausedAgent(t)
	blocked := make(chan struct{})
	var writes atomic.Int64
	s := a.session(func() {
		if writes.Add(1) == 2 {
			<-blocked
		}
	})
	require.NoError(t, a.start(s, "before"))
	go func() { _ = a.start(s, "slow") }()
	require.Eventually(t, func() bool { return writes.Load() == 2 }, 2*time.Second, time.Millisecond)
	given, giveUp := context.WithCancel(t.Context())
	c, outcome := start("given up", "spec"), make(chan result, 1)
	go func() { outcome <- s.do(given, call{member: members(1)[0], start: &c}, time.Minute) }()
	var allowed atomic.Bool
	forbidden := start("forbidden", "spec")
	go func() {
		_ = s.do(dispatch.WithGuard(t.Context(), allowed.Load), call{member: members(1)[0], start: &forbidden}, time.Minute)
	}()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.pending) == 3 }, 2*time.Second, time.Millisecond)
	giveUp()
	assert.Error(t, (<-outcome).err)
	close(blocked)
	require.NoError(t, a.start(s, "after"))
	var jobs []string
	for _, c := range a.calls.started() {
		jobs = append(jobs, string(c.Task.Job))
	}
	assert.ElementsMatch(t, []string{"before", "slow", "after"}, jobs)
}
