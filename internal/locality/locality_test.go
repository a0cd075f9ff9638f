package locality

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	ms   = time.Millisecond
	work = 600 * ms
)

// usual is a task that would gain 1.2 s, with a place whose room for one task becomes free every 100 ms, in a pool that is
// half in use.
func usual() *Request {
	return &Request{Now: time.Minute, Work: work, Slowdown: 3, PoolLoad: 0.5, ToObjective: 3 * time.Second, ToWorthless: 9 * time.Second,
		Needed: 1000, Place: Place{Possible: true, Freed: Flow{Amount: 100_000, Count: 100}, Window: 10 * time.Second, Load: 0.5}}
}

func TestDecisions(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Request)
		reason Reason
	}{
		{"usual", func(*Request) {}, Waits},
		{"no slowdown", func(r *Request) { r.Slowdown = 1 }, NoSlowdown},
		{"slowdown is no number", func(r *Request) { r.Slowdown = math.NaN() }, NoSlowdown},
		{"no estimate", func(r *Request) { r.Work = 0 }, NoSlowdown},
		{"rack gone, closed, cold, failing or full of long-running tasks", func(r *Request) { r.Place.Possible = false }, Impossible},
		{"few samples", func(r *Request) { r.Place.Freed = Flow{Amount: 100_000, Count: minSamples - 1} }, RateUnknown},
		{"new owner", func(r *Request) { r.Place.Window = 0 }, RateUnknown},
		{"many ahead", func(r *Request) { r.Ahead = 100_000 }, TooLong},
		{"some ahead", func(r *Request) { r.Ahead = 5_000 }, Waits},
		{"place with more to do than it can hold", func(r *Request) { r.Place.Load = 1 }, TooLong},
		{"crowded place in a full pool", func(r *Request) { r.Place.Load, r.PoolLoad = 1, 1 }, Waits},
		{"crowded place with none ahead", func(r *Request) { r.Place.Load, r.PoolLoad, r.Ahead = 1, 0.85, 0 }, Waits},
		{"crowded place with some ahead", func(r *Request) { r.Place.Load, r.PoolLoad, r.Ahead = 1, 0.85, 4_000 }, TooLong},
		{"crowded place in a full pool with some ahead", func(r *Request) { r.Place.Load, r.PoolLoad, r.Ahead = 1, 1, 4_000 }, Waits},
		{"small gain", func(r *Request) { r.Work = 20 * ms }, TooLong},
		{"waits were in vain", func(r *Request) { r.Place.Outcomes = Outcomes{vain: 40} }, TooLong},
		{"waited long enough", func(r *Request) { r.Waited = MaxWait }, BoundReached},
		{"waited for the gain", func(r *Request) { r.PoolLoad, r.Place.Load, r.Waited = 0, 0, 1200*ms }, BoundReached},
		{"slack used up", func(r *Request) { r.ToObjective = 1805 * ms }, BoundReached},
		{"in time in the better place only", func(r *Request) { r.ToObjective = 1000 * ms }, Waits},
		{"late", func(r *Request) { r.ToObjective = -ms }, Waits},
		{"late, value ends soon", func(r *Request) { r.ToObjective, r.ToWorthless = -ms, 1805*ms }, BoundReached},
		{"worthless", func(r *Request) { r.ToObjective, r.ToWorthless = -9*time.Second, -time.Second }, Waits},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := usual()
			test.change(r)
			d := Decide(r)
			assert.Equal(t, test.reason, d.Reason, "%v", d)
			assert.Equal(t, d.Reason == Waits, d.Until > r.Now, "a wait ends at a stated time")
		})
	}
}

// Guards against a task that waits beyond its bounds when it is asked again and again, whatever the estimate says.
func TestWaitsAreBounded(t *testing.T) {
	for _, factor := range []float64{0.1, 1, 10, 1e12} {
		for _, toObjective := range []time.Duration{-time.Second, 900 * ms, 2 * time.Second, time.Minute} {
			r := usual()
			r.Work = time.Duration(min(factor*float64(work), math.MaxInt64))
			r.PoolLoad, r.Place.Load, r.ToObjective, r.ToWorthless = 0.9, 0.2, toObjective, toObjective+time.Minute
			start, rounds := r.Now, 0
			for d := Decide(r); d.Reason == Waits; d = Decide(r) {
				passed := d.Until - r.Now
				r.Now, r.Waited = d.Until, r.Waited+passed
				r.ToObjective, r.ToWorthless = r.ToObjective-passed, r.ToWorthless-passed
				rounds++
				require.Less(t, rounds, 100)
			}
			assert.LessOrEqual(t, r.Now-start, MaxWait)
			if far := 3 * r.Work; toObjective >= far && r.Work < time.Hour {
				assert.GreaterOrEqual(t, r.ToObjective, far, "in time before the wait and after it")
			}
		}
	}
}

func TestRates(t *testing.T) {
	var m Meter
	assert.Equal(t, Flow{}, m.At(time.Hour))
	// 1,000 every 100 ms for 20 s.
	now := time.Minute
	for range 200 {
		now += 100 * ms
		m.Observe(now, 1000)
	}
	p := Place{Freed: m.At(now), Window: Window(20 * time.Second)}
	rate, known := p.rate()
	require.True(t, known)
	assert.InEpsilon(t, 10_000, rate, 0.25)
	assert.LessOrEqual(t, m.At(now-time.Second).Count, m.flow.Count, "an earlier time")
	p.Freed = m.At(now + 20*time.Second)
	_, known = p.rate()
	assert.False(t, known, "a rack in which nothing has ended for long")
	var o Outcomes
	o.Observe(now, false)
	o.Observe(now, true)
	assert.InEpsilon(t, 2.0/3, o.share(), 1e-9)
	forgotten := o.At(now + time.Hour)
	assert.InEpsilon(t, 1, forgotten.share(), 1e-9)
}

func BenchmarkDecide(b *testing.B) {
	r := usual()
	for range b.N {
		Decide(r)
	}
}
