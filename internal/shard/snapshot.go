package shard

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// maxPartBytes limits the data of one snapshot part, so that its record stays below 64 KiB.
const maxPartBytes = 60 << 10

// Snapshot locates a complete snapshot in the stream.
type Snapshot struct {
	// First is the offset of the first part, zero if there is no snapshot. Covers is the offset of the last record that
	// the snapshot includes.
	First, Covers uint64
}

// Snapshot returns the newest complete snapshot that was read.
func (r *Replayer) Snapshot() Snapshot { return r.snapshot }

// partialSnapshot tracks the parts of one snapshot.
type partialSnapshot struct {
	id    contract.RecordID
	first uint64
	count int
	// data is collected only while the replayer awaits a snapshot.
	data []byte
}

// add adds a part and reports whether it continues the sequence. A first part starts a new sequence.
func (p *partialSnapshot) add(offset uint64, b *contract.SnapshotPart) bool {
	if b.Part == 0 && b.Snapshot != p.id {
		*p = partialSnapshot{id: b.Snapshot, first: offset}
	}
	if b.Snapshot != p.id || b.Part != p.count {
		return false
	}
	p.count++
	return true
}

// complete reports whether e ends the sequence and all parts were added.
func (p *partialSnapshot) complete(e *contract.SnapshotEnd) bool {
	return p.count > 0 && p.id == e.Snapshot && p.count == e.Parts
}

// endSnapshot handles the end of a snapshot. A snapshot of a superseded owner is valid as well, because it is a
// function of the records that it covers.
func (r *Replayer) endSnapshot(e *contract.SnapshotEnd) Outcome {
	if !r.partial.complete(e) || e.Covers < r.snapshot.Covers {
		return Stale
	}
	if r.snapshot.First != r.partial.first {
		r.recordsSinceSnapshot = int(min(uint64(r.recordsSinceSnapshot), r.next-1-e.Covers))
	}
	r.snapshot = Snapshot{First: r.partial.first, Covers: e.Covers}
	return Valid
}

// snapshotContent is the encoded form of a snapshot.
type snapshotContent struct {
	Covers    uint64    `cbor:"1,keyasint"`
	Owner     Ownership `cbor:"2,keyasint"`
	RecentIDs []byte    `cbor:"3,keyasint"`
	State     []byte    `cbor:"4,keyasint"`
}

// Draft is a snapshot that an owner writes: first its parts, and the end after all parts were read back.
type Draft struct {
	ID     contract.RecordID
	Covers uint64
	Parts  []*contract.SnapshotPart
}

// Draft returns a snapshot of the state after the records read so far.
func (r *Replayer) Draft(id contract.RecordID) (*Draft, error) {
	state, err := r.state.Encode()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := cbor.Marshal(snapshotContent{Covers: r.next - 1, Owner: r.owner, RecentIDs: r.recentIDs.encode(),
		State: state})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d := &Draft{ID: id, Covers: r.next - 1}
	for len(data) > 0 {
		n := min(maxPartBytes, len(data))
		d.Parts = append(d.Parts, &contract.SnapshotPart{Snapshot: id, Part: len(d.Parts), Data: data[:n]})
		data = data[n:]
	}
	return d, nil
}

// End returns the record that completes a draft, or false unless the newest parts read are all parts of the draft.
func (r *Replayer) End(d *Draft) (*contract.SnapshotEnd, bool) {
	if r.partial.id != d.ID || r.partial.count != len(d.Parts) {
		return nil, false
	}
	return &contract.SnapshotEnd{Snapshot: d.ID, Parts: len(d.Parts), First: r.partial.first, Covers: d.Covers}, true
}

// bufferUntilSnapshot buffers a record. Once a snapshot is complete, it is restored and the buffered records after it
// are applied.
func (r *Replayer) bufferUntilSnapshot(offset uint64, rec contract.Record, body contract.Body) {
	r.buffer = append(r.buffer, bufferedRecord{offset, rec, body})
	switch b := body.(type) {
	case *contract.Claim:
		r.snapshotHint = b.Snapshot
	case *contract.SnapshotPart:
		if r.partial.add(offset, b) {
			r.partial.data = append(r.partial.data, b.Data...)
		}
	case *contract.SnapshotEnd:
		if r.partial.complete(b) && b.Covers+1 >= r.startOffset {
			r.restore(b)
		}
	}
}

// restore restores the collected snapshot and applies the buffered records. A snapshot that cannot be decoded is
// skipped.
func (r *Replayer) restore(e *contract.SnapshotEnd) {
	var c snapshotContent
	if err := cbor.Unmarshal(r.partial.data, &c); err != nil || c.Covers != e.Covers {
		return
	}
	if err := r.state.Decode(c.State); err != nil {
		r.state.Reset()
		return
	}
	r.owner = c.Owner
	r.recentIDs = decodeIDWindow(c.RecentIDs)
	r.applyBuffered(e.Covers)
}

// applyBuffered ends the search for a snapshot and applies the buffered records after the offset covers.
func (r *Replayer) applyBuffered(covers uint64) {
	records := r.buffer
	r.buffer, r.awaitingSnapshot, r.partial, r.recordsSinceSnapshot = nil, false, partialSnapshot{}, 0
	for _, b := range records {
		switch b.body.(type) {
		case *contract.SnapshotPart, *contract.SnapshotEnd:
			r.apply(b.offset, b.record, b.body)
			continue
		}
		if b.offset > covers {
			r.apply(b.offset, b.record, b.body)
		}
	}
}

// EndOfStream must be called when the replayer has reached the end of the stream; oldest is the oldest retained offset.
// If no snapshot was found and an earlier start may lead to one, EndOfStream returns that offset and true, and the
// caller must restart the replayer there. If no earlier record is retained, the buffered records are applied to an
// empty state.
func (r *Replayer) EndOfStream(oldest uint64) (from uint64, again bool) {
	if !r.awaitingSnapshot {
		return 0, false
	}
	if r.startOffset > oldest {
		lookback := r.next - r.startOffset + minLookbackRecords
		from = oldest
		if r.startOffset > oldest+4*lookback {
			from = r.startOffset - 4*lookback
		}
		if r.snapshotHint > oldest && r.snapshotHint < from {
			from = r.snapshotHint
		}
		return from, true
	}
	r.historyTruncated = true
	r.owner.Epoch = inferEpoch(r.buffer)
	r.applyBuffered(0)
	return 0, false
}

// inferEpoch returns the epoch before the first of the records, whose claim is no longer retained: the epoch that the
// first claim in records follows, or the highest epoch of the records before that claim.
func inferEpoch(records []bufferedRecord) uint64 {
	var epoch uint64
	for _, b := range records {
		if c, ok := b.body.(*contract.Claim); ok {
			return max(epoch, c.PreviousEpoch)
		}
		epoch = max(epoch, b.record.Epoch)
	}
	return epoch
}

// minLookbackRecords is the minimum number of records that a reader looks back for a snapshot.
const minLookbackRecords = 1024

// Lookback returns the offset from which a reader most likely finds a complete snapshot, given that owners write one
// after every snapshotRecords records. oldest and end are the offsets of the oldest retained record and of the end of
// the stream.
func Lookback(oldest, end uint64, snapshotRecords int) uint64 {
	lookback := uint64(3*snapshotRecords + minLookbackRecords)
	if end < oldest+lookback {
		return oldest
	}
	return end - lookback
}
