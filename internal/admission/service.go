package admission

import (
	"math"
	"time"
)

const (
	// observationWeight is the weight of a new observation in the moving average.
	observationWeight = 0.1
	// estimateHalfLife is the time without an observation after which an estimate is halved. Otherwise a short slow
	// phase could cause all requests of a kind to be refused permanently, because refused requests give no observation.
	estimateHalfLife = 2 * time.Second
)

// ServiceTimes estimates the service time of each kind from observations. Declared times are not used, because they can
// be far off. It is not safe for concurrent use.
type ServiceTimes struct {
	byKind  map[string]*estimate
	overall estimate
}

type estimate struct {
	mean         float64
	lastObserved time.Time
}

// NewServiceTimes returns estimates of zero for every kind.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{byKind: map[string]*estimate{}} }

// Observe records how long a request of a kind occupied its slot.
func (s *ServiceTimes) Observe(now time.Time, kind string, d time.Duration) {
	e := s.byKind[kind]
	if e == nil {
		e = &estimate{}
		s.byKind[kind] = e
	}
	e.observe(now, d)
	s.overall.observe(now, d)
}

func (e *estimate) observe(now time.Time, d time.Duration) {
	if e.lastObserved.IsZero() {
		e.mean = float64(d)
	} else {
		e.mean += observationWeight * (float64(d) - e.mean)
	}
	e.lastObserved = now
}

// decayed returns the mean, halved for each estimateHalfLife since the last observation.
func (e *estimate) decayed(now time.Time) time.Duration {
	return time.Duration(e.mean * math.Exp2(-math.Floor(now.Sub(e.lastObserved).Seconds()/estimateHalfLife.Seconds())))
}

// Decay halves the estimates without a recent observation. It must be called about once a second.
func (s *ServiceTimes) Decay(now time.Time) {
	s.overall.decay(now)
	for _, e := range s.byKind {
		e.decay(now)
	}
}

func (e *estimate) decay(now time.Time) {
	if now.Sub(e.lastObserved) > estimateHalfLife {
		e.mean /= 2
		e.lastObserved = now
	}
}

// Estimate returns the expected service time of a kind, zero if unknown.
func (s *ServiceTimes) Estimate(kind string) time.Duration {
	if e := s.byKind[kind]; e != nil {
		return time.Duration(e.mean)
	}
	return 0
}

// Mean returns the expected service time over all kinds, zero if unknown.
func (s *ServiceTimes) Mean() time.Duration { return time.Duration(s.overall.mean) }
