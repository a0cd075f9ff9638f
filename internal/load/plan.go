package load

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

// request is one planned request.
type request struct {
	id   string
	kind manifest.Kind
	// at is the intended send time since the start of the run.
	at   time.Duration
	body []byte
	// repeat asks for a second call with the same ticket through another gateway.
	repeat bool
	// peak tells that the request arrives during a peak.
	peak bool
	// phase is the index of the phase in which it arrives, noPhase without phases.
	phase int
}

// plan draws the requests of a run one after the other. Equal seeds give equal plans, apart from the prefix of the ids, which
// keeps the requests of two runs apart.
type plan struct {
	settings *Settings
	kinds    kinds
	random   *rand.Rand
	prefix   string
	now      time.Duration
	count    int
	total    float64
}

func newPlan(s *Settings, k kinds) *plan {
	p := &plan{settings: s, kinds: k, random: rand.New(rand.NewPCG(s.Seed, 0)), prefix: uuid.NewString()[:8]}
	for _, w := range k.weights {
		p.total += w
	}
	return p
}

// next returns the next request, or false at the end of the run.
func (p *plan) next() (request, bool) {
	s := p.settings
	if s.Rate <= 0 || p.count >= s.Requests {
		return request{}, false
	}
	rate := p.rate()
	if rate > 0 {
		p.now += time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
	} else {
		p.now += s.PeakLength
	}
	if p.now >= s.Duration {
		return request{}, false
	}
	p.count++
	k := p.kind()
	r := request{id: p.prefix + "-" + strconv.Itoa(p.count), kind: k, at: p.now, body: p.body(), peak: p.peak(p.now),
		phase: phaseAt(s.Phases, p.now)}
	r.repeat = !k.Idempotent && p.random.Float64() < s.Repeat
	return r, true
}

// rate returns the rate in force, in requests per second.
func (p *plan) rate() float64 {
	s := p.settings
	if i := phaseAt(s.Phases, p.now); i != noPhase {
		return s.Rate * s.Phases[i].Factor
	}
	if p.peak(p.now) {
		return s.Rate * s.PeakFactor
	}
	return s.Rate
}

// peak tells whether a time lies in a peak; an interval begins quiet and ends with its peak.
func (p *plan) peak(at time.Duration) bool {
	s := p.settings
	return s.PeakFactor != 1 && at%s.PeakEvery >= s.PeakEvery-s.PeakLength
}

func (p *plan) kind() manifest.Kind {
	x := p.random.Float64() * p.total
	for i, w := range p.kinds.weights {
		if x -= w; x < 0 {
			return p.kinds.requests[i]
		}
	}
	return p.kinds.requests[len(p.kinds.requests)-1]
}

func (p *plan) body() []byte {
	b := make([]byte, p.settings.BodyBytes)
	for i := range b {
		b[i] = byte(p.random.Uint32())
	}
	return b
}
