package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Choose selects the scheduler of a shard by rendezvous hashing, so that a change of the live set moves only the shards of
// the schedulers that came or went. It returns the empty ID if there is no candidate.
func Choose(name string, live []instance.ID) instance.ID {
	var best instance.ID
	var bestScore uint64
	for _, id := range live {
		score := xxhash.Sum64String(name + "\x00" + string(id))
		if best == "" || score > bestScore || score == bestScore && id < best {
			best, bestScore = id, score
		}
	}
	return best
}

// Peer is what a scheduler knows of another one.
type Peer struct {
	ID          instance.ID
	Incarnation instance.Incarnation
	Addr        string
	// Heard is the time of its last heartbeat, zero if there was none.
	Heard time.Time
	// Listed tells whether the instance list names this incarnation.
	Listed  bool
	Leaving bool
	// Owned holds the epochs of the shards that it reported to own.
	Owned map[string]uint64
}

// View is what a claimant decides from.
type View struct {
	Now   time.Time
	Self  instance.ID
	Start time.Time
	// OwnerTimeout is how long an owner may be silent.
	OwnerTimeout time.Duration
	// ListKnown tells whether the instance list was read recently enough for an absence to count.
	ListKnown bool
	// LogUp tells whether the log can be used.
	LogUp bool
	Peers map[instance.ID]Peer
}

// Live returns the schedulers that may own shards: this one and the peers heard within the owner timeout.
func (v View) Live() []instance.ID {
	live := []instance.ID{v.Self}
	for id, p := range v.Peers {
		if !p.Leaving && !v.silent(p) {
			live = append(live, id)
		}
	}
	return live
}

// silent also holds for peers that were not heard since the start, once the start is an owner timeout ago.
func (v View) silent(p Peer) bool { return v.Now.Sub(p.Heard) >= v.OwnerTimeout }

// Settled reports whether the live set is known: every listed peer was heard, or the owner timeout has passed since the
// start. Claims before that would be taken back at once.
func (v View) Settled() bool {
	if v.Now.Sub(v.Start) >= v.OwnerTimeout {
		return true
	}
	if !v.ListKnown {
		return false
	}
	for _, p := range v.Peers {
		if p.Listed && p.Heard.IsZero() {
			return false
		}
	}
	return true
}

// KnownOwner returns the live peer that reports to own the shard.
func (v View) KnownOwner(name string) (Peer, bool) {
	var best Peer
	var epoch uint64
	for _, p := range v.Peers {
		if e, ok := p.Owned[name]; ok && e > epoch && !v.silent(p) {
			best, epoch = p, e
		}
	}
	return best, epoch > 0
}

// Step is what a claimant does next.
type Step string

// The steps. A scheduler that is not concerned with a shard does not read its stream.
const (
	StepNone    Step = "none"
	StepRead    Step = "read"
	StepClaim   Step = "claim"
	StepOwn     Step = "own"
	StepRelease Step = "release"
)

// rebalanceAfter is how long another scheduler must be selected before an owner hands its shard over; shorter flaps of the
// live set would move shards back and forth.
const rebalanceAfter = 10 * time.Second

// Claimant decides for one shard when to read its stream, claim it and release it.
type Claimant struct {
	name        string
	incarnation instance.Incarnation
	// other is since when another scheduler has been selected.
	other time.Time
	// readSince is since when the stream has been read to its end, seenEpoch the newest epoch seen there. claimAt is when that epoch
	// began if it began since then; it is a sign of life of its owner.
	readSince time.Time
	seenEpoch uint64
	claimAt   time.Time
}

// NewClaimant returns the claimant of one shard for a scheduler's incarnation.
func NewClaimant(name string, inc instance.Incarnation) *Claimant {
	return &Claimant{name: name, incarnation: inc}
}

// Selected reports whether rendezvous hashing selects this scheduler.
func (c *Claimant) Selected(v View) bool { return Choose(c.name, v.Live()) == v.Self }

// Owns reports whether the newest valid claim is this incarnation's.
func (c *Claimant) Owns(self instance.ID, o Ownership) bool {
	return o.Epoch > 0 && !o.Released && o.Claim.Owner == self && o.Claim.Incarnation == c.incarnation
}

// Next returns the next step. read is nil unless the stream is followed and was read to its end.
func (c *Claimant) Next(v View, read *Ownership) Step {
	c.observe(v.Now, read)
	if read != nil && c.Owns(v.Self, *read) {
		return c.keep(v)
	}
	c.other = time.Time{}
	if !v.Settled() || !c.Selected(v) {
		return StepNone
	}
	if p, ok := v.KnownOwner(c.name); ok && (read == nil || p.Owned[c.name] >= read.Epoch && !read.Released) {
		return StepNone
	}
	if read == nil {
		return StepRead
	}
	if v.LogUp && c.gone(v, *read) {
		return StepClaim
	}
	return StepRead
}

func (c *Claimant) observe(now time.Time, read *Ownership) {
	switch {
	case read == nil:
		c.readSince, c.seenEpoch, c.claimAt = time.Time{}, 0, time.Time{}
	case c.readSince.IsZero():
		c.readSince, c.seenEpoch = now, read.Epoch
	case c.seenEpoch != read.Epoch:
		c.seenEpoch, c.claimAt = read.Epoch, now
	}
}

func (c *Claimant) keep(v View) Step {
	if c.Selected(v) {
		c.other = time.Time{}
		return StepOwn
	}
	if c.other.IsZero() {
		c.other = v.Now
	}
	if v.LogUp && v.Now.Sub(c.other) > rebalanceAfter {
		return StepRelease
	}
	return StepOwn
}

// gone reports whether the owner of the newest claim no longer acts: it released the shard, is absent from the list or
// restarted, or was silent for the owner timeout. A claim that has just arrived is a sign of life; without that rule two
// schedulers that do not hear each other would claim in turns as fast as they can read.
func (c *Claimant) gone(v View, o Ownership) bool {
	if o.Epoch == 0 || o.Released || o.Claim.Owner == v.Self {
		return true
	}
	if v.Now.Sub(c.claimAt) < v.OwnerTimeout {
		return false
	}
	p, ok := v.Peers[o.Claim.Owner]
	if !ok || p.Incarnation != o.Claim.Incarnation {
		return v.ListKnown || v.Now.Sub(c.readSince) >= v.OwnerTimeout
	}
	if v.Now.Sub(latest(p.Heard, v.Start)) >= v.OwnerTimeout {
		return true
	}
	// The owner is alive but has not reported the shard: it has not read its claim back yet, or it gave up. Three timeouts
	// leave room for a slow log.
	return v.Now.Sub(latest(c.readSince, c.claimAt)) >= 3*v.OwnerTimeout
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
