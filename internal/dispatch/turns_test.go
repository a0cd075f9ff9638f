package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// burstyPool is a pool whose services reserve less than half of the processors, and the best-effort submissions to it.
type burstyPool struct {
	sim        *simulation
	contention *contention
	rng        *rand.Rand
	layouts    []*layout
	// idleSince is when a submission last had an attempt running, longestIdle the longest time without one. Submissions
	// that are over are in neither.
	idleSince   map[workflow.JobID]time.Duration
	longestIdle time.Duration
}

const burstyImages = 9

func newBurstyPool(t *testing.T, seed uint64) *burstyPool {
	const services, workers = 3, 8
	sim := newSimulation(t, seed, 0)
	sim.capacity = resource.Vector{MilliCores: 37000, MemoryMB: 128000}
	c := &contention{sim: sim, coefficients: map[[2]string]float64{}, baseTail: usualBaseTail, rng: rand.New(rand.NewPCG(1, 13))}
	sim.contention = c
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%02d", i))
	}
	sim.listWorkers()
	p := &burstyPool{sim: sim, contention: c, rng: rand.New(rand.NewPCG(seed, 12)),
		idleSince: map[workflow.JobID]time.Duration{}}
	for s := range services {
		for i := range burstyImages {
			if p.rng.Float64() < 0.55 {
				c.coefficients[[2]string{fmt.Sprintf("s%d", s), fmt.Sprintf("b%d", i)}] = 4
			}
		}
		sim.submit(workflow.JobID(fmt.Sprintf("service-%d", s)), workflow.Step{Count: 6, LongRunning: true,
			Size: resource.Vector{MilliCores: 6400, MemoryMB: 13000}, Image: fmt.Sprintf("s%d", s),
			Objective: tailObjective})
	}
	sim.run(3 * time.Second)
	return p
}

// submitFor submits perSecond submissions a second for a while.
func (p *burstyPool) submitFor(d time.Duration, perSecond float64) {
	for end, next := p.sim.now+d, p.sim.now; p.sim.now < end; {
		for ; next <= p.sim.now; next += time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)) {
			p.layouts = append(p.layouts, submitLayout(p.sim, p.rng, len(p.layouts), burstyImages))
		}
		p.run(50 * time.Millisecond)
	}
}

func (p *burstyPool) run(d time.Duration) {
	for end := p.sim.now + d; p.sim.now < end; {
		p.sim.run(50 * time.Millisecond)
		p.contention.noteDone(p.layouts)
		p.noteIdle()
	}
}

func (p *burstyPool) noteIdle() {
	running := map[workflow.JobID]bool{}
	for _, f := range p.sim.workers {
		for a := range f.running {
			running[a.Task.Job] = true
		}
	}
	for _, l := range p.layouts {
		since, ok := p.idleSince[l.id]
		switch {
		case l.doneAt != 0:
			delete(p.idleSince, l.id)
		case running[l.id] || !ok:
			p.idleSince[l.id] = p.sim.now
		default:
			p.longestIdle = max(p.longestIdle, p.sim.now-since)
		}
	}
}

// watchIdle makes longestIdle count from now on.
func (p *burstyPool) watchIdle() {
	p.longestIdle = 0
	for id := range p.idleSince {
		p.idleSince[id] = p.sim.now
	}
}

// Guards against accepted submissions that wait without end for a first task while services leave most of the pool.
func TestLateSubmissionsStarveAfterBursts(t *testing.T) {
	t.Parallel()
	const maxIdle = 3 * time.Second
	for _, seed := range []uint64{1, 2} {
		p := newBurstyPool(t, seed)
		for range 4 {
			p.submitFor(4*time.Second, 7)
			p.submitFor(2*time.Second, 3)
		}
		// By then, the submissions that can be in time have their tasks running.
		p.run(6 * time.Second)
		unfinished := len(p.idleSince)
		require.Greater(t, unfinished, 40, "seed %d: unfinished submissions", seed)
		p.contention.overObjective, p.contention.serviceTicks = 0, 0
		p.watchIdle()
		p.run(10 * time.Second)
		over := float64(p.contention.overObjective) / float64(max(1, p.contention.serviceTicks))
		t.Logf("seed %d: %d of %d submissions unfinished, then %d, without an attempt for up to %s, services %.3f over",
			seed, unfinished, len(p.layouts), len(p.idleSince), p.longestIdle, over)
		assert.LessOrEqual(t, p.longestIdle, maxIdle, "seed %d: time without an attempt", seed)
		assert.Less(t, over, 0.02, "seed %d: services over their objective", seed)
	}
}

// Guards against turns of submissions that are too late which take the room of those that can be in time.
func TestLateSubmissionsDelayThoseInTime(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		p := newBurstyPool(t, seed)
		p.submitFor(20*time.Second, 6)
		late := len(p.idleSince)
		before := len(p.layouts)
		p.submitFor(20*time.Second, 1.5)
		p.run(8 * time.Second)
		inTime, served := shares(p.layouts[before:])
		over := float64(p.contention.overObjective) / float64(max(1, p.contention.serviceTicks))
		t.Logf("seed %d: beside %d submissions, %.2f of %d are in time, %.2f served, services %.3f over", seed, late, inTime,
			len(p.layouts)-before, served, over)
		assert.Greater(t, inTime, 0.6, "seed %d: in time, as in a burst", seed)
	}
}
