package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// faultInjector wraps the dependencies of one scheduler. It cuts the scheduler off from everything as in a crash
// (crashed), from everything except the workers (isolated), or from the workers with the given addresses (unreachable).
type faultInjector struct {
	crashed, isolated atomic.Bool
	unreachable       sync.Map
	platform.Log
	list platform.List
	Workers
	linkCaller link.Caller
}

func (fi *faultInjector) platformErr(op string) error {
	if fi.crashed.Load() || fi.isolated.Load() {
		return &platform.UnavailableError{Op: op, MayHaveApplied: true, Err: downError{}}
	}
	return nil
}

func (fi *faultInjector) workerErr(addr string) error {
	if unreachable, _ := fi.unreachable.Load(addr); unreachable == true || fi.crashed.Load() {
		return downError{}
	}
	return nil
}

func (fi *faultInjector) heal() {
	fi.crashed.Store(false)
	fi.isolated.Store(false)
	fi.unreachable.Clear()
}

func (fi *faultInjector) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	if err := fi.platformErr("append"); err != nil {
		return 0, err
	}
	return fi.Log.Append(ctx, stream, records)
}

func (fi *faultInjector) Read(ctx context.Context, stream string, from uint64, limit int,
	wait time.Duration) (platform.Page, error) {
	page, err := fi.Log.Read(ctx, stream, from, limit, wait)
	if cutErr := fi.platformErr("read"); cutErr != nil {
		return platform.Page{}, cutErr
	}
	return page, err
}

func (fi *faultInjector) Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error) {
	if err := fi.platformErr("members"); err != nil {
		return nil, err
	}
	return fi.list.Members(ctx, roles...)
}

func (fi *faultInjector) Register(ctx context.Context, m instance.Member) error {
	if err := fi.platformErr("register"); err != nil {
		return err
	}
	return fi.list.Register(ctx, m)
}

func (fi *faultInjector) Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error {
	if err := fi.platformErr("deregister"); err != nil {
		return err
	}
	return fi.list.Deregister(ctx, id, inc)
}

func (fi *faultInjector) Lease(ctx context.Context, addr string, r upstream.LeaseRequest) (upstream.LeaseReply, error) {
	if err := fi.workerErr(addr); err != nil {
		return upstream.LeaseReply{}, err
	}
	return fi.Workers.Lease(ctx, addr, r)
}

func (fi *faultInjector) Start(ctx context.Context, addr string, r upstream.StartRequest) (upstream.TaskReply, error) {
	if err := fi.workerErr(addr); err != nil {
		return upstream.TaskReply{}, err
	}
	return fi.Workers.Start(ctx, addr, r)
}

func (fi *faultInjector) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	if fi.crashed.Load() || fi.isolated.Load() {
		return nil, &link.CallError{Addr: addr, Err: downError{}}
	}
	return fi.linkCaller.Call(ctx, addr, m)
}

// Guards against tasks that run twice, resume twice or get lost while schedulers crash or are partitioned, workers
// restart or become unreachable, and the log is down or loses answers. The fleet fails the test as soon as a task runs
// on two workers; a violated invariant of package attempt fails it as well.
func TestFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed),
			func(t *testing.T) { inSynctest(t, func(t *testing.T) { runFaults(t, seed) }) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	cl := newTestCluster(t, 6)
	cl.version.Manifest.Policies.IsolationLimit = 40 * time.Second
	cl.version.Manifest.Kinds[0].MaxAttempts = 1000
	var stops []func() error
	current := map[string]*faultInjector{}
	spawn := func(id string, inc int) {
		s, fi, stop := cl.startFaultyScheduler(id, inc)
		_ = s
		current[id] = fi
		stops = append(stops, stop)
	}
	for i := range 3 {
		spawn(fmt.Sprint("s", i), 0)
	}
	jobs := 0
	for step := range 60 {
		time.Sleep(time.Duration(r.IntN(8000)) * time.Millisecond)
		id := fmt.Sprint("s", r.IntN(3))
		switch r.IntN(9) {
		case 0:
			current[id].crashed.Store(true)
			spawn(id, step+1)
		case 1:
			current[id].crashed.Store(!current[id].crashed.Load())
		case 2, 3:
			if err := cl.trySubmit(fmt.Sprint("job", jobs), 1+r.IntN(8)); err == nil {
				jobs++
			}
		case 4:
			cl.fleet.injectFault(r)
		case 5:
			current[id].isolated.Store(!current[id].isolated.Load())
		case 6:
			current[id].unreachable.Store(fmt.Sprintf("127.0.0.1:%d", 9000+r.IntN(6)), r.IntN(3) > 0)
		default:
			cl.log.SetFaults(standin.LogFaults{Down: r.IntN(4) == 0, LostAnswerProbability: 0.3 * r.Float64(),
				LostCallProbability: 0.3 * r.Float64()})
		}
	}
	cl.log.SetFaults(standin.LogFaults{})
	cl.fleet.heal()
	for _, fi := range current {
		fi.heal()
	}
	time.Sleep(4 * time.Minute)
	cl.checkEnded(jobs)
	for _, stop := range stops {
		// Crashed schedulers cannot hand over, so their Run may return an error.
		_ = stop()
	}
}

// Guards against a new owner that closes attempts while the old one, which is isolated from the log, still renews the
// lease of their worker, and against an old owner that renews beyond the isolation limit.
func TestIsolatedOwner(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 2)
		cl.version.Manifest.Policies.IsolationLimit = time.Minute
		cl.version.Manifest.Kinds[0].RunTime = 5 * time.Minute
		s1, faults1, stop1 := cl.startFaultyScheduler("s1", 0)
		s2, faults2, stop2 := cl.startFaultyScheduler("s2", 0)
		time.Sleep(6 * time.Second)
		cl.submit("a", 4)
		time.Sleep(2 * time.Second)
		old, next, oldFaults, nextFaults := s1, s2, faults1, faults2
		if _, err := s1.Handle(t.Context(), link.Peer{}, &contract.JobStatus{Shard: testShard}); err != nil {
			old, next, oldFaults, nextFaults = s2, s1, faults2, faults1
		}
		require.Equal(t, 4, cl.job(old, "a").Running)
		cutOff := "127.0.0.1:9000"
		oldFaults.isolated.Store(true)
		nextFaults.unreachable.Store(cutOff, true)
		runningOnCutOff := func() int {
			cl.fleet.running()
			cl.fleet.mu.Lock()
			defer cl.fleet.mu.Unlock()
			return len(cl.fleet.workers[cutOff].tasks)
		}
		before := runningOnCutOff()
		require.Positive(t, before)
		time.Sleep(50 * time.Second)
		require.Equal(t, 4, cl.job(next, "a").Attempts,
			"the new owner closes no attempt on the worker that it cannot reach")
		require.Equal(t, before, runningOnCutOff(), "the old owner renews")
		time.Sleep(25 * time.Second)
		require.Zero(t, runningOnCutOff(), "the old owner has stopped renewing")
		time.Sleep(20 * time.Second)
		require.Greater(t, cl.job(next, "a").Attempts, 4)
		_, _ = stop1(), stop2()
	})
}
