package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// breakShare of the calls lose their connection before or after their effect, slowShare of the messages take up to slowDelay,
	// and twiceShare of the calls that may arrive twice do so.
	breakShare = 0.01
	slowShare  = 0.02
	twiceShare = 0.02
	slowDelay  = 3 * time.Second
	fastDelay  = 10 * time.Millisecond
	// lateEnd is the longest time after which a receiver notices that the sender has given a call up.
	lateEnd = 2 * time.Second
)

type brokenError struct{}

func (brokenError) Error() string { return "connection broke" }

// end is one end of a call: a process, a worker or a service of the platform.
type end interface {
	name() string
	// pass blocks while the end is frozen. It returns false if the end is gone.
	pass() bool
}

type service string

func (s service) name() string { return string(s) }
func (s service) pass() bool   { return true }

// network carries all calls of a run. What happens to a call follows from the seed, the two ends and the number of calls between them.
type network struct {
	seed    uint64
	mu      sync.Mutex
	calls   map[[2]string]uint64
	cuts    map[[2]string]bool
	healthy bool
}

func newNetwork(seed uint64) *network {
	return &network{seed: seed, calls: map[[2]string]uint64{}, cuts: map[[2]string]bool{}}
}

// fate is what happens to one call.
type fate struct {
	there, back, again, late time.Duration
	breakThere, breakBack    bool
	twice                    bool
}

func (n *network) draw(from, to string) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	n.calls[key]++
	r := rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(fmt.Sprint(from, ">", to, "#", n.calls[key]))))
	delay := func() time.Duration {
		if !n.healthy && r.Float64() < slowShare {
			return time.Duration(r.Int64N(int64(slowDelay)))
		}
		return time.Duration(r.Int64N(int64(fastDelay)))
	}
	f := fate{there: delay(), back: delay(), again: delay(), late: time.Duration(r.Int64N(int64(lateEnd)))}
	if !n.healthy {
		f.breakThere, f.breakBack = r.Float64() < breakShare, r.Float64() < breakShare
		f.twice = r.Float64() < twiceShare
	}
	return f
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *network) cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts, n.healthy = map[[2]string]bool{}, true
}

// call runs f at the other end. sent tells whether f may have run or may still run. f gets a context that ends some time after the caller's.
func (n *network) call(ctx context.Context, from, to end, mayRepeat bool, f func(ctx context.Context)) (sent bool, err error) {
	if !from.pass() || !to.pass() {
		return false, syscall.ECONNREFUSED
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	d := n.draw(from.name(), to.name())
	remote, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(d.late, cancel) })
	done := make(chan error, 1)
	go func() {
		defer cancel()
		defer stop()
		n.deliver(remote, d, from, to, f, done)
	}()
	if mayRepeat && d.twice {
		go n.repeat(ctx, d, from, to, f)
	}
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	from.pass()
	return true, err
}

// deliver reports on done unless the call or its answer is lost without a trace.
func (n *network) deliver(ctx context.Context, d fate, from, to end, f func(ctx context.Context), done chan<- error) {
	time.Sleep(d.there)
	if n.isCut(from.name(), to.name()) {
		return
	}
	if d.breakThere {
		done <- brokenError{}
		return
	}
	if !to.pass() {
		done <- syscall.ECONNRESET
		return
	}
	f(ctx)
	if !to.pass() {
		done <- syscall.ECONNRESET
		return
	}
	time.Sleep(d.back)
	if n.isCut(to.name(), from.name()) {
		return
	}
	if d.breakBack {
		done <- brokenError{}
		return
	}
	done <- nil
}

// repeat delivers a second copy whose answer nobody reads.
func (n *network) repeat(ctx context.Context, d fate, from, to end, f func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateEnd)
	defer cancel()
	time.Sleep(d.there + d.again)
	if !n.isCut(from.name(), to.name()) && to.pass() {
		f(ctx)
	}
}

// peers is the link of one process; it implements link.Caller.
type peers struct {
	c    *cluster
	self *proc
}

func (p peers) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, link.DefaultCallTimeout)
	defer cancel()
	to := p.c.procAt(addr)
	if to == nil || to.handler == nil {
		return nil, &link.CallError{Addr: addr, Err: syscall.ECONNREFUSED}
	}
	replies := make(chan any, 2)
	// A stream delivers a call once. A second copy of a forwarded request would also run a ticket again that the first copy left unused.
	_, forward := m.(*contract.Forward)
	sent, err := p.c.net.call(ctx, p.self, to, !forward, func(ctx context.Context) { replies <- handle(ctx, p.self, to, m) })
	if err != nil {
		return nil, &link.CallError{Addr: addr, Sent: sent, Err: err}
	}
	switch r := (<-replies).(type) {
	case contract.Message:
		if f, ok := r.(*contract.Failure); ok {
			return nil, f
		}
		return r, nil
	}
	return nil, &contract.Failure{Code: contract.FailureNotReady}
}

// handle gives the receiver a copy of the message and returns a copy of its answer.
func handle(ctx context.Context, from, to *proc, m contract.Message) any {
	in, err := copyMessage(m)
	if err != nil {
		return err
	}
	out, err := to.handler(ctx, link.Peer{ID: instance.ID(from.id), Role: from.role}, in)
	if f, ok := err.(*contract.Failure); ok {
		return f
	}
	if err != nil {
		return err
	}
	if out, err = copyMessage(out); err != nil {
		return err
	}
	return out
}

func copyMessage(m contract.Message) (contract.Message, error) {
	data, err := contract.EncodeMessage(m)
	if err != nil {
		return nil, err
	}
	return contract.DecodeMessage(data)
}

// workerCalls is the HTTP transport of one process to the workers.
type workerCalls struct {
	c    *cluster
	self *proc
}

func (t workerCalls) RoundTrip(req *http.Request) (*http.Response, error) {
	to := t.c.workers[req.URL.Host]
	if to == nil {
		return nil, syscall.ECONNREFUSED
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	answers := make(chan *httptest.ResponseRecorder, 2)
	// TCP delivers a request to execute once; control calls are repeated by their senders.
	sent, err := t.c.net.call(req.Context(), t.self, to, req.URL.Path != upstream.PathExecute, func(ctx context.Context) {
		r := httptest.NewRequestWithContext(ctx, req.Method, req.URL.Path, bytes.NewReader(body))
		r.Header = req.Header.Clone()
		rec := httptest.NewRecorder()
		to.ServeHTTP(rec, r)
		answers <- rec
	})
	if trace := httptrace.ContextClientTrace(req.Context()); sent && trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if err != nil {
		return nil, err
	}
	return (<-answers).Result(), nil
}

// processLog is the log as one process reaches it.
type processLog struct {
	c     *cluster
	self  *proc
	bytes func(int)
}

func (l processLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	type result struct {
		first uint64
		err   error
	}
	results := make(chan result, 1)
	sent, err := l.c.net.call(ctx, l.self, service("log"), false, func(ctx context.Context) {
		first, err := l.c.log.Append(ctx, stream, records)
		results <- result{first, err}
	})
	if err != nil {
		return 0, &platform.UnavailableError{Op: "append", MayHaveApplied: sent, Err: err}
	}
	r := <-results
	return r.first, r.err
}

func (l processLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	type result struct {
		page platform.Page
		err  error
	}
	results := make(chan result, 1)
	_, err := l.c.net.call(ctx, l.self, service("log"), false, func(ctx context.Context) {
		page, err := l.c.log.Read(ctx, stream, from, limit, wait)
		results <- result{page, err}
	})
	if err != nil {
		return platform.Page{}, &platform.UnavailableError{Op: "read", Err: err}
	}
	r := <-results
	if l.bytes != nil {
		for _, data := range r.page.Records {
			l.bytes(len(data))
		}
	}
	return r.page, r.err
}

// processList is the instance list as one process reaches it.
type processList struct {
	c    *cluster
	self *proc
}

func (l processList) do(ctx context.Context, op string, f func(ctx context.Context) error) error {
	results := make(chan error, 1)
	sent, err := l.c.net.call(ctx, l.self, service("list"), false, func(ctx context.Context) { results <- f(ctx) })
	if err != nil {
		return &platform.UnavailableError{Op: op, MayHaveApplied: sent, Err: err}
	}
	return <-results
}

func (l processList) Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error) {
	found := make(chan []instance.Member, 1)
	err := l.do(ctx, "list", func(ctx context.Context) error {
		members, err := l.c.list.Members(ctx, roles...)
		found <- members
		return err
	})
	if err != nil {
		return nil, err
	}
	return <-found, nil
}

func (l processList) Register(ctx context.Context, m instance.Member) error {
	return l.do(ctx, "register", func(ctx context.Context) error { return l.c.list.Register(ctx, m) })
}

func (l processList) Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error {
	return l.do(ctx, "deregister", func(ctx context.Context) error { return l.c.list.Deregister(ctx, id, inc) })
}
