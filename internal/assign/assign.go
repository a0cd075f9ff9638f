// Package assign chooses the worker of a task: it respects reserved resources, keeps best-effort tasks away from
// services that they would slow, and avoids workers with recent failures. It uses no clock, network or goroutine.
package assign

import (
	"slices"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Node is a candidate worker.
type Node struct {
	ID, Rack string
	// Index is the position of the worker among all workers; candidates are passed in its order.
	Index    int
	Capacity resource.Vector
	// Reserved is the sum of the resources that the tasks on the worker hold exclusively.
	Reserved resource.Vector
	// BestEffort is the thousandths of a core that the best-effort tasks on the worker request.
	BestEffort int64
	// Services counts the service tasks with a latency objective, by image.
	Services map[string]int
	// Slack is the smallest share of its latency objective that a service task on the worker has left; 1 without such
	// a task, negative if one is over its objective.
	Slack float64
	// RecentlyFailed reports whether the last attempts on the worker failed.
	RecentlyFailed bool
	// Bad reports whether the worker is excluded or on probation because of its health. It replaces RecentlyFailed.
	Bad bool
	// Cold reports whether the worker is slow for a while after its start.
	Cold bool
}

// Free returns the resources that can still be reserved.
func (n *Node) Free() resource.Vector { return n.Capacity.Sub(n.Reserved) }

// Task is the task to place.
type Task struct {
	Size resource.Vector
	// BestEffort reports whether the task reserves no processors, although it requests those of Size.
	BestEffort bool
	// LatencyCritical reports whether the task belongs to a service with a latency objective.
	LatencyCritical bool
	// DataRack is the rack that holds the input of the task, which is slower elsewhere; empty for none.
	DataRack string
	// AvoidWorker is the id of the worker that refused or failed the last attempt, or from which it was moved.
	AvoidWorker string
	// Image is the image of a service task.
	Image string
	// TailRise predicts by how much the logarithm of the worst tail latency on a worker would rise with the task; nil
	// if the task is neither best effort nor latency-critical.
	TailRise func(*Node) float64
}

// Reserved returns the resources that the task holds exclusively.
func (t *Task) Reserved() resource.Vector {
	v := t.Size
	if t.BestEffort {
		v.MilliCores = 0
	}
	return v
}

// Weights of the score, as shares of a worker's processors: a penalty of 1 is the difference between an idle and a full
// worker.
const (
	// recentFailurePenalty also applies to a bad worker, unless the task is best effort: work that callers wait for goes there last.
	recentFailurePenalty = 4.0
	avoidPenalty         = 8.0
	// coldPenalty outweighs the sum of the others that apply to tasks without a tail rise, except avoidPenalty: a cold worker
	// is used after the warm ones with room.
	coldPenalty       = 7.5
	remoteDataPenalty = 1.0
	// tailRisePenalty makes a worker on which a best-effort task would double a tail latency worse than a full
	// one.
	tailRisePenalty = 4.0
	// overObjectivePenalty applies to best-effort and latency-critical tasks on a worker whose service is over its
	// objective.
	overObjectivePenalty = 0.5
	// sameImageBonus places services of one image together, so that a best-effort image that slows them can run
	// on the workers of other images. It outweighs the free processors of an empty worker, so that empty workers
	// remain for images that are placed later.
	sameImageBonus = 1.0
)

// Choose returns the node with the highest score among those that can hold the task, or nil. Ties go to the earlier
// node.
func Choose(nodes []*Node, t *Task) *Node {
	var best *Node
	bestScore := 0.0
	need := t.Reserved()
	for _, n := range nodes {
		if !need.Fits(n.Free()) {
			continue
		}
		if s := score(n, t); best == nil || s > bestScore {
			best, bestScore = n, s
		}
	}
	return best
}

// score returns the share of a worker's processors that no task would request if the task ran there, less penalties
// and plus bonuses.
func score(n *Node, t *Task) float64 {
	capacity := float64(max(1, n.Capacity.MilliCores))
	result := float64(n.Capacity.MilliCores-n.Reserved.MilliCores-n.BestEffort-t.Size.MilliCores) / capacity
	if n.RecentlyFailed || n.Bad && !t.BestEffort {
		result -= recentFailurePenalty
	}
	if n.Cold {
		result -= coldPenalty
	}
	if t.AvoidWorker == n.ID {
		result -= avoidPenalty
	}
	if t.DataRack != "" && t.DataRack != n.Rack {
		result -= remoteDataPenalty
	}
	if t.LatencyCritical && len(n.Services) > 0 {
		result += sameImageBonus * (2*float64(n.Services[t.Image])/float64(sumCounts(n.Services)) - 1)
	}
	if t.TailRise != nil {
		result -= tailRisePenalty * t.TailRise(n)
		if n.Slack < 0 {
			result -= overObjectivePenalty
		}
	}
	return result
}

// Ranking holds the scores of the nodes that can take one of several equal tasks, so that only the nodes that have taken
// a task since the last choice are scored again.
type Ranking struct {
	task *Task
	// admits may be nil.
	admits func(*Node) bool
	nodes  []*Node
	scores []float64
	// best is what Best returns without a worker to avoid and without a filter, if bestKnown is set. Tasks that wait although
	// there is room ask again before any node has changed.
	best      *Node
	bestKnown bool
}

// NewRanking returns the ranking of nodes, in the order of Index, for tasks like t, which avoids no worker. admits reports whether a node may
// take a task for which it has room; nil admits every node. A node that cannot take a task must not become able to
// during the use of the ranking.
func NewRanking(nodes []*Node, t *Task, admits func(*Node) bool) *Ranking {
	r := &Ranking{task: t, admits: admits}
	for _, n := range nodes {
		if s, ok := r.score(n); ok {
			r.nodes, r.scores = append(r.nodes, n), append(r.scores, s)
		}
	}
	return r
}

func (r *Ranking) score(n *Node) (float64, bool) {
	if !r.task.Reserved().Fits(n.Free()) || r.admits != nil && !r.admits(n) {
		return 0, false
	}
	return score(n, r.task), true
}

// Update scores a node again that has taken a task.
func (r *Ranking) Update(n *Node) {
	r.bestKnown = false
	i, ok := slices.BinarySearchFunc(r.nodes, n.Index, func(o *Node, index int) int { return o.Index - index })
	if !ok {
		return
	}
	s, ok := r.score(n)
	if !ok {
		r.nodes, r.scores = slices.Delete(r.nodes, i, i+1), slices.Delete(r.scores, i, i+1)
		return
	}
	r.scores[i] = s
}

// Empty reports whether no node can take a task.
func (r *Ranking) Empty() bool { return len(r.nodes) == 0 }

// Best returns the node that Choose would return for a task that avoids a worker, among the admitted nodes that accept
// allows, or nil. An empty avoidWorker and a nil accept stand for none.
func (r *Ranking) Best(avoidWorker string, accept func(*Node) bool) *Node {
	if avoidWorker != "" || accept != nil {
		return r.search(avoidWorker, accept)
	}
	if !r.bestKnown {
		r.best, r.bestKnown = r.search("", nil), true
	}
	return r.best
}

func (r *Ranking) search(avoidWorker string, accept func(*Node) bool) *Node {
	var best *Node
	bestScore := 0.0
	for i, s := range r.scores {
		if best != nil && s <= bestScore {
			// A score is lower on the worker to avoid.
			continue
		}
		n := r.nodes[i]
		if avoidWorker != "" && n.ID == avoidWorker {
			t := *r.task
			t.AvoidWorker = avoidWorker
			if s = score(n, &t); best != nil && s <= bestScore {
				continue
			}
		}
		if accept == nil || accept(n) {
			best, bestScore = n, s
		}
	}
	return best
}

func sumCounts(counts map[string]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}

// FirstFit returns the first node that can hold the task, or nil. It is the baseline for benchmarks.
func FirstFit(nodes []*Node, t *Task) *Node {
	need := t.Reserved()
	for _, n := range nodes {
		if need.Fits(n.Free()) {
			return n
		}
	}
	return nil
}
