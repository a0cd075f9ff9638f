package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

// Phase is a part of a run with a constant rate.
type Phase struct {
	Name   string
	Length time.Duration
	// Factor multiplies the rate of the run.
	Factor float64
}

// noPhase is the phase index in a run without phases.
const noPhase = -1

// phaseAt returns the index of the phase at a time since the start of the run, that of the last phase after the end, or
// noPhase if there are no phases.
func phaseAt(phases []Phase, at time.Duration) int {
	for i, p := range phases {
		if at -= p.Length; at < 0 {
			return i
		}
	}
	return len(phases) - 1
}

// PhaseResult holds the results of the requests that arrived in one phase.
type PhaseResult struct {
	Name    string       `json:"name"`
	Seconds float64      `json:"seconds"`
	Kinds   []KindResult `json:"kinds"`
}

// SecondResult holds the results of the requests that arrived in one second of a run.
type SecondResult struct {
	Sent int `json:"sent"`
	// AnsweredInTime counts the complete answers, without those that came after the deadline.
	AnsweredInTime int `json:"whole"`
	// P99 is in microseconds, over the complete answers of interactive kinds, late ones included.
	P99 int64 `json:"p99_us"`
	// Work is the sum of the declared run times, in seconds, of the requests that were answered in this second and not
	// after their deadline. They may have arrived in an earlier second.
	Work float64 `json:"work_s"`
}

// phaseRecord holds the counts of one kind in one phase.
type phaseRecord struct {
	outcomes [outcomeCount]int
	late     int
	latency  *hdrhistogram.Histogram
}

type phaseKey struct {
	phase int
	kind  string
}

// secondRecord holds the values behind one SecondResult.
type secondRecord struct {
	sent, answeredInTime int
	work                 float64
	interactive          *hdrhistogram.Histogram
}

// recordPhase adds a completed request to its phase and to the seconds of its arrival and answer. r.mu must be held.
func (r *recorder) recordPhase(req request, a answer, latency time.Duration) {
	if req.phase == noPhase {
		return
	}
	key := phaseKey{req.phase, req.kind.Name}
	p, s := r.phases[key], r.secondAt(req.sendAt)
	if p == nil {
		p = &phaseRecord{latency: newHistogram(significantDigits)}
		r.phases[key] = p
	}
	p.outcomes[a.outcome]++
	s.sent++
	if a.outcome != outcomeAnswered {
		return
	}
	us := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = p.latency.RecordValue(us) // The value lies between the bounds of the histogram.
	if req.kind.Urgency == manifest.UrgencyInteractive {
		_ = s.interactive.RecordValue(us)
	}
	if req.kind.Deadline > 0 && latency > req.kind.Deadline {
		p.late++
		return
	}
	s.answeredInTime++
	r.secondAt(req.sendAt + latency).work += req.kind.RunTime.Seconds()
}

// secondAt returns the record of the second that contains the time since the start of the run. r.mu must be held.
func (r *recorder) secondAt(at time.Duration) *secondRecord {
	i := int(at / time.Second)
	if r.seconds[i] == nil {
		r.seconds[i] = &secondRecord{interactive: newHistogram(perSecondDigits)}
	}
	return r.seconds[i]
}

// phaseResults returns the results of all phases, and of all seconds of the phases.
func (r *recorder) phaseResults(phases []Phase) ([]PhaseResult, []SecondResult) {
	var out []PhaseResult
	var total time.Duration
	for i, p := range phases {
		total += p.Length
		res := PhaseResult{Name: p.Name, Seconds: p.Length.Seconds()}
		for _, name := range r.kindOrder {
			if rec := r.phases[phaseKey{i, name}]; rec != nil {
				res.Kinds = append(res.Kinds, rec.result(r.kinds[name].kind))
			}
		}
		out = append(out, res)
	}
	seconds := make([]SecondResult, int(total/time.Second))
	for i := range seconds {
		if s := r.seconds[i]; s != nil {
			seconds[i] = SecondResult{Sent: s.sent, AnsweredInTime: s.answeredInTime,
				P99: s.interactive.ValueAtQuantile(99), Work: s.work}
		}
	}
	return out, seconds
}

func (p *phaseRecord) result(k manifest.Kind) KindResult {
	row := KindResult{Urgency: string(k.Urgency), Kind: k.Name, Answered: p.outcomes[outcomeAnswered],
		Rejected: p.outcomes[outcomeRejected], Unknown: p.outcomes[outcomeUnknown], Late: p.late,
		Latency: summarizeLatency(p.latency), Histogram: p.latency}
	row.Sent = row.Answered + row.Rejected + row.Unknown
	return row
}
