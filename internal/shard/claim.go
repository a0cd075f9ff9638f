package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Choose selects one of the live schedulers for the shard name by rendezvous hashing, so that a change of the live set
// moves only the shards of the schedulers that joined or left. It returns the empty ID if live is empty.
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

// Peer is what a scheduler knows of another scheduler.
type Peer struct {
	ID          instance.ID
	Incarnation instance.Incarnation
	Addr        string
	// LastHeartbeat is when its newest heartbeat was received, zero if there was none.
	LastHeartbeat time.Time
	// Listed reports whether the instance list contains this incarnation, and ListedSince since when.
	Listed      bool
	ListedSince time.Time
	Leaving     bool
	// Owned holds, by shard name, the epochs of the shards that it reported to own.
	Owned map[string]uint64
}

// View is the state of the deployment, as seen by one scheduler, from which a claimant decides.
type View struct {
	Now  time.Time
	Self instance.ID
	// Start is when this process started.
	Start time.Time
	// OwnerTimeout is how long a scheduler may send no heartbeat before it counts as dead.
	OwnerTimeout time.Duration
	// LogReachable reports whether the log can be used.
	LogReachable bool
	Peers        map[instance.ID]Peer
}

// Live returns the schedulers that may own shards: this one, the peers that have sent a heartbeat within the owner
// timeout, and those that appeared in the instance list within it and may not have sent one yet.
func (v View) Live() []instance.ID {
	live := []instance.ID{v.Self}
	for id, p := range v.Peers {
		if !p.Leaving && !v.silent(p) {
			live = append(live, id)
		}
	}
	return live
}

// silent reports whether a peer has neither sent a heartbeat nor appeared in the instance list within the owner
// timeout.
func (v View) silent(p Peer) bool {
	return v.Now.Sub(latest(p.LastHeartbeat, p.ListedSince)) >= v.OwnerTimeout
}

// LiveSetKnown reports whether the owner timeout has passed since the start. Shards claimed before that might have to
// be released at once, because the instance list lags and peers may not have sent a heartbeat yet.
func (v View) LiveSetKnown() bool { return v.Now.Sub(v.Start) >= v.OwnerTimeout }

// ReportedOwner returns the live peer that reports to own the shard, if there is one. If several do, it is the one with
// the highest epoch.
func (v View) ReportedOwner(name string) (Peer, bool) {
	var best Peer
	var epoch uint64
	for _, p := range v.Peers {
		if e, ok := p.Owned[name]; ok && e > epoch && !v.silent(p) {
			best, epoch = p, e
		}
	}
	return best, epoch > 0
}

// Step is the next action of a claimant.
type Step string

// The steps. With StepNone the stream of the shard need not be read.
const (
	StepNone    Step = "none"
	StepRead    Step = "read"
	StepClaim   Step = "claim"
	StepOwn     Step = "own"
	StepRelease Step = "release"
)

// rebalanceDelay is how long another scheduler must be selected before an owner hands its shard over. Without the
// delay, a flapping live set would move shards back and forth.
const rebalanceDelay = 10 * time.Second

// Claimant decides for one shard when to read its stream, claim it and release it.
type Claimant struct {
	name        string
	incarnation instance.Incarnation
	// otherSelectedSince is since when another scheduler has been selected, zero if this one is.
	otherSelectedSince time.Time
	// caughtUpSince is since when the stream has been read to its end, seenEpoch the newest epoch read there.
	// seenEpochSince is when the claim of that epoch was read, zero if it was read before caughtUpSince. A new claim
	// shows that its owner is alive.
	caughtUpSince  time.Time
	seenEpoch      uint64
	seenEpochSince time.Time
}

// NewClaimant returns the claimant of the shard name for one incarnation of a scheduler.
func NewClaimant(name string, inc instance.Incarnation) *Claimant {
	return &Claimant{name: name, incarnation: inc}
}

// Selected reports whether Choose selects this scheduler.
func (c *Claimant) Selected(v View) bool { return Choose(c.name, v.Live()) == v.Self }

// Owns reports whether the newest valid claim o was written by this incarnation and is not released.
func (c *Claimant) Owns(self instance.ID, o Ownership) bool {
	return o.Epoch > 0 && !o.Released && o.Claim.Owner == self && o.Claim.Incarnation == c.incarnation
}

// Next returns the next step. read is the newest valid claim; it is nil unless the stream is followed and was read to
// its end.
func (c *Claimant) Next(v View, read *Ownership) Step {
	c.observe(v.Now, read)
	if read != nil && c.Owns(v.Self, *read) {
		return c.stepAsOwner(v)
	}
	c.otherSelectedSince = time.Time{}
	if !v.LiveSetKnown() || !c.Selected(v) {
		return StepNone
	}
	if p, ok := v.ReportedOwner(c.name); ok && (read == nil || p.Owned[c.name] >= read.Epoch && !read.Released) {
		return StepNone
	}
	if read == nil {
		return StepRead
	}
	if v.LogReachable && c.ownerGone(v, *read) {
		return StepClaim
	}
	return StepRead
}

// observe updates the times since which the stream has been read to its end and the newest claim has been known.
func (c *Claimant) observe(now time.Time, read *Ownership) {
	switch {
	case read == nil:
		c.caughtUpSince, c.seenEpoch, c.seenEpochSince = time.Time{}, 0, time.Time{}
	case c.caughtUpSince.IsZero():
		c.caughtUpSince, c.seenEpoch = now, read.Epoch
	case c.seenEpoch != read.Epoch:
		c.seenEpoch, c.seenEpochSince = read.Epoch, now
	}
}

// stepAsOwner returns the next step of an owner.
func (c *Claimant) stepAsOwner(v View) Step {
	if c.Selected(v) {
		c.otherSelectedSince = time.Time{}
		return StepOwn
	}
	if c.otherSelectedSince.IsZero() {
		c.otherSelectedSince = v.Now
	}
	if v.LogReachable && v.Now.Sub(c.otherSelectedSince) > rebalanceDelay {
		return StepRelease
	}
	return StepOwn
}

// ownerGone reports whether the owner of the newest claim no longer acts: it has released the shard, is absent from the
// instance list, has restarted, or has sent no heartbeat for the owner timeout. An owner whose claim was read within
// the owner timeout is alive; without this rule two schedulers that cannot reach each other would claim in turns as
// fast as they can read.
func (c *Claimant) ownerGone(v View, o Ownership) bool {
	if o.Epoch == 0 || o.Released || o.Claim.Owner == v.Self {
		return true
	}
	if v.Now.Sub(c.seenEpochSince) < v.OwnerTimeout {
		return false
	}
	p, ok := v.Peers[o.Claim.Owner]
	if ok && !p.LastHeartbeat.IsZero() && p.Incarnation != o.Claim.Incarnation {
		return true
	}
	if !ok || p.Incarnation != o.Claim.Incarnation {
		// The instance list lags, so an absence counts only if it lasts.
		return v.Now.Sub(c.caughtUpSince) >= v.OwnerTimeout
	}
	if v.Now.Sub(latest(p.LastHeartbeat, v.Start)) >= v.OwnerTimeout {
		return true
	}
	// The owner is alive but does not report the shard: it has not read its claim back yet, or it gave up. Three
	// timeouts allow for a slow log.
	return v.Now.Sub(latest(c.caughtUpSince, c.seenEpochSince)) >= 3*v.OwnerTimeout
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
