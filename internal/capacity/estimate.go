package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Contribution is the part of an estimate that one axis adds. Margin is the half width of its 95% confidence interval.
type Contribution struct {
	Axis          Axis
	Value, Margin float64
	// Extrapolation is the distance from the reference size to the target, divided by the range of measured sizes.
	Extrapolation float64
}

// Estimate is the estimated cost of a role at the target size, in the unit of the metric.
type Estimate struct {
	Role   Role
	Metric Metric
	// Base is the cost in the reference run, Value the cost at the target, Margin the half width of the 95% confidence
	// interval of Value.
	Base, Value, Margin float64
	Contributions       []Contribution
	// Missing holds the axes without a fit, which the estimate does not include.
	Missing []Axis
}

// Verdict compares an estimate or a measured value with its limit.
type Verdict struct {
	Estimate
	Limit float64
	// Factor is the value divided by the limit.
	Factor float64
	// Within reports whether the value does not exceed the limit.
	Within bool
}

// Estimates returns the cost at the target of every role and metric that has samples of the reference run.
func Estimates(samples []Sample) []Estimate {
	fits := Fits(samples)
	groups := groupByKey(samples)
	var out []Estimate
	for _, model := range costModels {
		for _, m := range metricOrder {
			points := groups[Key{AxisReference, model.role, m}]
			// A standby does not call workers. Its cost model uses the owner's slope for shards, which would wrongly
			// include such calls.
			if len(points) == 0 || model.role == RoleStandby && m == MetricWorkerControl {
				continue
			}
			out = append(out, model.estimate(m, points, fits))
		}
	}
	return append(out, derivedEstimates(out, fits)...)
}

// metricOrder lists the estimated metrics in the order of the tables.
var metricOrder = []Metric{MetricCPU, MetricResident, MetricHeap, MetricControl, MetricControlSent,
	MetricControlReceived, MetricLink, MetricWorkerControl, MetricPlatform, MetricRequests, MetricAppends,
	MetricRecords,
	MetricReads, MetricBytesIn, MetricBytesOut, MetricListReads}

// estimate returns the cost of a metric at the target: the mean of points, which are the samples of the reference run,
// plus the contribution of each term.
func (m costModel) estimate(metric Metric, points []Sample, fits map[Key]Fit) Estimate {
	e := Estimate{Role: m.role, Metric: metric, Base: stat.Mean(values(points), nil)}
	e.Value = e.Base
	var sumSquares float64
	for _, t := range m.terms {
		f, ok := fits[Key{t.axis, t.slopeRole, metric}]
		if !ok {
			e.Missing = append(e.Missing, t.axis)
			continue
		}
		c := Contribution{Axis: t.axis, Margin: f.Margin * math.Abs(t.distance), Extrapolation: extrapolation(f, t)}
		// A slope that does not differ significantly from zero only widens the confidence interval. Extrapolating noise
		// would add or hide cost.
		if f.Significant() {
			c.Value = f.Slope * t.distance
		}
		e.Contributions = append(e.Contributions, c)
		e.Value += c.Value
		sumSquares += c.Margin * c.Margin
	}
	e.Margin = math.Sqrt(sumSquares)
	return e
}

// extrapolation returns the distance of the term divided by the range of the sizes that were measured.
func extrapolation(f Fit, t term) float64 {
	return math.Abs(t.distance) / (f.Sizes[len(f.Sizes)-1] - f.Sizes[0])
}

func values(points []Sample) []float64 {
	out := make([]float64, 0, len(points))
	for _, p := range points {
		out = append(out, p.Value)
	}
	return out
}

// derivedEstimates returns the estimates of an entry instance, which are the sums of gateway and owner, and of a worker
// instance.
func derivedEstimates(all []Estimate, fits map[Key]Fit) []Estimate {
	var out []Estimate
	for _, m := range metricOrder {
		g, hasGateway := findEstimate(all, RoleGateway, m)
		o, hasOwner := findEstimate(all, RoleOwner, m)
		if hasGateway && hasOwner {
			out = append(out, Estimate{Role: RoleEntry, Metric: m, Base: g.Base + o.Base, Value: g.Value + o.Value,
				Margin:  math.Hypot(g.Margin, o.Margin),
				Missing: append(append([]Axis(nil), g.Missing...), o.Missing...)})
		}
	}
	workers := []Estimate{workerInstanceEstimate(RoleWorkers, MetricCPU, fits),
		workerInstanceEstimate(RoleWorkers, MetricResident, fits),
		workerInstanceEstimate(RoleOwner, MetricWorkerControl, fits)}
	for _, e := range workers {
		// Without any fit there is no estimate: a value of zero would look like a measured one.
		if len(e.Contributions) > 0 {
			out = append(out, e)
		}
	}
	return out
}

// workerInstanceEstimate returns the cost of one worker instance with its share of the tasks and starts, from the
// slopes of the process that serves (RoleWorkers) or calls (RoleOwner) all workers.
func workerInstanceEstimate(slopeRole Role, m Metric, fits map[Key]Fit) Estimate {
	terms := []term{{AxisWorkers, slopeRole, 1}, {AxisTasks, slopeRole, float64(targetTasks) / targetWorkers},
		{AxisStarts, slopeRole, targetStarts / targetWorkers}}
	e := costModel{role: RoleWorkerInstance, terms: terms}.estimate(m, []Sample{{}}, fits)
	return e
}

// findEstimate returns the estimate of a role and metric, or false if there is none.
func findEstimate(all []Estimate, r Role, m Metric) (Estimate, bool) {
	for _, e := range all {
		if e.Role == r && e.Metric == m {
			return e, true
		}
	}
	return Estimate{}, false
}

// Verdicts compares each limit with its estimate or, if there is none, with the largest measured value. A limit without
// either has no verdict.
func Verdicts(samples []Sample) []Verdict {
	all := Estimates(samples)
	var out []Verdict
	for _, l := range limits {
		e, ok := findEstimate(all, l.role, l.metric)
		if !ok {
			e, ok = largestSample(samples, l.role, l.metric)
		}
		if ok {
			out = append(out, Verdict{Estimate: e, Limit: l.maxValue, Factor: e.Value / l.maxValue,
				Within: e.Value <= l.maxValue})
		}
	}
	return out
}

// largestSample returns the largest measured value of a role and metric, or false if there are no samples.
func largestSample(samples []Sample, r Role, m Metric) (Estimate, bool) {
	e := Estimate{Role: r, Metric: m}
	found := false
	for _, s := range samples {
		if s.Role == r && s.Metric == m {
			e.Value, found = math.Max(e.Value, s.Value), true
		}
	}
	return e, found
}
