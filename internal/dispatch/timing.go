package dispatch

import (
	"log/slog"
	"slices"
	"time"
)

// phase is a part of the time from the acceptance of a submission to the confirmed start of its tasks.
type phase int

const (
	// phaseRead: from the acceptance, by the clock of the accepting instance, until the owner has read the submission.
	phaseRead phase = iota
	// phaseWait: until the task is placed on a worker.
	phaseWait
	// phaseStore: until the placement is stored.
	phaseStore
	// phaseStart: until the worker has confirmed the start.
	phaseStart
	phases
)

var phaseNames = [phases]string{"read", "wait", "store", "start"}

// maxPhaseSamples limits the samples of a phase in one interval between two summaries.
const maxPhaseSamples = 1024

// phaseTimes holds the durations of the phases since the last summary.
type phaseTimes [phases][]time.Duration

func (p *phaseTimes) observe(i phase, d time.Duration) {
	if len(p[i]) < maxPhaseSamples {
		p[i] = append(p[i], d)
	}
}

// take returns the median and the 95th percentile of each phase in milliseconds as attributes, and forgets the samples.
func (p *phaseTimes) take() []any {
	var out []any
	for i := range p {
		slices.Sort(p[i])
		out = append(out, slog.Int64(phaseNames[i]+"_ms", percentile(p[i], 50).Milliseconds()),
			slog.Int64(phaseNames[i]+"_p95_ms", percentile(p[i], 95).Milliseconds()))
		p[i] = p[i][:0]
	}
	return out
}

// percentile returns a percentile of sorted durations; 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// planCost counts what the plans since the last summary have gone through.
type planCost struct {
	plans, tasks int
	// checks counts the workers that were checked against the limits of a step.
	checks int
}

// callLoad describes the calls, the event queue and the plans of an owner since the last summary. It tells an owner that is slow
// itself, whose events and calls wait, from workers that do not answer.
type callLoad struct {
	inFlight, maxInFlight int
	// answered and unanswered count the calls that have ended.
	answered, unanswered int
	// maxEventDelay is the longest time that an event has waited for the owner's goroutine.
	maxEventDelay time.Duration
	// planTime is the time that plans have taken, maxPlanTime that of the longest one.
	planTime, maxPlanTime time.Duration
	since                 time.Duration
}

func (l *callLoad) planned(d time.Duration) {
	l.planTime += d
	l.maxPlanTime = max(l.maxPlanTime, d)
}

func (l *callLoad) started() {
	l.inFlight++
	l.maxInFlight = max(l.maxInFlight, l.inFlight)
}

func (l *callLoad) ended(err error) {
	l.inFlight--
	if isUnanswered(err) {
		l.unanswered++
		return
	}
	l.answered++
}

// log writes a summary once in each summaryInterval.
func (l *callLoad) log(now time.Duration, logger *slog.Logger, m *Metrics) {
	if now-l.since < summaryInterval {
		return
	}
	m.setCalls(l)
	logger.Info("call summary", "in_flight", l.inFlight, "max_in_flight", l.maxInFlight, "answered", l.answered,
		"unanswered", l.unanswered, "max_event_delay_ms", l.maxEventDelay.Milliseconds(),
		"plan_ms", l.planTime.Milliseconds(), "max_plan_ms", l.maxPlanTime.Milliseconds())
	*l = callLoad{inFlight: l.inFlight, maxInFlight: l.inFlight, since: now}
}
