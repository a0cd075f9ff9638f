package dispatch

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"
)

const oneWayDelay = 3 * time.Millisecond

// sendOrder delivers a call to its worker and the answer back, or loses one of them.
func (sim *simulation) sendOrder(o Order) {
	core := sim.core
	if a, ok := o.(AdviceOrder); ok {
		sim.schedule(a.Takes+2*oneWayDelay, func() { core.AdviceReturned(sim.now, a, sim.advise(a), nil) })
		return
	}
	member := orderMember(o)
	answer := func(do func()) {
		sender := sim.workers[member.ID]
		sim.schedule(oneWayDelay, func() {
			switch {
			case sim.core != core:
			case sender != nil && sender.crashed && !sim.silentCrashes:
				sim.reportError(core, o, &NoAnswerError{Err: io.EOF})
			case sender != nil && sender.disconnected && sim.holdsCalls:
				sim.schedule(250*time.Millisecond, func() {
					if sim.core == core {
						sim.reportNoAnswer(core, o)
					}
				})
			default:
				do()
			}
		})
	}
	if _, ok := o.(StartOrder); ok && sim.heldStarts > 0 {
		sim.schedule(min(sim.heldStarts, maxStartAge), func() {
			if sim.heldStarts > maxStartAge {
				sim.reportError(core, o, &NotSentError{})
				return
			}
			sim.transmit(core, o, member, answer)
		})
		return
	}
	sim.transmit(core, o, member, answer)
}

// transmit delivers a call, or loses it or its answer.
func (sim *simulation) transmit(core *Core, o Order, member Member, answer func(func())) {
	holder := sim.workers[member.ID]
	if sim.rng.Float64() < sim.callLossShare {
		// The contract of Workers excludes that an incarnation holds a lease call which was written for another one.
		_, isLease := o.(LeaseOrder)
		heldByOther := isLease && !sim.pinnedCalls && holder != nil && holder.startedAt != member.StartedAt
		if sim.rng.IntN(2) == 0 && !heldByOther {
			// The worker holds the call, which ends with its incarnation.
			delay := 2*time.Second + time.Duration(sim.rng.IntN(4000))*time.Millisecond
			if sim.delayedCalls {
				delay -= 2 * time.Second
			}
			sim.schedule(delay, func() {
				if sim.workers[member.ID] == holder || sim.delayedCalls && !sim.pinnedCalls {
					sim.deliver(o, member, func(func()) {})
				}
			})
		}
		sim.schedule(250*time.Millisecond, func() { answer(func() { sim.reportNoAnswer(core, o) }) })
		return
	}
	sim.schedule(oneWayDelay, func() {
		f := sim.workers[member.ID]
		if f != nil && f.addr != member.Addr {
			f = nil
		}
		if successor := sim.successor(member); f == nil && successor != nil {
			_, err := sim.refuse(successor, ReasonRestarted)
			answer(func() { sim.reportError(core, o, err) })
			return
		}
		if f == nil && !sim.silentCrashes {
			answer(func() { sim.reportError(core, o, &NoAnswerError{Err: syscall.ECONNREFUSED}) })
			return
		}
		if f == nil || f.disconnected {
			sim.schedule(250*time.Millisecond, func() { answer(func() { sim.reportNoAnswer(core, o) }) })
			return
		}
		if sim.pinnedCalls && holder != nil && holder.startedAt == member.StartedAt && f != holder {
			// The connection to which the call was written has ended.
			if sim.silentCrashes {
				sim.schedule(250*time.Millisecond, func() { answer(func() { sim.reportNoAnswer(core, o) }) })
				return
			}
			answer(func() { sim.reportError(core, o, &NoAnswerError{Err: io.EOF}) })
			return
		}
		sim.deliver(o, member, answer)
	})
}

// advise answers a call to the advisor. A ticket contains the worker's incarnation and the end of its validity.
func (sim *simulation) advise(o AdviceOrder) Advice {
	sim.adviceCalls++
	a := Advice{Tickets: map[string]string{}, Valid: sim.ticketValidity}
	for _, w := range o.Workers {
		if sim.permitted[w.ID] {
			a.Tickets[w.ID] = fmt.Sprintf("%s/%d/%d", w.ID, w.StartedAt, sim.now+sim.ticketValidity)
		}
	}
	return a
}

// ticketValid reports whether a ticket allows the worker to start a task now.
func (sim *simulation) ticketValid(f *fakeWorker, ticket string) bool {
	if sim.permitted == nil {
		return true
	}
	var end int64
	_, err := fmt.Sscanf(ticket, f.id+"/"+fmt.Sprint(f.startedAt)+"/%d", &end)
	return err == nil && sim.now < time.Duration(end)
}

func orderMember(o Order) Member {
	switch c := o.(type) {
	case StartOrder:
		return c.Member
	case StopOrder:
		return c.Member
	case CPULimitOrder:
		return c.Member
	case LeaseOrder:
		return c.Member
	}
	return Member{}
}

func (sim *simulation) reportNoAnswer(core *Core, o Order) {
	sim.reportError(core, o, &NoAnswerError{Err: context.DeadlineExceeded})
}

func (sim *simulation) reportError(core *Core, o Order, err error) {
	switch c := o.(type) {
	case StartOrder:
		core.StartReturned(sim.now, c, CallAnswer{}, err)
	case StopOrder:
		core.StopReturned(sim.now, c, CallAnswer{}, err)
	case CPULimitOrder:
		core.CPULimitReturned(sim.now, c, CallAnswer{}, err)
	case LeaseOrder:
		core.LeaseFailed(sim.now, c, err)
	}
}

// deliver carries out a call on the worker at the time of arrival. answer delays a function until the answer reaches
// the owner.
func (sim *simulation) deliver(o Order, m Member, answer func(func())) {
	f := sim.workers[m.ID]
	if f == nil || f.disconnected {
		return
	}
	core := sim.core
	if l, isLease := o.(LeaseOrder); sim.pinnedCalls && f.startedAt != m.StartedAt {
		if !isLease {
			_, err := sim.refuse(f, ReasonOtherIncarnation)
			answer(func() { sim.reportError(core, o, err) })
			return
		}
		sent := sim.now - oneWayDelay
		a, err := sim.renew(f, LeaseCall{Epoch: l.Call.Epoch})
		answer(func() {
			if err != nil {
				core.LeaseFailed(sim.now, l, err)
				return
			}
			core.LeaseAnswered(sim.now, sent, l, a)
		})
		return
	}
	// Without pinned calls, a worker that has restarted under its id accepts those that were meant for its earlier incarnation.
	switch c := o.(type) {
	case StartOrder:
		a, err := sim.unname(sim.start(f, c.Call))
		answer(func() { core.StartReturned(sim.now, c, a, err) })
	case StopOrder:
		a, err := sim.unname(sim.stop(f, c.Call))
		answer(func() { core.StopReturned(sim.now, c, a, err) })
	case CPULimitOrder:
		if r := f.running[c.Call.Attempt]; r != nil {
			// A limit of 0 pauses the attempt, which the simulation approximates.
			r.cpuLimit = max(1, c.Call.Percent)
		}
		if sim.contention != nil {
			sim.contention.limitOrders++
		}
		answer(func() {
			a, err := sim.unname(CallAnswer{Clock: sim.clock(f), StartedAt: f.startedAt}, nil)
			core.CPULimitReturned(sim.now, c, a, err)
		})
	case LeaseOrder:
		sent := sim.now - oneWayDelay
		reply := func(a LeaseAnswer, err error) {
			answer(func() {
				if err != nil {
					core.LeaseFailed(sim.now, c, err)
					return
				}
				core.LeaseAnswered(sim.now, sent, c, a)
			})
		}
		a, err := sim.renew(f, c.Call)
		if err == nil && sim.holdsCalls && c.Call.Wait > 0 && len(a.Ends) == 0 {
			sim.hold(f, sim.now+c.Call.Wait, reply)
			return
		}
		reply(a, err)
	}
}

// successor returns the worker that has taken over the address of another one; nil if none has.
func (sim *simulation) successor(m Member) *fakeWorker {
	for _, f := range sim.workers {
		if f.addr == m.Addr && f.id != m.ID {
			return f
		}
	}
	return nil
}
