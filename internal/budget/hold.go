package budget

import (
	"cmp"
	"maps"
	"slices"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// allocation is what one gateway may use on one worker.
type allocation struct {
	// granted is the number in the gateway's newest grant.
	granted int
	// staleGrants are larger numbers of older grants that the gateway has not acknowledged to have given up.
	staleGrants []staleGrant
}

// staleGrant says that slots may be used under generations below until.
type staleGrant struct {
	below uint64
	slots int
	// fenced tells that the worker accepts no new request below until, so that slots only falls with its reports.
	fenced bool
}

// reserved returns the number of slots that the gateway may still use.
func (a *allocation) reserved() int {
	n := a.granted
	for _, s := range a.staleGrants {
		n = max(n, s.slots)
	}
	return n
}

func (a *allocation) setGranted(generation uint64, slots int) {
	if slots < a.granted {
		a.staleGrants = append(a.staleGrants, staleGrant{below: generation, slots: a.granted})
	}
	a.granted = slots
}

func (a *allocation) acknowledge(generation uint64) {
	a.staleGrants = slices.DeleteFunc(a.staleGrants, func(s staleGrant) bool { return s.below <= generation })
}

// fence takes up that the worker refuses generations below minimum and reports used requests in progress. newest is the
// gateway's newest generation.
func (a *allocation) fence(minimum, newest uint64, used int) {
	top := 0
	a.staleGrants = slices.DeleteFunc(a.staleGrants, func(s staleGrant) bool {
		if s.below > minimum {
			return false
		}
		top = max(top, s.slots)
		return true
	})
	if newest < minimum {
		top = max(top, a.granted)
		a.granted = 0
	}
	if n := min(top, used); n > 0 {
		a.staleGrants = append(a.staleGrants, staleGrant{below: minimum, slots: n, fenced: true})
	}
}

// observe lowers the fenced steps to the worker's count. The count can include requests of newer generations, which makes
// it an upper bound.
func (a *allocation) applyReport(used int) {
	a.staleGrants = slices.DeleteFunc(a.staleGrants, func(s staleGrant) bool { return s.fenced && used == 0 })
	for i := range a.staleGrants {
		if a.staleGrants[i].fenced {
			a.staleGrants[i].slots = min(a.staleGrants[i].slots, used)
		}
	}
}

func (w *worker) allocation(inc instance.Incarnation) *allocation {
	a := w.allocations[inc]
	if a == nil {
		a = &allocation{}
		w.allocations[inc] = a
	}
	return a
}

func (w *worker) reserved() int {
	n := 0
	for _, a := range w.allocations {
		n += a.reserved()
	}
	return n
}

func (w *worker) granted() int {
	n := 0
	for _, a := range w.allocations {
		n += a.granted
	}
	return n
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
