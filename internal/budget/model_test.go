package budget

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// modelTTL is longer than gatewayTimeout, so that grants are fenced off while gateways still use them.
const modelTTL = 10 * time.Second

type modelRequest struct {
	gateway *modelGateway
	permit  Permit
	ended   bool
}

type modelWorker struct {
	id            instance.ID
	slots         int
	epoch         uint64
	minGeneration map[instance.Incarnation]uint64
	running       []*modelRequest
}

type modelGateway struct {
	id          instance.ID
	incarnation instance.Incarnation
	pool        *SlotPool
	paused      bool
	leaving     bool
	requests    []*modelRequest
}

// message is in transit. deliver runs its effect; lose runs if it never arrives.
type message struct{ deliver, lose func() }

type model struct {
	now       time.Time
	allocator *SlotAllocator
	epoch     uint64
	workers   []*modelWorker
	gateways  []*modelGateway
	started   int
	refused   int
	// inTransit holds the messages in transit; they arrive in any order or never.
	inTransit []message
	// newestCall holds the number of the newest lease call of each worker; answers to older calls are dropped.
	newestCall map[instance.ID]int
}

func newModel(t *rapid.T) *model {
	m := &model{now: time.Unix(1000, 0), newestCall: map[instance.ID]int{}}
	for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
		m.workers = append(m.workers, &modelWorker{id: instance.ID(fmt.Sprintf("w%d", i)),
			slots: rapid.IntRange(1, 8).Draw(t, "slots"), minGeneration: map[instance.Incarnation]uint64{}})
	}
	for i := range 3 {
		m.gateways = append(m.gateways, newModelGateway(i, 0))
	}
	m.changeOwner(t)
	return m
}

func newModelGateway(i, restarts int) *modelGateway {
	return &modelGateway{id: instance.ID(fmt.Sprintf("g%d", i)),
		incarnation: instance.Incarnation(fmt.Sprintf("g%d.%d", i, restarts)), pool: NewSlotPool()}
}

func (m *model) changeOwner(*rapid.T) {
	m.epoch++
	m.allocator = NewSlotAllocator("s", m.epoch, modelTTL)
	for _, w := range m.workers {
		m.allocator.SetWorker(m.now, w.id, "a", "d", w.slots)
	}
}

func (m *model) pickGateway(t *rapid.T) *modelGateway {
	return rapid.SampledFrom(m.gateways).Draw(t, "gateway")
}

func (m *model) send(f func()) {
	m.inTransit = append(m.inTransit, message{deliver: f, lose: func() {}})
}

// runFaultFreeRound runs a round without faults, so that runs reach states in which slots are granted and in use. Older
// messages stay in transit.
func (m *model) runFaultFreeRound(t *rapid.T) {
	delayed := m.inTransit
	m.inTransit = nil
	for _, w := range m.workers {
		m.renewLease(w)
	}
	for range 2 {
		for _, g := range m.gateways {
			m.requestGrant(g, rapid.IntRange(0, 20).Draw(t, "demand"))
		}
		for len(m.inTransit) > 0 {
			msg := m.inTransit[0]
			m.inTransit = m.inTransit[1:]
			msg.deliver()
		}
		m.now = m.now.Add(200 * time.Millisecond)
	}
	m.inTransit = delayed
}

func (m *model) requestGrant(g *modelGateway, demand int) {
	if g.paused {
		return
	}
	epoch, generation := g.pool.CompliantGrant("s")
	r := contract.GrantRequest{Shard: "s", Gateway: g.id, Incarnation: g.incarnation, DataCentre: "d", Epoch: epoch,
		Generation: generation, Demand: demand, Leaving: g.leaving}
	sent, owner := m.now, m.allocator
	m.send(func() {
		reply := owner.Grant(m.now, r)
		m.send(func() {
			if !g.paused {
				g.pool.Apply(m.now, sent, reply, false)
			}
		})
	})
}

func (m *model) renewLease(w *modelWorker) {
	owner, epoch := m.allocator, m.epoch
	fences := owner.NextFences(w.id)
	m.newestCall[w.id]++
	call := m.newestCall[w.id]
	m.send(func() {
		if epoch < w.epoch {
			return
		}
		w.epoch = epoch
		for _, f := range fences {
			w.minGeneration[f.Gateway] = max(w.minGeneration[f.Gateway], f.MinGeneration)
		}
		used := map[instance.Incarnation]int{}
		for _, r := range w.running {
			used[r.gateway.incarnation]++
		}
		var report []upstream.GatewayUse
		for inc, n := range used {
			report = append(report, upstream.GatewayUse{Gateway: inc, Slots: n})
		}
		m.send(func() {
			if m.newestCall[w.id] == call {
				owner.ApplyLeaseReply(m.now, w.id, fences, report)
			}
		})
	})
}

func (m *model) startRequest(t *rapid.T) {
	g := m.pickGateway(t)
	if g.paused || g.pool.Workers() == 0 {
		return
	}
	p, ok := g.pool.Acquire(m.now, rapid.IntRange(0, g.pool.Workers()-1).Draw(t, "index"))
	if !ok {
		return
	}
	r := &modelRequest{gateway: g, permit: p}
	g.requests = append(g.requests, r)
	i := slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.id == p.Worker })
	w := m.workers[i]
	m.inTransit = append(m.inTransit, message{lose: func() { r.ended = true }, deliver: func() {
		if p.Epoch != w.epoch || p.Generation < w.minGeneration[g.incarnation] {
			m.refused++
			r.ended = true
			return
		}
		m.started++
		w.running = append(w.running, r)
		if len(w.running) > w.slots {
			t.Fatalf("worker %s runs %d requests in %d slots", w.id, len(w.running), w.slots)
		}
	}})
}

func (m *model) finishRequest(t *rapid.T) {
	w := rapid.SampledFrom(m.workers).Draw(t, "worker")
	if len(w.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(t, "request")
	w.running[i].ended = true
	w.running = slices.Delete(w.running, i, i+1)
}

// releaseEnded releases the slots of requests that have ended. A request whose answer was lost ends at its own
// deadline.
func (m *model) releaseEnded(t *rapid.T) {
	g := m.pickGateway(t)
	if g.paused {
		return
	}
	g.requests = slices.DeleteFunc(g.requests, func(r *modelRequest) bool {
		if r.ended {
			g.pool.Release(r.permit)
		}
		return r.ended
	})
}

func (m *model) deliver(t *rapid.T) {
	if len(m.inTransit) == 0 {
		return
	}
	i := 0
	if rapid.IntRange(0, 2).Draw(t, "order") == 0 {
		i = rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")
	}
	msg := m.inTransit[i]
	m.inTransit = slices.Delete(m.inTransit, i, i+1)
	msg.deliver()
}

func (m *model) lose(t *rapid.T) {
	if len(m.inTransit) > 0 {
		i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")
		msg := m.inTransit[i]
		m.inTransit = slices.Delete(m.inTransit, i, i+1)
		msg.lose()
	}
}

func (m *model) restartGateway(t *rapid.T) {
	i := rapid.IntRange(0, len(m.gateways)-1).Draw(t, "gateway")
	var restarts int
	_, _ = fmt.Sscanf(string(m.gateways[i].incarnation), fmt.Sprintf("g%d.%%d", i), &restarts)
	m.gateways[i] = newModelGateway(i, restarts+1)
}

// Guards against a worker that gets more requests than slots after any order, loss or delay of messages, pauses and
// restarts of gateways, and changes of owner.
func TestWorkerNeverExceedsSlots(t *testing.T) {
	started, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		rare := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					f(t)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(t *rapid.T) { m.requestGrant(m.pickGateway(t), rapid.IntRange(0, 20).Draw(t, "demand")) },
			"lease": func(t *rapid.T) { m.renewLease(rapid.SampledFrom(m.workers).Draw(t, "worker")) },
			"start": m.startRequest, "start2": m.startRequest, "start3": m.startRequest, "settle": m.runFaultFreeRound,
			"finish": m.finishRequest, "collect": m.releaseEnded,
			"deliver": m.deliver, "deliver2": m.deliver, "deliver3": m.deliver,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
			},
			"lose":    rare(m.lose),
			"owner":   rare(m.changeOwner),
			"restart": rare(m.restartGateway),
			"leave":   rare(func(t *rapid.T) { m.pickGateway(t).leaving = true }),
			"pause":   rare(func(t *rapid.T) { g := m.pickGateway(t); g.paused = !g.paused }),
			"remove": rare(func(t *rapid.T) {
				m.allocator.RemoveWorker(m.now, rapid.SampledFrom(m.workers).Draw(t, "worker").id)
			}),
			"return": rare(func(t *rapid.T) {
				w := rapid.SampledFrom(m.workers).Draw(t, "worker")
				m.allocator.SetWorker(m.now, w.id, "a", "d", w.slots)
			}),
		})
		started, refused = started+m.started, refused+m.refused
	})
	t.Logf("%d requests started, %d refused", started, refused)
	if started < 5000 {
		t.Fatalf("only %d requests started: the runs show little", started)
	}
}
