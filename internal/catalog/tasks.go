package catalog

import (
	"log/slog"
	"strings"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Tasks is the content of the tasks topic, which only the owner writes. A new owner reads it once.
type Tasks struct {
	// Records holds the records of the submissions with their tasks.
	Records map[workflow.JobID]*workflow.Record
	// Suspects holds the tasks under which workers have crashed, by the name of the task.
	Suspects map[string]Crashes
	// Interference is the state of the interference model, which is empty if none is stored.
	Interference interference.State
	settled      Settled
}

// endedPrefix is the prefix of the keys of Ended in the tasks topic.
const endedPrefix = "ended/"

// Ended holds a bit for each task of a submission that has ended as done, by round, step and the index divided by eight.
// It is stored apart from the record, because tasks end one by one. A bit that is missing says nothing.
type Ended [][][]byte

const bitsPerByte = 8

// copiesPrefix is the prefix of the keys of the second attempts of tasks in the tasks topic. They are stored in the same append
// as the record of their submission. Earlier versions cannot decode these entries and ignore them.
const copiesPrefix = "copies/"

// CopiesEntry returns the entry with the second attempts of a submission. Its error is a *workflow.EncodeError.
func CopiesEntry(id workflow.JobID, copies []workflow.CopyRecord) (eventlog.Entry, error) {
	b, err := workflow.Encode("copies", copies)
	return eventlog.Entry{Key: copiesPrefix + string(id), Value: b}, err
}

// Set sets the bit of a task.
func (e Ended) Set(round, step, index int) {
	for len(e[round][step]) <= index/bitsPerByte {
		e[round][step] = append(e[round][step], 0)
	}
	e[round][step][index/bitsPerByte] |= 1 << (index % bitsPerByte)
}

func (e Ended) has(round, step, index int) bool {
	return round < len(e) && step < len(e[round]) && index/bitsPerByte < len(e[round][step]) &&
		e[round][step][index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0
}

// EndedEntry returns the entry with the ended tasks of a submission. Its error is a *workflow.EncodeError.
func EndedEntry(id workflow.JobID, ended Ended) (eventlog.Entry, error) {
	b, err := workflow.Encode("ended tasks", ended)
	return eventlog.Entry{Key: endedPrefix + string(id), Value: b}, err
}

// RemoveEndedEntry returns the entry that removes what EndedEntry has stored.
func RemoveEndedEntry(id workflow.JobID) eventlog.Entry {
	return eventlog.Entry{Key: endedPrefix + string(id)}
}

// apply marks the tasks of a record that have ended. They stay so whatever the record says, which may be older.
func (e Ended) apply(r *workflow.Record) {
	for k := range r.Tasks {
		for s := range r.Tasks[k] {
			for i := range r.Tasks[k][s] {
				if e.has(k, s, i) {
					row := &r.Tasks[k][s][i]
					row.Phase, row.Worker, row.WorkerStartedAt, row.Checkpoint = workflow.Ended, "", 0, ""
				}
			}
		}
	}
}

// DecodeTasks decodes the newest entry of each key of the tasks topic. An entry that cannot be decoded is logged and
// ignored.
func DecodeTasks(entries []eventlog.Entry, l *slog.Logger) *Tasks {
	t := &Tasks{Records: make(map[workflow.JobID]*workflow.Record, len(entries))}
	ended, copies := map[workflow.JobID]Ended{}, map[workflow.JobID][]workflow.CopyRecord{}
	parts := newPartSet()
	for _, e := range entries {
		if parts.add(e, l) {
			continue
		}
		if id, ok := strings.CutPrefix(e.Key, copiesPrefix); ok {
			var c []workflow.CopyRecord
			if err := workflow.Decode("copies", e.Value, &c); e.Value != nil && err != nil {
				l.Error("cannot decode copies of tasks, ignoring them", "job", id, "offset", e.Offset, "error", err)
			}
			copies[workflow.JobID(id)] = c
			continue
		}
		id, isEnded := strings.CutPrefix(e.Key, endedPrefix)
		if e.Value == nil {
			if isEnded {
				delete(ended, workflow.JobID(id))
			} else {
				delete(t.Records, workflow.JobID(id))
			}
			continue
		}
		if isEnded {
			var bits Ended
			if err := workflow.Decode("ended tasks", e.Value, &bits); err != nil {
				l.Error("cannot decode ended tasks, ignoring them", "job", id, "offset", e.Offset, "error", err)
				continue
			}
			ended[workflow.JobID(id)] = bits
			continue
		}
		if err := t.decode(e); err != nil {
			l.Error("cannot decode task record, ignoring it", "key", e.Key, "offset", e.Offset, "error", err)
		}
	}
	for id, c := range copies {
		if r := t.Records[id]; r != nil {
			r.Copies = c
		}
	}
	applyEnded := func(scheduled bool) {
		for id, bits := range ended {
			if r := t.Records[id]; r != nil && (parts.schedules[id] != nil) == scheduled {
				bits.apply(r)
			}
		}
	}
	// Only earlier versions store the ended tasks of a submission with a schedule apart, beside a record with all rounds.
	applyEnded(true)
	parts.apply(t.Records)
	applyEnded(false)
	return t
}

// decode applies one entry. Its error is a *workflow.DecodeError.
func (t *Tasks) decode(e eventlog.Entry) error {
	switch e.Key {
	case ownerKey:
		// The append with which the owner has fenced earlier ones.
		return nil
	case suspectsKey:
		var suspects map[string]Crashes
		err := workflow.Decode("suspected tasks", e.Value, &suspects)
		if err == nil {
			t.Suspects = suspects
		}
		return err
	case interferenceKey:
		var s interference.State
		err := workflow.Decode("interference", e.Value, &s)
		if err == nil {
			t.Interference = s
		}
		return err
	case settledKey:
		var s Settled
		err := workflow.Decode("settled epoch", e.Value, &s)
		if err == nil {
			t.settled = s
		}
		return err
	}
	var r workflow.Record
	err := workflow.Decode("task record", e.Value, &r)
	if err == nil {
		t.Records[workflow.JobID(e.Key)] = &r
	}
	return err
}

// Settled reports whether the owner of an epoch has stated that owners before it no longer act, and returns the workers on
// which they may.
func (t *Tasks) Settled(epoch int64) (unfenced []Incarnation, ok bool) {
	return t.settled.Unfenced, t.settled.Epoch == epoch
}

// Restore returns all submissions with their records from the tasks topic, and false if the submission of a
// record in either topic has not been read. Records without tasks of submissions that are over are ignored: they may remain from a removal.
func (c *Catalog) Restore(t *Tasks) ([]*Job, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.complete() {
		return nil, false
	}
	for id, r := range t.Records {
		if c.jobs[id] == nil && (!r.State.Over() || len(r.Tasks) > 0) {
			return nil, false
		}
	}
	out := make([]*Job, 0, len(c.jobs))
	for id, j := range c.jobs {
		restored := *j
		restored.Tasks = t.Records[id]
		out = append(out, &restored)
	}
	return out, true
}
