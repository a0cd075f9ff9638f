package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

const (
	// Latencies are recorded in microseconds with three significant digits, up to ten minutes.
	lowestLatency     = 1
	highestLatency    = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// secondDigits is the precision of the histograms of each second, of which there are many.
	secondDigits = 2
	maxDetails   = 50
)

// kindRecord holds what happened to the requests of one kind.
type kindRecord struct {
	kind     manifest.Kind
	outcomes [outcomes]int
	latency  *hdrhistogram.Histogram
	peak     *hdrhistogram.Histogram
	seconds  map[int]*hdrhistogram.Histogram
}

// recorder collects the results of all callers.
type recorder struct {
	mu       sync.Mutex
	order    []string
	kinds    map[string]*kindRecord
	faults   map[fault]int
	details  []string
	reasons  map[string]int
	repeats  int
	sent     int
	inFlight int
	// final holds the outcome of each request id for the check against the workers' own counts.
	final   map[string]final
	phases  map[phaseKey]*phaseRecord
	seconds map[int]*secondRecord
	// recent is the histogram of the last second, for the progress line.
	recent *hdrhistogram.Histogram
}

type final struct {
	outcome    outcome
	idempotent bool
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, digits)
}

func newRecorder(k kinds) *recorder {
	r := &recorder{kinds: map[string]*kindRecord{}, faults: map[fault]int{}, reasons: map[string]int{},
		phases: map[phaseKey]*phaseRecord{}, seconds: map[int]*secondRecord{}, final: map[string]final{}, recent: newHistogram(secondDigits)}
	for _, kind := range k.requests {
		r.order = append(r.order, kind.Name)
		r.kinds[kind.Name] = &kindRecord{kind: kind, latency: newHistogram(significantDigits),
			peak: newHistogram(significantDigits), seconds: map[int]*hdrhistogram.Histogram{}}
	}
	return r
}

// begin counts a request that is sent.
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
	r.final[req.id] = final{outcome: a.outcome, idempotent: req.kind.Idempotent}
	r.phase(req, a, latency)
	if a.outcome != whole {
		r.reasons[a.outcome.String()+": "+a.reason]++
		return
	}
	r.fault(a.fault, a.detail)
	us := min(max(latency.Microseconds(), lowestLatency), highestLatency)
	second := int(req.at / time.Second)
	if k.seconds[second] == nil {
		k.seconds[second] = newHistogram(secondDigits)
	}
	for _, h := range []*hdrhistogram.Histogram{k.latency, k.seconds[second], r.recent} {
		_ = h.RecordValue(us) // The value lies between the bounds of the histogram.
	}
	if req.peak {
		_ = k.peak.RecordValue(us)
	}
}

// repeated records the answer to a call that was repeated with the same ticket. If only the repeat ran, the request counts
// as unknown for the check against the workers.
func (r *recorder) repeated(req request, first, second answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats++
	if first.outcome == notRun && second.outcome != notRun {
		r.final[req.id] = final{outcome: unknown, idempotent: req.kind.Idempotent}
	}
	if second.outcome == whole {
		r.fault(second.fault, second.detail)
	}
	f, detail := compareRepeat(req, first, second)
	r.fault(f, detail)
}

// fault is called with mu held.
func (r *recorder) fault(f fault, detail string) {
	if f == faultNone {
		return
	}
	r.faults[f]++
	if len(r.details) < maxDetails {
		r.details = append(r.details, string(f)+": "+detail)
	}
}

// progress is a snapshot for the line of each second.
type progress struct {
	sent, inFlight int
	outcomes       [outcomes]int
	p99            time.Duration
}

// tick returns the progress and starts a new second.
func (r *recorder) tick() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := progress{sent: r.sent, inFlight: r.inFlight, p99: time.Duration(r.recent.ValueAtQuantile(99)) * time.Microsecond}
	for _, k := range r.kinds {
		for o, n := range k.outcomes {
			p.outcomes[o] += n
		}
	}
	r.recent.Reset()
	return p
}
