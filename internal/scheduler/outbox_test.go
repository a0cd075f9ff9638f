package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/platform"
)

// filledOutbox returns an outbox with n queued records.
func filledOutbox(n int) *outbox {
	o := &outbox{}
	for range n {
		o.queue = append(o.queue, outboxRecord{id: contract.NewRecordID(), data: []byte("x")})
	}
	return o
}

// Guards against an outbox that reports a failure forever: the append was reported as failed, but all of its records
// are read back, so no further append clears the failure.
func TestOutboxLostAnswer(t *testing.T) {
	now := time.Unix(1, 0)
	for _, early := range []bool{true, false} {
		o := filledOutbox(2)
		ids := []contract.RecordID{o.queue[0].id, o.queue[1].id}
		require.Len(t, o.takeBatch(), 2)
		if early {
			o.onReadBack(ids[0])
			o.onReadBack(ids[1])
		}
		o.finishAppend(now, &platform.UnavailableError{Op: "append", MayHaveApplied: true})
		if !early {
			require.True(t, o.failing())
			o.onReadBack(ids[0])
			require.True(t, o.failing())
			o.onReadBack(ids[1])
		}
		require.False(t, o.failing())
		require.True(t, o.idle())
	}
}

// Guards against a retried append that changes the order of the records or drops one.
func TestOutboxOrder(t *testing.T) {
	o := filledOutbox(maxBatchRecords + 2)
	first := o.queue[0].id
	require.Len(t, o.takeBatch(), maxBatchRecords)
	o.finishAppend(time.Unix(1, 0), &platform.RateLimitedError{RetryAfter: time.Second})
	require.Equal(t, first, o.queue[0].id)
	require.Len(t, o.queue, maxBatchRecords+2)
	require.True(t, o.nextAppend.After(time.Unix(1, 700000000)))
	o.takeBatch()
	o.finishAppend(time.Unix(3, 0), nil)
	require.False(t, o.failing())
	require.False(t, o.idle(), "stored records wait to be read back")
}
