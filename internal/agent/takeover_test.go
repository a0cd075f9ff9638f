package agent

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/relay"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	siteDataCentres = 2
	// siteWorkers is the number of workers in each data centre.
	siteWorkers        = 100
	siteInstances      = 7
	siteCores          = 0.2
	siteLinkBytes      = 2.5e6
	serviceJobs        = 20
	serviceTasks       = 10
	loadInterval       = 25 * time.Millisecond
	burstSubmissions   = 80
	burstInterval      = 5 * time.Millisecond
	longRunningSpec    = "service"
	stallProbes        = 32
	taskCallTimeout    = 250 * time.Millisecond
	leaseCallTimeout   = 600 * time.Millisecond
	transportIdleLimit = 900 * time.Millisecond
	// serviceLimit is how long a service task may be away: it must run again within 6 s after the 3 s that follow its
	// last run.
	serviceLimit = 9 * time.Second
)

// siteWorker is the worker's side of the protocol. It is guarded by siteFleet.mu.
type siteWorker struct {
	id string
	// The worker's clock reads offset at time 0 and advances at rate.
	offset time.Duration
	rate   float64
	epoch  int64
	// leaseUntil is a reading of the worker's clock.
	leaseUntil time.Duration
	running    map[dispatch.Attempt]siteRun
	highestRun map[workflow.TaskID]int
	ends       []dispatch.End
	lastEnd    int64
	// ended is closed and replaced at each end.
	ended chan struct{}
}

// siteRun is a running attempt. endsAt is 0 for a service.
type siteRun struct{ startedAt, endsAt time.Duration }

func (w *siteWorker) clock(now time.Duration) time.Duration {
	return w.offset + time.Duration(float64(now)*w.rate)
}

// siteFleet holds the workers and checks the rules on their side.
type siteFleet struct {
	mu      sync.Mutex
	workers map[string]*siteWorker
	// running holds the worker of each running task.
	running map[workflow.TaskID]*siteWorker
	// stoppedAt is when a service task that is not running ran last.
	stoppedAt map[workflow.TaskID]time.Duration
	// done counts the successful ends of each task; doneConfirmed holds those whose end was confirmed.
	done          map[workflow.TaskID]int
	doneConfirmed map[workflow.TaskID]bool
	violations    []string
	lapsed        int
	// fenced counts the calls refused by epoch, started the accepted starts.
	fenced, started int
	// shortestLease is the least time that remained of a worker's lease when a call renewed it.
	shortestLease time.Duration
	longestAway   time.Duration
	// longestStall is by how much a goroutine of the test was woken too late.
	longestStall atomic.Int64
}

func newSiteFleet(rng *rand.Rand) *siteFleet {
	f := &siteFleet{workers: map[string]*siteWorker{}, running: map[workflow.TaskID]*siteWorker{},
		stoppedAt: map[workflow.TaskID]time.Duration{}, done: map[workflow.TaskID]int{},
		doneConfirmed: map[workflow.TaskID]bool{}, shortestLease: time.Hour}
	for _, w := range fleet(siteDataCentres, siteWorkers) {
		f.workers[w.ID] = &siteWorker{id: w.ID, offset: time.Duration(rng.Int64N(int64(time.Hour))),
			rate: 0.99 + 0.02*rng.Float64(), running: map[dispatch.Attempt]siteRun{},
			highestRun: map[workflow.TaskID]int{}, ended: make(chan struct{})}
	}
	return f
}

func (f *siteFleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// settle ends the attempts whose work is done or whose lease has expired.
func (f *siteFleet) settle(w *siteWorker, now time.Duration) {
	for a, r := range w.running {
		switch {
		case r.endsAt > 0 && r.endsAt <= now && w.clock(r.endsAt) < w.leaseUntil:
			f.end(w, a, r.endsAt, dispatch.EndDone)
		case w.clock(now) >= w.leaseUntil:
			f.lapsed++
			f.end(w, a, now, dispatch.EndLapsed)
		}
	}
}

func (f *siteFleet) end(w *siteWorker, a dispatch.Attempt, at time.Duration, o dispatch.Outcome) {
	if w.running[a].endsAt == 0 {
		f.stoppedAt[a.Task] = at
	}
	if o == dispatch.EndDone {
		f.done[a.Task]++
	}
	delete(w.running, a)
	delete(f.running, a.Task)
	w.lastEnd++
	w.ends = append(w.ends, dispatch.End{Number: w.lastEnd, Attempt: a, Outcome: o})
	close(w.ended)
	w.ended = make(chan struct{})
}

// run settles all workers at short intervals until ctx ends.
func (f *siteFleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		now := clock.Now()
		for _, w := range f.workers {
			f.settle(w, now)
		}
		for id, at := range f.stoppedAt {
			f.longestAway = max(f.longestAway, now-at)
			if now-at > serviceLimit {
				f.violate("service %s is away for more than %s", id, serviceLimit)
				delete(f.stoppedAt, id)
			}
		}
		f.mu.Unlock()
	}
}

// observeStalls measures until ctx ends how late the machine wakes a goroutine.
func (f *siteFleet) observeStalls(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for ctx.Err() == nil {
		before := clock.Now()
		time.Sleep(interval)
		late := int64(clock.Now() - before - interval)
		for old := f.longestStall.Load(); late > old && !f.longestStall.CompareAndSwap(old, late); {
			old = f.longestStall.Load()
		}
	}
}

// enter begins the handling of a call. It requires f.mu.
func (f *siteFleet) enter(w *siteWorker, epoch int64) (time.Duration, dispatch.CallAnswer, error) {
	now := clock.Now()
	f.settle(w, now)
	a := dispatch.CallAnswer{StartedAt: 1, Clock: w.clock(now)}
	if epoch < w.epoch {
		f.fenced++
		return now, a, &dispatch.RefusedError{Reason: dispatch.ReasonFenced, Answer: a}
	}
	w.epoch = epoch
	return now, a, nil
}

func (f *siteFleet) extend(w *siteWorker, reading, until time.Duration) {
	if until <= w.leaseUntil {
		return
	}
	if len(w.running) > 0 {
		f.shortestLease = min(f.shortestLease, w.leaseUntil-reading)
	}
	w.leaseUntil = until
}

func (f *siteFleet) start(w *siteWorker, c dispatch.StartCall) (dispatch.CallAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, a, err := f.enter(w, c.Epoch)
	if err != nil {
		return a, err
	}
	if _, ok := w.running[c.Attempt]; ok {
		f.extend(w, a.Clock, c.Deadline)
		return a, nil
	}
	switch {
	case c.Run <= w.highestRun[c.Task]:
		return a, &dispatch.RefusedError{Reason: dispatch.ReasonStaleAttempt, Answer: a}
	case c.Deadline <= a.Clock:
		return a, &dispatch.RefusedError{Reason: dispatch.ReasonDeadlinePassed, Answer: a}
	}
	if other := f.running[c.Task]; other != nil {
		if f.settle(other, now); f.running[c.Task] != nil {
			f.violate("%s starts as run %d on %s while it runs on %s", c.Task, c.Run, w.id, other.id)
		}
	}
	if f.doneConfirmed[c.Task] {
		f.violate("%s starts as run %d on %s after its end was confirmed", c.Task, c.Run, w.id)
	}
	r := siteRun{startedAt: now}
	if c.Spec != longRunningSpec {
		d, err := time.ParseDuration(c.Spec)
		if err != nil {
			return a, &dispatch.RefusedError{Reason: dispatch.ReasonInvalid, Answer: a}
		}
		r.endsAt = now + d
	}
	f.extend(w, a.Clock, c.Deadline)
	f.started++
	w.highestRun[c.Task], w.running[c.Attempt], f.running[c.Task] = c.Run, r, w
	delete(f.stoppedAt, c.Task)
	return a, nil
}

func (f *siteFleet) stop(w *siteWorker, c dispatch.StopCall) (dispatch.CallAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, a, err := f.enter(w, c.Epoch)
	if err != nil {
		return a, err
	}
	w.highestRun[c.Task] = max(w.highestRun[c.Task], c.Run)
	if _, ok := w.running[c.Attempt]; ok {
		f.end(w, c.Attempt, now, dispatch.EndStopped)
	}
	return a, nil
}

func (f *siteFleet) limitCPU(w *siteWorker, c dispatch.CPULimitCall) (dispatch.CallAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, a, err := f.enter(w, c.Epoch)
	return a, err
}

// renew answers at an end, or after the wait of the call.
func (f *siteFleet) renew(w *siteWorker, c dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, a, err := f.enter(w, c.Epoch)
	if err != nil {
		return dispatch.LeaseAnswer{}, err
	}
	f.extend(w, a.Clock, c.ExpiresAt)
	for len(w.ends) > 0 && w.ends[0].Number <= c.LastStoredEnd {
		if e := &w.ends[0]; e.Outcome == dispatch.EndDone {
			f.doneConfirmed[e.Task] = true
		}
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && c.Wait > 0 {
		ended := w.ended
		f.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(c.Wait):
		}
		f.mu.Lock()
		f.settle(w, clock.Now())
	}
	now := clock.Now()
	out := dispatch.LeaseAnswer{StartedAt: 1, Clock: w.clock(now), Ends: append([]dispatch.End(nil), w.ends...)}
	for attempt, r := range w.running {
		running := dispatch.Running{Attempt: attempt, Percent: 100}
		if r.endsAt > 0 {
			running.Percent = int(100 * (now - r.startedAt) / max(1, r.endsAt-r.startedAt))
		}
		out.Running = append(out.Running, running)
	}
	return out, nil
}

// countServices returns the number of service tasks that run.
func (f *siteFleet) countServices() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, r := range w.running {
			if r.endsAt == 0 {
				n++
			}
		}
	}
	return n
}

// countFenced returns the number of workers that refuse all epochs before the given one.
func (f *siteFleet) countFenced(epoch int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if w.epoch >= epoch {
			n++
		}
	}
	return n
}

func (f *siteFleet) refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fenced
}

// gate stands for the process of an instance. While it is closed, nothing that the instance does takes effect outside.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
	dead   bool
}

// pass waits while the gate is closed. It returns false once the process is dead.
func (g *gate) pass() bool {
	for {
		g.mu.Lock()
		closed, dead := g.closed, g.dead
		g.mu.Unlock()
		if closed == nil || dead {
			return !dead
		}
		<-closed
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil || g.dead
}

// open lets everything that waits go on. It fails if dead is set.
func (g *gate) open(dead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = g.dead || dead
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// wireHalf is one direction of a session. A reader that was frozen still gets what was sent before the writer closed.
type wireHalf struct {
	mu     sync.Mutex
	change sync.Cond
	data   bytes.Buffer
	closed bool
	err    error
}

func newWireHalf() *wireHalf {
	h := &wireHalf{}
	h.change.L = &h.mu
	return h
}

func (h *wireHalf) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.data.Len() == 0 && !h.closed {
		h.change.Wait()
	}
	if h.data.Len() == 0 && h.err != nil {
		return 0, h.err
	}
	return h.data.Read(b)
}

func (h *wireHalf) write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.err == errIdle:
		// Nobody answers the packets, so the writer does not notice.
		return len(b), nil
	case h.closed:
		return 0, net.ErrClosed
	}
	h.change.Broadcast()
	return h.data.Write(b)
}

// shut ends a direction. The reader gets err after the remaining bytes, or io.EOF if err is nil.
func (h *wireHalf) shut(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.err == nil {
		h.err = err
	}
	h.change.Broadcast()
}

func (h *wireHalf) discard() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.data.Reset()
}

func (h *wireHalf) unread() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.data.Len()
}

// wireEnd is one end of a session between two instances.
type wireEnd struct {
	gate    *gate
	in, out *wireHalf
}

var errIdle = errors.New("no recent network activity")

func newWire(a, b *gate) (*wireEnd, *wireEnd) {
	x, y := newWireHalf(), newWireHalf()
	return &wireEnd{gate: a, in: x, out: y}, &wireEnd{gate: b, in: y, out: x}
}

func (e *wireEnd) Read(b []byte) (int, error) {
	n, err := e.in.read(b)
	if !e.gate.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (e *wireEnd) Write(b []byte) (int, error) {
	if !e.gate.pass() {
		return 0, net.ErrClosed
	}
	return e.out.write(b)
}

func (e *wireEnd) Close() error {
	e.gate.pass()
	e.in.shut(net.ErrClosed)
	e.in.discard()
	e.out.shut(nil)
	return nil
}

func (e *wireEnd) SetWriteDeadline(time.Time) error { return nil }

// timeOut ends the session at the peer of a frozen instance.
func (e *wireEnd) timeOut() {
	e.in.shut(nil)
	e.out.shut(errIdle)
}

// site has instances with all parts that take part in ownership and calls, which share a log and a fleet.
type site struct {
	t         *testing.T
	log       *memlog.Log
	fleet     *siteFleet
	ctx       context.Context
	instances []*siteInstance
	logs      *lockedBuffer
	mu        sync.Mutex
	ends      []*wireEnd
	submitted []workflow.JobID
	tasks     map[workflow.JobID]int
	rng       *rand.Rand
}

type siteInstance struct {
	gate
	// logGate closes the connection to the log alone.
	logGate          gate
	name, dataCentre string
	site             *site
	pool             *Pool
	server           *Server
	owner            *dispatch.Owner
	catalog          *catalog.Catalog
	owns             atomic.Bool
	// starts counts the starts that the instance has sent to workers.
	starts atomic.Int64
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// newSite starts the instances and waits until all services run.
func newSite(t *testing.T, seed uint64) *site {
	ctx, cancel := context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(seed, 11))
	s := &site{t: t, log: memlog.New(), fleet: newSiteFleet(rng), ctx: ctx, logs: &lockedBuffer{}, rng: rng,
		tasks: map[workflow.JobID]int{}}
	var members []eventlog.Entry
	for id := range s.fleet.workers {
		members = append(members, eventlog.Entry{Key: id, Value: []byte("{}")})
	}
	s.append("workers", members...)
	for i := range siteInstances {
		inst := &siteInstance{name: fmt.Sprint("instance-", i), dataCentre: fmt.Sprint("dc", i%siteDataCentres), site: s}
		e, err := catalog.EndpointEntry(&catalog.Endpoint{Instance: inst.name, Addr: inst.name, Fingerprint: []byte{1},
			DataCentre: inst.dataCentre, Cores: siteCores, LinkBytesPerSecond: siteLinkBytes})
		require.NoError(t, err)
		s.append("submissions", e)
		s.instances = append(s.instances, inst)
	}
	var running sync.WaitGroup
	for _, i := range s.instances {
		for _, run := range i.parts() {
			running.Go(func() { run(ctx) })
		}
	}
	running.Go(func() { s.fleet.run(ctx) })
	for range stallProbes {
		running.Go(func() { s.fleet.observeStalls(ctx) })
	}
	t.Cleanup(func() {
		for _, i := range s.instances {
			i.open(true)
			i.logGate.open(true)
		}
		cancel()
		running.Wait()
		s.keepLogs()
	})
	for range serviceJobs {
		s.submit(longRunningSpec, serviceTasks)
	}
	s.eventually("all services run", func() bool { return s.fleet.countServices() == serviceJobs*serviceTasks })
	require.True(t, NeedsAgents(Instance{Cores: siteCores, LinkBytesPerSecond: siteLinkBytes}, len(s.fleet.workers)))
	return s
}

// keepLogs writes the logs of a failed test to a file.
func (s *site) keepLogs() {
	if !s.t.Failed() {
		return
	}
	f, err := os.CreateTemp("", "takeover-*.log")
	if err != nil {
		s.t.Log(err)
		return
	}
	defer f.Close()
	s.logs.mu.Lock()
	defer s.logs.mu.Unlock()
	if _, err := s.logs.b.WriteTo(f); err != nil {
		s.t.Log(err)
	}
	s.t.Log("logs are in ", f.Name())
}

func (s *site) append(topic string, entries ...eventlog.Entry) {
	_, err := s.log.Append(context.Background(), topic, nil, entries)
	assert.NoError(s.t, err)
}

func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	require.Eventually(s.t, ok, 8*time.Second, 5*time.Millisecond, what)
}

// parts returns the loops of an instance.
func (i *siteInstance) parts() []func(context.Context) {
	s := i.site
	logger := slog.New(slog.NewTextHandler(s.logs, nil)).With("at", i.name)
	i.catalog = catalog.New(logger)
	config := &queue.Current{}
	config.Advance(queue.New(1, []queue.Queue{{Host: "h", PathPrefix: "/", Terms: siteTerms}}, nil, queue.Limits{}))
	local := dispatch.NewLimitedWorkers(&siteCalls{i}, siteLinkBytes)
	i.server = NewServer(local, siteLinkBytes, logger)
	i.pool = NewPool(Instance{Name: i.name, DataCentre: i.dataCentre, Cores: siteCores, LinkBytesPerSecond: siteLinkBytes},
		local, Limits{Task: taskCallTimeout, Lease: leaseCallTimeout}, i.dial, i.catalog.Endpoints, logger,
		prometheus.NewRegistry())
	log := &gatedLog{i}
	standby := eventlog.PollIntervals{Wait: 250 * time.Millisecond, Pause: 200 * time.Millisecond,
		IdlePause: 50 * time.Millisecond}
	active := eventlog.PollIntervals{Wait: 500 * time.Millisecond, Pause: 10 * time.Millisecond,
		IdlePause: 10 * time.Millisecond}
	submissions := eventlog.NewFollower(log, "submissions", standby, logger,
		func(b eventlog.Batch) { i.owner.SubmissionsChanged(i.catalog.ApplySubmissions(b)) })
	progress := eventlog.NewFollower(log, "progress", standby, logger,
		func(b eventlog.Batch) { i.owner.ProgressRead(b, i.catalog.ApplyProgress(b.Entries)) })
	decode := func(id string, _ []byte) (dispatch.Member, error) {
		dataCentre := "dc" + strings.Split(id, "-")[1]
		return dispatch.Member{Incarnation: dispatch.Incarnation{ID: id, StartedAt: 1}, Pool: "pool", Addr: id,
			DataCentre: dataCentre, Capacity: resource.Vector{MilliCores: 16000, MemoryMB: 64000}}, nil
	}
	i.owner = dispatch.NewOwner(dispatch.Settings{Instance: i.name, Cores: siteCores, LinkBytesPerSecond: siteLinkBytes,
		ProgressTopic: "progress", TasksTopic: "tasks", WorkersTopic: "workers", SubmissionsTopic: "submissions",
		Retention: time.Hour, Params: dispatch.Params{Lease: 5 * time.Second, Isolation: 5 * time.Second}}, log, i.pool,
		nil, decode, config, i.catalog, dispatch.Views{Submissions: &gatedView{submissions, &i.gate}, Progress: progress},
		func(owns bool) {
			i.owns.Store(owns)
			submissions.SetPollIntervals(standby)
			if owns {
				submissions.SetPollIntervals(active)
			}
		}, logger)
	closures := eventlog.NewFollower(log, "closures", active, logger,
		func(b eventlog.Batch) { i.owner.ClosuresRead(nil, b.AsOf) })
	return []func(context.Context){submissions.Run, progress.Run, closures.Run, i.owner.Run}
}

var siteTerms = workflow.Terms{Queue: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Allowance: time.Second}

// gatedView pauses the goroutine of the owner, which asks for the age of the view in each step.
type gatedView struct {
	catalog.Freshness
	gate *gate
}

func (v *gatedView) AsOf() (time.Duration, bool) {
	v.gate.pass()
	return v.Freshness.AsOf()
}

// gatedLog is an instance's connection to the log.
type gatedLog struct{ i *siteInstance }

const logDelay = 2 * time.Millisecond

func (l *gatedLog) call(do func() error) error {
	if !l.i.pass() || !l.i.logGate.pass() {
		return &eventlog.FencedError{}
	}
	time.Sleep(logDelay)
	err := do()
	if !l.i.pass() || !l.i.logGate.pass() {
		return &eventlog.FencedError{}
	}
	return err
}

func (l *gatedLog) Append(ctx context.Context, topic string, p *eventlog.Producer,
	entries []eventlog.Entry) (offset int64, err error) {
	err = l.call(func() (err error) { offset, err = l.i.site.log.Append(ctx, topic, p, entries); return })
	return offset, err
}

func (l *gatedLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (p eventlog.Page, err error) {
	err = l.call(func() (err error) { p, err = l.i.site.log.Read(ctx, topic, from, wait); return })
	return p, err
}

func (l *gatedLog) Newest(ctx context.Context, topic string) (p eventlog.Page, err error) {
	err = l.call(func() (err error) { p, err = l.i.site.log.Newest(ctx, topic); return })
	return p, err
}

// siteCalls makes the calls of an instance to the workers. A call that its caller has given up still arrives.
type siteCalls struct{ i *siteInstance }

func siteCall[T any](ctx context.Context, i *siteInstance, m dispatch.Member, limit time.Duration,
	receive func(*siteWorker) (T, error)) (T, error) {
	type outcome struct {
		answer T
		err    error
	}
	var zero T
	answered := make(chan outcome, 1)
	latency := time.Millisecond
	if w := i.site.fleet.workers[m.ID]; !strings.HasPrefix(w.id, "w-"+strings.TrimPrefix(i.dataCentre, "dc")) {
		latency = 4 * time.Millisecond
	}
	go func() {
		time.Sleep(latency)
		if !i.pass() {
			return
		}
		a, err := receive(i.site.fleet.workers[m.ID])
		time.Sleep(latency)
		answered <- outcome{a, err}
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	err := context.DeadlineExceeded
	select {
	case o := <-answered:
		if i.pass() {
			return o.answer, o.err
		}
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	i.pass()
	return zero, &dispatch.NoAnswerError{Err: err}
}

func (c *siteCalls) Start(ctx context.Context, m dispatch.Member, call dispatch.StartCall) (dispatch.CallAnswer, error) {
	c.i.starts.Add(1)
	return siteCall(ctx, c.i, m, taskCallTimeout, func(w *siteWorker) (dispatch.CallAnswer, error) {
		return c.i.site.fleet.start(w, call)
	})
}

func (c *siteCalls) Stop(ctx context.Context, m dispatch.Member, call dispatch.StopCall) (dispatch.CallAnswer, error) {
	return siteCall(ctx, c.i, m, taskCallTimeout, func(w *siteWorker) (dispatch.CallAnswer, error) {
		return c.i.site.fleet.stop(w, call)
	})
}

func (c *siteCalls) LimitCPU(ctx context.Context, m dispatch.Member, call dispatch.CPULimitCall) (
	dispatch.CallAnswer, error) {
	return siteCall(ctx, c.i, m, taskCallTimeout, func(w *siteWorker) (dispatch.CallAnswer, error) {
		return c.i.site.fleet.limitCPU(w, call)
	})
}

func (c *siteCalls) Renew(ctx context.Context, m dispatch.Member, call dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	return siteCall(ctx, c.i, m, leaseCallTimeout+call.Wait, func(w *siteWorker) (dispatch.LeaseAnswer, error) {
		return c.i.site.fleet.renew(w, call)
	})
}

// dial opens a session. An instance that is frozen or lost does not answer.
func (i *siteInstance) dial(ctx context.Context, to catalog.Endpoint) (relay.Stream, error) {
	i.pass()
	s := i.site
	for _, peer := range s.instances {
		if peer.name != to.Instance || peer.isClosed() {
			continue
		}
		time.Sleep(2 * time.Millisecond)
		near, far := newWire(&i.gate, &peer.gate)
		s.mu.Lock()
		s.ends = append(s.ends, near, far)
		s.mu.Unlock()
		go peer.server.Serve(s.ctx, i.name, far)
		return near, nil
	}
	<-ctx.Done()
	return nil, &relay.UnreachableError{Peer: to.Instance, Err: ctx.Err()}
}

// freeze stops an instance. If its transport stops too, the peers end their sessions with it after some time.
func (s *site) freeze(i *siteInstance, transport bool) {
	i.close()
	if !transport {
		return
	}
	time.AfterFunc(transportIdleLimit, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range s.ends {
			if e.gate == &i.gate && i.isClosed() {
				e.timeOut()
			}
		}
	})
}

// thaw lets a frozen instance go on, and returns how many bytes of sessions await it.
func (s *site) thaw(i *siteInstance) (unread int) {
	s.mu.Lock()
	for _, e := range s.ends {
		if e.gate == &i.gate {
			unread += e.in.unread()
		}
	}
	s.mu.Unlock()
	i.open(false)
	return unread
}

func (s *site) submit(spec string, tasks int) {
	s.mu.Lock()
	id := workflow.JobID(fmt.Sprintf("%016x", 1+len(s.submitted)))
	s.submitted = append(s.submitted, id)
	s.tasks[id] = tasks
	s.mu.Unlock()
	step := workflow.Step{Count: tasks, Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}}
	if step.LongRunning = spec == longRunningSpec; !step.LongRunning {
		step.Estimate, _ = time.ParseDuration(spec)
	}
	e, err := catalog.SubmissionEntry(&workflow.Submission{Job: id, Spec: spec, Steps: []workflow.Step{step},
		Terms: siteTerms, Accepted: time.Now()})
	assert.NoError(s.t, err)
	s.append("submissions", e)
}

func (s *site) submitShort() {
	s.mu.Lock()
	d, n := time.Duration(40+s.rng.IntN(500))*time.Millisecond, 1+s.rng.IntN(4)
	s.mu.Unlock()
	s.submit(d.String(), n)
}

// random returns a duration of less than limit.
func (s *site) random(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *site) burst() {
	for range burstSubmissions {
		s.submitShort()
		time.Sleep(burstInterval)
	}
}

// load submits short tasks until the returned function is called.
func (s *site) load() (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for s.ctx.Err() == nil {
			select {
			case <-done:
				return
			case <-time.After(loadInterval):
				s.submitShort()
			}
		}
	}()
	return func() { close(done); <-stopped }
}

func (s *site) currentOwner() *siteInstance {
	for _, i := range s.instances {
		if i.owns.Load() && !i.isClosed() {
			return i
		}
	}
	return nil
}

// ownerName returns the name of the current owner; empty if there is none. Names are compared in place of instances, whose
// fields change while a failed assertion prints them.
func (s *site) ownerName() string {
	if i := s.currentOwner(); i != nil {
		return i.name
	}
	return ""
}

// others returns the instances other than i in random order.
func (s *site) others(i *siteInstance) []*siteInstance {
	var out []*siteInstance
	for _, o := range s.instances {
		if o != i {
			out = append(out, o)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}

// busiestAgent returns the instance other than the owner that sends most starts during d.
func (s *site) busiestAgent(owner *siteInstance, d time.Duration) *siteInstance {
	before := map[*siteInstance]int64{}
	for _, i := range s.instances {
		before[i] = i.starts.Load()
	}
	time.Sleep(d)
	var busiest *siteInstance
	for _, i := range s.others(owner) {
		if busiest == nil || i.starts.Load()-before[i] > busiest.starts.Load()-before[busiest] {
			busiest = i
		}
	}
	return busiest
}

// awaitTakeover waits until another instance than the given one is the owner and all workers refuse earlier epochs.
func (s *site) awaitTakeover(from *siteInstance, since time.Time) *siteInstance {
	s.t.Helper()
	var next *siteInstance
	s.eventually("another owner", func() bool { next = s.currentOwner(); return next != nil && next != from })
	took := time.Since(since)
	epoch := next.catalog.Owner().Epoch
	s.eventually("all workers refuse the earlier owner",
		func() bool { return s.fleet.countFenced(epoch) == len(s.fleet.workers) })
	s.t.Logf("next owner after %d ms, all workers fenced after %d ms", took.Milliseconds(),
		time.Since(since).Milliseconds())
	return next
}

// verify waits until everything submitted has ended, and checks the rules.
func (s *site) verify() {
	s.t.Helper()
	open := func() (ids []workflow.JobID) {
		owner := s.currentOwner()
		if owner == nil {
			return s.submitted
		}
		for _, id := range s.submitted[serviceJobs:] {
			if j := owner.catalog.Find(id); j == nil || j.Record == nil || j.Record.State != workflow.Done {
				ids = append(ids, id)
			}
		}
		return ids
	}
	assert.Eventually(s.t, func() bool { return len(open()) == 0 }, 8*time.Second, 20*time.Millisecond)
	assert.Empty(s.t, open(), "submissions that are not done")
	f := s.fleet
	assert.Equal(s.t, serviceJobs*serviceTasks, f.countServices(), "services that run")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Empty(s.t, f.violations)
	assert.Zero(s.t, f.lapsed, "attempts that lapsed")
	for _, id := range s.submitted[serviceJobs:] {
		for k := range s.tasks[id] {
			if t := (workflow.TaskID{Job: id, Index: k}); f.done[t] == 0 {
				assert.Fail(s.t, "a task of a submission that is done has not ended", t)
			}
		}
	}
	s.t.Logf("%d submissions, %d starts, %d calls fenced, shortest lease %d ms, longest absence of a service %d ms, longest stall %d ms",
		len(s.submitted), f.started, f.fenced, f.shortestLease.Milliseconds(), f.longestAway.Milliseconds(),
		time.Duration(f.longestStall.Load()).Milliseconds())
}

var takeoverSeed = flag.Uint64("takeover.seed", 1, "seed of the tests of takeovers")

// Guards against lapsed, lost and doubled attempts when the owner and half of the other instances are lost during a
// burst.
func TestOwnerAndHalfOfTheAgentsAreLost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3**takeoverSeed)
	stop := s.load()
	time.Sleep(1500 * time.Millisecond)
	owner := s.currentOwner()
	require.NotNil(t, owner)
	others := s.others(owner)
	var burst sync.WaitGroup
	burst.Go(s.burst)
	time.Sleep(s.random(burstSubmissions * burstInterval))
	lost := time.Now()
	for _, i := range append(others[:len(others)/2:len(others)/2], owner) {
		s.freeze(i, true)
	}
	burst.Wait()
	s.awaitTakeover(owner, lost)
	time.Sleep(2 * time.Second)
	stop()
	s.verify()
}

// Guards against lapsed and doubled attempts when an agent stops for a while, with and without its connections, and then
// carries out what it had received.
func TestAgentFreezesAndReturns(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3**takeoverSeed+1)
	stop := s.load()
	for _, transport := range []bool{true, false} {
		owner := s.currentOwner()
		require.NotNil(t, owner)
		agent := s.busiestAgent(owner, time.Second)
		frozen := time.Now()
		s.freeze(agent, transport)
		s.burst()
		time.Sleep(2*time.Second - time.Since(frozen))
		unread := s.thaw(agent)
		assert.Positive(t, unread, "bytes of calls that arrived meanwhile")
		time.Sleep(500 * time.Millisecond)
		t.Logf("%s returned to %d bytes of calls, transport stopped: %t", agent.name, unread, transport)
		assert.Equal(t, owner.name, s.ownerName(), "the owner keeps the ownership")
	}
	time.Sleep(time.Second)
	stop()
	s.verify()
}

// Guards against a paused owner that acts after its successor, itself or through an agent that was paused with it.
func TestPausedOwnerReturns(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3**takeoverSeed+2)
	stop := s.load()
	owner := s.currentOwner()
	require.NotNil(t, owner)
	agent := s.busiestAgent(owner, time.Second)
	pause := 3*time.Second + s.random(800*time.Millisecond)
	s.freeze(agent, true)
	s.burst()
	paused := time.Now()
	s.freeze(owner, true)
	next := s.awaitTakeover(owner, paused)
	time.Sleep(pause - time.Since(paused))
	fencedBefore := s.fleet.refused()
	// The log stays out of reach, so that only workers can tell the owner of its successor.
	owner.logGate.close()
	unread := s.thaw(agent)
	s.thaw(owner)
	returned := time.Now()
	assert.Eventually(t, func() bool { return !owner.owns.Load() }, time.Second, time.Millisecond,
		"the paused owner steps down")
	t.Logf("paused for %d ms, stepped down after %d ms, %d bytes of calls at the agent", time.Since(paused).Milliseconds(),
		time.Since(returned).Milliseconds(), unread)
	time.Sleep(500 * time.Millisecond)
	owner.logGate.open(false)
	time.Sleep(500 * time.Millisecond)
	assert.False(t, owner.owns.Load())
	assert.Equal(t, next.name, s.ownerName())
	assert.Greater(t, s.fleet.refused(), fencedBefore, "workers refuse calls of the paused owner")
	stop()
	s.verify()
}
