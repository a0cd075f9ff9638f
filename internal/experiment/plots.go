package experiment

import (
	"math"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

const (
	plotWidth      = 22 * vg.Centimeter
	plotHeight     = 12 * vg.Centimeter
	microsPerMilli = 1000
	// minPlottedMillis replaces smaller values, because the logarithmic axis cannot show zero.
	minPlottedMillis = 0.1
	// percentileStep is the distance between two points on the axis of percentiles, on which 90, 99 and 99.9 % are at
	// 1, 2 and 3.
	percentileStep = 0.05
)

// writePlots writes plots of the distribution of interactive latency and of goodput and latency over time, with one
// line for each arm.
func writePlots(dir string, s *Spec, runs []armRun) error {
	plots := map[string]*plot.Plot{
		"interactive-latency.svg": newPlot("Interactive latency outside the warm-up", "percentile",
			"latency since intended send time [ms]"),
		"goodput.svg": newPlot("Answers in time by second of arrival, mean of the repeats", "time [s]", "requests/s"),
		"p99.svg": newPlot("99th percentile of interactive latency by second of arrival, mean of the repeats",
			"time [s]", "latency [ms]"),
	}
	d := plots["interactive-latency.svg"]
	d.Y.Scale, d.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	d.X.Tick.Marker = plot.ConstantTicks([]plot.Tick{{Value: 0, Label: "0"}, {Value: 1, Label: "90"},
		{Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}, {Value: 4, Label: "99.99"}})
	for i, a := range s.Arms {
		lines := map[string]plotter.XYs{"interactive-latency.svg": s.interactivePercentiles(a, runs),
			"goodput.svg": meanPerSecond(a, runs,
				func(x load.SecondResult) float64 { return float64(x.AnsweredInTime) }),
			"p99.svg": meanPerSecond(a, runs,
				func(x load.SecondResult) float64 { return float64(x.P99) / microsPerMilli })}
		for name, points := range lines {
			if err := addLine(plots[name], i, a.Name, points); err != nil {
				return err
			}
		}
	}
	for name, p := range plots {
		path := filepath.Join(dir, name)
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
			return &load.FileError{Path: path, Err: err}
		}
	}
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return &load.FileError{Path: name, Err: err}
	}
	l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// interactivePercentiles returns the percentiles of the interactive latency of an arm over all its runs, without
// warm-up phases. X is the negative decimal logarithm of the remaining share of values, Y the latency in milliseconds.
func (s *Spec) interactivePercentiles(a Arm, runs []armRun) plotter.XYs {
	var all *hdrhistogram.Histogram
	for _, r := range runs {
		for i, p := range r.result.Phases {
			if r.arm != a.Name || s.Phases[i].WarmUp {
				continue
			}
			_, _, _, h := urgencyTotals(p, manifest.UrgencyInteractive)
			if all == nil {
				all = h
			} else if h != nil {
				all.Merge(h)
			}
		}
	}
	var out plotter.XYs
	if all == nil || all.TotalCount() == 0 {
		return out
	}
	for x := 0.0; x <= math.Log10(float64(all.TotalCount())); x += percentileStep {
		ms := float64(all.ValueAtQuantile(100*(1-math.Pow(10, -x)))) / microsPerMilli
		out = append(out, plotter.XY{X: x, Y: max(ms, minPlottedMillis)})
	}
	return out
}

// meanPerSecond returns the mean of a value over the repeats of an arm, for each second of a run.
func meanPerSecond(a Arm, runs []armRun, f func(load.SecondResult) float64) plotter.XYs {
	var out plotter.XYs
	n := 0.0
	for _, r := range runs {
		if r.arm != a.Name {
			continue
		}
		n++
		for i, s := range r.result.PerSecond {
			if i == len(out) {
				out = append(out, plotter.XY{X: float64(i)})
			}
			out[i].Y += f(s)
		}
	}
	for i := range out {
		out[i].Y /= n
	}
	return out
}
