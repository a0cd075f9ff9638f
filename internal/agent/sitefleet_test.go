package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// siteWorker is the worker's side of the protocol. It is guarded by siteFleet.mu.
type siteWorker struct {
	id string
	// The worker's clock reads offset at time 0 and advances at rate.
	offset time.Duration
	rate   float64
	epoch  int64
	// leaseUntil is a reading of the worker's clock.
	leaseUntil time.Duration
	running    map[dispatch.Attempt]siteRun
	highestRun map[workflow.TaskID]int
	ends       []dispatch.End
	lastEnd    int64
	// ended is closed and replaced at each end.
	ended chan struct{}
}

// siteRun is a running attempt. endsAt is 0 for a service.
type siteRun struct{ startedAt, endsAt time.Duration }

func (w *siteWorker) clock(now time.Duration) time.Duration {
	return w.offset + time.Duration(float64(now)*w.rate)
}

// siteFleet holds the workers and checks the rules on their side.
type siteFleet struct {
	mu      sync.Mutex
	workers map[string]*siteWorker
	// running holds the worker of each running task.
	running map[workflow.TaskID]*siteWorker
	// stoppedAt is when a service task that is not running ran last.
	stoppedAt map[workflow.TaskID]time.Duration
	// done counts the successful ends of each task; doneConfirmed holds those whose end was confirmed.
	done          map[workflow.TaskID]int
	doneConfirmed map[workflow.TaskID]bool
	violations    []string
	lapsed        int
	// fenced counts the calls refused by epoch, started the accepted starts.
	fenced, started int
	// shortestLease is the least time that remained of a worker's lease when a call renewed it.
	shortestLease time.Duration
	longestAway   time.Duration
	// longestStall is by how much a goroutine of the test was woken too late.
	longestStall atomic.Int64
}

func newSiteFleet(rng *rand.Rand) *siteFleet {
	f := &siteFleet{workers: map[string]*siteWorker{}, running: map[workflow.TaskID]*siteWorker{},
		stoppedAt: map[workflow.TaskID]time.Duration{}, done: map[workflow.TaskID]int{},
		doneConfirmed: map[workflow.TaskID]bool{}, shortestLease: time.Hour}
	for _, w := range fleet(siteDataCentres, siteWorkers) {
		f.workers[w.ID] = &siteWorker{id: w.ID, offset: time.Duration(rng.Int64N(int64(time.Hour))),
			rate: 0.99 + 0.02*rng.Float64(), running: map[dispatch.Attempt]siteRun{},
			highestRun: map[workflow.TaskID]int{}, ended: make(chan struct{})}
	}
	return f
}

func (f *siteFleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// settle ends the attempts whose work is done or whose lease has expired.
func (f *siteFleet) settle(w *siteWorker, now time.Duration) {
	for a, r := range w.running {
		switch {
		case r.endsAt > 0 && r.endsAt <= now && w.clock(r.endsAt) < w.leaseUntil:
			f.end(w, a, r.endsAt, dispatch.EndDone)
		case w.clock(now) >= w.leaseUntil:
			f.lapsed++
			f.end(w, a, now, dispatch.EndLapsed)
		}
	}
}

func (f *siteFleet) end(w *siteWorker, a dispatch.Attempt, at time.Duration, o dispatch.Outcome) {
	if w.running[a].endsAt == 0 {
		f.stoppedAt[a.Task] = at
	}
	if o == dispatch.EndDone {
		f.done[a.Task]++
	}
	delete(w.running, a)
	delete(f.running, a.Task)
	w.lastEnd++
	w.ends = append(w.ends, dispatch.End{Number: w.lastEnd, Attempt: a, Outcome: o})
	close(w.ended)
	w.ended = make(chan struct{})
}

// run settles all workers at short intervals until ctx ends.
func (f *siteFleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		now := clock.Now()
		for _, w := range f.workers {
			f.settle(w, now)
		}
		for id, at := range f.stoppedAt {
			f.longestAway = max(f.longestAway, now-at)
			if now-at > serviceLimit {
				f.violate("service %s is away for more than %s", id, serviceLimit)
				delete(f.stoppedAt, id)
			}
		}
		f.mu.Unlock()
	}
}

// observeStalls measures until ctx ends how late the machine wakes a goroutine.
func (f *siteFleet) observeStalls(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for ctx.Err() == nil {
		before := clock.Now()
		time.Sleep(interval)
		late := int64(clock.Now() - before - interval)
		for old := f.longestStall.Load(); late > old && !f.longestStall.CompareAndSwap(old, late); {
			old = f.longestStall.Load()
		}
	}
}

// enter begins the handling of a call. It requires f.mu.
func (f *siteFleet) enter(w *siteWorker, epoch int64) (time.Duration, dispatch.CallAnswer, error) {
	now := clock.Now()
	f.settle(w, now)
	a := dispatch.CallAnswer{StartedAt: 1, Clock: w.clock(now)}
	if epoch < w.epoch {
		f.fenced++
		return now, a, &dispatch.RefusedError{Reason: dispatch.ReasonFenced, Answer: a}
	}
	w.epoch = epoch
	return now, a, nil
}

func (f *siteFleet) extend(w *siteWorker, reading, until time.Duration) {
	if until <= w.leaseUntil {
		return
	}
	if len(w.running) > 0 {
		f.shortestLease = min(f.shortestLease, w.leaseUntil-reading)
	}
	w.leaseUntil = until
}

func (f *siteFleet) start(w *siteWorker, c dispatch.StartCall) (dispatch.CallAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, a, err := f.enter(w, c.Epoch)
	if err != nil {
		return a, err
	}
	if _, ok := w.running[c.Attempt]; ok {
		f.extend(w, a.Clock, c.Deadline)
		return a, nil
	}
	switch {
	case c.Run <= w.highestRun[c.Task]:
		return a, &dispatch.RefusedError{Reason: dispatch.ReasonStaleAttempt, Answer: a}
	case c.Deadline <= a.Clock:
		return a, &dispatch.RefusedError{Reason: dispatch.ReasonDeadlinePassed, Answer: a}
	}
	if other := f.running[c.Task]; other != nil {
		if f.settle(other, now); f.running[c.Task] != nil {
			f.violate("%s starts as run %d on %s while it runs on %s", c.Task, c.Run, w.id, other.id)
		}
	}
	if f.doneConfirmed[c.Task] {
		f.violate("%s starts as run %d on %s after its end was confirmed", c.Task, c.Run, w.id)
	}
	r := siteRun{startedAt: now}
	if c.Spec != longRunningSpec {
		d, err := time.ParseDuration(c.Spec)
		if err != nil {
			return a, &dispatch.RefusedError{Reason: dispatch.ReasonInvalid, Answer: a}
		}
		r.endsAt = now + d
	}
	f.extend(w, a.Clock, c.Deadline)
	f.started++
	w.highestRun[c.Task], w.running[c.Attempt], f.running[c.Task] = c.Run, r, w
	delete(f.stoppedAt, c.Task)
	return a, nil
}

func (f *siteFleet) stop(w *siteWorker, c dispatch.StopCall) (dispatch.CallAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, a, err := f.enter(w, c.Epoch)
	if err != nil {
		return a, err
	}
	w.highestRun[c.Task] = max(w.highestRun[c.Task], c.Run)
	if _, ok := w.running[c.Attempt]; ok {
		f.end(w, c.Attempt, now, dispatch.EndStopped)
	}
	return a, nil
}

func (f *siteFleet) limitCPU(w *siteWorker, c dispatch.CPULimitCall) (dispatch.CallAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, a, err := f.enter(w, c.Epoch)
	return a, err
}

// renew answers at an end, or after the wait of the call.
func (f *siteFleet) renew(w *siteWorker, c dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, a, err := f.enter(w, c.Epoch)
	if err != nil {
		return dispatch.LeaseAnswer{}, err
	}
	f.extend(w, a.Clock, c.ExpiresAt)
	for len(w.ends) > 0 && w.ends[0].Number <= c.LastStoredEnd {
		if e := &w.ends[0]; e.Outcome == dispatch.EndDone {
			f.doneConfirmed[e.Task] = true
		}
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && c.Wait > 0 {
		ended := w.ended
		f.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(c.Wait):
		}
		f.mu.Lock()
		f.settle(w, clock.Now())
	}
	now := clock.Now()
	out := dispatch.LeaseAnswer{StartedAt: 1, Clock: w.clock(now), Ends: append([]dispatch.End(nil), w.ends...)}
	for attempt, r := range w.running {
		running := dispatch.Running{Attempt: attempt, Percent: 100}
		if r.endsAt > 0 {
			running.Percent = int(100 * (now - r.startedAt) / max(1, r.endsAt-r.startedAt))
		}
		out.Running = append(out.Running, running)
	}
	return out, nil
}

// countServices returns the number of service tasks that run.
func (f *siteFleet) countServices() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, r := range w.running {
			if r.endsAt == 0 {
				n++
			}
		}
	}
	return n
}

// countFenced returns the number of workers that refuse all epochs before the given one.
func (f *siteFleet) countFenced(epoch int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if w.epoch >= epoch {
			n++
		}
	}
	return n
}

func (f *siteFleet) refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fenced
}

// siteCalls makes the calls of an instance to the workers. A call that its caller has given up still arrives.
type siteCalls struct{ i *siteInstance }

func siteCall[T any](ctx context.Context, i *siteInstance, m dispatch.Member, limit time.Duration,
	receive func(*siteWorker) (T, error)) (T, error) {
	type outcome struct {
		answer T
		err    error
	}
	var zero T
	answered := make(chan outcome, 1)
	latency := time.Millisecond
	if w := i.site.fleet.workers[m.ID]; !strings.HasPrefix(w.id, "w-"+strings.TrimPrefix(i.dataCentre, "dc")) {
		latency = 4 * time.Millisecond
	}
	go func() {
		time.Sleep(latency)
		if !i.pass() {
			return
		}
		a, err := receive(i.site.fleet.workers[m.ID])
		time.Sleep(latency)
		answered <- outcome{a, err}
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	err := context.DeadlineExceeded
	select {
	case o := <-answered:
		if i.pass() {
			return o.answer, o.err
		}
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	i.pass()
	return zero, &dispatch.NoAnswerError{Err: err}
}

func (c *siteCalls) Start(ctx context.Context, m dispatch.Member, call dispatch.StartCall) (dispatch.CallAnswer, error) {
	c.i.starts.Add(1)
	return siteCall(ctx, c.i, m, taskCallTimeout, func(w *siteWorker) (dispatch.CallAnswer, error) {
		return c.i.site.fleet.start(w, call)
	})
}

func (c *siteCalls) Stop(ctx context.Context, m dispatch.Member, call dispatch.StopCall) (dispatch.CallAnswer, error) {
	return siteCall(ctx, c.i, m, taskCallTimeout, func(w *siteWorker) (dispatch.CallAnswer, error) {
		return c.i.site.fleet.stop(w, call)
	})
}

func (c *siteCalls) LimitCPU(ctx context.Context, m dispatch.Member, call dispatch.CPULimitCall) (
	dispatch.CallAnswer, error) {
	return siteCall(ctx, c.i, m, taskCallTimeout, func(w *siteWorker) (dispatch.CallAnswer, error) {
		return c.i.site.fleet.limitCPU(w, call)
	})
}

func (c *siteCalls) Renew(ctx context.Context, m dispatch.Member, call dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	return siteCall(ctx, c.i, m, leaseCallTimeout+call.Wait, func(w *siteWorker) (dispatch.LeaseAnswer, error) {
		return c.i.site.fleet.renew(w, call)
	})
}
