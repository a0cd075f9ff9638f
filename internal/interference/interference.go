// Package interference learns by how much the best-effort tasks on a worker lengthen the tail latency of the services
// beside them, for each pair of images. It uses no clock, network or goroutine.
//
// The model is log(tail latency) = base of the service image + load level of the service + sum over best-effort images of
// coefficient x share of the worker's processors in use. The level is given (package loadlevel); the rest is fitted by ridge
// regression over observations whose weight decays exponentially.
package interference

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// ridgeWeight is the weight of the prior that an image has no effect. Observations count with their squared share
	// of a worker's processors, so a few of them with a share of a tenth outweigh it.
	ridgeWeight = 0.03
	// halfLife is the time in which the weight of an observation halves. Old observations must lose weight, because the
	// effect of an image changes with the load of the services.
	halfLife = 20 * time.Second
	// refitInterval is how long fitted coefficients are used before the next fit.
	refitInterval = 200 * time.Millisecond
	// minTailMillis avoids the logarithm of zero; maxTailMillis keeps single outliers from dominating the fit.
	minTailMillis, maxTailMillis = 1.0, 400.0
	// An image counts as known beside a service from the weight knownWeight of its observations on. The coefficient of a known
	// image is remembered: without new observations, the fit returns to it and not to 0, since an image that is kept away from a
	// service is not observed beside it. memoryHalfLife is the time in which half of the memory is lost, so that the image is tried
	// again.
	knownWeight    = 0.02
	memoryHalfLife = 90 * time.Second
	// maxCoefficient limits a fitted coefficient. The largest ones measured are about 12.
	maxCoefficient = 15.0
	// maxImages limits the number of best-effort images in a model; further ones are ignored.
	maxImages = 64
)

// Share is the share of a worker's processors that the tasks of a best-effort image use.
type Share struct {
	Image    string
	Fraction float64
}

// Model holds the regressions of all service images.
type Model struct {
	regressions map[string]*regression
	// columns holds the column of each best-effort image, from 1 on.
	columns map[string]int
}

// New returns an empty model.
func New() *Model { return &Model{regressions: map[string]*regression{}, columns: map[string]int{}} }

// regression is the ridge regression of one service image. Column 0 is the base; the others are best-effort images.
type regression struct {
	// n is the number of columns.
	n int
	// xx and xy are the weighted sums of x x', by row, and of x y over the observations, where x holds the shares and y
	// the logarithm of the tail latency.
	xx           []float64
	xy           []float64
	decayedAt    time.Duration
	solvedAt     time.Duration
	solved       bool
	coefficients []float64
	// memory holds the newest coefficient of each column from when it was known.
	memory []float64
}

// Observe adds the tail latency of a service task in milliseconds, with the shares of the worker's processors that
// best-effort tasks were using beside it. level is the part of its logarithm that the load of the service explains.
func (m *Model) Observe(now time.Duration, service string, tailMillis, level float64, shares []Share) {
	r := m.regressions[service]
	if r == nil {
		r = &regression{decayedAt: now}
		m.regressions[service] = r
	}
	x := make([]float64, 1, maxImages+1)
	x[0] = 1
	for _, s := range shares {
		i, ok := m.column(s.Image)
		if !ok {
			continue
		}
		for len(x) <= i {
			x = append(x, 0)
		}
		x[i] += s.Fraction
	}
	r.grow(len(x))
	r.decay(now)
	y := LogTail(tailMillis) - level
	for i, v := range x {
		if v == 0 {
			continue
		}
		r.xy[i] += v * y
		for k, u := range x {
			r.xx[i*r.n+k] += v * u
		}
	}
}

// LogTail returns the logarithm of a tail latency in milliseconds, within the limits of the model.
func LogTail(millis float64) float64 { return math.Log(min(max(millis, minTailMillis), maxTailMillis)) }

// column returns the column of an image and adds it if necessary; false if the model has maxImages others.
func (m *Model) column(image string) (int, bool) {
	if i, ok := m.columns[image]; ok {
		return i, true
	}
	if len(m.columns) >= maxImages {
		return 0, false
	}
	i := len(m.columns) + 1
	m.columns[image] = i
	return i, true
}

// grow extends the sums to n columns.
func (r *regression) grow(n int) {
	if n <= r.n {
		return
	}
	xx := make([]float64, n*n)
	for i := range r.n {
		copy(xx[i*n:i*n+r.n], r.xx[i*r.n:(i+1)*r.n])
	}
	xy := make([]float64, n)
	copy(xy, r.xy)
	r.memory = append(r.memory, make([]float64, n-r.n)...)
	r.n, r.xx, r.xy, r.solved = n, xx, xy, false
}

// minDecayInterval limits how often the sums are decayed, because each time goes through all of them.
const minDecayInterval = 500 * time.Millisecond

func (r *regression) decay(now time.Duration) {
	if now-r.decayedAt < minDecayInterval {
		return
	}
	factor := math.Exp2(-float64(now-r.decayedAt) / float64(halfLife))
	for i := range r.xx {
		r.xx[i] *= factor
	}
	for i := range r.xy {
		r.xy[i] *= factor
	}
	lost := math.Exp2(-float64(now-r.decayedAt) / float64(memoryHalfLife))
	for i := 1; i < r.n; i++ {
		r.memory[i] *= lost
	}
	r.decayedAt = now
}

// State is the state of a model for storage.
type State struct {
	// Images holds the best-effort images in the order of their columns, from column 1 on.
	Images   []string                   `cbor:"1,keyasint"`
	Services map[string]RegressionState `cbor:"2,keyasint"`
}

// RegressionState is the stored regression of one service image: the weighted sums of x x', by row, and of x y, and the
// remembered coefficients.
type RegressionState struct {
	XX     []float32 `cbor:"1,keyasint"`
	XY     []float32 `cbor:"2,keyasint"`
	Memory []float32 `cbor:"3,keyasint,omitempty"`
}

// State returns the state of the model for storage.
func (m *Model) State() State {
	s := State{Images: make([]string, len(m.columns)), Services: make(map[string]RegressionState, len(m.regressions))}
	for image, i := range m.columns {
		s.Images[i-1] = image
	}
	for image, r := range m.regressions {
		s.Services[image] = RegressionState{XX: toFloat32(r.xx), XY: toFloat32(r.xy), Memory: toFloat32(r.memory)}
	}
	return s
}

// Restore returns a model that continues from a state. Services whose sums do not have matching sizes are ignored.
func Restore(now time.Duration, s State) *Model {
	m := New()
	for i, image := range s.Images {
		m.columns[image] = i + 1
	}
	for image, sums := range s.Services {
		n := len(sums.XY)
		if n == 0 || n > len(s.Images)+1 || len(sums.XX) != n*n {
			continue
		}
		r := &regression{n: n, xx: toFloat64(sums.XX), xy: toFloat64(sums.XY), decayedAt: now, memory: make([]float64, n)}
		copy(r.memory, toFloat64(sums.Memory))
		m.regressions[image] = r
	}
	return m
}

func toFloat32(v []float64) []float32 {
	out := make([]float32, len(v))
	for i, x := range v {
		out[i] = float32(x)
	}
	return out
}

func toFloat64(v []float32) []float64 {
	out := make([]float64, len(v))
	for i, x := range v {
		out[i] = float64(x)
	}
	return out
}

// Coefficient returns by how much the logarithm of a service's tail latency rises if the tasks of a best-effort image
// use all processors of a worker. It is at least 0, and 0 if nothing is known.
func (m *Model) Coefficient(now time.Duration, service, image string) float64 {
	r, i := m.regressions[service], m.columns[image]
	if r == nil || i == 0 || i >= r.n {
		return 0
	}
	r.solve(now)
	return max(0, r.coefficients[i])
}

// Base returns the expected tail latency of a service without best-effort tasks at its mean load, in milliseconds, and false
// before any observation.
func (m *Model) Base(now time.Duration, service string) (float64, bool) {
	r := m.regressions[service]
	if r == nil {
		return 0, false
	}
	r.solve(now)
	return math.Exp(r.coefficients[0]), true
}

func (r *regression) solve(now time.Duration) {
	if r.solved && now-r.solvedAt < refitInterval {
		return
	}
	r.solved, r.solvedAt = true, now
	a := mat.NewSymDense(r.n, append([]float64(nil), r.xx...))
	b := mat.NewVecDense(r.n, append([]float64(nil), r.xy...))
	for i := range r.n {
		a.SetSym(i, i, a.At(i, i)+ridgeWeight)
		b.SetVec(i, b.AtVec(i)+ridgeWeight*r.memory[i])
	}
	var c mat.Cholesky
	out := mat.NewVecDense(r.n, nil)
	if ok := c.Factorize(a); !ok || c.SolveVecTo(out, b) != nil {
		// The ridge keeps the matrix positive definite, so only rounding errors lead here. The last coefficients are
		// kept; columns without one get 0.
		r.coefficients = append(r.coefficients, make([]float64, r.n-len(r.coefficients))...)
		return
	}
	r.coefficients = out.RawVector().Data
	for i := range r.coefficients {
		if i > 0 {
			r.coefficients[i] = min(max(0, r.coefficients[i]), maxCoefficient)
		}
		if r.xx[i*r.n+i] >= knownWeight {
			r.memory[i] = r.coefficients[i]
		}
	}
}
