// Package lease holds anchored worker leases: the owner's and the worker's side. It uses no clock, network or goroutine.
package lease

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// MaxTTL bounds the time to live of one renewal, so that a malformed renewal cannot hold tasks for ever.
const MaxTTL = time.Hour

// Worker is the worker's side of its lease. Every time is a reading of the worker's own clock. The zero value has seen no owner and has
// no lease.
type Worker struct {
	shard  string
	epoch  uint64
	expiry time.Duration
	active bool
}

// Renewal is the worker's answer to a fence or a renewal.
type Renewal struct {
	Refusal upstream.Refusal
	// NewEpoch tells that the worker has seen this epoch for the first time.
	NewEpoch bool
}

// Renew fences the worker with an epoch and extends its lease to asOf + ttl. asOf is a reading of the worker's clock that the owner
// echoes; zero only fences.
//
// The lease is anchored to asOf and never to now, so a renewal that was delayed for longer than ttl cannot revive it. An expiry never
// moves back: owners count on the latest one that they sent, and renewals can overtake each other. A renewal that carries a reading
// from the future was not derived from this worker's clock and only fences. The caller reports an end of the lease with Lapse first.
func (w *Worker) Renew(now time.Duration, shard string, epoch uint64, asOf, ttl time.Duration) Renewal {
	if r := w.fenced(shard, epoch); r != upstream.RefusalNone {
		return Renewal{Refusal: r}
	}
	renewal := Renewal{NewEpoch: epoch > w.epoch}
	w.shard, w.epoch = shard, epoch
	if asOf > 0 && asOf <= now && ttl > 0 {
		w.extend(now, asOf+min(ttl, MaxTTL))
	}
	return renewal
}

func (w *Worker) extend(now, expiry time.Duration) {
	// A lease that has ended stays so until Lapse has reported it; otherwise the tasks would go on across the gap.
	if expiry <= now || expiry <= w.expiry || (w.active && now >= w.expiry) {
		return
	}
	w.expiry, w.active = expiry, true
}

// fenced returns the reason to refuse a fence: another shard, epoch zero or an epoch below the highest one seen.
func (w *Worker) fenced(shard string, epoch uint64) upstream.Refusal {
	switch {
	case shard == "" || (w.shard != "" && shard != w.shard):
		return upstream.RefusalWrongShard
	case epoch == 0 || epoch < w.epoch:
		return upstream.RefusalStaleEpoch
	}
	return upstream.RefusalNone
}

// CheckEpoch returns the reason to refuse a call under an epoch. An epoch above the highest one seen is refused too, because its owner has
// not fenced the worker yet.
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

// CheckLease returns the reason to refuse a call that needs a valid lease as well.
func (w *Worker) CheckLease(now time.Duration, shard string, epoch uint64) upstream.Refusal {
	if r := w.CheckEpoch(shard, epoch); r != upstream.RefusalNone {
		return r
	}
	if !w.Valid(now) {
		return upstream.RefusalNoLease
	}
	return upstream.RefusalNone
}

// Valid reports whether the lease has not ended.
func (w *Worker) Valid(now time.Duration) bool { return w.active && now < w.expiry }

// Lapse reports true exactly once after each end of the lease. The worker then stops its tasks.
func (w *Worker) Lapse(now time.Duration) bool {
	if !w.active || now < w.expiry {
		return false
	}
	w.active = false
	return true
}

// Shard returns the shard to which the first owner bound the worker, or the empty string before that.
func (w *Worker) Shard() string { return w.shard }

// Epoch returns the highest epoch seen.
func (w *Worker) Epoch() uint64 { return w.epoch }

// Expiry returns the reading at which the lease ends or ended.
func (w *Worker) Expiry() time.Duration { return w.expiry }
