package worker

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Kind is the true behaviour of one kind of work. The values in the manifest can differ from it.
type Kind struct {
	// RunTime is the median run time on an idle worker. Zero selects the declared run time.
	RunTime time.Duration
	// AnswerBytes is the minimum length of an answer.
	AnswerBytes int
}

// Model determines run times, interference and clock drift. It is deterministic: equal models give equal results for
// equal work.
type Model struct {
	Seed uint64
	// Kinds holds the known kinds. Work of other kinds runs for the declared time, or defaultRunTime if none is
	// declared.
	Kinds map[string]Kind
	// Variation is the standard deviation of the logarithm of run times.
	Variation float64
	// StragglerShare is the share of the batch tasks whose run time is multiplied by StragglerFactor.
	StragglerShare  float64
	StragglerFactor float64
	// Misdeclaration is the degree to which the true run times and processor use of a job's tasks differ from the
	// declared ones: at 0 they are equal, at 1 they differ by factors between 0.1 and 20. Each job has its own factors.
	Misdeclaration float64
	// Interference scales the slowdown of work by other work on the same worker; zero disables it.
	Interference float64
}

const (
	// defaultRunTime is the median run time of requests and tasks of unknown kinds without a declared run time.
	defaultRunTime = 50 * time.Millisecond
	// noisyPairShare is the share of the pairs of kinds with strong interference. A task that occupies the whole worker
	// slows requests down by up to noisyFactor in these pairs and by up to quietFactor in the others.
	noisyPairShare = 0.2
	noisyFactor    = 4.0
	quietFactor    = 0.4
	// fullLoadTaskSlowdown is the slowdown of tasks while every slot is in use, at an interference of 1.
	fullLoadTaskSlowdown = 0.3
	// idleInterferenceShare is the share of the interference that does not depend on the load.
	idleInterferenceShare = 0.5

	// The range of the factors at a misdeclaration of 1.
	minMisdeclarationFactor = 0.1
	maxMisdeclarationFactor = 20.0
)

// random returns a source of random numbers that depends only on the model's seed and the keys.
func (m *Model) random(keys ...string) *rand.Rand {
	d := xxhash.New()
	for _, key := range keys {
		_, _ = d.WriteString(key)
		_, _ = d.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(m.Seed, d.Sum64()))
}

// sampleRunTime draws a run time from the log-normal distribution with the given median.
func (m *Model) sampleRunTime(r *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(m.Variation*r.NormFloat64()))
}

// RequestTime returns the run time of a request on an idle worker.
func (m *Model) RequestTime(kind, requestID string) time.Duration {
	median := m.Kinds[kind].RunTime
	if median <= 0 {
		median = defaultRunTime
	}
	return m.sampleRunTime(m.random("request", kind, requestID), median)
}

// TaskTime returns the run time of a task on an idle worker. It is the same for every attempt of the task.
func (m *Model) TaskTime(kind string, ref upstream.TaskRef, declared time.Duration) time.Duration {
	median := m.Kinds[kind].RunTime
	if median <= 0 {
		median = declared
	}
	if median <= 0 {
		median = defaultRunTime
	}
	r := m.random("task", kind, ref.Job, strconv.Itoa(ref.Index))
	t := m.sampleRunTime(r, time.Duration(float64(median)*m.misdeclarationFactor("run time", ref.Job)))
	if r.Float64() < m.StragglerShare {
		t = time.Duration(float64(t) * max(1, m.StragglerFactor))
	}
	return t
}

// UsageFactor returns the ratio of the processor use of a job's tasks to their declared size.
func (m *Model) UsageFactor(job string) float64 { return m.misdeclarationFactor("usage", job) }

// misdeclarationFactor returns the ratio of the true to the declared value of a quantity of a job.
func (m *Model) misdeclarationFactor(quantity, job string) float64 {
	low, high := math.Log(minMisdeclarationFactor), math.Log(maxMisdeclarationFactor)
	return math.Exp(m.Misdeclaration * (low + m.random("misdeclared", quantity, job).Float64()*(high-low)))
}

// Drift returns the drift of a worker's clock, in the range from -limit to limit.
func (m *Model) Drift(worker string, limit float64) float64 {
	return limit * (2*m.random("drift", worker).Float64() - 1)
}

// PairInterference returns the relative increase of the run time of requests of a kind due to a task that occupies the
// whole worker: 0 is no increase, 1 doubles the run time.
func (m *Model) PairInterference(request, task string) float64 {
	if m.Interference <= 0 {
		return 0
	}
	r := m.random("pair", request, task)
	limit := quietFactor
	if r.Float64() < noisyPairShare {
		limit = noisyFactor
	}
	return m.Interference * limit * (0.5 + r.Float64()/2)
}
