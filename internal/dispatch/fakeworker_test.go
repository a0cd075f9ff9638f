package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// fakeWorker implements the worker's side of the protocol: it refuses earlier owners, runs attempts while it has a
// lease, and keeps ends until they are confirmed.
type fakeWorker struct {
	id           string
	startedAt    int64
	bornAt       time.Duration
	highestEpoch int64
	pool         string
	dataCentre   string
	rack         string
	coldFor      time.Duration
	labels       []string
	// leaseUntil is the reading of the worker's clock at which its lease ends.
	leaseUntil time.Duration
	running    map[Attempt]*fakeRun
	// highestRun is the highest run of each task that was started or stopped.
	highestRun map[workflow.TaskID]int
	ends       []End
	// lapsedEnd is the number of the newest end when the lease last expired. The tasks of ends up to it may since have
	// been started elsewhere.
	lapsedEnd    int64
	lastEnd      int64
	disconnected bool
	// stalled stops the progress of all attempts.
	stalled bool
	// failsAttempts makes every attempt fail at its end.
	failsAttempts bool
	// addr is the address, which a successor takes over.
	addr string
	// unhealthy makes the worker refuse starts, which unhealthyRefusals counts.
	unhealthy         bool
	unhealthyRefusals int
	// crashed is set once the worker has closed its connections; answers on their way are lost.
	crashed  bool
	capacity resource.Vector
	// enforcesCapacity makes the worker refuse starts for which it has no room.
	enforcesCapacity bool
	// noRoomRefusals counts the starts refused for lack of room.
	noRoomRefusals int
}

// listedEnds is the number of ends in one answer of a real worker, fewListedEnds a number that is reached often.
const (
	listedEnds    = 500
	fewListedEnds = 5
)

// stopTime is how long an attempt runs on after a stop.
const stopTime = 200 * time.Millisecond

// maxCopyDelay is how long after the confirmed end of a task another attempt of a speculative step may start.
const maxCopyDelay = time.Second

type fakeRun struct {
	step        *workflow.Step
	stopping    bool
	endsAt      time.Duration
	started     time.Duration
	checkpoint  string
	longRunning bool
	// cpuLimit is the percentage of its processors that the attempt may use; 0 for no limit.
	cpuLimit int
	// workTime is the run time without interruptions; waitedForGang is how long other tasks of the gang were missing.
	workTime      time.Duration
	waitedForGang time.Duration
}

// cpuShare returns the share of its processors that the attempt may use.
func (r *fakeRun) cpuShare() float64 {
	if r.cpuLimit == 0 {
		return 1
	}
	return float64(r.cpuLimit) / 100
}

// percent returns the progress of an attempt; 100 for a long-running task.
func (r *fakeRun) percent(now time.Duration) int {
	if r.longRunning {
		return 100
	}
	return int(100 * (r.workTime - (r.endsAt - now)) / max(1, r.workTime))
}

func (sim *simulation) refuse(f *fakeWorker, r Reason) (CallAnswer, error) {
	a := CallAnswer{Clock: sim.clock(f), StartedAt: f.startedAt}
	return a, &RefusedError{Reason: r, Answer: a}
}

func (sim *simulation) start(f *fakeWorker, c StartCall) (CallAnswer, error) {
	switch {
	case c.Epoch < f.highestEpoch:
		return sim.refuse(f, ReasonFenced)
	case f.unhealthy:
		f.unhealthyRefusals++
		return sim.refuse(f, ReasonUnhealthy)
	case f.running[c.Attempt] != nil:
		sim.extendLease(f, c.Deadline)
		return CallAnswer{Clock: sim.clock(f), StartedAt: f.startedAt}, nil
	case c.Run <= f.highestRun[c.Task]:
		return sim.refuse(f, ReasonStaleAttempt)
	case c.Deadline <= sim.clock(f):
		return sim.refuse(f, ReasonDeadlinePassed)
	case !sim.ticketValid(f, c.Ticket):
		sim.ticketsRefused++
		return sim.refuse(f, ReasonTicket)
	}
	f.highestEpoch = c.Epoch
	sim.extendLease(f, c.Deadline)
	step := &sim.steps[c.Task.Job][c.Task.Step]
	if f.enforcesCapacity && !sim.reservedWith(f, step).Fits(f.capacity) {
		f.noRoomRefusals++
		return sim.refuse(f, ReasonNoRoom)
	}
	sim.checkStart(f, c, step)
	f.highestRun[c.Task] = c.Run
	work := step.Estimate
	if sim.workTime != nil {
		work = sim.workTime(f, c.Attempt, step)
	}
	f.running[c.Attempt] = &fakeRun{step: step, started: sim.now, endsAt: sim.now + work, workTime: work, longRunning: step.LongRunning}
	if saved, err := strconv.ParseInt(c.Checkpoint, 10, 64); err == nil && sim.checkpointInterval > 0 {
		f.running[c.Attempt].endsAt -= time.Duration(saved) * time.Millisecond
	}
	if step.LongRunning {
		f.running[c.Attempt].endsAt = sim.now + time.Hour
	}
	if delay, ok := sim.crashDelays[c.Task]; ok {
		sim.schedule(delay, func() {
			if sim.workers[f.id] == f && f.running[c.Attempt] != nil {
				sim.crash(f)
			}
		})
	}
	return CallAnswer{Clock: sim.clock(f), StartedAt: f.startedAt}, nil
}

// lostToRacks returns the part of a tick in which an attempt makes no progress because of its rack or those of its gang.
func (sim *simulation) lostToRacks(f *fakeWorker, a Attempt, s *workflow.Step) time.Duration {
	far := s.DataRack != "" && s.DataRack != f.rack
	if s.Gang && s.SameRack {
		sim.forEachMember(a, func(o *fakeWorker, _ Attempt) { far = far || o.rack != f.rack })
	}
	if !far || sim.remoteSlowdown <= 1 {
		return 0
	}
	return time.Duration(float64(tick) * (1 - 1/sim.remoteSlowdown))
}

// extendLease extends a lease to a reading of the worker's clock, at most by the longest lease.
func (sim *simulation) extendLease(f *fakeWorker, until time.Duration) {
	f.leaseUntil = max(f.leaseUntil, min(until, sim.clock(f)+sim.params.MaxLease))
}

// reservedWith returns what the tasks of a worker reserve together with another one.
func (sim *simulation) reservedWith(f *fakeWorker, s *workflow.Step) resource.Vector {
	used := s.Reserved()
	for _, r := range f.running {
		used = used.Add(r.step.Reserved())
	}
	return used
}

// checkStart asserts the invariants that hold when a task starts.
func (sim *simulation) checkStart(f *fakeWorker, c StartCall, s *workflow.Step) {
	require.True(sim.t, sim.reservedWith(f, s).Fits(f.capacity), "worker %s is overcommitted by %s", f.id, c.Task)
	require.True(sim.t, s.Label == "" || slices.Contains(f.labels, s.Label), "%s starts on %s without label %s", c.Task,
		f.id, s.Label)
	sim.closures.checkStart(sim, f, c.Attempt)
	require.Equal(sim.t, testPool, f.pool, "%s starts on %s, which belongs to another pool", c.Task, f.id)
	confirmedAt, confirmed := sim.doneConfirmed[c.Task]
	require.False(sim.t, confirmed && (!s.Speculative || sim.now-confirmedAt > maxCopyDelay),
		"%s starts after its end was confirmed", c.Task)
	if s.Speculative {
		require.Greater(sim.t, c.Run, sim.startedRun[c.Task], "%s starts with a run number that was used", c.Task)
		sim.startedRun[c.Task] = c.Run
	}
	for _, other := range sim.workers {
		for a := range other.running {
			if s.Speculative && other != f && !s.Gang && !s.LongRunning {
				if a.Task == c.Task {
					sim.pairs++
				}
				continue
			}
			if a.Task == c.Task {
				require.Fail(sim.t, "task runs twice", "%s: run %d on %s and run %d on %s", c.Task, a.Run, other.id, c.Run, f.id)
			}
		}
	}
	for _, after := range s.After {
		required := &sim.steps[c.Task.Job][after]
		for _, o := range sim.workers {
			for a := range o.running {
				if a.Task.Job != c.Task.Job || a.Task.Round != c.Task.Round || a.Task.Step != after ||
					a.Task.Index >= required.Count || required.Speculative && sim.doneReported[a.Task] {
					continue
				}
				require.Fail(sim.t, "task starts too early", "%s starts while %s runs", c.Task, a.Task)
			}
		}
	}
}

func (sim *simulation) stop(f *fakeWorker, c StopCall) (CallAnswer, error) {
	if c.Epoch < f.highestEpoch {
		return sim.refuse(f, ReasonFenced)
	}
	f.highestEpoch = c.Epoch
	f.highestRun[c.Task] = max(f.highestRun[c.Task], c.Run)
	if r := f.running[c.Attempt]; r != nil && !r.stopping {
		r.stopping = true
		sim.schedule(stopTime, func() {
			if f.running[c.Attempt] == r {
				f.end(c.Attempt, EndStopped)
			}
		})
	}
	return CallAnswer{Clock: sim.clock(f), StartedAt: f.startedAt}, nil
}

func (sim *simulation) renew(f *fakeWorker, c LeaseCall) (LeaseAnswer, error) {
	if c.Epoch < f.highestEpoch {
		_, err := sim.refuse(f, ReasonFenced)
		return LeaseAnswer{}, err
	}
	f.highestEpoch = c.Epoch
	sim.extendLease(f, c.ExpiresAt)
	for len(f.ends) > 0 && f.ends[0].Number <= c.LastStoredEnd {
		if f.ends[0].Outcome == EndDone && f.ends[0].Number > f.lapsedEnd {
			if _, ok := sim.doneConfirmed[f.ends[0].Task]; !ok {
				sim.doneConfirmed[f.ends[0].Task] = sim.now
			}
		}
		f.ends = f.ends[1:]
	}
	return sim.list(f), nil
}

// list returns the answer to a lease call with the current lists of a worker.
func (sim *simulation) list(f *fakeWorker) LeaseAnswer {
	a := LeaseAnswer{StartedAt: f.startedAt, Clock: sim.clock(f),
		Ends: append([]End(nil), f.ends[:min(len(f.ends), sim.listedEnds)]...), MoreEnds: len(f.ends) >= sim.listedEnds}
	rate := 0.0
	if sim.contention != nil {
		rate = sim.contention.rate(f)
	}
	for attempt, r := range f.running {
		running := Running{Attempt: attempt, Percent: r.percent(sim.now), Checkpoint: r.checkpoint}
		if sim.reportedLoad != nil {
			running.Load = sim.reportedLoad(attempt)
		}
		if sim.contention != nil {
			running.Load = sim.contention.load(f, attempt, rate)
		}
		a.Running = append(a.Running, running)
	}
	return a
}
