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

// cut separates one scheduler from everything else, as a crash does, from everything but the workers, or from some workers.
type cut struct {
	down, isolated atomic.Bool
	blind          sync.Map
	platform.Log
	list platform.List
	Workers
	calls link.Caller
}

func (c *cut) err(op string) error {
	if c.down.Load() || c.isolated.Load() {
		return &platform.UnavailableError{Op: op, MayHaveApplied: true, Err: downError{}}
	}
	return nil
}

func (c *cut) workerErr(addr string) error {
	if blind, _ := c.blind.Load(addr); blind == true || c.down.Load() {
		return downError{}
	}
	return nil
}

func (c *cut) heal() {
	c.down.Store(false)
	c.isolated.Store(false)
	c.blind.Clear()
}

func (c *cut) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	if err := c.err("append"); err != nil {
		return 0, err
	}
	return c.Log.Append(ctx, stream, records)
}

func (c *cut) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	page, err := c.Log.Read(ctx, stream, from, limit, wait)
	if cutErr := c.err("read"); cutErr != nil {
		return platform.Page{}, cutErr
	}
	return page, err
}

func (c *cut) Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error) {
	if err := c.err("members"); err != nil {
		return nil, err
	}
	return c.list.Members(ctx, roles...)
}

func (c *cut) Register(ctx context.Context, m instance.Member) error {
	if err := c.err("register"); err != nil {
		return err
	}
	return c.list.Register(ctx, m)
}

func (c *cut) Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error {
	if err := c.err("deregister"); err != nil {
		return err
	}
	return c.list.Deregister(ctx, id, inc)
}

func (c *cut) Lease(ctx context.Context, addr string, r upstream.LeaseRequest) (upstream.LeaseReply, error) {
	if err := c.workerErr(addr); err != nil {
		return upstream.LeaseReply{}, err
	}
	return c.Workers.Lease(ctx, addr, r)
}

func (c *cut) Start(ctx context.Context, addr string, r upstream.StartRequest) (upstream.TaskReply, error) {
	if err := c.workerErr(addr); err != nil {
		return upstream.TaskReply{}, err
	}
	return c.Workers.Start(ctx, addr, r)
}

func (c *cut) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	if c.down.Load() || c.isolated.Load() {
		return nil, &link.CallError{Addr: addr, Err: downError{}}
	}
	return c.calls.Call(ctx, addr, m)
}

// Guards against tasks that run twice, resume twice or get lost while schedulers crash, are cut off and return, workers restart and
// vanish, and the log is down or loses answers. The fleet fails the test as soon as a task runs in two places; the assertions of
// package attempt stop it as well.
func TestFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { inBubble(t, func(t *testing.T) { faults(t, seed) }) })
	}
}

func faults(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(t, 6)
	w.v.Manifest.Policies.IsolationLimit = 40 * time.Second
	w.v.Manifest.Kinds[0].MaxAttempts = 1000
	var stops []func() error
	current := map[string]*cut{}
	spawn := func(id string, inc int) {
		s, c, stop := w.cutScheduler(id, inc)
		_ = s
		current[id] = c
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
			current[id].down.Store(true)
			spawn(id, step+1)
		case 1:
			current[id].down.Store(!current[id].down.Load())
		case 2, 3:
			if err := w.trySubmit(fmt.Sprint("job", jobs), 1+r.IntN(8)); err == nil {
				jobs++
			}
		case 4:
			w.fleet.disturb(r)
		case 5:
			current[id].isolated.Store(!current[id].isolated.Load())
		case 6:
			current[id].blind.Store(fmt.Sprintf("127.0.0.1:%d", 9000+r.IntN(6)), r.IntN(3) > 0)
		default:
			w.log.SetFaults(standin.LogFaults{Down: r.IntN(4) == 0, LoseAnswers: 0.3 * r.Float64(), LoseCalls: 0.3 * r.Float64()})
		}
	}
	w.log.SetFaults(standin.LogFaults{})
	w.fleet.heal()
	for _, c := range current {
		c.heal()
	}
	time.Sleep(4 * time.Minute)
	w.checkEnded(jobs)
	for _, stop := range stops {
		// Processes that were cut off cannot hand over.
		_ = stop()
	}
}

// Guards against a new owner that closes attempts while the old one, which is cut off from the log, still renews their worker, and
// against an old owner that renews beyond the isolation limit.
func TestIsolatedOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.v.Manifest.Policies.IsolationLimit = time.Minute
		w.v.Manifest.Kinds[0].RunTime = 5 * time.Minute
		s1, c1, stop1 := w.cutScheduler("s1", 0)
		s2, c2, stop2 := w.cutScheduler("s2", 0)
		time.Sleep(6 * time.Second)
		w.submit("a", 4)
		time.Sleep(2 * time.Second)
		old, next, cutOld, cutNext := s1, s2, c1, c2
		if _, err := s1.Handle(t.Context(), link.Peer{}, &contract.JobStatus{Shard: testShard}); err != nil {
			old, next, cutOld, cutNext = s2, s1, c2, c1
		}
		require.Equal(t, 4, w.job(old, "a").Running)
		lonely := "127.0.0.1:9000"
		cutOld.isolated.Store(true)
		cutNext.blind.Store(lonely, true)
		held := func() int {
			w.fleet.running()
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			return len(w.fleet.workers[lonely].tasks)
		}
		before := held()
		require.Positive(t, before)
		time.Sleep(50 * time.Second)
		require.Equal(t, 4, w.job(next, "a").Attempts, "the new owner closes nothing on the worker that it cannot reach")
		require.Equal(t, before, held(), "the old owner renews")
		time.Sleep(25 * time.Second)
		require.Zero(t, held(), "the old owner has stopped to renew")
		time.Sleep(20 * time.Second)
		require.Greater(t, w.job(next, "a").Attempts, 4)
		_, _ = stop1(), stop2()
	})
}
