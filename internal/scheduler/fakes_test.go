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

// fakeWorker enforces epochs, leases and idempotent starts as docs/platform.md states them.
type fakeWorker struct {
	id      instance.ID
	boot    instance.Incarnation
	epoch   uint64
	began   time.Time
	expiry  time.Duration
	down    bool
	leaving bool
	tasks   map[upstream.TaskRef]*fakeTask
	seen    map[string]int
	events  []upstream.TaskEvent
	number  uint64
}

type fakeTask struct {
	req   upstream.StartRequest
	end   time.Time
	fails bool
}

// fleet is a set of workers behind one lock; it fails the test if a task runs in two places.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	workers map[string]*fakeWorker
	starts  int
	resumed []upstream.StartRequest
	// fails tells whether an attempt fails after a second on a worker.
	fails func(w *fakeWorker, r upstream.StartRequest) bool
	// startsOn holds the number of starts by worker.
	startsOn map[instance.ID]int
}

type downError struct{}

func (downError) Error() string { return "worker is down" }

func (f *fleet) add(addr string, id instance.ID) {
	f.workers[addr] = &fakeWorker{id: id, boot: "boot-1", began: time.Now(), tasks: map[upstream.TaskRef]*fakeTask{}, seen: map[string]int{}}
}

func (f *fleet) worker(addr string) (*fakeWorker, time.Duration, error) {
	w := f.workers[addr]
	if w == nil || w.down {
		return nil, 0, downError{}
	}
	w.run(time.Now())
	return w, time.Since(w.began) + time.Second, nil
}

// run ends the tasks that are done by now and those whose lease has lapsed.
func (w *fakeWorker) run(now time.Time) {
	lapsed := now.Sub(w.began)+time.Second >= w.expiry
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
	w.number++
	w.events = append(w.events, upstream.TaskEvent{Number: w.number, TaskRef: ref, Outcome: o, Checkpoint: checkpoint,
		RunTime: time.Second})
	delete(w.tasks, ref)
}

func (f *fleet) Lease(_ context.Context, addr string, r upstream.LeaseRequest) (upstream.LeaseReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, clock, err := f.worker(addr)
	if err != nil {
		return upstream.LeaseReply{}, err
	}
	out := upstream.LeaseReply{Boot: w.boot, Clock: clock}
	if r.Epoch < w.epoch || r.Boot != "" && r.Boot != w.boot {
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
	w, clock, err := f.worker(addr)
	key := fmt.Sprint(r.Job, "/", r.Index)
	switch {
	case err != nil:
		return upstream.TaskReply{}, err
	case r.Epoch != w.epoch:
		return upstream.TaskReply{Refusal: upstream.RefusalStaleEpoch}, nil
	case r.Boot != w.boot:
		return upstream.TaskReply{Refusal: upstream.RefusalWrongBoot}, nil
	case clock >= w.expiry || clock >= r.NotAfter:
		return upstream.TaskReply{Refusal: upstream.RefusalNoLease}, nil
	case w.seen[key] >= r.Attempt:
		return upstream.TaskReply{Known: true}, nil
	}
	for _, o := range f.workers {
		o.run(time.Now())
		for ref := range o.tasks {
			require.False(f.t, ref.Job == r.Job && ref.Index == r.Index, "task runs twice: %v", r.TaskRef)
		}
	}
	w.seen[key] = r.Attempt
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
	w, _, err := f.worker(addr)
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
		w.run(time.Now())
		n += len(w.tasks)
	}
	return n
}

// network carries link messages between schedulers of one test.
type network struct {
	mu       sync.Mutex
	handlers map[string]link.Handler
}

type caller struct {
	n    *network
	self link.Peer
}

func (c caller) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	c.n.mu.Lock()
	h := c.n.handlers[addr]
	c.n.mu.Unlock()
	if h == nil {
		return nil, &link.CallError{Addr: addr, Err: downError{}}
	}
	return h(ctx, c.self, m)
}

type changingConfig struct {
	mu sync.Mutex
	v  *config.Version
}

func (c *changingConfig) Current() *config.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.v
}

func (c *changingConfig) set(v *config.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.v = v
}

func (c *changingConfig) Changed() <-chan struct{} { return nil }

// world is a deployment inside one synctest bubble.
type world struct {
	t     *testing.T
	log   *standin.Log
	list  *standin.List
	fleet *fleet
	net   *network
	v     *config.Version
	// source is what schedulers that start from now on follow.
	source config.Source
}

const testShard = "bne-0"

func newWorld(t *testing.T, workers int) *world {
	w := &world{t: t, log: standin.NewLog(standin.Limits{}, 1), list: standin.NewList(0, 10*time.Second),
		fleet: &fleet{t: t, workers: map[string]*fakeWorker{}, startsOn: map[instance.ID]int{}}, net: &network{handlers: map[string]link.Handler{}}}
	w.v = &config.Version{Offset: 1, Manifest: &manifest.Manifest{RacksPerShard: 4,
		DataCentres: []manifest.DataCentre{{Name: "bne", Workers: workers}}, Prices: manifest.Prices{CoreHour: 3600000},
		Worker: manifest.Worker{Slots: 8, PerRack: 8, Capacity: resource.Vector{MilliCores: 8000, MemoryMB: 8000}},
		Kinds: []manifest.Kind{
			{Name: "rebid", Team: "office", Class: manifest.ClassBatch, Size: resource.Vector{MilliCores: 1000}, RunTime: 20 * time.Second},
			{Name: "watch", Team: "office", Class: manifest.ClassService, Size: resource.Vector{MilliCores: 500}, Replicas: 2},
		}}}
	w.source = &changingConfig{v: w.v}
	for i := range workers {
		id := instance.ID(fmt.Sprintf("w%d", i))
		addr := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		w.fleet.add(addr, id)
		go w.register(instance.Member{ID: id, Incarnation: "boot-1", Role: instance.RoleWorker, State: instance.StateLive,
			DataCentre: "bne", Addr: addr, Rack: i / 2, Slots: 8, Capacity: w.v.Manifest.Worker.Capacity})
	}
	return w
}

func (w *world) register(m instance.Member) {
	for range 2000 {
		if err := w.list.Register(w.t.Context(), m); err != nil {
			return
		}
		select {
		case <-w.t.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// scheduler starts a process and returns it and the function that stops it as SIGTERM does.
func (w *world) scheduler(id string) (*Scheduler, func() error) {
	s, _, stop := w.cutScheduler(id, 0)
	return s, stop
}

func (w *world) cutScheduler(id string, n int) (*Scheduler, *cut, func() error) {
	inc := instance.Incarnation(fmt.Sprint(id, "-", n))
	addr := fmt.Sprint("link-", id, "-", n)
	out := io.Writer(io.Discard)
	if os.Getenv("CLEMENTINE_TEST_LOG") != "" {
		out = os.Stderr
	}
	c := &cut{Log: w.log, list: w.list, Workers: w.fleet, calls: caller{w.net, link.Peer{ID: instance.ID(id), Role: instance.RoleScheduler}}}
	l := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})).With("on", inc)
	s := New(Settings{ID: instance.ID(id), Incarnation: inc, DataCentre: "bne", LinkAddr: addr}, Deps{Log: c, List: c, Link: c,
		Workers: c, Config: w.source, Logger: l, Registry: prometheus.NewRegistry(), Health: &process.Health{},
		NewLedger: func(string, uint64, time.Duration) Ledger { return &fakeLedger{workers: map[instance.ID]int{}} }})
	w.net.mu.Lock()
	w.net.handlers[addr] = func(ctx context.Context, p link.Peer, m contract.Message) (contract.Message, error) {
		if c.down.Load() || c.isolated.Load() {
			return nil, &link.CallError{Addr: addr, Err: downError{}}
		}
		return s.Handle(ctx, p, m)
	}
	w.net.mu.Unlock()
	ctx, cancel := context.WithCancel(w.t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, c, func() error {
		cancel()
		return <-done
	}
}

func (w *world) submit(job string, tasks int) { require.NoError(w.t, w.trySubmit(job, tasks)) }

func (w *world) trySubmit(job string, tasks int) error {
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Submit{Job: testShard + "~" + job, Kind: "rebid",
		Team: "office", Tasks: tasks, Submitted: time.Now(), Deadline: time.Now().Add(time.Hour)})
	require.NoError(w.t, err)
	_, err = w.log.Append(w.t.Context(), datacentre.ShardStream(testShard), [][]byte{data})
	return err
}

// checkEnded replays the stream and requires that every task of every job has ended well.
func (w *world) checkEnded(jobs int) {
	state := attempt.New(testShard)
	r := shard.NewReplayer(testShard, state, 1)
	page, err := w.log.Read(w.t.Context(), datacentre.ShardStream(testShard), 1, 0, 0)
	require.NoError(w.t, err)
	for i, data := range page.Records {
		_, err := r.Apply(uint64(i+1), data)
		require.NoError(w.t, err)
	}
	require.Equal(w.t, page.End, r.Next())
	done := 0
	for _, j := range state.JobStates("") {
		if j.Kind == "rebid" {
			require.Equal(w.t, j.Tasks, j.Done, "%+v", j)
			done++
		}
	}
	require.GreaterOrEqual(w.t, done, jobs)
	w.t.Logf("%d jobs, %d starts, %d resumed, %d records, epoch %d", done, w.fleet.starts, len(w.fleet.resumed), page.End-1, r.Owner().Epoch)
}

// disturb restarts a worker, or makes it vanish or return.
func (f *fleet) disturb(r *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[fmt.Sprintf("127.0.0.1:%d", 9000+r.IntN(len(f.workers)))]
	if r.IntN(2) == 0 {
		w.down = !w.down
		return
	}
	*w = fakeWorker{id: w.id, boot: w.boot + "x", began: time.Now(), tasks: map[upstream.TaskRef]*fakeTask{}, seen: map[string]int{}}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.down = false
	}
}

func (w *world) job(s *Scheduler, job string) contract.JobState {
	m, err := s.Handle(w.t.Context(), link.Peer{}, &contract.JobStatus{Shard: testShard, Job: testShard + "~" + job})
	require.NoError(w.t, err)
	jobs := m.(*contract.JobStatusReply).Jobs
	require.Len(w.t, jobs, 1)
	return jobs[0]
}

func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }
