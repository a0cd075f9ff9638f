package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// appendStream is the sequence of an owner's appends to one topic, of which at most one is in flight.
type appendStream struct {
	topic string
	// sequence is the sequence number of the newest append.
	sequence int64
	inFlight bool
	// sentAt is when the newest append was sent; next is the earliest time of the next one.
	sentAt, next time.Duration
}

// idle reports whether the next append may be sent.
func (s *appendStream) idle(now time.Duration) bool { return !s.inFlight && now >= s.next }

// span is a part of a list of entries that is stored with one append unless it is longer than an append may be. job is the
// submission that it is about; it is empty for the owner's own entries.
type span struct {
	job      workflow.JobID
	from, to int
}

// addSpans adds a span for each entry that is behind the last one.
func addSpans(spans []span, entries []eventlog.Entry) []span {
	next := 0
	if n := len(spans); n > 0 {
		next = spans[n-1].to
	}
	for ; next < len(entries); next++ {
		spans = append(spans, span{from: next, to: next + 1})
	}
	return spans
}

// send appends entries, and repeats each append until its outcome is known. done is called on the goroutine of Run with the
// spans that the log rejects, unless the tenure has ended. The offsets of the other entries are set then.
func (o *Owner) send(ctx context.Context, now time.Duration, s *appendStream, interval time.Duration,
	entries []eventlog.Entry, spans []span, done func(now time.Duration, rejected []span)) {
	s.inFlight, s.sentAt, s.next = true, now, now+interval
	w := &spanWriter{owner: o, topic: s.topic, epoch: o.epoch, sequence: s.sequence, entries: entries}
	spans = addSpans(spans, entries)
	go func() {
		err := w.store(ctx, spans)
		o.post(func(now time.Duration) {
			if ctx.Err() != nil {
				return
			}
			s.inFlight, s.sequence = false, w.sequence
			switch {
			case err == nil:
				done(now, w.rejected)
			case o.core != nil:
				o.stepDown(err.Error())
			default:
				o.dropClaim(err.Error())
			}
		})
	}()
}

// spanWriter stores a list of entries in as few appends as the limits of the log allow. What the log rejects is found by
// halving the list, so that it holds up nothing else.
type spanWriter struct {
	owner   *Owner
	topic   string
	epoch   int64
	entries []eventlog.Entry
	// sequence is the sequence number of the newest append that is stored.
	sequence int64
	rejected []span
}

// store stores spans in their order.
func (w *spanWriter) store(ctx context.Context, spans []span) error {
	limit := w.owner.settings.Limits
	for len(spans) > 0 {
		from, n := spans[0].from, 1
		fit := from + limit.Fit(w.entries[from:spans[len(spans)-1].to])
		for n < len(spans) && spans[n].to <= fit {
			n++
		}
		if err := w.storeTogether(ctx, spans[:n]); err != nil {
			return err
		}
		spans = spans[n:]
	}
	return nil
}

// storeTogether stores spans that fit into one append, and halves of them if the log rejects it.
func (w *spanWriter) storeTogether(ctx context.Context, spans []span) error {
	if len(spans) == 1 {
		return w.storeOne(ctx, spans[0])
	}
	err := w.append(ctx, spans[0].from, spans[len(spans)-1].to)
	var rejected *eventlog.RejectedError
	if !errors.As(err, &rejected) {
		return err
	}
	half := len(spans) / 2
	if err := w.storeTogether(ctx, spans[:half]); err != nil {
		return err
	}
	return w.storeTogether(ctx, spans[half:])
}

// storeOne stores a span, in several appends if it is longer than one may be. The span counts as rejected if the log takes
// another record; a log that takes none is asked again.
func (w *spanWriter) storeOne(ctx context.Context, s span) error {
	retry := minAppendRetry
	for from := s.from; from < s.to; {
		n := w.owner.settings.Limits.Fit(w.entries[from:s.to])
		err := w.append(ctx, from, from+n)
		var rejected *eventlog.RejectedError
		if err == nil {
			from += n
			continue
		} else if !errors.As(err, &rejected) {
			return err
		}
		if rejected.Status != 0 {
			switch taken, probeErr := w.takesOthers(ctx); {
			case probeErr != nil:
				return probeErr
			case !taken:
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(retry):
				}
				retry = min(2*retry, maxAppendRetry)
				continue
			}
		}
		for i := range w.entries[from : from+n] {
			e := &w.entries[from+i]
			kind := catalog.RecordKind(e.Key)
			w.owner.logger.Error("log rejects record, going on without it", "topic", w.topic, "kind", kind, "key", e.Key,
				"bytes", e.Bytes(), "epoch", w.epoch, "error", err)
			w.owner.metrics.recordRejected(kind)
		}
		w.rejected = append(w.rejected, s)
		return nil
	}
	return nil
}

// takesOthers reports whether the log stores a record that has no effect.
func (w *spanWriter) takesOthers(ctx context.Context) (bool, error) {
	e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: w.epoch, Instance: w.owner.settings.Instance})
	if err != nil {
		return false, err
	}
	_, err = w.appendEntries(ctx, []eventlog.Entry{e})
	var rejected *eventlog.RejectedError
	if errors.As(err, &rejected) {
		return false, nil
	}
	return err == nil, err
}

// append stores entries[from:to] with one append and sets their offsets.
func (w *spanWriter) append(ctx context.Context, from, to int) error {
	entries := w.entries[from:to]
	if err := w.owner.settings.Limits.Check(entries...); err != nil {
		return err
	}
	offset, err := w.appendEntries(ctx, entries)
	if err != nil {
		return err
	}
	for i := range entries {
		entries[i].Offset = offset + int64(i)
	}
	return nil
}

func (w *spanWriter) appendEntries(ctx context.Context, entries []eventlog.Entry) (int64, error) {
	p := eventlog.Producer{Name: producerName, Epoch: w.epoch, Sequence: w.sequence + 1}
	offset, err := w.owner.appendWithRetry(ctx, w.topic, &p, entries)
	if err == nil {
		w.sequence = p.Sequence
	}
	return offset, err
}

// appendWithRetry repeats an append until its outcome is known. The log recognises repeats by the sequence number.
func (o *Owner) appendWithRetry(ctx context.Context, topic string, p *eventlog.Producer,
	entries []eventlog.Entry) (int64, error) {
	retry := minAppendRetry
	for {
		offset, err := o.log.Append(ctx, topic, p, entries)
		var refused *eventlog.RefusedError
		var unknown *eventlog.UnknownError
		switch {
		case err == nil:
			return offset, nil
		case errors.As(err, &refused), errors.As(err, &unknown):
			o.logger.Info("append not confirmed, retrying", "topic", topic, "epoch", p.Epoch, "sequence", p.Sequence, "error", err)
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
