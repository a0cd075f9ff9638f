package load

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

// request is a request of the plan.
type request struct {
	id   string
	kind manifest.Kind
	// sendAt is the intended send time since the start of the run.
	sendAt time.Duration
	body   []byte
	// withRepeat asks for a second call with the same ticket, as sendWithRepeat describes.
	withRepeat bool
	// inPeak reports whether the request arrives during a peak.
	inPeak bool
	// phase is the index of the phase in which the request arrives, or noPhase.
	phase int
}

// plan generates the requests of a run one after the other. Equal seeds and settings give equal plans, apart from the
// prefix of the request ids, which is unique to each run.
type plan struct {
	settings *Settings
	kinds    kinds
	rng      *rand.Rand
	prefix   string
	// elapsed is the send time of the last request since the start of the run.
	elapsed     time.Duration
	count       int
	totalWeight float64
}

func newPlan(s *Settings, k kinds) *plan {
	p := &plan{settings: s, kinds: k, rng: rand.New(rand.NewPCG(s.Seed, 0)), prefix: uuid.NewString()[:8]}
	for _, w := range k.weights {
		p.totalWeight += w
	}
	return p
}

// next returns the next request, or false when the run has reached its duration or its number of requests.
func (p *plan) next() (request, bool) {
	s := p.settings
	if s.Rate <= 0 || p.count >= s.Requests {
		return request{}, false
	}
	rate := p.rate()
	if rate > 0 {
		p.elapsed += time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
	} else {
		p.elapsed += s.PeakLength
	}
	if p.elapsed >= s.Duration {
		return request{}, false
	}
	p.count++
	k := p.drawKind()
	r := request{id: p.prefix + "-" + strconv.Itoa(p.count), kind: k, sendAt: p.elapsed, body: p.drawBody(),
		inPeak: p.inPeak(p.elapsed), phase: phaseAt(s.Phases, p.elapsed)}
	r.withRepeat = !k.Idempotent && p.rng.Float64() < s.Repeat
	return r, true
}

// rate returns the rate at the current time of the plan, in requests per second.
func (p *plan) rate() float64 {
	s := p.settings
	if i := phaseAt(s.Phases, p.elapsed); i != noPhase {
		return s.Rate * s.Phases[i].Factor
	}
	if p.inPeak(p.elapsed) {
		return s.Rate * s.PeakFactor
	}
	return s.Rate
}

// inPeak reports whether a time since the start of the run lies in a peak. Each interval of PeakEvery ends with a peak
// of PeakLength.
func (p *plan) inPeak(at time.Duration) bool {
	s := p.settings
	return s.PeakFactor != 1 && at%s.PeakEvery >= s.PeakEvery-s.PeakLength
}

// drawKind returns a random request kind with a probability proportional to its weight.
func (p *plan) drawKind() manifest.Kind {
	x := p.rng.Float64() * p.totalWeight
	for i, w := range p.kinds.weights {
		if x -= w; x < 0 {
			return p.kinds.requests[i]
		}
	}
	return p.kinds.requests[len(p.kinds.requests)-1]
}

// drawBody returns a body of random bytes.
func (p *plan) drawBody() []byte {
	b := make([]byte, p.settings.BodyBytes)
	for i := range b {
		b[i] = byte(p.rng.Uint32())
	}
	return b
}
