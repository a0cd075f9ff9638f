package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

const (
	// Latencies are recorded with three significant digits, up to ten minutes.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// perSecondDigits is the number of significant digits of the histograms of each second. It is lower to save memory,
	// because there is a histogram for each kind and second.
	perSecondDigits = 2
	// maxDetails limits the descriptions in each list of a result.
	maxDetails = 50
)

// kindRecord holds the counts of the requests of one kind. Its latencies are those of complete answers.
type kindRecord struct {
	kind     manifest.Kind
	outcomes [outcomeCount]int
	latency  *hdrhistogram.Histogram
	// peak covers the requests that arrived during peaks.
	peak *hdrhistogram.Histogram
	// seconds holds the latencies by second of arrival.
	seconds map[int]*hdrhistogram.Histogram
}

// recorder collects the results of all callers.
type recorder struct {
	mu sync.Mutex
	// kindOrder holds the names of the request kinds in the order of the manifest.
	kindOrder []string
	kinds     map[string]*kindRecord
	anomalies map[anomaly]int
	details   []string
	reasons   map[string]int
	repeats   int
	sent      int
	inFlight  int
	// finalOutcomes holds the outcome by request id, for the check against the workers' own counts.
	finalOutcomes map[string]finalOutcome
	phases        map[phaseKey]*phaseRecord
	seconds       map[int]*secondRecord
	// currentSecond holds the latencies since the last progress line.
	currentSecond *hdrhistogram.Histogram
}

// finalOutcome is the outcome of a request over its call and its repeat.
type finalOutcome struct {
	outcome    outcome
	idempotent bool
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits)
}

func newRecorder(k kinds) *recorder {
	r := &recorder{kinds: map[string]*kindRecord{}, anomalies: map[anomaly]int{}, reasons: map[string]int{},
		phases: map[phaseKey]*phaseRecord{}, seconds: map[int]*secondRecord{},
		finalOutcomes: map[string]finalOutcome{}, currentSecond: newHistogram(perSecondDigits)}
	for _, kind := range k.requests {
		r.kindOrder = append(r.kindOrder, kind.Name)
		r.kinds[kind.Name] = &kindRecord{kind: kind, latency: newHistogram(significantDigits),
			peak: newHistogram(significantDigits), seconds: map[int]*hdrhistogram.Histogram{}}
	}
	return r
}

// begin records that a request is about to be sent.
func (r *recorder) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.inFlight++
}

// end records the outcome of a request and its latency since the intended send time.
func (r *recorder) end(req request, a answer, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	k := r.kinds[req.kind.Name]
	k.outcomes[a.outcome]++
	r.finalOutcomes[req.id] = finalOutcome{outcome: a.outcome, idempotent: req.kind.Idempotent}
	r.recordPhase(req, a, latency)
	if a.outcome != outcomeAnswered {
		r.reasons[a.outcome.String()+": "+a.reason]++
		return
	}
	r.recordAnomaly(a.anomaly, a.detail)
	us := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	second := int(req.sendAt / time.Second)
	if k.seconds[second] == nil {
		k.seconds[second] = newHistogram(perSecondDigits)
	}
	for _, h := range []*hdrhistogram.Histogram{k.latency, k.seconds[second], r.currentSecond} {
		_ = h.RecordValue(us) // The value lies between the bounds of the histogram.
	}
	if req.inPeak {
		_ = k.peak.RecordValue(us)
	}
}

// recordRepeat records the answers to two calls with the same ticket. If the first was rejected and the repeat may have
// been executed, the final outcome is unknown, so that an execution is not counted as a violation.
func (r *recorder) recordRepeat(req request, first, second answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats++
	if first.outcome == outcomeRejected && second.outcome != outcomeRejected {
		r.finalOutcomes[req.id] = finalOutcome{outcome: outcomeUnknown, idempotent: req.kind.Idempotent}
	}
	if second.outcome == outcomeAnswered {
		r.recordAnomaly(second.anomaly, second.detail)
	}
	found, detail := compareRepeat(req, first, second)
	r.recordAnomaly(found, detail)
}

// recordAnomaly counts an anomaly, if there is one. r.mu must be held.
func (r *recorder) recordAnomaly(a anomaly, detail string) {
	if a == anomalyNone {
		return
	}
	r.anomalies[a]++
	if len(r.details) < maxDetails {
		r.details = append(r.details, string(a)+": "+detail)
	}
}

// progress is a snapshot of the counts for a progress line.
type progress struct {
	sent, inFlight int
	outcomes       [outcomeCount]int
	p99            time.Duration
}

// takeProgress returns the current progress and resets the latencies behind its p99.
func (r *recorder) takeProgress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := progress{sent: r.sent, inFlight: r.inFlight,
		p99: time.Duration(r.currentSecond.ValueAtQuantile(99)) * time.Microsecond}
	for _, k := range r.kinds {
		for o, n := range k.outcomes {
			p.outcomes[o] += n
		}
	}
	r.currentSecond.Reset()
	return p
}
