package lease

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// maxClockDriftPercent is the largest difference between the rates of two clocks for which leases are safe.
const maxClockDriftPercent = 1

// withDrift returns how long to wait on this clock until d has passed on the worker's clock, even if that clock runs up
// to 1% slower.
func withDrift(d time.Duration) time.Duration { return d + d*maxClockDriftPercent/100 }

// Terms are the common terms of all leases that an owner grants in one epoch of a shard.
type Terms struct {
	Shard string
	Epoch uint64
	Owner instance.ID
	TTL   time.Duration
	// IsolationLimit is how long an owner that cannot reach the log may renew leases, counted from its newest
	// successful read of the log. A later owner relies on it when it waits for the leases of this epoch to end.
	IsolationLimit time.Duration
	// ClaimReadAt is when this owner read its own claim in the log. AfterRelease reports whether the previous epoch, if
	// there was one, ended with a Release.
	ClaimReadAt  time.Time
	AfterRelease bool
	// EarlierTTL and EarlierIsolation are the limits of earlier owners; they can be longer than those of this epoch.
	EarlierTTL, EarlierIsolation time.Duration
}

// WorkerLease is the owner's side of the lease of one worker.
type WorkerLease struct {
	terms       Terms
	incarnation instance.Incarnation
	// clockReading is the newest known reading of the worker's clock, received the time of its receipt on this clock.
	clockReading time.Duration
	received     time.Time
	// fenced reports whether the worker has answered this epoch.
	fenced bool
	// lapsesAt is when every lease that the worker can hold has ended.
	lapsesAt time.Time
}

// NewWorkerLease returns the lease of a worker that has not answered this epoch yet.
//
// Until it answers, the worker may hold a lease of an earlier owner. That owner stopped renewing with its Release, or
// stops within the isolation limit after ClaimReadAt. Its last lease then runs for at most one more TTL.
func NewWorkerLease(t Terms) *WorkerLease {
	wait := withDrift(max(t.TTL, t.EarlierTTL))
	if !t.AfterRelease {
		wait += withDrift(max(t.IsolationLimit, t.EarlierIsolation))
	}
	return &WorkerLease{terms: t, lapsesAt: t.ClaimReadAt.Add(wait)}
}

// Fenced reports whether the worker has answered this epoch. It refuses all earlier epochs from then on.
func (l *WorkerLease) Fenced() bool { return l.fenced }

// Incarnation returns the worker's incarnation, empty before the first answer.
func (l *WorkerLease) Incarnation() instance.Incarnation { return l.incarnation }

// Received returns when the newest accepted reply was received, zero before the first one.
func (l *WorkerLease) Received() time.Time { return l.received }

// NextRequest returns the next lease request, which echoes the newest clock reading. Calling it extends the time
// until which the worker may hold a lease.
func (l *WorkerLease) NextRequest() upstream.LeaseRequest {
	req := upstream.LeaseRequest{Shard: l.terms.Shard, Epoch: l.terms.Epoch, Owner: l.terms.Owner, TTL: l.terms.TTL}
	if !l.fenced {
		req.Full = true
		return req
	}
	req.AsOf, req.Incarnation = l.clockReading, l.incarnation
	l.extend(l.received.Add(withDrift(l.terms.TTL)))
	return req
}

// StartDeadline returns the reading of the worker's clock until which a start call that is sent now may be executed, or
// zero before the first reply. Calling it extends the time until which the worker may hold a lease.
func (l *WorkerLease) StartDeadline() time.Duration {
	if !l.fenced {
		return 0
	}
	l.extend(l.received.Add(withDrift(l.terms.TTL)))
	return l.clockReading + l.terms.TTL
}

// extend moves the lapse time to a later time.
func (l *WorkerLease) extend(to time.Time) {
	if to.After(l.lapsesAt) {
		l.lapsesAt = to
	}
}

// ReplyResult is the meaning of a reply.
type ReplyResult string

// The results of a reply.
const (
	Renewed ReplyResult = "renewed"
	// FirstReply is the first reply in this epoch. It contains the list of running tasks.
	FirstReply ReplyResult = "fenced"
	// Restarted means that the worker has a new incarnation. All tasks of the previous incarnation have ended.
	Restarted ReplyResult = "rebooted"
	// Superseded means that the worker has seen a higher epoch.
	Superseded ReplyResult = "superseded"
	// Refused is any other refusal. It contains no clock reading.
	Refused ReplyResult = "refused"
	// Outdated is a reply to a request that was sent before the newest reply was received. It is ignored.
	Outdated ReplyResult = "outdated"
)

// HandleReply applies the reply r, received at now, to a request that was sent at sent.
func (l *WorkerLease) HandleReply(sent, now time.Time, r upstream.LeaseReply) ReplyResult {
	if r.Epoch > l.terms.Epoch {
		return Superseded
	}
	// A restarted worker refuses the clock reading of its previous incarnation. The state is reset, so after such a
	// refusal the next request fences the worker again and asks for a full reply.
	restarted := l.fenced && r.Incarnation != "" && r.Incarnation != l.incarnation
	if restarted && !sent.Before(l.received) {
		*l = WorkerLease{terms: l.terms, lapsesAt: now}
		if r.Refusal != upstream.RefusalNone {
			return Restarted
		}
		l.applyReading(now, r)
		return Restarted
	}
	if r.Refusal != upstream.RefusalNone {
		return Refused
	}
	if l.fenced && (sent.Before(l.received) || r.Incarnation != l.incarnation) {
		return Outdated
	}
	if !l.fenced {
		// From now on the worker refuses renewals of earlier epochs. So the only earlier lease is the one whose
		// remaining time it reports.
		l.lapsesAt = now
		if left := r.Expiry - r.Clock; left > 0 {
			l.lapsesAt = now.Add(withDrift(left))
		}
		l.applyReading(now, r)
		return FirstReply
	}
	l.applyReading(now, r)
	return Renewed
}

func (l *WorkerLease) applyReading(now time.Time, r upstream.LeaseReply) {
	l.incarnation, l.clockReading, l.received, l.fenced = r.Incarnation, r.Clock, now, true
}

// Lapsed reports whether no lease of the worker can be valid any more, so that all of its attempts have certainly
// ended.
func (l *WorkerLease) Lapsed(now time.Time) bool { return !now.Before(l.lapsesAt) }

// LapseTime returns the time from which Lapsed holds.
func (l *WorkerLease) LapseTime() time.Time { return l.lapsesAt }

// MayRenew reports whether an owner whose newest successful read of the log was sent at lastRead may still renew
// leases.
func (t Terms) MayRenew(now, lastRead time.Time) bool { return now.Sub(lastRead) < t.IsolationLimit }
