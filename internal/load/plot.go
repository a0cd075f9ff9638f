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
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	usPerMs    = 1000
	// lowestPlotted keeps values of zero off the logarithmic axis.
	lowestPlotted = 0.01
	// The range of the latency axis in milliseconds before any line is added, and its margins.
	emptyMin, emptyMax     = 1, 10
	rangeBelow, rangeAbove = 0.8, 1.25
)

// writePlots writes the latency over time and its distribution, one line for each kind of request.
func writePlots(dir, format string, rec *recorder) error {
	if err := save(overTime(rec), filepath.Join(dir, "latency-over-time."+format)); err != nil {
		return err
	}
	return save(distribution(rec), filepath.Join(dir, "latency-distribution."+format))
}

func save(p *plot.Plot, path string) error {
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
	p.Y.Min, p.Y.Max = emptyMin, emptyMax
	p.Add(plotter.NewGrid())
	return p
}

func overTime(rec *recorder) *plot.Plot {
	p := newPlot("99th percentile of each second", "time [s]")
	for i, name := range rec.order {
		seconds := rec.kinds[name].seconds
		var at []int
		for s := range seconds {
			at = append(at, s)
		}
		slices.Sort(at)
		points := plotter.XYs{}
		for _, s := range at {
			points = append(points, plotter.XY{X: float64(s), Y: milliseconds(seconds[s].ValueAtQuantile(99))})
		}
		addLine(p, i, name, points)
	}
	return p
}

// distribution spreads the percentiles so that each factor of ten towards 100 % takes the same width.
func distribution(rec *recorder) *plot.Plot {
	p := newPlot("Distribution of latency", "percentile")
	for i, name := range rec.order {
		addLine(p, i, name, percentiles(rec.kinds[name].latency))
	}
	p.X.Tick.Marker = plot.ConstantTicks([]plot.Tick{{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"},
		{Value: 3, Label: "99.9"}, {Value: 4, Label: "99.99"}})
	return p
}

func percentiles(h *hdrhistogram.Histogram) plotter.XYs {
	points := plotter.XYs{}
	if h.TotalCount() == 0 {
		return points
	}
	const step = 0.05
	for x := 0.0; x <= math.Log10(float64(h.TotalCount())); x += step {
		points = append(points, plotter.XY{X: x, Y: milliseconds(h.ValueAtQuantile(100 * (1 - math.Pow(10, -x))))})
	}
	return points
}

func milliseconds(us int64) float64 { return max(float64(us)/usPerMs, lowestPlotted) }

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) {
	if len(points) == 0 {
		return
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		// Percentiles are finite numbers, which is all that NewLine checks.
		panic(errors.WithStack(err))
	}
	l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	for _, xy := range points {
		// The range is kept apart from zero by hand: the library widens a range of a single value by 1 in both directions,
		// which a logarithmic axis refuses.
		p.Y.Min, p.Y.Max = min(p.Y.Min, xy.Y*rangeBelow), max(p.Y.Max, xy.Y*rangeAbove)
	}
}
