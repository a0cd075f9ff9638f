package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// cut separates one scheduler from everything else, as a crash or a partition does.
type cut struct {
	down atomic.Bool
	platform.Log
	list platform.List
	Workers
	calls link.Caller
}

func (c *cut) err(op string) error {
	if c.down.Load() {
		return &platform.UnavailableError{Op: op, MayHaveApplied: true, Err: downError{}}
	}
	return nil
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
	if err := c.err("lease"); err != nil {
		return upstream.LeaseReply{}, err
	}
	return c.Workers.Lease(ctx, addr, r)
}

func (c *cut) Start(ctx context.Context, addr string, r upstream.StartRequest) (upstream.TaskReply, error) {
	if err := c.err("start"); err != nil {
		return upstream.TaskReply{}, err
	}
	return c.Workers.Start(ctx, addr, r)
}

func (c *cut) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	if c.down.Load() {
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
		switch r.IntN(7) {
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
		default:
			w.log.SetFaults(standin.LogFaults{Down: r.IntN(4) == 0, LoseAnswers: 0.3 * r.Float64(), LoseCalls: 0.3 * r.Float64()})
		}
	}
	w.log.SetFaults(standin.LogFaults{})
	w.fleet.heal()
	for _, c := range current {
		c.down.Store(false)
	}
	time.Sleep(4 * time.Minute)
	w.checkEnded(jobs)
	for _, stop := range stops {
		// Processes that were cut off cannot hand over.
		_ = stop()
	}
}
