package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Markdown writes the tables of the report: limits, bottlenecks, costs at the target, slopes and direct measurements.
func Markdown(w io.Writer, samples []Sample) error {
	var b strings.Builder
	verdicts := Verdicts(samples)
	writeLimits(&b, verdicts)
	writeBottlenecks(&b, verdicts)
	writeEstimates(&b, Estimates(samples))
	writeFits(&b, Fits(samples))
	writeDirect(&b, samples)
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

func writeRow(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// writeTableHeader writes the title and the header row of a table.
func writeTableHeader(b *strings.Builder, title string, cells ...string) {
	b.WriteString("\n### " + title + "\n\n")
	writeRow(b, cells...)
	b.WriteString(strings.Repeat("|---", len(cells)) + "|\n")
}

// formatNumber prints three significant digits, all integer digits from 1000 on, and an exponent below 0.0001.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsInf(v, 0) || math.IsNaN(v):
		return "unknown"
	case a == 0:
		return "0"
	case a >= 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case a < 0.0001:
		return strconv.FormatFloat(v, 'e', 1, 64)
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	return strconv.FormatFloat(v, 'f', digits, 64)
}

// writeLimits writes the comparison of the estimates with the limits.
func writeLimits(b *strings.Builder, verdicts []Verdict) {
	writeTableHeader(b, "Limits", "role", "quantity", "at the target", "95% range", "limit", "verdict")
	for _, v := range verdicts {
		verdict := "within, " + formatNumber(100*v.Factor) + "% of it"
		if !v.Within {
			verdict = "**over, by a factor of " + formatNumber(v.Factor) + "**"
		}
		if len(v.Missing) > 0 {
			verdict += fmt.Sprintf("; without %s", joinAxes(v.Missing))
		}
		writeRow(b, string(v.Role), string(v.Metric)+", "+v.Metric.Unit(), formatNumber(v.Value),
			"± "+formatNumber(v.Margin), formatNumber(v.Limit), verdict)
	}
}

// joinAxes lists the axes, each once, separated by commas.
func joinAxes(axes []Axis) string {
	var names []string
	for _, a := range axes {
		if !slices.Contains(names, string(a)) {
			names = append(names, string(a))
		}
	}
	return strings.Join(names, ", ")
}

// writeBottlenecks writes, for each role, the limit with the highest utilization and the largest contribution to it.
func writeBottlenecks(b *strings.Builder, verdicts []Verdict) {
	writeTableHeader(b, "What breaks first", "role", "quantity", "part of the limit", "largest part of it")
	worst := map[Role]Verdict{}
	var order []Role
	for _, v := range verdicts {
		w, ok := worst[v.Role]
		if !ok {
			order = append(order, v.Role)
		}
		if !ok || v.Factor > w.Factor {
			worst[v.Role] = v
		}
	}
	for _, r := range order {
		v := worst[r]
		writeRow(b, string(r), string(v.Metric), formatNumber(100*v.Factor)+"%", largestContribution(v.Estimate))
	}
}

// largestContribution describes the largest part of an estimate: that of an axis or that of the reference run.
func largestContribution(e Estimate) string {
	if len(e.Contributions) == 0 {
		return "-"
	}
	c := slices.MaxFunc(e.Contributions, func(a, b Contribution) int { return int(math.Copysign(1, a.Value-b.Value)) })
	if c.Value < e.Base {
		return "the reference run, " + formatNumber(e.Base) + " " + e.Metric.Unit()
	}
	return string(c.Axis) + ", " + formatNumber(c.Value) + " " + e.Metric.Unit()
}

// writeEstimates writes the estimates and the contributions of the axes.
func writeEstimates(b *strings.Builder, all []Estimate) {
	writeTableHeader(b, "Cost at the target", "role", "quantity", "reference run", "added by each axis",
		"at the target", "95% range", "farthest extrapolation")
	for _, e := range all {
		var contributions []string
		maxExtrapolation := 0.0
		for _, c := range e.Contributions {
			if c.Value != 0 {
				contributions = append(contributions, fmt.Sprintf("%s %s", c.Axis, formatSigned(c.Value)))
				maxExtrapolation = math.Max(maxExtrapolation, c.Extrapolation)
			}
		}
		if e.Value == 0 && e.Base == 0 {
			continue
		}
		writeRow(b, string(e.Role), string(e.Metric)+", "+e.Metric.Unit(), formatNumber(e.Base),
			strings.Join(contributions, ", "), formatNumber(e.Value), "± "+formatNumber(e.Margin),
			"x"+formatNumber(maxExtrapolation))
	}
}

// formatSigned is formatNumber with a plus sign for positive values.
func formatSigned(v float64) string {
	if v > 0 {
		return "+" + formatNumber(v)
	}
	return formatNumber(v)
}

// alwaysListedMetrics are in the table of slopes even if the slope is not significant. unlistedMetrics are never in it,
// because they are parts of other metrics.
var (
	alwaysListedMetrics = []Metric{MetricCPU, MetricResident, MetricControl}
	unlistedMetrics     = []Metric{MetricHeap, MetricControlSent, MetricControlReceived}
)

// writeFits writes the slopes.
func writeFits(b *strings.Builder, fits map[Key]Fit) {
	writeTableHeader(b, "Slopes", "axis", "role", "quantity", "measured (size: mean)", "slope per unit",
		"standard error", "R²")
	for _, a := range Axes {
		for _, f := range sortedFits(fits, a.Axis) {
			if !f.Significant() && !slices.Contains(alwaysListedMetrics, f.Metric) ||
				slices.Contains(unlistedMetrics, f.Metric) {
				continue
			}
			var points []string
			for i, size := range f.Sizes {
				points = append(points, fmt.Sprintf("%s: %s", formatNumber(size), formatNumber(f.Means[i])))
			}
			slope := formatNumber(f.Slope)
			if !f.Significant() {
				slope = "(" + slope + ")"
			}
			writeRow(b, string(a.Axis), string(f.Role), string(f.Metric)+", "+f.Metric.Unit(),
				strings.Join(points, ", "), slope+" per "+a.Unit, formatNumber(f.StdErr), fmt.Sprintf("%.2f", f.R2))
		}
	}
	b.WriteString(
		"\nA slope in brackets does not differ significantly from zero at the 95% level; it adds nothing to " +
			"the estimate but widens its range. Other quantities without a significant slope are left out.\n")
}

// sortedFits returns the fits of an axis, sorted by role and then by metricOrder.
func sortedFits(fits map[Key]Fit, a Axis) []Fit {
	var out []Fit
	for _, f := range fits {
		if f.Axis == a {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(x, y Fit) int {
		if c := strings.Compare(string(x.Role), string(y.Role)); c != 0 {
			return c
		}
		return slices.Index(metricOrder, x.Metric) - slices.Index(metricOrder, y.Metric)
	})
	return out
}

// directMetrics are compared with their limits as measured, without extrapolation.
var directMetrics = []Metric{MetricInForce, MetricTakeover, MetricQueueWait, MetricCallCPU}

// writeDirect writes the direct measurements.
func writeDirect(b *strings.Builder, samples []Sample) {
	writeTableHeader(b, "Measured directly", "role", "quantity", "samples", "mean", "largest")
	for _, m := range directMetrics {
		byRole := map[Role][]float64{}
		for _, s := range samples {
			if s.Metric == m {
				byRole[s.Role] = append(byRole[s.Role], s.Value)
			}
		}
		for _, r := range []Role{RoleRun, RoleCtl} {
			if v := byRole[r]; len(v) > 0 {
				sum := 0.0
				for _, x := range v {
					sum += x
				}
				writeRow(b, string(r), string(m)+", "+m.Unit(), strconv.Itoa(len(v)), formatNumber(sum/float64(len(v))),
					formatNumber(slices.Max(v)))
			}
		}
	}
}
