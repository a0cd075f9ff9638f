package load

import (
	"math"
	"path/filepath"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth      = 22 * vg.Centimeter
	plotHeight     = 12 * vg.Centimeter
	microsPerMilli = 1000
	// minPlottedMillis replaces smaller values, because the logarithmic axis cannot show zero.
	minPlottedMillis = 0.01
	// The initial range of the latency axis, and the factors by which it extends beyond the smallest and largest value.
	initialMinMillis, initialMaxMillis   = 1, 10
	marginBelowFactor, marginAboveFactor = 0.8, 1.25
)

// writePlots writes a plot of latency over time and one of its distribution, with one line for each kind of request.
func writePlots(dir, format string, rec *recorder) error {
	if err := savePlot(latencyOverTime(rec), filepath.Join(dir, "latency-over-time."+format)); err != nil {
		return err
	}
	return savePlot(latencyDistribution(rec), filepath.Join(dir, "latency-distribution."+format))
}

func savePlot(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

func newPlot(title, x string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, "latency since intended send time [ms]"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min, p.Y.Max = initialMinMillis, initialMaxMillis
	p.Add(plotter.NewGrid())
	return p
}

// latencyOverTime plots the 99th percentile of latency in each second of arrival.
func latencyOverTime(rec *recorder) *plot.Plot {
	p := newPlot("99th percentile of each second", "time [s]")
	for i, name := range rec.kindOrder {
		seconds := rec.kinds[name].seconds
		var at []int
		for s := range seconds {
			at = append(at, s)
		}
		slices.Sort(at)
		points := plotter.XYs{}
		for _, s := range at {
			points = append(points, plotter.XY{X: float64(s), Y: toMillis(seconds[s].ValueAtQuantile(99))})
		}
		addLine(p, i, name, points)
	}
	return p
}

// latencyDistribution plots the percentiles of latency. The axis of percentiles is logarithmic in the distance to
// 100 %, so that 90, 99 and 99.9 % are at equal distances.
func latencyDistribution(rec *recorder) *plot.Plot {
	p := newPlot("Distribution of latency", "percentile")
	for i, name := range rec.kindOrder {
		addLine(p, i, name, percentiles(rec.kinds[name].latency))
	}
	p.X.Tick.Marker = plot.ConstantTicks([]plot.Tick{{Value: 0, Label: "0"}, {Value: 1, Label: "90"},
		{Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}, {Value: 4, Label: "99.99"}})
	return p
}

// percentiles returns points up to the highest percentile that the number of values resolves. X is the negative decimal
// logarithm of the remaining share of values, Y the latency in milliseconds.
func percentiles(h *hdrhistogram.Histogram) plotter.XYs {
	points := plotter.XYs{}
	if h.TotalCount() == 0 {
		return points
	}
	const step = 0.05
	for x := 0.0; x <= math.Log10(float64(h.TotalCount())); x += step {
		points = append(points, plotter.XY{X: x, Y: toMillis(h.ValueAtQuantile(100 * (1 - math.Pow(10, -x))))})
	}
	return points
}

// toMillis converts microseconds to milliseconds of at least minPlottedMillis.
func toMillis(us int64) float64 { return max(float64(us)/microsPerMilli, minPlottedMillis) }

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) {
	if len(points) == 0 {
		return
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		// NewLine only rejects numbers that are not finite, and percentiles are finite.
		panic(errors.WithStack(err))
	}
	l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	for _, xy := range points {
		// The range is set here because the library widens the range of a single value by 1 in both directions, which
		// can reach zero or below and is then invalid for a logarithmic axis.
		p.Y.Min, p.Y.Max = min(p.Y.Min, xy.Y*marginBelowFactor), max(p.Y.Max, xy.Y*marginAboveFactor)
	}
}
