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

// Markdown writes the tables of the report: limits, what breaks first, costs at the target, slopes and direct measurements.
func Markdown(w io.Writer, samples []Sample) error {
	var b strings.Builder
	verdicts := Verdicts(samples)
	writeLimits(&b, verdicts)
	writeFirst(&b, verdicts)
	writeEstimates(&b, Estimates(samples))
	writeFits(&b, Fits(samples))
	writeDirect(&b, samples)
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

func writeRow(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func writeHead(b *strings.Builder, title string, cells ...string) {
	b.WriteString("\n### " + title + "\n\n")
	writeRow(b, cells...)
	b.WriteString(strings.Repeat("|---", len(cells)) + "|\n")
}

// number prints three significant digits without an exponent where that stays short.
func number(v float64) string {
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

func writeLimits(b *strings.Builder, verdicts []Verdict) {
	writeHead(b, "Limits", "role", "quantity", "at the target", "95% range", "limit", "verdict")
	for _, v := range verdicts {
		verdict := "within, " + number(100*v.Factor) + "% of it"
		if !v.Within {
			verdict = "**over, by a factor of " + number(v.Factor) + "**"
		}
		if len(v.Missing) > 0 {
			verdict += fmt.Sprintf("; without %s", join(v.Missing))
		}
		writeRow(b, string(v.Role), string(v.Metric)+", "+v.Metric.Unit(), number(v.Value), "± "+number(v.Range), number(v.Limit), verdict)
	}
}

func join(axes []Axis) string {
	var names []string
	for _, a := range axes {
		if !slices.Contains(names, string(a)) {
			names = append(names, string(a))
		}
	}
	return strings.Join(names, ", ")
}

// writeFirst names the limit that is nearest or most exceeded for each role, and the axis that adds most to it.
func writeFirst(b *strings.Builder, verdicts []Verdict) {
	writeHead(b, "What breaks first", "role", "quantity", "part of the limit", "largest part of it")
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
		writeRow(b, string(r), string(v.Metric), number(100*v.Factor)+"%", largestPart(v.Estimate))
	}
}

func largestPart(e Estimate) string {
	if len(e.Parts) == 0 {
		return "-"
	}
	p := slices.MaxFunc(e.Parts, func(a, b Part) int { return int(math.Copysign(1, a.Value-b.Value)) })
	if p.Value < e.Base {
		return "the reference run, " + number(e.Base) + " " + e.Metric.Unit()
	}
	return string(p.Axis) + ", " + number(p.Value) + " " + e.Metric.Unit()
}

func writeEstimates(b *strings.Builder, all []Estimate) {
	writeHead(b, "Cost at the target", "role", "quantity", "reference run", "added by each axis", "at the target", "95% range", "farthest extrapolation")
	for _, e := range all {
		var parts []string
		reach := 0.0
		for _, p := range e.Parts {
			if p.Value != 0 {
				parts = append(parts, fmt.Sprintf("%s %s", p.Axis, signed(p.Value)))
				reach = math.Max(reach, p.Reach)
			}
		}
		if e.Value == 0 && e.Base == 0 {
			continue
		}
		writeRow(b, string(e.Role), string(e.Metric)+", "+e.Metric.Unit(), number(e.Base), strings.Join(parts, ", "), number(e.Value),
			"± "+number(e.Range), "x"+number(reach))
	}
}

func signed(v float64) string {
	if v > 0 {
		return "+" + number(v)
	}
	return number(v)
}

// mainMetrics have a slope in the table even if it cannot be told from zero, detailMetrics have none: they are parts of others.
var (
	mainMetrics   = []Metric{MetricCPU, MetricResident, MetricControl}
	detailMetrics = []Metric{MetricHeap, MetricControlSent, MetricControlReceived}
)

func writeFits(b *strings.Builder, fits map[Key]Fit) {
	writeHead(b, "Slopes", "axis", "role", "quantity", "measured (size: mean)", "slope per unit", "standard error", "R²")
	for _, a := range Axes {
		for _, f := range sorted(fits, a.Axis) {
			if !f.Significant() && !slices.Contains(mainMetrics, f.Metric) || slices.Contains(detailMetrics, f.Metric) {
				continue
			}
			var points []string
			for i, size := range f.Sizes {
				points = append(points, fmt.Sprintf("%s: %s", number(size), number(f.Means[i])))
			}
			slope := number(f.Slope)
			if !f.Significant() {
				slope = "(" + slope + ")"
			}
			writeRow(b, string(a.Axis), string(f.Role), string(f.Metric)+", "+f.Metric.Unit(), strings.Join(points, ", "), slope+" per "+a.Unit,
				number(f.StdErr), fmt.Sprintf("%.2f", f.R2))
		}
	}
	b.WriteString("\nA slope in brackets cannot be told from zero at 95%; it adds nothing to the estimate but widens its range. Other quantities without a slope " +
		"that can be told from zero are left out.\n")
}

func sorted(fits map[Key]Fit, a Axis) []Fit {
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

// directMetrics are measured as such, and not extrapolated.
var directMetrics = []Metric{MetricInForce, MetricTakeover, MetricQueueWait, MetricCallCPU}

func writeDirect(b *strings.Builder, samples []Sample) {
	writeHead(b, "Measured directly", "role", "quantity", "samples", "mean", "largest")
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
				writeRow(b, string(r), string(m)+", "+m.Unit(), strconv.Itoa(len(v)), number(sum/float64(len(v))), number(slices.Max(v)))
			}
		}
	}
}
