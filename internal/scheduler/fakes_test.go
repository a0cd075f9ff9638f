package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/shard"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// fakeWorker enforces epochs, leases and idempotent starts as specified in docs/platform.md. Its clock reads one second
// when it starts.
type fakeWorker struct {
	id          instance.ID
	incarnation instance.Incarnation
	epoch       uint64
	bootedAt    time.Time
	expiry      time.Duration
	down        bool
	leaving     bool
	tasks       map[upstream.TaskRef]*fakeTask
	// newestAttempt holds the newest attempt number started by this incarnation, by job and task.
	newestAttempt map[string]int
	events        []upstream.TaskEvent
	lastEvent     uint64
}

// fakeTask is a running task; fails reports whether it ends as failed at end.
type fakeTask struct {
	req   upstream.StartRequest
	end   time.Time
	fails bool
}

// fleet implements Workers with a set of fake workers. It fails the test if a task runs on two of them.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	workers map[string]*fakeWorker
	starts  int
	resumed []upstream.StartRequest
	// fails, if set, is called for each started attempt and reports whether it fails after one second.
	fails func(w *fakeWorker, r upstream.StartRequest) bool
	// startsOn counts the starts by worker.
	startsOn map[instance.ID]int
}

type downError struct{}

func (downError) Error() string { return "worker is down" }

func (f *fleet) addWorker(addr string, id instance.ID) {
	f.workers[addr] = &fakeWorker{id: id, incarnation: "boot-1", bootedAt: time.Now(),
		tasks: map[upstream.TaskRef]*fakeTask{}, newestAttempt: map[string]int{}}
}

// reachableWorker returns the worker with the given address and the reading of its clock.
func (f *fleet) reachableWorker(addr string) (*fakeWorker, time.Duration, error) {
	w := f.workers[addr]
	if w == nil || w.down {
		return nil, 0, downError{}
	}
	w.endTasks(time.Now())
	return w, time.Since(w.bootedAt) + time.Second, nil
}

// endTasks ends the tasks whose run time is over, and all tasks if the lease has lapsed.
func (w *fakeWorker) endTasks(now time.Time) {
	lapsed := now.Sub(w.bootedAt)+time.Second >= w.expiry
	for ref, t := range w.tasks {
		switch {
		case t.fails && !now.Before(t.end):
			w.finish(ref, upstream.OutcomeFailed, "")
		case !t.req.Service && !now.Before(t.end):
			w.finish(ref, upstream.OutcomeDone, "")
		case lapsed:
			w.finish(ref, upstream.OutcomeEvicted, "cp-"+fmt.Sprint(ref))
		}
	}
}

func (w *fakeWorker) finish(ref upstream.TaskRef, o upstream.Outcome, checkpoint string) {
	w.lastEvent++
	w.events = append(w.events, upstream.TaskEvent{Number: w.lastEvent, TaskRef: ref, Outcome: o,
		Checkpoint: checkpoint, RunTime: time.Second})
	delete(w.tasks, ref)
}

func (f *fleet) Lease(_ context.Context, addr string, r upstream.LeaseRequest) (upstream.LeaseReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, clock, err := f.reachableWorker(addr)
	if err != nil {
		return upstream.LeaseReply{}, err
	}
	out := upstream.LeaseReply{Incarnation: w.incarnation, Clock: clock}
	if r.Epoch < w.epoch || r.Incarnation != "" && r.Incarnation != w.incarnation {
		out.Refusal, out.Epoch = upstream.RefusalStaleEpoch, w.epoch
		return out, nil
	}
	full := r.Full || r.Epoch > w.epoch
	w.epoch = r.Epoch
	if r.AsOf > 0 {
		w.expiry = max(w.expiry, r.AsOf+r.TTL)
	}
	for len(w.events) > 0 && w.events[0].Number <= r.AckEvents {
		w.events = w.events[1:]
	}
	out.Epoch, out.Expiry, out.Leaving, out.HasRunning = w.epoch, w.expiry, w.leaving, full
	out.Events = append(out.Events, w.events...)
	for ref := range w.tasks {
		if full {
			out.Running = append(out.Running, upstream.TaskReport{TaskRef: ref})
		}
	}
	return out, nil
}

func (f *fleet) Start(_ context.Context, addr string, r upstream.StartRequest) (upstream.TaskReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, clock, err := f.reachableWorker(addr)
	key := fmt.Sprint(r.Job, "/", r.Index)
	switch {
	case err != nil:
		return upstream.TaskReply{}, err
	case r.Epoch != w.epoch:
		return upstream.TaskReply{Refusal: upstream.RefusalStaleEpoch}, nil
	case r.Incarnation != w.incarnation:
		return upstream.TaskReply{Refusal: upstream.RefusalWrongIncarnation}, nil
	case clock >= w.expiry || clock >= r.NotAfter:
		return upstream.TaskReply{Refusal: upstream.RefusalNoLease}, nil
	case w.newestAttempt[key] >= r.Attempt:
		return upstream.TaskReply{Known: true}, nil
	}
	for _, o := range f.workers {
		o.endTasks(time.Now())
		for ref := range o.tasks {
			require.False(f.t, ref.Job == r.Job && ref.Index == r.Index, "task runs twice: %v", r.TaskRef)
		}
	}
	w.newestAttempt[key] = r.Attempt
	task := &fakeTask{req: r, end: time.Now().Add(r.RunTime)}
	if f.fails != nil && f.fails(w, r) {
		task.fails, task.end = true, time.Now().Add(time.Second)
	}
	w.tasks[r.TaskRef] = task
	f.starts++
	f.startsOn[w.id]++
	if r.Checkpoint != "" {
		f.resumed = append(f.resumed, r)
	}
	return upstream.TaskReply{}, nil
}

func (f *fleet) Stop(_ context.Context, addr string, r upstream.StopRequest) (upstream.TaskReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, _, err := f.reachableWorker(addr)
	if err != nil {
		return upstream.TaskReply{}, err
	}
	if w.tasks[r.TaskRef] == nil {
		return upstream.TaskReply{Refusal: upstream.RefusalUnknownTask}, nil
	}
	w.finish(r.TaskRef, r.Outcome, "cp-"+fmt.Sprint(r.TaskRef))
	return upstream.TaskReply{Known: true}, nil
}

func (f *fleet) started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

func (f *fleet) running() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.endTasks(time.Now())
		n += len(w.tasks)
	}
	return n
}

// network delivers link messages between the schedulers of one test.
type network struct {
	mu       sync.Mutex
	handlers map[string]link.Handler
}

type caller struct {
	net  *network
	self link.Peer
}

func (lc caller) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	lc.net.mu.Lock()
	h := lc.net.handlers[addr]
	lc.net.mu.Unlock()
	if h == nil {
		return nil, &link.CallError{Addr: addr, Err: downError{}}
	}
	return h(ctx, lc.self, m)
}

type mutableConfig struct {
	mu      sync.Mutex
	version *config.Version
}

func (cfg *mutableConfig) Current() *config.Version {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	return cfg.version
}

func (cfg *mutableConfig) set(version *config.Version) {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	cfg.version = version
}

func (cfg *mutableConfig) Changed() <-chan struct{} { return nil }

// testCluster is a deployment of fake workers, a stand-in platform and schedulers inside one synctest bubble.
type testCluster struct {
	t       *testing.T
	log     *standin.Log
	list    *standin.List
	fleet   *fleet
	net     *network
	version *config.Version
	// configSource is the source of manifests for the schedulers started from now on.
	configSource config.Source
}

const testShard = "bne-0"

func newTestCluster(t *testing.T, workers int) *testCluster {
	cl := &testCluster{t: t, log: standin.NewLog(standin.Limits{}, 1), list: standin.NewList(0, 10*time.Second),
		fleet: &fleet{t: t, workers: map[string]*fakeWorker{}, startsOn: map[instance.ID]int{}},
		net:   &network{handlers: map[string]link.Handler{}}}
	cl.version = &config.Version{Offset: 1, Manifest: &manifest.Manifest{RacksPerShard: 4,
		DataCentres: []manifest.DataCentre{{Name: "bne", Workers: workers}}, Prices: manifest.Prices{CoreHour: 3600000},
		Worker: manifest.Worker{Slots: 8, PerRack: 8, Capacity: resource.Vector{MilliCores: 8000, MemoryMB: 8000}},
		Kinds: []manifest.Kind{
			{Name: "rebid", Team: "office", Class: manifest.ClassBatch, Size: resource.Vector{MilliCores: 1000},
				RunTime: 20 * time.Second},
			{Name: "watch", Team: "office", Class: manifest.ClassService, Size: resource.Vector{MilliCores: 500},
				Replicas: 2},
		}}}
	cl.configSource = &mutableConfig{version: cl.version}
	for i := range workers {
		id := instance.ID(fmt.Sprintf("w%d", i))
		addr := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		cl.fleet.addWorker(addr, id)
		go cl.register(instance.Member{ID: id, Incarnation: "boot-1", Role: instance.RoleWorker,
			State: instance.StateLive, DataCentre: "bne", Addr: addr, Rack: i / 2, Slots: 8,
			Capacity: cl.version.Manifest.Worker.Capacity})
	}
	return cl
}

func (cl *testCluster) register(m instance.Member) {
	for range 2000 {
		if err := cl.list.Register(cl.t.Context(), m); err != nil {
			return
		}
		select {
		case <-cl.t.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// startScheduler starts a scheduler and returns it with a function that stops it as SIGTERM does.
func (cl *testCluster) startScheduler(id string) (*Scheduler, func() error) {
	s, _, stop := cl.startFaultyScheduler(id, 0)
	return s, stop
}

// startFaultyScheduler starts a scheduler with a fault injector; n distinguishes the incarnations of one id.
func (cl *testCluster) startFaultyScheduler(id string, n int) (*Scheduler, *faultInjector, func() error) {
	inc := instance.Incarnation(fmt.Sprint(id, "-", n))
	addr := fmt.Sprint("link-", id, "-", n)
	out := io.Writer(io.Discard)
	if os.Getenv("CLEMENTINE_TEST_LOG") != "" {
		out = os.Stderr
	}
	fi := &faultInjector{Log: cl.log, list: cl.list, Workers: cl.fleet,
		linkCaller: caller{cl.net, link.Peer{ID: instance.ID(id), Role: instance.RoleScheduler}}}
	l := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})).With("on", inc)
	s := New(Settings{ID: instance.ID(id), Incarnation: inc, DataCentre: "bne", LinkAddr: addr},
		Deps{Log: fi, List: fi, Link: fi, Workers: fi, Config: cl.configSource, Logger: l,
			Registry: prometheus.NewRegistry(), Health: &process.Health{},
			NewSlotAllocator: func(string, uint64, time.Duration) SlotAllocator {
				return &fakeAllocator{workers: map[instance.ID]int{}}
			}})
	cl.net.mu.Lock()
	cl.net.handlers[addr] = func(ctx context.Context, p link.Peer, m contract.Message) (contract.Message, error) {
		if fi.crashed.Load() || fi.isolated.Load() {
			return nil, &link.CallError{Addr: addr, Err: downError{}}
		}
		return s.Handle(ctx, p, m)
	}
	cl.net.mu.Unlock()
	ctx, cancel := context.WithCancel(cl.t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, fi, func() error {
		cancel()
		return <-done
	}
}

func (cl *testCluster) submit(job string, tasks int) { require.NoError(cl.t, cl.trySubmit(job, tasks)) }

func (cl *testCluster) trySubmit(job string, tasks int) error {
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0,
		&contract.Submit{Job: testShard + "~" + job, Kind: "rebid",
			Team: "office", Tasks: tasks, Submitted: time.Now(), Deadline: time.Now().Add(time.Hour)})
	require.NoError(cl.t, err)
	_, err = cl.log.Append(cl.t.Context(), datacentre.ShardStream(testShard), [][]byte{data})
	return err
}

// checkEnded replays the stream and requires that at least the given number of jobs exist and that all of their tasks
// are done.
func (cl *testCluster) checkEnded(jobs int) {
	state := attempt.New(testShard)
	r := shard.NewReplayer(testShard, state, 1)
	page, err := cl.log.Read(cl.t.Context(), datacentre.ShardStream(testShard), 1, 0, 0)
	require.NoError(cl.t, err)
	for i, data := range page.Records {
		_, err := r.Apply(uint64(i+1), data)
		require.NoError(cl.t, err)
	}
	require.Equal(cl.t, page.End, r.Next())
	done := 0
	for _, j := range state.JobStates("") {
		if j.Kind == "rebid" {
			require.Equal(cl.t, j.Tasks, j.Done, "%+v", j)
			done++
		}
	}
	require.GreaterOrEqual(cl.t, done, jobs)
	cl.t.Logf("%d jobs, %d starts, %d resumed, %d records, epoch %d", done, cl.fleet.starts, len(cl.fleet.resumed),
		page.End-1, r.Ownership().Epoch)
}

// injectFault restarts a random worker, or makes it unreachable or reachable.
func (f *fleet) injectFault(r *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[fmt.Sprintf("127.0.0.1:%d", 9000+r.IntN(len(f.workers)))]
	if r.IntN(2) == 0 {
		w.down = !w.down
		return
	}
	*w = fakeWorker{id: w.id, incarnation: w.incarnation + "x", bootedAt: time.Now(),
		tasks: map[upstream.TaskRef]*fakeTask{}, newestAttempt: map[string]int{}}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.down = false
	}
}

func (cl *testCluster) job(s *Scheduler, job string) contract.JobState {
	m, err := s.Handle(cl.t.Context(), link.Peer{}, &contract.JobStatus{Shard: testShard, Job: testShard + "~" + job})
	require.NoError(cl.t, err)
	jobs := m.(*contract.JobStatusReply).Jobs
	require.Len(cl.t, jobs, 1)
	return jobs[0]
}

func inSynctest(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }
