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
	// Factor is multiplied with the rate of the run.
	Factor float64
}

const noPhase = -1

// phaseAt returns the index of the phase at a time since the start, the last one after the end, noPhase without phases.
func phaseAt(phases []Phase, at time.Duration) int {
	for i, p := range phases {
		if at -= p.Length; at < 0 {
			return i
		}
	}
	return len(phases) - 1
}

// PhaseResult is what happened to the requests that arrived in one phase.
type PhaseResult struct {
	Name    string       `json:"name"`
	Seconds float64      `json:"seconds"`
	Kinds   []KindResult `json:"kinds"`
}

// Second counts the requests that arrived in one second of a run.
type Second struct {
	Sent  int `json:"sent"`
	Whole int `json:"whole"`
	// P99 is in microseconds, over the whole answers of the most urgent kinds.
	P99 int64 `json:"p99_us"`
	// Work is the sum of the declared run times, in seconds, of the requests whose answer came in this second and in time.
	Work float64 `json:"work_s"`
}

// phaseRecord holds the counts of one kind in one phase.
type phaseRecord struct {
	outcomes [outcomes]int
	late     int
	latency  *hdrhistogram.Histogram
}

type phaseKey struct {
	phase int
	kind  string
}

// secondRecord holds the counts of one second.
type secondRecord struct {
	sent, whole int
	work        float64
	urgent      *hdrhistogram.Histogram
}

// phase takes up the end of a request. It is called with mu held.
func (r *recorder) phase(req request, a answer, latency time.Duration) {
	if req.phase == noPhase {
		return
	}
	key := phaseKey{req.phase, req.kind.Name}
	p, s := r.phases[key], r.second(req.at)
	if p == nil {
		p = &phaseRecord{latency: newHistogram(significantDigits)}
		r.phases[key] = p
	}
	p.outcomes[a.outcome]++
	s.sent++
	if a.outcome != whole {
		return
	}
	us := min(max(latency.Microseconds(), lowestLatency), highestLatency)
	_ = p.latency.RecordValue(us) // The value lies between the bounds of the histogram.
	if req.kind.Urgency == manifest.UrgencyInteractive {
		_ = s.urgent.RecordValue(us)
	}
	if req.kind.Deadline > 0 && latency > req.kind.Deadline {
		p.late++
		return
	}
	s.whole++
	r.second(req.at + latency).work += req.kind.RunTime.Seconds()
}

func (r *recorder) second(at time.Duration) *secondRecord {
	i := int(at / time.Second)
	if r.seconds[i] == nil {
		r.seconds[i] = &secondRecord{urgent: newHistogram(secondDigits)}
	}
	return r.seconds[i]
}

// phaseResults returns the results of all phases and seconds.
func (r *recorder) phaseResults(phases []Phase) ([]PhaseResult, []Second) {
	var out []PhaseResult
	var total time.Duration
	for i, p := range phases {
		total += p.Length
		res := PhaseResult{Name: p.Name, Seconds: p.Length.Seconds()}
		for _, name := range r.order {
			if rec := r.phases[phaseKey{i, name}]; rec != nil {
				res.Kinds = append(res.Kinds, rec.result(r.kinds[name].kind))
			}
		}
		out = append(out, res)
	}
	seconds := make([]Second, int(total/time.Second))
	for i := range seconds {
		if s := r.seconds[i]; s != nil {
			seconds[i] = Second{Sent: s.sent, Whole: s.whole, P99: s.urgent.ValueAtQuantile(99), Work: s.work}
		}
	}
	return out, seconds
}

func (p *phaseRecord) result(k manifest.Kind) KindResult {
	row := KindResult{Class: string(k.Urgency), Kind: k.Name, Whole: p.outcomes[whole], NotRun: p.outcomes[notRun],
		Unknown: p.outcomes[unknown], Late: p.late, Latency: latencyOf(p.latency), Histogram: p.latency}
	row.Sent = row.Whole + row.NotRun + row.Unknown
	return row
}
