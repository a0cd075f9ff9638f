package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
)

const (
	// forgetInterval and forgetLimit bound the calls and the size of removals.
	forgetInterval = 10 * time.Second
	forgetLimit    = 200
)

// forget removes submissions that nobody may ask for any more: first they themselves, then their records.
func (o *Owner) forget(ctx context.Context, now time.Duration) {
	if now-o.forgot < forgetInterval || o.forgetting != nil {
		return
	}
	o.forgot = now
	ids := o.core.Forget(now, o.settings.Retention, forgetLimit)
	var entries []eventlog.Entry
	for _, id := range ids {
		entries = append(entries, catalog.ForgetSubmission(id)...)
	}
	// Those of an earlier owner lack their records only.
	ids = append(ids, o.catalog.Leftovers()...)
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
				// The next owner finds them again.
				o.logger.Info("submissions not removed", "count", len(ids), "error", err)
				return
			}
			o.logger.Info("submissions removed", "count", len(ids))
			if o.core == core {
				o.forgetting = ids
			}
		})
	}()
}

// flush stores what was decided since the last append, or shows that the owner is alive.
func (o *Owner) flush(ctx context.Context, now time.Duration) {
	if o.appending || now-o.appended < appendSpacing {
		return
	}
	b := o.core.TakeBatch(now)
	if b == nil && now-o.appended < heartbeat {
		return
	}
	var entries []eventlog.Entry
	id := int64(0)
	if b != nil {
		entries, id = b.Entries, b.ID
	} else {
		e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: o.epoch, Instance: o.settings.Instance})
		if err != nil {
			o.logger.Error("heartbeat not encoded", "error", err)
			return
		}
		entries = []eventlog.Entry{e}
	}
	if now-o.learned >= learnedInterval {
		o.learned = now
		e, err := catalog.LearnedEntry(o.core.Learned())
		if err != nil {
			o.logger.Error("learned disturbance not encoded", "error", err)
		} else {
			entries = append(entries, e)
		}
	}
	for _, id := range o.forgetting {
		entries = append(entries, catalog.ForgetProgress(id))
	}
	o.forgetting = nil
	o.sequence++
	o.appending, o.appended = true, now
	core, p := o.core, eventlog.Producer{Name: producer, Epoch: o.epoch, Sequence: o.sequence}
	go func() {
		offset, err := o.appendUntil(ctx, &p, entries)
		o.post(func(done time.Duration) { o.stored(now, done, core, id, offset, entries, err) })
	}()
}

func (o *Owner) stored(sent, now time.Duration, core *Core, batch, offset int64, entries []eventlog.Entry, err error) {
	if o.core != core {
		return
	}
	o.appending = false
	if err != nil {
		o.stepDown(err.Error())
		return
	}
	o.confirmed = max(o.confirmed, sent)
	for i := range entries {
		entries[i].Offset = offset + int64(i)
	}
	o.catalog.ApplyProgress(entries)
	if batch != 0 {
		core.Committed(now, batch)
	}
}

// appendUntil repeats an append until it is answered for good. The sequence number makes repeats harmless.
func (o *Owner) appendUntil(ctx context.Context, p *eventlog.Producer, entries []eventlog.Entry) (int64, error) {
	retry := firstAppendRetry
	for {
		offset, err := o.log.Append(ctx, o.settings.ProgressTopic, p, entries)
		var refused *eventlog.RefusedError
		var unknown *eventlog.UnknownError
		switch {
		case err == nil:
			return offset, nil
		case errors.As(err, &refused), errors.As(err, &unknown):
			o.logger.Info("append repeated", "epoch", p.Epoch, "sequence", p.Sequence, "error", err)
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
