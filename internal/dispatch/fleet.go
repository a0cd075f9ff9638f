package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// worker is what the owner knows of one worker.
type worker struct {
	Member
	// listed tells that the list names the worker.
	listed bool
	// fenced tells that this lifetime has answered this owner, so that it refuses earlier owners.
	fenced bool
	tasks  map[*task]struct{}
	// node is the worker as a candidate; it holds what the tasks occupy and ask for.
	node assign.Node
	// clock is the worker's newest reading, taken no earlier than the answer to it was sent; clockAt is the time of receipt.
	clock   time.Duration
	clockAt time.Duration
	// lapse is the time by which every lease that the worker can hold has ended.
	lapse time.Duration
	// applied, sealed and confirmed number the newest end that was taken over, that is in a batch, and that is stored.
	applied, confirmed, sent int64
	seals                    []seal
	// silence is what the log says of the worker's answers.
	silence      silence
	silenceBatch int64
	renewing     bool
	renewedAt    time.Duration
	answeredAt   time.Duration
	failingSince time.Duration
	retry        time.Duration
	// Figures for the choice of workers.
	failedInRow int
	quarantine  time.Duration
	fullUntil   time.Duration
	pressure    float64
}

// silence is how far the statement that a worker does not answer is stored. While it stands, a later owner relies on it, so the worker gets no
// lease.
type silence uint8

const (
	silenceNone silence = iota
	// silenceStated: the statement is stored or on its way.
	silenceStated
	// silenceEnding: the worker answers again, and that is to be stored.
	silenceEnding
)

// mayLease reports whether the worker may be given a lease.
func (w *worker) mayLease() bool { return w.fenced && w.failingSince == 0 && w.silence == silenceNone }

// stateAfter is how long a worker with tasks must be silent until that is stored.
const stateAfter = 800 * time.Millisecond

// stateSilence keeps the statements up to date, and returns the entry to store if one has changed.
func (c *Core) stateSilence(now time.Duration) (eventlog.Entry, bool) {
	stated := map[string]catalog.SilentWorker{}
	changed := false
	for id, w := range c.workers {
		failing := w.failingSince != 0 && now-w.failingSince >= stateAfter && len(w.tasks) > 0
		switch {
		case w.silence == silenceNone && failing:
			w.silence, changed = silenceStated, true
		case w.silence == silenceStated && (w.failingSince == 0 && w.fenced || len(w.tasks) == 0):
			w.silence, changed = silenceEnding, true
		}
		if w.silence == silenceStated {
			stated[id] = catalog.SilentWorker{Born: w.Born, Left: max(0, w.lapse-now)}
		}
	}
	if !changed {
		return eventlog.Entry{}, false
	}
	e, err := catalog.SilentEntry(stated)
	if err != nil {
		c.logger.Error("silent workers not encoded", "error", err)
		return eventlog.Entry{}, false
	}
	c.logger.Info("silent workers stated", "count", len(stated))
	return e, true
}

// endSilence lets workers have leases again whose answer is stored.
func (c *Core) endSilence(batch int64) {
	for _, w := range c.workers {
		if w.silence == silenceEnding && w.silenceBatch <= batch {
			w.silence = silenceNone
		}
	}
}

type seal struct{ batch, number int64 }

// worker returns the worker with an id, which may be known from records only.
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{Member: Member{Lifetime: Lifetime{ID: id}}, tasks: map[*task]struct{}{},
			node: assign.Node{Services: map[string]int{}}}
		c.workers[id] = w
	}
	return w
}

func (w *worker) hold(t *task) {
	t.phase = workflow.Placed
	t.worker = w
	w.tasks[t] = struct{}{}
	w.node.Reserved = w.node.Reserved.Add(t.reserved())
	w.tally(t, 1)
}

func (w *worker) drop(t *task) {
	delete(w.tasks, t)
	w.node.Reserved = w.node.Reserved.Sub(t.reserved())
	w.tally(t, -1)
}

func (w *worker) tally(t *task, n int) {
	d := t.step.def
	if d.BestEffort {
		w.node.BestEffort += int64(n) * d.Size.MilliCores
	}
	if !latencyCritical(d) {
		return
	}
	w.node.Services[d.Image] += n
	if w.node.Services[d.Image] == 0 {
		delete(w.node.Services, d.Image)
	}
}

func (w *worker) extend(to time.Duration) { w.lapse = max(w.lapse, to) }

// unusable reports whether the worker must get no new task.
func (w *worker) unusable() bool {
	return !w.listed || w.Leaving || !w.fenced || w.silence != silenceNone
}

// until returns the clock reading up to which a call that is sent now grants a lease, and counts it for the lapse.
func (w *worker) until(now, lease time.Duration) time.Duration {
	// The worker's clock has advanced by at least this much since its reading.
	passed := time.Duration(float64(now-w.clockAt) / driftFactor)
	w.extend(w.clockAt + withDrift(passed+lease))
	return w.clock + passed + lease
}

func (w *worker) takeClock(now, reading time.Duration) {
	if reading > w.clock {
		w.clock, w.clockAt = reading, now
	}
}

// seal notes that everything taken over so far is in a batch, unless a submission is still to be stored.
func (w *worker) seal(batch int64, dirty map[*job]struct{}) {
	if len(dirty) > 0 {
		return
	}
	last := w.confirmed
	if n := len(w.seals); n > 0 {
		last = w.seals[n-1].number
	}
	if w.applied > last {
		w.seals = append(w.seals, seal{batch: batch, number: w.applied})
	}
}

func (w *worker) commit(batch int64) {
	for len(w.seals) > 0 && w.seals[0].batch <= batch {
		w.confirmed = w.seals[0].number
		w.seals = w.seals[1:]
	}
}

// SetMember takes a worker's entry over.
func (c *Core) SetMember(now time.Duration, m Member) {
	w := c.worker(m.ID)
	// An entry that was written before the newest start of the worker tells nothing.
	if m.Born < w.Born {
		return
	}
	if m.Born > w.Born && w.Born != 0 {
		c.reborn(now, w, m.Born)
	}
	if w.listed && !w.Leaving && m.Leaving {
		c.logger.Info("worker leaving", "worker", m.ID, "tasks", len(w.tasks))
	}
	if !w.listed {
		c.logger.Info("worker listed", "worker", m.ID, "born", m.Born, "data_centre", m.DataCentre)
		w.retry = 0
	}
	w.Member, w.listed, c.changed = m, true, true
	c.forgetLifetimes(now, w)
}

// forgetLifetimes frees the tasks that records place on an earlier lifetime of the worker.
func (c *Core) forgetLifetimes(now time.Duration, w *worker) {
	for t := range w.tasks {
		if t.born != 0 && t.born < w.Born {
			c.lost(now, t, "worker restarted")
		}
	}
}

// DropMember tells that a worker is no longer listed. Its tasks run on until their lease has ended.
func (c *Core) DropMember(id string) {
	if w := c.workers[id]; w != nil && w.listed {
		w.listed = false
		c.logger.Info("worker no longer listed", "worker", id, "tasks", len(w.tasks))
	}
}

// Listed returns the ids of the workers that the list names.
func (c *Core) Listed() []string {
	var ids []string
	for id, w := range c.workers {
		if w.listed {
			ids = append(ids, id)
		}
	}
	return ids
}

// reborn takes over that a worker has started anew: what it ran is gone, and so is its fence.
func (c *Core) reborn(now time.Duration, w *worker, born int64) {
	c.logger.Info("worker restarted", "worker", w.ID, "before", w.Born, "born", born, "tasks", len(w.tasks))
	w.Born, w.fenced = born, false
	w.clock, w.clockAt, w.applied, w.confirmed, w.sent, w.seals = 0, 0, 0, 0, 0, nil
	// The statement on the earlier lifetime does not concern this one.
	w.silence = silenceNone
	w.failingSince, w.retry, w.failedInRow, w.quarantine = 0, 0, 0, 0
	// Records may place tasks on the new lifetime already; an earlier owner may have granted them a lease.
	c.forgetLifetimes(now, w)
	if len(w.tasks) == 0 {
		w.lapse = now
	}
}
