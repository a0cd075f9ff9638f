package capacity

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// linearSamples returns samples at the given sizes that lie on a line.
func linearSamples(axis Axis, role Role, m Metric, intercept, slope float64, sizes ...float64) []Sample {
	var out []Sample
	for _, x := range sizes {
		out = append(out, Sample{axis, x, role, m, intercept + slope*x})
	}
	return out
}

// Guards against a wrong slope, standard error or confidence interval. The expected values are those of the textbook
// formulas for these five points.
func TestFit(t *testing.T) {
	var samples []Sample
	for i, y := range []float64{2.1, 3.9, 6.2, 7.8, 10.1} {
		samples = append(samples, Sample{AxisWorkers, float64(i + 1), RoleOwner, MetricCPU, y})
	}
	f := Fits(samples)[Key{AxisWorkers, RoleOwner, MetricCPU}]
	require.InDelta(t, 1.99, f.Slope, 1e-9)
	require.InDelta(t, 0.05, f.Intercept, 1e-9)
	require.InDelta(t, 0.0597, f.StdErr, 1e-3)
	require.InDelta(t, 3.182*f.StdErr, f.Margin, 1e-3)
	require.True(t, f.Significant())
}

// Guards against a fit to samples at fewer than three sizes.
func TestFitNeedsThreeSizes(t *testing.T) {
	samples := linearSamples(AxisWorkers, RoleOwner, MetricCPU, 1, 2, 16, 16, 32, 32)
	require.Empty(t, Fits(samples))
	require.Len(t, Fits(append(samples, linearSamples(AxisWorkers, RoleOwner, MetricCPU, 1, 2, 64)...)), 1)
}

// Guards against an estimate that extrapolates from zero instead of the reference size, ignores that an owner owns only
// a share of the workers, or does not name an axis without a fit.
func TestEstimate(t *testing.T) {
	samples := append(linearSamples(AxisReference, RoleOwner, MetricCPU, 1, 0, 0),
		linearSamples(AxisWorkers, RoleOwner, MetricCPU, 0, 0.02, 16, 32, 64)...)
	samples = append(samples, linearSamples(AxisWorkers, RoleStandby, MetricCPU, 0, 0.001, 16, 32, 64)...)
	e, ok := findEstimate(Estimates(samples), RoleOwner, MetricCPU)
	require.True(t, ok)
	require.InDelta(t, 1+0.02*(62.5-16)+0.001*437.5, e.Value, 1e-9)
	require.Contains(t, e.Missing, AxisTasks)
	require.NotContains(t, e.Missing, AxisWorkers)
}

// Guards against a limit that is reported as met although it is exceeded, and against a missing table.
func TestMarkdown(t *testing.T) {
	samples := append(linearSamples(AxisReference, RoleOwner, MetricCPU, 3, 0, 0),
		linearSamples(AxisWorkers, RoleOwner, MetricCPU, 0, 0.02, 16, 32, 64)...)
	samples = append(samples, Sample{AxisReference, 0, RoleRun, MetricInForce, 0.4})
	var b strings.Builder
	require.NoError(t, Markdown(&b, samples))
	require.Contains(t, b.String(), "**over, by a factor of 1.97**")
	require.Contains(t, b.String(), "| run | in-force, s | 0.400 | ± 0 | 8.00 | within, 5.00% of it |")
	require.NotContains(t, b.String(), "worker instance", "an estimate without any slope")
	for _, title := range []string{"Limits", "What breaks first", "Cost at the target", "Slopes", "Measured directly"} {
		require.Contains(t, b.String(), "### "+title)
	}
}

// Guards against numbers with too few or too many digits, and against an infinite value printed as a number.
func TestFormatNumber(t *testing.T) {
	for want, v := range map[string]float64{"0": 0, "14200": 14200, "12.3": 12.345, "0.0123": 0.012345,
		"1.2e-05": 0.000012, "unknown": math.Inf(1)} {
		require.Equal(t, want, formatNumber(v))
	}
}

// Guards against a misspelt metric that is accepted: its samples would have no effect on the estimates.
func TestDecode(t *testing.T) {
	var bad *DecodeError
	_, err := Decode(strings.NewReader(`{"axis":"workers","size":1,"role":"owner","metric":"cpuu","value":1}`))
	require.ErrorAs(t, err, &bad)
	samples, err := Decode(strings.NewReader(`{"axis":"workers","size":1,"role":"owner","metric":"cpu","value":1}` +
		"\n"))
	require.NoError(t, err)
	require.Len(t, samples, 1)
}
