package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// markDirty notes that the record of a submission has changed.
func (c *Core) markDirty(j *job) { c.dirty[j], j.recordChanged = struct{}{}, true }

// markEnded notes that tasks of a submission have ended as done. While it is not over, that is stored without the rest of
// its record, which is many times as long.
func (c *Core) markEnded(j *job) {
	c.dirty[j] = struct{}{}
	// The record of a schedule holds its live rounds only and is short.
	j.recordChanged = j.recordChanged || j.state.Over() || j.submission.Scheduled()
}

// RemoveExpired removes at most limit submissions that have been over for longer than retention, and returns their
// ids. Their final states are stored and published.
func (c *Core) RemoveExpired(now, retention time.Duration, limit int) []workflow.JobID {
	var ids []workflow.JobID
	for id, j := range c.jobs {
		_, dirty := c.dirty[j]
		_, inFlight := c.statesInFlight[j]
		if len(ids) < limit && j.state.Over() && j.placed == 0 && !dirty && !inFlight && j.published == j.state &&
			now-j.finishedAt > retention {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// Batch holds the entries that are stored together: with one append, or in their order with several if they are longer.
type Batch struct {
	ID      int64
	Entries []eventlog.Entry
	// spans are the parts of Entries that belong together.
	spans []span
}

// Limits of one append. A record has a few hundred bytes, those of the largest submissions a few hundred kilobytes.
const (
	maxBatchJobs  = 400
	maxBatchBytes = 512 << 10
)

// TakeBatch returns the changes of tasks since the last batch, or nil if there are none. The last batch must be committed.
func (c *Core) TakeBatch() *Batch {
	suspectsEntry, suspectsChanged := c.recordSuspects()
	if len(c.dirty) == 0 && !suspectsChanged {
		for w := range c.unconfirmed {
			// The ends applied since the last batch belong to earlier attempts and change no record.
			w.confirmedEnd = w.appliedEnd
		}
		return nil
	}
	c.lastBatch++
	b := &Batch{ID: c.lastBatch}
	size := 0
	for j := range c.dirty {
		if len(b.Entries) >= maxBatchJobs || size >= maxBatchBytes {
			break
		}
		delete(c.dirty, j)
		entries, err := j.changes(c.params.tasksPerRecord())
		if err != nil {
			c.logger.Error("cannot encode submission record", "job", j.submission.Job, "error", err)
			continue
		}
		from := len(b.Entries)
		for _, e := range entries {
			b.Entries = append(b.Entries, e)
			size += len(e.Value)
		}
		b.spans = append(b.spans, span{job: j.submission.Job, from: from, to: len(b.Entries)})
		if !j.recordChanged {
			continue
		}
		j.recordChanged, j.lastBatch = false, b.ID
		c.statesInFlight[j] = j.state
	}
	if suspectsChanged {
		// A successor that reads the crashes counts them again unless it also reads that the attempts are lost.
		b.Entries = append(b.Entries, suspectsEntry)
		b.spans = addSpans(b.spans, b.Entries)
	}
	for _, t := range c.uncommitted {
		if t.commitBatch == 0 && t.job().lastBatch == b.ID {
			t.commitBatch = b.ID
		}
	}
	for w := range c.unconfirmed {
		w.markBatch(b.ID, c.dirty)
	}
	return b
}

// changes returns the entries that store the changes of a submission. Its error is a *workflow.EncodeError.
func (j *job) changes(tasksPerRecord int) ([]eventlog.Entry, error) {
	if !j.recordChanged {
		e, err := catalog.EndedEntry(j.submission.Job, j.ended())
		j.endedStored = true
		return []eventlog.Entry{e}, err
	}
	rec := j.record()
	entries, err := catalog.RecordEntries(j.submission.Job, rec, tasksPerRecord, &j.storedRecord)
	if len(rec.Tasks) == 0 && j.endedStored {
		entries = append(entries, catalog.RemoveEndedEntry(j.submission.Job))
		j.endedStored = false
	}
	return entries, err
}

// ended returns a bit for each task of each step that has ended as done, by round and step.
func (j *job) ended() catalog.Ended {
	out := make(catalog.Ended, len(j.rounds))
	for k, r := range j.rounds {
		out[k] = make([][]byte, len(r.steps))
		for s, st := range r.steps {
			for i, t := range st.tasks {
				if t.done() {
					out.Set(k, s, i)
				}
			}
		}
	}
	return out
}

func (j *job) record() *workflow.Record {
	rec := &workflow.Record{State: j.state}
	switch {
	case j.state.Over() && j.placed == 0 || j.stateOnly:
		return rec
	case j.submission.Scheduled():
		rec.Schedule = &workflow.Schedule{Next: j.nextRound}
		for _, r := range j.rounds {
			rec.Schedule.Live = append(rec.Schedule.Live, r.index)
		}
	}
	rec.Tasks = make([][][]workflow.TaskRecord, len(j.rounds))
	for k, r := range j.rounds {
		rec.Tasks[k] = make([][]workflow.TaskRecord, len(r.steps))
		for s, st := range r.steps {
			rows := make([]workflow.TaskRecord, len(st.tasks))
			for i, t := range st.tasks {
				rows[i] = workflow.TaskRecord{Phase: t.phase, Run: t.run, Failures: t.failures,
					Checkpoint: t.checkpoint}
				if t.phase == workflow.Placed {
					rows[i].Worker, rows[i].WorkerStartedAt = t.worker.ID, t.workerStartedAt
				}
				if t.overtaken {
					rows[i] = workflow.TaskRecord{Phase: workflow.Ended, Run: t.run, Failures: t.failures}
				}
				if t.phase == workflow.Ended {
					rows[i].Checkpoint = ""
				}
				for _, c := range t.copyRecords() {
					c.Round, c.Step, c.Index = r.index, s, i
					rec.Copies = append(rec.Copies, c)
				}
			}
			rec.Tasks[k][s] = rows
		}
	}
	return rec
}

// Committed reports that a batch is stored: its starts are sent, its ends are confirmed and its states are published.
func (c *Core) Committed(now time.Duration, id int64) {
	c.noteStored()
	rest := c.uncommitted[:0]
	for _, t := range c.uncommitted {
		switch {
		case t.startState != startUncommitted:
		case t.commitBatch == 0 || t.commitBatch > id:
			rest = append(rest, t)
		case t.worker.unschedulable() || t.worker.overcommitted() || t.job().state.Over():
			c.revokePlacement(now, t)
		default:
			t.storedAt = now
			c.timing.observe(phaseStore, now-t.placedAt)
			t.startState = startStored
			c.startIfHeard(now, t)
		}
	}
	c.uncommitted = rest
	if len(c.unstorable) == 0 {
		c.confirmEnds(id)
	}
}

// Rejected reports that the log never stores the records of submissions in the batch in flight. They fail, and only their
// states are stored from now on. No end is confirmed until that has happened: an end that is neither stored nor listed would
// let a successor start its task again.
func (c *Core) Rejected(jobs []workflow.JobID) {
	for _, id := range jobs {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		delete(c.statesInFlight, j)
		if j.stateOnly {
			// Nothing shorter can be stored.
			delete(c.unstorable, j)
			continue
		}
		j.stateOnly, c.unstorable[j] = true, struct{}{}
		if !j.state.Over() {
			c.finish(j, workflow.Failed)
		}
		c.markDirty(j)
	}
}

// revokePlacement makes a task pending again whose start was never sent or was refused. The task has waited since it was
// queued before.
func (c *Core) revokePlacement(now time.Duration, t *task) {
	c.logger.Info("placement revoked", "task", t.id, "run", t.run, "worker", t.worker.ID)
	gang := t.step.def.Gang
	c.unplace(t)
	if gang {
		c.restartGang(now, t.step)
		return
	}
	queuedAt := t.queuedAt
	c.enqueue(now, t)
	t.queuedAt = queuedAt
}
