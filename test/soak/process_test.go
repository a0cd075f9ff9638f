package soak

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/budget"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/gateway"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/scheduler"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// proc is one incarnation of a gateway or scheduler.
type proc struct {
	c        *cluster
	id, addr string
	inc      instance.Incarnation
	role     instance.Role
	handler  link.Handler
	follower *config.Follower
	health   *process.Health
	ln       *pipeListener
	stop     context.CancelFunc
	done     chan error
	dead     chan struct{}
	die      sync.Once
	bytes    func(int)

	mu      sync.Mutex
	thawed  chan struct{}
	leaving bool
}

func (p *proc) name() string { return p.id }

// pass implements end.
func (p *proc) pass() bool {
	p.mu.Lock()
	thawed := p.thawed
	p.mu.Unlock()
	if thawed != nil {
		select {
		case <-thawed:
		case <-p.dead:
		}
	}
	select {
	case <-p.dead:
		return false
	default:
		return true
	}
}

func (p *proc) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.thawed == nil && !p.leaving {
		p.thawed = make(chan struct{})
	}
}

func (p *proc) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.thawed != nil {
		close(p.thawed)
		p.thawed = nil
	}
}

// crash cuts the process off from everything at once and for ever; what its goroutines still do has no effect.
func (p *proc) crash() {
	p.die.Do(func() { close(p.dead) })
	if p.ln != nil {
		p.ln.breakAll()
	}
	p.stop()
}

func (p *proc) leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.thaw()
	p.stop()
}

// version blocks while the process is frozen. The control loops read the version at each tick, so they stop with it.
type version struct {
	*config.Follower
	p *proc
}

func (v version) Current() *config.Version {
	v.p.pass()
	return v.Follower.Current()
}

func (c *cluster) logger(on any) *slog.Logger {
	out := io.Writer(io.Discard)
	if os.Getenv("CLEMENTINE_TEST_LOG") != "" {
		out = os.Stderr
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})).With("on", on)
}

// start starts the next incarnation of a process.
func (c *cluster) start(id string, role instance.Role) *proc {
	c.mu.Lock()
	c.started++
	inc := instance.Incarnation(fmt.Sprint(id, "-", c.started))
	c.mu.Unlock()
	p := &proc{c: c, id: id, addr: "link-" + id, inc: inc, role: role, health: &process.Health{}, done: make(chan error, 1),
		dead: make(chan struct{}), bytes: c.counter(id)}
	log, list, calls := processLog{c, p, p.bytes}, processList{c, p}, peers{c, p}
	workers := upstream.NewClient(&http.Client{Transport: workerCalls{c, p}})
	p.follower = config.NewFollower(log, config.FetchFromPeers(list, calls, instance.ID(id)), c.logger(inc))
	source := version{p.follower, p}
	ctx, cancel := context.WithCancel(c.t.Context())
	p.stop = cancel
	support, stopSupport := context.WithCancel(context.Background())
	go func() { _ = p.follower.Run(support) }()
	dc := c.dcOf(id)
	run := func() error { return nil }
	switch role {
	case instance.RoleGateway:
		p.ln = newPipeListener("http-" + id)
		g := gateway.New(gateway.Settings{ID: instance.ID(id), Incarnation: inc, DataCentre: dc, LinkAddr: p.addr, HTTPAddr: p.ln.addr,
			DrainDelay: 2 * time.Second}, gateway.Deps{Log: log, List: list, Link: calls, Workers: workers, Config: source,
			Logger: c.logger(inc), Registry: process.NewRegistry(), Health: p.health})
		p.handler, run = g.Handle, func() error { return g.Run(ctx, p.ln) }
	default:
		s := scheduler.New(scheduler.Settings{ID: instance.ID(id), Incarnation: inc, DataCentre: dc, LinkAddr: p.addr},
			scheduler.Deps{Log: log, List: list, Link: calls, Workers: workers, Config: source, Logger: c.logger(inc),
				Registry: process.NewRegistry(), Health: p.health,
				NewSlotAllocator: func(shard string, epoch uint64, ttl time.Duration) scheduler.SlotAllocator {
					return budget.NewSlotAllocator(shard, epoch, ttl)
				}})
		p.handler, run = s.Handle, func() error { return s.Run(ctx) }
	}
	c.mu.Lock()
	c.procs[id] = p
	c.mu.Unlock()
	go func() {
		err := run()
		stopSupport()
		p.done <- err
	}()
	return p
}

// pipeListener hands out in-memory connections, which a bubble's clock governs.
type pipeListener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	open   []net.Conn
}

func newPipeListener(addr string) *pipeListener {
	return &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr, Net: "pipe"} }

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open = append(l.open, near)
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) breakAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		_ = c.Close()
	}
}

func (l *pipeListener) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	return l.dial(ctx)
}
