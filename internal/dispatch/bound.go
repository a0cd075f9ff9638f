package dispatch

import (
	"math"
	"time"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/headroom"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// bestEffortBound limits the best-effort work in progress during one plan. A task is placed only on a worker that runs
// it at nearly full speed; other tasks stay pending. It caches what the plan needs more than once.
type bestEffortBound struct {
	core    *Core
	now     time.Duration
	margins map[*step]float64
	// services holds the services of each worker, when the first task was considered for it.
	services map[*worker][]headroom.Service
	pools    map[string]*poolBound
}

// roomKey identifies the candidates for tasks of a size.
type roomKey struct {
	reach reach
	size  resource.Vector
}

// poolBound is the state of the bound for one pool of workers.
type poolBound struct {
	// shares holds the share of the services' margins that each image may use up.
	shares map[string]float64
	// noHeadroom holds, for each image, the smallest tasks that no worker could take within each reach.
	noHeadroom [reaches]map[string][]resource.Vector
	// withRoom holds, for each size, the workers that had room for it when the first such task was considered.
	withRoom map[roomKey][]*assign.Node
	// services holds the service images of each worker.
	services []map[string]int
}

func newBestEffortBound(c *Core, now time.Duration) *bestEffortBound {
	return &bestEffortBound{core: c, now: now, margins: map[*step]float64{}, services: map[*worker][]headroom.Service{},
		pools: map[string]*poolBound{}}
}

// full reports whether no worker could take a task like t earlier in the plan.
func (b *bestEffortBound) full(t *task, reach reach) bool {
	def := t.step.def
	for _, size := range b.pool(t.job().terms.Pool).noHeadroom[reach][def.Image] {
		if size.Fits(def.Size) {
			return true
		}
	}
	return false
}

// noteFull notes that no worker can take a task like t.
func (b *bestEffortBound) noteFull(t *task, reach reach) {
	pool, def := b.pool(t.job().terms.Pool), t.step.def
	if pool.noHeadroom[reach] == nil {
		pool.noHeadroom[reach] = map[string][]resource.Vector{}
	}
	pool.noHeadroom[reach][def.Image] = append(pool.noHeadroom[reach][def.Image], def.Size)
}

// withRoom returns the nodes that have the resources and processors for a task like t, whatever its image.
func (b *bestEffortBound) withRoom(t *task, reach reach, nodes []*assign.Node) []*assign.Node {
	pool, def := b.pool(t.job().terms.Pool), t.step.def
	key := roomKey{reach, def.Size}
	if out, ok := pool.withRoom[key]; ok {
		return out
	}
	need, size := def.Reserved(), requestedMilliCores(def)
	var out []*assign.Node
	for _, n := range nodes {
		if need.Fits(n.Free()) && b.core.workersByID[n.Index].load.HasProcessors(n.BestEffort, size) {
			out = append(out, n)
		}
	}
	pool.withRoom[key] = out
	return out
}

// forgetRoom drops the results of withRoom, because a worker is no longer among the candidates.
func (b *bestEffortBound) forgetRoom(pool string) {
	if p := b.pools[pool]; p != nil {
		clear(p.withRoom)
	}
}

// admits returns a function that reports whether a node with enough free resources can take a task like t.
func (b *bestEffortBound) admits(t *task, nodes []*assign.Node) func(*assign.Node) bool {
	def := t.step.def
	share := b.share(b.pool(t.job().terms.Pool), nodes, def.Image)
	size := requestedMilliCores(def)
	return func(n *assign.Node) bool {
		w := b.core.workersByID[n.Index]
		return w.load.HasProcessors(n.BestEffort, size) && w.load.Fits(b, b.servicesOn(w), def.Image, size, share)
	}
}

func (b *bestEffortBound) pool(name string) *poolBound {
	if p, ok := b.pools[name]; ok {
		return p
	}
	p := &poolBound{shares: map[string]float64{}, withRoom: map[roomKey][]*assign.Node{}}
	b.pools[name] = p
	return p
}

func (b *bestEffortBound) share(p *poolBound, nodes []*assign.Node, image string) float64 {
	if s, ok := p.shares[image]; ok {
		return s
	}
	if p.services == nil {
		p.services = make([]map[string]int, len(nodes))
		for i, n := range nodes {
			p.services[i] = n.Services
		}
	}
	p.shares[image] = headroom.Share(b, p.services, image)
	return p.shares[image]
}

// Coefficient implements headroom.Interference.
func (b *bestEffortBound) Coefficient(service, image string) float64 {
	return b.core.model.Coefficient(b.now, service, image)
}

// servicesOn returns the services with an objective on a worker, with their margins.
func (b *bestEffortBound) servicesOn(w *worker) []headroom.Service {
	if out, ok := b.services[w]; ok {
		return out
	}
	var out []headroom.Service
	for s := range w.services {
		out = append(out, headroom.Service{Image: s.def.Image, Margin: b.margin(s)})
	}
	b.services[w] = out
	return out
}

const (
	// unknownMargin is the margin of a service whose tail latency was not reported yet.
	unknownMargin = 1.0
	// marginHorizon is how far ahead the load of a service is forecast for tasks that are placed now. They run for a second or
	// two; CPU limits hold them if the load rises further.
	marginHorizon = 700 * time.Millisecond
)

// margin returns by how much the logarithm of a service's tail latency may rise before it reaches the target to which CPU limits
// hold it.
func (b *bestEffortBound) margin(s *step) float64 {
	if m, ok := b.margins[s]; ok {
		return m
	}
	m := unknownMargin
	if base, known := b.core.model.Base(b.now, s.def.Image); known {
		m = math.Log(tailTargetFraction*objectiveMillis(s)) - math.Log(base) - s.load.At(b.now, marginHorizon)
	}
	b.margins[s] = m
	return m
}
