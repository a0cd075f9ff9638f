package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// minSizes is the smallest number of different sizes behind a slope. A line through two points has no residuals, so its
	// error could not be told.
	minSizes = 3
	// confidence is the level of all error ranges.
	confidence = 0.95
)

// Key names a series of samples.
type Key struct {
	Axis   Axis
	Role   Role
	Metric Metric
}

// Fit is a least squares line through the samples of a key.
type Fit struct {
	Key
	// Sizes are the different sizes in ascending order, Means the mean value at each.
	Sizes, Means []float64
	Points       int
	Intercept    float64
	// Slope is the cost of one more unit of the axis. StdErr is its standard error, Range the half width of its 95% interval.
	Slope, StdErr, Range float64
	// R2 is the coefficient of determination.
	R2 float64
}

// Significant reports whether the 95% interval of the slope excludes zero.
func (f Fit) Significant() bool { return math.Abs(f.Slope) > f.Range }

// Fits returns one fit for each key that has samples at three or more sizes.
func Fits(samples []Sample) map[Key]Fit {
	out := map[Key]Fit{}
	for key, points := range group(samples) {
		if f, ok := fitLine(key, points); ok {
			out[key] = f
		}
	}
	return out
}

func group(samples []Sample) map[Key][]Sample {
	out := map[Key][]Sample{}
	for _, s := range samples {
		key := Key{s.Axis, s.Role, s.Metric}
		out[key] = append(out[key], s)
	}
	return out
}

// fitLine returns false if there are too few sizes.
func fitLine(key Key, points []Sample) (Fit, bool) {
	var x, y []float64
	at := map[float64][]float64{}
	for _, p := range points {
		x, y = append(x, p.Size), append(y, p.Value)
		at[p.Size] = append(at[p.Size], p.Value)
	}
	if len(at) < minSizes {
		return Fit{}, false
	}
	f := Fit{Key: key, Points: len(x)}
	for size := range at {
		f.Sizes = append(f.Sizes, size)
	}
	slices.Sort(f.Sizes)
	for _, size := range f.Sizes {
		f.Means = append(f.Means, stat.Mean(at[size], nil))
	}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	f.StdErr = slopeError(x, y, f.Intercept, f.Slope)
	f.Range = quantile(len(x)-2) * f.StdErr
	return f, true
}

func slopeError(x, y []float64, intercept, slope float64) float64 {
	mean := stat.Mean(x, nil)
	var residuals, spread float64
	for i := range x {
		d := y[i] - intercept - slope*x[i]
		residuals += d * d
		spread += (x[i] - mean) * (x[i] - mean)
	}
	return math.Sqrt(residuals / float64(len(x)-2) / spread)
}

// quantile returns the factor from a standard error to the half width of the 95% interval.
func quantile(freedom int) float64 {
	if freedom < 1 {
		return math.Inf(1)
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(freedom)}.Quantile((1 + confidence) / 2)
}
