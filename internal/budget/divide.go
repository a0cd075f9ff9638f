package budget

import (
	"cmp"
	"math"
	"slices"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	// floorShare is the divisor of the equal share that every gateway gets regardless of demand, so that the first requests of a
	// demand swing need no grant first.
	floorShare = 4
	// nearWeight is the factor on the demand of gateways in the shard's own data centre. Demand counts all shards, so the
	// factor moves a gateway's slots towards its data centre without changing its total much.
	nearWeight = 4
	// idleWeight is added to every demand, so that slots are divided equally when nobody has demand.
	idleWeight = 1
	// decay is the part of a fallen demand that is kept per grant request. Rising demand counts at once.
	decay = 0.75
	// moveSlots and moveShare bound the change of a target that is ignored: 2 slots or an eighth, whichever is larger.
	moveSlots = 2
	moveShare = 8
)

func smooth(old, demand float64) float64 {
	return max(demand, old*decay+demand*(1-decay))
}

type share struct {
	inc    instance.Incarnation
	weight float64
}

// divide splits slots by weight with a floor for everyone, by largest remainder. The result sums up to slots.
func divide(slots int, shares []share) map[instance.Incarnation]int {
	out := make(map[instance.Incarnation]int, len(shares))
	if len(shares) == 0 {
		return out
	}
	floor := 0
	if equal := slots / len(shares); equal > 0 {
		floor = max(1, equal/floorShare)
	}
	rest, total := slots-floor*len(shares), 0.0
	for _, s := range shares {
		total += s.weight
	}
	type part struct {
		inc  instance.Incarnation
		frac float64
	}
	parts, left := make([]part, 0, len(shares)), rest
	for _, s := range shares {
		whole, frac := math.Modf(float64(rest) * s.weight / total)
		out[s.inc] = floor + int(whole)
		left -= int(whole)
		parts = append(parts, part{s.inc, frac})
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.frac, a.frac), cmp.Compare(a.inc, b.inc))
	})
	for i := 0; left > 0; i, left = i+1, left-1 {
		out[parts[i%len(parts)].inc]++
	}
	return out
}

// retarget recomputes how many slots each gateway should have. Small changes of demand keep the old targets, so that slots do not
// move back and forth.
func (l *Ledger) retarget() {
	slots := 0
	for _, w := range l.workers {
		if w.fenced {
			slots += w.slots
		}
	}
	var shares []share
	for _, inc := range sortedKeys(l.gateways) {
		if g := l.gateways[inc]; !g.silent && !g.leaving {
			shares = append(shares, share{inc, l.weight(g)})
		}
	}
	ideal := divide(slots, shares)
	keep := slots == l.divided && len(ideal) == len(l.targets)
	for inc, n := range ideal {
		old, known := l.targets[inc]
		keep = keep && known && max(n-old, old-n) <= max(moveSlots, old/moveShare)
	}
	if !keep {
		l.targets, l.divided = ideal, slots
	}
}

func (l *Ledger) weight(g *gateway) float64 {
	for _, w := range l.workers {
		if w.dc == g.dc {
			return nearWeight * (g.weight + idleWeight)
		}
	}
	return g.weight + idleWeight
}

// plan returns the gateway's next grant: the current one, moved towards its target by as little as possible.
func (l *Ledger) plan(inc instance.Incarnation, g *gateway) map[instance.ID]int {
	l.retarget()
	plan, held := map[instance.ID]int{}, 0
	if g.leaving {
		return plan
	}
	for _, id := range l.order {
		w := l.workers[id]
		h := w.holds[inc]
		if h == nil || h.granted == 0 {
			continue
		}
		if n := h.granted - min(h.granted, max(0, w.granted()-w.slots)); n > 0 {
			plan[id] = n
			held += n
		}
	}
	if target := l.targets[inc]; held > target {
		shrink(plan, held-target)
	} else {
		l.grow(inc, plan, target-held)
	}
	return plan
}

// shrink gives up the smallest fragments first, so that workers are shared by few gateways.
func shrink(plan map[instance.ID]int, n int) {
	ids := sortedKeys(plan)
	slices.SortStableFunc(ids, func(a, b instance.ID) int { return cmp.Compare(plan[a], plan[b]) })
	for _, id := range ids {
		cut := min(n, plan[id])
		plan[id] -= cut
		n -= cut
		if plan[id] == 0 {
			delete(plan, id)
		}
	}
}

// grow adds up to n slots: on workers that the gateway uses already, then on the worker with the least free slots that has
// enough, then on the one with the most.
func (l *Ledger) grow(inc instance.Incarnation, plan map[instance.ID]int, n int) {
	for n > 0 {
		best, bestFree := instance.ID(""), 0
		for _, id := range l.order {
			free := l.free(l.workers[id], inc, plan[id])
			if free > 0 && (bestFree == 0 || better(plan[id] > 0, free, plan[best] > 0, bestFree, n)) {
				best, bestFree = id, free
			}
		}
		if bestFree == 0 {
			return
		}
		add := min(n, bestFree)
		plan[best] += add
		n -= add
	}
}

func better(held bool, free int, bestHeld bool, bestFree, need int) bool {
	if held != bestHeld {
		return held
	}
	fits, bestFits := free >= need, bestFree >= need
	if fits != bestFits {
		return fits
	}
	if fits {
		return free < bestFree
	}
	return free > bestFree
}

// free returns how many more slots the gateway can get if its grant on w becomes planned. Slots that it may still use under
// an older grant are its own and can be granted to it again.
func (l *Ledger) free(w *worker, inc instance.Incarnation, planned int) int {
	if !w.fenced {
		return 0
	}
	others := 0
	for i, h := range w.holds {
		if i != inc {
			others += h.charge()
		}
	}
	return w.slots - others - planned
}
