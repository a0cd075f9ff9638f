package catalog

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// The record of a submission with many tasks is parted, since a record of the log has a limited length. Part N holds the
// state of the tasks from N times the size of a part on, counted through all steps of all rounds. The record itself then
// holds the state of the submission only.
const (
	partPrefix = "part/"
	// schedulePrefix is the prefix of the entry with the workflow.Schedule of a submission, whose record is always parted.
	schedulePrefix = "schedule/"
	// partedPrefix is the prefix of an entry that marks a parted record. Versions that know no parts take it for the record of
	// a submission that they have not read, and do not take over: they would run the tasks again.
	partedPrefix = "parted/"
)

// taskPart is the content of a part.
type taskPart struct {
	_        struct{} `cbor:",toarray"`
	Segments []taskSegment
	Copies   []workflow.CopyRecord
	// offset is the offset of the entry.
	offset int64
}

// taskSegment holds the state of consecutive tasks of a step.
type taskSegment struct {
	_                  struct{} `cbor:",toarray"`
	Round, Step, First int
	Rows               []workflow.TaskRecord
}

// StoredRecord is what an owner knows about the entries that hold the record of a submission.
type StoredRecord struct {
	// copies is set while an entry with second attempts is stored.
	copies bool
	// parted is set while the record is marked as parted, scheduled while there is an entry with its schedule.
	parted, scheduled bool
	// parts holds a hash of each stored part; 0 if it is unknown.
	parts []uint64
}

// RestoredRecord returns what is known about a record that an earlier owner has stored.
func RestoredRecord(r *workflow.Record) StoredRecord {
	return StoredRecord{copies: r.Parts == 0 && len(r.Copies) > 0, parted: r.Parts > 0 || r.Schedule != nil,
		scheduled: r.Schedule != nil, parts: make([]uint64, r.Parts)}
}

func partKey(id workflow.JobID, n int) string { return partPrefix + string(id) + "/" + strconv.Itoa(n) }

// RecordEntries returns the entries that replace the stored record of a submission, with at most perPart tasks in each, and
// notes that they are stored. Parts that have not changed are left out. If the entries are stored one after the other, a record
// that is stored in part names each attempt that the earlier one names, and no round that has ended: the schedule comes first,
// and tasks that move to another part are stored there before they are removed. An error is a *workflow.EncodeError.
func RecordEntries(id workflow.JobID, r *workflow.Record, perPart int, stored *StoredRecord) ([]eventlog.Entry, error) {
	parts := splitTasks(r, perPart)
	if len(parts) == 0 && r.Schedule == nil {
		return wholeRecord(id, r, stored)
	}
	var entries []eventlog.Entry
	if !stored.parted {
		b, err := workflow.Encode("mark of a parted record", &workflow.Record{State: workflow.Running})
		if err != nil {
			return nil, err
		}
		entries = append(entries, eventlog.Entry{Key: partedPrefix + string(id), Value: b})
	}
	if r.Schedule != nil {
		b, err := workflow.Encode("schedule", r.Schedule)
		if err != nil {
			return nil, err
		}
		entries = append(entries, eventlog.Entry{Key: schedulePrefix + string(id), Value: b})
	}
	hashes := make([]uint64, len(parts))
	for n := range parts {
		b, err := workflow.Encode("part of a task record", &parts[n])
		if err != nil {
			return nil, err
		}
		hashes[n] = xxhash.Sum64(b)
		if n >= len(stored.parts) || hashes[n] != stored.parts[n] {
			entries = append(entries, eventlog.Entry{Key: partKey(id, n), Value: b})
		}
	}
	for n := len(parts); n < len(stored.parts); n++ {
		entries = append(entries, eventlog.Entry{Key: partKey(id, n)})
	}
	if stored.copies {
		entries = append(entries, eventlog.Entry{Key: copiesPrefix + string(id)})
	}
	*stored = StoredRecord{parted: true, scheduled: r.Schedule != nil, parts: hashes}
	e, err := TasksEntry(id, &workflow.Record{State: r.State})
	return append(entries, e), err
}

// wholeRecord returns the entries of a record that needs no parts.
func wholeRecord(id workflow.JobID, r *workflow.Record, stored *StoredRecord) ([]eventlog.Entry, error) {
	e, err := TasksEntry(id, r)
	if err != nil {
		return nil, err
	}
	entries := []eventlog.Entry{e}
	switch {
	case len(r.Copies) > 0:
		copies, err := CopiesEntry(id, r.Copies)
		if err != nil {
			return nil, err
		}
		entries = append(entries, copies)
	case stored.copies:
		entries = append(entries, eventlog.Entry{Key: copiesPrefix + string(id)})
	}
	for n := range stored.parts {
		entries = append(entries, eventlog.Entry{Key: partKey(id, n)})
	}
	if stored.scheduled {
		entries = append(entries, eventlog.Entry{Key: schedulePrefix + string(id)})
	}
	if stored.parted {
		entries = append(entries, eventlog.Entry{Key: partedPrefix + string(id)})
	}
	*stored = StoredRecord{copies: len(r.Copies) > 0}
	return entries, nil
}

// splitTasks returns the parts of a record, or nil if all of its tasks fit into one and it has no schedule.
func splitTasks(r *workflow.Record, perPart int) []taskPart {
	total := 0
	for _, round := range r.Tasks {
		for _, step := range round {
			total += len(step)
		}
	}
	if total <= perPart && r.Schedule == nil {
		return nil
	}
	parts := make([]taskPart, (total+perPart-1)/perPart)
	next, copies := 0, r.Copies
	for position, round := range r.Tasks {
		k := r.Round(position)
		for s, step := range round {
			for first := 0; first < len(step); {
				p := &parts[next/perPart]
				n := min(len(step)-first, perPart-next%perPart)
				p.Segments = append(p.Segments, taskSegment{Round: k, Step: s, First: first, Rows: step[first : first+n]})
				first, next = first+n, next+n
				// The copies are in the order of their tasks.
				for len(copies) > 0 && copies[0].Round == k && copies[0].Step == s && copies[0].Index < first {
					p.Copies, copies = append(p.Copies, copies[0]), copies[1:]
				}
			}
		}
	}
	return parts
}

// partSet holds the parts and the schedules of the records that were read.
type partSet struct {
	parts     map[workflow.JobID]map[int]*taskPart
	schedules map[workflow.JobID]*workflow.Schedule
}

func newPartSet() *partSet {
	return &partSet{parts: map[workflow.JobID]map[int]*taskPart{}, schedules: map[workflow.JobID]*workflow.Schedule{}}
}

// add adds an entry and reports whether it belongs to a parted record. A part that cannot be decoded is logged and ignored.
func (s *partSet) add(e eventlog.Entry, l *slog.Logger) bool {
	if strings.HasPrefix(e.Key, partedPrefix) {
		return true
	}
	if id, ok := strings.CutPrefix(e.Key, schedulePrefix); ok {
		s.addSchedule(workflow.JobID(id), e, l)
		return true
	}
	rest, ok := strings.CutPrefix(e.Key, partPrefix)
	if !ok {
		return false
	}
	id, number, _ := strings.Cut(rest, "/")
	n, err := strconv.Atoi(number)
	if err != nil {
		l.Error("cannot decode key of a part, ignoring it", "key", e.Key, "offset", e.Offset, "error", err)
		return true
	}
	if e.Value == nil {
		delete(s.parts[workflow.JobID(id)], n)
		return true
	}
	p := &taskPart{offset: e.Offset}
	if err := workflow.Decode("part of a task record", e.Value, p); err != nil {
		l.Error("cannot decode part of a task record, ignoring it", "key", e.Key, "offset", e.Offset, "error", err)
		return true
	}
	parts := s.parts[workflow.JobID(id)]
	if parts == nil {
		parts = map[int]*taskPart{}
		s.parts[workflow.JobID(id)] = parts
	}
	parts[n] = p
	return true
}

// addSchedule adds a schedule. One that cannot be decoded is logged and ignored.
func (s *partSet) addSchedule(id workflow.JobID, e eventlog.Entry, l *slog.Logger) {
	if e.Value == nil {
		delete(s.schedules, id)
		return
	}
	p := &workflow.Schedule{}
	if err := workflow.Decode("schedule", e.Value, p); err != nil || !p.Valid() {
		l.Error("cannot use schedule, ignoring it", "job", id, "offset", e.Offset, "error", err)
		return
	}
	s.schedules[id] = p
}

// apply adds the schedules and the parts to the records that they belong to. Parts without a record are ignored: their owner
// has ended before all of them were stored and thus before a start was sent, or their submission was removed.
func (s *partSet) apply(records map[workflow.JobID]*workflow.Record) {
	for id, p := range s.schedules {
		if r := records[id]; r != nil {
			r.KeepRounds(p)
		}
	}
	for id, parts := range s.parts {
		r := records[id]
		if r == nil {
			continue
		}
		// A task may stand in two parts if a round before it has ended and not all parts were stored since.
		order := slices.SortedFunc(maps.Keys(parts), func(a, b int) int { return cmp.Compare(parts[a].offset, parts[b].offset) })
		for _, n := range order {
			p := parts[n]
			r.Parts = max(r.Parts, n+1)
			for i := range p.Segments {
				p.Segments[i].apply(r)
			}
			// Earlier copies are those of an older part, or of an entry that an earlier version has stored.
			r.Copies = append(slices.DeleteFunc(r.Copies, p.covers), p.Copies...)
		}
	}
}

// covers reports whether the task of a copy belongs to the part.
func (p *taskPart) covers(c workflow.CopyRecord) bool {
	return slices.ContainsFunc(p.Segments, func(s taskSegment) bool {
		return s.Round == c.Round && s.Step == c.Step && s.First <= c.Index && c.Index < s.First+len(s.Rows)
	})
}

// apply sets the state of the tasks in a record, unless their round has ended or not begun.
func (s *taskSegment) apply(r *workflow.Record) {
	if len(s.Rows) == 0 || !workflow.InRange(s.Round, s.Step, s.First) ||
		!workflow.InRange(s.Round, s.Step, s.First+len(s.Rows)-1) {
		return
	}
	position := s.Round
	if r.Schedule != nil {
		var live bool
		if position, live = slices.BinarySearch(r.Schedule.Live, s.Round); !live {
			return
		}
	}
	for len(r.Tasks) <= position {
		r.Tasks = append(r.Tasks, nil)
	}
	for len(r.Tasks[position]) <= s.Step {
		r.Tasks[position] = append(r.Tasks[position], nil)
	}
	step := &r.Tasks[position][s.Step]
	if missing := s.First + len(s.Rows) - len(*step); missing > 0 {
		*step = append(*step, make([]workflow.TaskRecord, missing)...)
	}
	copy((*step)[s.First:], s.Rows)
}
