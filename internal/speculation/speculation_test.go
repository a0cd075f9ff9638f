package speculation

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// Guards against copies of tasks that will end soon or of which too little is known, and against waiting until a copy cannot be in
// time. The tasks of the kind take 700 ms.
func TestCauses(t *testing.T) {
	for name, c := range map[string]struct {
		attempt Attempt
		cause   Cause
	}{
		"usual progress":                  {Attempt{Elapsed: 500 * ms, Percent: 70}, None},
		"just begun":                      {Attempt{Elapsed: 50 * ms}, None},
		"seven times as long":             {Attempt{Elapsed: 400 * ms, Percent: 8}, Task},
		"seven times as long, old report": {Attempt{Elapsed: 500 * ms, Percent: 8, Age: 100 * ms}, Task},
		"usual, old report":               {Attempt{Elapsed: 600 * ms, Percent: 10, Age: 530 * ms}, None},
		"seven times as long, early":      {Attempt{Elapsed: 150 * ms, Percent: 3}, None},
		"early, on a bad worker":          {Attempt{Elapsed: 200 * ms, Percent: 4, BadWorker: true}, Worker},
		"usual, on a bad worker":          {Attempt{Elapsed: 400 * ms, Percent: 57, BadWorker: true}, None},
		"five times as long, nearly done": {Attempt{Elapsed: 3200 * ms, Percent: 91}, None},
		"no progress for long":            {Attempt{Elapsed: 1500 * ms}, Task},
		"no progress":                     {Attempt{Elapsed: 1000 * ms}, None},
		"silent worker":                   {Attempt{Elapsed: 500 * ms, Percent: 40, Age: 450 * ms, Silence: 450 * ms}, Silent},
		"one lost call":                   {Attempt{Elapsed: 500 * ms, Percent: 40, Age: 250 * ms, Silence: 200 * ms}, None},
	} {
		t.Run(name, func(t *testing.T) {
			a := c.attempt
			assert.Equal(t, None, a.cause(), "the kind is not known")
			a.Expected = 700 * ms
			assert.Equal(t, c.cause, a.cause())
		})
	}
}

func slowTasks(n int, cores int64) []Attempt {
	out := make([]Attempt, n)
	for i := range out {
		out[i] = Attempt{Elapsed: 500 * ms, Percent: 10, Expected: 700 * ms, MilliCores: cores}
	}
	return out
}

// Guards against copies that take more than their share, also where they are large, and against copies of slow tasks that take the
// share of those on silent workers.
func TestCopiesStayWithinTheBudget(t *testing.T) {
	d := &Decider{}
	assert.Len(t, d.Choose(slowTasks(100, 1000), Budget{Total: 8000}), 2, "a quarter until copies are known to help")
	assert.Empty(t, d.Choose(slowTasks(100, 8001), Budget{Total: 8000}))
	assert.Empty(t, d.Choose(slowTasks(100, math.MaxInt64/4), Budget{Total: 8000}))
	silent := slowTasks(100, 1000)
	for i := range silent[50:] {
		silent[50+i].Silence = time.Second
	}
	chosen := d.Choose(silent, Budget{Total: 8000, Used: 3000})
	assert.Len(t, chosen, 5)
	for _, c := range chosen {
		assert.Equal(t, Silent, c.Cause)
	}
	for _, c := range d.Choose(silent, Budget{Total: 80000, Scarce: true}) {
		assert.Equal(t, Silent, c.Cause, "copies take room from work that lacks it")
	}
}

// Guards against copies that take their whole share although tasks are slow on every worker, and against a share that stays small
// once the workers are the cause.
func TestCopiesThatDoNotHelpAreFew(t *testing.T) {
	d := &Decider{}
	count := func() int { return len(d.Choose(slowTasks(100, 1000), Budget{Total: 40000})) }
	for range 100 {
		d.Ended(Task, false)
	}
	assert.Equal(t, 10, count())
	for range 100 {
		d.Ended(Task, true)
	}
	assert.Equal(t, 40, count())
	for range 100 {
		d.Ended(Silent, false)
	}
	assert.Equal(t, 40, count(), "outcomes on silent workers say nothing about slow tasks")
}

func BenchmarkChoose(b *testing.B) {
	d, attempts := &Decider{}, slowTasks(200, 1000)
	b.ReportAllocs()
	for b.Loop() {
		d.Choose(attempts, Budget{Total: 100000})
	}
}
