// Package quota divides the quota of a team among the shards of a deployment. It uses no clock, network or goroutine.
package quota

import (
	"cmp"
	"hash/fnv"
	"math/big"
	"slices"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Shard is a shard among which a quota is divided.
type Shard struct {
	Name    string
	Workers int
	// Services is the total size of the team's service replicas in the shard.
	Services resource.Vector
}

// Shares returns what the team may hold in each shard, by name. The sum of the shares never exceeds total, the team's
// quota. If all service replicas fit into the quota, each shard gets the size of its replicas. The remainder is divided
// in proportion to the number of workers, but each share of it is at least largest, the size of the team's largest
// tasks. If the remainder is too small for that, it is divided among as many shards as possible, which are selected by
// a hash of team and shard.
func Shares(team string, total, largest resource.Vector, shards []Shard) map[string]resource.Vector {
	out := make(map[string]resource.Vector, len(shards))
	var services resource.Vector
	for _, s := range shards {
		services = services.Add(s.Services)
	}
	remainder := total
	if services.Fits(total) {
		remainder = total.Sub(services)
		for _, s := range shards {
			out[s.Name] = s.Services
		}
	}
	n := FitCount(remainder, largest, len(shards))
	if n == 0 {
		// No task of the largest size fits into the remainder, but smaller tasks may.
		n, largest = len(shards), resource.Vector{}
	}
	chosen := selectShards(team, shards, n)
	cores := divide(remainder.MilliCores, largest.MilliCores, chosen)
	memory := divide(remainder.MemoryMB, largest.MemoryMB, chosen)
	accelerators := divide(remainder.Accelerators, largest.Accelerators, chosen)
	for i, s := range chosen {
		out[s.Name] = out[s.Name].Add(resource.Vector{MilliCores: cores[i], MemoryMB: memory[i],
			Accelerators: accelerators[i]})
	}
	return out
}

// FitCount returns how many tasks of the given size fit into amount, at most limit.
func FitCount(amount, size resource.Vector, limit int) int {
	n := int64(limit)
	for _, c := range [][2]int64{{amount.MilliCores, size.MilliCores}, {amount.MemoryMB, size.MemoryMB},
		{amount.Accelerators, size.Accelerators}} {
		if c[1] > 0 {
			n = min(n, c[0]/c[1])
		}
	}
	return int(n)
}

// selectShards returns n of the shards. Different teams get different ones, so that small quotas do not all fall into
// the same shards.
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

// divide splits amount among the shards in proportion to their workers, rounded down, with at least minimum for each
// shard. Shards whose proportion is smaller get minimum, and the others divide what is left. amount must be at least
// minimum times the number of shards.
func divide(amount, minimum int64, shards []Shard) []int64 {
	out, atMinimum := make([]int64, len(shards)), make([]bool, len(shards))
	for raisedAny := true; raisedAny; {
		raisedAny = false
		left, workers := amount, int64(0)
		for i, s := range shards {
			if atMinimum[i] {
				left -= minimum
			} else {
				workers += int64(s.Workers)
			}
		}
		for i, s := range shards {
			if atMinimum[i] {
				continue
			}
			if out[i] = proportion(left, int64(s.Workers), workers); out[i] < minimum {
				out[i], atMinimum[i], raisedAny = minimum, true, true
			}
		}
	}
	return out
}

// proportion returns amount*part/whole, rounded towards zero and without overflow, or zero if whole is zero.
func proportion(amount, part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	p := new(big.Int).Mul(big.NewInt(amount), big.NewInt(part))
	return p.Quo(p, big.NewInt(whole)).Int64()
}
