package shard

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// partBytes bounds the data of one snapshot part; the record around it stays below 64 KiB.
const partBytes = 60 << 10

// Snapshot names a whole snapshot of the stream.
type Snapshot struct {
	// First is the offset of the first part, zero if there is no snapshot. Covers is the last offset it includes.
	First, Covers uint64
}

// Snapshot returns the newest whole snapshot that was read.
func (r *Replayer) Snapshot() Snapshot { return r.snapshot }

// partial collects the parts of one snapshot.
type partial struct {
	id    contract.RecordID
	first uint64
	count int
	// data is kept only while the reader seeks a snapshot.
	data []byte
}

// add reports whether the part continues the sequence.
func (p *partial) add(offset uint64, b *contract.SnapshotPart) bool {
	if b.Part == 0 && b.Snapshot != p.id {
		*p = partial{id: b.Snapshot, first: offset}
	}
	if b.Snapshot != p.id || b.Part != p.count {
		return false
	}
	p.count++
	return true
}

func (p *partial) complete(e *contract.SnapshotEnd) bool {
	return p.count > 0 && p.id == e.Snapshot && p.count == e.Parts
}

// A snapshot of a superseded owner counts as well: it is a function of the records that it covers.
func (r *Replayer) endSnapshot(e *contract.SnapshotEnd) Verdict {
	if !r.parts.complete(e) || e.Covers < r.snapshot.Covers {
		return Stale
	}
	if r.snapshot.First != r.parts.first {
		r.tail = int(min(uint64(r.tail), r.next-1-e.Covers))
	}
	r.snapshot = Snapshot{First: r.parts.first, Covers: e.Covers}
	return Valid
}

// content is the encoded form of a snapshot.
type content struct {
	Covers uint64    `cbor:"1,keyasint"`
	Owner  Ownership `cbor:"2,keyasint"`
	Seen   []byte    `cbor:"3,keyasint"`
	State  []byte    `cbor:"4,keyasint"`
}

// Draft is a snapshot that an owner writes: first the parts, and after they were read back the end.
type Draft struct {
	ID     contract.RecordID
	Covers uint64
	Parts  []*contract.SnapshotPart
}

// Draft encodes the state after the records read so far.
func (r *Replayer) Draft(id contract.RecordID) (*Draft, error) {
	state, err := r.state.Encode()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := cbor.Marshal(content{Covers: r.next - 1, Owner: r.owner, Seen: r.seen.list(), State: state})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d := &Draft{ID: id, Covers: r.next - 1}
	for len(data) > 0 {
		n := min(partBytes, len(data))
		d.Parts = append(d.Parts, &contract.SnapshotPart{Snapshot: id, Part: len(d.Parts), Data: data[:n]})
		data = data[n:]
	}
	return d, nil
}

// End returns the record that completes a draft, once all parts were read back.
func (r *Replayer) End(d *Draft) (*contract.SnapshotEnd, bool) {
	if r.parts.id != d.ID || r.parts.count != len(d.Parts) {
		return nil, false
	}
	return &contract.SnapshotEnd{Snapshot: d.ID, Parts: len(d.Parts), First: r.parts.first, Covers: d.Covers}, true
}

// seek buffers records until a snapshot is whole, restores it and applies the buffered records after it.
func (r *Replayer) seek(offset uint64, rec contract.Record, body contract.Body) {
	r.buffer = append(r.buffer, buffered{offset, rec, body})
	switch b := body.(type) {
	case *contract.Claim:
		r.hint = b.Snapshot
	case *contract.SnapshotPart:
		if r.parts.add(offset, b) {
			r.parts.data = append(r.parts.data, b.Data...)
		}
	case *contract.SnapshotEnd:
		if r.parts.complete(b) && b.Covers+1 >= r.from {
			r.restore(b)
		}
	}
}

func (r *Replayer) restore(e *contract.SnapshotEnd) {
	var c content
	if err := cbor.Unmarshal(r.parts.data, &c); err != nil || c.Covers != e.Covers {
		return
	}
	if err := r.state.Decode(c.State); err != nil {
		r.state.Reset()
		return
	}
	r.owner = c.Owner
	r.seen = windowOf(c.Seen)
	r.flush(e.Covers)
}

// flush leaves the seeking mode and applies the buffered records after the offset covers.
func (r *Replayer) flush(covers uint64) {
	records := r.buffer
	r.buffer, r.seeking, r.parts, r.tail = nil, false, partial{}, 0
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

// Settle is called when a seeking reader has reached the end of the stream. If an older start may lead to a snapshot, it
// returns that offset and true, and the reader has to be restarted there. Otherwise the records that are still kept are
// applied to an empty state.
func (r *Replayer) Settle(oldest uint64) (from uint64, again bool) {
	if !r.seeking {
		return 0, false
	}
	if r.from > oldest {
		back := r.next - r.from + minLookback
		from = oldest
		if r.from > oldest+4*back {
			from = r.from - 4*back
		}
		if r.hint > oldest && r.hint < from {
			from = r.hint
		}
		return from, true
	}
	r.lostStart = true
	r.owner.Epoch = inferEpoch(r.buffer)
	r.flush(0)
	return 0, false
}

// inferEpoch returns the epoch before the first kept record, whose claim is no longer kept: the one that the first claim
// follows, or the highest one that an owner has written under before it.
func inferEpoch(records []buffered) uint64 {
	var epoch uint64
	for _, b := range records {
		if c, ok := b.body.(*contract.Claim); ok {
			return max(epoch, c.After)
		}
		epoch = max(epoch, b.record.Epoch)
	}
	return epoch
}

const minLookback = 1024

// Lookback returns where a reader starts so that it most likely meets a whole snapshot: an owner writes one after every
// every records.
func Lookback(oldest, end uint64, every int) uint64 {
	back := uint64(3*every + minLookback)
	if end < oldest+back {
		return oldest
	}
	return end - back
}
