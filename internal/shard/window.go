package shard

import "clementinewalk.example/clementinewalk/internal/contract"

// windowSize is the number of record ids that a reader remembers.
//
// A copy of a record can only follow its first copy while the writer still repeats the append. An owner has one append
// in progress for a shard and stops repeating a record once it has read it back, and a copy from an older epoch is void
// anyway. So the copies lie apart by what other writers (submissions, cancellations, transfers) append within one append
// timeout. The platform takes several hundred appends a second; 4096 ids cover ten seconds of that on a single shard. The
// window counts records and not time, so an outage of the log between the two copies does not matter.
const windowSize = 4096

// window remembers the newest record ids in order.
type window struct {
	ring []contract.RecordID
	next int
	set  map[contract.RecordID]struct{}
}

func newWindow() *window { return &window{set: make(map[contract.RecordID]struct{})} }

// add remembers id and reports whether it was new.
func (w *window) add(id contract.RecordID) bool {
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

// list returns the ids, oldest first.
func (w *window) list() []byte {
	out := make([]byte, 0, len(w.ring)*len(contract.RecordID{}))
	for i := range w.ring {
		id := w.ring[(w.next+i)%len(w.ring)]
		out = append(out, id[:]...)
	}
	return out
}

// windowOf restores what list returned.
func windowOf(ids []byte) *window {
	w := newWindow()
	const size = len(contract.RecordID{})
	for ; len(ids) >= size; ids = ids[size:] {
		w.add(contract.RecordID(ids[:size]))
	}
	return w
}
