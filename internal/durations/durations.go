// Package durations predicts how long short tasks take. It answers load whose callers' estimates are wrong by a factor of
// 0.1 to 1.9 or missing, while some tasks in a hundred take several times as long as the others: decisions that trust the
// estimates then serve submissions in the wrong order and take late work for work in time. The package learns the durations
// of each kind of task from tasks that have completed, and combines them with the estimates by the measured errors of both,
// so that the estimates of a caller who knows its tasks keep their weight. It uses no clock, network or goroutine.
package durations

import (
	"math"
	"time"
)

// maxKinds limits the kinds that are kept. A kind takes about 200 bytes.
const maxKinds = 512

const (
	// memory is the weight of all earlier samples beyond which older ones are forgotten, in samples.
	memory = 64.0
	// priorWeight is the weight of the assumptions about a kind without samples, in samples.
	priorWeight = 4.0
	// estimateVariance is the assumed variance of the error of estimates, and spread that of the durations of a kind. Estimates
	// are trusted until the measurements contradict: the variance is 0.49 where their factor is uniform from 0.1 to 1.9.
	estimateVariance = 0.04
	spread           = 1.0
	// maxDeviation limits how far one sample moves an estimator, in standard deviations. Tasks that take 7 times as long as
	// their kind would otherwise lengthen the prediction for all others. minDeviation is the least limit, a factor of 2, so
	// that a kind whose duration changes is followed.
	maxDeviation = 2.5
	minDeviation = 0.7
	// minVariance keeps a source whose samples agree from outweighing the other one completely; it is a deviation of 5%.
	minVariance = 0.0025
	// minKnown is the weight of the samples from which the variances are known.
	minKnown = 8.0
	// minDuration is the shortest duration; shorter ones count as this long, so that their logarithm is finite.
	minDuration = time.Millisecond
)

// Kind identifies tasks that are expected to take equally long.
type Kind struct {
	Queue string
	// Step is the number of the step in its submission.
	Step  int
	Image string
}

// estimator tracks the mean and the variance of the logarithm of a quantity. The newest samples count most.
type estimator struct{ weight, mean, squares float64 }

// observe adds a sample with a weight of at most 1. variance is assumed while there are few samples.
func (e *estimator) observe(x, weight, variance float64) {
	deviation := x - e.mean
	if e.weight > 0 {
		limit := max(minDeviation, maxDeviation*math.Sqrt(e.variance(variance)))
		deviation = min(max(deviation, -limit), limit)
	}
	if e.weight+weight > memory {
		factor := (memory - weight) / e.weight
		e.weight, e.squares = e.weight*factor, e.squares*factor
	}
	e.weight += weight
	shift := deviation * weight / e.weight
	e.mean += shift
	e.squares += weight * deviation * (deviation - shift)
}

// variance returns the variance of the samples, or about the assumed one while there are few.
func (e *estimator) variance(assumed float64) float64 {
	return max(minVariance, (e.squares+priorWeight*assumed)/(e.weight+priorWeight))
}

// kind is what is known of one kind.
type kind struct {
	// duration estimates the logarithm of the duration in seconds, factor that of the duration over the estimate.
	duration, factor estimator
	// lastUse is the number of the newest sample.
	lastUse int64
}

// Model holds the durations of all kinds. The zero value is not usable; New returns one.
type Model struct {
	kinds   map[Kind]*kind
	samples int64
}

// New returns a model without samples.
func New() *Model { return &Model{kinds: map[Kind]*kind{}} }

// Kinds returns the number of known kinds.
func (m *Model) Kinds() int { return len(m.kinds) }

// Observe adds the duration of a completed task with its estimate, which is 0 if there was none. weight is at most 1: the
// tasks of one step have the same estimate and often the same amount of work, so all of them together count as one sample.
func (m *Model) Observe(k Kind, actual, estimate time.Duration, weight float64) {
	if weight <= 0 {
		return
	}
	weight = min(weight, 1)
	m.samples++
	known := m.kinds[k]
	if known == nil {
		if len(m.kinds) >= maxKinds {
			m.forgetOldest()
		}
		known = &kind{}
		m.kinds[k] = known
	}
	known.lastUse = m.samples
	logActual := logSeconds(actual)
	known.duration.observe(logActual, weight, spread)
	if estimate > 0 {
		known.factor.observe(logActual-logSeconds(estimate), weight, estimateVariance)
	}
}

// forgetOldest removes the kind without a sample for the longest time.
func (m *Model) forgetOldest() {
	var oldest Kind
	first := int64(math.MaxInt64)
	for k, known := range m.kinds {
		if known.lastUse < first {
			oldest, first = k, known.lastUse
		}
	}
	delete(m.kinds, oldest)
}

// Prediction is what is expected of the duration of a task.
type Prediction struct {
	Expected time.Duration
	// AtLeast is a duration that at least 5 of 6 such tasks exceed; 0 while too little is known.
	AtLeast time.Duration
}

// Predict returns the prediction for a task of the kind whose caller has given the estimate; 0 if there is none. The
// estimate itself is expected of an unknown kind.
func (m *Model) Predict(k Kind, estimate time.Duration) Prediction {
	known := m.kinds[k]
	if known == nil {
		return Prediction{Expected: estimate}
	}
	logDuration, variance := known.predict(estimate)
	p := Prediction{Expected: fromLog(logDuration)}
	if known.duration.weight >= minKnown {
		p.AtLeast = fromLog(logDuration - math.Sqrt(variance))
	}
	return p
}

// predict returns the expected logarithm of the duration in seconds and its variance.
func (k *kind) predict(estimate time.Duration) (logDuration, variance float64) {
	// The mean of few samples is itself uncertain.
	ownVariance := k.duration.variance(spread) * (1 + 1/k.duration.weight)
	if estimate <= 0 {
		return k.duration.mean, ownVariance
	}
	// The systematic part of the error is corrected as far as it is known.
	correction := k.factor.mean * k.factor.weight / (k.factor.weight + priorWeight)
	estimateError := k.factor.variance(estimateVariance)
	own, given := 1/ownVariance, 1/estimateError
	return (own*k.duration.mean + given*(logSeconds(estimate)+correction)) / (own + given), 1 / (own + given)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minDuration).Seconds()) }

// maxDuration limits what is returned, so that sums of durations do not overflow.
const maxDuration = 366 * 24 * time.Hour

func fromLog(logSeconds float64) time.Duration {
	return time.Duration(min(math.Exp(logSeconds)*float64(time.Second), float64(maxDuration)))
}
