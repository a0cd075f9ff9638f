// Package shard decides which records of a shard's stream are valid and who owns the shard. It holds no clock, network
// or goroutine.
package shard

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// State is what valid records change. Its content depends only on the records before a given offset.
type State interface {
	// Apply handles one valid record. An error tells why the state ignored it.
	Apply(offset, epoch uint64, b contract.Body) error
	// Encode returns the whole state, Decode replaces it.
	Encode() ([]byte, error)
	Decode(data []byte) error
	// Reset empties the state.
	Reset()
}

// Verdict tells what a reader did with a record.
type Verdict string

// The verdicts. Only valid records have reached the state.
const (
	Valid     Verdict = "valid"
	Ignored   Verdict = "ignored"
	Duplicate Verdict = "duplicate"
	Stale     Verdict = "stale-epoch"
	VoidClaim Verdict = "void-claim"
	Malformed Verdict = "malformed"
	// Buffered records wait for a whole snapshot.
	Buffered Verdict = "buffered"
)

// Result is the outcome of one record.
type Result struct {
	Offset  uint64
	Record  contract.Record
	Body    contract.Body
	Verdict Verdict
	// Err is the reason of Ignored and Malformed.
	Err error
}

// Ownership is the newest valid claim of a shard.
type Ownership struct {
	// Epoch is the offset of the claim, zero if there was none.
	Epoch    uint64
	Claim    contract.Claim
	Released bool
	// AfterRelease tells that the epoch before this one was released, or that there was none.
	AfterRelease bool
	// EarlierTTL and EarlierIsolation are the largest values of the epochs before this one whose owners may still renew: all of them
	// back to the newest release.
	EarlierTTL, EarlierIsolation time.Duration
}

// Replayer consumes the records of one stream in order of offsets.
type Replayer struct {
	shard    string
	state    State
	next     uint64
	owner    Ownership
	seen     *window
	snapshot Snapshot
	parts    partial
	// tail counts the records after the newest whole snapshot, without those that belong to snapshots.
	tail int
	// seeking is set while the state before next is unknown; buffer holds the records read since then.
	seeking bool
	from    uint64
	buffer  []buffered
	hint    uint64
	// lostStart tells that the state began with the oldest kept record and without a snapshot.
	lostStart bool
}

type buffered struct {
	offset uint64
	record contract.Record
	body   contract.Body
}

// NewReplayer returns a reader whose first record has the offset from. Unless that is 1, records are buffered until a
// whole snapshot has been read or Settle is called.
func NewReplayer(name string, s State, from uint64) *Replayer {
	r := &Replayer{shard: name, state: s}
	r.Restart(from)
	return r
}

// Restart forgets everything and continues at the offset from.
func (r *Replayer) Restart(from uint64) {
	r.state.Reset()
	*r = Replayer{shard: r.shard, state: r.state, next: from, from: from, seeking: from > 1, seen: newWindow()}
}

// Next returns the offset of the next record.
func (r *Replayer) Next() uint64 { return r.next }

// Seeking reports whether the state is still unknown.
func (r *Replayer) Seeking() bool { return r.seeking }

// Owner returns the newest valid claim.
func (r *Replayer) Owner() Ownership { return r.owner }

// Tail returns the number of records since the newest whole snapshot.
func (r *Replayer) Tail() int { return r.tail }

// Apply consumes the record at offset. It returns a *GapError if offset is not the one that follows.
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
		r.parts.add(offset, b)
		return Valid, nil
	case *contract.SnapshotEnd:
		return r.endSnapshot(b), nil
	}
	r.tail++
	if !r.seen.add(rec.ID) {
		return Duplicate, nil
	}
	switch b := body.(type) {
	case *contract.Claim:
		return r.claim(offset, *b), nil
	case *contract.Release:
		if !r.current(rec.Epoch) {
			return Stale, nil
		}
		r.owner.Released = true
		return Valid, nil
	}
	if needsEpoch(body) && !r.current(rec.Epoch) {
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
	before := r.owner
	r.owner = Ownership{Epoch: offset, Claim: c, AfterRelease: before.Released || before.Epoch == 0 && !r.lostStart,
		EarlierTTL: before.Claim.TTL}
	if !r.owner.AfterRelease {
		r.owner.EarlierTTL = max(before.Claim.TTL, before.EarlierTTL)
		r.owner.EarlierIsolation = max(before.Claim.Isolation, before.EarlierIsolation)
	}
	return Valid
}

func (r *Replayer) current(epoch uint64) bool {
	return epoch != 0 && epoch == r.owner.Epoch && !r.owner.Released
}

// needsEpoch reports whether only the owner may write the record.
func needsEpoch(b contract.Body) bool {
	switch b.RecordKind() {
	case contract.KindPlace, contract.KindClose, contract.KindTransferOut:
		return true
	}
	return false
}
