package worker

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Kind is the true behaviour of one kind of work, which the manifest can describe wrongly.
type Kind struct {
	// RunTime is the median run time on an idle worker; zero takes the declared one.
	RunTime time.Duration
	// AnswerBytes is the least length of an answer.
	AnswerBytes int
}

// Model determines run times and interference. Equal models give equal results for equal work.
type Model struct {
	Seed uint64
	// Kinds holds the known kinds; others run for DefaultRunTime or the declared time.
	Kinds map[string]Kind
	// Variation is the standard deviation of the logarithm of run times.
	Variation float64
	// StragglerShare of the batch tasks runs StragglerFactor times longer.
	StragglerShare  float64
	StragglerFactor float64
	// Misdeclaration is how far the true run times and processor use of a job's tasks are from the declared ones: 0 not at all, 1 by
	// factors between 0.1 and 20. The factors differ between jobs.
	Misdeclaration float64
	// Interference scales how much work on the same worker slows down; zero switches it off.
	Interference float64
}

const (
	defaultRunTime = 50 * time.Millisecond
	// noisyShare of the pairs of kinds disturb each other by up to noisyFactor, the others by up to quietFactor, if the task occupies
	// the whole worker.
	noisyShare  = 0.2
	noisyFactor = 4.0
	quietFactor = 0.4
	// requestPressure is the slowdown of tasks while every slot is in use.
	requestPressure = 0.3
	// idlePressure is the part of the interference that does not depend on the load.
	idlePressure = 0.5

	misdeclaredLow  = 0.1
	misdeclaredHigh = 20.0
)

// random returns a source that depends on the model's seed and the given words only.
func (m *Model) random(words ...string) *rand.Rand {
	d := xxhash.New()
	for _, w := range words {
		_, _ = d.WriteString(w)
		_, _ = d.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(m.Seed, d.Sum64()))
}

func (m *Model) vary(r *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(m.Variation*r.NormFloat64()))
}

// RequestTime returns the run time of a request on an idle worker.
func (m *Model) RequestTime(kind, requestID string) time.Duration {
	median := m.Kinds[kind].RunTime
	if median <= 0 {
		median = defaultRunTime
	}
	return m.vary(m.random("request", kind, requestID), median)
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
	t := m.vary(r, time.Duration(float64(median)*m.misdeclared("run time", ref.Job)))
	if r.Float64() < m.StragglerShare {
		t = time.Duration(float64(t) * max(1, m.StragglerFactor))
	}
	return t
}

// UsageFactor returns the processor use of a job's tasks over their declared size.
func (m *Model) UsageFactor(job string) float64 { return m.misdeclared("usage", job) }

func (m *Model) misdeclared(what, job string) float64 {
	low, high := math.Log(misdeclaredLow), math.Log(misdeclaredHigh)
	return math.Exp(m.Misdeclaration * (low + m.random("misdeclared", what, job).Float64()*(high-low)))
}

// Drift returns the drift of a worker's clock, between -limit and limit.
func (m *Model) Drift(worker string, limit float64) float64 {
	return limit * (2*m.random("drift", worker).Float64() - 1)
}

// Pair returns how much a task that occupies the whole worker slows requests of a kind down: 0 is not at all, 1 doubles the run time.
func (m *Model) Pair(request, task string) float64 {
	if m.Interference <= 0 {
		return 0
	}
	r := m.random("pair", request, task)
	limit := quietFactor
	if r.Float64() < noisyShare {
		limit = noisyFactor
	}
	return m.Interference * limit * (0.5 + r.Float64()/2)
}
