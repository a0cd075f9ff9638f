package admission

import (
	"math"
	"time"
)

const (
	// newShare is the weight of a new observation in the average.
	newShare = 0.1
	// staleAfter is the time without an observation after which an estimate is halved. Otherwise one slow spell could refuse a
	// kind for ever, because refused requests give no observation.
	staleAfter = 2 * time.Second
)

// Services estimates the service time of each kind from observations. Declared times are not used, because they can be far off.
// It is not safe for concurrent use.
type Services struct {
	kinds map[string]*estimate
	total estimate
}

type estimate struct {
	mean float64
	seen time.Time
}

// NewServices returns estimates of zero for every kind.
func NewServices() *Services { return &Services{kinds: map[string]*estimate{}} }

// Observe takes up how long a request of a kind occupied its slot.
func (s *Services) Observe(now time.Time, kind string, d time.Duration) {
	e := s.kinds[kind]
	if e == nil {
		e = &estimate{}
		s.kinds[kind] = e
	}
	e.observe(now, d)
	s.total.observe(now, d)
}

func (e *estimate) observe(now time.Time, d time.Duration) {
	if e.seen.IsZero() {
		e.mean = float64(d)
	} else {
		e.mean += newShare * (float64(d) - e.mean)
	}
	e.seen = now
}

// aged returns the mean, halved for each staleAfter since the last observation.
func (e *estimate) aged(now time.Time) time.Duration {
	return time.Duration(e.mean * math.Exp2(-math.Floor(now.Sub(e.seen).Seconds()/staleAfter.Seconds())))
}

// Age halves the estimates without a recent observation. It is called about once a second.
func (s *Services) Age(now time.Time) {
	s.total.age(now)
	for _, e := range s.kinds {
		e.age(now)
	}
}

func (e *estimate) age(now time.Time) {
	if now.Sub(e.seen) > staleAfter {
		e.mean /= 2
		e.seen = now
	}
}

// Estimate returns the expected service time of a kind, zero if there is none.
func (s *Services) Estimate(kind string) time.Duration {
	if e := s.kinds[kind]; e != nil {
		return time.Duration(e.mean)
	}
	return 0
}

// Mean returns the expected service time over all kinds, zero if there is none.
func (s *Services) Mean() time.Duration { return time.Duration(s.total.mean) }
