// Package locality decides how long a task waits for a place near its data, and a gang for a place within one rack,
// when elsewhere it would take several times as long. It uses no clock, network or goroutine.
//
// It handles these loads: many submissions that want the same rack; a full pool; a rack that is gone, closed, failing,
// cold or full of long-running tasks; estimates that are wrong by a factor of ten, or missing.
//
// The rule is the expected gain: a wait must be expected to end sooner than the time that the better place saves. The run
// time in each place has a price, because it delays others: as in a queue, it counts more by the inverse of what is free.
// In the worse place, a task takes room from the whole pool for longer. In the better place, it delays those that belong
// there; where more of them arrive than the place can hold, all would wait and none would gain. Without a price, a pool
// at 70% load fills with tasks in worse places, each of which drives others from their better place.
//
// As the expectation may be wrong, a wait is also bounded by the time to the objective, by MaxWait, and by the gain with
// its price.
package locality

import (
	"log/slog"
	"math"
	"time"
)

const (
	// MaxWait bounds the waits of one task in all. A submission with nothing running must not wait for 3 s while there is
	// room; the rest is for the plan, the log and the start.
	MaxWait = 1500 * time.Millisecond
	// minWait is the shortest wait that is worth a decision, about the time between two plans.
	minWait = 10 * time.Millisecond
	// A waiting task is asked again after the expected wait, but within these bounds: the rate and the tasks ahead of it
	// change with each end.
	minAskInterval = 50 * time.Millisecond
	maxAskInterval = 300 * time.Millisecond
	// maxSlowdown keeps sums of absurd settings from overflowing.
	maxSlowdown = 1000
	// Longer work counts as maxWork, also against overflows; no wait is nearly as long.
	maxWork = time.Hour
)

// Request describes a task, or a gang, for which there is room in a worse place only.
type Request struct {
	// Now is the time of the decision, on the clock of Decision.Until.
	Now time.Duration
	// PoolLoad is the share of the room for short tasks in the pool that is in use.
	PoolLoad float64
	// Work is the expected run time in the better place, 0 if unknown. In the worse one it is Slowdown times as long.
	Work     time.Duration
	Slowdown float64
	// ToObjective is the time left until the objective, ToWorthless that until the result has no value, both less the work
	// that follows.
	ToObjective, ToWorthless time.Duration
	// Waited is how long the task has waited so far.
	Waited time.Duration
	// Needed is the room that the better place lacks for the task, Ahead the room that others need there first.
	Needed, Ahead int64
	// Place is the better place.
	Place Place
}

// Place is what is known of the better place.
type Place struct {
	// Possible reports whether the place can hold the task once the short tasks there have ended.
	Possible bool
	// Freed is the room that has become free there lately.
	Freed Flow
	// Window is the time over which Freed was observed.
	Window time.Duration
	// Load is the share of the place that tasks have used lately that are better off there than elsewhere.
	Load float64
	// Outcomes are those of the waits for this place.
	Outcomes Outcomes
}

// Reason explains a decision.
type Reason uint8

// Values of Reason. Waits is the only one with a wait.
const (
	Waits Reason = iota
	// NoSlowdown: the worse place is as good, or the expected work is unknown.
	NoSlowdown
	// Impossible: the better place cannot become free.
	Impossible
	// RateUnknown: too few tasks have ended there.
	RateUnknown
	// TooLong: the wait is expected to take longer than the better place saves at the prices of both places.
	TooLong
	// BoundReached: the task has waited as long as it may.
	BoundReached
	// Reasons is the number of reasons.
	Reasons
)

var reasonNames = [Reasons]string{Waits: "waits", NoSlowdown: "no-gain", Impossible: "impossible",
	RateUnknown: "rate-unknown", TooLong: "too-long", BoundReached: "bound-reached"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// LogValue implements slog.LogValuer.
func (r Reason) LogValue() slog.Value { return slog.StringValue(r.String()) }

// Decision is to place the task now, in the worse place, unless Reason is Waits.
type Decision struct {
	Reason Reason
	// Until is when the task must be asked again if the better place is not free before.
	Until time.Duration
	// Expected is the expected time until the better place is free, Gain the time that it saves the task, without a price.
	Expected, Gain time.Duration
}

// Decide returns whether a task waits for the better place.
func Decide(r *Request) Decision {
	if r.Work <= 0 || !(r.Slowdown > 1) {
		return Decision{Reason: NoSlowdown}
	}
	work := min(r.Work, maxWork)
	d := Decision{Gain: Loss(work, r.Slowdown)}
	far := work + d.Gain
	if !r.Place.Possible {
		d.Reason = Impossible
		return d
	}
	worth := float64(far)/free(r.PoolLoad) - float64(work)/free(r.Place.Load)
	if r.Place.Load >= crowdedLoad && r.PoolLoad < crowdedLoad {
		worth = min(worth, crowdedShare*float64(d.Gain))
	}
	if worth <= 0 {
		d.Reason = TooLong
		return d
	}
	bound := time.Duration(min(worth, float64(MaxWait)))
	limit := min(r.valueLimit(work, far), bound-r.Waited)
	if limit < minWait {
		d.Reason = BoundReached
		return d
	}
	rate, known := r.Place.rate()
	if !known {
		d.Reason = RateUnknown
		return d
	}
	expected := float64(r.Ahead+max(1, r.Needed)) / rate * float64(time.Second)
	if !(expected < worth) {
		d.Reason = TooLong
		return d
	}
	d.Expected = time.Duration(expected)
	d.Until = r.Now + min(limit, min(max(d.Expected, minAskInterval), maxAskInterval))
	return d
}

// Loss returns how much longer work takes in a worse place.
func Loss(work time.Duration, slowdown float64) time.Duration {
	if !(slowdown > 1) {
		return 0
	}
	return time.Duration((min(slowdown, maxSlowdown) - 1) * float64(max(0, min(work, maxWork))))
}

// valueLimit returns how long a wait may last without a loss of value if the task is then placed in the worse place after
// all. If only the better place can still reach a bound of the value, the wait may last as long as it can. A result that
// has no value in either place has none to lose; its wait is limited by MaxWait, because it delays others.
func (r *Request) valueLimit(near, far time.Duration) time.Duration {
	switch {
	case far <= r.ToObjective:
		return r.ToObjective - far
	case near <= r.ToObjective && far <= r.ToWorthless:
		return min(r.ToObjective-near, r.ToWorthless-far)
	case near <= r.ToObjective:
		return r.ToObjective - near
	case far <= r.ToWorthless:
		return r.ToWorthless - far
	case near <= r.ToWorthless:
		return r.ToWorthless - near
	}
	return MaxWait
}

const (
	// crowdedLoad is the load from which a place has about as much to do as it can hold. Each task that gets room there then
	// drives another one out, so a wait saves nothing for the pool, unless the whole pool is as crowded.
	crowdedLoad = 0.9
	// crowdedShare is the share of the gain that a task waits for a crowded place all the same, so that it does not stand idle
	// between two tasks.
	crowdedShare = 0.25
)

// minFree bounds the price of full places.
const minFree = 0.1

// free returns the share that is free of a place with a load.
func free(load float64) float64 { return max(minFree, min(1, 1-load)) }

// minSamples is the number of ends below which the rate of a place is unknown.
const minSamples = 4

// rate returns the room that becomes free for waiting tasks in a second. It is low by the usual error of so few samples,
// and by the share of the waits that were in vain.
func (p *Place) rate() (float64, bool) {
	if p.Freed.Count < minSamples || p.Freed.Amount <= 0 || p.Window <= 0 {
		return 0, false
	}
	return p.Freed.PerSecond(p.Window) * (1 - 1/math.Sqrt(p.Freed.Count)) * p.Outcomes.share(), true
}
