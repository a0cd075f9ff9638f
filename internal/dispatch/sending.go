package dispatch

import (
	"context"
	"time"
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
		core := o.core
		go func() {
			report := o.executeOrder(ctx, core, now, order)
			o.post(func(now time.Duration) {
				if o.core == core {
					o.callsInFlight -= counted
					report(now)
				}
			})
		}()
	}
}

func (o *Owner) executeOrder(ctx context.Context, core *Core, sent time.Duration, order Order) func(time.Duration) {
	switch c := order.(type) {
	case AdviceOrder:
		ids := make([]string, len(c.Workers))
		for i, l := range c.Workers {
			ids[i] = l.ID
		}
		a, err := o.advisor.Advise(ctx, c.Step, ids, c.Takes)
		return func(now time.Duration) { core.AdviceReturned(now, c, a, err) }
	case StartOrder:
		a, err := o.workers.Start(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.StartReturned(now, c, a, err) }
	case StopOrder:
		a, err := o.workers.Stop(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.StopReturned(now, c, a, err) }
	case CPULimitOrder:
		a, err := o.workers.LimitCPU(ctx, c.Member, c.Call)
		return func(now time.Duration) { core.CPULimitReturned(now, c, a, err) }
	case LeaseOrder:
		a, err := o.workers.Renew(ctx, c.Member, c.Call)
		if err != nil {
			return func(now time.Duration) { core.LeaseFailed(now, c, err) }
		}
		return func(now time.Duration) { core.LeaseAnswered(now, sent, c, a) }
	}
	return func(time.Duration) {}
}
