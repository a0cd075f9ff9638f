package eventlog

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/storehealth"
)

// Monitor wraps a log and estimates from its calls how long an append to one topic takes, and whether it succeeds. Its
// methods may be called from any goroutine.
type Monitor struct {
	log    Log
	topic  string
	logger *slog.Logger
	began  time.Time
	onSlow func()

	mu        sync.Mutex
	estimator storehealth.Estimator
	// appends and reads hold, for each call without an answer, when an answer is due.
	appends, reads map[int]time.Duration
	nextCall       int
	state          storehealth.State
	// fastAt is when an append was last answered within storehealth.SlowAfter.
	fastAt     time.Time
	stateGauge *prometheus.GaugeVec
	expected   prometheus.Gauge
}

var _ Log = (*Monitor)(nil)

// NewMonitor returns a monitor of l. Its estimate is about appends to the topic; reads of all topics count.
func NewMonitor(l Log, topic string, logger *slog.Logger, r prometheus.Registerer) *Monitor {
	m := &Monitor{log: l, topic: topic, logger: logger, began: time.Now(), onSlow: func() {},
		appends: map[int]time.Duration{}, reads: map[int]time.Duration{},
		stateGauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_log_state",
			Help: "1 for the state of the log as this instance sees it."}, []string{"state"}),
		expected: prometheus.NewGauge(prometheus.GaugeOpts{Name: "clementine_log_append_seconds",
			Help: "Expected time of an append of submissions."})}
	r.MustRegister(m.stateGauge, m.expected)
	for _, s := range storehealth.States {
		m.stateGauge.WithLabelValues(s.String()).Set(0)
	}
	m.stateGauge.WithLabelValues(m.state.String()).Set(1)
	return m
}

// OnSlow sets the function that is called when an append has no answer after storehealth.SlowAfter. It must be called
// before the first append.
func (m *Monitor) OnSlow(f func()) { m.onSlow = f }

// Health returns what can be expected of the log now.
func (m *Monitor) Health() storehealth.Assessment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.assess()
}

// FastSince reports whether an append of this instance was answered within storehealth.SlowAfter after t.
func (m *Monitor) FastSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fastAt.After(t)
}

// Hint notes the duration of an append that another instance has reported.
func (m *Monitor) Hint(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.estimator.Hint(m.now(), d)
	m.assess()
}

func (m *Monitor) now() time.Duration { return time.Since(m.began) }

// assess returns the present estimate, and reports a change of state. It requires m.mu.
func (m *Monitor) assess() storehealth.Assessment {
	now := m.now()
	p := storehealth.Pending{Reading: len(m.reads) > 0}
	for _, due := range m.appends {
		p.Append = max(p.Append, now-due)
	}
	for _, due := range m.reads {
		p.ReadOverdue = max(p.ReadOverdue, now-due)
	}
	p.Overdue = max(p.Append, p.ReadOverdue)
	a := m.estimator.Assess(now, p)
	m.expected.Set(a.Append.Seconds())
	if a.State != m.state {
		m.stateGauge.WithLabelValues(m.state.String()).Set(0)
		m.stateGauge.WithLabelValues(a.State.String()).Set(1)
		m.logger.Info("state of the log changed", "from", m.state, "to", a.State, "append_ms", a.Append.Milliseconds(),
			"unanswered_ms", p.Overdue.Milliseconds())
		m.state = a.State
	}
	return a
}

// begin notes a call that may wait, and returns the function to call at its end.
func (m *Monitor) begin(ctx context.Context, o storehealth.Operation, wait time.Duration) func(error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := m.reads
	if o == storehealth.Append {
		pending = m.appends
	}
	began, id := m.now(), m.nextCall
	m.nextCall++
	pending[id] = began + wait
	return func(err error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(pending, id)
		if o == storehealth.Append && err == nil && m.now()-began < storehealth.SlowAfter {
			m.fastAt = time.Now()
		}
		// A call that the instance has given up says nothing about the log.
		if err == nil || ctx.Err() == nil {
			m.estimator.Observe(storehealth.Call{Operation: o, Outcome: outcomeOf(o, err), Began: began, Ended: m.now()})
		}
		m.assess()
	}
}

// outcomeOf classifies the error of an operation.
func outcomeOf(o storehealth.Operation, err error) storehealth.Outcome {
	var refused *RefusedError
	var unknown *UnknownError
	var timeout net.Error
	switch {
	case errors.As(err, &refused) && refused.RateLimited && o == storehealth.Read:
		return storehealth.Limited
	case errors.As(err, &refused) && refused.Err == nil:
		return storehealth.Refused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return storehealth.NoAnswer
	case errors.As(err, &refused), errors.As(err, &unknown):
		return storehealth.Reset
	}
	// Any other error is an answer.
	return storehealth.Done
}

const (
	// appendTimeout limits an append, whose response may be lost. Usual appends take up to 20 ms.
	appendTimeout = time.Second
	// slowAppendTimeout applies while the log is slow. The log queues 2 s of appends, and at 66 times the usual times an
	// append takes 0.3 s and its response as long. One that is given up earlier is stored all the same, and the next one
	// queues behind it.
	slowAppendTimeout = 2800 * time.Millisecond
)

// Append implements Log. Appends to other topics have a queue of their own and do not count.
func (m *Monitor) Append(ctx context.Context, topic string, p *Producer, entries []Entry) (int64, error) {
	if topic != m.topic {
		return m.log.Append(ctx, topic, p, entries)
	}
	slow := time.AfterFunc(storehealth.SlowAfter, m.onSlow)
	defer slow.Stop()
	timeout := appendTimeout
	if m.Health().Slowed() {
		timeout = slowAppendTimeout
	}
	end := m.begin(ctx, storehealth.Append, 0)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	offset, err := m.log.Append(ctx, topic, p, entries)
	end(err)
	return offset, err
}

// Read implements Log.
func (m *Monitor) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error) {
	end := m.begin(ctx, storehealth.Read, wait)
	p, err := m.log.Read(ctx, topic, from, wait)
	end(err)
	return p, err
}

// newestAllowance is how long a load of the newest entries may take in several pages before it is overdue.
const newestAllowance = 2 * time.Second

// Newest implements Log.
func (m *Monitor) Newest(ctx context.Context, topic string) (Page, error) {
	end := m.begin(ctx, storehealth.Read, newestAllowance)
	p, err := m.log.Newest(ctx, topic)
	end(err)
	return p, err
}
