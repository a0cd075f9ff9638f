package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockingWorkers answers calls about tasks once released is closed, and lease calls at once.
type blockingWorkers struct {
	noWorkers
	released      chan struct{}
	inFlight, max atomic.Int64
}

func (b *blockingWorkers) Start(context.Context, Member, StartCall) (CallAnswer, error) {
	n := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	for m := b.max.Load(); n > m && !b.max.CompareAndSwap(m, n); m = b.max.Load() {
	}
	<-b.released
	return CallAnswer{}, nil
}

func (b *blockingWorkers) Renew(context.Context, Member, LeaseCall) (LeaseAnswer, error) {
	return LeaseAnswer{}, nil
}

func TestCallsInFlightAreBounded(t *testing.T) {
	const calls, bandwidth = 70, 250e3
	b := &blockingWorkers{released: make(chan struct{})}
	l := NewLimitedWorkers(b, bandwidth)
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, err := l.Start(context.Background(), Member{}, StartCall{})
			assert.NoError(t, err)
		})
	}
	bound := int64(bandwidth * linkQueue.Seconds() / callBytes)
	require.Eventually(t, func() bool { return b.inFlight.Load() == bound }, time.Second, time.Millisecond)
	_, err := l.Renew(context.Background(), Member{}, LeaseCall{})
	assert.NoError(t, err, "a lease call does not wait behind others")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = l.Stop(ctx, Member{}, StopCall{})
	assert.True(t, isUnanswered(err), "a call that waits ends with its owner's tenure")
	close(b.released)
	wg.Wait()
	assert.Equal(t, bound, b.max.Load())
}
