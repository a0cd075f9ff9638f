package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// maxTeamLabels limits the values of the team label; further teams are counted as "other".
const maxTeamLabels = 200

type metrics struct {
	starts, ends, refusals, records                               *prometheus.CounterVec
	startDelay                                                    *prometheus.HistogramVec
	runTime                                                       *prometheus.HistogramVec
	pending, running, workers, granted, epoch                     *prometheus.GaugeVec
	appends, appendedRecords, appendFailures, acquired, snapshots prometheus.Counter
	leaseFailures                                                 prometheus.Counter
	knownTeams                                                    map[string]bool
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "clementine_scheduler_" + name, Help: help})
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_scheduler_" + name, Help: help},
			labels)
	}
	gauges := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_scheduler_" + name, Help: help},
			[]string{"shard"})
	}
	histograms := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "clementine_scheduler_" + name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 16)}, []string{"class", "team"})
	}
	m := &metrics{
		starts: counters("starts_total", "Number of attempts that a worker confirmed to run.",
			"class", "team"),
		ends:     counters("ends_total", "Number of closed attempts.", "outcome"),
		refusals: counters("refusals_total", "Number of refused placements and calls, by reason.", "reason"),
		records:  counters("records_total", "Number of records read, by verdict.", "verdict"),
		startDelay: histograms("start_delay_seconds",
			"Time from submission to the confirmed start of a first attempt."),
		runTime:         histograms("run_time_seconds", "Run time of ended attempts."),
		pending:         gauges("pending_tasks", "Number of pending tasks."),
		running:         gauges("open_attempts", "Number of open attempts."),
		workers:         gauges("fenced_workers", "Number of workers that answer this owner."),
		granted:         gauges("granted_slots", "Number of slots granted to gateways."),
		epoch:           gauges("epoch", "Epoch under which this process owns the shard."),
		appends:         counter("appends_total", "Number of appends to shard streams."),
		appendedRecords: counter("appended_records_total", "Number of records in those appends, repeats included."),
		appendFailures:  counter("append_failures_total", "Number of appends without a positive answer."),
		acquired:        counter("acquired_shards_total", "Number of claims that were read back as valid."),
		snapshots:       counter("snapshots_total", "Number of snapshots written."),
		leaseFailures:   counter("lease_call_failures_total", "Number of lease calls without an answer."),
		knownTeams:      map[string]bool{},
	}
	r.MustRegister(m.starts, m.ends, m.refusals, m.records, m.startDelay, m.runTime, m.pending, m.running, m.workers,
		m.granted, m.epoch, m.appends, m.appendedRecords, m.appendFailures, m.acquired, m.snapshots, m.leaseFailures)
	return m
}

func (m *metrics) teamLabel(name string) string {
	if !m.knownTeams[name] {
		if len(m.knownTeams) >= maxTeamLabels {
			return "other"
		}
		m.knownTeams[name] = true
	}
	return name
}

func (m *metrics) observeRecord(res shard.Result) {
	m.records.WithLabelValues(string(res.Outcome)).Inc()
}

func (m *metrics) observeStart(sh *managedShard, a *openAttempt, now time.Time) {
	class, team := string(a.kind.Class), m.teamLabel(a.kind.Team)
	m.starts.WithLabelValues(class, team).Inc()
	if j := sh.state.Job(a.ref.Job); j != nil && a.ref.Attempt == 1 {
		m.startDelay.WithLabelValues(class, team).Observe(now.Sub(j.Submit.Submitted).Seconds())
	}
}

func (m *metrics) observeEnd(a *openAttempt, e *upstream.TaskEvent) {
	m.runTime.WithLabelValues(string(a.kind.Class), m.teamLabel(a.kind.Team)).Observe(e.RunTime.Seconds())
}

// updateGauges sets the gauges of all owned shards and deletes those of the others.
func (m *metrics) updateGauges(s *Scheduler) {
	for _, name := range s.shardNames {
		sh := s.shards[name]
		if sh.own == nil {
			for _, g := range []*prometheus.GaugeVec{m.pending, m.running, m.workers, m.granted} {
				g.DeleteLabelValues(name)
			}
			continue
		}
		m.pending.WithLabelValues(name).Set(float64(sh.state.PendingCount()))
		m.running.WithLabelValues(name).Set(float64(sh.state.PlacedCount()))
		m.workers.WithLabelValues(name).Set(float64(sh.own.fencedWorkers(time.Now())))
		m.granted.WithLabelValues(name).Set(float64(sh.own.slotAllocator.Granted()))
	}
}

// fencedWorkers returns the number of workers that have answered this epoch and whose lease has not lapsed.
func (o *ownerState) fencedWorkers(now time.Time) int {
	n := 0
	for _, w := range o.workers {
		if w.lease.Fenced() && !w.lease.Lapsed(now) {
			n++
		}
	}
	return n
}
