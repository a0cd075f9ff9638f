package scheduler

import (
	"math/rand/v2"
	"time"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/lease"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// ownership is what an owner keeps for one epoch.
type ownership struct {
	epoch   uint64
	terms   lease.Terms
	ledger  Ledger
	workers map[instance.ID]*worker
	// superseded is set when a worker has seen a higher epoch. The owner then waits for the claim to arrive by the log and only
	// renews the workers that the new owner has not fenced, so that their tasks run on until it reaches them.
	superseded bool
	// releasing is set from the decision to hand the shard over, released once the Release was put into the outbox.
	releasing  bool
	releaseAt  time.Time
	released   bool
	snapshotAt time.Time
	draft      *shard.Draft
	// parked holds the reason for jobs of which a task cannot be placed, refused the reason of the last refusal.
	parked  map[string]string
	refused map[string]string
	// workerless is since when no worker of the shard can take work.
	workerless time.Time
}

// worker is what an owner knows of one worker.
type worker struct {
	id     instance.ID
	member instance.Member
	// listed tells whether the instance list names the worker.
	listed  bool
	leaving bool
	lease   *lease.Owner
	calling bool
	next    time.Time
	calls   int
	failing bool
	// leased tells that the worker counted a lease as in force in its newest answer; before, it refuses to start anything.
	leased bool
	// last tells that the last renewal before a release was sent.
	last bool
	// lost is set when this worker has seen a higher epoch.
	lost    bool
	ack     uint64
	events  []upstream.TaskEvent
	tasks   map[upstream.TaskRef]*run
	granted bool
	health  health
	usage   *upstream.UsageReport
}

// run is an open attempt on a worker.
type run struct {
	ref  upstream.TaskRef
	kind kindInfo
	boot instance.Incarnation
	size resource.Vector
	// started is when the worker confirmed the start, zero before.
	started time.Time
	busy    bool
	next    time.Time
	// sent tells that a start call was sent; unknownUntil is the time until which one without an answer may still run.
	sent         bool
	unknownUntil time.Time
	checkpoint   string
	end          *upstream.TaskEvent
	closing      bool
	stopping     bool
	stopped      time.Time
}

func (s *Scheduler) acquire(sh *shardLoop, now time.Time, o shard.Ownership) {
	// The limits are those of the claim, which later owners read, and not those of a newer manifest.
	terms := lease.Terms{Shard: sh.name, Epoch: o.Epoch, Owner: s.ID, TTL: o.Claim.TTL, IsolationLimit: o.Claim.Isolation,
		ReadBack: now, AfterRelease: o.AfterRelease, EarlierTTL: o.EarlierTTL, EarlierIsolation: o.EarlierIsolation}
	sh.own = &ownership{epoch: o.Epoch, terms: terms, ledger: s.deps.NewLedger(sh.name, o.Epoch, grantTTL),
		workers: map[instance.ID]*worker{}, snapshotAt: now, parked: map[string]string{}, refused: map[string]string{}}
	s.metrics.epoch.WithLabelValues(sh.name).Set(float64(o.Epoch))
	s.metrics.claims.Inc()
	s.log.Info("owns a shard", "shard", sh.name, "epoch", o.Epoch, "after_release", o.AfterRelease)
	s.syncWorkers(sh, now)
	for _, id := range sh.state.Workers() {
		w := s.worker(sh, id)
		for ref, t := range sh.state.Open(id) {
			w.tasks[ref] = s.newRun(sh, ref, t)
		}
	}
	sh.changed = true
}

func (s *Scheduler) newRun(sh *shardLoop, ref upstream.TaskRef, t *attempt.Task) *run {
	k := s.kindOf(sh, ref.Job)
	return &run{ref: ref, kind: k, boot: t.Boot, size: k.Size, checkpoint: t.Checkpoint}
}

func (s *Scheduler) kindOf(sh *shardLoop, job string) kindInfo {
	j := sh.state.Job(job)
	if j == nil {
		return kindInfo{}
	}
	return s.kinds[j.Submit.Kind]
}

// worker returns the entry of a worker and makes one if there is none.
func (s *Scheduler) worker(sh *shardLoop, id instance.ID) *worker {
	w := sh.own.workers[id]
	if w == nil {
		w = &worker{id: id, lease: lease.NewOwner(sh.own.terms), tasks: map[upstream.TaskRef]*run{}}
		sh.own.workers[id] = w
	}
	return w
}

// syncWorkers takes up what the instance list says about the workers of a shard.
func (s *Scheduler) syncWorkers(sh *shardLoop, now time.Time) {
	for _, w := range sh.own.workers {
		w.listed = false
	}
	for id, m := range s.members.workers {
		if datacentre.Shard(m.DataCentre, m.Rack, s.policy.racksPerShard) != sh.name {
			continue
		}
		w := s.worker(sh, id)
		if w.member.ID == "" {
			// A new owner fences every worker at once; the renewals are spread over the interval afterwards.
			w.next = now.Add(time.Duration(rand.Int64N(int64(tickEvery))))
		}
		w.member, w.listed = m, true
		if m.State == instance.StateLeaving && !w.leaving {
			w.leaving = true
			s.log.Info("worker is leaving", "shard", sh.name, "worker", id)
		}
		if m.State == instance.StateLive && w.leaving && w.member.Incarnation != m.Incarnation {
			w.leaving = false
		}
	}
	for id, w := range sh.own.workers {
		s.syncGrants(sh, w, now)
		if !w.listed && len(w.tasks) == 0 && w.lease.Lapsed(now) && len(w.events) == 0 {
			delete(sh.own.workers, id)
		}
	}
}

// usable reports whether a worker gets new work. A worker that answers counts even if the instance list misses it.
func (s *Scheduler) usable(sh *shardLoop, w *worker, now time.Time) bool {
	return w.lease.Fenced() && !w.lease.Lapsed(now) && w.member.ID != "" && !w.leaving && !sh.state.Drained(w.id)
}

// syncGrants gives a worker to the ledger or takes it away.
func (s *Scheduler) syncGrants(sh *shardLoop, w *worker, now time.Time) {
	usable := s.usable(sh, w, now) && !sh.own.superseded
	if usable && !w.granted {
		sh.own.ledger.SetWorker(now, w.id, w.member.Addr, w.member.DataCentre, w.member.Slots)
	}
	if !usable && w.granted {
		sh.own.ledger.RemoveWorker(now, w.id)
	}
	w.granted = usable
}

// appliedAttempt keeps the runs in step with the open attempts.
func (s *Scheduler) appliedAttempt(sh *shardLoop, res shard.Result) {
	switch b := res.Body.(type) {
	case *contract.Place:
		if res.Verdict != shard.Valid {
			return
		}
		w := s.worker(sh, b.Worker)
		if t := sh.state.Open(b.Worker)[b.TaskRef]; t != nil && w.tasks[b.TaskRef] == nil {
			w.tasks[b.TaskRef] = s.newRun(sh, b.TaskRef, t)
		}
	case *contract.Close:
		for _, w := range sh.own.workers {
			if r := w.tasks[b.TaskRef]; r != nil && !sh.state.IsOpen(b.TaskRef) {
				delete(w.tasks, b.TaskRef)
				s.metrics.ends.WithLabelValues(string(b.Outcome)).Inc()
			}
		}
	}
}

// settled reports whether no attempt may still run under a lease of an earlier owner. Only then a Release may be written,
// because the next owner takes it as the end of all earlier leases.
func (o *ownership) settled(now time.Time) bool {
	for _, w := range o.workers {
		if len(w.tasks) > 0 && !w.lease.Fenced() && !w.lease.Lapsed(now) {
			return false
		}
	}
	return true
}
