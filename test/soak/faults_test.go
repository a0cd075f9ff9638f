package soak

import (
	"fmt"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/config"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/standin/worker"
)

// injector injects the faults of a run. Each fault ends after its duration, and several faults can be in force at the
// same time.
type injector struct {
	*cluster
	wg sync.WaitGroup
	// subjects holds the processes, workers, links and platform services that are under a fault.
	subjects sync.Map
	// trace lists the faults and phases of the run with their virtual times; it is printed when the test fails.
	trace []string
	// mu guards trace, acceptedOffsets and revision.
	mu sync.Mutex
	// acceptedOffsets holds the offsets of the configuration versions whose publication was reported as accepted.
	acceptedOffsets []uint64
	revision        int
}

// runExclusive starts a fault on a subject, unless the subject is already under one: the end of the first fault would
// also undo the second.
func (f *injector) runExclusive(subject string, run func()) {
	if _, taken := f.subjects.LoadOrStore(subject, true); taken {
		return
	}
	f.wg.Go(func() {
		defer f.subjects.Delete(subject)
		run()
	})
}

// tracef adds a line to the trace.
func (f *injector) tracef(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// injectRandom starts one random fault.
func (f *injector) injectRandom() {
	r := f.random
	duration := time.Duration(500+r.IntN(25000)) * time.Millisecond
	id, other, addr := f.randomProc(), f.randomProc(), f.workerAddrs[r.IntN(len(f.workerAddrs))]
	kind, variant := r.IntN(13), r.IntN(3)
	f.tracef("fault %d on %s/%s/%s, variant %d, for %s", kind, id, other, addr, variant, duration)
	switch kind {
	case 0, 1:
		f.runExclusive(id, func() { f.crashAndRestart(id, duration/3) })
	case 2, 3:
		f.runExclusive(id, func() { f.freezeFor(id, duration) })
	case 4:
		f.cutLink(id, other, variant, duration)
	case 5:
		f.cutLink(id, addr, variant, duration)
	case 6:
		f.cutLink(id, []string{"log", "list"}[r.IntN(2)], variant, duration)
	case 7:
		f.runExclusive("log", func() { f.logFault(variant, duration) })
	case 8:
		f.runExclusive("list", func() { f.listFault(variant, duration) })
	case 9:
		f.runExclusive(addr, func() { f.workerFault(addr, worker.Faults{Dead: true}, duration) })
	case 10:
		f.runExclusive(addr, func() {
			f.workerFault(addr, worker.Faults{Frozen: variant < 2, Leaving: variant == 2}, duration)
		})
	case 11:
		f.runExclusive(id, func() { f.replace(id, duration/3) })
	case 12:
		f.publishConcurrently()
		if variant == 0 {
			f.replaceAll()
		}
	}
}

// randomProc returns the id of a random gateway or scheduler.
func (f *injector) randomProc() string {
	n := f.random.IntN(f.gateways + f.schedulers)
	if n < f.gateways {
		return fmt.Sprint("g", n)
	}
	return fmt.Sprint("s", n-f.gateways)
}

// crashAndRestart crashes a process and starts its next incarnation after a pause.
func (f *injector) crashAndRestart(id string, pause time.Duration) {
	p := f.proc(id)
	p.crash()
	<-p.done
	f.sleep(pause)
	f.start(id, p.role)
}

// freezeFor freezes a process for the given duration.
func (f *injector) freezeFor(id string, duration time.Duration) {
	p := f.proc(id)
	p.freeze()
	f.sleep(duration)
	p.unfreeze()
}

// replace stops a process gracefully and starts its next incarnation after a pause.
func (f *injector) replace(id string, pause time.Duration) {
	p := f.proc(id)
	p.stopGracefully()
	<-p.done
	f.sleep(pause)
	f.start(id, p.role)
}

// replaceAll replaces all gateways and schedulers at the same time.
func (f *injector) replaceAll() {
	for i := range f.gateways {
		f.runExclusive(fmt.Sprint("g", i), func() { f.replace(fmt.Sprint("g", i), 0) })
	}
	for i := range f.schedulers {
		f.runExclusive(fmt.Sprint("s", i), func() { f.replace(fmt.Sprint("s", i), 0) })
	}
}

// cutLink cuts the link between two endpoints: variant 0 from a to b, variant 1 from b to a, variant 2 in both
// directions.
func (f *injector) cutLink(a, b string, variant int, duration time.Duration) {
	f.runExclusive(a+"-"+b, func() {
		f.net.setCut(a, b, variant != 1)
		f.net.setCut(b, a, variant != 0)
		f.sleep(duration)
		f.net.setCut(a, b, false)
		f.net.setCut(b, a, false)
	})
}

// logFault injects a fault of the log: an outage, slow calls, or lost calls and answers.
func (f *injector) logFault(variant int, duration time.Duration) {
	f.log.SetFaults([]standin.LogFaults{{Down: true}, {DelayMS: 4000},
		{LostAnswerProbability: 0.4, LostCallProbability: 0.2}}[variant])
	f.sleep(duration)
	f.log.SetFaults(standin.LogFaults{})
}

// listFault injects a fault of the instance list: an outage, stale answers or slow calls.
func (f *injector) listFault(variant int, duration time.Duration) {
	lag := int64(20000)
	f.list.SetFaults([]standin.ListFaults{{Down: true}, {LagMS: &lag}, {DelayMS: 3000}}[variant])
	f.sleep(duration)
	f.list.SetFaults(standin.ListFaults{})
}

func (f *injector) workerFault(addr string, faults worker.Faults, duration time.Duration) {
	f.workers[addr].SetFaults(faults)
	f.sleep(duration)
	f.workers[addr].SetFaults(worker.Faults{})
}

// publishConcurrently lets two operators publish different manifests at the same time.
func (f *injector) publishConcurrently() {
	for range 2 {
		f.mu.Lock()
		f.revision++
		text := f.manifestText(f.revision)
		f.mu.Unlock()
		f.wg.Go(func() {
			offset, err := config.Publish(f.ctx, f.cluster.log,
				config.Proposal{Name: "soak", Manifest: text, Operator: "o", At: time.Now()})
			if err == nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.acceptedOffsets = append(f.acceptedOffsets, offset)
			}
		})
	}
}

// run injects faults for the given duration, waits until all of them have ended and every process runs again, and then
// heals the network.
func (f *injector) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.sleep(time.Duration(f.random.IntN(6000)) * time.Millisecond)
		f.injectRandom()
	}
	f.wg.Wait()
	f.net.heal()
}
