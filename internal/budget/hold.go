package budget

import (
	"cmp"
	"maps"
	"slices"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// allocation is the number of slots that one gateway may use on one worker.
type allocation struct {
	// granted is the number in the gateway's newest grant.
	granted int
	// staleGrants are larger numbers of older grants that the gateway has not yet acknowledged to have given up.
	staleGrants []staleGrant
}

// staleGrant permits the use of slots under generations lower than supersededBy.
type staleGrant struct {
	supersededBy uint64
	slots        int
	// draining reports whether the worker refuses new requests under those generations. slots can then only fall, with
	// the worker's reports.
	draining bool
}

// reserved returns the number of slots that the gateway may still use.
func (a *allocation) reserved() int {
	n := a.granted
	for _, s := range a.staleGrants {
		n = max(n, s.slots)
	}
	return n
}

// setGranted sets the number in a new grant. If it is smaller, the old number stays reserved as a stale grant.
func (a *allocation) setGranted(generation uint64, slots int) {
	if slots < a.granted {
		a.staleGrants = append(a.staleGrants, staleGrant{supersededBy: generation, slots: a.granted})
	}
	a.granted = slots
}

// acknowledge removes the stale grants that the gateway gave up with the given generation.
func (a *allocation) acknowledge(generation uint64) {
	a.staleGrants = slices.DeleteFunc(a.staleGrants, func(s staleGrant) bool { return s.supersededBy <= generation })
}

// fence records that the worker refuses generations below minGeneration and reports used requests in progress. newest
// is the gateway's newest generation.
func (a *allocation) fence(minGeneration, newest uint64, used int) {
	maxSlots := 0
	a.staleGrants = slices.DeleteFunc(a.staleGrants, func(s staleGrant) bool {
		if s.supersededBy > minGeneration {
			return false
		}
		maxSlots = max(maxSlots, s.slots)
		return true
	})
	if newest < minGeneration {
		maxSlots = max(maxSlots, a.granted)
		a.granted = 0
	}
	if n := min(maxSlots, used); n > 0 {
		a.staleGrants = append(a.staleGrants, staleGrant{supersededBy: minGeneration, slots: n, draining: true})
	}
}

// applyReport lowers the fenced stale grants to the number of requests that the worker reports. The number can include
// requests of newer generations, so it is an upper bound.
func (a *allocation) applyReport(used int) {
	a.staleGrants = slices.DeleteFunc(a.staleGrants, func(s staleGrant) bool { return s.draining && used == 0 })
	for i := range a.staleGrants {
		if a.staleGrants[i].draining {
			a.staleGrants[i].slots = min(a.staleGrants[i].slots, used)
		}
	}
}

// allocation returns the allocation of a gateway, which it creates if needed.
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
