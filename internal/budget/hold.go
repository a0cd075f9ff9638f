package budget

import (
	"cmp"
	"maps"
	"slices"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// hold is what one gateway may use on one worker.
type hold struct {
	// granted is the number in the gateway's newest grant.
	granted int
	// steps are larger numbers of older grants that the gateway has not acknowledged to have given up.
	steps []step
}

// step says that slots may be used under generations below until.
type step struct {
	until uint64
	slots int
	// fenced tells that the worker accepts no new request below until, so that slots only falls with its reports.
	fenced bool
}

// charge returns the number of slots that the gateway may still use.
func (h *hold) charge() int {
	n := h.granted
	for _, s := range h.steps {
		n = max(n, s.slots)
	}
	return n
}

func (h *hold) set(generation uint64, slots int) {
	if slots < h.granted {
		h.steps = append(h.steps, step{until: generation, slots: h.granted})
	}
	h.granted = slots
}

func (h *hold) acknowledge(generation uint64) {
	h.steps = slices.DeleteFunc(h.steps, func(s step) bool { return s.until <= generation })
}

// fence takes up that the worker refuses generations below minimum and reports used requests in progress. newest is the
// gateway's newest generation.
func (h *hold) fence(minimum, newest uint64, used int) {
	top := 0
	h.steps = slices.DeleteFunc(h.steps, func(s step) bool {
		if s.until > minimum {
			return false
		}
		top = max(top, s.slots)
		return true
	})
	if newest < minimum {
		top = max(top, h.granted)
		h.granted = 0
	}
	if n := min(top, used); n > 0 {
		h.steps = append(h.steps, step{until: minimum, slots: n, fenced: true})
	}
}

// observe lowers the fenced steps to the worker's count. The count can include requests of newer generations, which makes
// it an upper bound.
func (h *hold) observe(used int) {
	h.steps = slices.DeleteFunc(h.steps, func(s step) bool { return s.fenced && used == 0 })
	for i := range h.steps {
		if h.steps[i].fenced {
			h.steps[i].slots = min(h.steps[i].slots, used)
		}
	}
}

func (w *worker) hold(inc instance.Incarnation) *hold {
	h := w.holds[inc]
	if h == nil {
		h = &hold{}
		w.holds[inc] = h
	}
	return h
}

func (w *worker) charged() int {
	n := 0
	for _, h := range w.holds {
		n += h.charge()
	}
	return n
}

func (w *worker) granted() int {
	n := 0
	for _, h := range w.holds {
		n += h.granted
	}
	return n
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
