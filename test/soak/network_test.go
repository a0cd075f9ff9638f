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
	// brokenShare is the share of calls whose connection breaks before the call takes effect, and also the share of
	// those whose connection breaks after it. slowShare is the share of messages that take up to maxSlowDelay, and
	// duplicateShare that of the calls delivered twice, of those that may be.
	brokenShare    = 0.01
	slowShare      = 0.02
	duplicateShare = 0.02
	maxSlowDelay   = 3 * time.Second
	maxUsualDelay  = 10 * time.Millisecond
	// maxCancelDelay is the longest time until the receiver of a call notices that the sender has cancelled it.
	maxCancelDelay = 2 * time.Second
)

// brokenError is the error of a call whose connection breaks.
type brokenError struct{}

func (brokenError) Error() string { return "connection broke" }

// endpoint is the sender or the receiver of a call: a process, a worker or a service of the platform.
type endpoint interface {
	name() string
	// waitWhileFrozen blocks while the endpoint is frozen and reports whether it is still alive.
	waitWhileFrozen() bool
}

// platformService is the log or the instance list of the platform, which neither freeze nor die.
type platformService string

func (s platformService) name() string          { return string(s) }
func (s platformService) waitWhileFrozen() bool { return true }

// network simulates the network of a run. The delivery of a call is determined by the seed, its two endpoints and the
// number of calls that the sender has made to the receiver.
type network struct {
	seed uint64
	mu   sync.Mutex
	// callCounts and cuts have the names of the sender and the receiver as keys.
	callCounts map[[2]string]uint64
	cuts       map[[2]string]bool
	// healthy networks have neither slow, broken nor duplicate calls.
	healthy bool
}

func newNetwork(seed uint64) *network {
	return &network{seed: seed, callCounts: map[[2]string]uint64{}, cuts: map[[2]string]bool{}}
}

// delivery holds the delays and faults of one call. duplicateDelay is added to requestDelay for a duplicate, and
// cancelDelay is the time until the receiver notices that the sender has cancelled the call.
type delivery struct {
	requestDelay, answerDelay, duplicateDelay, cancelDelay time.Duration
	breakRequest, breakAnswer                              bool
	duplicate                                              bool
}

// drawDelivery counts a call and returns its delivery.
func (n *network) drawDelivery(from, to string) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	n.callCounts[key]++
	r := rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(fmt.Sprint(from, ">", to, "#", n.callCounts[key]))))
	delay := func() time.Duration {
		if !n.healthy && r.Float64() < slowShare {
			return time.Duration(r.Int64N(int64(maxSlowDelay)))
		}
		return time.Duration(r.Int64N(int64(maxUsualDelay)))
	}
	d := delivery{requestDelay: delay(), answerDelay: delay(), duplicateDelay: delay(),
		cancelDelay: time.Duration(r.Int64N(int64(maxCancelDelay)))}
	if !n.healthy {
		d.breakRequest, d.breakAnswer = r.Float64() < brokenShare, r.Float64() < brokenShare
		d.duplicate = r.Float64() < duplicateShare
	}
	return d
}

// isCut reports whether messages in this direction are lost.
func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

// heal ends all cuts and all random faults.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts, n.healthy = map[[2]string]bool{}, true
}

// call runs f at the receiver and waits for its answer. sent reports whether f may have run or may still run. The
// context of f ends up to maxCancelDelay after that of the sender.
func (n *network) call(ctx context.Context, from, to endpoint, mayDuplicate bool,
	f func(ctx context.Context)) (sent bool, err error) {
	if !from.waitWhileFrozen() || !to.waitWhileFrozen() {
		return false, syscall.ECONNREFUSED
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	d := n.drawDelivery(from.name(), to.name())
	receiverCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(d.cancelDelay, cancel) })
	done := make(chan error, 1)
	go func() {
		defer cancel()
		defer stop()
		n.deliver(receiverCtx, d, from, to, f, done)
	}()
	if mayDuplicate && d.duplicate {
		go n.deliverDuplicate(ctx, d, from, to, f)
	}
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	from.waitWhileFrozen()
	return true, err
}

// deliver runs f and sends the result of the call to done. It sends nothing if a cut link drops the call or its answer.
func (n *network) deliver(ctx context.Context, d delivery, from, to endpoint, f func(ctx context.Context),
	done chan<- error) {
	time.Sleep(d.requestDelay)
	if n.isCut(from.name(), to.name()) {
		return
	}
	if d.breakRequest {
		done <- brokenError{}
		return
	}
	if !to.waitWhileFrozen() {
		done <- syscall.ECONNRESET
		return
	}
	f(ctx)
	if !to.waitWhileFrozen() {
		done <- syscall.ECONNRESET
		return
	}
	time.Sleep(d.answerDelay)
	if n.isCut(to.name(), from.name()) {
		return
	}
	if d.breakAnswer {
		done <- brokenError{}
		return
	}
	done <- nil
}

// deliverDuplicate runs f a second time and discards the answer.
func (n *network) deliverDuplicate(ctx context.Context, d delivery, from, to endpoint, f func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxCancelDelay)
	defer cancel()
	time.Sleep(d.requestDelay + d.duplicateDelay)
	if !n.isCut(from.name(), to.name()) && to.waitWhileFrozen() {
		f(ctx)
	}
}

// peerCaller carries the calls of one process to other processes. It implements link.Caller.
type peerCaller struct {
	c    *cluster
	self *proc
}

func (p peerCaller) Call(ctx context.Context, addr string, m contract.Message) (contract.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, link.DefaultCallTimeout)
	defer cancel()
	to := p.c.procAt(addr)
	if to == nil || to.handler == nil {
		return nil, &link.CallError{Addr: addr, Err: syscall.ECONNREFUSED}
	}
	replies := make(chan any, 2)
	// A stream delivers a call once. A duplicate of a forwarded request could also execute its ticket after the first
	// copy has left the ticket unused.
	_, forward := m.(*contract.Forward)
	sent, err := p.c.net.call(ctx, p.self, to, !forward,
		func(ctx context.Context) { replies <- handle(ctx, p.self, to, m) })
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

// handle passes a copy of the message to the receiver and returns a copy of its answer, so that the two processes share
// no memory. The result is a contract.Message or an error.
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

// copyMessage encodes and decodes a message.
func copyMessage(m contract.Message) (contract.Message, error) {
	data, err := contract.EncodeMessage(m)
	if err != nil {
		return nil, err
	}
	return contract.DecodeMessage(data)
}

// workerTransport is the HTTP transport of one process to the workers.
type workerTransport struct {
	c    *cluster
	self *proc
}

func (t workerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	to := t.c.workers[req.URL.Host]
	if to == nil {
		return nil, syscall.ECONNREFUSED
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	answers := make(chan *httptest.ResponseRecorder, 2)
	// TCP delivers an execution once. Control calls may be duplicated, because their senders repeat them.
	sent, err := t.c.net.call(req.Context(), t.self, to, req.URL.Path != upstream.PathExecute,
		func(ctx context.Context) {
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

// processLog is the platform's log, called by one process through the simulated network.
type processLog struct {
	c    *cluster
	self *proc
	// countBytes is called with the size of each record that is read, if it is set.
	countBytes func(int)
}

func (l processLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	type result struct {
		first uint64
		err   error
	}
	results := make(chan result, 1)
	sent, err := l.c.net.call(ctx, l.self, platformService("log"), false, func(ctx context.Context) {
		first, err := l.c.log.Append(ctx, stream, records)
		results <- result{first, err}
	})
	if err != nil {
		return 0, &platform.UnavailableError{Op: "append", MayHaveApplied: sent, Err: err}
	}
	r := <-results
	return r.first, r.err
}

func (l processLog) Read(ctx context.Context, stream string, from uint64, limit int,
	wait time.Duration) (platform.Page, error) {
	type result struct {
		page platform.Page
		err  error
	}
	results := make(chan result, 1)
	_, err := l.c.net.call(ctx, l.self, platformService("log"), false, func(ctx context.Context) {
		page, err := l.c.log.Read(ctx, stream, from, limit, wait)
		results <- result{page, err}
	})
	if err != nil {
		return platform.Page{}, &platform.UnavailableError{Op: "read", Err: err}
	}
	r := <-results
	if l.countBytes != nil {
		for _, data := range r.page.Records {
			l.countBytes(len(data))
		}
	}
	return r.page, r.err
}

// processList is the platform's instance list, called by one process through the simulated network.
type processList struct {
	c    *cluster
	self *proc
}

// do makes one call to the list. op names it in errors.
func (il processList) do(ctx context.Context, op string, f func(ctx context.Context) error) error {
	results := make(chan error, 1)
	sent, err := il.c.net.call(ctx, il.self, platformService("list"), false,
		func(ctx context.Context) { results <- f(ctx) })
	if err != nil {
		return &platform.UnavailableError{Op: op, MayHaveApplied: sent, Err: err}
	}
	return <-results
}

func (il processList) Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error) {
	found := make(chan []instance.Member, 1)
	err := il.do(ctx, "list", func(ctx context.Context) error {
		members, err := il.c.list.Members(ctx, roles...)
		found <- members
		return err
	})
	if err != nil {
		return nil, err
	}
	return <-found, nil
}

func (il processList) Register(ctx context.Context, m instance.Member) error {
	return il.do(ctx, "register", func(ctx context.Context) error { return il.c.list.Register(ctx, m) })
}

func (il processList) Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error {
	return il.do(ctx, "deregister", func(ctx context.Context) error { return il.c.list.Deregister(ctx, id, inc) })
}
