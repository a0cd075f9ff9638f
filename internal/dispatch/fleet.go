package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/headroom"
	"clementinewalk.example/clementinewalk/internal/locality"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workerhealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// worker is the owner's view of one worker.
type worker struct {
	Member
	// closed reports whether the data centre of the worker is closed.
	closed bool
	// coldUntil is the time until which the worker is slow after its start.
	coldUntil time.Duration
	// listed reports whether the worker list contains the worker.
	listed bool
	// describedIncarnation is the StartedAt of the entry from which the other fields of Member were taken. It is earlier
	// than that of Member while the entry of the newest incarnation has not been read.
	describedIncarnation int64
	// ignoredStart is the StartedAt of the newest entry or answer that was ignored as that of an earlier incarnation.
	ignoredStart int64
	// ended holds the StartedAt of the incarnations that are known to have ended; nil if there are none.
	ended map[int64]struct{}
	// announced is the entry of a later incarnation that no answer has confirmed or refuted yet; nil if there is none. The worker is
	// not fenced meanwhile. announcements counts such entries.
	announced     *Member
	announcements int
	// fencedIncarnation is the StartedAt of the newest incarnation that has answered a lease call of this owner. It refuses
	// calls of earlier owners for its whole life.
	fencedIncarnation int64
	// fenced reports whether this incarnation of the worker has answered a lease call of this owner, and so refuses
	// calls of earlier owners. It is cleared when the lease of the worker expires or the worker has restarted.
	fenced bool
	tasks  map[*task]struct{}
	// bestEffort is the number of best-effort tasks among them, latencyCritical that of services with an objective.
	bestEffort, latencyCritical int
	// longRunning is what the long-running tasks among them reserve.
	longRunning resource.Vector
	// node is the worker as a placement candidate; it tracks the resources that its tasks reserve and request.
	node assign.Node
	// services counts the tasks of services with an objective, by step.
	services map[*step]int
	// load is what its tasks request, for the bound on best-effort work.
	load headroom.Load
	// clockReading is the newest reading of the worker's clock that an answer carried; clockReadAt is when the answer
	// was received.
	clockReading time.Duration
	clockReadAt  time.Duration
	// leaseEnd is the time by which every lease that the worker can hold has expired.
	leaseEnd time.Duration
	// appliedEnd, confirmedEnd and sentConfirmation are the numbers of the newest end that was applied, that is
	// stored, and whose storage was confirmed to the worker. receivedConfirmation is that of the newest confirmation that
	// the worker has answered. It is not sent again: a later incarnation would discard ends that were not read.
	appliedEnd, confirmedEnd, sentConfirmation, receivedConfirmation int64
	endMarks                                                         []endMark
	// askedAt is when the newest lease call that was answered was sent. heardAt is when the newest answer was handled that was
	// not held back, heardIn the step. holdsCall is set while the worker, which had been heard before, holds a lease call.
	askedAt   time.Duration
	heardAt   time.Duration
	heardIn   int64
	holdsCall bool
	// silence is the state of the record that the worker does not answer; silenceBatch is the status batch that removes
	// the record.
	silence      silence
	silenceBatch int64
	leaseSentAt  time.Duration
	answeredAt   time.Duration
	// failingSince is when a lease call first failed after the last answer; 0 if none has.
	failingSince time.Duration
	// connectionLost reports whether that call failed because the connection was closed or refused.
	connectionLost bool
	// retryInterval is the time between two lease calls while they fail; 0 otherwise.
	retryInterval time.Duration
	// succeeded is set once another incarnation has answered at the worker's address.
	succeeded bool
	// lost holds attempts whose lease expired at lostAt while it was unknown whether the worker had crashed.
	lost   []lostAttempt
	lostAt time.Duration
	// health is what the tasks and calls of the worker show. probationLogged is set once the probation after its newest exclusion
	// was logged.
	health          workerhealth.Worker
	probationLogged bool
	// clockOffset is the least difference of the local time and the worker's clock when an answer was received; valid if
	// clockOffsetAt is not 0. answerAge is how much later the newest answer was received than those that took the least time.
	clockOffset, clockOffsetAt, answerAge time.Duration
	// sharedAt is when the tasks on the worker were last seen to request more processors than it has.
	sharedAt time.Duration
	// worstTailRatio is the highest ratio of tail latency to objective among the services on the worker.
	worstTailRatio float64
	// freed tracks the processors that tasks have freed by their end, in thousandths of a core. near tracks what tasks with
	// their data in the rack have used, in thousandths of a core times seconds.
	freed, near locality.Meter
	// nextTurn is the time from which the worker may take a turn of another submission.
	nextTurn time.Duration
	// nextPreemption is the earliest time at which tasks on it are stopped for others again.
	nextPreemption time.Duration
}

// silence is the state of the stored record that a worker does not answer. While the record exists, the worker gets no
// lease, because a later owner relies on that.
type silence uint8

const (
	silenceNone silence = iota
	// silenceRecorded: the record is stored or about to be.
	silenceRecorded
	// silenceClearing: the worker answers again or has no tasks, and the status batch that removes the record is not
	// stored yet.
	silenceClearing
)

// mayLease reports whether the worker may be granted a lease, which ends at a reading of its clock.
func (w *worker) mayLease() bool {
	return w.fenced && w.clockReadAt != 0 && w.failingSince == 0 && w.silence == silenceNone
}

// silenceThreshold is how long a worker with tasks must not answer before its silence is recorded.
const silenceThreshold = 800 * time.Millisecond

// silentWorkerBytes is the most that the record of a silent worker takes in addition to its id.
const silentWorkerBytes = 32

// recordSilence updates the silence of all workers, and returns the entry to store if any has changed. The entry lists
// all silent workers.
func (c *Core) recordSilence(now time.Duration) (eventlog.Entry, bool) {
	silent := map[string]catalog.SilentWorker{}
	changed, bytes := c.silenceRejected, 0
	for w := range c.unresponsive {
		unresponsive := w.failingSince != 0 && now-w.failingSince >= silenceThreshold && len(w.tasks) > 0
		switch {
		case w.silence == silenceNone && unresponsive:
			w.silence, changed = silenceRecorded, true
		case w.silence == silenceRecorded && (w.failingSince == 0 && w.fenced || len(w.tasks) == 0):
			w.silence, changed = silenceClearing, true
		case w.silence == silenceNone && w.failingSince == 0:
			delete(c.unresponsive, w)
		}
		// A worker that is left out of a record that would be too long counts as having got leases until now.
		if w.silence == silenceRecorded && bytes+len(w.ID)+silentWorkerBytes <= c.params.recordBytes() {
			bytes += len(w.ID) + silentWorkerBytes
			end := w.leaseEnd
			for t := range w.tasks {
				end = max(end, t.longestLeaseEnd(c.params.MaxLease))
			}
			silent[w.ID] = catalog.SilentWorker{StartedAt: w.StartedAt, Remaining: max(0, end-now)}
		}
	}
	if !changed {
		return eventlog.Entry{}, false
	}
	e, err := catalog.SilentEntry(silent)
	if err != nil {
		c.logger.Error("cannot encode silent workers", "error", err)
		return eventlog.Entry{}, false
	}
	c.silenceRejected = false
	c.logger.Info("silent workers recorded", "count", len(silent))
	return e, true
}

// clearSilence allows leases again for the workers whose record of silence was removed with the status batch or an
// earlier one.
func (c *Core) clearSilence(batch int64) {
	for w := range c.unresponsive {
		if w.silence == silenceClearing && w.silenceBatch <= batch {
			w.silence = silenceNone
		}
	}
}

// endMark records that a batch, and those before it, contain all ends up to a number.
type endMark struct{ batch, number int64 }

// worker returns the worker with an id and adds it if necessary. A worker may be known only from records, without an
// entry in the worker list.
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{Member: Member{Incarnation: Incarnation{ID: id}}, tasks: map[*task]struct{}{}, services: map[*step]int{},
			node: assign.Node{Services: map[string]int{}}, load: headroom.Load{BestEffort: map[string]int64{}}}
		c.workers[id] = w
		c.callable[w] = struct{}{}
	}
	return w
}

func (w *worker) addTask(t *task) {
	t.phase = workflow.Placed
	t.worker = w
	w.tasks[t] = struct{}{}
	w.node.Reserved = w.node.Reserved.Add(t.reserved())
	if t.step.def.LongRunning {
		w.longRunning = w.longRunning.Add(t.reserved())
	}
	w.adjustCounts(t, 1)
}

func (w *worker) removeTask(t *task) {
	delete(w.tasks, t)
	w.node.Reserved = w.node.Reserved.Sub(t.reserved())
	if t.step.def.LongRunning {
		w.longRunning = w.longRunning.Sub(t.reserved())
	}
	w.adjustCounts(t, -1)
}

// maxRequestedMilliCores is the most that a task is taken to request, more than any worker has. Sums of absurd requests
// do not overflow.
const maxRequestedMilliCores = 1_000_000

func requestedMilliCores(s *workflow.Step) int64 {
	return min(s.Size.MilliCores, maxRequestedMilliCores)
}

// adjustCounts adds n tasks like t to the counts and requests of the worker, except its reserved resources.
func (w *worker) adjustCounts(t *task, n int) {
	d := t.step.def
	requested := int64(n) * requestedMilliCores(d)
	if d.BestEffort {
		w.bestEffort += n
	}
	if latencyCritical(d) {
		w.latencyCritical += n
	}
	switch {
	case d.BestEffort:
		w.node.BestEffort += requested
		w.load.BestEffort[d.Image] += requested
		if w.load.BestEffort[d.Image] == 0 {
			delete(w.load.BestEffort, d.Image)
		}
	case latencyCritical(d):
		w.load.Services += requested
		w.services[t.step] += n
		if w.services[t.step] == 0 {
			delete(w.services, t.step)
		}
		w.node.Services[d.Image] += n
		if w.node.Services[d.Image] == 0 {
			delete(w.node.Services, d.Image)
		}
	default:
		w.load.Exclusive += requested
	}
}

func (w *worker) extendLease(to time.Duration) { w.leaseEnd = max(w.leaseEnd, to) }

// unschedulable reports whether the worker must get no new task.
func (w *worker) unschedulable() bool { return w.closed || w.unavailable() }

// unavailable reports whether the worker must get no new task, whether or not its data centre is closed.
func (w *worker) unavailable() bool {
	return !w.listed || w.Leaving || !w.fenced || w.silence != silenceNone || w.describedIncarnation != w.StartedAt
}

// overcommitted reports whether the tasks of the worker reserve more than its capacity, which may shrink.
func (w *worker) overcommitted() bool { return !w.node.Reserved.Fits(w.Capacity) }

// grantLease extends the lease that the worker is assumed to hold, and returns the reading of its clock at which a
// lease granted by a call sent now ends.
func (w *worker) grantLease(now, lease time.Duration) time.Duration {
	// The worker's clock has advanced by at least this much since its reading.
	passed := time.Duration(float64(now-w.clockReadAt) / driftFactor)
	w.extendLease(w.clockReadAt + withDrift(passed+lease))
	return w.clockReading + passed + lease
}

func (w *worker) observeClock(now, reading time.Duration) {
	// A clock that runs slow falls behind.
	offset := now - reading
	if w.clockOffsetAt != 0 {
		offset = min(offset, w.clockOffset+time.Duration(clockDrift*float64(now-w.clockOffsetAt)))
	}
	w.clockOffset, w.clockOffsetAt = offset, now
	w.answerAge = now - reading - offset
	if reading > w.clockReading || w.clockReadAt == 0 {
		w.clockReading, w.clockReadAt = reading, now
	}
}

// markBatch records that a batch contains all ends applied so far, unless some changed submissions are left for a later
// batch.
func (w *worker) markBatch(batch int64, dirty map[*job]struct{}) {
	if len(dirty) > 0 {
		return
	}
	last := w.confirmedEnd
	if n := len(w.endMarks); n > 0 {
		last = w.endMarks[n-1].number
	}
	if w.appliedEnd > last {
		w.endMarks = append(w.endMarks, endMark{batch: batch, number: w.appliedEnd})
	}
}

// confirmEnds notes that a batch is stored, so that its ends are confirmed with the next lease call.
func (w *worker) confirmEnds(batch int64) {
	for len(w.endMarks) > 0 && w.endMarks[0].batch <= batch {
		w.confirmedEnd = w.endMarks[0].number
		w.endMarks = w.endMarks[1:]
	}
}

// confirmEnds notes that a batch is stored on all workers with unconfirmed ends.
func (c *Core) confirmEnds(batch int64) {
	for w := range c.unconfirmed {
		w.confirmEnds(batch)
		if len(w.endMarks) == 0 && w.confirmedEnd == w.appliedEnd {
			delete(c.unconfirmed, w)
		}
	}
}

// SetMember applies an entry of the worker list.
func (c *Core) SetMember(now time.Duration, m Member) {
	w := c.worker(m.ID)
	if w.mustConfirm(m.StartedAt) {
		c.announce(w, m)
		return
	}
	if !c.observeIncarnation(now, w, m.StartedAt, 0) {
		return
	}
	w.announced = nil
	if w.listed && !w.Leaving && m.Leaving {
		c.logger.Info("worker leaving", "worker", m.ID, "tasks", len(w.tasks))
	}
	if !w.listed {
		c.logger.Info("worker listed", "worker", m.ID, "born", m.StartedAt, "data_centre", m.DataCentre)
		w.retryInterval = 0
	}
	// Free room is computed without overflow from a capacity that is not negative.
	m.Capacity = m.Capacity.Max(resource.Vector{})
	described := w.describedIncarnation == m.StartedAt
	w.Member, w.listed, w.describedIncarnation, c.planNeeded = m, true, m.StartedAt, true
	w.closed, w.coldUntil = c.closed.Contains(m.DataCentre), now+m.ColdFor
	if !described {
		c.stopUnsuited(w)
	}
}

// DropMember marks a worker as no longer listed. It gets no new tasks; its tasks run on while it answers lease calls.
func (c *Core) DropMember(id string) {
	if w := c.workers[id]; w != nil && w.listed {
		w.listed = false
		c.logger.Info("worker no longer listed", "worker", id, "tasks", len(w.tasks))
	}
}

// Listed returns the ids of the listed workers.
func (c *Core) Listed() []string {
	var ids []string
	for id, w := range c.workers {
		if w.listed {
			ids = append(ids, id)
		}
	}
	return ids
}

// Members returns the workers that get calls: the listed ones, and others while they have tasks.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.workers))
	for _, w := range c.workers {
		if w.Addr != "" {
			out = append(out, w.Member)
		}
	}
	return out
}
