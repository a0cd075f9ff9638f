package dispatch

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/clock"
)

// Limits of the time between the decision of a call and its transmission. Lease calls may wait for a session with an agent.
const (
	maxTaskCallAge  = 2 * maxTurnWait
	maxLeaseCallAge = 2 * time.Second
)

// sendOrders starts the calls for the core's orders.
func (o *Owner) sendOrders(ctx context.Context, now time.Duration) {
	for _, order := range o.core.Orders() {
		// Calls that do not delay a hand-over are not counted: a lease call may wait for a second, and a successor
		// does not depend on its outcome.
		counted := 1
		switch order.(type) {
		case LeaseOrder, AdviceOrder:
			counted = 0
		}
		o.callsInFlight += counted
		o.load.started()
		core := o.core
		go func() {
			report, err := o.executeOrder(ctx, core, now, order)
			answered := clock.Now()
			o.post(func(now time.Duration) {
				o.load.ended(err)
				o.load.maxEventDelay = max(o.load.maxEventDelay, now-answered)
				if o.core == core {
					o.callsInFlight -= counted
					report(now)
				}
			})
		}()
	}
}

// executeOrder sends an order and returns the report of its outcome to the core, with the error of the call.
func (o *Owner) executeOrder(ctx context.Context, core *Core, sent time.Duration, order Order) (func(time.Duration), error) {
	// A process that was paused must not make a call of before: a worker that has restarted meanwhile would accept it.
	maxAge := maxTaskCallAge
	if _, ok := order.(LeaseOrder); ok {
		maxAge = maxLeaseCallAge
	}
	ctx = WithGuard(ctx, func() bool { return clock.Now()-sent <= maxAge })
	switch c := order.(type) {
	case AdviceOrder:
		ids := make([]string, len(c.Workers))
		for i, l := range c.Workers {
			ids[i] = l.ID
		}
		a, err := o.advisor.Advise(ctx, c.Step, ids, c.Takes)
		return func(now time.Duration) { core.AdviceReturned(now, c, a, err) }, err
	case StartOrder:
		if clock.Now()-sent > maxTurnWait {
			err := &NotSentError{}
			return func(now time.Duration) { core.StartReturned(now, c, CallAnswer{}, err) }, err
		}
		a, err := o.workers.Start(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.StartReturned(now, c, a, err) }, err
	case StopOrder:
		a, err := o.workers.Stop(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.StopReturned(now, c, a, err) }, err
	case CPULimitOrder:
		a, err := o.workers.LimitCPU(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.CPULimitReturned(now, c, a, err) }, err
	case LeaseOrder:
		a, err := o.workers.Renew(ctx, c.Member, c.Call)
		if err != nil {
			return func(now time.Duration) { core.LeaseFailed(now, c, err) }, err
		}
		return func(now time.Duration) { core.LeaseAnswered(now, sent, c, a) }, nil
	}
	return func(time.Duration) {}, nil
}
