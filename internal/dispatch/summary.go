package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/locality"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/speculation"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
)

// summaryInterval is the time between two summaries in the log and in the metrics.
const summaryInterval = 2 * time.Second

// summary describes the load of an owner, to explain waiting times afterwards.
type summary struct {
	workers, usable, silent, placed, waiting, waitingServices int
	// mixtures is the number of service images on the workers beyond one each.
	mixtures int
	// waitingByQueue and waitingByTier count the waiting tasks.
	waitingByQueue, waitingByTier map[string]int
	// asked is reserved by the waiting tasks, reserved by the placed ones on usable workers, whose capacity is capacity.
	asked, reserved, capacity resource.Vector
	// bestEffort is the thousandths of a core that the placed best-effort tasks request, waitingBestEffort that of the
	// waiting ones.
	bestEffort, waitingBestEffort int64
	// idleSubmissions counts the submissions whose waiting tasks could run while none is placed; longestIdle is the longest
	// time without a running task among them.
	idleSubmissions int
	longestIdle     time.Duration
	// longRunning is what the long-running tasks among the placed ones reserve.
	longRunning resource.Vector
	closed      closedLoad
	// byState counts the workers by why they get no tasks.
	byState map[string]int
}

var tierNames = map[int]string{tierRestart: "restart", tierOnTime: "on-time", tierLate: "late",
	tierLongRunning: "long-running", tierTooLate: "too-late"}

func (c *Core) newSummary(now time.Duration) summary {
	s := summary{workers: len(c.workers), byState: c.healthCounts(now), closed: c.newClosedLoad(), waitingByQueue: map[string]int{}, waitingByTier: map[string]int{}}
	idle := map[*job]struct{}{}
	for _, t := range c.pending {
		if j := t.job(); j.placed == 0 {
			idle[j] = struct{}{}
			s.longestIdle = max(s.longestIdle, t.idleTime(now))
		}
		s.waiting++
		s.asked = s.asked.Add(t.reserved())
		s.waitingByQueue[t.job().terms.Queue]++
		s.waitingByTier[tierNames[t.tier(now)]]++
		if t.step.def.LongRunning {
			s.waitingServices++
		}
		if t.step.def.BestEffort {
			s.waitingBestEffort += requestedMilliCores(t.step.def)
		}
	}
	s.idleSubmissions = len(idle)
	for _, w := range c.workers {
		s.placed += len(w.tasks)
		if w.failingSince != 0 {
			s.silent++
		}
		if w.unschedulable() {
			continue
		}
		s.usable++
		s.mixtures += max(0, len(w.node.Services)-1)
		s.capacity, s.reserved = s.capacity.Add(w.Capacity), s.reserved.Add(w.node.Reserved)
		s.bestEffort += w.node.BestEffort
		s.longRunning = s.longRunning.Add(w.longRunning)
	}
	return s
}

// summarize logs a summary and sets the metrics.
func (c *Core) summarize(now time.Duration) {
	if now-c.lastSummary < summaryInterval {
		return
	}
	c.lastSummary = now
	s := c.newSummary(now)
	c.metrics.set(&s)
	c.logger.Info("start summary", c.timing.take()...)
	c.logWaitingServices(now)
	c.logClosed(&s.closed)
	c.summarizeDurations()
	c.summarizeCopies()
	c.summarizeRackWaits(now)
	c.logger.Info("placement summary", "epoch", c.epoch, "workers", s.workers, "usable", s.usable, "silent", s.silent, "excluded", s.byState[exclusionNames[excludedUnhealthy]],
		"probation", s.byState[exclusionNames[excludedProbation]],
		"placed", s.placed, "waiting", s.waiting, "image_mixtures", s.mixtures,
		"waiting_services", s.waitingServices, "idle_submissions", s.idleSubmissions,
		"longest_idle_ms", s.longestIdle.Milliseconds(), "waiting_by_queue", s.waitingByQueue,
		"waiting_by_tier", s.waitingByTier, "best_effort_cores", s.bestEffort/1000,
		"waiting_best_effort_cores", s.waitingBestEffort/1000, "asked_cores", s.asked.MilliCores/1000,
		"asked_mb", s.asked.MemoryMB, "cores", s.capacity.MilliCores/1000,
		"reserved_cores", s.reserved.MilliCores/1000, "service_cores", s.longRunning.MilliCores/1000, "mb",
		s.capacity.MemoryMB, "reserved_mb", s.reserved.MemoryMB,
		"plans", c.planCost.plans, "planned_tasks", c.planCost.tasks, "limit_checks", c.planCost.checks)
	c.planCost = planCost{}
}

// Metrics are the metrics of an owner; on other instances they are 0.
type Metrics struct {
	waiting *prometheus.GaugeVec
	cores   *prometheus.GaugeVec
	// calls holds the calls in flight and the longest delay of an event; answers counts the calls.
	calls   *prometheus.GaugeVec
	answers *prometheus.CounterVec
	// lost counts the attempts that ended without a report, by the evidence.
	lost *prometheus.CounterVec
	// others counts the answers of other incarnations than the one that a call was meant for.
	others *prometheus.CounterVec
	// closed counts tasks that closed data centres concern, moves the tasks that were moved out of them.
	closed *prometheus.GaugeVec
	moves  prometheus.Counter
	// durations describes what was learned about the durations of tasks, samples the tasks that completed.
	durations *prometheus.GaugeVec
	samples   *prometheus.CounterVec
	// copies counts the second attempts of tasks, copyCores is what they reserve and may reserve.
	copies    *prometheus.CounterVec
	copyCores *prometheus.GaugeVec
	// backlog holds the accepted work that is not placed, rates the rate at which it is done, by pool.
	backlog, rates *prometheus.GaugeVec
	// preemptions counts the tasks that were stopped for those of higher priorities.
	preemptions *prometheus.CounterVec
	// rackWaiting is the number of tasks and gangs that wait for a rack by choice, rackWaits counts the waits that ended, rackTime their
	// time, and rackDecisions the decisions.
	rackWaiting                        *prometheus.GaugeVec
	rackWaits, rackTime, rackDecisions *prometheus.CounterVec
	// workers counts the workers by whether they get tasks, exclusions those that were excluded because of their health.
	workers    *prometheus.GaugeVec
	exclusions *prometheus.CounterVec
	// rejected counts the records that the log never stores, by kind.
	rejected *prometheus.CounterVec
}

// NewMetrics registers the metrics of an owner.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_waiting_tasks",
			Help: "Tasks that wait for a worker, by tier within their priority."}, []string{"tier"}),
		cores: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_cores",
			Help: "Cores of the usable workers, and what tasks reserve or request of them."}, []string{"use"}),
		calls: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_load",
			Help: "Most calls in flight, longest delay of an event, and time of all plans and of the longest one in milliseconds since the last summary."}, []string{"what"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_calls_total",
			Help: "Calls to workers and to the advisor, by whether they were answered."}, []string{"outcome"}),
		lost: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_attempts_lost_total",
			Help: "Attempts that were given up without a report of their end, by the evidence that they have ended."},
			[]string{"reason"}),
		others: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_answers_of_other_incarnations_total",
			Help: "Calls that another incarnation of the worker has answered than the one for which they were decided."},
			[]string{"call"}),
		closed: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_closed_data_centre_tasks",
			Help: "Tasks that wait while a closed data centre has room for them, long-running tasks left in closed data centres, and tasks that are being moved out."},
			[]string{"what"}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{Name: "clementine_owner_moves_total",
			Help: "Long-running tasks that were stopped in a closed data centre to start elsewhere."}),
		durations: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_durations",
			Help: "Kinds of tasks whose durations are known, and the mean factors by which the estimates and the predictions for completed tasks were wrong since the last summary."},
			[]string{"what"}),
		samples: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_duration_samples_total",
			Help: "Short tasks that completed, by whether their durations were learned."}, []string{"use"}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_copies_total",
			Help: "Second attempts of slow tasks, by why they were made and by what became of them."}, []string{"cause", "outcome"}),
		copyCores: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_copy_cores",
			Help: "Cores that copies of tasks reserve, and may reserve in all pools together."}, []string{"what"}),
		backlog: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_backlog_core_seconds",
			Help: "Estimated work that is accepted, not placed and still of value, by queue, while its pool has a backlog."},
			[]string{"queue", "pool"}),
		rates: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_backlog_rate_cores",
			Help: "Rate at which a pool with a backlog does its work: the best of late, and that of the last seconds."},
			[]string{"pool", "rate"}),
		preemptions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_preemptions_total",
			Help: "Tasks that were stopped to make room for one of a higher priority."}, []string{"pool"}),
		rackWaiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_rack_waiting",
			Help: "Tasks and gangs that wait for a better rack although there is room elsewhere."}, []string{"kind"}),
		rackWaits: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_rack_waits_total",
			Help: "Waits for a better rack that ended with a placement, by whether it was there."}, []string{"outcome"}),
		rackTime: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_rack_wait_seconds_total",
			Help: "Time that tasks have waited for a better rack, and what they gained (as expected) or lost by it."},
			[]string{"what"}),
		rackDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_rack_decisions_total",
			Help: "Decisions whether to wait for a better rack, by their reason."}, []string{"reason"}),
		workers: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_owner_workers",
			Help: "Workers, by whether they get tasks and otherwise why not."}, []string{"state"}),
		exclusions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_worker_exclusions_total",
			Help: "Exclusions of workers because of what their tasks and calls have shown."}, []string{"reason"})}
	m.rejected = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_owner_rejected_records_total",
		Help: "Records that the log never stores, because they are too long or for another reason, by kind."}, []string{"kind"})
	r.MustRegister(m.waiting, m.cores, m.calls, m.answers, m.lost, m.others, m.closed, m.moves, m.durations, m.samples, m.copies,
		m.copyCores, m.backlog, m.rates, m.preemptions, m.rackWaiting, m.rackWaits, m.rackTime, m.rackDecisions,
		m.workers, m.exclusions, m.rejected)
	return m
}

// millisPerCore converts thousandths of a core to cores.
const millisPerCore = 1000

// recordRejected counts a record. It may be called from any goroutine.
func (m *Metrics) recordRejected(kind string) {
	if m != nil {
		m.rejected.WithLabelValues(kind).Inc()
	}
}

func (m *Metrics) set(s *summary) {
	if m == nil {
		return
	}
	for _, tier := range tierNames {
		m.waiting.WithLabelValues(tier).Set(float64(s.waitingByTier[tier]))
	}
	for use, milliCores := range map[string]int64{"capacity": s.capacity.MilliCores, "reserved": s.reserved.MilliCores,
		"best-effort": s.bestEffort, "waiting-best-effort": s.waitingBestEffort} {
		m.cores.WithLabelValues(use).Set(float64(milliCores) / millisPerCore)
	}
	for _, state := range exclusionNames {
		m.workers.WithLabelValues(state).Set(float64(s.byState[state]))
	}
	m.closed.WithLabelValues("waiting").Set(float64(s.closed.waiting))
	m.closed.WithLabelValues("left").Set(float64(s.closed.remaining))
	m.closed.WithLabelValues("moving").Set(float64(s.closed.moving))
}

func (m *Metrics) setCalls(l *callLoad) {
	if m == nil {
		return
	}
	m.calls.WithLabelValues("in-flight").Set(float64(l.maxInFlight))
	m.calls.WithLabelValues("event-delay-ms").Set(float64(l.maxEventDelay.Milliseconds()))
	m.calls.WithLabelValues("plan-ms").Set(float64(l.planTime.Milliseconds()))
	m.calls.WithLabelValues("longest-plan-ms").Set(float64(l.maxPlanTime.Milliseconds()))
	m.answers.WithLabelValues("answered").Add(float64(l.answered))
	m.answers.WithLabelValues("unanswered").Add(float64(l.unanswered))
}

// setBacklog sets the metrics of a summary of the backlog.
func (m *Metrics) setBacklog(s *backlog.Summary) {
	if m == nil {
		return
	}
	m.backlog.Reset()
	m.rates.Reset()
	for i := range s.Classes {
		c := &s.Classes[i]
		m.backlog.WithLabelValues(c.Queue, c.Pool).Add(float64(c.Waiting) / millisPerCore)
	}
	for _, p := range s.Pools {
		m.rates.WithLabelValues(p.Name, "best").Set(float64(p.Best) / millisPerCore)
		m.rates.WithLabelValues(p.Name, "recent").Set(float64(p.Recent) / millisPerCore)
	}
}

func (m *Metrics) excluded(reason workerhealth.Reason) {
	if m != nil {
		m.exclusions.WithLabelValues(reason.String()).Inc()
	}
}

func (m *Metrics) answeredByOther(kind callKind) {
	if m != nil {
		m.others.WithLabelValues(string(kind)).Inc()
	}
}

func (m *Metrics) attemptLost(reason lossReason) {
	if m != nil {
		m.lost.WithLabelValues(string(reason)).Inc()
	}
}

func (m *Metrics) setDurations(kinds int, s *durationStats) {
	if m == nil {
		return
	}
	m.durations.WithLabelValues("kinds").Set(float64(kinds))
	m.durations.WithLabelValues("estimates-wrong-by").Set(s.estimateFactor())
	m.durations.WithLabelValues("predictions-wrong-by").Set(s.predictionFactor())
	m.samples.WithLabelValues("learned").Add(float64(s.learned))
	m.samples.WithLabelValues("ignored").Add(float64(s.ignored))
}

func (m *Metrics) copied(cause speculation.Cause, outcome copyOutcome) {
	if m != nil {
		m.copies.WithLabelValues(cause.String(), string(outcome)).Inc()
	}
}

func (m *Metrics) setCopyCores(reserved, limit int64) {
	if m != nil {
		m.copyCores.WithLabelValues("reserved").Set(float64(reserved) / millisPerCore)
		m.copyCores.WithLabelValues("limit").Set(float64(limit) / millisPerCore)
	}
}

func (m *Metrics) moved() {
	if m != nil {
		m.moves.Inc()
	}
}

func (m *Metrics) preempted(pool string) {
	if m != nil {
		m.preemptions.WithLabelValues(pool).Inc()
	}
}

func (m *Metrics) setRackWaits(waiting rackWaiting, r *rackWaits) {
	if m == nil {
		return
	}
	m.rackWaiting.WithLabelValues("task").Set(float64(waiting.tasks))
	m.rackWaiting.WithLabelValues("gang").Set(float64(waiting.gangs))
	m.rackWaits.WithLabelValues("paid").Add(float64(r.counts.paid))
	m.rackWaits.WithLabelValues("vain").Add(float64(r.counts.vain))
	m.rackTime.WithLabelValues("waited").Add(r.counts.waited.Seconds())
	m.rackTime.WithLabelValues("gained").Add(max(0, r.counts.gained.Seconds()))
	m.rackTime.WithLabelValues("lost").Add(r.counts.lost.Seconds())
	for reason, n := range r.reasons {
		m.rackDecisions.WithLabelValues(locality.Reason(reason).String()).Add(float64(n))
	}
}

// reset sets the metrics of an instance that is no longer the owner.
func (m *Metrics) reset() {
	m.set(&summary{})
	m.setCalls(&callLoad{})
	m.setDurations(0, &durationStats{})
	m.setCopyCores(0, 0)
	m.setBacklog(&backlog.Summary{})
	m.setRackWaits(rackWaiting{}, &rackWaits{})
}
