package worker

import (
	"maps"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Stats is the answer to GET /admin/stats.
type Stats struct {
	Workers int `json:"workers"`
	// Running is the number of running tasks, Busy the number of slots in use, over all workers.
	Running int `json:"running"`
	Busy    int `json:"busy"`
	// Counts holds every counted event by name, Violated the sum of those that must never happen.
	Counts   map[string]int64 `json:"counts"`
	Violated int64            `json:"violated"`
	// Violations describes the first violations.
	Violations []string `json:"violations,omitempty"`
}

// Stats returns the counts since the start.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Counts: maps.Clone(l.counts), Violations: slices.Clone(l.violations)}
	for name, n := range l.counts {
		if strings.HasPrefix(name, violationPrefix) {
			s.Violated += n
		}
	}
	return s
}

// Executed returns how often each of the requests was executed, as far as they are remembered.
func (l *Ledger) Executed(ids []string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(ids))
	for _, id := range ids {
		out[id] = l.executed[id] + l.executed0[id]
	}
	return out
}

// Done returns how many different tasks of each job have been done.
func (l *Ledger) Done(jobs []string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(jobs))
	for _, j := range jobs {
		out[j] = l.doneByJob[j]
	}
	return out
}

// Running returns the workers on which attempts of a task run.
func (l *Ledger) Running(job string, index int) (out []instance.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tasks[taskKey{job, index}]; t != nil {
		for _, r := range t.running {
			out = append(out, r.worker)
		}
	}
	return out
}

var descEvents = prometheus.NewDesc("clementine_standin_worker_events_total",
	"Number of events over all workers of the process, by event. Events named violation_* must stay at zero.", []string{"event"}, nil)

// Describe implements prometheus.Collector.
func (l *Ledger) Describe(ch chan<- *prometheus.Desc) { ch <- descEvents }

// Collect implements prometheus.Collector.
func (l *Ledger) Collect(ch chan<- prometheus.Metric) {
	for name, n := range l.Stats().Counts {
		ch <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(n), name)
	}
}
