package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Part is what one axis adds to an estimate.
type Part struct {
	Axis         Axis
	Value, Range float64
	// Reach is how many times farther the target lies from the smallest measured size than the largest measured one.
	Reach float64
}

// Estimate is the cost of a role at the target size.
type Estimate struct {
	Role   Role
	Metric Metric
	// Base is the cost in the reference run, Value the cost at the target, Range the half width of its 95% interval.
	Base, Value, Range float64
	Parts              []Part
	// Missing are the axes without a fit; the estimate does not include them.
	Missing []Axis
}

// Verdict compares an estimate or a measured value with its limit.
type Verdict struct {
	Estimate
	Limit float64
	// Factor is the estimate divided by the limit.
	Factor float64
	Within bool
}

// Estimates returns the cost at the target of every role and metric that has samples of the reference run.
func Estimates(samples []Sample) []Estimate {
	fits := Fits(samples)
	base := group(samples)
	var out []Estimate
	for _, p := range plans {
		for _, m := range metricOrder {
			points := base[Key{AxisReference, p.role, m}]
			// A standby calls no worker; the owner's slope that stands in for its shards does not apply to those calls.
			if len(points) == 0 || p.role == RoleStandby && m == MetricWorkerControl {
				continue
			}
			out = append(out, p.estimate(m, points, fits))
		}
	}
	return append(out, derived(out, fits)...)
}

var metricOrder = []Metric{MetricCPU, MetricResident, MetricHeap, MetricControl, MetricControlSent, MetricControlReceived, MetricLink,
	MetricWorkerControl, MetricPlatform, MetricRequests, MetricAppends, MetricRecords, MetricReads, MetricBytesIn, MetricBytesOut,
	MetricListReads}

func (p plan) estimate(m Metric, points []Sample, fits map[Key]Fit) Estimate {
	e := Estimate{Role: p.role, Metric: m, Base: stat.Mean(values(points), nil)}
	e.Value = e.Base
	var square float64
	for _, t := range p.terms {
		f, ok := fits[Key{t.axis, t.from, m}]
		if !ok {
			e.Missing = append(e.Missing, t.axis)
			continue
		}
		part := Part{Axis: t.axis, Range: f.Range * math.Abs(t.size), Reach: reach(f, t)}
		// A slope that cannot be told from zero only widens the range. Extrapolating noise would add or hide cost.
		if f.Significant() {
			part.Value = f.Slope * t.size
		}
		e.Parts = append(e.Parts, part)
		e.Value += part.Value
		square += part.Range * part.Range
	}
	e.Range = math.Sqrt(square)
	return e
}

func reach(f Fit, t term) float64 { return math.Abs(t.size) / (f.Sizes[len(f.Sizes)-1] - f.Sizes[0]) }

func values(points []Sample) []float64 {
	out := make([]float64, 0, len(points))
	for _, p := range points {
		out = append(out, p.Value)
	}
	return out
}

// derived returns the estimates of an entry instance (the sum of gateway and owner) and of a worker instance.
func derived(all []Estimate, fits map[Key]Fit) []Estimate {
	var out []Estimate
	for _, m := range metricOrder {
		g, hasGateway := find(all, RoleGateway, m)
		o, hasOwner := find(all, RoleOwner, m)
		if hasGateway && hasOwner {
			out = append(out, Estimate{Role: RoleEntry, Metric: m, Base: g.Base + o.Base, Value: g.Value + o.Value,
				Range: math.Hypot(g.Range, o.Range), Missing: append(append([]Axis(nil), g.Missing...), o.Missing...)})
		}
	}
	workers := []Estimate{perWorker(RoleWorkers, MetricCPU, fits), perWorker(RoleWorkers, MetricResident, fits),
		perWorker(RoleOwner, MetricWorkerControl, fits)}
	for _, e := range workers {
		// Without any slope there is no estimate; zero would look like a measured one.
		if len(e.Parts) > 0 {
			out = append(out, e)
		}
	}
	return out
}

// perWorker returns the cost to one worker instance with its part of the tasks and starts, from the slopes of the process that
// serves (RoleWorkers) or calls (RoleOwner) all of them.
func perWorker(from Role, m Metric, fits map[Key]Fit) Estimate {
	terms := []term{{AxisWorkers, from, 1}, {AxisTasks, from, float64(targetTasks) / targetWorkers}, {AxisStarts, from, targetStarts / targetWorkers}}
	e := plan{role: RoleWorkerInstance, terms: terms}.estimate(m, []Sample{{}}, fits)
	return e
}

func find(all []Estimate, r Role, m Metric) (Estimate, bool) {
	for _, e := range all {
		if e.Role == r && e.Metric == m {
			return e, true
		}
	}
	return Estimate{}, false
}

// Verdicts compares estimates, and the largest values that were measured directly, with the limits.
func Verdicts(samples []Sample) []Verdict {
	all := Estimates(samples)
	var out []Verdict
	for _, l := range limits {
		e, ok := find(all, l.role, l.metric)
		if !ok {
			e, ok = largest(samples, l.role, l.metric)
		}
		if ok {
			out = append(out, Verdict{Estimate: e, Limit: l.most, Factor: e.Value / l.most, Within: e.Value <= l.most})
		}
	}
	return out
}

func largest(samples []Sample, r Role, m Metric) (Estimate, bool) {
	e := Estimate{Role: r, Metric: m}
	found := false
	for _, s := range samples {
		if s.Role == r && s.Metric == m {
			e.Value, found = math.Max(e.Value, s.Value), true
		}
	}
	return e, found
}
