package evacuation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: n * 1000, MemoryMB: 100} }

func workers(n int, free resource.Vector) []resource.Vector {
	out := make([]resource.Vector, n)
	for i := range out {
		out[i] = free
	}
	return out
}

// Guards against moves that take tasks down beyond their budgets, that take the room of others, or that never come.
func TestMoves(t *testing.T) {
	step := func(size int64, budget, down, movable int) Step {
		return Step{Size: cores(size), Budget: budget, Down: down, Movable: movable}
	}
	for name, test := range map[string]struct {
		pool Pool
		want []int
		held Reason
	}{
		"nothing to move":            {pool: Pool{Free: workers(40, cores(8))}, want: []int{}},
		"all within the budget":      {pool: Pool{Free: workers(100, cores(8)), Steps: []Step{step(4, 5, 0, 3)}}, want: []int{3}},
		"no budget":                  {pool: Pool{Free: workers(100, cores(8)), Steps: []Step{step(4, 0, 0, 3)}}, want: []int{0}, held: HeldBudget},
		"budget counts what is down": {pool: Pool{Free: workers(100, cores(8)), Steps: []Step{step(4, 3, 2, 3)}}, want: []int{1}, held: HeldBudget},
		"more down than the budget":  {pool: Pool{Free: workers(100, cores(8)), Steps: []Step{step(4, 1, 2, 3)}}, want: []int{0}, held: HeldBudget},
		"a step without budget does not hold up others": {pool: Pool{Free: workers(100, cores(8)),
			Steps: []Step{step(4, 0, 0, 3), step(4, 2, 0, 2)}}, want: []int{0, 2}, held: HeldBudget},
		"gradually": {pool: Pool{Free: workers(40, cores(8)), Steps: []Step{step(4, 9, 0, 9), step(4, 9, 0, 9)}},
			want: []int{2, 0}, held: HeldMoving},
		"moves in progress count": {pool: Pool{Free: workers(40, cores(8)), Moving: 1, Steps: []Step{step(4, 9, 0, 9)}},
			want: []int{1}, held: HeldMoving},
		"one at a time in a small pool": {pool: Pool{Free: workers(3, cores(8)), Steps: []Step{step(4, 9, 0, 9)}},
			want: []int{1}, held: HeldMoving},
		"callers wait": {pool: Pool{Free: workers(40, cores(8)), CallersWait: true, Steps: []Step{step(4, 9, 0, 9)}},
			want: []int{0}, held: HeldCallers},
		"every data centre closed": {pool: Pool{Steps: []Step{step(4, 9, 0, 9)}}, want: []int{0}, held: HeldNoRoom},
		"no worker has room":       {pool: Pool{Free: workers(40, cores(3)), Steps: []Step{step(4, 9, 0, 9)}}, want: []int{0}, held: HeldNoRoom},
		"a smaller task has room": {pool: Pool{Free: workers(40, cores(3)), Steps: []Step{step(4, 9, 0, 9), step(5, 9, 0, 1), step(2, 9, 0, 1)}},
			want: []int{0, 0, 1}, held: HeldNoRoom},
		"a worker takes one task": {pool: Pool{Free: append(workers(99, cores(1)), cores(64)), Steps: []Step{step(4, 9, 0, 9)}},
			want: []int{1}, held: HeldNoRoom},
		"room of short tasks is kept": {pool: Pool{Free: workers(40, cores(4)), Needed: 157_000, Steps: []Step{step(3, 9, 0, 9)}},
			want: []int{1}, held: HeldNoRoom},
		"pieces that are too small for short tasks do not count": {pool: Pool{Free: workers(40, cores(4)), Needed: 118_000, Unit: 3000,
			Steps: []Step{step(2, 9, 0, 9)}}, want: []int{0}, held: HeldNoRoom},
		"a task takes each piece that it touches": {pool: Pool{Free: workers(40, cores(6)), Needed: 228_000, Unit: 3000,
			Steps: []Step{step(4, 9, 0, 9)}}, want: []int{2}, held: HeldMoving},
		"a task takes more than it is large": {pool: Pool{Free: workers(40, cores(6)), Needed: 230_000, Unit: 3000,
			Steps: []Step{step(4, 9, 0, 9)}}, want: []int{1}, held: HeldNoRoom},
		"room of waiting tasks is kept": {pool: Pool{Free: workers(40, cores(4)), Promised: 158_000, Steps: []Step{step(3, 9, 0, 9)}},
			want: []int{0}, held: HeldNoRoom},
		"overcommitted workers have no room": {pool: Pool{Free: append(workers(2, cores(-100)), cores(4)), Steps: []Step{step(4, 9, 0, 9)}},
			want: []int{1}, held: HeldMoving},
		"limits of the step": {pool: Pool{Free: workers(100, cores(8)),
			Steps: []Step{{Size: cores(4), Budget: 9, Movable: 9, Admits: func(w int) bool { return w == 7 || w == 9 }}, step(4, 1, 0, 1)}},
			want: []int{2, 1}, held: HeldNoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			test.pool.Unit = max(1, test.pool.Unit)
			got, held := test.pool.Moves()
			assert.Equal(t, test.want, got)
			left := 0
			for i, n := range got {
				left += test.pool.Steps[i].Movable - n
			}
			want := Held{}
			if left > 0 {
				want[test.held] = left
			}
			assert.Equal(t, want, held)
		})
	}
}

// Guards against any state of a pool in which a decision breaks a limit: the budgets, the number of moves, the room that is
// kept, or the room on the workers.
func TestMovesKeepTheirLimits(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 13))
		p := Pool{Needed: rng.Int64N(60_000), Unit: 1 + rng.Int64N(5000), Promised: rng.Int64N(20_000), Moving: rng.IntN(4), CallersWait: rng.IntN(8) == 0}
		for range rng.IntN(120) {
			p.Free = append(p.Free, cores(rng.Int64N(10)))
		}
		for range rng.IntN(8) {
			s := Step{Size: cores(1 + rng.Int64N(9)), Budget: rng.IntN(4), Down: rng.IntN(4), Movable: rng.IntN(6)}
			if rng.IntN(3) == 0 {
				s.Admits = func(w int) bool { return w%3 == 0 }
			}
			p.Steps = append(p.Steps, s)
		}
		moves, held := p.Moves()
		total, taken, left := 0, int64(0), 0
		var sizes []resource.Vector
		for i, n := range moves {
			s := &p.Steps[i]
			assert.LessOrEqual(t, n, max(0, s.Budget-s.Down), "seed %d", seed)
			assert.LessOrEqual(t, n, s.Movable, "seed %d", seed)
			total += n
			taken += int64(n) * s.Size.MilliCores
			left += s.Movable - n
			for range n {
				sizes = append(sizes, s.Size)
			}
		}
		for why, n := range held {
			assert.Positive(t, n, "seed %d: %s", seed, why)
			left -= n
		}
		assert.Zero(t, left, "seed %d: %s", seed, held)
		if total == 0 {
			continue
		}
		assert.False(t, p.CallersWait, "seed %d", seed)
		assert.LessOrEqual(t, total+p.Moving, max(1, len(p.Free)/20), "seed %d", seed)
		free := int64(0)
		for _, f := range p.Free {
			free += f.MilliCores / p.Unit * p.Unit
		}
		assert.LessOrEqual(t, taken+p.Needed+p.Promised, free, "seed %d", seed)
		assert.True(t, fitOneEach(p.Free, sizes), "seed %d: %v into %v", seed, sizes, p.Free)
	}
}

// fitOneEach reports whether each size fits on a worker of its own.
func fitOneEach(free, sizes []resource.Vector) bool {
	byCores := func(a, b resource.Vector) int { return int(b.MilliCores - a.MilliCores) }
	free, sizes = slices.SortedFunc(slices.Values(free), byCores), slices.SortedFunc(slices.Values(sizes), byCores)
	for i, s := range sizes {
		if i >= len(free) || !s.Fits(free[i]) {
			return false
		}
	}
	return true
}

// Guards against moves into room that the next peak of demand needs, and against a peak that is remembered for ever.
func TestDemand(t *testing.T) {
	var d Demand
	assert.EqualValues(t, 1, d.Unit())
	assert.Zero(t, d.Needed(0))
	d.Observe(0, 1000, 5300)
	d.Observe(time.Second, 3000, 0)
	d.Observe(2*time.Second, 500, 800)
	assert.EqualValues(t, 5300, d.Unit())
	assert.EqualValues(t, 2*3000-500, d.Needed(500))
	assert.Zero(t, d.Needed(7000))
	d.Observe(peakWindow+time.Second, 400, 800)
	assert.EqualValues(t, 2*3000, d.Needed(0), "in the window before")
	d.Observe(2*peakWindow+time.Second, 400, 800)
	assert.EqualValues(t, 2*400, d.Needed(0))
	assert.EqualValues(t, 800, d.Unit())
	d.Observe(9*peakWindow, 10, 20)
	assert.EqualValues(t, 20, d.Needed(0), "nothing was observed for long")
}

// Guards against an operator who sees only the last of several reasons why tasks stay in a closed data centre.
func TestEachReasonIsCounted(t *testing.T) {
	step := func(size int64, budget, movable int) Step {
		return Step{Size: cores(size), Budget: budget, Movable: movable}
	}
	p := Pool{Unit: 1, Free: []resource.Vector{cores(4), cores(4), cores(4)},
		Steps: []Step{step(2, 0, 3), step(8, 9, 2), step(2, 9, 5), step(8, 9, 1), step(2, 1, 0)}}
	moves, held := p.Moves()
	assert.Equal(t, []int{0, 0, 1, 0, 0}, moves)
	assert.Equal(t, Held{HeldBudget: 3, HeldNoRoom: 2, HeldMoving: 5}, held)
	assert.Equal(t, "disruption budget: 3, moves in progress: 5, no room elsewhere: 2", held.LogValue().String())
}
