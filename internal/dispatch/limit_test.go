package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
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
	bound := int64(bandwidth * linkQueue.Seconds() / callBytes)
	l := NewLimitedWorkers(b, bandwidth)
	var wg sync.WaitGroup
	var notSent atomic.Int64
	for i := range calls {
		wg.Go(func() {
			m := Member{Incarnation: Incarnation{ID: fmt.Sprint(i)}}
			if _, err := l.Start(context.Background(), m, StartCall{}); err != nil {
				assert.IsType(t, &NotSentError{}, err)
				notSent.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return b.inFlight.Load() == bound }, time.Second, time.Millisecond)
	_, err := l.Renew(context.Background(), Member{}, LeaseCall{})
	assert.NoError(t, err, "a lease call does not wait behind others")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = l.Stop(ctx, Member{}, StopCall{})
	assert.IsType(t, &NotSentError{}, err, "a call that waits ends with its owner's tenure")
	require.Eventually(t, func() bool { return notSent.Load() == calls-bound }, 2*time.Second, time.Millisecond)
	close(b.released)
	wg.Wait()
	assert.Equal(t, bound, b.max.Load())
}

// Guards against calls to workers that do not answer, which keep others from their turn.
func TestCallsToDeadWorkersDoNotDelayOthers(t *testing.T) {
	b := &blockingWorkers{released: make(chan struct{})}
	defer close(b.released)
	l := NewLimitedWorkers(b, 1)
	for range 10 * minInFlight {
		go func() {
			_, _ = l.Start(context.Background(), Member{Incarnation: Incarnation{ID: "dead"}}, StartCall{})
		}()
	}
	require.Eventually(t, func() bool { return b.inFlight.Load() == maxWorkerInFlight }, time.Second, time.Millisecond)
	began := time.Now()
	_, err := l.Stop(context.Background(), Member{Incarnation: Incarnation{ID: "other"}}, StopCall{})
	assert.True(t, isUnanswered(err))
	assert.Less(t, time.Since(began), maxTurnWait/2)
	assert.Equal(t, int64(maxWorkerInFlight), b.max.Load())
}

// Guards against a start that is sent long after it was decided: its submission may have been cancelled since.
func TestStartsThatWaitTooLongAreDecidedAnew(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(200 * time.Millisecond)
	sim.submit("kept", batchStep(1, time.Second))
	sim.submit("cancelled", batchStep(1, time.Second))
	var orders []StartOrder
	for len(orders) < 2 {
		sim.now += tick
		sim.assumeHeard()
		sim.storeBatches()
		sim.core.Plan(sim.now)
		sim.core.Act(sim.now)
		for _, o := range sim.core.Orders() {
			if s, ok := o.(StartOrder); ok {
				orders = append(orders, s)
			}
		}
	}
	sim.cancel("cancelled")
	for _, o := range orders {
		sim.core.StartReturned(sim.now, o, CallAnswer{}, &NotSentError{})
	}
	started := map[workflow.JobID]int{}
	for range 50 {
		sim.now += tick
		sim.assumeHeard()
		sim.storeBatches()
		sim.core.Act(sim.now)
		for _, o := range sim.core.Orders() {
			switch c := o.(type) {
			case StartOrder:
				started[c.Call.Task.Job]++
				assert.Equal(t, 1, c.Call.Run)
				sim.core.StartReturned(sim.now, c, CallAnswer{StartedAt: 1}, nil)
			case StopOrder:
				assert.Fail(t, "nothing was sent that must be stopped")
			}
		}
	}
	assert.Equal(t, map[workflow.JobID]int{"kept": 1}, started)
	assert.Equal(t, workflow.Cancelled, sim.state("cancelled"))
}

// Guards against calls to workers that are not routed while their entries have expired.
func TestMembersContainUnlistedWorkers(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.run(200 * time.Millisecond)
	sim.submit("s", serviceStep(4))
	sim.run(time.Second)
	for id := range sim.workers {
		sim.core.DropMember(id)
	}
	sim.run(3 * time.Second)
	assert.Len(t, sim.core.Members(), 4)
}

// countingWorkers answers all calls and counts them.
type countingWorkers struct{ calls int }

func (w *countingWorkers) Start(context.Context, Member, StartCall) (CallAnswer, error) {
	w.calls++
	return CallAnswer{}, nil
}

func (w *countingWorkers) Stop(context.Context, Member, StopCall) (CallAnswer, error) {
	w.calls++
	return CallAnswer{}, nil
}

func (w *countingWorkers) LimitCPU(context.Context, Member, CPULimitCall) (CallAnswer, error) {
	w.calls++
	return CallAnswer{}, nil
}

func (w *countingWorkers) Renew(context.Context, Member, LeaseCall) (LeaseAnswer, error) {
	w.calls++
	return LeaseAnswer{}, nil
}

// Guards against calls of before a pause, which a worker that has restarted meanwhile would accept.
func TestCallsThatTheirGuardForbidsAreNotMade(t *testing.T) {
	allowed := func() bool { return true }
	forbidden := func() bool { return false }
	for _, c := range []struct{ outer, inner func() bool }{{forbidden, allowed}, {allowed, forbidden}, {allowed, allowed}} {
		ctx := WithGuard(WithGuard(t.Context(), c.outer), c.inner)
		counted := &countingWorkers{}
		w := NewLimitedWorkers(counted, 0)
		_, startErr := w.Start(ctx, Member{}, StartCall{})
		_, stopErr := w.Stop(ctx, Member{}, StopCall{})
		_, limitErr := w.LimitCPU(ctx, Member{}, CPULimitCall{})
		_, leaseErr := w.Renew(ctx, Member{}, LeaseCall{})
		if c.outer() && c.inner() {
			assert.Equal(t, 4, counted.calls)
			continue
		}
		assert.Zero(t, counted.calls)
		var notSent *NotSentError
		for _, err := range []error{startErr, stopErr, limitErr} {
			assert.ErrorAs(t, err, &notSent)
		}
		assert.True(t, isUnanswered(leaseErr))
	}
}
