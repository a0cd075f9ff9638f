package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Orders returns what is to be sent now.
func (c *Core) Orders() []Order {
	o := c.orders
	c.orders = nil
	return o
}

// Order is a call that the owner's loop sends. Sent calls report their outcome to the Core.
type Order interface{ isOrder() }

// StartOrder starts a task.
type StartOrder struct {
	Member Member
	Call   StartCall
	task   *task
}

// StopOrder stops a task.
type StopOrder struct {
	Member Member
	Call   StopCall
	task   *task
}

// PaceOrder sets the pace of a task.
type PaceOrder struct {
	Member Member
	Call   PaceCall
	task   *task
}

// LeaseOrder renews the lease of a worker.
type LeaseOrder struct {
	Member Member
	Call   LeaseCall
	worker *worker
}

// AdviceOrder asks the advisor which workers may run a step.
type AdviceOrder struct {
	Step    workflow.StepID
	Workers []Lifetime
	// Takes is how long the answer is expected to take.
	Takes time.Duration
	terms workflow.Advised
	step  *step
}

func (AdviceOrder) isOrder() {}
func (StartOrder) isOrder()  {}
func (StopOrder) isOrder()   {}
func (PaceOrder) isOrder()   {}
func (LeaseOrder) isOrder()  {}
