package backlog

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// crowded is a summary with 60 s of work of priority 1 at the best rate, behind which priority 2 has waited for 10 s.
func crowded() *Summary {
	return &Summary{Pools: []Pool{{Name: "p", Best: 10_000, Recent: 5_000}}, Classes: []Class{
		{Queue: "high", Pool: "p", Priority: 1, BestEffort: true, Waiting: 600_000, ObjectiveMS: 5000},
		{Queue: "low", Pool: "p", Priority: 2, BestEffort: true, Waiting: 100_000, ObjectiveMS: 5000, StarvedMS: 10_000}}}
}

func lowRequest() Request {
	return Request{ID: "a", Queue: "low", Pool: "p", Priority: 2, BestEffort: true, Objective: 5 * time.Second, Chain: 2 * time.Second}
}

// Guards against a refusal that is not certain.
func TestJudge(t *testing.T) {
	type test struct {
		change  func(*Summary, *Request)
		age     time.Duration
		refused bool
	}
	for name, c := range map[string]test{
		"behind a higher priority":   {func(*Summary, *Request) {}, time.Second, true},
		"old summary":                {func(*Summary, *Request) {}, MaxAge, false},
		"same priority":              {func(_ *Summary, r *Request) { r.Priority, r.Queue = 1, "high" }, 0, false},
		"highest priority":           {func(_ *Summary, r *Request) { r.Priority = 0 }, 0, false},
		"other pool":                 {func(_ *Summary, r *Request) { r.Pool = "q" }, 0, false},
		"reserving work":             {func(_ *Summary, r *Request) { r.BestEffort = false }, 0, false},
		"class is placed":            {func(s *Summary, _ *Request) { s.Classes[1].StarvedMS = 1000 }, 0, false},
		"nothing of its class waits": {func(s *Summary, _ *Request) { s.Classes = s.Classes[:1] }, 0, false},
		"unknown rate":               {func(s *Summary, _ *Request) { s.Pools = nil }, 0, false},
		"long objective":             {func(_ *Summary, r *Request) { r.Objective = time.Minute }, 0, false},
		"low estimate":               {func(s *Summary, _ *Request) { s.Classes[1].ObjectiveMS = 60_000 }, 0, false},
		"short backlog":              {func(s *Summary, _ *Request) { s.Classes[0].Waiting = 150_000 }, 0, false},
	} {
		s, r := crowded(), lowRequest()
		c.change(s, &r)
		assert.Equal(t, c.refused, s.Judge(c.age, r).Refused, name)
	}
}

// Guards against a retry before the backlog is short enough, and against retries that all come at once.
func TestRetryAfter(t *testing.T) {
	times := map[time.Duration]bool{}
	for i := range 50 {
		r := lowRequest()
		r.ID = fmt.Sprint(i)
		after := crowded().Judge(0, r).RetryAfter
		times[after] = true
		assert.Zero(t, after%time.Second)
		s := crowded()
		// The pool does its present rate until the retry.
		s.Classes[0].Waiting -= int64(after.Seconds() * float64(s.Pools[0].Recent))
		assert.False(t, s.Judge(0, r).Refused)
	}
	assert.Greater(t, len(times), 3)
	s := crowded()
	s.Classes[0].Waiting, s.Pools[0].Recent = math.MaxInt64/512, 0
	assert.Equal(t, maxRetryAfter, s.Judge(0, lowRequest()).RetryAfter)
}

func TestImpossibleAmountsAreNotValid(t *testing.T) {
	for change, valid := range map[Class]bool{{}: true, {Waiting: -1}: false, {StarvedMS: -1}: false, {ObjectiveMS: math.MaxInt64}: false} {
		assert.Equal(t, valid, (&Summary{Classes: []Class{change}}).Valid(), "%+v", change)
	}
	assert.False(t, (&Summary{Pools: []Pool{{Best: math.MaxInt64}}}).Valid())
}

// Guards against a rate that is measured while a pool has no backlog, or across a pause of the owner.
func TestMeter(t *testing.T) {
	m, now := &Meter{}, time.Duration(0)
	play := func(seconds int, waits bool, perSecond int64) (best, recent int64) {
		for range seconds {
			now += Interval
			m.Done(perSecond)
			m.Sample(now, waits, 0)
		}
		return m.Rates()
	}
	best, _ := play(10, false, 100)
	assert.Zero(t, best)
	best, _ = play(rateWindow, true, 1000)
	assert.Zero(t, best, "too few samples with a backlog")
	best, recent := play(4, true, 1000)
	assert.Equal(t, [2]int64{1000, 1000}, [2]int64{best, recent})
	best, recent = play(4, true, 200)
	assert.Equal(t, [2]int64{1000, 200}, [2]int64{best, recent}, "a disturbance passes")
	now += maxSampleGap
	best, _ = play(2, true, 200)
	assert.Zero(t, best, "after a pause")
}
