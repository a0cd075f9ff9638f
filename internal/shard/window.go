package shard

import "clementinewalk.example/clementinewalk/internal/contract"

// windowSize is the number of record ids that a reader remembers to detect duplicates.
//
// A duplicate of a record can appear only while its writer still retries the append. An owner has one append in flight
// for a shard and stops retrying a record once it has read it back, and duplicates from an older epoch are void anyway.
// Two copies are therefore separated at most by the records that other writers (submissions, cancellations, transfers)
// append within one append timeout. The platform accepts several hundred appends a second; 4096 ids cover ten seconds
// of that on a single shard. The window counts records, not time, so an outage of the log between the two copies does
// not matter.
const windowSize = 4096

// idWindow holds the newest windowSize record ids in order.
type idWindow struct {
	ring []contract.RecordID
	next int
	set  map[contract.RecordID]struct{}
}

func newIDWindow() *idWindow { return &idWindow{set: make(map[contract.RecordID]struct{})} }

// add adds id, dropping the oldest id if the window is full, and reports whether id was new.
func (w *idWindow) add(id contract.RecordID) bool {
	if _, seen := w.set[id]; seen {
		return false
	}
	w.set[id] = struct{}{}
	if len(w.ring) < windowSize {
		w.ring = append(w.ring, id)
		return true
	}
	delete(w.set, w.ring[w.next])
	w.ring[w.next] = id
	w.next = (w.next + 1) % windowSize
	return true
}

// encode returns the concatenated ids, oldest first.
func (w *idWindow) encode() []byte {
	out := make([]byte, 0, len(w.ring)*len(contract.RecordID{}))
	for i := range w.ring {
		id := w.ring[(w.next+i)%len(w.ring)]
		out = append(out, id[:]...)
	}
	return out
}

// decodeIDWindow returns the window that encode returned.
func decodeIDWindow(ids []byte) *idWindow {
	w := newIDWindow()
	const size = len(contract.RecordID{})
	for ; len(ids) >= size; ids = ids[size:] {
		w.add(contract.RecordID(ids[:size]))
	}
	return w
}
