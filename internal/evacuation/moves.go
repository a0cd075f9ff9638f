package evacuation

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// maxMovingShare is the share of the open workers of a pool up to which tasks are moved at the same time; at least one
// task is. A move takes about a second, so some hundred tasks of a pool of 500 workers are moved within half a minute.
const maxMovingShare = 0.05

// Pool is the state of one pool of workers.
type Pool struct {
	// Free is what each warm worker in an open data centre that may get tasks has free.
	Free []resource.Vector
	// Needed is the thousandths of a core that must stay free for tasks which are not long-running, in pieces of Unit, which
	// is at least 1. See Demand.
	Needed, Unit int64
	// Promised is the thousandths of a core that tasks which are being moved or wait will take.
	Promised int64
	// CallersWait reports that a task that callers wait for lacks room.
	CallersWait bool
	// Moving is the number of tasks that are being moved.
	Moving int
	Steps  []Step
}

// Step is a long-running step with tasks in closed data centres.
type Step struct {
	// Size is what each task reserves.
	Size resource.Vector
	// Budget is how many tasks of the step may be down at once; Down is how many are, for any cause.
	Budget, Down int
	// Movable is the number of its tasks that serve in closed data centres.
	Movable int
	// Admits reports whether a worker, by its index in Pool.Free, may take a task of the step; nil if each may.
	Admits func(worker int) bool
}

// Reason is why a task is not moved now.
type Reason string

// Held counts, by reason, the tasks that are to be moved and are not moved now.
type Held map[Reason]int

// String returns the reasons with their counts.
func (h Held) String() string {
	var out []string
	for _, r := range slices.Sorted(maps.Keys(h)) {
		out = append(out, fmt.Sprintf("%s: %d", r, h[r]))
	}
	return strings.Join(out, ", ")
}

// LogValue implements slog.LogValuer.
func (h Held) LogValue() slog.Value { return slog.StringValue(h.String()) }

// The reasons.
const (
	// HeldMoving: as many tasks as allowed are being moved.
	HeldMoving Reason = "moves in progress"
	// HeldBudget: the disruption budgets of the steps do not allow more.
	HeldBudget Reason = "disruption budget"
	// HeldNoRoom: there is no room elsewhere.
	HeldNoRoom Reason = "no room elsewhere"
	// HeldCallers: a task that callers wait for lacks room.
	HeldCallers Reason = "callers wait for room"
)

// Moves returns how many tasks of each step are to be stopped now, so that they start elsewhere, and why it is not more.
// It runs through the workers once for each step at most.
func (p *Pool) Moves() ([]int, Held) {
	moves := make([]int, len(p.Steps))
	m := mover{pool: p, taken: make([]bool, len(p.Free)), spare: -p.Needed - p.Promised,
		left: max(1, int(maxMovingShare*float64(len(p.Free)))) - p.Moving}
	for _, free := range p.Free {
		m.spare += max(0, free.MilliCores) / p.Unit * p.Unit
	}
	held := Held{}
	for i := range p.Steps {
		n, why := m.move(&p.Steps[i])
		moves[i] = n
		if left := p.Steps[i].Movable - n; left > 0 {
			held[why] += left
		}
	}
	return moves, held
}

// mover takes room on the workers of a pool. A worker takes one task in each decision, so that its limits for one step
// are not exceeded.
type mover struct {
	pool  *Pool
	taken []bool
	// spare is the thousandths of a core that moves may still take; left is the number of moves that may still begin.
	spare int64
	left  int
	// noRoom holds the sizes for which no worker has room.
	noRoom []resource.Vector
}

// move returns how many tasks of a step are to be moved, and why it is not more; no reason if it is all.
func (m *mover) move(s *Step) (int, Reason) {
	n, worker := 0, 0
	// A piece of which a task takes a part is lost to shorter tasks as a whole.
	cost := (s.Size.MilliCores + m.pool.Unit - 1) / m.pool.Unit * m.pool.Unit
	for ; n < s.Movable; n++ {
		switch {
		case m.pool.CallersWait:
			return n, HeldCallers
		case s.Down+n >= s.Budget:
			return n, HeldBudget
		case m.left <= 0:
			return n, HeldMoving
		case cost > m.spare || !m.findRoom(s, &worker):
			return n, HeldNoRoom
		}
		m.taken[worker] = true
		m.spare -= cost
		m.left--
	}
	return n, ""
}

// findRoom advances worker to the next one with room for a task of the step.
func (m *mover) findRoom(s *Step, worker *int) bool {
	for _, size := range m.noRoom {
		if size.Fits(s.Size) {
			return false
		}
	}
	for ; *worker < len(m.taken); *worker++ {
		if !m.taken[*worker] && s.Size.Fits(m.pool.Free[*worker]) && (s.Admits == nil || s.Admits(*worker)) {
			return true
		}
	}
	if s.Admits == nil {
		m.noRoom = append(m.noRoom, s.Size)
	}
	return false
}
