package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// badLoad is which workers are bad at any time. They change every 6 s.
type badLoad struct{ slow, mute, failing, halfFailing, refusing, flapping int }

// badDay is what callers get under a load with bad workers.
type badDay struct{ urgent, urgentInTime, batch, batchInTime, failed int }

func (d badDay) shares() (urgent, batch float64) {
	return float64(d.urgentInTime) / float64(d.urgent), float64(d.batchInTime) / float64(d.batch)
}

// applyEarlierRule undoes what the rule before package workerhealth did not do: it excluded for failures, refusals and stalled tasks
// only, for fixed times, and readmitted at once.
func (sim *simulation) applyEarlierRule() {
	for w := range sim.core.health.bad {
		switch h := &w.health; {
		case h.Reason() == workerhealth.Slow, h.Reason() == workerhealth.Flapping, h.Reason() == workerhealth.Mute, sim.now >= h.Until():
			*h = workerhealth.Worker{}
			delete(sim.core.health.bad, w)
		}
	}
}

// playBadWorkers plays 24 workers of deployment B for 36 s, with urgent submissions and best-effort ones, of which 3 tasks in 100 take
// 7 times as long, while some of the workers are bad. Arrivals and durations do not depend on the rule.
func playBadWorkers(t *testing.T, seed uint64, bad badLoad, earlierRule bool) badDay {
	const workers, duration, warmUp, rotation = 24, 36 * time.Second, 6 * time.Second, 6 * time.Second
	sim := newSimulation(t, seed, 0)
	sim.holdsCalls = true
	arrivals := rand.New(rand.NewPCG(seed, 8))
	sim.capacity = resource.Vector{MilliCores: 16_000, MemoryMB: 64_000}
	var all []*fakeWorker
	for i := range workers {
		f := sim.addWorker(fmt.Sprintf("w%02d", i))
		f.rack = fmt.Sprint("rack-", i/12)
		all = append(all, f)
	}
	sim.listWorkers()
	const urgentWork, batchWork = 680 * time.Millisecond, 1400 * time.Millisecond
	sim.workTime = func(_ *fakeWorker, a Attempt, _ *workflow.Step) time.Duration {
		work := urgentWork
		if a.Task.Job[0] == 'b' {
			work = batchWork
		}
		hash := fnv.New64a()
		fmt.Fprint(hash, a.Task, a.Run, seed)
		if rand.New(rand.NewPCG(hash.Sum64(), 9)).IntN(100) < 3 {
			work *= 7
		}
		return work
	}
	type running struct {
		due    time.Duration
		urgent bool
	}
	jobs := map[workflow.JobID]running{}
	n := 0
	var day badDay
	estimate := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * (0.1 + 1.8*arrivals.Float64()))
	}
	submit := func(urgent bool, now time.Duration) {
		n++
		terms := testConfig().Queues[0].Terms
		step := workflow.Step{Count: 10, Size: resource.Vector{MilliCores: 2800, MemoryMB: 1000}, Image: "urgent", Speculative: n%10 < 3,
			Estimate: estimate(urgentWork)}
		id, objective := workflow.JobID(fmt.Sprint("u", n)), 250*time.Millisecond
		terms.Stretch, terms.Allowance = 1.5, objective
		if !urgent {
			id, objective = workflow.JobID(fmt.Sprint("b", n)), time.Second
			terms.Queue, terms.Priority, terms.Allowance, terms.Stretch = "batch", 2, objective, 5
			step = workflow.Step{Count: 20, Size: resource.Vector{MilliCores: 2000, MemoryMB: 500}, Image: "batch", BestEffort: true,
				Estimate: estimate(batchWork)}
		}
		steps := []workflow.Step{step}
		work := urgentWork
		if !urgent {
			work = batchWork
		}
		if !urgent || arrivals.IntN(10) < 6 {
			second := step
			second.After = []int{0}
			steps = append(steps, second)
		}
		sim.submitOn(terms, id, steps...)
		due := time.Duration(terms.Stretch*float64(work)*float64(len(steps))) + objective
		jobs[id] = running{due: now + due, urgent: urgent}
	}
	start := sim.now
	slow := map[*fakeWorker]float64{}
	group := func() func(int) []*fakeWorker {
		order := arrivals.Perm(workers)
		return func(k int) []*fakeWorker {
			var out []*fakeWorker
			for _, i := range order[:k] {
				out = append(out, all[i])
			}
			order = order[k:]
			return out
		}
	}
	var mute, halfFailing, flapping []*fakeWorker
	begun := time.Duration(0)
	for sim.now < start+duration {
		if at := sim.now - start; at >= warmUp && at >= begun+rotation || begun == 0 && at >= warmUp {
			begun = at
			for _, f := range all {
				f.disconnected, f.failsAttempts, f.unhealthy = false, false, false
			}
			clear(slow)
			take := group()
			for _, f := range take(bad.slow) {
				slow[f] = 2.5 + 2.5*arrivals.Float64()
			}
			for _, f := range take(bad.failing) {
				f.failsAttempts = true
			}
			for _, f := range take(bad.refusing) {
				f.unhealthy = true
			}
			mute, halfFailing = take(bad.mute), take(bad.halfFailing)
			if flapping == nil {
				flapping = take(bad.flapping)
			}
		}
		in := sim.now - start - begun
		for _, f := range mute {
			f.disconnected = in < 3*time.Second
		}
		for _, f := range halfFailing {
			f.failsAttempts = sim.rng.IntN(2) == 0
		}
		for i, f := range flapping {
			f.disconnected = (sim.now+time.Duration(i)*700*time.Millisecond)%(3*time.Second) < 1200*time.Millisecond
		}
		for f, factor := range slow {
			for _, r := range f.running {
				r.endsAt += time.Duration(float64(tick) * (1 - 1/factor))
			}
		}
		if arrivals.Float64() < 2*tick.Seconds() {
			submit(true, sim.now)
		}
		if arrivals.Float64() < 0.8*tick.Seconds() {
			submit(false, sim.now)
		}
		sim.run(tick)
		if earlierRule {
			sim.applyEarlierRule()
		}
		for id, j := range jobs {
			state := sim.state(id)
			if !state.Over() && sim.now <= j.due {
				continue
			}
			delete(jobs, id)
			inTime := 0
			if state == workflow.Done {
				inTime = 1
			}
			if state == workflow.Failed {
				day.failed++
			}
			if j.urgent {
				day.urgent, day.urgentInTime = day.urgent+1, day.urgentInTime+inTime
			} else {
				day.batch, day.batchInTime = day.batch+1, day.batchInTime+inTime
			}
		}
	}
	return day
}

// Guards against bad workers that cost callers more than under the rule before package workerhealth, and against a deployment without
// bad workers that is served worse.
func TestSubmissionsBesideBadWorkers(t *testing.T) {
	seeds := uint64(1)
	loads := map[string]badLoad{"none": {}, "all": {slow: 1, mute: 1, failing: 1, halfFailing: 1, refusing: 1, flapping: 1}}
	if os.Getenv("CLEMENTINE_BAD_WORKERS") != "" {
		// Takes some minutes.
		seeds = 3
		loads["slow"], loads["mute"], loads["failing"] = badLoad{slow: 3}, badLoad{mute: 3}, badLoad{failing: 3}
		loads["half failing"], loads["refusing"], loads["flapping"] = badLoad{halfFailing: 3}, badLoad{refusing: 3}, badLoad{flapping: 3}
	}
	for name, bad := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var before, now badDay
			for seed := range seeds {
				before.add(playBadWorkers(t, seed, bad, true))
				now.add(playBadWorkers(t, seed, bad, false))
			}
			urgentBefore, batchBefore := before.shares()
			urgent, batch := now.shares()
			t.Logf("in time: urgent %.3f (earlier rule %.3f), best-effort %.3f (%.3f); failed %d (%d) of %d", urgent, urgentBefore, batch,
				batchBefore, now.failed, before.failed, now.urgent+now.batch)
			assert.GreaterOrEqual(t, urgent, urgentBefore-0.03)
			assert.GreaterOrEqual(t, batch, batchBefore-0.03)
		})
	}
}

func (d *badDay) add(o badDay) {
	d.urgent, d.urgentInTime, d.failed = d.urgent+o.urgent, d.urgentInTime+o.urgentInTime, d.failed+o.failed
	d.batch, d.batchInTime = d.batch+o.batch, d.batchInTime+o.batchInTime
}
