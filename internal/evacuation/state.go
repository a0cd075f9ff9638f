// Package evacuation holds which data centres are closed, and decides which long-running tasks are moved out of them.
//
// A closed data centre gets no new task; what runs there may end. The load that the package handles is a pool that has
// lost the room of a whole data centre: hundreds of long-running tasks are to move to workers that already carry the
// tasks which callers wait for. Moved all at once, they would be down together and take that room. They are moved a few
// at a time, within their disruption budgets, and only into room that nothing else needs. The package uses no clock,
// network or goroutine.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Content is what a record says about a data centre.
type Content uint8

// Values of Content. An unreadable record changes nothing.
const (
	Open Content = iota + 1
	Closed
	Unreadable
)

// Record is one record about a data centre.
type Record struct {
	DataCentre string
	Content    Content
	// Offset is the offset of the record in the log.
	Offset int64
}

// Batch holds the records of one read in the order of the log. Reset reports that they are the newest of each data
// centre: one without a record is open. Next is the offset after the last record that was read.
type Batch struct {
	Records []Record
	Reset   bool
	Next    int64
}

// Set is a set of closed data centres. It is not changed after it is returned.
type Set map[string]struct{}

// Contains reports whether a data centre is closed.
func (s Set) Contains(dataCentre string) bool {
	_, ok := s[dataCentre]
	return ok
}

// State is the set of closed data centres as of a position in the log. The zero value has none.
type State struct {
	closed Set
	// offsets holds the offset of the newest record of each data centre that was read.
	offsets map[string]int64
}

// Closed returns the closed data centres.
func (s *State) Closed() Set { return s.closed }

// Apply applies a batch. It returns the records by which a data centre was closed or opened, and those that are
// unreadable. A data centre that a reset opens because its record is missing is returned with the offset Batch.Next.
func (s *State) Apply(b Batch) (changed, unreadable []Record) {
	closed := maps.Clone(s.closed)
	if closed == nil {
		closed = Set{}
	}
	if b.Reset {
		// The log may have lost what was read before, also the offsets.
		s.offsets = nil
		changed = removeMissing(closed, b)
	}
	if s.offsets == nil {
		s.offsets = map[string]int64{}
	}
	for _, r := range b.Records {
		// The first reads after a reset may return records again that the reset already contained.
		if newest, ok := s.offsets[r.DataCentre]; ok && r.Offset <= newest {
			continue
		}
		s.offsets[r.DataCentre] = r.Offset
		switch {
		case r.Content == Unreadable:
			unreadable = append(unreadable, r)
		case r.Content == Closed && !closed.Contains(r.DataCentre):
			closed[r.DataCentre] = struct{}{}
			changed = append(changed, r)
		case r.Content == Open && closed.Contains(r.DataCentre):
			delete(closed, r.DataCentre)
			changed = append(changed, r)
		}
	}
	s.closed = closed
	return changed, unreadable
}

// removeMissing opens the data centres without a record in the batch, and returns them.
func removeMissing(closed Set, b Batch) []Record {
	var opened []Record
	for dataCentre := range closed {
		if !slices.ContainsFunc(b.Records, func(r Record) bool { return r.DataCentre == dataCentre }) {
			delete(closed, dataCentre)
			opened = append(opened, Record{DataCentre: dataCentre, Content: Open, Offset: b.Next})
		}
	}
	slices.SortFunc(opened, func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return opened
}
