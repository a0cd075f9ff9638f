package durations

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var request = Kind{Queue: "requests", Image: "render"}

// load is a kind of which each submission has one step of tasks.
type load struct {
	// spread is the factor between the durations of two submissions that are a standard deviation apart.
	spread float64
	// estimateError is by how much estimates are wrong at most; missing is the share of those that are 0.
	estimateError, missing float64
}

// play returns the mean factors by which the predictions and the estimates that are not 0 are wrong, after the first tenth
// of 1,000 submissions.
func (l load) play(m *Model, seed uint64) (predictions, estimates float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const submissions, tasks = 1000, 10
	predicted, given := estimator{}, estimator{}
	for i := range submissions {
		work := 0.8 * math.Exp(rng.NormFloat64()*math.Log(l.spread))
		estimate := time.Duration(work * (1 + l.estimateError*(2*rng.Float64()-1)) * float64(time.Second))
		if rng.Float64() < l.missing {
			estimate = 0
		}
		if i >= submissions/10 {
			predicted.mean += math.Abs(logSeconds(m.Predict(request, estimate).Expected) - math.Log(work))
			predicted.weight++
		}
		if i >= submissions/10 && estimate > 0 {
			given.mean += math.Abs(logSeconds(estimate) - math.Log(work))
			given.weight++
		}
		for range tasks {
			actual := work * (0.95 + 0.1*rng.Float64())
			if rng.Float64() < 0.03 {
				actual *= 7
			}
			m.Observe(request, time.Duration(actual*float64(time.Second)), estimate, 1.0/tasks)
		}
	}
	return math.Exp(predicted.mean / predicted.weight), math.Exp(given.mean / given.weight)
}

// Guards against decisions that trust estimates which say little: they are wrong by up to 0.9, some are missing, and 3 tasks in
// 100 take 7 times as long.
func TestUnreliableEstimatesAreReplaced(t *testing.T) {
	for seed := range uint64(5) {
		predictions, estimates := load{spread: 1.2, estimateError: 0.9, missing: 0.1}.play(New(), seed)
		t.Logf("seed %d: predictions are wrong by a factor of %.2f, estimates by %.2f", seed, predictions, estimates)
		assert.Less(t, math.Log(predictions), math.Log(estimates)/2)
	}
}

// Guards against a mean that replaces the estimates of a caller who knows its tasks, whose durations differ by orders of
// magnitude.
func TestReliableEstimatesKeepTheirWeight(t *testing.T) {
	for seed := range uint64(5) {
		predictions, estimates := load{spread: 4, estimateError: 0.1}.play(New(), seed)
		t.Logf("seed %d: predictions are wrong by a factor of %.3f, estimates by %.3f", seed, predictions, estimates)
		assert.Less(t, math.Log(predictions), 2*math.Log(estimates))
	}
}

// Guards against a prediction that one step decides, and against one that ignores the kind where nothing else is known.
func TestFewSamplesHaveLittleWeight(t *testing.T) {
	m := New()
	assert.Equal(t, time.Second, m.Predict(request, time.Second).Expected, "a successor starts from the estimates")
	assert.Zero(t, m.Predict(request, 0).Expected)
	for range 10 {
		m.Observe(request, 4*time.Second, time.Second, 0.1)
	}
	assert.InDelta(t, 1, m.Predict(request, time.Second).Expected.Seconds(), 0.6)
	assert.InDelta(t, 4, m.Predict(request, 0).Expected.Seconds(), 0.1, "an estimate of 0 says nothing")
	assert.Equal(t, time.Second, m.Predict(Kind{Queue: "requests", Step: 1, Image: "render"}, time.Second).Expected)
}

// Guards against tasks that count as late too early: the shortest duration is exceeded by most tasks, and unknown at first.
func TestShortestDurationIsExceeded(t *testing.T) {
	m, rng, exceeded := New(), rand.New(rand.NewPCG(1, 1)), 0
	for i := range 1000 {
		actual := time.Duration(float64(time.Second) * math.Exp(0.3*rng.NormFloat64()))
		p := m.Predict(request, 0)
		assert.Equal(t, i < minKnown, p.AtLeast == 0)
		if actual > p.AtLeast {
			exceeded++
		}
		m.Observe(request, actual, 0, 1)
	}
	assert.GreaterOrEqual(t, exceeded, 1000*5/6)
	assert.Less(t, exceeded, 1000, "it says nothing")
}

// Guards against a prediction that stays wrong after the program of a kind has changed.
func TestChangedDurationIsFollowed(t *testing.T) {
	m := New()
	for range 500 {
		m.Observe(request, time.Second, 0, 1)
	}
	for range 200 {
		m.Observe(request, 8*time.Second, 0, 1)
	}
	assert.InDelta(t, 8, m.Predict(request, 0).Expected.Seconds(), 1)
}

// Guards against memory that grows with the names that callers choose, and against names that displace kinds in use.
func TestKindsAreBounded(t *testing.T) {
	m := New()
	for i := range 20 * maxKinds {
		m.Observe(Kind{Queue: "q", Image: fmt.Sprint(i)}, time.Second, 0, 1)
		if i%100 == 0 {
			m.Observe(request, 2*time.Second, 0, 1)
		}
	}
	assert.Equal(t, maxKinds, m.Kinds())
	assert.InDelta(t, 2, m.Predict(request, 0).Expected.Seconds(), 0.01)
}

// Absurd durations must not give predictions whose sums overflow.
func TestPredictionsAreBounded(t *testing.T) {
	m := New()
	for _, actual := range []time.Duration{math.MaxInt64, 0, -1, math.MaxInt64, math.MinInt64} {
		for _, estimate := range []time.Duration{0, 1, math.MaxInt64} {
			m.Observe(request, actual, estimate, 1)
			p := m.Predict(request, estimate).Expected
			assert.True(t, p >= 0 && p <= maxDuration, "%s", p)
		}
	}
}

func BenchmarkPredict(b *testing.B) {
	m := New()
	for i := range maxKinds {
		m.Observe(Kind{Queue: "requests", Image: fmt.Sprint("image-", i)}, time.Second, time.Second, 1)
	}
	k := Kind{Queue: "requests", Image: "image-7"}
	b.ReportAllocs()
	for b.Loop() {
		m.Predict(k, 2*time.Second)
	}
}
