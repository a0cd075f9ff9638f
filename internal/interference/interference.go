// Package interference learns how much the best-effort tasks on a worker lengthen the tail latency of the services beside them, for each pair of
// images. It holds no clock, network or goroutine.
//
// The model is log(tail) = base of the service image + sum over best-effort images of coefficient x share of the worker's processors in use.
// It is fitted by ridge regression over observations whose weight fades.
package interference

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// ridge is the weight of the assumption that an image disturbs nothing, in squared shares of a worker: a few observations of a task
	// on a tenth of a worker's processors outweigh it.
	ridge = 0.03
	// fade is the time in which the weight of an observation halves; disturbance changes with the load of the services.
	fade = 20 * time.Second
	// refit is the age up to which fitted coefficients are used.
	refit = 200 * time.Millisecond
	// minTail avoids the logarithm of zero, in milliseconds; maxTail keeps single peaks from ruling the fit.
	minTail, maxTail = 1.0, 400.0
	// maxImages bounds the best-effort images of a model; others are not learned.
	maxImages = 64
)

// Share is the part of a worker's processors that the tasks of a best-effort image use.
type Share struct {
	Image string
	Part  float64
}

// Model holds the observations of all pairs.
type Model struct {
	services map[string]*fit
	index    map[string]int
}

// New returns an empty model.
func New() *Model { return &Model{services: map[string]*fit{}, index: map[string]int{}} }

// fit is the regression of one service image. Column 0 is the base.
type fit struct {
	n            int
	xx           []float64
	xy           []float64
	faded        time.Duration
	solvedAt     time.Duration
	solved       bool
	coefficients []float64
}

// Observe adds the tail latency of a service task, in milliseconds, beside the shares in use.
func (m *Model) Observe(now time.Duration, service string, tail float64, shares []Share) {
	f := m.services[service]
	if f == nil {
		f = &fit{faded: now}
		m.services[service] = f
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
		x[i] += s.Part
	}
	f.grow(len(x))
	f.age(now)
	y := math.Log(min(max(tail, minTail), maxTail))
	for i, v := range x {
		if v == 0 {
			continue
		}
		f.xy[i] += v * y
		for k, u := range x {
			f.xx[i*f.n+k] += v * u
		}
	}
}

func (m *Model) column(image string) (int, bool) {
	if i, ok := m.index[image]; ok {
		return i, true
	}
	if len(m.index) >= maxImages {
		return 0, false
	}
	i := len(m.index) + 1
	m.index[image] = i
	return i, true
}

func (f *fit) grow(n int) {
	if n <= f.n {
		return
	}
	xx := make([]float64, n*n)
	for i := range f.n {
		copy(xx[i*n:i*n+f.n], f.xx[i*f.n:(i+1)*f.n])
	}
	xy := make([]float64, n)
	copy(xy, f.xy)
	f.n, f.xx, f.xy, f.solved = n, xx, xy, false
}

// ageStep keeps the fading from being worked out for each observation.
const ageStep = 500 * time.Millisecond

func (f *fit) age(now time.Duration) {
	if now-f.faded < ageStep {
		return
	}
	w := math.Exp2(-float64(now-f.faded) / float64(fade))
	for i := range f.xx {
		f.xx[i] *= w
	}
	for i := range f.xy {
		f.xy[i] *= w
	}
	f.faded = now
}

// State is what a model has learned, in a form that can be stored.
type State struct {
	// Images holds the best-effort images in the order of their columns, from column 1 on.
	Images   []string            `cbor:"1,keyasint"`
	Services map[string]FitState `cbor:"2,keyasint"`
}

// FitState is the regression of one service image: the sums of x x' by row, and of x y.
type FitState struct {
	XX []float32 `cbor:"1,keyasint"`
	XY []float32 `cbor:"2,keyasint"`
}

// State returns what the model has learned.
func (m *Model) State() State {
	s := State{Images: make([]string, len(m.index)), Services: make(map[string]FitState, len(m.services))}
	for image, i := range m.index {
		s.Images[i-1] = image
	}
	for image, f := range m.services {
		s.Services[image] = FitState{XX: narrow(f.xx), XY: narrow(f.xy)}
	}
	return s
}

// Restore returns a model that goes on from a state. Services whose sums do not fit together are left out.
func Restore(now time.Duration, s State) *Model {
	m := New()
	for i, image := range s.Images {
		m.index[image] = i + 1
	}
	for image, f := range s.Services {
		n := len(f.XY)
		if n == 0 || n > len(s.Images)+1 || len(f.XX) != n*n {
			continue
		}
		m.services[image] = &fit{n: n, xx: widen(f.XX), xy: widen(f.XY), faded: now}
	}
	return m
}

func narrow(v []float64) []float32 {
	out := make([]float32, len(v))
	for i, x := range v {
		out[i] = float32(x)
	}
	return out
}

func widen(v []float32) []float64 {
	out := make([]float64, len(v))
	for i, x := range v {
		out[i] = float64(x)
	}
	return out
}

// Coefficient returns by how much the logarithm of the service's tail grows if the tasks of an image use all processors of a worker, at least 0.
func (m *Model) Coefficient(now time.Duration, service, image string) float64 {
	f, i := m.services[service], m.index[image]
	if f == nil || i == 0 || i >= f.n {
		return 0
	}
	f.solve(now)
	return max(0, f.coefficients[i])
}

// Base returns the expected tail of a service without best-effort tasks, in milliseconds, and false before any observation.
func (m *Model) Base(now time.Duration, service string) (float64, bool) {
	f := m.services[service]
	if f == nil {
		return 0, false
	}
	f.solve(now)
	return math.Exp(f.coefficients[0]), true
}

func (f *fit) solve(now time.Duration) {
	if f.solved && now-f.solvedAt < refit {
		return
	}
	f.solved, f.solvedAt = true, now
	a := mat.NewSymDense(f.n, append([]float64(nil), f.xx...))
	for i := range f.n {
		a.SetSym(i, i, a.At(i, i)+ridge)
	}
	var c mat.Cholesky
	out := mat.NewVecDense(f.n, nil)
	if ok := c.Factorize(a); !ok || c.SolveVecTo(out, mat.NewVecDense(f.n, f.xy)) != nil {
		// The ridge keeps the matrix positive; rounding alone leads here, and the last coefficients stand.
		f.coefficients = append(f.coefficients, make([]float64, f.n-len(f.coefficients))...)
		return
	}
	f.coefficients = out.RawVector().Data
}
