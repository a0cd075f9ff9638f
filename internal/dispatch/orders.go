package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Orders returns the orders to send now, and removes them from the core.
func (c *Core) Orders() []Order {
	o := c.orders
	c.orders = nil
	return o
}

// RevokeOrders takes back the orders about tasks that were decided while the owner must not act. Lease calls and requests for
// advice are decided only when it may.
func (c *Core) RevokeOrders(now time.Duration) {
	c.steps++
	err := &NotSentError{}
	for _, o := range c.Orders() {
		switch o := o.(type) {
		case StartOrder:
			c.StartReturned(now, o, CallAnswer{}, err)
		case StopOrder:
			c.StopReturned(now, o, CallAnswer{}, err)
		case CPULimitOrder:
			c.CPULimitReturned(now, o, CallAnswer{}, err)
		}
	}
}

// Order is a call that Owner sends. Its outcome is reported to the Core.
type Order interface{ isOrder() }

// StartOrder starts an attempt.
type StartOrder struct {
	Member Member
	Call   StartCall
	task   *task
}

// StopOrder stops an attempt.
type StopOrder struct {
	Member Member
	Call   StopCall
	task   *task
}

// CPULimitOrder sets the CPU limit of an attempt.
type CPULimitOrder struct {
	Member Member
	Call   CPULimitCall
	task   *task
}

// LeaseOrder renews the lease of a worker.
type LeaseOrder struct {
	Member Member
	Call   LeaseCall
	worker *worker
	// announcements is that of the worker when the call was decided.
	announcements int
}

// AdviceOrder asks the advisor which workers may run a step.
type AdviceOrder struct {
	Step    workflow.StepID
	Workers []Incarnation
	// Takes is the expected duration of the call.
	Takes time.Duration
	terms workflow.Advised
	step  *step
}

func (AdviceOrder) isOrder()   {}
func (StartOrder) isOrder()    {}
func (StopOrder) isOrder()     {}
func (CPULimitOrder) isOrder() {}
func (LeaseOrder) isOrder()    {}
