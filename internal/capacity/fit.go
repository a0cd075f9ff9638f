package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// minDistinctSizes is the smallest number of distinct sizes for a fit. A line through two points has no residuals,
	// without which its error cannot be estimated.
	minDistinctSizes = 3
	// confidenceLevel is the level of all confidence intervals.
	confidenceLevel = 0.95
)

// Key identifies a series of samples.
type Key struct {
	Axis   Axis
	Role   Role
	Metric Metric
}

// Fit is a least squares fit of a line to the samples of a key.
type Fit struct {
	Key
	// Sizes holds the distinct sizes in ascending order, Means the mean value at each.
	Sizes, Means []float64
	// Points is the number of samples.
	Points    int
	Intercept float64
	// Slope is the cost of one more unit of the axis. StdErr is its standard error, Margin the half width of its 95%
	// confidence interval.
	Slope, StdErr, Margin float64
	// R2 is the coefficient of determination.
	R2 float64
}

// Significant reports whether the 95% confidence interval of the slope excludes zero.
func (f Fit) Significant() bool { return math.Abs(f.Slope) > f.Margin }

// Fits returns one fit for each key that has samples at three or more distinct sizes.
func Fits(samples []Sample) map[Key]Fit {
	out := map[Key]Fit{}
	for key, points := range groupByKey(samples) {
		if f, ok := fitLine(key, points); ok {
			out[key] = f
		}
	}
	return out
}

func groupByKey(samples []Sample) map[Key][]Sample {
	out := map[Key][]Sample{}
	for _, s := range samples {
		key := Key{s.Axis, s.Role, s.Metric}
		out[key] = append(out[key], s)
	}
	return out
}

// fitLine fits a line to the samples of a key. It returns false if they have fewer than minDistinctSizes sizes.
func fitLine(key Key, points []Sample) (Fit, bool) {
	var x, y []float64
	valuesBySize := map[float64][]float64{}
	for _, p := range points {
		x, y = append(x, p.Size), append(y, p.Value)
		valuesBySize[p.Size] = append(valuesBySize[p.Size], p.Value)
	}
	if len(valuesBySize) < minDistinctSizes {
		return Fit{}, false
	}
	f := Fit{Key: key, Points: len(x)}
	for size := range valuesBySize {
		f.Sizes = append(f.Sizes, size)
	}
	slices.Sort(f.Sizes)
	for _, size := range f.Sizes {
		f.Means = append(f.Means, stat.Mean(valuesBySize[size], nil))
	}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	f.StdErr = slopeStdErr(x, y, f.Intercept, f.Slope)
	f.Margin = studentFactor(len(x)-2) * f.StdErr
	return f, true
}

// slopeStdErr returns the standard error of the slope of a least squares line.
func slopeStdErr(x, y []float64, intercept, slope float64) float64 {
	mean := stat.Mean(x, nil)
	var residualSquares, sizeSquares float64
	for i := range x {
		d := y[i] - intercept - slope*x[i]
		residualSquares += d * d
		sizeSquares += (x[i] - mean) * (x[i] - mean)
	}
	return math.Sqrt(residualSquares / float64(len(x)-2) / sizeSquares)
}

// studentFactor returns the quantile of Student's t distribution that scales a standard error to the half width of the
// 95% confidence interval.
func studentFactor(degreesOfFreedom int) float64 {
	if degreesOfFreedom < 1 {
		return math.Inf(1)
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(degreesOfFreedom)}.Quantile((1 + confidenceLevel) / 2)
}
