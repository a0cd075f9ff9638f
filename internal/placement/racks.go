package placement

import "clementinewalk.example/clementinewalk/internal/resource"

// racks holds the free capacity of each rack, counting only workers that may get tasks. Racks are numbered from 0 in
// the order of their first worker; ofWorker holds the number of each worker's rack.
type racks struct {
	ofWorker []int
	free     []resource.Vector
	// shareBuffer is the result of rackShares, reused by each decision.
	shareBuffer []float64
}

func newRacks(workers []Worker) racks {
	r := racks{ofWorker: make([]int, len(workers))}
	number := map[int]int{}
	for i := range workers {
		n, known := number[workers[i].Rack]
		if !known {
			n = len(r.free)
			number[workers[i].Rack] = n
			r.free = append(r.free, resource.Vector{})
		}
		r.ofWorker[i] = n
		r.free[n] = r.free[n].Add(usableCapacity(&workers[i]))
	}
	r.shareBuffer = make([]float64, len(r.free))
	return r
}

// usableCapacity returns what a worker contributes to the free capacity of its rack.
func usableCapacity(w *Worker) resource.Vector {
	if w.exclusionReason() != "" {
		return resource.Vector{}
	}
	return w.Free().Max(resource.Vector{})
}

// rackShares returns, for each rack, the share that the job would use, once it holds t as well, of the capacity
// available to it there. That capacity is the free capacity of the rack and what the job's tasks already use. The next
// call overwrites the result.
func (s *State) rackShares(t Task) []float64 {
	r := &s.racks
	for i := range r.shareBuffer {
		r.shareBuffer[i] = -1
	}
	for i := range s.Workers {
		n := r.ofWorker[i]
		if r.shareBuffer[n] >= 0 {
			continue
		}
		held := s.jobAttempts[jobLocation{job: t.Job, rack: s.Workers[i].Rack}]
		r.shareBuffer[n] = float64(held+1) / fitCount(r.free[n].Add(t.Size.Scale(int64(held))), t.Size)
	}
	return r.shareBuffer
}

// fitCount returns how many tasks of the given size fit into amount, as a fraction and at least 1. It is 1 for a task
// without a size.
func fitCount(amount, size resource.Vector) float64 {
	minimum := -1.0
	for _, c := range [][2]int64{{amount.MilliCores, size.MilliCores}, {amount.MemoryMB, size.MemoryMB},
		{amount.Accelerators, size.Accelerators}} {
		if c[1] <= 0 {
			continue
		}
		if n := float64(c[0]) / float64(c[1]); minimum < 0 || n < minimum {
			minimum = n
		}
	}
	return max(minimum, 1)
}
