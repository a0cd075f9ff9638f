package lease

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// maxClockDriftPercent is the largest difference between the rates of two clocks for which leases are safe.
const maxClockDriftPercent = 1

// withDrift returns the duration on this clock after which d has certainly passed on the worker's clock.
func withDrift(d time.Duration) time.Duration { return d + d*maxClockDriftPercent/100 }

// Terms are the common terms of all leases that an owner grants in one epoch of a shard.
type Terms struct {
	Shard string
	Epoch uint64
	Owner instance.ID
	TTL   time.Duration
	// IsolationLimit is how long an owner renews leases after its newest successful read of the log.
	IsolationLimit time.Duration
	// ReadBack is when this owner read its claim back. AfterRelease reports whether the previous epoch, if there was
	// one, ended with a Release.
	ReadBack     time.Time
	AfterRelease bool
	// EarlierTTL and EarlierIsolation are the limits of earlier owners; they can be longer than those of this epoch.
	EarlierTTL, EarlierIsolation time.Duration
}

// Owner is the owner's side of the lease of one worker.
type Owner struct {
	terms Terms
	boot  instance.Incarnation
	// clockReading is the newest known reading of the worker's clock, received the time of its receipt on this clock.
	clockReading time.Duration
	received     time.Time
	// fenced reports whether the worker has answered this epoch.
	fenced bool
	// lapsesAt is when every lease that the worker can hold has ended.
	lapsesAt time.Time
}

// NewOwner returns the lease of a worker that has not answered this epoch yet.
//
// Until it answers, it may hold a lease of the previous owner. That owner stopped renewing with its Release, or stops
// no later than the isolation limit after ReadBack; its last renewal is valid for one more TTL.
func NewOwner(t Terms) *Owner {
	wait := withDrift(max(t.TTL, t.EarlierTTL))
	if !t.AfterRelease {
		wait += withDrift(max(t.IsolationLimit, t.EarlierIsolation))
	}
	return &Owner{terms: t, lapsesAt: t.ReadBack.Add(wait)}
}

// Fenced reports whether the worker has answered this epoch. It refuses all earlier epochs from then on.
func (o *Owner) Fenced() bool { return o.fenced }

// Boot returns the worker's incarnation, empty before the first answer.
func (o *Owner) Boot() instance.Incarnation { return o.boot }

// Received returns when the newest accepted reply was received, zero before the first one.
func (o *Owner) Received() time.Time { return o.received }

// Next returns the next lease request, which echoes the newest clock reading. From now on LapseTime includes the
// lease that the request may grant.
func (o *Owner) Next() upstream.LeaseRequest {
	req := upstream.LeaseRequest{Shard: o.terms.Shard, Epoch: o.terms.Epoch, Owner: o.terms.Owner, TTL: o.terms.TTL}
	if !o.fenced {
		req.Full = true
		return req
	}
	req.AsOf, req.Boot = o.clockReading, o.boot
	o.extend(o.received.Add(withDrift(o.terms.TTL)))
	return req
}

// StartBound returns the reading of the worker's clock until which a start call that is sent now may be executed, or
// zero before the first reply. From now on LapseTime includes that bound.
func (o *Owner) StartBound() time.Duration {
	if !o.fenced {
		return 0
	}
	o.extend(o.received.Add(withDrift(o.terms.TTL)))
	return o.clockReading + o.terms.TTL
}

// extend moves the lapse time to a later time.
func (o *Owner) extend(to time.Time) {
	if to.After(o.lapsesAt) {
		o.lapsesAt = to
	}
}

// ReplyResult is the meaning of a reply.
type ReplyResult string

// The results of a reply.
const (
	Renewed ReplyResult = "renewed"
	// Fenced is the first reply in this epoch. It contains the list of running tasks.
	Fenced ReplyResult = "fenced"
	// Rebooted means that the worker has a new incarnation. Everything that the previous one ran has ended.
	Rebooted ReplyResult = "rebooted"
	// Superseded means that the worker has seen a higher epoch.
	Superseded ReplyResult = "superseded"
	// Refused is any other refusal. It contains no clock reading.
	Refused ReplyResult = "refused"
	// Outdated is a reply to a request that was sent before the newest reply was received. It is ignored.
	Outdated ReplyResult = "outdated"
)

// HandleReply applies the reply r, received at now, to a request that was sent at sent.
func (o *Owner) HandleReply(sent, now time.Time, r upstream.LeaseReply) ReplyResult {
	if r.Epoch > o.terms.Epoch {
		return Superseded
	}
	// A restarted worker refuses the clock reading of its previous incarnation; the next request fences it again.
	rebooted := o.fenced && r.Boot != "" && r.Boot != o.boot
	if rebooted && !sent.Before(o.received) {
		*o = Owner{terms: o.terms, lapsesAt: now}
		if r.Refusal != upstream.RefusalNone {
			return Rebooted
		}
		o.applyReading(now, r)
		return Rebooted
	}
	if r.Refusal != upstream.RefusalNone {
		return Refused
	}
	if o.fenced && (sent.Before(o.received) || r.Boot != o.boot) {
		return Outdated
	}
	if !o.fenced {
		// A fenced worker accepts no renewal of earlier epochs, so only the lease time that it reports itself is left
		// of them.
		o.lapsesAt = now
		if left := r.Expiry - r.Clock; left > 0 {
			o.lapsesAt = now.Add(withDrift(left))
		}
		o.applyReading(now, r)
		return Fenced
	}
	o.applyReading(now, r)
	return Renewed
}

func (o *Owner) applyReading(now time.Time, r upstream.LeaseReply) {
	o.boot, o.clockReading, o.received, o.fenced = r.Boot, r.Clock, now, true
}

// Lapsed reports whether no lease of the worker can be valid any more, so that all of its attempts have certainly
// ended.
func (o *Owner) Lapsed(now time.Time) bool { return !now.Before(o.lapsesAt) }

// LapseTime returns the time from which Lapsed holds.
func (o *Owner) LapseTime() time.Time { return o.lapsesAt }

// MayRenew reports whether an owner may still renew leases if it sent its newest successful read of the log at
// lastRead.
func (t Terms) MayRenew(now, lastRead time.Time) bool { return now.Sub(lastRead) < t.IsolationLimit }
