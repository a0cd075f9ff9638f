package experiment

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

// Names of the units of measures.
const (
	unitMillis = "ms"
	unitShare  = "share"
	unitRate   = "1/s"
	unitFactor = "factor"
)

// measured is one figure of one run.
type measured struct {
	phase, name, unit string
	value             float64
}

// measures returns the figures of a run, phase by phase in the order of the file.
func (s *Spec) measures(r *load.Result) []measured {
	var out []measured
	begin := 0
	for i, p := range r.Phases {
		end := begin + int(p.Seconds)
		if !s.Phases[i].WarmUp {
			out = append(out, s.ofPhase(p, r.PerSecond[min(begin, len(r.PerSecond)):min(end, len(r.PerSecond))])...)
		}
		begin = end
	}
	executions, answers := 0.0, 0.0
	for _, k := range r.Kinds {
		executions += float64(r.Workers["executions_"+k.Kind])
		answers += float64(k.Whole)
	}
	return append(out, measured{"whole run", "executions per whole answer", unitFactor, executions / max(answers, 1)})
}

func (s *Spec) ofPhase(p load.PhaseResult, seconds []load.SecondResult) []measured {
	add := func(out []measured, name, unit string, value float64) []measured {
		return append(out, measured{p.Name, name, unit, value})
	}
	sent, good, work := 0.0, 0.0, 0.0
	for _, k := range p.Kinds {
		sent, good = sent+float64(k.Sent), good+float64(k.Whole-k.Late)
	}
	for _, x := range seconds {
		work += x.Work
	}
	out := add(nil, "sent", unitRate, sent/p.Seconds)
	out = add(out, "answered in time", unitRate, good/p.Seconds)
	out = add(out, "goodput of capacity", unitShare, work*s.meanOfMedian()/p.Seconds/float64(s.slots()))
	for _, urgency := range []manifest.Urgency{manifest.UrgencyInteractive, manifest.UrgencyStandard, manifest.UrgencyBackground} {
		n, whole, late, h := ofClass(p, urgency)
		if n == 0 {
			continue
		}
		class := string(urgency)
		out = add(out, class+" answered in time", unitShare, float64(whole-late)/float64(n))
		out = add(out, class+" late", unitShare, float64(late)/float64(n))
		for _, q := range []struct {
			name  string
			value float64
		}{{" p50", 50}, {" p99", 99}, {" p99.9", 99.9}} {
			out = add(out, class+q.name, unitMillis, float64(h.ValueAtQuantile(q.value))/1000)
		}
	}
	return add(out, "variation of goodput between seconds", unitShare, variation(seconds))
}

// slots returns the number of slots of the deployment.
func (s *Spec) slots() int {
	n := 0
	for _, d := range s.manifest.DataCentres {
		n += d.Workers * s.manifest.Worker.Slots
	}
	return n
}

// meanOfMedian returns the mean of the stand-in's log-normal run times as a multiple of the declared run time, which is their median.
func (s *Spec) meanOfMedian() float64 { return math.Exp(s.Workers.Variation * s.Workers.Variation / 2) }

func ofClass(p load.PhaseResult, u manifest.Urgency) (sent, whole, late int, h *hdrhistogram.Histogram) {
	for _, k := range p.Kinds {
		if k.Class != string(u) {
			continue
		}
		sent, whole, late = sent+k.Sent, whole+k.Whole, late+k.Late
		if h == nil {
			h = hdrhistogram.New(k.Histogram.LowestTrackableValue(), k.Histogram.HighestTrackableValue(), int(k.Histogram.SignificantFigures()))
		}
		h.Merge(k.Histogram)
	}
	return sent, whole, late, h
}

// variation returns the standard deviation of the answers in time of each second, as a share of their mean.
func variation(seconds []load.SecondResult) float64 {
	if len(seconds) < 2 {
		return 0
	}
	sum, squares, n := 0.0, 0.0, float64(len(seconds))
	for _, s := range seconds {
		sum, squares = sum+float64(s.Whole), squares+float64(s.Whole)*float64(s.Whole)
	}
	mean := sum / n
	if mean == 0 {
		return 0
	}
	return math.Sqrt(max(0, squares/n-mean*mean)*n/(n-1)) / mean
}

// spread is the median of the repeats with the least and the greatest value.
type spread struct {
	Median float64 `json:"median"`
	Least  float64 `json:"least"`
	Most   float64 `json:"most"`
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	v := slices.Sorted(slices.Values(values))
	mid := v[len(v)/2]
	if len(v)%2 == 0 {
		mid = (mid + v[len(v)/2-1]) / 2
	}
	return spread{mid, v[0], v[len(v)-1]}
}
