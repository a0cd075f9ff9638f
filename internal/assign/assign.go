// Package assign chooses the worker of a task: it fits what is reserved, keeps best-effort tasks away from services that they would slow, and
// avoids workers that fail. It holds no clock, network or goroutine.
package assign

import (
	"clementinewalk.example/clementinewalk/internal/resource"
)

// Node is one candidate.
type Node struct {
	ID, Rack string
	Capacity resource.Vector
	// Reserved is what the tasks on the worker occupy exclusively.
	Reserved resource.Vector
	// BestEffort is the thousandths of a core that best-effort tasks on the worker ask for.
	BestEffort int64
	// Services counts the service tasks with a latency objective, by image.
	Services map[string]int
	// Slack is the least share of its objective that a service task has left: negative when it is over.
	Slack float64
	// Unproven tells that the last attempts there failed.
	Unproven bool
}

// Free returns what may still be reserved.
func (n *Node) Free() resource.Vector { return n.Capacity.Sub(n.Reserved) }

// Task is what is to be placed.
type Task struct {
	Size resource.Vector
	// BestEffort tells that the processors of Size are not reserved.
	BestEffort bool
	// Service tells that the task has a latency objective.
	Service bool
	// DataRack is where the task runs fastest; empty for none.
	DataRack string
	// Avoid is the worker on which the last attempt failed.
	Avoid string
	// Image is the image of a service.
	Image string
	// Disturbance returns by how much the logarithm of the worst tail latency on a worker grows with the task; nil for none.
	Disturbance func(*Node) float64
}

// Reserved returns what the task occupies exclusively.
func (t *Task) Reserved() resource.Vector {
	v := t.Size
	if t.BestEffort {
		v.MilliCores = 0
	}
	return v
}

// Weights of the score. They are shares of a worker's processors: a penalty of 1 outweighs an idle worker.
const (
	unprovenPenalty = 4.0
	avoidPenalty    = 8.0
	remotePenalty   = 1.0
	// disturbancePenalty makes a best-effort task that doubles a tail worse off than on a full worker.
	disturbancePenalty = 4.0
	// overPenalty keeps best-effort tasks off a worker whose service is over its objective.
	overPenalty = 0.5
	// sameImageBonus puts services of one image together: what disturbs one then spares the workers of the others. It outweighs the room of an
	// empty worker, so that workers are left for the images that come later.
	sameImageBonus = 1.0
)

// Choose returns the best of the nodes that can hold the task, or nil. Ties go to the earlier node.
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

// score is the share of processors that nobody asks for once the task runs, less penalties.
func score(n *Node, t *Task) float64 {
	capacity := float64(max(1, n.Capacity.MilliCores))
	s := float64(n.Capacity.MilliCores-n.Reserved.MilliCores-n.BestEffort-t.Size.MilliCores) / capacity
	if n.Unproven {
		s -= unprovenPenalty
	}
	if t.Avoid == n.ID {
		s -= avoidPenalty
	}
	if t.DataRack != "" && t.DataRack != n.Rack {
		s -= remotePenalty
	}
	if t.Service && len(n.Services) > 0 {
		s += sameImageBonus * (2*float64(n.Services[t.Image])/float64(total(n.Services)) - 1)
	}
	if t.Disturbance != nil {
		s -= disturbancePenalty * t.Disturbance(n)
		if n.Slack < 0 {
			s -= overPenalty
		}
	}
	return s
}

func total(counts map[string]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}

// FirstFit is the baseline: the first node that can hold the task.
func FirstFit(nodes []*Node, t *Task) *Node {
	need := t.Reserved()
	for _, n := range nodes {
		if need.Fits(n.Free()) {
			return n
		}
	}
	return nil
}
