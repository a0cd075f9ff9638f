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
	// Services counts the service tasks with a latency objective.
	Services int
	// Pressure is the highest tail latency of a service task on the worker as a share of its objective.
	Pressure float64
	// Throttled is how much of their processors best-effort tasks are denied, 0 to 1.
	Throttled float64
	// Unproven tells that the last attempts there failed; Slow that tasks there make less progress than elsewhere.
	Unproven, Slow bool
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
	// Retry tells that an attempt has failed, so that another failure is expensive.
	Retry bool
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
	slowPenalty     = 2.0
	avoidPenalty    = 8.0
	remotePenalty   = 1.0
	throttlePenalty = 1.0
	// pressurePenalty applies to best-effort tasks: the closer a service is to its objective, the more.
	pressurePenalty = 0.6
	servicePenalty  = 0.02
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
	if n.Slow {
		s -= slowPenalty
	}
	if t.Avoid == n.ID {
		s -= avoidPenalty
	}
	if t.DataRack != "" && t.DataRack != n.Rack {
		s -= remotePenalty
	}
	if t.BestEffort {
		s -= pressurePenalty*n.Pressure + throttlePenalty*n.Throttled + servicePenalty*float64(n.Services)
	}
	return s
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
