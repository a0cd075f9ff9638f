package locality

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant of rates. It covers several runs of a short task, and is short compared with the time
	// in which demand changes.
	rateMemory = 4 * time.Second
	// outcomeMemory is the time constant of outcomes, which are fewer than ends.
	outcomeMemory = 10 * time.Second
)

// Flow is an amount of room that has become free, and the number of ended tasks that freed it. Both decay with
// rateMemory.
type Flow struct{ Amount, Count float64 }

// Add returns the sum of two flows.
func (f Flow) Add(o Flow) Flow { return Flow{Amount: f.Amount + o.Amount, Count: f.Count + o.Count} }

// PerSecond returns the amount of a second if the flow was observed over a window.
func (f Flow) PerSecond(window time.Duration) float64 {
	if window <= 0 {
		return 0
	}
	return f.Amount / window.Seconds()
}

// Meter tracks a flow. The zero value has seen nothing.
type Meter struct {
	flow Flow
	at   time.Duration
}

// Observe adds an amount.
func (m *Meter) Observe(now time.Duration, amount int64) {
	m.flow = m.At(now).Add(Flow{Amount: float64(amount), Count: 1})
	m.at = max(m.at, now)
}

// At returns the flow at a time.
func (m *Meter) At(now time.Duration) Flow {
	if m.flow == (Flow{}) || now <= m.at {
		return m.flow
	}
	w := decay(now-m.at, rateMemory)
	return Flow{Amount: m.flow.Amount * w, Count: m.flow.Count * w}
}

// Window returns the time over which a meter weighs its observations if it has observed for the given time.
func Window(observed time.Duration) time.Duration {
	return time.Duration(float64(rateMemory) * (1 - decay(observed, rateMemory)))
}

// Outcomes tracks how often tasks that waited for a place were placed there. The zero value has seen none.
type Outcomes struct {
	paid, vain float64
	at         time.Duration
}

// Observe adds the outcome of a wait: paid if the task was placed where it waited for.
func (o *Outcomes) Observe(now time.Duration, paid bool) {
	*o = o.At(now)
	o.at = max(o.at, now)
	if paid {
		o.paid++
	} else {
		o.vain++
	}
}

// At returns the outcomes with their weights at a time.
func (o Outcomes) At(now time.Duration) Outcomes {
	if now > o.at {
		w := decay(now-o.at, outcomeMemory)
		o.paid, o.vain, o.at = o.paid*w, o.vain*w, now
	}
	return o
}

// share returns the share of the waits that paid, as if one more had.
func (o *Outcomes) share() float64 { return (o.paid + 1) / (o.paid + o.vain + 1) }

func decay(passed, memory time.Duration) float64 {
	return math.Exp(-max(0, passed).Seconds() / memory.Seconds())
}
