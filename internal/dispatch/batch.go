package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

func (c *Core) markDirty(j *job) { c.dirty[j] = struct{}{} }

// Forget drops the submissions that have been over for the retention time, and returns up to limit of them. Their states are stored.
func (c *Core) Forget(now, retention time.Duration, limit int) []workflow.JobID {
	var ids []workflow.JobID
	for id, j := range c.jobs {
		_, dirty := c.dirty[j]
		if len(ids) < limit && j.state.Over() && j.placed == 0 && !dirty && now-j.overAt > retention {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// Batch is what has to be stored together.
type Batch struct {
	ID      int64
	Entries []eventlog.Entry
}

// Bounds of one append. A record has a few hundred bytes, those of the largest submissions a few hundred kilobytes.
const (
	maxBatchJobs  = 400
	maxBatchBytes = 512 << 10
)

// TakeBatch returns the changes since the last batch, nil if there are none. The last batch must be committed.
func (c *Core) TakeBatch(now time.Duration) *Batch {
	silent, stated := c.stateSilence(now)
	if len(c.dirty) == 0 && !stated {
		for _, w := range c.workers {
			// Ends of earlier attempts change nothing that would have to be stored.
			w.confirmed = w.applied
		}
		return nil
	}
	c.batch++
	b := &Batch{ID: c.batch}
	if stated {
		b.Entries = append(b.Entries, silent)
	}
	size := 0
	for j := range c.dirty {
		if len(b.Entries) >= maxBatchJobs || size >= maxBatchBytes {
			break
		}
		delete(c.dirty, j)
		rec := j.record()
		e, err := catalog.ProgressEntry(j.sub.Job, rec)
		if err != nil {
			c.logger.Error("progress not stored", "job", j.sub.Job, "error", err)
			continue
		}
		b.Entries = append(b.Entries, e)
		size += len(e.Value)
		for _, t := range c.committing {
			if t.batch == 0 && t.job() == j {
				t.batch = b.ID
			}
		}
	}
	for _, w := range c.workers {
		w.seal(b.ID, c.dirty)
		if stated && w.silence == silenceEnding {
			w.silenceBatch = b.ID
		}
	}
	return b
}

func (j *job) record() *workflow.Record {
	rec := &workflow.Record{State: j.state}
	if len(j.rounds) == 0 || j.state.Over() && j.placed == 0 {
		return rec
	}
	rec.Tasks = make([][][]workflow.TaskRecord, len(j.rounds))
	for k, r := range j.rounds {
		rec.Tasks[k] = make([][]workflow.TaskRecord, len(r.steps))
		for s, st := range r.steps {
			rows := make([]workflow.TaskRecord, len(st.tasks))
			for i, t := range st.tasks {
				rows[i] = workflow.TaskRecord{Phase: t.phase, Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
				if t.phase == workflow.Placed {
					rows[i].Worker, rows[i].Born = t.worker.ID, t.born
				}
				if t.phase == workflow.Ended {
					rows[i].Checkpoint = ""
				}
			}
			rec.Tasks[k][s] = rows
		}
	}
	return rec
}

// Committed tells that a batch is stored. The starts that it contains are ordered and its ends are confirmed.
func (c *Core) Committed(now time.Duration, id int64) {
	c.endSilence(id)
	rest := c.committing[:0]
	for _, t := range c.committing {
		switch {
		case t.order != orderStoring:
		case t.batch == 0 || t.batch > id:
			rest = append(rest, t)
		case t.worker.unusable() || t.job().state.Over():
			c.giveBack(now, t)
		default:
			c.sendStart(now, t)
		}
	}
	c.committing = rest
	for _, w := range c.workers {
		w.commit(id)
	}
}

// giveBack makes a task pending again whose order was never sent.
func (c *Core) giveBack(now time.Duration, t *task) {
	c.logger.Info("placement withdrawn", "task", t.id, "run", t.run, "worker", t.worker.ID)
	gang := t.step.def.Gang
	c.release(t)
	if gang {
		c.breakGang(now, t.step)
		return
	}
	c.enqueue(now, t)
}
