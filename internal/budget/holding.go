package budget

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/invariant"
)

// localBonus ranks every free slot in the own data centre above any number of free slots elsewhere.
const localBonus = 1 << 16

// Candidate is the part of a worker's state that routing reads. It has 8 bytes, so that a scan over 500 workers stays
// in the first-level cache.
type Candidate struct {
	// Score orders workers: the number of free slots, plus a bonus in the own data centre; 0 if the worker cannot be
	// used now. It is stored because computing it during a scan over 500 workers took more than a microsecond.
	Score int32
	// Free is the number of slots that the gateway may occupy now.
	Free int16
	// Remote reports whether the worker is in another data centre.
	Remote bool
	// Blocked reports whether routing must skip the worker: it is ejected, or on probation with a request in progress.
	Blocked bool
}

// NewCandidate returns a candidate with its score.
func NewCandidate(free int16, remote, blocked bool) Candidate {
	c := Candidate{Free: free, Remote: remote, Blocked: blocked}
	if free > 0 && !blocked {
		c.Score = int32(free)
		if !remote {
			c.Score += localBonus
		}
	}
	return c
}

// Permit is the right to run one request on a worker. It must be returned with Release.
type Permit struct {
	Worker     instance.ID
	Addr       string
	Shard      string
	Epoch      uint64
	Generation uint64
}

// workerSlots is the grant on one worker and its use.
type workerSlots struct {
	id    instance.ID
	addr  string
	shard string
	slots int
	inUse int
	// refusedAt is when the worker refused the grant, zero if it did not. A reply to a later request clears it.
	refusedAt time.Time
}

// shardGrant is the newest grant of one shard.
type shardGrant struct {
	epoch      uint64
	generation uint64
	expiry     time.Time
	expired    bool
	// compliantEpoch and compliantGeneration identify the newest grant that the use of no worker has exceeded since.
	compliantEpoch      uint64
	compliantGeneration uint64
}

// SlotPool is the gateway's side: its grants in all shards and the slots that its requests occupy. It is not safe for
// concurrent use.
type SlotPool struct {
	grants     map[string]*shardGrant
	workers    []workerSlots
	candidates []Candidate
	index      map[instance.ID]int
	leaving    map[instance.ID]bool
	nextExpiry time.Time
	free       int
	slots      int
	inUse      int
}

// NewSlotPool returns a pool without grants.
func NewSlotPool() *SlotPool {
	return &SlotPool{grants: map[string]*shardGrant{}, index: map[instance.ID]int{}}
}

// Apply applies a reply to a request that was sent at sent, and reports whether the grant is new. Replies of lower
// epochs and generations are ignored. remote reports whether the shard is in another data centre.
func (sp *SlotPool) Apply(now, sent time.Time, r contract.GrantReply, remote bool) bool {
	s := sp.grants[r.Shard]
	if s == nil {
		s = &shardGrant{expired: true}
		sp.grants[r.Shard] = s
	}
	if r.Epoch < s.epoch || r.Epoch == s.epoch && r.Generation < s.generation {
		return false
	}
	same := r.Epoch == s.epoch && r.Generation == s.generation
	if r.Unchanged && !same {
		return false
	}
	expiry := sent.Add(r.TTL)
	if same && !expiry.After(s.expiry) {
		return false
	}
	s.epoch, s.generation, s.expiry = r.Epoch, r.Generation, expiry
	s.expired = !now.Before(expiry)
	if same {
		sp.clearRefusals(r.Shard, sent)
	} else {
		sp.replaceGrant(r, remote)
	}
	sp.refresh(r.Shard)
	if expiry.Before(sp.nextExpiry) {
		sp.nextExpiry = expiry
	}
	sp.Expire(now)
	return !same
}

// replaceGrant replaces the grant of a shard. Workers with requests in progress are kept.
func (sp *SlotPool) replaceGrant(r contract.GrantReply, remote bool) {
	for i := range sp.workers {
		if sp.workers[i].shard == r.Shard {
			sp.workers[i].slots, sp.workers[i].refusedAt = 0, time.Time{}
		}
	}
	for _, g := range r.Workers {
		i, known := sp.index[g.Worker]
		if !known {
			i = len(sp.workers)
			sp.index[g.Worker] = i
			sp.workers = append(sp.workers, workerSlots{id: g.Worker})
			sp.candidates = append(sp.candidates, Candidate{})
		}
		e := &sp.workers[i]
		e.addr, e.shard, e.slots, e.refusedAt = g.Addr, r.Shard, g.Slots, time.Time{}
		sp.candidates[i].Remote = remote
	}
	for i := len(sp.workers) - 1; i >= 0; i-- {
		sp.dropUnused(i)
	}
}

// clearRefusals makes workers usable again that refused the grant before it was confirmed, for example because they had
// no lease for a moment.
func (sp *SlotPool) clearRefusals(shard string, confirmed time.Time) {
	for i := range sp.workers {
		if w := &sp.workers[i]; w.shard == shard && w.refusedAt.Before(confirmed) {
			w.refusedAt = time.Time{}
		}
	}
}

// dropUnused removes a worker without slots and requests. The last worker moves to its index.
func (sp *SlotPool) dropUnused(i int) {
	if sp.workers[i].slots > 0 || sp.workers[i].inUse > 0 {
		return
	}
	sp.free -= int(sp.candidates[i].Free)
	delete(sp.index, sp.workers[i].id)
	last := len(sp.workers) - 1
	if i != last {
		sp.workers[i], sp.candidates[i] = sp.workers[last], sp.candidates[last]
		sp.index[sp.workers[i].id] = i
	}
	sp.workers, sp.candidates = sp.workers[:last], sp.candidates[:last]
}

// refresh recomputes the free slots of a shard and the totals.
func (sp *SlotPool) refresh(shard string) {
	sp.slots = 0
	for i := range sp.workers {
		if sp.workers[i].shard == shard {
			sp.updateFree(i)
		}
		if !sp.grants[sp.workers[i].shard].expired {
			sp.slots += sp.workers[i].slots
		}
	}
}

// updateFree recomputes the free slots of one worker.
func (sp *SlotPool) updateFree(i int) {
	w, free := &sp.workers[i], 0
	if w.refusedAt.IsZero() && !sp.leaving[w.id] && !sp.grants[w.shard].expired {
		free = max(0, w.slots-w.inUse)
	}
	c := sp.candidates[i]
	sp.free += free - int(c.Free)
	sp.candidates[i] = NewCandidate(int16(free), c.Remote, c.Blocked)
}

// Expire withdraws the free slots of expired grants. Until the next expiry it costs one comparison.
func (sp *SlotPool) Expire(now time.Time) {
	if now.Before(sp.nextExpiry) {
		return
	}
	sp.nextExpiry = now.Add(time.Hour)
	for name, s := range sp.grants {
		switch {
		case s.expired:
		case !now.Before(s.expiry):
			s.expired = true
			sp.refresh(name)
		case s.expiry.Before(sp.nextExpiry):
			sp.nextExpiry = s.expiry
		}
	}
}

// Candidates returns the state that routing reads, by the index that Acquire takes. The slice is valid until the next
// call of Apply or Release.
func (sp *SlotPool) Candidates() []Candidate { return sp.candidates }

// Acquire occupies a slot of the worker with the given index. It reports false if the grant has expired or no slot is
// free.
func (sp *SlotPool) Acquire(now time.Time, i int) (Permit, bool) {
	sp.Expire(now)
	if i < 0 || i >= len(sp.workers) || sp.candidates[i].Free <= 0 {
		return Permit{}, false
	}
	e := &sp.workers[i]
	s := sp.grants[e.shard]
	e.inUse++
	sp.inUse++
	sp.updateFree(i)
	invariant.Check(invariant.SlotBudget, e.inUse <= e.slots && now.Before(s.expiry), "worker", e.id, "in_use", e.inUse,
		"slots", e.slots, "expiry", s.expiry, "now", now)
	return Permit{Worker: e.id, Addr: e.addr, Shard: e.shard, Epoch: s.epoch, Generation: s.generation}, true
}

// Release returns a slot. It must be called only once the request can no longer occupy the slot at the worker.
func (sp *SlotPool) Release(p Permit) {
	i, known := sp.index[p.Worker]
	if !known || sp.workers[i].inUse == 0 {
		return
	}
	sp.workers[i].inUse--
	sp.inUse--
	sp.updateFree(i)
	sp.dropUnused(i)
}

// MarkRefused records that a worker refused a request because of its grant. The worker is not used until the owner has
// answered a request that is sent later.
func (sp *SlotPool) MarkRefused(now time.Time, p Permit) {
	i, known := sp.index[p.Worker]
	if !known {
		return
	}
	if s := sp.grants[p.Shard]; s.epoch == p.Epoch && s.generation == p.Generation {
		sp.workers[i].refusedAt = now
		sp.updateFree(i)
	}
}

// SetBlocked sets whether routing must skip a worker.
func (sp *SlotPool) SetBlocked(id instance.ID, blocked bool) {
	if i, known := sp.index[id]; known {
		sp.candidates[i].Blocked = blocked
		sp.updateFree(i)
	}
}

// BestBlocked returns the index of the worker with the most free slots if all workers are blocked, and false otherwise.
// A worker that failed is then better than none.
func (sp *SlotPool) BestBlocked() (int, bool) {
	best, found := 0, false
	for i, c := range sp.candidates {
		if !c.Blocked {
			return 0, false
		}
		if c.Free > 0 && (!found || c.Free > sp.candidates[best].Free) {
			best, found = i, true
		}
	}
	return best, found
}

// SetLeaving sets the workers that are leaving. They get no new request although their grant may still be valid,
// because the owner that would withdraw it may be gone.
func (sp *SlotPool) SetLeaving(leaving map[instance.ID]bool) {
	sp.leaving = leaving
	for i := range sp.workers {
		sp.updateFree(i)
	}
}

// CompliantGrant returns the newest grant of a shard with which all requests in progress comply.
func (sp *SlotPool) CompliantGrant(shard string) (epoch, generation uint64) {
	s := sp.grants[shard]
	if s == nil {
		return 0, 0
	}
	for i := range sp.workers {
		if w := &sp.workers[i]; w.shard == shard && w.inUse > w.slots {
			return s.compliantEpoch, s.compliantGeneration
		}
	}
	s.compliantEpoch, s.compliantGeneration = s.epoch, s.generation
	return s.epoch, s.generation
}

// Free returns the number of slots that can be occupied now, over all shards.
func (sp *SlotPool) Free() int { return sp.free }

// Slots returns the number of slots of the grants that have not expired.
func (sp *SlotPool) Slots() int { return sp.slots }

// InUse returns the number of occupied slots.
func (sp *SlotPool) InUse() int { return sp.inUse }

// Workers returns the number of workers with a grant or a request in progress.
func (sp *SlotPool) Workers() int { return len(sp.workers) }

// Index returns the index of a worker among Candidates.
func (sp *SlotPool) Index(id instance.ID) (int, bool) {
	i, known := sp.index[id]
	return i, known
}
