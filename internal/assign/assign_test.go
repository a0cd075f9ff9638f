package assign

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
)

func node(id string, reserved int64) *Node {
	return &Node{ID: id, Rack: "r-" + id, Capacity: resource.Vector{MilliCores: 10000, MemoryMB: 1000},
		Reserved: resource.Vector{MilliCores: reserved}, Services: map[string]int{}}
}

func TestChoose(t *testing.T) {
	small := resource.Vector{MilliCores: 1000, MemoryMB: 100}
	for _, c := range []struct {
		name  string
		nodes func() []*Node
		task  Task
		want  string
	}{
		{"most free processors", func() []*Node { return []*Node{node("a", 5000), node("b", 1000)} },
			Task{Size: small}, "b"},
		{"no room", func() []*Node { return []*Node{node("a", 9500)} }, Task{Size: small}, ""},
		{"best effort needs no processors", func() []*Node { return []*Node{node("a", 9500)} },
			Task{Size: small, BestEffort: true}, "a"},
		{"memory counts for best effort", func() []*Node { return []*Node{node("a", 0)} },
			Task{Size: resource.Vector{MemoryMB: 2000}, BestEffort: true}, ""},
		{"rather loaded than unproven", func() []*Node {
			a, b := node("a", 0), node("b", 8000)
			a.RecentlyFailed = true
			return []*Node{a, b}
		}, Task{Size: small}, "b"},
		{"unproven if nothing else", func() []*Node {
			a := node("a", 0)
			a.RecentlyFailed = true
			return []*Node{a}
		}, Task{Size: small}, "a"},
		{"not where it failed", func() []*Node { return []*Node{node("a", 0), node("b", 8000)} },
			Task{Size: small, AvoidWorker: "a"}, "b"},
		{"rather a full warm worker far from its data than a cold one", func() []*Node {
			a, b := node("a", 0), node("b", 9000)
			a.Cold = true
			return []*Node{a, b}
		}, Task{Size: small, DataRack: "r-a"}, "b"},
		{"rather unproven than cold", func() []*Node {
			a, b := node("a", 0), node("b", 9000)
			a.Cold, b.RecentlyFailed = true, true
			return []*Node{a, b}
		}, Task{Size: small, DataRack: "r-a"}, "b"},
		{"a service rather beside another image than on a cold worker", func() []*Node {
			a, b := node("a", 0), node("b", 9000)
			a.Cold = true
			a.Services["y"], b.Services["x"] = 1, 1
			return []*Node{a, b}
		}, Task{Size: small, LatencyCritical: true, Image: "y", DataRack: "r-a"}, "b"},
		{"cold if nothing else has room", func() []*Node {
			a, b := node("a", 0), node("b", 9500)
			a.Cold = true
			return []*Node{a, b}
		}, Task{Size: small}, "a"},
		{"near its data", func() []*Node { return []*Node{node("a", 0), node("b", 8000)} },
			Task{Size: small, DataRack: "r-b"}, "b"},
		{"beside services of its image", func() []*Node {
			a, b := node("a", 2000), node("b", 2000)
			a.Services["x"], b.Services["y"] = 1, 1
			return []*Node{a, b}
		}, Task{Size: small, LatencyCritical: true, Image: "y"}, "b"},
		{"rather beside its image than on an empty worker", func() []*Node {
			a, b := node("a", 0), node("b", 7000)
			b.Services["y"] = 5
			return []*Node{a, b}
		}, Task{Size: small, LatencyCritical: true, Image: "y"}, "b"},
		{"rather on an empty worker than beside another image", func() []*Node {
			a, b := node("a", 3000), node("b", 0)
			a.Services["x"] = 1
			return []*Node{a, b}
		}, Task{Size: small, LatencyCritical: true, Image: "y"}, "b"},
		{"where it disturbs least", func() []*Node { return []*Node{node("a", 0), node("b", 7000)} },
			Task{Size: small, BestEffort: true,
				TailRise: func(n *Node) float64 { return map[string]float64{"a": 0.3, "b": 0}[n.ID] }}, "b"},
		{"not beside a service over its objective", func() []*Node {
			a, b := node("a", 0), node("b", 2000)
			a.Slack = -0.1
			return []*Node{a, b}
		}, Task{Size: small, BestEffort: true, TailRise: func(*Node) float64 { return 0 }}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if n := Choose(c.nodes(), &c.task); n != nil {
				got = n.ID
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// Compares the policy with the baseline. FirstFit fills the first worker; Choose spreads tasks, which leaves
// processors for best-effort tasks on every worker.
func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{66, 500} {
		nodes := make([]*Node, workers)
		for i := range nodes {
			nodes[i] = node(fmt.Sprint(i), int64(i%9)*1000)
		}
		task := &Task{Size: resource.Vector{MilliCores: 1000}}
		b.Run(fmt.Sprintf("choose-%d", workers), func(b *testing.B) {
			for b.Loop() {
				Choose(nodes, task)
			}
		})
		b.Run(fmt.Sprintf("first-fit-%d", workers), func(b *testing.B) {
			for b.Loop() {
				FirstFit(nodes, task)
			}
		})
	}
}
