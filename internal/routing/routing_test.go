package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/budget"
	"clementinewalk.example/clementinewalk/internal/instance"
)

func policies(t testing.TB) map[string]Policy {
	out := map[string]Policy{}
	for _, name := range []string{NameRandom, NameP2C, NameExact} {
		p, err := New(name, rand.New(rand.NewPCG(1, 2)))
		require.NoError(t, err)
		out[name] = p
	}
	return out
}

// Guards against the choice of a blocked worker or of one without a free slot, and against NoWorker although a worker
// is usable.
func TestChoicesAreUsable(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for name, p := range policies(t) {
		require.Equal(t, NoWorker, p.Choose(nil, NoWorker), name)
		for range 2000 {
			c := make([]budget.Candidate, 1+r.IntN(12))
			any := false
			for i := range c {
				c[i] = budget.NewCandidate(int16(max(0, r.IntN(12)-8)), r.IntN(2) == 0, r.IntN(4) == 0)
				any = any || c[i].Free > 0 && !c[i].Blocked
			}
			avoid := r.IntN(len(c)+1) - 1
			i := p.Choose(c, avoid)
			require.Equal(t, any, i != NoWorker, name)
			if any {
				require.True(t, c[i].Free > 0 && !c[i].Blocked, name)
			}
		}
	}
	_, err := New("other", nil)
	require.ErrorAs(t, err, new(*UnknownPolicyError))
}

// Guards against an exact policy that misses the worker with the most free slots or needlessly chooses another data
// centre.
func TestExactPrefersNearThenFree(t *testing.T) {
	p := policies(t)[NameExact]
	c := []budget.Candidate{budget.NewCandidate(8, true, false), budget.NewCandidate(2, false, false),
		budget.NewCandidate(5, false, false), budget.NewCandidate(6, false, true)}
	for range 50 {
		require.Equal(t, 2, p.Choose(c, NoWorker))
		require.Equal(t, 1, p.Choose(c, 2))
	}
	c[1], c[2] = budget.NewCandidate(0, false, false), budget.NewCandidate(0, false, false)
	require.Equal(t, 0, p.Choose(c, NoWorker))
}

// Guards against an ejection that is too short or too long, and against ejections of more than half of the workers.
func TestOutliers(t *testing.T) {
	o, now := NewOutlierDetector(), time.Unix(100, 0)
	fail := func(id instance.ID) (ejected bool) {
		for range ejectAfterFailures {
			ejected = o.RecordFailure(now, id, 3) || ejected
		}
		return ejected
	}
	require.True(t, fail("a"))
	require.False(t, fail("b"), "at most half of the workers")
	require.Empty(t, o.EndEjections(now.Add(baseEjection-1)))
	now = now.Add(baseEjection)
	require.Equal(t, []instance.ID{"a"}, o.EndEjections(now))
	require.True(t, o.RecordFailure(now, "a", 3), "one failure after the return ejects again")
	require.Empty(t, o.EndEjections(now.Add(2*baseEjection-1)))
	require.Equal(t, []instance.ID{"a"}, o.EndEjections(now.Add(2*baseEjection)))
	o.RecordSuccess("a")
	require.False(t, o.RecordFailure(now, "a", 3))
}

// Guards against a slow worker that is not ejected, a single slow answer that ejects a worker, and a full load on a
// worker that is still slow when its ejection ends.
func TestSlowWorkers(t *testing.T) {
	o, now := NewOutlierDetector(), time.Unix(100, 0)
	require.False(t, o.RecordServiceTime(now, "b", 20, 4))
	require.False(t, o.RecordServiceTime(now, "b", 1, 4))
	ejected := false
	for range 20 {
		ejected = o.RecordServiceTime(now, "a", 5, 4) || ejected
		o.RecordSuccess("a")
	}
	require.True(t, ejected)
	require.False(t, o.OnProbation("a"), "ejected workers get nothing")
	now = now.Add(baseEjection)
	require.Equal(t, []instance.ID{"a"}, o.EndEjections(now))
	require.True(t, o.OnProbation("a"))
	require.True(t, o.RecordServiceTime(now, "a", 5, 4), "one slow answer on probation ejects again")
	now = now.Add(2 * baseEjection)
	require.Equal(t, []instance.ID{"a"}, o.EndEjections(now))
	require.False(t, o.RecordServiceTime(now, "a", 1, 4))
	require.False(t, o.OnProbation("a"))
	require.False(t, o.RecordServiceTime(now, "a", 5, 4), "the average starts again")
	require.Empty(t, o.Clear())
}

// The design target is one microsecond and no allocation per choice.
func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{8, 65, 500} {
		c := make([]budget.Candidate, workers)
		for i := range c {
			c[i] = budget.NewCandidate(int16(i%9), i%4 != 0, false)
		}
		for name, p := range policies(b) {
			b.Run(fmt.Sprintf("%s/%d", name, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.Choose(c, NoWorker)
				}
			})
		}
	}
}
