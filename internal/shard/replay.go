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

// Verdict is what a reader did with a record.
type Verdict string

// The verdicts. Valid and Ignored records have passed the checks of the Replayer; only Valid ones take effect.
const (
	Valid     Verdict = "valid"
	Ignored   Verdict = "ignored"
	Duplicate Verdict = "duplicate"
	Stale     Verdict = "stale-epoch"
	VoidClaim Verdict = "void-claim"
	Malformed Verdict = "malformed"
	// Buffered records are kept until a complete snapshot has been read.
	Buffered Verdict = "buffered"
)

// Result is the outcome of consuming one record.
type Result struct {
	Offset  uint64
	Record  contract.Record
	Body    contract.Body
	Verdict Verdict
	// Err is the reason of the verdicts Ignored and Malformed.
	Err error
}

// Ownership is the newest valid claim of a shard. It is part of snapshots under the names of its fields.
type Ownership struct {
	// Epoch is the offset of the claim, zero if there was none.
	Epoch    uint64
	Claim    contract.Claim
	Released bool
	// AfterRelease reports whether the previous epoch was released, or there was none.
	AfterRelease bool
	// EarlierTTL and EarlierIsolation are the largest limits of the earlier epochs whose owners may still renew leases,
	// that is, of all epochs since the newest release.
	EarlierTTL, EarlierIsolation time.Duration
}

// Replayer consumes the records of one stream in the order of their offsets.
type Replayer struct {
	shard    string
	state    State
	next     uint64
	owner    Ownership
	seen     *idWindow
	snapshot Snapshot
	partial  partialSnapshot
	// recordsSinceSnapshot counts the records after the newest complete snapshot, except those that belong to
	// snapshots.
	recordsSinceSnapshot int
	// seeking is set while the state before startOffset is unknown; buffer holds the records read from there.
	seeking     bool
	startOffset uint64
	buffer      []bufferedRecord
	// snapshotHint is the offset of the snapshot that the newest buffered claim names, zero if there is none.
	snapshotHint uint64
	// startTruncated is set if the state was built from the oldest retained record without a snapshot.
	startTruncated bool
}

type bufferedRecord struct {
	offset uint64
	record contract.Record
	body   contract.Body
}

// NewReplayer returns a replayer whose first record has the offset from. Unless that is 1, records are buffered until a
// complete snapshot has been read or Settle is called.
func NewReplayer(name string, s State, from uint64) *Replayer {
	r := &Replayer{shard: name, state: s}
	r.Restart(from)
	return r
}

// Restart resets the replayer and its state and continues at the offset from.
func (r *Replayer) Restart(from uint64) {
	r.state.Reset()
	*r = Replayer{shard: r.shard, state: r.state, next: from, startOffset: from, seeking: from > 1, seen: newIDWindow()}
}

// Next returns the offset of the next record.
func (r *Replayer) Next() uint64 { return r.next }

// Seeking reports whether the state is still unknown, because no complete snapshot was read.
func (r *Replayer) Seeking() bool { return r.seeking }

// Owner returns the newest valid claim.
func (r *Replayer) Owner() Ownership { return r.owner }

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
		return Result{Offset: offset, Record: rec, Verdict: Malformed, Err: err}, nil
	}
	res := Result{Offset: offset, Record: rec, Body: body, Verdict: Buffered}
	if r.seeking {
		r.seek(offset, rec, body)
		return res, nil
	}
	res.Verdict, res.Err = r.apply(offset, rec, body)
	return res, nil
}

func (r *Replayer) apply(offset uint64, rec contract.Record, body contract.Body) (Verdict, error) {
	switch b := body.(type) {
	case *contract.SnapshotPart:
		r.partial.add(offset, b)
		return Valid, nil
	case *contract.SnapshotEnd:
		return r.endSnapshot(b), nil
	}
	r.recordsSinceSnapshot++
	if !r.seen.add(rec.ID) {
		return Duplicate, nil
	}
	switch b := body.(type) {
	case *contract.Claim:
		return r.claim(offset, *b), nil
	case *contract.Release:
		if !r.isCurrentEpoch(rec.Epoch) {
			return Stale, nil
		}
		r.owner.Released = true
		return Valid, nil
	}
	if needsEpoch(body) && !r.isCurrentEpoch(rec.Epoch) {
		return Stale, nil
	}
	if err := r.state.Apply(offset, rec.Epoch, body); err != nil {
		return Ignored, err
	}
	return Valid, nil
}

func (r *Replayer) claim(offset uint64, c contract.Claim) Verdict {
	if c.After != r.owner.Epoch {
		return VoidClaim
	}
	previous := r.owner
	r.owner = Ownership{Epoch: offset, Claim: c, AfterRelease: previous.Released || previous.Epoch == 0 &&
		!r.startTruncated,
		EarlierTTL: previous.Claim.TTL}
	if !r.owner.AfterRelease {
		r.owner.EarlierTTL = max(previous.Claim.TTL, previous.EarlierTTL)
		r.owner.EarlierIsolation = max(previous.Claim.Isolation, previous.EarlierIsolation)
	}
	return Valid
}

// isCurrentEpoch reports whether epoch is that of the newest claim, and the claim is not released.
func (r *Replayer) isCurrentEpoch(epoch uint64) bool {
	return epoch != 0 && epoch == r.owner.Epoch && !r.owner.Released
}

// needsEpoch reports whether only the owner of the shard may write the record.
func needsEpoch(b contract.Body) bool {
	switch b.RecordKind() {
	case contract.KindPlace, contract.KindClose, contract.KindTransferOut:
		return true
	}
	return false
}
