package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/headroom"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// work returns the estimated work of a task of the step in core-milliseconds.
func (s *step) work() int64 {
	return requestedMilliCores(s.def) * s.def.Estimate.Milliseconds() / millisPerCore
}

func (c *Core) meter(pool string) *backlog.Meter {
	m := c.meters[pool]
	if m == nil {
		m = &backlog.Meter{}
		c.meters[pool] = m
	}
	return m
}

// noteWorkDone notes that a task has ended as done.
func (c *Core) noteWorkDone(t *task) {
	if !t.step.def.LongRunning {
		c.meter(t.job().terms.Pool).Done(t.step.work())
	}
}

// classKey identifies a backlog.Class.
type classKey struct {
	queue, pool string
	priority    int
	bestEffort  bool
}

// notePlaced notes that a task was placed.
func (c *Core) notePlaced(now time.Duration, t *task) {
	j := t.job()
	if !t.step.def.LongRunning {
		c.lastPlaced[classKey{j.terms.Queue, j.terms.Pool, j.terms.Priority, t.step.def.BestEffort}] = now
	}
}

// Backlog returns a summary of the accepted work that is not placed, and measures the rates of the pools. It is called once in
// backlog.Interval.
func (c *Core) Backlog(now time.Duration) *backlog.Summary {
	s := &backlog.Summary{Epoch: c.epoch, WrittenAt: c.wallClock().UnixMilli()}
	loads := c.poolLoads()
	for pool, m := range c.meters {
		l := loads[pool]
		if l == nil {
			continue
		}
		m.Sample(now, l.waiting > 0 && float64(l.waiting) >= minWaitingShare*float64(l.running), l.running)
		if best, recent := m.Rates(); best > 0 {
			s.Pools = append(s.Pools, backlog.Pool{Name: pool, Best: max(best, l.minRate()), Recent: recent})
		}
	}
	if len(s.Pools) == 0 {
		return s
	}
	classes := map[classKey]*backlog.Class{}
	for _, j := range c.jobs {
		c.addWaiting(now, classes, j)
	}
	for _, class := range classes {
		s.Classes = append(s.Classes, *class)
	}
	return s
}

// addWaiting adds the work of a submission that is not placed to its classes, with the steps that wait for earlier ones. Work that is
// too late to have value counts as well, because it is placed before all of a lower priority. Tasks that only some workers
// may run are left out: others need not wait for them.
func (c *Core) addWaiting(now time.Duration, classes map[classKey]*backlog.Class, j *job) {
	if j.state.Over() || j.cancelled {
		return
	}
	work, ready := map[bool]int64{}, map[bool]bool{}
	for _, r := range j.rounds {
		if !r.ready || r.open == 0 {
			continue
		}
		for _, s := range r.steps {
			if s.open == 0 || s.def.LongRunning || s.tasks[0].restricted() {
				continue
			}
			for _, t := range s.tasks {
				if t.phase == workflow.Pending && t.copy == nil {
					work[s.def.BestEffort] += s.work()
					ready[s.def.BestEffort] = ready[s.def.BestEffort] || s.ready
				}
			}
		}
	}
	for bestEffort, w := range work {
		key := classKey{j.terms.Queue, j.terms.Pool, j.terms.Priority, bestEffort}
		class := classes[key]
		if class == nil {
			class = &backlog.Class{Queue: key.queue, Pool: key.pool, Priority: key.priority, BestEffort: bestEffort}
			classes[key] = class
		}
		class.Waiting += w
		class.ObjectiveMS = (class.ObjectiveMS*class.Submissions + j.latencyObjective.Milliseconds()) / (class.Submissions + 1)
		class.Submissions++
		if ready[bestEffort] {
			// Nothing was placed since the oldest of them could run, or since the last placement of the class.
			waited := now - max(j.idleSince, c.lastPlaced[key], c.ownerSince)
			class.StarvedMS = max(class.StarvedMS, waited.Milliseconds())
		}
	}
}

const (
	// minWaitingShare is the least work that waits in a pool with a backlog, as a share of what runs.
	minWaitingShare = 0.1
	// minRateShare is the least best rate that is published for a pool with a backlog, as a share of the processors that it has
	// for short tasks. A lower measured rate means that tasks wait for other reasons, for example a label, and not that the
	// pool can do no more.
	minRateShare = 0.5
)

// poolLoad is the load of a pool, in thousandths of a core. All but capacity and longRunning concern short tasks.
type poolLoad struct {
	capacity, longRunning, running, waiting int64
	// largest holds the most of each resource that a worker has.
	largest resource.Vector
}

// minRate returns the least best rate of a pool with a backlog, in thousandths of a core.
func (l *poolLoad) minRate() int64 {
	return int64(minRateShare * (float64(l.capacity) - headroom.ServiceUse*float64(l.longRunning)))
}

func (c *Core) poolLoads() map[string]*poolLoad {
	loads := map[string]*poolLoad{}
	for _, w := range c.workers {
		l := loads[w.Pool]
		if l == nil {
			l = &poolLoad{}
			loads[w.Pool] = l
		}
		for t := range w.tasks {
			if !t.step.def.LongRunning {
				l.running += requestedMilliCores(t.step.def)
			}
		}
		l.largest = l.largest.Max(w.Capacity)
		if !w.unschedulable() {
			l.capacity += w.Capacity.MilliCores
			l.longRunning += w.longRunning.MilliCores
		}
	}
	for _, t := range c.pending {
		l, def := loads[t.job().terms.Pool], t.step.def
		// A task that no worker or only some can ever run shows no backlog.
		if l != nil && t.unplaced == unplacedNoWorker && !def.LongRunning && !def.Gang && !t.restricted() &&
			t.reserved().Fits(l.largest) {
			l.waiting += requestedMilliCores(def)
		}
	}
	return loads
}

// backlogEntries returns the entry with the summary of the backlog if it is due. It is sent with states or a heartbeat, so that it
// costs no append of its own.
func (o *Owner) backlogEntries(now time.Duration) []eventlog.Entry {
	if o.core == nil || now-o.lastBacklog < backlog.Interval {
		return nil
	}
	o.lastBacklog = now
	s := o.core.Backlog(now)
	s.AcceptedBytes, s.AcceptedLimit = o.catalog.AcceptedBytes(), o.settings.AcceptedLimit
	o.metrics.setBacklog(s)
	o.logBacklog(s)
	e, err := catalog.BacklogEntry(s)
	if err != nil {
		o.logger.Error("cannot encode summary of the backlog", "error", err)
		return nil
	}
	return []eventlog.Entry{e}
}

// logBacklog logs a summary with a backlog.
func (o *Owner) logBacklog(s *backlog.Summary) {
	for i := range s.Classes {
		cl := &s.Classes[i]
		o.logger.Info("backlog", "queue", cl.Queue, "pool", cl.Pool, "priority", cl.Priority, "best_effort", cl.BestEffort,
			"submissions", cl.Submissions,
			"core_ms", cl.Waiting, "objective_ms", cl.ObjectiveMS, "starved_ms", cl.StarvedMS)
	}
	for _, p := range s.Pools {
		o.logger.Info("rate of a pool with a backlog", "pool", p.Name, "best_millicores", p.Best, "recent_millicores", p.Recent)
	}
}
