// Package ingress bounds what clients can make a process hold. One budget covers the bytes of all bodies that the process
// reads or works on, others its connections. A client that is outside the limits, or inactive while others need the room,
// is refused or its connection is closed; package ledger decides which one. docs/design/0001-uncontrolled-clients.md has
// the reasons.
package ingress

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"clementinewalk.example/clementinewalk/internal/ingress/ledger"
	"clementinewalk.example/clementinewalk/internal/invariant"
)

// Settings are the limits of the process from which its budgets are derived.
type Settings struct {
	// MemoryBytes is the memory above which the process is killed; 0 if unknown.
	MemoryBytes int64
	// Descriptors is the most open descriptors; 0 for the limit of the operating system.
	Descriptors int
	// BodyShare is the part of the memory for bodies, as a divisor.
	BodyShare int64
	// WorkFactor is how many times its own size the work on a complete body takes.
	WorkFactor int64
}

const (
	// defaultMemoryBytes applies if the memory is unknown: the usual size of the larger instances.
	defaultMemoryBytes = 512 << 20
	defaultDescriptors = 4096
	// minBodyBytes fits the work on one body of 256 KB within the share of large bodies.
	minBodyBytes = 2 << 20
	// connectionBytes is the memory of a connection with the largest header (16 KB, two buffers of 4 KB and a stack).
	// connectionShare and descriptorShare are divisors: the parts of the memory and of the descriptors for connections of
	// callers.
	// The rest of the descriptors is for the calls to workers and to the log.
	connectionBytes = 32 << 10
	connectionShare = 8
	descriptorShare = 2
	minConnections  = 16
	// opsConnections limits the connections for readiness checks, and those for metrics. Each has one or two clients.
	opsConnections = 32
	// peerConnectionBytes is the memory of an idle QUIC connection as measured (87 KB) and a little more.
	peerConnectionBytes = 96 << 10
	// maxSessions limits the sessions of owners with this instance. There is one owner, two during a takeover.
	maxSessions = 4
)

const (
	// smallBodyBytes is the size up to which a body, with the work on it, counts as usual. Usual ones have 1 to 4 KB.
	smallBodyBytes = 64 << 10
	// stallTime is the time without progress after which a body is evicted if others need the room. A lost packet is
	// repeated within 0.2 to 0.4 s.
	stallTime = 500 * time.Millisecond
	// minBodyRate is the rate, in bytes a second, below which a body is evicted if others need the room. It is a fifth
	// of that of a caller that sends the longest body within its 3 s. rateGrace lets slow starts pass.
	minBodyRate = 16 << 10
	rateGrace   = time.Second
	// sessionStall is the time without a message after which a session may be closed for another. It is well above the time
	// between two lease calls of an owner.
	sessionStall = 3 * time.Second
	// maxDecoding limits the bodies of more than firstBytes that are decoded at the same time.
	maxDecoding = 2
	// reportInterval limits the log lines about clients.
	reportInterval = time.Second
)

// limits are the budgets of a process.
type limits struct {
	bodyBytes                int64
	connections, peers, sess int64
}

func limitsOf(s Settings) limits {
	memory, descriptors := s.MemoryBytes, int64(s.Descriptors)
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	return limits{bodyBytes: max(minBodyBytes, memory/max(1, s.BodyShare)),
		connections: max(minConnections, min(descriptors/descriptorShare, memory/connectionShare/connectionBytes)),
		peers:       max(minConnections, memory/connectionShare/peerConnectionBytes), sess: maxSessions}
}

func systemDescriptors() int64 {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return defaultDescriptors
	}
	return int64(min(l.Cur, math.MaxInt32))
}

// policy lets large holders use five eighths of a budget and one client address seven eighths, so that usual requests
// have room beside large ones, and other addresses beside a busy one.
func policy(total, small int64) ledger.Policy {
	return ledger.Policy{Total: total, Large: total * 5 / 8, PerClient: total * 7 / 8, Small: small}
}

// connectionPolicy is the policy for n connections, of which the least active may always be evicted.
func connectionPolicy(n int64) ledger.Policy {
	return ledger.Policy{Total: n, Large: n, PerClient: n - n/8, Small: 1}
}

// Gate holds the budgets of a process. Its methods may be called from any goroutine.
type Gate struct {
	limits   limits
	factor   int64
	bodies   *account[*Body]
	decoding chan struct{}
	logger   *slog.Logger
	registry prometheus.Registerer
	refused  *prometheus.CounterVec
	evicted  *prometheus.CounterVec

	reports    *rate.Limiter
	suppressed atomic.Int64
}

// New returns a gate with the budgets that follow from the settings. Its metrics are registered with r.
func New(s Settings, l *slog.Logger, r prometheus.Registerer) *Gate {
	counter := func(name, label, help string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
		r.MustRegister(c)
		return c
	}
	g := &Gate{limits: limitsOf(s), factor: max(1, s.WorkFactor), decoding: make(chan struct{}, maxDecoding), logger: l, registry: r,
		refused: counter("clementine_ingress_refused_total", "cause", "Requests and connections of clients that were refused, by cause."),
		evicted: counter("clementine_ingress_evicted_total", "resource", "Bodies, connections and sessions that were given up for others, by resource."),
		reports: rate.NewLimiter(rate.Every(reportInterval), 1)}
	p := policy(g.limits.bodyBytes, smallBodyBytes)
	p.Stall, p.MinRate, p.Grace = stallTime, minBodyRate, rateGrace
	g.bodies = newAccount[*Body](g, "body_bytes", p)
	l.Info("limits for clients", "body_bytes", g.limits.bodyBytes, "connections", g.limits.connections,
		"peer_connections", g.limits.peers)
	return g
}

// Report logs what clients cause, at most one line a second.
func (g *Gate) Report(message string, args ...any) {
	if !g.reports.Allow() {
		g.suppressed.Add(1)
		return
	}
	g.logger.Info(message, append(args, "suppressed", g.suppressed.Swap(0))...)
}

// AwaitTurn waits until n bytes may be decoded; done must be called after that. It returns a *RefusedError if ctx ends
// first.
func (g *Gate) AwaitTurn(ctx context.Context, n int) (done func(), err error) {
	if n <= firstBytes {
		return func() {}, nil
	}
	select {
	case g.decoding <- struct{}{}:
		return func() { <-g.decoding }, nil
	case <-ctx.Done():
		return nil, g.refuse(causeDecoding)
	}
}

// Causes of refusals, as in the metric.
const (
	causeBudget     = "body_budget"
	causeEvicted    = "body_evicted"
	causeLate       = "body_late"
	causeDecoding   = "decoding"
	causeTooLarge   = "too_large"
	causeMalformed  = "malformed"
	causeConnection = "connections"
)

func (g *Gate) refuse(cause string) error {
	g.refused.WithLabelValues(cause).Inc()
	return &RefusedError{Cause: cause}
}

// evictable is what an account can evict. evict must not block.
type evictable interface{ evict() }

// account is a ledger that is safe for concurrent use.
type account[T evictable] struct {
	name    string
	evicted prometheus.Counter
	gate    *Gate
	mu      sync.Mutex
	ledger  *ledger.Ledger[T]
}

var started = time.Now()

// now returns the time since the start of the process.
func now() time.Duration { return time.Since(started) }

func newAccount[T evictable](g *Gate, name string, p ledger.Policy) *account[T] {
	a := &account[T]{name: name, evicted: g.evicted.WithLabelValues(name), gate: g, ledger: ledger.New[T](p)}
	g.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "clementine_ingress_held",
		Help: "What clients hold now, by resource.", ConstLabels: prometheus.Labels{"resource": name}},
		func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(a.ledger.Held())
		}))
	return a
}

// open adds a holder that has n and may be pinned, and reports whether there is room. Otherwise there is no holder.
func (a *account[T]) open(client netip.Addr, v T, n int64, pinned bool) (*ledger.Holder[T], bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.ledger.Open(now(), client, v)
	if pinned {
		a.ledger.Pin(h)
	}
	if !a.reserveLocked(h, n) {
		a.ledger.Close(h)
		return nil, false
	}
	return h, true
}

func (a *account[T]) reserve(h *ledger.Holder[T], n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserveLocked(h, n)
}

func (a *account[T]) reserveLocked(h *ledger.Holder[T], n int64) bool {
	evicted, ok := a.ledger.Reserve(now(), h, n)
	for _, e := range evicted {
		e.Value.evict()
		a.evicted.Inc()
		a.gate.Report("gave up an inactive client", "resource", a.name)
	}
	return ok
}

func (a *account[T]) isEvicted(h *ledger.Holder[T]) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.Evicted()
}

func (a *account[T]) release(h *ledger.Holder[T], n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Release(h, n)
}

func (a *account[T]) progress(h *ledger.Holder[T], n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Progress(now(), h, int64(n))
}

func (a *account[T]) pin(h *ledger.Holder[T]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Pin(h)
}

func (a *account[T]) unpin(h *ledger.Holder[T], known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Unpin(h, known)
}

func (a *account[T]) close(h *ledger.Holder[T]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Close(h)
	invariant.Check(invariant.IngressReleased, a.ledger.Holders() > 0 || a.ledger.Held() == 0, "resource", a.name,
		"held", a.ledger.Held())
}
