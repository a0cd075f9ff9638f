package worker

import (
	"math"
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// measurementNoise is the standard deviation of the logarithm of a measured value.
const measurementNoise = 0.1

// requestMilliCores is what a request uses in the measurement if its size is not known.
const requestMilliCores = 1000

// usageLog holds measurements until they are old enough to be reported.
type usageLog struct {
	samples []usageSample
	// sums and counts collect the slowdown of the requests that ended since the last sample.
	sums   map[string]float64
	counts map[string]int
}

type usageSample struct {
	at     time.Time
	report upstream.UsageReport
}

// observe records that a request took slowdown times its run time on an idle worker.
func (u *usageLog) observe(kind string, slowdown float64) {
	if u.sums == nil {
		u.sums, u.counts = map[string]float64{}, map[string]int{}
	}
	u.sums[kind] += slowdown
	u.counts[kind]++
}

// report returns the newest measurement that is at least lag old, or nil.
func (u *usageLog) report(now time.Time, lag time.Duration) *upstream.UsageReport {
	for i := len(u.samples) - 1; i >= 0; i-- {
		if age := now.Sub(u.samples[i].at); age >= lag {
			u.samples = u.samples[i:]
			r := u.samples[0].report
			r.Lag = age
			return &r
		}
	}
	return nil
}

// sample measures the worker.
func (w *Worker) sample(now time.Time) {
	lf := w.life
	lf.sampled = now
	r := upstream.UsageReport{Slowdown: map[string]float64{}}
	for _, t := range lf.tasks {
		r.MilliCores += int64(float64(t.req.Size.MilliCores) * t.throttle * t.usage)
		r.MemoryMB += t.req.Size.MemoryMB
	}
	perSlot := lf.envelope.MilliCores
	if perSlot == 0 {
		perSlot = requestMilliCores
	}
	r.MilliCores += perSlot * int64(lf.busy)
	r.MemoryMB += lf.envelope.MemoryMB * int64(lf.busy)
	// A worker cannot use more processors than it has, however much its tasks ask for.
	r.MilliCores = min(w.cfg.Capacity.MilliCores, int64(float64(r.MilliCores)*w.noise()))
	for kind, sum := range lf.usage.sums {
		r.Slowdown[kind] = sum / float64(lf.usage.counts[kind]) * w.noise()
	}
	lf.usage.sums, lf.usage.counts = nil, nil
	lf.usage.samples = append(lf.usage.samples, usageSample{at: now, report: r})
	if keep := 4 + 2*int(w.cfg.UsageLag/samplePeriod); len(lf.usage.samples) > keep {
		lf.usage.samples = lf.usage.samples[len(lf.usage.samples)-keep:]
	}
}

func (w *Worker) noise() float64 { return math.Exp(measurementNoise * w.random.NormFloat64()) }

// slowdown returns how many times longer a request takes now than on an idle worker. Tasks count by the part of the worker that they
// occupy, and weigh more the fuller the worker is.
func (w *Worker) slowdown(kind string) float64 {
	capacity := float64(w.cfg.Capacity.MilliCores)
	factor, used := 0.0, 0.0
	if capacity > 0 {
		for _, t := range w.life.tasks {
			part := min(1, float64(t.req.Size.MilliCores)*t.throttle*t.usage/capacity)
			used += part
			factor += part * w.cfg.Model.Pair(kind, t.req.Kind)
		}
	}
	if w.cfg.Slots > 0 {
		used = min(1, used+float64(w.life.busy)/float64(w.cfg.Slots)/4)
	}
	factor *= idlePressure + (1-idlePressure)*used
	return (1 + factor) * max(1, w.faults.Slow)
}
