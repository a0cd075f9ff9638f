package budget

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/invariant"
)

// nearBonus makes every free slot in the own data centre better than any number of free slots elsewhere.
const nearBonus = 1 << 16

// Candidate is the part of a worker's state that routing reads. It is 8 bytes, so that a scan over 500 workers stays in
// the first-level cache.
type Candidate struct {
	// Score orders workers: the number of free slots, with a bonus in the own data centre; 0 if the worker cannot be used now. It is
	// stored because computing it during a scan over 500 workers took more than a microsecond.
	Score int32
	// Free is the number of slots that the gateway may occupy now.
	Free int16
	// Far tells that the worker is in another data centre.
	Far bool
	// Ejected is set by outlier ejection; routing skips such workers.
	Ejected bool
}

// NewCandidate returns a candidate with its score.
func NewCandidate(free int16, far, ejected bool) Candidate {
	c := Candidate{Free: free, Far: far, Ejected: ejected}
	if free > 0 && !ejected {
		c.Score = int32(free)
		if !far {
			c.Score += nearBonus
		}
	}
	return c
}

// Permit is the right to run one request on a worker. It must be given back with Release.
type Permit struct {
	Worker     instance.ID
	Addr       string
	Shard      string
	Epoch      uint64
	Generation uint64
}

type entry struct {
	id    instance.ID
	addr  string
	shard string
	slots int
	inUse int
	// refused is when the worker refused the grant, zero if it did not. It is cleared by the reply to a later request.
	refused time.Time
}

type shardGrant struct {
	epoch      uint64
	generation uint64
	expiry     time.Time
	expired    bool
	// compliedEpoch and compliedGeneration name the newest grant that no worker's use has exceeded since.
	compliedEpoch      uint64
	compliedGeneration uint64
}

// Holding is the gateway's side: its grants in all shards and the slots that its requests occupy. It is not safe for
// concurrent use.
type Holding struct {
	shards     map[string]*shardGrant
	entries    []entry
	candidates []Candidate
	index      map[instance.ID]int
	leaving    map[instance.ID]bool
	nextExpiry time.Time
	free       int
	slots      int
	inUse      int
}

// NewHolding returns a holding without grants.
func NewHolding() *Holding {
	return &Holding{shards: map[string]*shardGrant{}, index: map[instance.ID]int{}}
}

// Apply takes up a reply to a request that was sent at sent, and reports whether the grant is new. Replies of lower epochs and
// generations are ignored. far tells that the shard is in another data centre.
func (h *Holding) Apply(now, sent time.Time, r contract.GrantReply, far bool) bool {
	s := h.shards[r.Shard]
	if s == nil {
		s = &shardGrant{expired: true}
		h.shards[r.Shard] = s
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
		h.retry(r.Shard, sent)
	} else {
		h.replace(r, far)
	}
	h.refresh(r.Shard)
	if expiry.Before(h.nextExpiry) {
		h.nextExpiry = expiry
	}
	h.Expire(now)
	return !same
}

func (h *Holding) replace(r contract.GrantReply, far bool) {
	for i := range h.entries {
		if h.entries[i].shard == r.Shard {
			h.entries[i].slots, h.entries[i].refused = 0, time.Time{}
		}
	}
	for _, g := range r.Workers {
		i, known := h.index[g.Worker]
		if !known {
			i = len(h.entries)
			h.index[g.Worker] = i
			h.entries = append(h.entries, entry{id: g.Worker})
			h.candidates = append(h.candidates, Candidate{})
		}
		e := &h.entries[i]
		e.addr, e.shard, e.slots, e.refused = g.Addr, r.Shard, g.Slots, time.Time{}
		h.candidates[i].Far = far
	}
	for i := len(h.entries) - 1; i >= 0; i-- {
		h.drop(i)
	}
}

// retry lets workers be used again that refused the grant before it was confirmed, for example because they had no lease for a moment.
func (h *Holding) retry(shard string, confirmed time.Time) {
	for i := range h.entries {
		if e := &h.entries[i]; e.shard == shard && e.refused.Before(confirmed) {
			e.refused = time.Time{}
		}
	}
}

// drop removes an entry without slots and requests. The last entry takes its place.
func (h *Holding) drop(i int) {
	if h.entries[i].slots > 0 || h.entries[i].inUse > 0 {
		return
	}
	h.free -= int(h.candidates[i].Free)
	delete(h.index, h.entries[i].id)
	last := len(h.entries) - 1
	if i != last {
		h.entries[i], h.candidates[i] = h.entries[last], h.candidates[last]
		h.index[h.entries[i].id] = i
	}
	h.entries, h.candidates = h.entries[:last], h.candidates[:last]
}

// refresh recomputes the free slots of a shard and the totals.
func (h *Holding) refresh(shard string) {
	h.slots = 0
	for i := range h.entries {
		if h.entries[i].shard == shard {
			h.update(i)
		}
		if !h.shards[h.entries[i].shard].expired {
			h.slots += h.entries[i].slots
		}
	}
}

func (h *Holding) update(i int) {
	e, free := &h.entries[i], 0
	if e.refused.IsZero() && !h.leaving[e.id] && !h.shards[e.shard].expired {
		free = max(0, e.slots-e.inUse)
	}
	c := h.candidates[i]
	h.free += free - int(c.Free)
	h.candidates[i] = NewCandidate(int16(free), c.Far, c.Ejected)
}

// Expire withdraws the free slots of grants that have expired. It costs one comparison until the next expiry.
func (h *Holding) Expire(now time.Time) {
	if now.Before(h.nextExpiry) {
		return
	}
	h.nextExpiry = now.Add(time.Hour)
	for name, s := range h.shards {
		switch {
		case s.expired:
		case !now.Before(s.expiry):
			s.expired = true
			h.refresh(name)
		case s.expiry.Before(h.nextExpiry):
			h.nextExpiry = s.expiry
		}
	}
}

// Candidates returns what routing reads, by the index that Acquire takes. The slice is valid until the next call of Apply or
// Release.
func (h *Holding) Candidates() []Candidate { return h.candidates }

// Acquire occupies a slot of the worker with the given index. It fails if the grant has expired or no slot is free.
func (h *Holding) Acquire(now time.Time, i int) (Permit, bool) {
	h.Expire(now)
	if i < 0 || i >= len(h.entries) || h.candidates[i].Free <= 0 {
		return Permit{}, false
	}
	e := &h.entries[i]
	s := h.shards[e.shard]
	e.inUse++
	h.inUse++
	h.update(i)
	invariant.Check(invariant.SlotBudget, e.inUse <= e.slots && now.Before(s.expiry), "worker", e.id, "in_use", e.inUse,
		"slots", e.slots, "expiry", s.expiry, "now", now)
	return Permit{Worker: e.id, Addr: e.addr, Shard: e.shard, Epoch: s.epoch, Generation: s.generation}, true
}

// Release gives a slot back once the request can no longer occupy it at the worker.
func (h *Holding) Release(p Permit) {
	i, known := h.index[p.Worker]
	if !known || h.entries[i].inUse == 0 {
		return
	}
	h.entries[i].inUse--
	h.inUse--
	h.update(i)
	h.drop(i)
}

// Refused takes up that a worker refused a request because of its grant. The worker is not used until the owner has answered a
// request that is sent later.
func (h *Holding) Refused(now time.Time, p Permit) {
	i, known := h.index[p.Worker]
	if !known {
		return
	}
	if s := h.shards[p.Shard]; s.epoch == p.Epoch && s.generation == p.Generation {
		h.entries[i].refused = now
		h.update(i)
	}
}

// SetEjected marks a worker for routing.
func (h *Holding) SetEjected(id instance.ID, ejected bool) {
	if i, known := h.index[id]; known {
		h.candidates[i].Ejected = ejected
		h.update(i)
	}
}

// LastResort returns the index of the worker with the most free slots if ejection leaves no worker at all, and false otherwise. A worker that
// failed is then better than none.
func (h *Holding) LastResort() (int, bool) {
	best, found := 0, false
	for i, c := range h.candidates {
		if !c.Ejected {
			return 0, false
		}
		if c.Free > 0 && (!found || c.Free > h.candidates[best].Free) {
			best, found = i, true
		}
	}
	return best, found
}

// SetLeaving names the workers that are leaving. They get no new request although the grant may still last: the owner that would withdraw it
// can be gone.
func (h *Holding) SetLeaving(leaving map[instance.ID]bool) {
	h.leaving = leaving
	for i := range h.entries {
		h.update(i)
	}
}

// Complying returns the newest grant of a shard with which all requests in progress comply.
func (h *Holding) Complying(shard string) (epoch, generation uint64) {
	s := h.shards[shard]
	if s == nil {
		return 0, 0
	}
	for i := range h.entries {
		if e := &h.entries[i]; e.shard == shard && e.inUse > e.slots {
			return s.compliedEpoch, s.compliedGeneration
		}
	}
	s.compliedEpoch, s.compliedGeneration = s.epoch, s.generation
	return s.epoch, s.generation
}

// Free returns the number of slots that can be occupied now, over all shards.
func (h *Holding) Free() int { return h.free }

// Slots returns the number of slots of the grants that have not expired.
func (h *Holding) Slots() int { return h.slots }

// InUse returns the number of occupied slots.
func (h *Holding) InUse() int { return h.inUse }

// Workers returns the number of workers with a grant or a request in progress.
func (h *Holding) Workers() int { return len(h.entries) }

// Index returns the index of a worker among Candidates.
func (h *Holding) Index(id instance.ID) (int, bool) {
	i, known := h.index[id]
	return i, known
}
