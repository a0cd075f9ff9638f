// Package quota divides the quota of a team among the shards of a deployment. It holds no clock, network or goroutine.
package quota

import (
	"cmp"
	"hash/fnv"
	"math/big"
	"slices"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Shard is one part of the fleet.
type Shard struct {
	Name    string
	Workers int
	// Services is what the team's service replicas of the shard occupy.
	Services resource.Vector
}

// Shares returns what the team may hold in each shard. The sum of the shares never exceeds the quota. Shards get what their service
// replicas occupy, if the quota holds all of them, and the rest in proportion to their workers, but at least largest. If the
// rest is too small for that, as many shards as possible get a share of it, selected by a hash of team and shard.
func Shares(team string, total, largest resource.Vector, shards []Shard) map[string]resource.Vector {
	out := make(map[string]resource.Vector, len(shards))
	var services resource.Vector
	for _, s := range shards {
		services = services.Add(s.Services)
	}
	rest := total
	if services.Fits(total) {
		rest = total.Sub(services)
		for _, s := range shards {
			out[s.Name] = s.Services
		}
	}
	n := holds(rest, largest, len(shards))
	if n == 0 {
		// The rest holds no task of the largest kind; smaller kinds may still fit.
		n, largest = len(shards), resource.Vector{}
	}
	chosen := selectShards(team, shards, n)
	cores := divide(rest.MilliCores, largest.MilliCores, chosen)
	memory := divide(rest.MemoryMB, largest.MemoryMB, chosen)
	accelerators := divide(rest.Accelerators, largest.Accelerators, chosen)
	for i, s := range chosen {
		out[s.Name] = out[s.Name].Add(resource.Vector{MilliCores: cores[i], MemoryMB: memory[i], Accelerators: accelerators[i]})
	}
	return out
}

// holds returns how many tasks of a size fit into an amount, at most limit.
func holds(amount, size resource.Vector, limit int) int {
	n := int64(limit)
	for _, c := range [][2]int64{{amount.MilliCores, size.MilliCores}, {amount.MemoryMB, size.MemoryMB}, {amount.Accelerators, size.Accelerators}} {
		if c[1] > 0 {
			n = min(n, c[0]/c[1])
		}
	}
	return int(n)
}

// selectShards returns n shards. Different teams get different ones, so that small quotas do not meet in the same shards.
func selectShards(team string, shards []Shard, n int) []Shard {
	if n >= len(shards) {
		return shards
	}
	order := slices.Clone(shards)
	slices.SortFunc(order, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(hash(team, a.Name), hash(team, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return order[:n]
}

func hash(team, shard string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team + "/" + shard))
	return h.Sum64()
}

// divide splits an amount in proportion to workers, rounded down, with at least least for each shard. The amount must hold
// least for every shard. Shards whose proportion is too small get least, and the others divide what is left.
func divide(amount, least int64, shards []Shard) []int64 {
	out, raised := make([]int64, len(shards)), make([]bool, len(shards))
	for again := true; again; {
		again = false
		left, workers := amount, int64(0)
		for i, s := range shards {
			if raised[i] {
				left -= least
			} else {
				workers += int64(s.Workers)
			}
		}
		for i, s := range shards {
			if raised[i] {
				continue
			}
			if out[i] = proportion(left, int64(s.Workers), workers); out[i] < least {
				out[i], raised[i], again = least, true, true
			}
		}
	}
	return out
}

// proportion is amount*part/whole without overflow.
func proportion(amount, part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	p := new(big.Int).Mul(big.NewInt(amount), big.NewInt(part))
	return p.Quo(p, big.NewInt(whole)).Int64()
}
