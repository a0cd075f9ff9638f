package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: n} }

// Guards against shares that are too small for any task although the quota has room for one in each shard, and against
// shares that cannot hold the service replicas of their shard.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		total, largest resource.Vector
		shards         []Shard
		want           map[string]resource.Vector
	}{
		"proportional": {cores(170), cores(10), []Shard{{"a", 8, cores(0)}, {"b", 8, cores(0)}, {"c", 1, cores(0)}},
			map[string]resource.Vector{"a": cores(80), "b": cores(80), "c": cores(10)}},
		"small shard is raised": {cores(170), cores(20),
			[]Shard{{"a", 8, cores(0)}, {"b", 8, cores(0)}, {"c", 1, cores(0)}},
			map[string]resource.Vector{"a": cores(75), "b": cores(75), "c": cores(20)}},
		"rounded down": {cores(10), cores(1), []Shard{{"a", 1, cores(0)}, {"b", 1, cores(0)}, {"c", 1, cores(0)}},
			map[string]resource.Vector{"a": cores(3), "b": cores(3), "c": cores(3)}},
		"services first": {cores(100), cores(10), []Shard{{"a", 8, cores(60)}, {"b", 8, cores(0)}},
			map[string]resource.Vector{"a": cores(80), "b": cores(20)}},
		"services exceed the quota": {cores(40), cores(10), []Shard{{"a", 8, cores(60)}, {"b", 8, cores(0)}},
			map[string]resource.Vector{"a": cores(20), "b": cores(20)}},
		"quota below the largest kind": {cores(8), cores(10), []Shard{{"a", 8, cores(0)}, {"b", 8, cores(0)}},
			map[string]resource.Vector{"a": cores(4), "b": cores(4)}},
		"each resource divided separately": {resource.Vector{MilliCores: 100, MemoryMB: 90},
			resource.Vector{MilliCores: 5, MemoryMB: 30},
			[]Shard{{"a", 8, cores(0)}, {"b", 2, cores(0)}}, map[string]resource.Vector{
				"a": {MilliCores: 80, MemoryMB: 60}, "b": {MilliCores: 20, MemoryMB: 30}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Shares("office", c.total, c.largest, c.shards)) })
	}
}

// Guards against a sum of shares above the quota, and against fewer shards that can hold the largest task than the
// quota permits, for random shards.
func TestSharesNeverExceedTheQuota(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		shards := make([]Shard, 1+r.IntN(25))
		for i := range shards {
			shards[i] = Shard{Name: fmt.Sprint("s", i), Workers: r.IntN(30), Services: cores(int64(r.IntN(3)) * 7)}
		}
		total := resource.Vector{MilliCores: r.Int64N(2000), MemoryMB: r.Int64N(1e12), Accelerators: r.Int64N(20)}
		largest := resource.Vector{MilliCores: r.Int64N(200), MemoryMB: r.Int64N(1000), Accelerators: r.Int64N(2)}
		var sum, services resource.Vector
		usableShards := 0
		shares := Shares("office", total, largest, shards)
		for _, s := range shards {
			sum, services = sum.Add(shares[s.Name]), services.Add(s.Services)
			if largest.Fits(shares[s.Name]) {
				usableShards++
			}
		}
		require.True(t, sum.Fits(total), "%v > %v", sum, total)
		remainder := total
		if services.Fits(total) {
			remainder = total.Sub(services)
		}
		require.GreaterOrEqual(t, usableShards, FitCount(remainder, largest, len(shards)))
	}
}
