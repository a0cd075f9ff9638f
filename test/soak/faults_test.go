package soak

import (
	"fmt"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/config"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/standin/worker"
)

// injector carries out the faults of a run. Each fault ends by itself, and several can be in force together.
type injector struct {
	*cluster
	wg    sync.WaitGroup
	busy  sync.Map
	trace []string
	// versions holds the offsets of the publications that were reported as accepted.
	mu       sync.Mutex
	versions []uint64
	revision int
}

// hold marks a subject as under a fault, so that two faults do not undo each other.
func (f *injector) hold(subject string, run func()) {
	if _, taken := f.busy.LoadOrStore(subject, true); taken {
		return
	}
	f.wg.Go(func() {
		defer f.busy.Delete(subject)
		run()
	})
}

func (f *injector) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// strike begins one fault.
func (f *injector) strike() {
	r := f.random
	length := time.Duration(500+r.IntN(25000)) * time.Millisecond
	id, other, addr := f.anyProc(), f.anyProc(), f.addrs[r.IntN(len(f.addrs))]
	choice, way := r.IntN(13), r.IntN(3)
	f.note("fault %d on %s/%s/%s way %d for %s", choice, id, other, addr, way, length)
	switch choice {
	case 0, 1:
		f.hold(id, func() { f.crash(id, length/3) })
	case 2, 3:
		f.hold(id, func() { f.frozen(id, length) })
	case 4:
		f.cutFor(id, other, way, length)
	case 5:
		f.cutFor(id, addr, way, length)
	case 6:
		f.cutFor(id, []string{"log", "list"}[r.IntN(2)], way, length)
	case 7:
		f.hold("log", func() { f.logFault(way, length) })
	case 8:
		f.hold("list", func() { f.listFault(way, length) })
	case 9:
		f.hold(addr, func() { f.workerFault(addr, worker.Faults{Dead: true}, length) })
	case 10:
		f.hold(addr, func() { f.workerFault(addr, worker.Faults{Frozen: way < 2, Leaving: way == 2}, length) })
	case 11:
		f.hold(id, func() { f.replace(id, length/3) })
	case 12:
		f.publishTwice()
		if way == 0 {
			f.replaceAll()
		}
	}
}

func (f *injector) anyProc() string {
	n := f.random.IntN(f.gateways + f.schedulers)
	if n < f.gateways {
		return fmt.Sprint("g", n)
	}
	return fmt.Sprint("s", n-f.gateways)
}

func (f *injector) crash(id string, pause time.Duration) {
	p := f.proc(id)
	p.crash()
	<-p.done
	f.sleep(pause)
	f.start(id, p.role)
}

func (f *injector) frozen(id string, length time.Duration) {
	p := f.proc(id)
	p.freeze()
	f.sleep(length)
	p.thaw()
}

// replace stops a process as planned and starts its successor.
func (f *injector) replace(id string, pause time.Duration) {
	p := f.proc(id)
	p.leave()
	<-p.done
	f.sleep(pause)
	f.start(id, p.role)
}

func (f *injector) replaceAll() {
	for i := range f.gateways {
		f.hold(fmt.Sprint("g", i), func() { f.replace(fmt.Sprint("g", i), 0) })
	}
	for i := range f.schedulers {
		f.hold(fmt.Sprint("s", i), func() { f.replace(fmt.Sprint("s", i), 0) })
	}
}

// cutFor cuts one or both directions between two ends.
func (f *injector) cutFor(a, b string, way int, length time.Duration) {
	f.hold(a+"-"+b, func() {
		f.net.cut(a, b, way != 1)
		f.net.cut(b, a, way != 0)
		f.sleep(length)
		f.net.cut(a, b, false)
		f.net.cut(b, a, false)
	})
}

func (f *injector) logFault(way int, length time.Duration) {
	f.log.SetFaults([]standin.LogFaults{{Down: true}, {DelayMS: 4000}, {LoseAnswers: 0.4, LoseCalls: 0.2}}[way])
	f.sleep(length)
	f.log.SetFaults(standin.LogFaults{})
}

func (f *injector) listFault(way int, length time.Duration) {
	lag := int64(20000)
	f.list.SetFaults([]standin.ListFaults{{Down: true}, {LagMS: &lag}, {DelayMS: 3000}}[way])
	f.sleep(length)
	f.list.SetFaults(standin.ListFaults{})
}

func (f *injector) workerFault(addr string, faults worker.Faults, length time.Duration) {
	f.workers[addr].SetFaults(faults)
	f.sleep(length)
	f.workers[addr].SetFaults(worker.Faults{})
}

// publishTwice lets two operators race.
func (f *injector) publishTwice() {
	for range 2 {
		f.mu.Lock()
		f.revision++
		text := f.manifestText(f.revision)
		f.mu.Unlock()
		f.wg.Go(func() {
			offset, err := config.Publish(f.ended, f.cluster.log, config.Proposal{Name: "soak", Manifest: text, Operator: "o", At: time.Now()})
			if err == nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.versions = append(f.versions, offset)
			}
		})
	}
}

// run strikes for the given time, then ends all faults and waits until every process runs again.
func (f *injector) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		f.sleep(time.Duration(f.random.IntN(6000)) * time.Millisecond)
		f.strike()
	}
	f.wg.Wait()
	f.net.heal()
}
