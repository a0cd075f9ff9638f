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
	// httpListener accepts the connections of the callers; it is nil in a scheduler.
	httpListener *pipeListener
	// stop asks the process to stop gracefully.
	stop context.CancelFunc
	// done receives the result of the process when it ends.
	done chan error
	// crashed is closed when the process crashes.
	crashed   chan struct{}
	crashOnce sync.Once
	// countBytes is called with the size of each log record that the process reads.
	countBytes func(int)

	mu sync.Mutex
	// unfrozen is closed when a frozen process is unfrozen. It is nil while the process is not frozen.
	unfrozen chan struct{}
	// stopping reports whether a graceful stop has begun. A stopping process is not frozen any more.
	stopping bool
}

func (p *proc) name() string { return p.id }

// waitWhileFrozen implements endpoint. It returns false after a crash.
func (p *proc) waitWhileFrozen() bool {
	p.mu.Lock()
	unfrozen := p.unfrozen
	p.mu.Unlock()
	if unfrozen != nil {
		select {
		case <-unfrozen:
		case <-p.crashed:
		}
	}
	select {
	case <-p.crashed:
		return false
	default:
		return true
	}
}

// freeze holds up all calls of the process, all calls to it and its control loops until unfreeze.
func (p *proc) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unfrozen == nil && !p.stopping {
		p.unfrozen = make(chan struct{})
	}
}

func (p *proc) unfreeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unfrozen != nil {
		close(p.unfrozen)
		p.unfrozen = nil
	}
}

// crash disconnects the process permanently from the network and stops it. The goroutines that still run have no effect
// outside.
func (p *proc) crash() {
	p.crashOnce.Do(func() { close(p.crashed) })
	if p.httpListener != nil {
		p.httpListener.closeAll()
	}
	p.stop()
}

// stopGracefully begins a graceful stop. It unfreezes the process first.
func (p *proc) stopGracefully() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.unfreeze()
	p.stop()
}

// freezableConfig is the configuration source of a process. Current blocks while the process is frozen; the control
// loops call it at each tick, so they stop as well.
type freezableConfig struct {
	*config.Follower
	p *proc
}

func (f freezableConfig) Current() *config.Version {
	f.p.waitWhileFrozen()
	return f.Follower.Current()
}

// logger returns a logger that writes to standard error if CLEMENTINE_TEST_LOG is set, and discards all lines
// otherwise.
func (c *cluster) logger(name any) *slog.Logger {
	out := io.Writer(io.Discard)
	if os.Getenv("CLEMENTINE_TEST_LOG") != "" {
		out = os.Stderr
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})).With("on", name)
}

// start starts the next incarnation of a process.
func (c *cluster) start(id string, role instance.Role) *proc {
	c.mu.Lock()
	c.incarnations++
	inc := instance.Incarnation(fmt.Sprint(id, "-", c.incarnations))
	c.mu.Unlock()
	p := &proc{c: c, id: id, addr: "link-" + id, inc: inc, role: role, health: &process.Health{},
		done: make(chan error, 1), crashed: make(chan struct{}), countBytes: c.byteCounter(id)}
	log, list, linkCaller := processLog{c, p, p.countBytes}, processList{c, p}, peerCaller{c, p}
	workers := upstream.NewClient(&http.Client{Transport: workerTransport{c, p}})
	p.follower = config.NewFollower(log, config.FetchFromPeers(list, linkCaller, instance.ID(id)), c.logger(inc))
	source := freezableConfig{p.follower, p}
	ctx, cancel := context.WithCancel(c.t.Context())
	p.stop = cancel
	followerCtx, stopFollower := context.WithCancel(context.Background())
	go func() { _ = p.follower.Run(followerCtx) }()
	dc := c.dataCentreOf(id)
	run := func() error { return nil }
	switch role {
	case instance.RoleGateway:
		p.httpListener = newPipeListener("http-" + id)
		g := gateway.New(gateway.Settings{ID: instance.ID(id), Incarnation: inc, DataCentre: dc, LinkAddr: p.addr,
			HTTPAddr: p.httpListener.addr, DrainDelay: 2 * time.Second},
			gateway.Deps{Log: log, List: list, Link: linkCaller, Workers: workers, Config: source,
				Logger: c.logger(inc), Registry: process.NewRegistry(), Health: p.health})
		p.handler, run = g.Handle, func() error { return g.Run(ctx, p.httpListener) }
	default:
		s := scheduler.New(scheduler.Settings{ID: instance.ID(id), Incarnation: inc, DataCentre: dc, LinkAddr: p.addr},
			scheduler.Deps{Log: log, List: list, Link: linkCaller, Workers: workers, Config: source,
				Logger: c.logger(inc), Registry: process.NewRegistry(), Health: p.health,
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
		stopFollower()
		p.done <- err
	}()
	return p
}

// pipeListener accepts in-memory connections. Goroutines that wait for them count as blocked in a synctest bubble,
// unlike those that wait for real sockets, so its clock can advance.
type pipeListener struct {
	addr        string
	conns       chan net.Conn
	closed      chan struct{}
	once        sync.Once
	mu          sync.Mutex
	clientConns []net.Conn
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
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.clientConns = append(l.clientConns, clientConn)
		return clientConn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closeAll closes the listener and all its connections.
func (l *pipeListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clientConns {
		_ = c.Close()
	}
}

func (l *pipeListener) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	return l.dial(ctx)
}
