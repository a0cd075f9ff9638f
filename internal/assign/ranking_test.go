package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Guards against scores of earlier tasks: a ranking must choose like Choose after each task.
func TestRankingChoosesLikeChoose(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		var nodes []*Node
		for i := range 20 {
			nodes = append(nodes, &Node{ID: fmt.Sprintf("w%02d", i), Index: 3 * i, Services: map[string]int{},
				Capacity:       resource.Vector{MilliCores: int64(8000 + 8000*r.IntN(2)), MemoryMB: 16000},
				RecentlyFailed: r.IntN(5) == 0, Slack: 1})
		}
		task := &Task{Size: resource.Vector{MilliCores: 3000, MemoryMB: 2000}, LatencyCritical: true, Image: "a"}
		admits := func(n *Node) bool { return n.Index%5 != 0 }
		ranking := NewRanking(nodes, task, admits)
		for range 60 {
			avoid, refused := fmt.Sprintf("w%02d", r.IntN(40)), r.IntN(20)
			accept := func(n *Node) bool { return n.Index != 3*refused }
			avoiding := *task
			avoiding.AvoidWorker = avoid
			var allowed []*Node
			for _, n := range nodes {
				if admits(n) && accept(n) {
					allowed = append(allowed, n)
				}
			}
			want := Choose(allowed, &avoiding)
			assert.Same(t, want, ranking.Best(avoid, accept))
			if want == nil {
				continue
			}
			want.Reserved = want.Reserved.Add(task.Reserved())
			want.Services["a"]++
			ranking.Update(want)
			var admitted []*Node
			for _, n := range nodes {
				if admits(n) {
					admitted = append(admitted, n)
				}
			}
			assert.Same(t, Choose(admitted, task), ranking.Best("", nil))
			assert.Same(t, ranking.Best("", nil), ranking.Best("", nil), "asked again")
		}
		for ranking.Best("", nil) != nil {
			n := ranking.Best("", nil)
			n.Reserved = n.Capacity
			ranking.Update(n)
		}
		assert.True(t, ranking.Empty())
	}
}
