// Package lease implements worker leases that are anchored to readings of the worker's own clock: the owner's side
// (WorkerLease) and the worker's side (Worker). It uses no clock, network or goroutine.
package lease

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// MaxTTL limits the TTL of one renewal, so that a malformed renewal cannot create a lease of unlimited length.
const MaxTTL = time.Hour

// Worker is the worker's side of its lease. All times are readings of the worker's own clock. The zero value is not
// bound to a shard, has seen no epoch and has no lease.
type Worker struct {
	shard  string
	epoch  uint64
	expiry time.Duration
	active bool
}

// Renewal is the result of Renew.
type Renewal struct {
	Refusal upstream.Refusal
	// NewEpoch reports whether the worker has seen this epoch for the first time.
	NewEpoch bool
}

// Renew fences the worker with an epoch and extends its lease to asOf + ttl. asOf is a reading of the worker's clock
// that the owner echoes; zero only fences the worker.
//
// The lease is anchored to asOf, not to now, so a renewal that was delayed for longer than ttl cannot revive it. The
// expiry never moves back: owners rely on the latest one that they sent, and renewals can overtake each other. A
// reading in the future does not come from this worker's clock, so such a renewal only fences. The caller must call
// Lapse first, so that the end of an earlier lease is reported.
func (w *Worker) Renew(now time.Duration, shard string, epoch uint64, asOf, ttl time.Duration) Renewal {
	if r := w.checkFence(shard, epoch); r != upstream.RefusalNone {
		return Renewal{Refusal: r}
	}
	renewal := Renewal{NewEpoch: epoch > w.epoch}
	w.shard, w.epoch = shard, epoch
	if asOf > 0 && asOf <= now && ttl > 0 {
		w.extend(now, asOf+min(ttl, MaxTTL))
	}
	return renewal
}

// extend moves the expiry of the lease to a later time.
func (w *Worker) extend(now, expiry time.Duration) {
	// A lease that has ended is not extended until Lapse has reported its end; otherwise tasks would keep running
	// across the gap.
	if expiry <= now || expiry <= w.expiry || (w.active && now >= w.expiry) {
		return
	}
	w.expiry, w.active = expiry, true
}

// checkFence returns the reason to refuse a fence: another shard, epoch zero or an epoch below the highest one seen.
func (w *Worker) checkFence(shard string, epoch uint64) upstream.Refusal {
	switch {
	case shard == "" || (w.shard != "" && shard != w.shard):
		return upstream.RefusalWrongShard
	case epoch == 0 || epoch < w.epoch:
		return upstream.RefusalStaleEpoch
	}
	return upstream.RefusalNone
}

// CheckEpoch returns the reason to refuse a call made in an epoch. An epoch above the highest one seen is refused too,
// because its owner has not fenced the worker yet.
func (w *Worker) CheckEpoch(shard string, epoch uint64) upstream.Refusal {
	switch {
	case w.shard != "" && shard != w.shard:
		return upstream.RefusalWrongShard
	case epoch < w.epoch:
		return upstream.RefusalStaleEpoch
	case w.epoch == 0 || epoch > w.epoch:
		return upstream.RefusalNoLease
	}
	return upstream.RefusalNone
}

// CheckLease returns the reason to refuse a call that needs the right epoch and a valid lease.
func (w *Worker) CheckLease(now time.Duration, shard string, epoch uint64) upstream.Refusal {
	if r := w.CheckEpoch(shard, epoch); r != upstream.RefusalNone {
		return r
	}
	if !w.Valid(now) {
		return upstream.RefusalNoLease
	}
	return upstream.RefusalNone
}

// Valid reports whether the worker holds a lease that has not ended.
func (w *Worker) Valid(now time.Duration) bool { return w.active && now < w.expiry }

// Lapse returns true exactly once after each end of the lease. The caller must then stop the worker's tasks.
func (w *Worker) Lapse(now time.Duration) bool {
	if !w.active || now < w.expiry {
		return false
	}
	w.active = false
	return true
}

// Shard returns the shard to which the first fence bound the worker, or the empty string before that.
func (w *Worker) Shard() string { return w.shard }

// Epoch returns the highest epoch seen, zero if there was none.
func (w *Worker) Epoch() uint64 { return w.epoch }

// Expiry returns the clock reading at which the lease ends or has ended, zero if there was no lease.
func (w *Worker) Expiry() time.Duration { return w.expiry }
