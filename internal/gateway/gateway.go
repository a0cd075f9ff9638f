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
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/ticket"
)

// ticketKeyBytes is the length of the key that authenticates tickets.
const ticketKeyBytes = 32

// Gateway is one gateway process.
type Gateway struct {
	Settings
	deps    Deps
	log     *slog.Logger
	metrics *metrics
	// events are functions that the control loop runs.
	events   chan func(now time.Time)
	loopDone chan struct{}
	wg       sync.WaitGroup
	// ioContext is the context of the goroutines that spawn starts.
	ioContext context.Context
	issuer    *ticket.Issuer
	// attemptSerial numbers the calls to workers, so that each attempt of a request has its own id.
	attemptSerial atomic.Uint64
	// directory is the newest reading of the instance list; the control loop replaces it.
	directory atomic.Pointer[directory]
	owners    owners
	stopping  atomic.Bool
	gate      *ingress.Gate
	queries   chan struct{}
	breaker   breaker

	// control is accessed by the control loop only.
	control control
}

// New returns a gateway that does nothing until Run is called.
func New(s Settings, d Deps) *Gateway {
	key := make([]byte, ticketKeyBytes)
	_, _ = rand.Read(key)
	if d.Limit == nil {
		d.Limit = admission.Unlimited{}
	}
	g := &Gateway{Settings: s, deps: d, log: process.WithPrefix(d.Logger, "gateway"), metrics: newMetrics(d.Registry),
		events: make(chan func(time.Time), 1024), loopDone: make(chan struct{}),
		issuer: ticket.NewIssuer(s.Incarnation, key, ticket.DefaultLifetime)}
	g.gate, g.queries = newGate(s, d), make(chan struct{}, maxQueries)
	g.directory.Store(&directory{})
	g.control = newControl()
	return g
}

// Run serves callers on ln until ctx ends, then stops once all requests in progress have ended. It returns a
// *process.StopError if requests are still in progress after stopTimeout.
func (g *Gateway) Run(ctx context.Context, ln net.Listener) error {
	ioCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer g.wg.Wait()
	defer cancel()
	g.ioContext = ioCtx
	serve, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 1)
	server := process.NewHTTPServer(g.handler(), readTimeout)
	server.IdleTimeout = idleTimeout
	ln = g.gate.GuardCallers(server, ln)
	go func() { served <- process.ServeHTTP(serve, server, ln, stopTimeout) }()
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		g.runLoop(ioCtx)
	}()
	select {
	case err := <-served:
		cancel()
		<-loopDone
		return err
	case <-ctx.Done():
	}
	err := g.stop(stopServing, served)
	cancel()
	<-loopDone
	return err
}

// stop performs a planned stop: it reports not ready, keeps serving for the drain delay, waits for the requests in
// progress, returns the grants and removes the entry from the instance list.
func (g *Gateway) stop(stopServing func(), served <-chan error) error {
	g.log.Info("planned stop began", "drain_delay", g.DrainDelay)
	g.deps.Health.SetReady(false)
	g.stopping.Store(true)
	time.Sleep(g.DrainDelay)
	stopServing()
	err := <-served
	// All callers have been answered. Requests that other gateways forward from now on would outlast the stop.
	g.post(func(time.Time) { g.control.rejectNew = true })
	if err == nil {
		err = g.waitIdle()
	}
	g.leaveCluster()
	return err
}

// waitIdle waits until the requests that other gateways forwarded have ended and only unanswered slots are occupied. It
// returns a *process.StopError after stopTimeout.
func (g *Gateway) waitIdle() error {
	deadline := time.Now().Add(stopTimeout)
	for time.Now().Before(deadline) {
		if idle, ok := postAndWait(g, func(time.Time) bool { return g.control.idle() }); idle || !ok {
			return nil
		}
		time.Sleep(tickInterval)
	}
	invariant.Check(invariant.StopDrained, false, "gateway", g.ID, "wait", stopTimeout)
	return &process.StopError{Component: "gateway", Wait: stopTimeout}
}

// runLoop runs the control loop until ctx ends.
func (g *Gateway) runLoop(ctx context.Context) {
	defer close(g.loopDone)
	tick := clock.NewTimer(tickInterval)
	defer tick.Stop()
	for {
		select {
		case f := <-g.events:
			f(time.Now())
		case <-tick.C:
			tick.Restart(tickInterval)
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
	case <-g.loopDone:
		return false
	}
}

// postAndWait runs f in the control loop and returns its result. It reports false if the loop has ended.
func postAndWait[T any](g *Gateway, f func(now time.Time) T) (T, bool) {
	result := make(chan T, 1)
	if g.post(func(now time.Time) { result <- f(now) }) {
		select {
		case v := <-result:
			return v, true
		case <-g.loopDone:
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
		f(g.ioContext)
	}()
}
