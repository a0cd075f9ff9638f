package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
)

const (
	// removalInterval and maxRemovals limit the rate and the size of removals.
	removalInterval = 10 * time.Second
	maxRemovals     = 200
)

// removeExpired removes the submissions whose retention has expired: first the submissions themselves, then their
// records.
func (o *Owner) removeExpired(ctx context.Context, now time.Duration) {
	if now-o.lastRemoval < removalInterval || o.unremovedProgress != nil {
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
				o.unremovedProgress = ids
			}
		})
	}()
}

// flush stores the decisions since the last append, or a heartbeat if there are none.
func (o *Owner) flush(ctx context.Context, now time.Duration) {
	if o.appendInFlight || now < o.nextAppend {
		return
	}
	b := o.core.TakeBatch(now)
	if b == nil && now-o.lastAppend < heartbeatInterval {
		return
	}
	var entries []eventlog.Entry
	id := int64(0)
	if b != nil {
		entries, id = b.Entries, b.ID
	} else {
		e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: o.epoch, Instance: o.settings.Instance})
		if err != nil {
			o.logger.Error("cannot encode heartbeat", "error", err)
			return
		}
		entries = []eventlog.Entry{e}
	}
	if now-o.lastModelStore >= modelStoreInterval {
		o.lastModelStore = now
		e, err := catalog.InterferenceEntry(o.core.InterferenceState())
		if err != nil {
			o.logger.Error("cannot encode interference model", "error", err)
		} else {
			entries = append(entries, e)
		}
	}
	if !o.settled && now-o.tenureStart > o.settings.Isolation {
		o.settled = true
		e, err := catalog.SettledEntry(o.epoch)
		if err != nil {
			o.logger.Error("cannot encode settled epoch", "error", err)
		} else {
			entries = append(entries, e)
		}
	}
	for _, id := range o.unremovedProgress {
		entries = append(entries, catalog.RemoveProgressEntry(id))
	}
	o.unremovedProgress = nil
	o.sequence++
	o.appendInFlight, o.lastAppend, o.nextAppend = true, now, now+o.appendInterval(entries)
	core, p := o.core, eventlog.Producer{Name: producerName, Epoch: o.epoch, Sequence: o.sequence}
	go func() {
		offset, err := o.appendWithRetry(ctx, &p, entries)
		o.post(func(done time.Duration) { o.appendDone(now, done, core, id, offset, entries, err) })
	}()
}

// appendInterval returns the time from an append of the entries to the next one.
func (o *Owner) appendInterval(entries []eventlog.Entry) time.Duration {
	rate := float64(maxRecordBytesPerSecond)
	if o.settings.LinkBytesPerSecond > 0 {
		rate = min(rate, recordLinkShare*o.settings.LinkBytesPerSecond)
	}
	if o.settings.LogReadBytesPerSecond > 0 {
		rate = min(rate, recordReadShare*o.settings.LogReadBytesPerSecond/float64(max(1, o.catalog.CountInstances())))
	}
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Key) + len(entries[i].Value)
	}
	return min(max(minAppendInterval, time.Duration(float64(bytes)/rate*float64(time.Second))), maxAppendInterval)
}

func (o *Owner) appendDone(sent, now time.Duration, core *Core, batch, offset int64, entries []eventlog.Entry,
	err error) {
	if o.core != core {
		return
	}
	o.appendInFlight = false
	if err != nil {
		o.stepDown(err.Error())
		return
	}
	o.lastConfirmed = max(o.lastConfirmed, sent)
	for i := range entries {
		entries[i].Offset = offset + int64(i)
	}
	o.catalog.ApplyProgress(entries)
	if batch != 0 {
		core.Committed(now, batch)
	}
}

// appendWithRetry repeats an append until its outcome is known. The log recognises repeats by the sequence number.
func (o *Owner) appendWithRetry(ctx context.Context, p *eventlog.Producer, entries []eventlog.Entry) (int64, error) {
	retry := minAppendRetry
	for {
		offset, err := o.log.Append(ctx, o.settings.ProgressTopic, p, entries)
		var refused *eventlog.RefusedError
		var unknown *eventlog.UnknownError
		switch {
		case err == nil:
			return offset, nil
		case errors.As(err, &refused), errors.As(err, &unknown):
			o.logger.Info("append not confirmed, retrying", "epoch", p.Epoch, "sequence", p.Sequence, "error", err)
		default:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(retry):
		}
		retry = min(2*retry, maxAppendRetry)
	}
}
