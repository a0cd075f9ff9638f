package gateway

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/ticket"
)

// ticketKeyBytes is the length of the key that seals tickets.
const ticketKeyBytes = 32

// Gateway is one process of the daemon.
type Gateway struct {
	Settings
	deps    Deps
	log     *slog.Logger
	metrics *metrics
	events  chan func(now time.Time)
	done    chan struct{}
	wg      sync.WaitGroup
	io      context.Context
	issuer  *ticket.Issuer
	// serial numbers the calls to workers, so that a retried request is told from its first attempt.
	serial atomic.Uint64
	// directory is what the control loop last read from the instance list.
	directory atomic.Pointer[directory]
	owners    owners
	stopping  atomic.Bool
	bounds    bounds
	breaker   breaker

	// control belongs to the control loop.
	control control
}

// New returns a gateway that does nothing until Run.
func New(s Settings, d Deps) *Gateway {
	key := make([]byte, ticketKeyBytes)
	_, _ = rand.Read(key)
	if d.Limit == nil {
		d.Limit = admission.Unlimited{}
	}
	g := &Gateway{Settings: s, deps: d, log: process.Part(d.Logger, "gateway"), metrics: newMetrics(d.Registry),
		events: make(chan func(time.Time), 1024), done: make(chan struct{}),
		issuer: ticket.NewIssuer(s.Incarnation, key, ticket.DefaultLife)}
	g.directory.Store(&directory{})
	g.control = newControl()
	return g
}

// Run serves callers on ln until ctx ends, then stops without cutting off a request. It returns a *process.StopError if requests
// were still in progress when the time for that ran out.
func (g *Gateway) Run(ctx context.Context, ln net.Listener) error {
	io, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer g.wg.Wait()
	defer cancel()
	g.io = io
	serve, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 1)
	server := process.NewHTTPServer(g.handler(), readTimeout)
	server.IdleTimeout = idleTimeout
	go func() { served <- process.ServeHTTP(serve, server, ln, stopLimit) }()
	loop := make(chan struct{})
	go func() {
		defer close(loop)
		g.loop(io)
	}()
	select {
	case err := <-served:
		cancel()
		<-loop
		return err
	case <-ctx.Done():
	}
	err := g.stop(stopServing, served)
	cancel()
	<-loop
	return err
}

// stop is the planned stop: not ready, drain delay, requests in progress, grants, instance list.
func (g *Gateway) stop(stopServing func(), served <-chan error) error {
	g.log.Info("stop has begun", "drain_delay", g.DrainDelay)
	g.deps.Health.SetReady(false)
	g.stopping.Store(true)
	time.Sleep(g.DrainDelay)
	stopServing()
	err := <-served
	// Callers are served; what still comes is forwarded by other gateways and would run past the end.
	g.post(func(time.Time) { g.control.closing = true })
	if err == nil {
		err = g.waitIdle()
	}
	g.leave()
	return err
}

// waitIdle waits for requests that came from other gateways and for slots that are still occupied.
func (g *Gateway) waitIdle() error {
	limit := time.Now().Add(stopLimit)
	for time.Now().Before(limit) {
		if idle, ok := ask(g, func(time.Time) bool { return g.control.idle() }); idle || !ok {
			return nil
		}
		time.Sleep(tickEvery)
	}
	invariant.Check(invariant.StopDrained, false, "gateway", g.ID, "wait", stopLimit)
	return &process.StopError{Part: "gateway", Wait: stopLimit}
}

// loop is the control loop.
func (g *Gateway) loop(ctx context.Context) {
	defer close(g.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case f := <-g.events:
			f(time.Now())
		case <-tick.C:
			g.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// post runs f in the control loop. It reports false if the loop has ended.
func (g *Gateway) post(f func(now time.Time)) bool {
	select {
	case g.events <- f:
		return true
	case <-g.done:
		return false
	}
}

// ask runs f in the control loop and returns its result. It reports false if the loop has ended.
func ask[T any](g *Gateway, f func(now time.Time) T) (T, bool) {
	out := make(chan T, 1)
	if g.post(func(now time.Time) { out <- f(now) }) {
		select {
		case v := <-out:
			return v, true
		case <-g.done:
		}
	}
	var none T
	return none, false
}

// spawn runs f in a goroutine that Run waits for.
func (g *Gateway) spawn(f func(ctx context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f(g.io)
	}()
}
