package agent

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/relay"
)

const (
	// maintainInterval is the time between two checks of the sessions.
	maintainInterval = 200 * time.Millisecond
	// dialTimeout limits the time to open a session.
	dialTimeout = 500 * time.Millisecond
	// sessionWait is how long a call about a task waits while no session is open. It is decided anew then.
	sessionWait = 300 * time.Millisecond
	// maxSessionWait is how long calls wait while no session is open. The owner alone could not make all of them.
	maxSessionWait = 1500 * time.Millisecond
	// unusedTimeout is how long a session stays open that no worker is assigned to.
	unusedTimeout = 8 * time.Second
	// The calls about tasks in flight may occupy the owner's link for linkQueue. A call takes taskCallBytes, most of them
	// for the specification.
	linkQueue        = 300 * time.Millisecond
	taskCallBytes    = 700
	minTasksInFlight = 32
	maxTasksInFlight = 2048
	// releaseFactor is by how much a fleet must be smaller than one that needs agents to be called directly again.
	releaseFactor = 2
	// An agent whose session has failed is not used for minAvoid, and for twice as long after each further failure, up to
	// maxAvoid.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
)

// Dialer opens a stream to the agent of an instance.
type Dialer func(ctx context.Context, to catalog.Endpoint) (relay.Stream, error)

// Limits are the time limits of calls at the agent.
type Limits struct {
	// Task limits a call about a task; Lease limits a lease call, not counting the wait that it asks for.
	Task, Lease time.Duration
}

// Pool makes the calls of an owner: those to a small fleet itself, those to a large one through agents. Its methods may
// be called from any goroutine.
type Pool struct {
	self      Instance
	local     dispatch.Workers
	limits    Limits
	dial      Dialer
	endpoints func() []catalog.Endpoint
	logger    *slog.Logger
	calls     *prometheus.CounterVec
	// table is nil while the owner makes all calls itself.
	table atomic.Pointer[table]
	// turns bounds the calls about tasks in flight.
	turns dispatch.Turns
	// heardAt is when the newest frame of any agent arrived.
	heardAt atomic.Int64

	mu       sync.Mutex
	stop     context.CancelFunc
	workers  []Worker
	assigned map[string]string
	sessions map[string]*session
	dialing  map[string]bool
	avoided  map[string]avoidance
	// withoutSince is since when no session is open.
	withoutSince time.Duration
}

// avoidance is the time for which an agent is not used.
type avoidance struct{ until, span time.Duration }

// table holds the session for each worker.
type table struct {
	sessions map[string]*session
	// changed is closed when a later table is in force. It is nil if calls to workers without session are made directly.
	changed chan struct{}
}

var (
	_ dispatch.Workers = (*Pool)(nil)
	_ dispatch.Router  = (*Pool)(nil)
)

// NewPool returns a pool for an instance that makes calls with local. endpoints returns the published endpoints of all
// other instances.
func NewPool(self Instance, local dispatch.Workers, limits Limits, dial Dialer, endpoints func() []catalog.Endpoint,
	l *slog.Logger, r prometheus.Registerer) *Pool {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_routed_calls_total",
		Help: "Calls of the owner to workers, by route: direct, agent, or lost, which had no answer through an agent."},
		[]string{"route"})
	r.MustRegister(calls)
	return &Pool{self: self, local: local, limits: limits, dial: dial, endpoints: endpoints, logger: l, calls: calls,
		turns:    make(dispatch.Turns, tasksInFlight(self.LinkBytesPerSecond)),
		sessions: map[string]*session{}, dialing: map[string]bool{}, avoided: map[string]avoidance{}}
}

// Route implements dispatch.Router.
func (p *Pool) Route(members []dispatch.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case NeedsAgents(p.self, len(members)):
	case p.stop != nil && NeedsAgents(p.self, releaseFactor*len(members)):
		// A fleet whose size changes around the bound keeps its agents.
	default:
		p.release()
		return
	}
	p.workers = p.workers[:0]
	for i := range members {
		p.workers = append(p.workers, Worker{ID: members[i].ID, DataCentre: members[i].DataCentre})
	}
	if p.stop == nil {
		ctx, cancel := context.WithCancel(context.Background())
		p.stop, p.withoutSince = cancel, clock.Now()
		p.logger.Info("calls go through agents", "workers", len(members))
		go p.maintain(ctx)
	}
	p.update()
}

// Release implements dispatch.Router.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release()
}

func (p *Pool) release() {
	if p.stop == nil {
		return
	}
	p.stop()
	p.stop, p.workers = nil, nil
	for name, s := range p.sessions {
		s.end(context.Canceled)
		delete(p.sessions, name)
	}
	p.swap(nil)
}

func (p *Pool) maintain(ctx context.Context) {
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		if ctx.Err() == nil {
			p.update()
		}
		p.mu.Unlock()
	}
}

// update assigns the workers to the instances that may be used, opens and closes sessions, and replaces the table.
func (p *Pool) update() {
	now := clock.Now()
	p.removeEnded(now)
	var instances []Instance
	endpoints := map[string]catalog.Endpoint{}
	for _, e := range p.endpoints() {
		if p.avoided[e.Instance].until > now || e.Instance == p.self.Name {
			continue
		}
		endpoints[e.Instance] = e
		instances = append(instances, Instance{Name: e.Instance, DataCentre: e.DataCentre, Cores: e.Cores,
			LinkBytesPerSecond: e.LinkBytesPerSecond})
	}
	p.assigned = Assign(p.workers, instances)
	wanted := map[string]bool{}
	for _, name := range p.assigned {
		wanted[name] = true
	}
	for name := range wanted {
		if p.sessions[name] == nil && !p.dialing[name] {
			p.open(endpoints[name])
		}
	}
	for name, s := range p.sessions {
		if wanted[name] {
			s.usedAt = now
		} else if now-s.usedAt > unusedTimeout && s.idle() {
			s.end(context.Canceled)
			delete(p.sessions, name)
		}
	}
	p.swap(p.newTable(now))
}

// removeEnded removes the sessions that have ended and avoids their agents for a while. If none is left, the fault is
// more likely here, and all agents are dialled again at once.
func (p *Pool) removeEnded(now time.Duration) {
	ended := map[string]*session{}
	for name, s := range p.sessions {
		if s.ended() {
			ended[name] = s
			delete(p.sessions, name)
		}
	}
	if len(ended) > 0 && len(p.sessions) == 0 {
		p.withoutSince = now
		p.logger.Warn("all sessions ended", "sessions", len(ended))
		return
	}
	for name, s := range ended {
		if now-s.openedAt > maxAvoid {
			delete(p.avoided, name)
		}
		p.avoid(now, name, s.err)
	}
}

// newTable returns the sessions of the workers: that of the assigned instance, or any other one until it is open.
func (p *Pool) newTable(now time.Duration) *table {
	var open []Instance
	for name := range p.sessions {
		open = append(open, Instance{Name: name, Cores: 1})
	}
	t := &table{sessions: make(map[string]*session, len(p.workers))}
	for _, w := range p.workers {
		s := p.sessions[p.assigned[w.ID]]
		if s == nil {
			if name, ok := choose(w.ID, open); ok {
				s = p.sessions[name]
			}
		}
		if s != nil {
			t.sessions[w.ID] = s
		}
	}
	if len(open) == 0 && now-p.withoutSince < maxSessionWait {
		t.changed = make(chan struct{})
	}
	return t
}

// swap puts a table into force.
func (p *Pool) swap(t *table) {
	if old := p.table.Swap(t); old != nil && old.changed != nil {
		close(old.changed)
	}
}

// avoid keeps an agent from being used for a while.
func (p *Pool) avoid(now time.Duration, name string, err error) {
	a := p.avoided[name]
	a.span = min(max(2*a.span, minAvoid), maxAvoid)
	a.until = now + a.span
	p.avoided[name] = a
	p.logger.Info("agent avoided", "agent", name, "for_ms", a.span.Milliseconds(), "error", err)
}

func (p *Pool) open(to catalog.Endpoint) {
	p.dialing[to.Instance] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		stream, err := p.dial(ctx, to)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.dialing, to.Instance)
		switch {
		case err != nil:
			p.avoid(clock.Now(), to.Instance, err)
		case p.stop == nil:
			_ = stream.Close()
			return
		default:
			s := newSession(to.Instance, stream, p.self.LinkBytesPerSecond, &p.heardAt)
			s.openedAt, s.usedAt = clock.Now(), clock.Now()
			p.sessions[to.Instance] = s
			go func() {
				s.run()
				p.sessionEnded(s)
			}()
		}
		if p.stop != nil {
			p.update()
		}
	}()
}

// sessionEnded moves the workers of a lost session to other agents.
func (p *Pool) sessionEnded(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil && p.sessions[s.instance] == s {
		p.update()
	}
}

// session returns the session for the calls to a worker, or nil if the call is to be made directly. While no session is
// open, it waits until wait is closed; ok is false if none was open by then.
func (p *Pool) session(wait <-chan struct{}, worker string) (s *session, ok bool) {
	for {
		t := p.table.Load()
		if t == nil {
			return nil, true
		}
		if s := t.sessions[worker]; s != nil || t.changed == nil {
			return s, true
		}
		select {
		case <-t.changed:
		case <-wait:
			return nil, false
		}
	}
}

// tasksInFlight returns the bound on calls about tasks that an owner with the given bandwidth has sent to agents.
func tasksInFlight(linkBytesPerSecond float64) int {
	if linkBytesPerSecond <= 0 {
		return maxTasksInFlight
	}
	return min(max(int(linkBytesPerSecond*linkQueue.Seconds()/taskCallBytes), minTasksInFlight), maxTasksInFlight)
}

// doTask makes a call about a task, once it is its turn. Without the bound, the starts of a takeover would fill the
// owner's link for seconds, and agents would count as silent.
func (p *Pool) doTask(ctx context.Context, c call) (result, bool) {
	if p.table.Load() == nil {
		return p.do(ctx, c, p.limits.Task)
	}
	if err := p.turns.Wait(ctx); err != nil {
		return result{err: err}, true
	}
	defer p.turns.End()
	if t := p.table.Load(); t != nil && t.changed != nil {
		wait, cancel := context.WithTimeout(ctx, sessionWait)
		defer cancel()
		if _, ok := p.session(wait.Done(), c.member.ID); !ok {
			return result{err: &dispatch.NotSentError{}}, true
		}
	}
	return p.do(ctx, c, p.limits.Task)
}

// do makes a call through the session of its worker; false if it is to be made directly.
func (p *Pool) do(ctx context.Context, c call, limit time.Duration) (result, bool) {
	s, ok := p.session(ctx.Done(), c.member.ID)
	if !ok {
		return result{err: &dispatch.NoAnswerError{Err: ctx.Err()}}, true
	}
	if s == nil {
		p.calls.WithLabelValues("direct").Inc()
		return result{}, false
	}
	if !dispatch.MayCall(ctx) {
		if c.lease != nil {
			return result{err: &dispatch.NoAnswerError{Err: context.DeadlineExceeded}}, true
		}
		return result{err: &dispatch.NotSentError{}}, true
	}
	r := s.do(ctx, c, limit)
	route := "agent"
	if isLost(r.err) {
		route = "lost"
	}
	p.calls.WithLabelValues(route).Inc()
	return r, true
}

// Start implements dispatch.Workers.
func (p *Pool) Start(ctx context.Context, m dispatch.Member, c dispatch.StartCall) (dispatch.CallAnswer, error) {
	if r, ok := p.doTask(ctx, call{member: m, start: &c}); ok {
		return r.answer, r.err
	}
	return p.local.Start(ctx, m, c)
}

// Stop implements dispatch.Workers.
func (p *Pool) Stop(ctx context.Context, m dispatch.Member, c dispatch.StopCall) (dispatch.CallAnswer, error) {
	if r, ok := p.doTask(ctx, call{member: m, stop: &c}); ok {
		return r.answer, r.err
	}
	return p.local.Stop(ctx, m, c)
}

// LimitCPU implements dispatch.Workers.
func (p *Pool) LimitCPU(ctx context.Context, m dispatch.Member, c dispatch.CPULimitCall) (dispatch.CallAnswer, error) {
	if r, ok := p.doTask(ctx, call{member: m, limit: &c}); ok {
		return r.answer, r.err
	}
	return p.local.LimitCPU(ctx, m, c)
}

// Renew implements dispatch.Workers.
func (p *Pool) Renew(ctx context.Context, m dispatch.Member, c dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	if r, ok := p.do(ctx, call{member: m, lease: &c}, p.limits.Lease+c.Wait); ok {
		return r.lease, r.err
	}
	return p.local.Renew(ctx, m, c)
}
