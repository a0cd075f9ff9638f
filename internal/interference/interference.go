// Package interference learns by how much the best-effort tasks on a worker lengthen the tail latency of the services
// beside them, for each pair of images. It uses no clock, network or goroutine.
//
// The model is log(tail latency) = base of the service image + load level of the service + sum over best-effort images of
// coefficient x share of the worker's processors in use. The level is given (package loadlevel); the rest is fitted by ridge
// regression over observations whose weight decays exponentially.
package interference

import (
	"cmp"
	"math"
	"slices"
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
	// maxImages and maxServices limit the best-effort images and the services of a model. A service with maxImages images takes
	// about 34 KB. A further image replaces the one that was not observed for the longest time, if that is at least
	// replaceableAfter, and is ignored otherwise.
	maxImages        = 64
	maxServices      = 256
	replaceableAfter = memoryHalfLife
	// imageRetention is how long an image that is not observed is kept; less than a hundredth of what is remembered of it is
	// left then. Deployments name a new image with each build, so images that no longer run must be forgotten.
	imageRetention = 10 * time.Minute
	// maxNameBytes is the longest name of an image that is observed, the same as that of new submissions.
	maxNameBytes = 256
	// minStoredWeight and minStoredMemory are the weight and the memory below which a coefficient is not worth storing.
	minStoredWeight = 1e-6
	minStoredMemory = 0.01
)

// Share is the share of a worker's processors that the tasks of a best-effort image use.
type Share struct {
	Image    string
	Fraction float64
}

// Model holds the regressions of all service images.
type Model struct {
	regressions map[string]*regression
	// columns holds the column of each best-effort image, from 1 on; images holds what is known of a column at its number
	// minus 1.
	columns map[string]int
	images  []image
}

// image is the best-effort image of a column.
type image struct {
	name       string
	observedAt time.Duration
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
	observedAt   time.Duration
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
	r := m.regression(now, service)
	if r == nil {
		return
	}
	x := make([]float64, 1, maxImages+1)
	x[0] = 1
	for _, s := range shares {
		i, ok := m.column(now, s.Image)
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

// regression returns the regression of a service and adds it if necessary; nil if the model has maxServices others that
// run.
func (m *Model) regression(now time.Duration, service string) *regression {
	r := m.regressions[service]
	if r == nil {
		if len(service) > maxNameBytes || len(m.regressions) >= maxServices && !m.replaceService(now) {
			return nil
		}
		r = &regression{decayedAt: now}
		m.regressions[service] = r
	}
	r.observedAt = now
	return r
}

// replaceService removes the service without an observation for the longest time, if that is replaceableAfter or more.
func (m *Model) replaceService(now time.Duration) bool {
	oldest, at := "", now-replaceableAfter
	for name, r := range m.regressions {
		if r.observedAt <= at {
			oldest, at = name, r.observedAt
		}
	}
	if oldest == "" {
		return false
	}
	delete(m.regressions, oldest)
	return true
}

// column returns the column of an image and adds it if necessary; false if the model has maxImages others that run.
func (m *Model) column(now time.Duration, name string) (int, bool) {
	if i, ok := m.columns[name]; ok {
		m.images[i-1].observedAt = now
		return i, true
	}
	if len(name) > maxNameBytes {
		return 0, false
	}
	if len(m.images) >= maxImages {
		oldest := slices.MinFunc(m.images, func(a, b image) int { return cmp.Compare(a.observedAt, b.observedAt) })
		if now-oldest.observedAt < replaceableAfter {
			return 0, false
		}
		m.keepImages(func(i image) bool { return i.name != oldest.name })
	}
	m.images = append(m.images, image{name: name, observedAt: now})
	m.columns[name] = len(m.images)
	return len(m.images), true
}

// Forget removes the images and services that were not observed for imageRetention.
func (m *Model) Forget(now time.Duration) {
	for name, r := range m.regressions {
		if now-r.observedAt > imageRetention {
			delete(m.regressions, name)
		}
	}
	m.keepImages(func(i image) bool { return now-i.observedAt <= imageRetention })
}

// keepImages removes the columns of the best-effort images that are not kept, and renumbers the others.
func (m *Model) keepImages(keep func(image) bool) {
	columns, images := []int{0}, make([]image, 0, len(m.images))
	for i, im := range m.images {
		if keep(im) {
			columns, images = append(columns, i+1), append(images, im)
		}
	}
	if len(images) == len(m.images) {
		return
	}
	m.images = images
	clear(m.columns)
	for i, im := range images {
		m.columns[im.name] = i + 1
	}
	for _, r := range m.regressions {
		r.keepColumns(columns)
	}
}

// keepColumns reduces the sums to some columns, in ascending order.
func (r *regression) keepColumns(columns []int) {
	n, _ := slices.BinarySearch(columns, r.n)
	kept := regression{n: n, xx: make([]float64, n*n), xy: make([]float64, n), memory: make([]float64, n),
		observedAt: r.observedAt, decayedAt: r.decayedAt}
	for i, from := range columns[:n] {
		kept.xy[i], kept.memory[i] = r.xy[from], r.memory[from]
		for k, other := range columns[:n] {
			kept.xx[i*n+k] = r.xx[from*r.n+other]
		}
	}
	*r = kept
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
	// Ages holds for how many milliseconds each image was not observed. Earlier versions do not write it.
	Ages []int64 `cbor:"3,keyasint,omitempty"`
}

// RegressionState is the stored regression of one service image: the weighted sums of x x' and of x y, and the remembered
// coefficients.
type RegressionState struct {
	// XX is the upper triangle of the sums, by row. Earlier versions store the whole matrix.
	XX     []float32 `cbor:"1,keyasint"`
	XY     []float32 `cbor:"2,keyasint"`
	Memory []float32 `cbor:"3,keyasint,omitempty"`
	// Columns holds the columns that the sums belong to, in ascending order; all from column 0 on if it is empty.
	Columns []int `cbor:"4,keyasint,omitempty"`
	// Age is for how many milliseconds the service was not observed.
	Age int64 `cbor:"5,keyasint,omitempty"`
}

// Upper limits of the encoded sizes of the parts of a State, in bytes: a number, a string or a list without its content,
// and an entry of a map with its keys.
const (
	numberBytes  = 9
	floatBytes   = 5
	headerBytes  = 5
	serviceBytes = 64
)

// State returns the state of the model for storage, which takes at most maxBytes in its encoded form. The services that were
// observed last are stored if not all fit; a successor learns the others anew.
func (m *Model) State(now time.Duration, maxBytes int) State {
	s := State{Services: make(map[string]RegressionState, len(m.regressions))}
	rest := maxBytes - serviceBytes
	for _, im := range m.images {
		s.Images = append(s.Images, im.name)
		s.Ages = append(s.Ages, (now - im.observedAt).Milliseconds())
		rest -= len(im.name) + headerBytes + numberBytes
	}
	if rest < 0 {
		return State{}
	}
	names := make([]string, 0, len(m.regressions))
	for name := range m.regressions {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.regressions[b].observedAt, m.regressions[a].observedAt), cmp.Compare(a, b))
	})
	for _, name := range names {
		r := m.regressions[name]
		columns := r.storedColumns()
		n := len(columns)
		rest -= len(name) + serviceBytes + n*numberBytes + (n*(n+1)/2+2*n)*floatBytes
		if rest < 0 {
			break
		}
		s.Services[name] = r.state(now, columns)
	}
	return s
}

// storedColumns returns the columns of which something is known: the base, and images with observations or a memory.
func (r *regression) storedColumns() []int {
	columns := []int{0}
	for i := 1; i < r.n; i++ {
		if r.xx[i*r.n+i] >= minStoredWeight || r.memory[i] >= minStoredMemory {
			columns = append(columns, i)
		}
	}
	return columns
}

func (r *regression) state(now time.Duration, columns []int) RegressionState {
	s := RegressionState{Columns: columns, Age: (now - r.observedAt).Milliseconds()}
	for i, row := range columns {
		s.XY, s.Memory = append(s.XY, float32(r.xy[row])), append(s.Memory, float32(r.memory[row]))
		for _, column := range columns[i:] {
			s.XX = append(s.XX, float32(r.xx[row*r.n+column]))
		}
	}
	return s
}

// Restore returns a model that continues from a state, which may be of an earlier version. Services whose sums do not have
// matching sizes are ignored, and so are images and services beyond the limits of a model.
func Restore(now time.Duration, s State) *Model {
	m := New()
	columns := make([]int, len(s.Images)+1)
	for i, name := range s.Images {
		if len(m.images) >= maxImages || m.columns[name] != 0 {
			continue
		}
		observedAt := now
		if i < len(s.Ages) {
			observedAt -= age(s.Ages[i])
		}
		m.images = append(m.images, image{name: name, observedAt: observedAt})
		columns[i+1] = len(m.images)
		m.columns[name] = columns[i+1]
	}
	names := make([]string, 0, len(s.Services))
	for name := range s.Services {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Services[a].Age, s.Services[b].Age), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxServices)] {
		if r := restoreRegression(now, s.Services[name], columns); r != nil {
			m.regressions[name] = r
		}
	}
	return m
}

// restoreRegression returns the regression of a state; nil if its sizes do not match. columns holds the column of the model
// for each stored one, 0 for those that are not restored.
func restoreRegression(now time.Duration, s RegressionState, columns []int) *regression {
	stored := s.Columns
	if len(stored) == 0 {
		for i := range s.XY {
			stored = append(stored, i)
		}
	}
	n := len(s.XY)
	triangle := len(s.XX) == n*(n+1)/2
	if n == 0 || len(stored) != n || !triangle && len(s.XX) != n*n || stored[0] != 0 {
		return nil
	}
	size := 1
	for i, column := range stored {
		if column < 0 || column >= len(columns) || i > 0 && column <= stored[i-1] {
			return nil
		}
		size = max(size, columns[column]+1)
	}
	r := &regression{n: size, xx: make([]float64, size*size), xy: make([]float64, size), memory: make([]float64, size),
		decayedAt: now, observedAt: now - age(s.Age)}
	// sum returns an element of the upper triangle.
	sum := func(i, k int) float64 {
		if triangle {
			return float64(s.XX[i*n-i*(i-1)/2+k-i])
		}
		return float64(s.XX[i*n+k])
	}
	restored := func(i int) bool { return i == 0 || columns[stored[i]] > 0 }
	for i, row := range stored {
		if !restored(i) {
			continue
		}
		to := columns[row]
		r.xy[to] = float64(s.XY[i])
		if i < len(s.Memory) {
			r.memory[to] = float64(s.Memory[i])
		}
		for k := i; k < n; k++ {
			if restored(k) {
				other := columns[stored[k]]
				r.xx[to*size+other], r.xx[other*size+to] = sum(i, k), sum(i, k)
			}
		}
	}
	return r
}

// age returns a stored age. One that is longer than imageRetention is forgotten at the next opportunity anyway.
func age(millis int64) time.Duration {
	return time.Duration(min(max(0, millis), imageRetention.Milliseconds()+1)) * time.Millisecond
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
