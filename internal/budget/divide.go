package budget

import (
	"cmp"
	"math"
	"slices"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	// floorDivisor sets the floor of every gateway, regardless of demand: its equal share divided by floorDivisor. With
	// a floor, the first requests after a change of demand need not wait for a grant.
	floorDivisor = 4
	// localWeight is the factor on the demand of gateways in the shard's own data centre. Demand counts all shards, so
	// the factor moves a gateway's slots towards its data centre without changing its total much.
	localWeight = 4
	// baseWeight is added to every demand, so that slots are divided equally when no gateway has demand.
	baseWeight = 1
	// keptDemandShare is the share of a fallen demand that is kept per grant request. A rise of demand counts at once.
	keptDemandShare = 0.75
	// ignoredChangeSlots and ignoredChangeDivisor limit the change of a target that is ignored: 2 slots or an eighth of
	// the target, whichever is larger.
	ignoredChangeSlots   = 2
	ignoredChangeDivisor = 8
)

// smoothDemand returns the demand that counts: a rise at once, a fall step by step.
func smoothDemand(old, demand float64) float64 {
	return max(demand, old*keptDemandShare+demand*(1-keptDemandShare))
}

type share struct {
	incarnation instance.Incarnation
	weight      float64
}

// divide splits slots by weight with a floor for every gateway, by the largest remainder method. The result sums up to
// slots.
func divide(slots int, shares []share) map[instance.Incarnation]int {
	out := make(map[instance.Incarnation]int, len(shares))
	if len(shares) == 0 {
		return out
	}
	floor := 0
	if equal := slots / len(shares); equal > 0 {
		floor = max(1, equal/floorDivisor)
	}
	proportional, total := slots-floor*len(shares), 0.0
	for _, s := range shares {
		total += s.weight
	}
	type remainder struct {
		incarnation instance.Incarnation
		fraction    float64
	}
	remainders, unassigned := make([]remainder, 0, len(shares)), proportional
	for _, s := range shares {
		whole, fraction := math.Modf(float64(proportional) * s.weight / total)
		out[s.incarnation] = floor + int(whole)
		unassigned -= int(whole)
		remainders = append(remainders, remainder{s.incarnation, fraction})
	}
	slices.SortFunc(remainders, func(a, b remainder) int {
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(a.incarnation, b.incarnation))
	})
	for i := 0; unassigned > 0; i, unassigned = i+1, unassigned-1 {
		out[remainders[i%len(remainders)].incarnation]++
	}
	return out
}

// updateTargets recomputes how many slots each gateway should have. Small changes of demand keep the old targets, so
// that slots do not move back and forth.
func (sa *SlotAllocator) updateTargets() {
	slots := 0
	for _, w := range sa.workers {
		if w.fenced {
			slots += w.slots
		}
	}
	var shares []share
	for _, inc := range sortedKeys(sa.gateways) {
		if g := sa.gateways[inc]; !g.expired && !g.leaving {
			shares = append(shares, share{inc, sa.weight(g)})
		}
	}
	ideal := divide(slots, shares)
	keep := slots == sa.slotsAtLastDivision && len(ideal) == len(sa.targetSlots)
	for inc, n := range ideal {
		old, known := sa.targetSlots[inc]
		keep = keep && known && max(n-old, old-n) <= max(ignoredChangeSlots, old/ignoredChangeDivisor)
	}
	if !keep {
		sa.targetSlots, sa.slotsAtLastDivision = ideal, slots
	}
}

// weight returns the weight of a gateway in the division of the slots.
func (sa *SlotAllocator) weight(g *gateway) float64 {
	for _, w := range sa.workers {
		if w.dataCentre == g.dataCentre {
			return localWeight * (g.smoothedDemand + baseWeight)
		}
	}
	return g.smoothedDemand + baseWeight
}

// plan returns the gateway's next grant by worker: the current grant with the smallest change that reaches the target.
func (sa *SlotAllocator) plan(inc instance.Incarnation, g *gateway) map[instance.ID]int {
	sa.updateTargets()
	plan, planned := map[instance.ID]int{}, 0
	if g.leaving {
		return plan
	}
	for _, id := range sa.workerIDs {
		w := sa.workers[id]
		a := w.allocations[inc]
		if a == nil || a.granted == 0 {
			continue
		}
		if n := a.granted - min(a.granted, max(0, w.granted()-w.slots)); n > 0 {
			plan[id] = n
			planned += n
		}
	}
	if target := sa.targetSlots[inc]; planned > target {
		shrink(plan, planned-target)
	} else {
		sa.grow(inc, plan, target-planned)
	}
	return plan
}

// shrink withdraws n slots, from the workers with the fewest granted slots first, so that each worker is shared by few
// gateways.
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

// grow adds up to n slots: first on workers that the gateway already uses, then on the worker with the fewest free
// slots that has enough, then on the one with the most.
func (sa *SlotAllocator) grow(inc instance.Incarnation, plan map[instance.ID]int, n int) {
	for n > 0 {
		best, bestFree := instance.ID(""), 0
		for _, id := range sa.workerIDs {
			free := sa.free(sa.workers[id], inc, plan[id])
			if free > 0 && (bestFree == 0 || isBetterWorker(plan[id] > 0, free, plan[best] > 0, bestFree, n)) {
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

// isBetterWorker reports whether a worker is to be preferred to the best one so far by the order of grow.
func isBetterWorker(held bool, free int, bestHeld bool, bestFree, need int) bool {
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

// free returns how many more slots the gateway can get if its grant on w becomes planned. Slots that it may still use
// under an older grant are counted as its own and can be granted to it again.
func (sa *SlotAllocator) free(w *worker, inc instance.Incarnation, planned int) int {
	if !w.fenced {
		return 0
	}
	others := 0
	for i, a := range w.allocations {
		if i != inc {
			others += a.reserved()
		}
	}
	return w.slots - others - planned
}
