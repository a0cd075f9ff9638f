package capacity

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func line(axis Axis, role Role, m Metric, intercept, slope float64, sizes ...float64) []Sample {
	var out []Sample
	for _, x := range sizes {
		out = append(out, Sample{axis, x, role, m, intercept + slope*x})
	}
	return out
}

// Guards against a wrong slope, error or interval; the expected values are the textbook results for these five points.
func TestFit(t *testing.T) {
	var samples []Sample
	for i, y := range []float64{2.1, 3.9, 6.2, 7.8, 10.1} {
		samples = append(samples, Sample{AxisWorkers, float64(i + 1), RoleOwner, MetricCPU, y})
	}
	f := Fits(samples)[Key{AxisWorkers, RoleOwner, MetricCPU}]
	require.InDelta(t, 1.99, f.Slope, 1e-9)
	require.InDelta(t, 0.05, f.Intercept, 1e-9)
	require.InDelta(t, 0.0597, f.StdErr, 1e-3)
	require.InDelta(t, 3.182*f.StdErr, f.Range, 1e-3)
	require.True(t, f.Significant())
}

// Guards against a slope that rests on one or two points.
func TestFitNeedsThreeSizes(t *testing.T) {
	samples := line(AxisWorkers, RoleOwner, MetricCPU, 1, 2, 16, 16, 32, 32)
	require.Empty(t, Fits(samples))
	require.Len(t, Fits(append(samples, line(AxisWorkers, RoleOwner, MetricCPU, 1, 2, 64)...)), 1)
}

// Guards against an estimate that forgets the reference size, the share of an owner or a missing axis.
func TestEstimate(t *testing.T) {
	samples := append(line(AxisReference, RoleOwner, MetricCPU, 1, 0, 0), line(AxisWorkers, RoleOwner, MetricCPU, 0, 0.02, 16, 32, 64)...)
	samples = append(samples, line(AxisWorkers, RoleStandby, MetricCPU, 0, 0.001, 16, 32, 64)...)
	e, ok := find(Estimates(samples), RoleOwner, MetricCPU)
	require.True(t, ok)
	require.InDelta(t, 1+0.02*(62.5-16)+0.001*437.5, e.Value, 1e-9)
	require.Contains(t, e.Missing, AxisTasks)
	require.NotContains(t, e.Missing, AxisWorkers)
}

// Guards against a limit that is reported as met although it is exceeded, and against tables that lack a section.
func TestMarkdown(t *testing.T) {
	samples := append(line(AxisReference, RoleOwner, MetricCPU, 3, 0, 0), line(AxisWorkers, RoleOwner, MetricCPU, 0, 0.02, 16, 32, 64)...)
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

// Guards against numbers that a reader misreads.
func TestNumber(t *testing.T) {
	for want, v := range map[string]float64{"0": 0, "14200": 14200, "12.3": 12.345, "0.0123": 0.012345, "1.2e-05": 0.000012, "unknown": math.Inf(1)} {
		require.Equal(t, want, number(v))
	}
}

// Guards against a misspelt metric that would silently have no fit.
func TestDecode(t *testing.T) {
	var bad *DecodeError
	_, err := Decode(strings.NewReader(`{"axis":"workers","size":1,"role":"owner","metric":"cpuu","value":1}`))
	require.ErrorAs(t, err, &bad)
	samples, err := Decode(strings.NewReader(`{"axis":"workers","size":1,"role":"owner","metric":"cpu","value":1}` + "\n"))
	require.NoError(t, err)
	require.Len(t, samples, 1)
}
