package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/platform"
)

func queued(n int) *outbox {
	o := &outbox{}
	for range n {
		o.queue = append(o.queue, outRecord{id: contract.NewRecordID(), data: []byte("x")})
	}
	return o
}

// Guards against a shard that never writes again: the append seemed to fail, and all of its records were read back afterwards.
func TestOutboxLostAnswer(t *testing.T) {
	now := time.Unix(1, 0)
	for _, early := range []bool{true, false} {
		o := queued(2)
		ids := []contract.RecordID{o.queue[0].id, o.queue[1].id}
		require.Len(t, o.take(), 2)
		if early {
			o.readBack(ids[0])
			o.readBack(ids[1])
		}
		o.settle(now, &platform.UnavailableError{Op: "append", MayHaveApplied: true})
		if !early {
			require.True(t, o.failing())
			o.readBack(ids[0])
			require.True(t, o.failing())
			o.readBack(ids[1])
		}
		require.False(t, o.failing())
		require.True(t, o.idle())
	}
}

// Guards against a repeated append that changes the order or drops a record.
func TestOutboxOrder(t *testing.T) {
	o := queued(maxBatch + 2)
	first := o.queue[0].id
	require.Len(t, o.take(), maxBatch)
	o.settle(time.Unix(1, 0), &platform.RateLimitedError{RetryAfter: time.Second})
	require.Equal(t, first, o.queue[0].id)
	require.Len(t, o.queue, maxBatch+2)
	require.True(t, o.next.After(time.Unix(1, 700000000)))
	o.take()
	o.settle(time.Unix(3, 0), nil)
	require.False(t, o.failing())
	require.False(t, o.idle(), "stored records wait to be read back")
}
