package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// hold answers a lease call once the worker has an end to list or the time is over. The connection breaks with the
// incarnation, unless that ends without a sign.
func (sim *simulation) hold(f *fakeWorker, until time.Duration, reply func(LeaseAnswer, error)) {
	const step = 5 * time.Millisecond
	sim.schedule(step, func() {
		switch {
		case sim.workers[f.id] != f && !sim.silentCrashes:
			reply(LeaseAnswer{}, &NoAnswerError{Err: io.EOF})
		case sim.workers[f.id] != f, f.disconnected:
			sim.schedule(max(0, until-sim.now)+600*time.Millisecond, func() {
				reply(LeaseAnswer{}, &NoAnswerError{Err: context.DeadlineExceeded})
			})
		case len(f.ends) > 0 || sim.now >= until:
			reply(sim.list(f), nil)
		default:
			sim.hold(f, until, reply)
		}
	})
}

// unname removes the incarnation from an answer to a call about a task, if unnamedAnswers is set.
func (sim *simulation) unname(a CallAnswer, err error) (CallAnswer, error) {
	if !sim.unnamedAnswers {
		return a, err
	}
	a.StartedAt = 0
	var refused *RefusedError
	if errors.As(err, &refused) {
		refused.Answer.StartedAt = 0
	}
	return a, err
}

// restart gives a worker a new incarnation under its id.
func (sim *simulation) restart(id string) {
	sim.countCrashes(sim.workers[id])
	f := sim.addWorker(id)
	sim.core.SetMember(sim.now, sim.member(f))
}

// restartAnswered is restart with an answer of the new incarnation to a call that was meant for the earlier one: the entry alone
// may be old.
func (sim *simulation) restartAnswered(id string) {
	sim.restart(id)
	w, f := sim.core.workers[id], sim.workers[id]
	sim.core.observeAnswer(sim.now, w, callLook, w.StartedAt, CallAnswer{StartedAt: f.startedAt, Clock: sim.clock(f)})
}

// restartUnlisted gives a worker a new incarnation under its id with the given labels. Its entry is read after a delay.
func (sim *simulation) restartUnlisted(id string, delay time.Duration, labels ...string) *fakeWorker {
	sim.countCrashes(sim.workers[id])
	before := sim.workers[id]
	f := sim.addWorker(id)
	f.labels, f.disconnected = labels, before.disconnected
	if sim.setsClocksBack {
		f.startedAt -= int64(sim.rng.IntN(3000))
	}
	sim.schedule(delay, func() {
		if sim.workers[id] == f || sim.oldEntries {
			sim.core.SetMember(sim.now, sim.member(f))
		}
	})
	return f
}

// delayLeaseCalls keeps the owner from making lease calls for a while, as if the last ones were still in flight.
func (sim *simulation) delayLeaseCalls(d time.Duration) {
	sim.occupyLeaseCalls(d, true)
}

// occupyLeaseCalls is delayLeaseCalls; held is set if the workers hold the calls, rather than that they are slow to arrive.
func (sim *simulation) occupyLeaseCalls(d time.Duration, held bool) {
	core := sim.core
	for _, w := range core.workers {
		delete(core.callable, w)
		w.holdsCall = held
		sim.schedule(d, func() { core.callable[w], w.holdsCall = struct{}{}, false })
	}
}

// assumeHeard makes the owner count all workers as heard, as if each had answered just now.
func (sim *simulation) assumeHeard() {
	for _, w := range sim.core.workers {
		w.heardAt = sim.now
	}
}
