package experiment

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

// Units of measurements.
const (
	unitMillis    = "ms"
	unitFraction  = "share"
	unitPerSecond = "1/s"
	unitFactor    = "factor"
)

// measurement is one value of one run.
type measurement struct {
	phase, name, unit string
	value             float64
}

// measurements returns the values of a run: those of each phase but the warm-ups, in the order of the experiment file,
// then those of the whole run. Phases are taken to last whole seconds.
func (s *Spec) measurements(r *load.Result) []measurement {
	var out []measurement
	begin := 0
	for i, p := range r.Phases {
		end := begin + int(p.Seconds)
		if !s.Phases[i].WarmUp {
			out = append(out, s.phaseMeasurements(p,
				r.PerSecond[min(begin, len(r.PerSecond)):min(end, len(r.PerSecond))])...)
		}
		begin = end
	}
	executions, answers := 0.0, 0.0
	for _, k := range r.Kinds {
		executions += float64(r.Workers["executions_"+k.Kind])
		answers += float64(k.Answered)
	}
	return append(out, measurement{"whole run", "executions per whole answer", unitFactor,
		executions / max(answers, 1)})
}

// phaseMeasurements returns the values of one phase. seconds holds the results of its seconds. The goodput of capacity
// is the share of the slot time that went into answers in time, by the second of the answer.
func (s *Spec) phaseMeasurements(p load.PhaseResult, seconds []load.SecondResult) []measurement {
	add := func(out []measurement, name, unit string, value float64) []measurement {
		return append(out, measurement{p.Name, name, unit, value})
	}
	sent, good, work := 0.0, 0.0, 0.0
	for _, k := range p.Kinds {
		sent, good = sent+float64(k.Sent), good+float64(k.Answered-k.Late)
	}
	for _, x := range seconds {
		work += x.Work
	}
	out := add(nil, "sent", unitPerSecond, sent/p.Seconds)
	out = add(out, "answered in time", unitPerSecond, good/p.Seconds)
	out = add(out, "goodput of capacity", unitFraction, work*s.meanToMedianRatio()/p.Seconds/float64(s.slots()))
	for _, urgency := range []manifest.Urgency{manifest.UrgencyInteractive, manifest.UrgencyStandard,
		manifest.UrgencyBackground} {
		n, answered, late, h := urgencyTotals(p, urgency)
		if n == 0 {
			continue
		}
		label := string(urgency)
		out = add(out, label+" answered in time", unitFraction, float64(answered-late)/float64(n))
		out = add(out, label+" late", unitFraction, float64(late)/float64(n))
		for _, q := range []struct {
			name  string
			value float64
		}{{" p50", 50}, {" p99", 99}, {" p99.9", 99.9}} {
			out = add(out, label+q.name, unitMillis, float64(h.ValueAtQuantile(q.value))/1000)
		}
	}
	return add(out, "variation of goodput between seconds", unitFraction, coefficientOfVariation(seconds))
}

// slots returns the number of slots of the deployment.
func (s *Spec) slots() int {
	n := 0
	for _, d := range s.manifest.DataCentres {
		n += d.Workers * s.manifest.Worker.Slots
	}
	return n
}

// meanToMedianRatio returns the ratio of the mean to the median of the run times in the stand-in, which are log-normal
// with the declared run time as their median. A sum of declared run times, multiplied by this ratio, estimates the slot
// time that was used.
func (s *Spec) meanToMedianRatio() float64 {
	return math.Exp(s.Workers.Variation * s.Workers.Variation / 2)
}

// urgencyTotals adds the results of all kinds of one urgency. The histogram is nil if there are none.
func urgencyTotals(p load.PhaseResult, u manifest.Urgency) (sent, answered, late int, h *hdrhistogram.Histogram) {
	for _, k := range p.Kinds {
		if k.Urgency != string(u) {
			continue
		}
		sent, answered, late = sent+k.Sent, answered+k.Answered, late+k.Late
		if h == nil {
			h = hdrhistogram.New(k.Histogram.LowestTrackableValue(), k.Histogram.HighestTrackableValue(),
				int(k.Histogram.SignificantFigures()))
		}
		h.Merge(k.Histogram)
	}
	return sent, answered, late, h
}

// coefficientOfVariation returns the standard deviation of the numbers of in-time answers per second, by the second of
// arrival, divided by their mean.
func coefficientOfVariation(seconds []load.SecondResult) float64 {
	if len(seconds) < 2 {
		return 0
	}
	sum, squares, n := 0.0, 0.0, float64(len(seconds))
	for _, s := range seconds {
		sum, squares = sum+float64(s.AnsweredInTime), squares+float64(s.AnsweredInTime)*float64(s.AnsweredInTime)
	}
	mean := sum / n
	if mean == 0 {
		return 0
	}
	return math.Sqrt(max(0, squares/n-mean*mean)*n/(n-1)) / mean
}

// summary holds the median, the minimum and the maximum over the repeats.
type summary struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

func summarize(values []float64) summary {
	if len(values) == 0 {
		return summary{}
	}
	v := slices.Sorted(slices.Values(values))
	mid := v[len(v)/2]
	if len(v)%2 == 0 {
		mid = (mid + v[len(v)/2-1]) / 2
	}
	return summary{mid, v[0], v[len(v)-1]}
}
