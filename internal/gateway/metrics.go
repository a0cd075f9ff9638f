package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/contract"
)

const (
	// maxTeamLabels limits the values of the team label; further teams count as otherTeam. The target size of a
	// deployment is 200 teams.
	maxTeamLabels = 200
	otherTeam     = "other"
	// maxKindLabels limits the values of the kind label in the same way.
	maxKindLabels = 200
	otherKind     = "other"
	// maxReasonLabels limits the values of the reason label, because workers and other gateways send reasons, too.
	maxReasonLabels = 60
	otherReason     = "other"
)

// labelLimiter limits the number of values of a metric label. The first limit values are kept; label returns other for
// all further ones. It is safe for concurrent use.
type labelLimiter struct {
	mu    sync.Mutex
	seen  map[string]bool
	limit int
	other string
}

// label returns the value itself, or other if the value is new and the limit is reached.
func (b *labelLimiter) label(value string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[value] {
		return value
	}
	if len(b.seen) >= b.limit {
		return b.other
	}
	b.seen[value] = true
	return value
}

type metrics struct {
	latency, teamLatency, queueTime *prometheus.HistogramVec
	answers, refusals               *prometheus.CounterVec
	retries, forwards, ejections    prometheus.Counter
	grantFailures, hedges           prometheus.Counter
	slots                           *prometheus.GaugeVec
	waiting, retryBudget, ejected   prometheus.Gauge
	tickets, ticketBytes            prometheus.Gauge
	teams, kinds, reasons           *labelLimiter
}

func newMetrics(r prometheus.Registerer) *metrics {
	// The buckets reach from 1 ms to 33 s: urgent answers take some tens of milliseconds, and the longest request
	// timeout in the manifests is 30 s.
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16)
	histogram := func(name, help, label string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets},
			[]string{label})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	m := &metrics{
		latency: histogram("clementine_gateway_request_seconds", "Time from arrival to the answer, by kind.",
			"kind"),
		teamLatency: histogram("clementine_gateway_team_request_seconds", "Time from arrival to the answer, by team.",
			"team"),
		queueTime: histogram("clementine_gateway_queue_seconds", "Time in the queue of each attempt, by kind.",
			"kind"),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_gateway_answers_total",
			Help: "Answers, by outcome."}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_gateway_refusals_total",
			Help: "Answers other than a whole one, by outcome and reason."}, []string{"outcome", "reason"}),
		retries: counter("clementine_gateway_retries_total", "Attempts beyond the first one of a request."),
		forwards: counter("clementine_gateway_forwards_total",
			"Requests forwarded to the issuer of their ticket."),
		ejections: counter("clementine_gateway_ejections_total", "Workers ejected after repeated failures."),
		hedges: counter("clementine_gateway_hedges_total",
			"Slow requests that were also sent to a second worker."),
		grantFailures: counter("clementine_gateway_grant_failures_total", "Grant requests without an answer."),
		slots: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_gateway_slots",
			Help: "Slots by state: granted, in_use, and settling, which is the part of in_use whose request has no answer."},
			[]string{"state"}),
		waiting:     gauge("clementine_gateway_queue_length", "Requests that wait for a slot."),
		retryBudget: gauge("clementine_gateway_retry_budget", "Retries that are permitted now."),
		ejected:     gauge("clementine_gateway_ejected_workers", "Workers that are ejected now."),
		tickets:     gauge("clementine_gateway_tickets_used", "Used tickets that are remembered."),
		ticketBytes: gauge("clementine_gateway_ticket_answer_bytes", "Bytes of stored answers."),
		teams:       &labelLimiter{seen: map[string]bool{}, limit: maxTeamLabels, other: otherTeam},
		kinds:       &labelLimiter{seen: map[string]bool{}, limit: maxKindLabels, other: otherKind},
		reasons:     &labelLimiter{seen: map[string]bool{}, limit: maxReasonLabels, other: otherReason},
	}
	r.MustRegister(m.latency, m.teamLatency, m.queueTime, m.answers, m.refusals, m.retries, m.forwards, m.ejections,
		m.grantFailures, m.hedges, m.slots, m.waiting, m.retryBudget, m.ejected, m.tickets, m.ticketBytes)
	return m
}

func (m *metrics) observeQueueTime(kind string, d time.Duration) {
	m.queueTime.WithLabelValues(m.kinds.label(kind)).Observe(d.Seconds())
}

// observeAnswer records the answer to a request that passed parseRequest.
func (m *metrics) observeAnswer(r request, a answer) {
	took := time.Since(r.arrived).Seconds()
	m.latency.WithLabelValues(m.kinds.label(r.kind.Name)).Observe(took)
	m.teamLatency.WithLabelValues(m.teams.label(r.team)).Observe(took)
	m.countAnswer(a)
}

func (m *metrics) countAnswer(a answer) {
	outcome := outcomeName(a.state)
	m.answers.WithLabelValues(outcome).Inc()
	if a.state != contract.AnswerWhole {
		m.refusals.WithLabelValues(outcome, m.reasons.label(a.reason)).Inc()
	}
}

func (m *metrics) updateGauges(c *control) {
	m.slots.WithLabelValues("granted").Set(float64(c.pool.Slots()))
	m.slots.WithLabelValues("in_use").Set(float64(c.pool.InUse()))
	m.slots.WithLabelValues("settling").Set(float64(c.unansweredSlots))
	m.waiting.Set(float64(c.queue.Len()))
	m.retryBudget.Set(c.retryBudget.Available())
	m.ejected.Set(float64(c.outliers.EjectedCount()))
	tickets, bytes, _ := c.tickets.Size()
	m.tickets.Set(float64(tickets))
	m.ticketBytes.Set(float64(bytes))
}
