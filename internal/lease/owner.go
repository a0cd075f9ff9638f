package lease

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// driftPercent is the largest difference between the speeds of two clocks that is allowed for.
const driftPercent = 1

// withDrift returns the time on this clock by which d has certainly passed on the worker's.
func withDrift(d time.Duration) time.Duration { return d + d*driftPercent/100 }

// Terms are what an owner's leases of a shard have in common.
type Terms struct {
	Shard string
	Epoch uint64
	Owner instance.ID
	TTL   time.Duration
	// IsolationLimit is how long an owner renews without any sign that the log is reachable.
	IsolationLimit time.Duration
	// ReadBack is the time at which this owner read its claim back; AfterRelease tells that the epoch before it, if there was
	// one, ended with a Release.
	ReadBack     time.Time
	AfterRelease bool
	// EarlierTTL and EarlierIsolation are the values of the owners before, which a newer manifest may have lowered.
	EarlierTTL, EarlierIsolation time.Duration
}

// Owner is the owner's side of the lease of one worker.
type Owner struct {
	terms Terms
	boot  instance.Incarnation
	// reading is the worker's newest clock reading, received its time of receipt on this clock.
	reading  time.Duration
	received time.Time
	heard    bool
	// lapse is the time by which every lease that the worker can hold has ended.
	lapse time.Time
}

// NewOwner returns the lease of a worker that this epoch's owner has not reached yet.
//
// Until the worker answers, the previous owner's renewals count: they ended with its Release, or at the isolation limit
// after this claim was readable, and the last of them lasts one TTL longer.
func NewOwner(t Terms) *Owner {
	wait := withDrift(max(t.TTL, t.EarlierTTL))
	if !t.AfterRelease {
		wait += withDrift(max(t.IsolationLimit, t.EarlierIsolation))
	}
	return &Owner{terms: t, lapse: t.ReadBack.Add(wait)}
}

// Fenced reports whether the worker has answered this epoch, so that it refuses all earlier ones.
func (o *Owner) Fenced() bool { return o.heard }

// Boot returns the worker's incarnation, empty before the first answer.
func (o *Owner) Boot() instance.Incarnation { return o.boot }

// Received returns the time of the newest answer.
func (o *Owner) Received() time.Time { return o.received }

// Next returns the next request. It echoes the newest reading, and the lease that this may grant counts from now on.
func (o *Owner) Next() upstream.LeaseRequest {
	req := upstream.LeaseRequest{Shard: o.terms.Shard, Epoch: o.terms.Epoch, Owner: o.terms.Owner, TTL: o.terms.TTL}
	if !o.heard {
		req.Full = true
		return req
	}
	req.AsOf, req.Boot = o.reading, o.boot
	o.extend(o.received.Add(withDrift(o.terms.TTL)))
	return req
}

// StartBound returns the worker's clock reading until which a start call that is sent now may be executed. Like a renewal
// it counts for the lapse. It returns zero before the first answer.
func (o *Owner) StartBound() time.Duration {
	if !o.heard {
		return 0
	}
	o.extend(o.received.Add(withDrift(o.terms.TTL)))
	return o.reading + o.terms.TTL
}

func (o *Owner) extend(to time.Time) {
	if to.After(o.lapse) {
		o.lapse = to
	}
}

// Answer tells what a reply means.
type Answer string

// The meanings of a reply.
const (
	Renewed Answer = "renewed"
	// Fenced is the first answer under this epoch; it lists what runs.
	Fenced Answer = "fenced"
	// Rebooted tells that the worker has a new incarnation and that everything it ran before is gone.
	Rebooted Answer = "rebooted"
	// Superseded tells that the worker has seen a higher epoch.
	Superseded Answer = "superseded"
	// Refused is any other refusal. It carries no reading.
	Refused Answer = "refused"
	// Outdated is an answer to a request that was sent before the newest answer was received.
	Outdated Answer = "outdated"
)

// Reply takes in the answer to a request that was sent at the time sent.
func (o *Owner) Reply(sent, now time.Time, r upstream.LeaseReply) Answer {
	if r.Epoch > o.terms.Epoch {
		return Superseded
	}
	// A restart makes the worker refuse the old incarnation's reading; the next request fences it anew.
	rebooted := o.heard && r.Boot != "" && r.Boot != o.boot
	if rebooted && !sent.Before(o.received) {
		*o = Owner{terms: o.terms, lapse: now}
		if r.Refusal != upstream.RefusalNone {
			return Rebooted
		}
		o.take(now, r)
		return Rebooted
	}
	if r.Refusal != upstream.RefusalNone {
		return Refused
	}
	if o.heard && (sent.Before(o.received) || r.Boot != o.boot) {
		return Outdated
	}
	if !o.heard {
		// Fenced: only what the worker itself still counts as its lease is left of earlier epochs.
		o.lapse = now
		if left := r.Expiry - r.Clock; left > 0 {
			o.lapse = now.Add(withDrift(left))
		}
		o.take(now, r)
		return Fenced
	}
	o.take(now, r)
	return Renewed
}

func (o *Owner) take(now time.Time, r upstream.LeaseReply) {
	o.boot, o.reading, o.received, o.heard = r.Boot, r.Clock, now, true
}

// Lapsed reports whether no lease of the worker can be in force any more, so that its attempts have certainly ended.
func (o *Owner) Lapsed(now time.Time) bool { return !now.Before(o.lapse) }

// Lapse returns the time from which Lapsed holds.
func (o *Owner) Lapse() time.Time { return o.lapse }

// MayRenew reports whether an owner that had its last sign of the log at lastSign still renews leases.
func (t Terms) MayRenew(now, lastSign time.Time) bool { return now.Sub(lastSign) < t.IsolationLimit }
