package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/platform"
)

const (
	// maxBatchRecords and maxBatchBytes limit one append.
	maxBatchRecords = 500
	maxBatchBytes   = 512 << 10
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
)

// outboxRecord is a record that has not been read back yet. A retried append uses the same bytes.
type outboxRecord struct {
	id   contract.RecordID
	data []byte
	body contract.Body
}

// outbox holds the records of one shard that have not been read back yet, in order.
type outbox struct {
	// queue holds records that are not appended yet, inFlight those of the append in flight, and appended those whose
	// append succeeded and that were not read back yet.
	queue, inFlight []outboxRecord
	appended        map[contract.RecordID]outboxRecord
	// readBackInFlight holds the ids of records in flight that were read back before the append was answered.
	readBackInFlight map[contract.RecordID]bool
	// nextAppend is the earliest time of the next append.
	nextAppend time.Time
	// failures counts the consecutive failed appends.
	failures int
}

// idle reports whether every record was read back.
func (o *outbox) idle() bool {
	return len(o.queue) == 0 && len(o.inFlight) == 0 && len(o.appended) == 0
}

// failing reports whether the last append failed. No new records are added until it has succeeded, so that an outage
// leaves a single batch to retry.
func (o *outbox) failing() bool { return o.failures > 0 }

// onReadBack removes a record that was read back from the stream.
func (o *outbox) onReadBack(id contract.RecordID) {
	delete(o.appended, id)
	for i := range o.queue {
		if o.queue[i].id == id {
			o.queue = append(o.queue[:i:i], o.queue[i+1:]...)
			o.clearFailuresIfEmpty()
			return
		}
	}
	for i := range o.inFlight {
		if o.inFlight[i].id == id {
			if o.readBackInFlight == nil {
				o.readBackInFlight = map[contract.RecordID]bool{}
			}
			o.readBackInFlight[id] = true
			return
		}
	}
}

// takeBatch moves the next batch from the queue into flight and returns its data.
func (o *outbox) takeBatch() [][]byte {
	n, size := 0, 0
	for n < len(o.queue) && n < maxBatchRecords && (n == 0 || size+len(o.queue[n].data) <= maxBatchBytes) {
		size += len(o.queue[n].data)
		n++
	}
	o.inFlight, o.queue = o.queue[:n:n], o.queue[n:]
	out := make([][]byte, n)
	for i := range o.inFlight {
		out[i] = o.inFlight[i].data
	}
	return out
}

// finishAppend handles the result of the append in flight. After a failure the batch returns to the front of the queue,
// except for records that were read back meanwhile.
func (o *outbox) finishAppend(now time.Time, err error) {
	inFlight := o.inFlight
	o.inFlight = nil
	if err == nil {
		o.failures = 0
		o.nextAppend = now.Add(tickInterval)
	} else {
		o.failures++
		o.nextAppend = now.Add(jitter(min(maxBackoff, minBackoff<<min(o.failures-1, 6))))
		var limited *platform.RateLimitedError
		if errors.As(err, &limited) {
			o.nextAppend = now.Add(jitter(max(limited.RetryAfter, minBackoff)))
		}
	}
	var retry []outboxRecord
	for _, r := range inFlight {
		switch {
		case o.readBackInFlight[r.id]:
		case err == nil:
			if o.appended == nil {
				o.appended = map[contract.RecordID]outboxRecord{}
			}
			o.appended[r.id] = r
		default:
			retry = append(retry, r)
		}
	}
	o.readBackInFlight = nil
	o.queue = append(retry, o.queue...)
	o.clearFailuresIfEmpty()
}

// clearFailuresIfEmpty clears the failures once no record is left to append: an append that was reported as failed has
// taken effect if all of its records were read back.
func (o *outbox) clearFailuresIfEmpty() {
	if len(o.queue) == 0 && len(o.inFlight) == 0 {
		o.failures = 0
	}
}

// each calls f for every record that has not been read back.
func (o *outbox) each(f func(b contract.Body)) {
	for _, r := range o.queue {
		f(r.body)
	}
	for _, r := range o.inFlight {
		f(r.body)
	}
	for _, r := range o.appended {
		f(r.body)
	}
}

// enqueue adds a record to a shard's outbox and returns its id. The epoch is zero for records that any process may
// write.
func (s *Scheduler) enqueue(sh *managedShard, epoch uint64, b contract.Body) contract.RecordID {
	id := contract.NewRecordID()
	s.enqueueWithID(sh, id, epoch, b)
	return id
}

// enqueueWithID is enqueue with a given record id.
func (s *Scheduler) enqueueWithID(sh *managedShard, id contract.RecordID, epoch uint64, b contract.Body) {
	data, err := contract.EncodeRecord(id, epoch, b)
	if err != nil {
		s.log.Error("record cannot be encoded", "shard", sh.name, "kind", b.RecordKind(), "error", err)
		return
	}
	sh.out.queue = append(sh.out.queue, outboxRecord{id: id, data: data, body: b})
}

// flush starts the append of the next batch, unless an append is in flight or none is due.
func (s *Scheduler) flush(sh *managedShard, now time.Time) {
	if len(sh.out.queue) == 0 || sh.out.inFlight != nil || now.Before(sh.out.nextAppend) {
		return
	}
	batch, session := sh.out.takeBatch(), sh.session
	s.metrics.appends.Inc()
	s.metrics.appendedRecords.Add(float64(len(batch)))
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		_, err := s.deps.Log.Append(ctx, sh.stream, batch)
		s.post(func(now time.Time) {
			if session != sh.session {
				return
			}
			if err != nil {
				s.metrics.appendFailures.Inc()
				s.log.Debug("append to the shard stream failed", "shard", sh.name, "records", len(batch), "error", err)
			}
			sh.out.finishAppend(now, err)
		})
	})
}
