package worker

import (
	"math"
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// measurementNoise is the standard deviation of the logarithm of the measurement error.
const measurementNoise = 0.1

// defaultRequestMilliCores is the measured processor use of a request if the lease gives no reservation per slot.
const defaultRequestMilliCores = 1000

// usageLog holds measurements until they are old enough to be reported.
type usageLog struct {
	samples []usageSample
	// slowdownSums and slowdownCounts aggregate, by kind, the slowdown of the requests that ended since the last
	// sample.
	slowdownSums   map[string]float64
	slowdownCounts map[string]int
}

type usageSample struct {
	at     time.Time
	report upstream.UsageReport
}

// observeSlowdown records the slowdown of a request: the ratio of its run time to its run time on an idle worker.
func (u *usageLog) observeSlowdown(kind string, slowdown float64) {
	if u.slowdownSums == nil {
		u.slowdownSums, u.slowdownCounts = map[string]float64{}, map[string]int{}
	}
	u.slowdownSums[kind] += slowdown
	u.slowdownCounts[kind]++
}

// report returns the newest measurement whose age is at least lag, or nil.
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

// sampleUsage measures the resource use and the slowdown of requests on the worker, with random errors.
func (w *Worker) sampleUsage(now time.Time) {
	bs := w.bootState
	bs.sampledAt = now
	r := upstream.UsageReport{Slowdown: map[string]float64{}}
	for _, t := range bs.tasks {
		r.MilliCores += int64(float64(t.req.Size.MilliCores) * t.throttle * t.usageFactor)
		r.MemoryMB += t.req.Size.MemoryMB
	}
	perSlot := bs.slotReservation.MilliCores
	if perSlot == 0 {
		perSlot = defaultRequestMilliCores
	}
	r.MilliCores += perSlot * int64(bs.busy)
	r.MemoryMB += bs.slotReservation.MemoryMB * int64(bs.busy)
	// The use is capped at the capacity, although the demand of the tasks can exceed it.
	r.MilliCores = min(w.cfg.Capacity.MilliCores, int64(float64(r.MilliCores)*w.noiseFactor()))
	for kind, sum := range bs.usage.slowdownSums {
		r.Slowdown[kind] = sum / float64(bs.usage.slowdownCounts[kind]) * w.noiseFactor()
	}
	bs.usage.slowdownSums, bs.usage.slowdownCounts = nil, nil
	bs.usage.samples = append(bs.usage.samples, usageSample{at: now, report: r})
	if keep := 4 + 2*int(w.cfg.UsageLag/samplePeriod); len(bs.usage.samples) > keep {
		bs.usage.samples = bs.usage.samples[len(bs.usage.samples)-keep:]
	}
}

// noiseFactor returns a random factor for a measured value.
func (w *Worker) noiseFactor() float64 { return math.Exp(measurementNoise * w.random.NormFloat64()) }

// slowdown returns the ratio of the run time of a request that starts now to its run time on an idle worker. The
// interference of a task is proportional to the share of the worker that it occupies, and grows with the load of the
// worker.
func (w *Worker) slowdown(kind string) float64 {
	capacity := float64(w.cfg.Capacity.MilliCores)
	interference, load := 0.0, 0.0
	if capacity > 0 {
		for _, t := range w.bootState.tasks {
			share := min(1, float64(t.req.Size.MilliCores)*t.throttle*t.usageFactor/capacity)
			load += share
			interference += share * w.cfg.Model.PairInterference(kind, t.req.Kind)
		}
	}
	if w.cfg.Slots > 0 {
		load = min(1, load+float64(w.bootState.busy)/float64(w.cfg.Slots)/4)
	}
	interference *= idleInterferenceShare + (1-idleInterferenceShare)*load
	return (1 + interference) * max(1, w.faults.Slow)
}
