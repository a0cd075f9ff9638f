package scheduler

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// quarantineAfter is the number of failures in a row, of at least two jobs, that put a worker into quarantine. One job
	// alone may be the fault of the job.
	quarantineAfter = 4
	firstQuarantine = 30 * time.Second
	maxQuarantine   = 10 * time.Minute
)

// health counts the failures in a row of a worker.
type health struct {
	failures int
	job      string
	several  bool
	until    time.Time
	length   time.Duration
}

// ended takes in the end of an attempt. After the quarantine a single failure brings the next one, twice as long.
func (h *health) ended(now time.Time, e *upstream.TaskEvent) {
	if e.Outcome == upstream.OutcomeDone {
		*h = health{}
		return
	}
	if e.Outcome != upstream.OutcomeFailed {
		return
	}
	h.several = h.several || h.job != "" && h.job != e.Job
	h.job = e.Job
	h.failures++
	if h.failures >= quarantineAfter && h.several && !now.Before(h.until) {
		h.length = min(max(2*h.length, firstQuarantine), maxQuarantine)
		h.until = now.Add(h.length)
	}
}

// probation reports whether the worker gets one task at a time. Without this limit it would be filled after each quarantine, as an
// empty worker is the first choice, and each of these tasks would fail.
func (h *health) probation() bool { return h.failures >= quarantineAfter && h.several }

func (h *health) quarantined(now time.Time) bool { return now.Before(h.until) }
