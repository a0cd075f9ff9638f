package placement

import "clementinewalk.example/clementinewalk/internal/resource"

// racks holds what the workers of each rack that may get work have free. Racks are numbered from 0 in the order of their first worker.
type racks struct {
	ofWorker []int
	free     []resource.Vector
	// shares is reused by each decision.
	shares []float64
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
		r.free[n] = r.free[n].Add(usable(&workers[i]))
	}
	r.shares = make([]float64, len(r.free))
	return r
}

// usable is what a worker contributes to the free capacity of its rack.
func usable(w *Worker) resource.Vector {
	if w.exclusion() != "" {
		return resource.Vector{}
	}
	return w.Free().Max(resource.Vector{})
}

// rackShares returns, for each rack, the share of what the rack offers to the job that the job occupies there once it holds t as well.
// The rack offers its free capacity and what the job's tasks hold already.
func (s *State) rackShares(t Task) []float64 {
	r := &s.racks
	for i := range r.shares {
		r.shares[i] = -1
	}
	for i := range s.Workers {
		n := r.ofWorker[i]
		if r.shares[n] >= 0 {
			continue
		}
		held := s.spread[spreadKey{job: t.Job, rack: s.Workers[i].Rack}]
		r.shares[n] = float64(held+1) / room(r.free[n].Add(t.Size.Scale(int64(held))), t.Size)
	}
	return r.shares
}

// room returns how many tasks of a size an amount holds, at least one. It is 1 for a task without a size.
func room(amount, size resource.Vector) float64 {
	least := -1.0
	for _, c := range [][2]int64{{amount.MilliCores, size.MilliCores}, {amount.MemoryMB, size.MemoryMB}, {amount.Accelerators, size.Accelerators}} {
		if c[1] <= 0 {
			continue
		}
		if n := float64(c[0]) / float64(c[1]); least < 0 || n < least {
			least = n
		}
	}
	return max(least, 1)
}
