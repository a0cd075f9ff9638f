package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/platform"
)

const (
	// maxBatch and maxBatchBytes bound one append.
	maxBatch      = 500
	maxBatchBytes = 512 << 10
	firstBackoff  = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
)

// outRecord is one record on its way into the log and back. A repeated append uses the same bytes.
type outRecord struct {
	id   contract.RecordID
	data []byte
	body contract.Body
}

// outbox holds the records of one shard that were not read back yet, in order.
type outbox struct {
	// queue is not appended yet, flight is being appended, stored was appended but not read back.
	queue, flight []outRecord
	stored        map[contract.RecordID]outRecord
	// done holds the ids in flight that were read back before the answer came.
	done     map[contract.RecordID]bool
	next     time.Time
	failures int
}

// idle reports whether every record was read back.
func (o *outbox) idle() bool { return len(o.queue) == 0 && len(o.flight) == 0 && len(o.stored) == 0 }

// failing reports whether the last append failed. Nothing new is written until it has succeeded, so that an outage leaves a
// single batch.
func (o *outbox) failing() bool { return o.failures > 0 }

// readBack forgets a record.
func (o *outbox) readBack(id contract.RecordID) {
	delete(o.stored, id)
	for i := range o.queue {
		if o.queue[i].id == id {
			o.queue = append(o.queue[:i:i], o.queue[i+1:]...)
			o.settled()
			return
		}
	}
	for i := range o.flight {
		if o.flight[i].id == id {
			if o.done == nil {
				o.done = map[contract.RecordID]bool{}
			}
			o.done[id] = true
			return
		}
	}
}

// take moves the next batch into flight.
func (o *outbox) take() [][]byte {
	n, size := 0, 0
	for n < len(o.queue) && n < maxBatch && (n == 0 || size+len(o.queue[n].data) <= maxBatchBytes) {
		size += len(o.queue[n].data)
		n++
	}
	o.flight, o.queue = o.queue[:n:n], o.queue[n:]
	out := make([][]byte, n)
	for i := range o.flight {
		out[i] = o.flight[i].data
	}
	return out
}

// settle takes in the answer to the append in flight. After a failure the batch is repeated in front of everything else.
func (o *outbox) settle(now time.Time, err error) {
	flight := o.flight
	o.flight = nil
	if err == nil {
		o.failures = 0
		o.next = now.Add(tickEvery)
	} else {
		o.failures++
		o.next = now.Add(jitter(min(maxBackoff, firstBackoff<<min(o.failures-1, 6))))
		var limited *platform.RateLimitedError
		if errors.As(err, &limited) {
			o.next = now.Add(jitter(max(limited.RetryAfter, firstBackoff)))
		}
	}
	var again []outRecord
	for _, r := range flight {
		switch {
		case o.done[r.id]:
		case err == nil:
			if o.stored == nil {
				o.stored = map[contract.RecordID]outRecord{}
			}
			o.stored[r.id] = r
		default:
			again = append(again, r)
		}
	}
	o.done = nil
	o.queue = append(again, o.queue...)
	o.settled()
}

// settled clears the failure of an append once all of its records were read back, because it has taken effect after all.
func (o *outbox) settled() {
	if len(o.queue) == 0 && len(o.flight) == 0 {
		o.failures = 0
	}
}

// each calls f for every record that was not read back.
func (o *outbox) each(f func(b contract.Body)) {
	for _, r := range o.queue {
		f(r.body)
	}
	for _, r := range o.flight {
		f(r.body)
	}
	for _, r := range o.stored {
		f(r.body)
	}
}

// put adds a record to a shard's outbox and returns its id.
func (s *Scheduler) put(sh *shardLoop, epoch uint64, b contract.Body) contract.RecordID {
	id := contract.NewRecordID()
	s.putAs(sh, id, epoch, b)
	return id
}

func (s *Scheduler) putAs(sh *shardLoop, id contract.RecordID, epoch uint64, b contract.Body) {
	data, err := contract.EncodeRecord(id, epoch, b)
	if err != nil {
		s.log.Error("record cannot be encoded", "shard", sh.name, "kind", b.RecordKind(), "error", err)
		return
	}
	sh.out.queue = append(sh.out.queue, outRecord{id: id, data: data, body: b})
}

// flush appends the next batch, at most one every tickEvery and one at a time.
func (s *Scheduler) flush(sh *shardLoop, now time.Time) {
	if len(sh.out.queue) == 0 || sh.out.flight != nil || now.Before(sh.out.next) {
		return
	}
	batch, round := sh.out.take(), sh.round
	s.metrics.appends.Inc()
	s.metrics.appended.Add(float64(len(batch)))
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ioTimeout)
		defer cancel()
		_, err := s.deps.Log.Append(ctx, sh.stream, batch)
		s.post(func(now time.Time) {
			if round != sh.round {
				return
			}
			if err != nil {
				s.metrics.appendFailures.Inc()
				s.log.Debug("append failed", "shard", sh.name, "records", len(batch), "error", err)
			}
			sh.out.settle(now, err)
		})
	})
}
