package dispatch

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// removalInterval and maxRemovals limit the rate and the size of removals.
	removalInterval = 10 * time.Second
	maxRemovals     = 200
)

// removeExpired removes the submissions whose retention has expired: first the submissions themselves, then their
// records with tasks, then their states.
func (o *Owner) removeExpired(ctx context.Context, now time.Duration) {
	if now-o.lastRemoval < removalInterval || o.unremovedTasks != nil || o.unremovedStates != nil {
		return
	}
	o.lastRemoval = now
	ids := o.core.RemoveExpired(now, o.settings.Retention, maxRemovals)
	var entries []eventlog.Entry
	for _, id := range ids {
		entries = append(entries, catalog.RemoveSubmissionEntries(id)...)
	}
	// An earlier owner may have removed submissions without their records.
	ids = append(ids, o.catalog.RecordsToRemove()...)
	if len(ids) == 0 {
		return
	}
	core := o.core
	go func() {
		var err error
		if len(entries) > 0 {
			_, err = o.log.Append(ctx, o.settings.SubmissionsTopic, nil, entries)
		}
		o.post(func(time.Duration) {
			if err != nil {
				// A later owner tries again: the submissions are still in the log.
				o.logger.Info("cannot remove expired submissions", "count", len(ids), "error", err)
				return
			}
			o.logger.Info("expired submissions removed", "count", len(ids))
			if o.core == core {
				o.unremovedTasks = ids
			}
		})
	}()
}

// flushTasks stores the decisions about tasks since the last append.
func (o *Owner) flushTasks(ctx context.Context, now time.Duration) {
	if !o.tasks.idle(now) {
		return
	}
	b := o.core.TakeBatch()
	if b == nil {
		b = &Batch{}
	}
	entries := append(b.Entries, o.ownEntries(now)...)
	removed := o.unremovedTasks
	o.unremovedTasks = nil
	for _, id := range removed {
		entries = append(entries, catalog.RemoveRecordEntry(id), catalog.RemoveEndedEntry(id))
	}
	if len(entries) == 0 {
		return
	}
	o.send(ctx, now, &o.tasks, o.tasksInterval(entries), entries, b.spans, func(now time.Duration, rejected []span) {
		o.unremovedStates = append(o.unremovedStates, removed...)
		var jobs []workflow.JobID
		for _, s := range rejected {
			if s.job != "" {
				jobs = append(jobs, s.job)
			}
		}
		o.core.Rejected(jobs)
		if b.ID != 0 {
			o.core.Committed(now, b.ID)
		}
	})
}

// ownEntries returns the entries that are due about the owner itself: the interference model, and that it is settled.
func (o *Owner) ownEntries(now time.Duration) []eventlog.Entry {
	var entries []eventlog.Entry
	if now >= o.nextModelStore {
		o.nextModelStore = now + modelStoreInterval
		e, err := catalog.InterferenceEntry(o.core.InterferenceState(now, o.modelLimit()))
		if err != nil {
			o.logger.Error("cannot encode interference model", "error", err)
		} else {
			o.nextModelStore = now + max(modelStoreInterval, time.Duration(e.Bytes())*time.Second/modelBytesPerSecond)
			entries = append(entries, e)
		}
	}
	if s, changed := o.settlement.update(now, o.core); changed {
		s.Epoch = o.epoch
		e, err := catalog.SettledEntry(&s)
		if err != nil {
			o.logger.Error("cannot encode settled epoch", "error", err)
		} else {
			o.logger.Info("epoch settled", "epoch", o.epoch, "unfenced", len(s.Unfenced))
			entries = append(entries, e)
		}
	}
	return entries
}

// modelLimit returns the limit of the size of the interference model, which leaves half of a record for its framing and for
// what the estimate of the size leaves out.
func (o *Owner) modelLimit() int {
	if n := o.settings.Limits.RecordBytes; n > 0 {
		return min(maxModelBytes, n/2)
	}
	return maxModelBytes
}

// flushStatus publishes what is stored since the last append, or a heartbeat if there was no append for
// heartbeatInterval. A claimant has nothing to publish.
func (o *Owner) flushStatus(ctx context.Context, now time.Duration) {
	if !o.status.idle(now) {
		return
	}
	b := &Batch{}
	if o.core != nil {
		if taken := o.core.TakeStatusBatch(now); taken != nil {
			b = taken
		}
	}
	entries := b.Entries
	for _, id := range o.unremovedStates {
		entries = append(entries, catalog.RemoveRecordEntry(id))
	}
	o.unremovedStates = nil
	switch {
	case len(entries) > 0:
	case now-o.status.sentAt < heartbeatInterval:
		return
	default:
		e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: o.epoch, Instance: o.settings.Instance})
		if err != nil {
			o.logger.Error("cannot encode heartbeat", "error", err)
			return
		}
		entries = []eventlog.Entry{e}
	}
	entries = append(entries, o.backlogEntries(now)...)
	sent, before := now, o.status.sequence
	o.send(ctx, now, &o.status, o.statusInterval(entries), entries, nil, func(_ time.Duration, rejected []span) {
		if o.status.sequence != before {
			o.lastConfirmed = max(o.lastConfirmed, sent)
		}
		var stored []eventlog.Entry
		silenceStored, next := true, 0
		for _, s := range rejected {
			stored = append(stored, entries[next:s.from]...)
			silenceStored = silenceStored && !catalog.IsSilentEntry(entries[s.from])
			next = s.to
		}
		o.catalog.ApplyProgress(append(stored, entries[next:]...))
		if b.ID != 0 {
			o.core.StatusCommitted(b.ID, silenceStored)
		}
	})
}

// tasksInterval returns the time from an append of task records to the next one.
func (o *Owner) tasksInterval(entries []eventlog.Entry) time.Duration {
	rate := float64(maxRecordBytesPerSecond)
	if o.settings.LinkBytesPerSecond > 0 {
		rate = min(rate, recordLinkShare*o.settings.LinkBytesPerSecond)
	}
	return appendInterval(entries, rate, minAppendInterval)
}

// statusInterval returns the time from an append of states to the next one.
func (o *Owner) statusInterval(entries []eventlog.Entry) time.Duration {
	rate := float64(maxStatusBytesPerSecond)
	if o.settings.LogReadBytesPerSecond > 0 {
		rate = min(rate, statusReadShare*o.settings.LogReadBytesPerSecond/float64(max(1, o.catalog.CountInstances())))
	}
	return appendInterval(entries, rate, minStatusInterval)
}

// appendInterval returns the time in which entries are written at a rate in bytes per second, which is at least minimum
// and at most maxAppendInterval.
func appendInterval(entries []eventlog.Entry, rate float64, minimum time.Duration) time.Duration {
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Key) + len(entries[i].Value)
	}
	return min(max(minimum, time.Duration(float64(bytes)/rate*float64(time.Second))), maxAppendInterval)
}
