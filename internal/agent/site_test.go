package agent

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
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
