package backlog

import "time"

const (
	// rateWindow is the number of intervals between samples over which a rate is measured. Tasks take a second or two, so the
	// rate over a shorter window depends on the second in which they happen to end.
	rateWindow = 4
	// rateMemory is the number of samples over which the best rate is taken. It spans disturbances of some seconds, after
	// which a pool returns to its usual rate.
	rateMemory = 20
	// maxSampleGap is the time between two samples after which the meter starts anew.
	maxSampleGap = 3 * Interval
)

// Meter measures the rate at which the work of a pool is done.
type Meter struct {
	done    int64
	samples []sample
	// busy is the number of samples in a row in which work waited.
	busy int
}

type sample struct {
	at   time.Duration
	done int64
	// running is the thousandths of a core that the tasks in progress request.
	running int64
}

// Done notes that work has ended as done, in core-milliseconds.
func (m *Meter) Done(work int64) { m.done += work }

// Sample notes whether work waits, and what the tasks in progress request.
func (m *Meter) Sample(now time.Duration, waits bool, running int64) {
	if n := len(m.samples); n > 0 && now-m.samples[n-1].at > maxSampleGap {
		m.samples, m.busy = m.samples[:0], 0
	}
	m.samples = append(m.samples, sample{at: now, done: m.done, running: running})
	if n := len(m.samples); n > rateMemory {
		m.samples = append(m.samples[:0], m.samples[n-rateMemory:]...)
	}
	m.busy++
	if !waits {
		m.busy = 0
	}
}

// Rates returns the best rate of the samples and that of the last window, or zeros unless work has waited throughout the last
// window. What runs counts as well as what has ended: tasks that are longer than the window end in none of its samples.
func (m *Meter) Rates() (best, recent int64) {
	if m.busy <= rateWindow || len(m.samples) <= rateWindow {
		return 0, 0
	}
	for i, s := range m.samples {
		if i >= rateWindow {
			from := m.samples[i-rateWindow]
			recent = int64(float64(s.done-from.done) / (s.at - from.at).Seconds())
			best = max(best, recent)
		}
		best = max(best, s.running)
	}
	return best, recent
}
