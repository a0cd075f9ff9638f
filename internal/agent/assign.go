package agent

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is an instance that can make calls to workers.
type Instance struct {
	Name, DataCentre string
	// Cores is the processor time of the instance; LinkBytesPerSecond the bandwidth of its link, 0 if unknown.
	Cores, LinkBytesPerSecond float64
}

// Worker is a worker to be assigned to an instance.
type Worker struct{ ID, DataCentre string }

// The calls to one worker take about a thousandth of a core and 10 KB a second. An owner that makes all calls itself may
// use a quarter of its processor for them. An agent gets half as many workers, because it serves callers beside them.
const (
	workersPerCore   = 250
	bytesPerWorker   = 25e3
	agentShare       = 0.5
	minAgentCapacity = 4
)

// capacity returns the number of workers to which the instance can make all calls.
func (i *Instance) capacity() float64 {
	n := workersPerCore * i.Cores
	if i.LinkBytesPerSecond > 0 {
		n = min(n, i.LinkBytesPerSecond/bytesPerWorker)
	}
	return n
}

func (i *Instance) agentCapacity() float64 { return max(minAgentCapacity, agentShare*i.capacity()) }

// NeedsAgents reports whether an owner cannot make the calls to so many workers itself. It answers load that grows with
// the workers: about six calls a second for each.
func NeedsAgents(owner Instance, workers int) bool { return float64(workers) > owner.capacity() }

// Assign returns the instance that makes the calls to each worker, by the worker's id. Each data centre uses as few
// instances as can serve its workers, the most capable first, and shares the workers by capacity. Few workers change
// their instance when one comes or goes. Workers of a data centre without instances are shared among those of the others.
// The result is empty if there are no instances.
func Assign(workers []Worker, instances []Instance) map[string]string {
	count := map[string]int{}
	for _, w := range workers {
		count[w.DataCentre]++
	}
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.agentCapacity(), a.agentCapacity()), cmp.Compare(a.Name, b.Name))
	})
	chosen := map[string][]Instance{}
	room := map[string]float64{}
	for _, i := range sorted {
		if room[i.DataCentre] < float64(count[i.DataCentre]) {
			chosen[i.DataCentre] = append(chosen[i.DataCentre], i)
			room[i.DataCentre] += i.agentCapacity()
		}
	}
	var all []Instance
	for _, i := range sorted {
		if slices.ContainsFunc(chosen[i.DataCentre], func(c Instance) bool { return c.Name == i.Name }) {
			all = append(all, i)
		}
	}
	if len(all) == 0 {
		// No worker is in a data centre with instances.
		all = sorted
	}
	out := make(map[string]string, len(workers))
	for _, w := range workers {
		near := chosen[w.DataCentre]
		if len(near) == 0 {
			near = all
		}
		if name, ok := choose(w.ID, near); ok {
			out[w.ID] = name
		}
	}
	return out
}

// choose returns an instance by weighted rendezvous hashing; false if there are none.
func choose(worker string, instances []Instance) (string, bool) {
	best, bestScore := "", math.Inf(-1)
	for i := range instances {
		// The hash as a number between 0 and 1, both excluded.
		h := (float64(xxhash.Sum64String(worker+"\x00"+instances[i].Name)>>11) + 0.5) / (1 << 53)
		if s := -instances[i].agentCapacity() / math.Log(h); s > bestScore {
			best, bestScore = instances[i].Name, s
		}
	}
	return best, len(instances) > 0
}
