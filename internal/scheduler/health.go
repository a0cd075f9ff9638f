package scheduler

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// quarantineFailures is the number of consecutive failures, of at least two jobs, after which a worker is
	// quarantined. Failures of a single job may be caused by the job.
	quarantineFailures = 4
	minQuarantine      = 30 * time.Second
	maxQuarantine      = 10 * time.Minute
)

// health tracks the consecutive failures of a worker.
type health struct {
	consecutiveFailures int
	lastFailedJob       string
	multipleJobs        bool
	quarantinedUntil    time.Time
	quarantineDuration  time.Duration
}

// recordEnd records the end of an attempt. After a quarantine a single failure starts the next one, which is twice as
// long.
func (h *health) recordEnd(now time.Time, e *upstream.TaskEvent) {
	if e.Outcome == upstream.OutcomeDone {
		*h = health{}
		return
	}
	if e.Outcome != upstream.OutcomeFailed {
		return
	}
	h.multipleJobs = h.multipleJobs || h.lastFailedJob != "" && h.lastFailedJob != e.Job
	h.lastFailedJob = e.Job
	h.consecutiveFailures++
	if h.consecutiveFailures >= quarantineFailures && h.multipleJobs && !now.Before(h.quarantinedUntil) {
		h.quarantineDuration = min(max(2*h.quarantineDuration, minQuarantine), maxQuarantine)
		h.quarantinedUntil = now.Add(h.quarantineDuration)
	}
}

// onProbation reports whether the worker gets one task at a time. Without this limit it would be filled after each
// quarantine, because placement prefers empty workers, and each of these tasks would fail.
func (h *health) onProbation() bool {
	return h.consecutiveFailures >= quarantineFailures && h.multipleJobs
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }
