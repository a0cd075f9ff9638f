package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// The records with tasks and the states of submissions are stored in two topics. A state is published only when the
// record that contains it is stored: otherwise an owner that ends between the two appends would leave a state that its
// successor takes back.

// maxStatusEntries limits the states of one append, of about thirty bytes each.
const maxStatusEntries = 4000

// noteStored notes that the states of the batch in flight are stored, so that they can be published.
func (c *Core) noteStored() {
	for j, s := range c.statesInFlight {
		j.stored = s
		delete(c.unstorable, j)
		c.markUnpublished(j)
	}
	clear(c.statesInFlight)
}

// markUnpublished notes that the stored state of a submission can be published, unless it is published already or no task has
// begun.
func (c *Core) markUnpublished(j *job) {
	newest := j.published
	if publishing, ok := c.publishing[j]; ok {
		newest = publishing
	}
	if newest != j.stored && (j.begun || j.stored.Over()) {
		c.unpublished[j] = struct{}{}
	}
}

// noteBegun notes that a worker has begun a task of a submission.
func (c *Core) noteBegun(j *job) {
	if !j.begun {
		j.begun = true
		c.markUnpublished(j)
	}
}

// restoreState returns the record of a submission as its tasks were stored, and notes which state is published. A
// published state is never taken back.
func (c *Core) restoreState(j *job, restored *catalog.Job) workflow.Record {
	var rec workflow.Record
	if restored.Tasks != nil {
		rec = *restored.Tasks
		j.storedRecord = catalog.RestoredRecord(&rec)
	}
	j.stored = rec.State
	if r := restored.Record; r != nil {
		j.published = r.State
		if r.State.Over() || r.State > rec.State {
			rec.State = r.State
		}
	}
	// Parts of a record that is over remain if its owner has ended before it removed them.
	if restored.Tasks != nil && (rec.State != j.stored || rec.State.Over() && rec.Parts > 0) {
		c.markDirty(j)
	}
	j.begun = rec.AnyTaskBegun()
	if rec.State == j.stored {
		c.markUnpublished(j)
	}
	return rec
}

// HasUnpublished reports whether a stored state is not published yet.
func (c *Core) HasUnpublished() bool { return len(c.unpublished) > 0 }

// TakeStatusBatch returns the stored states that are not published yet and the change of the silent workers, or nil if
// there are none. The last status batch must be committed.
func (c *Core) TakeStatusBatch(now time.Duration) *Batch {
	silenceEntry, silenceChanged := c.recordSilence(now)
	if len(c.unpublished) == 0 && !silenceChanged {
		return nil
	}
	c.lastStatusBatch++
	b := &Batch{ID: c.lastStatusBatch}
	if silenceChanged {
		b.Entries = append(b.Entries, silenceEntry)
	}
	for j := range c.unpublished {
		if len(b.Entries) >= maxStatusEntries {
			break
		}
		delete(c.unpublished, j)
		e, err := catalog.StateEntry(j.submission.Job, j.stored)
		if err != nil {
			c.logger.Error("cannot encode state", "job", j.submission.Job, "error", err)
			continue
		}
		c.publishing[j] = j.stored
		b.Entries = append(b.Entries, e)
	}
	if silenceChanged {
		for w := range c.unresponsive {
			if w.silence == silenceClearing {
				w.silenceBatch = b.ID
			}
		}
	}
	return b
}

// StatusCommitted reports that a status batch is stored: its states are published, and the workers whose silence it has
// cleared may get leases again, unless the log has rejected its record of silent workers.
func (c *Core) StatusCommitted(id int64, silenceStored bool) {
	for j, s := range c.publishing {
		j.published = s
	}
	clear(c.publishing)
	if silenceStored {
		c.clearSilence(id)
	} else {
		c.silenceRejected = true
	}
}
