// Package shard decides which records of a shard's stream are valid, and which scheduler owns the shard. It uses no
// clock, network or goroutine.
package shard

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// State is the state machine of a shard, which valid records change. It is a function of the records applied so far.
type State interface {
	// Apply applies one valid record. An error reports why the state ignored it.
	Apply(offset, epoch uint64, b contract.Body) error
	// Encode returns the encoded state. Decode replaces the state by an encoded one.
	Encode() ([]byte, error)
	Decode(data []byte) error
	// Reset empties the state.
	Reset()
}

// Outcome is what a replayer did with a record.
type Outcome string

// The outcomes. Valid and Ignored records passed the Replayer's checks; an Ignored one was then rejected by the State.
const (
	Valid         Outcome = "valid"
	Ignored       Outcome = "ignored"
	Duplicate     Outcome = "duplicate"
	Stale         Outcome = "stale-epoch"
	ClaimConflict Outcome = "void-claim"
	Malformed     Outcome = "malformed"
	// Buffered records are kept until a complete snapshot has been read.
	Buffered Outcome = "buffered"
)

// Result describes one record that Apply consumed.
type Result struct {
	Offset  uint64
	Record  contract.Record
	Body    contract.Body
	Outcome Outcome
	// Err is the reason for the outcomes Ignored and Malformed.
	Err error
}

// Ownership is the newest valid claim of a shard. It is encoded in snapshots by field name; do not rename fields.
type Ownership struct {
	// Epoch is the offset of the claim, zero if there was none.
	Epoch    uint64
	Claim    contract.Claim
	Released bool
	// AfterRelease reports whether the previous epoch was released, or there was none.
	AfterRelease bool
	// EarlierTTL and EarlierIsolation are the largest limits of all earlier epochs since the newest release, because
	// their owners may still renew leases. EarlierTTL also covers the released epoch itself, whose last leases may
	// still be valid, and the leases that its Release names, which a still earlier owner may have granted.
	EarlierTTL, EarlierIsolation time.Duration
}

// Replayer consumes the records of one stream in the order of their offsets.
type Replayer struct {
	shard     string
	state     State
	next      uint64
	owner     Ownership
	recentIDs *idWindow
	snapshot  Snapshot
	partial   partialSnapshot
	// recordsSinceSnapshot counts the records after the newest complete snapshot, except those that belong to
	// snapshots.
	recordsSinceSnapshot int
	// awaitingSnapshot is set while records are only buffered, because no complete snapshot has been read since
	// startOffset.
	awaitingSnapshot bool
	startOffset      uint64
	buffer           []bufferedRecord
	// snapshotHint is the snapshot offset named in the newest buffered claim, or zero.
	snapshotHint uint64
	// historyTruncated is set if the state was built from the oldest retained record without a snapshot.
	historyTruncated bool
}

type bufferedRecord struct {
	offset uint64
	record contract.Record
	body   contract.Body
}

// NewReplayer returns a replayer whose first record has the offset from. Unless from is 1, records are buffered until a
// complete snapshot was read, or until EndOfStream finds that no earlier record is retained.
func NewReplayer(name string, s State, from uint64) *Replayer {
	r := &Replayer{shard: name, state: s}
	r.Restart(from)
	return r
}

// Restart resets the replayer and its state and continues at the offset from. Unless from is 1, records are buffered as
// described at NewReplayer.
func (r *Replayer) Restart(from uint64) {
	r.state.Reset()
	*r = Replayer{shard: r.shard, state: r.state, next: from, startOffset: from, awaitingSnapshot: from > 1,
		recentIDs: newIDWindow()}
}

// Next returns the offset of the next record.
func (r *Replayer) Next() uint64 { return r.next }

// AwaitingSnapshot reports whether the state is still unknown, because no complete snapshot was read.
func (r *Replayer) AwaitingSnapshot() bool { return r.awaitingSnapshot }

// Ownership returns the newest valid claim.
func (r *Replayer) Ownership() Ownership { return r.owner }

// RecordsSinceSnapshot returns the number of records since the newest complete snapshot.
func (r *Replayer) RecordsSinceSnapshot() int { return r.recordsSinceSnapshot }

// Apply consumes the record at offset. It returns a *GapError if offset is not the next one.
func (r *Replayer) Apply(offset uint64, data []byte) (Result, error) {
	if offset != r.next {
		return Result{}, &GapError{Shard: r.shard, Want: r.next, Got: offset}
	}
	r.next++
	rec, body, err := contract.DecodeRecord(data)
	if err != nil {
		return Result{Offset: offset, Record: rec, Outcome: Malformed, Err: err}, nil
	}
	res := Result{Offset: offset, Record: rec, Body: body, Outcome: Buffered}
	if r.awaitingSnapshot {
		r.bufferUntilSnapshot(offset, rec, body)
		return res, nil
	}
	res.Outcome, res.Err = r.apply(offset, rec, body)
	return res, nil
}

func (r *Replayer) apply(offset uint64, rec contract.Record, body contract.Body) (Outcome, error) {
	switch b := body.(type) {
	case *contract.SnapshotPart:
		r.partial.add(offset, b)
		return Valid, nil
	case *contract.SnapshotEnd:
		return r.endSnapshot(b), nil
	}
	r.recordsSinceSnapshot++
	if !r.recentIDs.add(rec.ID) {
		return Duplicate, nil
	}
	switch b := body.(type) {
	case *contract.Claim:
		return r.applyClaim(offset, *b), nil
	case *contract.Release:
		if !r.isCurrentEpoch(rec.Epoch) {
			return Stale, nil
		}
		r.owner.Released, r.owner.EarlierTTL = true, b.LeasesLeft
		return Valid, nil
	}
	if requiresOwner(body) && !r.isCurrentEpoch(rec.Epoch) {
		return Stale, nil
	}
	if err := r.state.Apply(offset, rec.Epoch, body); err != nil {
		return Ignored, err
	}
	return Valid, nil
}

func (r *Replayer) applyClaim(offset uint64, c contract.Claim) Outcome {
	if c.PreviousEpoch != r.owner.Epoch {
		return ClaimConflict
	}
	previous := r.owner
	r.owner = Ownership{Epoch: offset, Claim: c, AfterRelease: previous.Released || previous.Epoch == 0 &&
		!r.historyTruncated,
		EarlierTTL: max(previous.Claim.TTL, previous.EarlierTTL)}
	if !r.owner.AfterRelease {
		r.owner.EarlierIsolation = max(previous.Claim.Isolation, previous.EarlierIsolation)
	}
	return Valid
}

// isCurrentEpoch reports whether epoch is that of the newest claim, and the claim is not released.
func (r *Replayer) isCurrentEpoch(epoch uint64) bool {
	return epoch != 0 && epoch == r.owner.Epoch && !r.owner.Released
}

// requiresOwner reports whether only the owner of the shard may write the record.
func requiresOwner(b contract.Body) bool {
	switch b.RecordKind() {
	case contract.KindPlace, contract.KindClose, contract.KindTransferOut:
		return true
	}
	return false
}
