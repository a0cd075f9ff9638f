package worker

import (
	"maps"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Stats is the body of the answer to GET /admin/stats.
type Stats struct {
	Workers int `json:"workers"`
	// Running is the number of running tasks and Busy the number of slots in use, over all workers.
	Running int `json:"running"`
	Busy    int `json:"busy"`
	// Counts holds the number of events by name, Violated the sum of those that are violations.
	Counts   map[string]int64 `json:"counts"`
	Violated int64            `json:"violated"`
	// Violations describes the first violations in order of time.
	Violations []string `json:"violations,omitempty"`
}

// Stats returns the counts since the start. Workers, Running and Busy are not set.
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

// Executed returns the number of executions of each request by its id. Requests that the ledger has dropped count as 0.
func (l *Ledger) Executed(ids []string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(ids))
	for _, id := range ids {
		out[id] = l.executed[id] + l.previousExecuted[id]
	}
	return out
}

// Done returns the number of distinct tasks of each job that have ended as done.
func (l *Ledger) Done(jobs []string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(jobs))
	for _, j := range jobs {
		out[j] = l.doneByJob[j]
	}
	return out
}

// Running returns the workers on which attempts of a task are running.
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
	"Number of events over all workers of the process, by event. Events named violation_* must stay at zero.",
	[]string{"event"}, nil)

// Describe implements prometheus.Collector.
func (l *Ledger) Describe(ch chan<- *prometheus.Desc) { ch <- descEvents }

// Collect implements prometheus.Collector.
func (l *Ledger) Collect(ch chan<- prometheus.Metric) {
	for name, n := range l.Stats().Counts {
		ch <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(n), name)
	}
}
