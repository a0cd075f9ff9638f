package gateway

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/contract"
)

const (
	// hedgeDelayFactor is the multiple of the expected service time after which an idempotent request is sent to a
	// second worker. Interference on a shared worker slows requests by small factors; ten times the mean indicates that
	// the worker hangs.
	hedgeDelayFactor = 10
	// minHedgeDelay keeps short requests from being sent twice because of one slow packet.
	minHedgeDelay = 100 * time.Millisecond
	// minSlowFactor is the multiple of the expected service time that must have passed before a request is sent twice,
	// even if little time is left. A request that left the queue shortly before its deadline is not sent twice, because
	// hedging must not add load during overload.
	minSlowFactor = 3
)

// hedgeDelay returns how long to wait for the first worker before the request is sent to a second one. It leaves at
// least half of the remaining time for the second worker. It reports false if the remaining time is too short for one.
func hedgeDelay(expected, left time.Duration) (time.Duration, bool) {
	if expected <= 0 {
		return left / 2, true
	}
	delay := min(left/2, max(hedgeDelayFactor*expected, minHedgeDelay))
	return delay, delay >= minSlowFactor*expected
}

// isSlow reports whether a request took so long that its worker is at fault rather than a short deadline.
func isSlow(expected, took time.Duration) bool { return took >= minSlowFactor*expected }

// executeHedged runs an idempotent request, and runs it on a second worker if the first one is slow and the retry
// budget permits it. The first whole answer is returned. The other call continues until it ends, because its slot stays
// occupied in any case.
func (g *Gateway) executeHedged(ctx context.Context, r request, s slotResult) attempt {
	delay, worthwhile := hedgeDelay(s.expected, time.Until(r.deadline))
	if !worthwhile {
		return g.execute(ctx, r, s)
	}
	out := make(chan attempt, 2)
	go func() { out <- g.execute(ctx, r, s) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-out:
		return a
	case <-timer.C:
	}
	g.post(func(now time.Time) { g.recordFailure(now, s.permit) })
	if !g.mayRetry(false) {
		return <-out
	}
	g.metrics.hedges.Inc()
	queueCtx, leaveQueue := context.WithCancel(ctx)
	defer leaveQueue()
	go func() { out <- g.executeSecond(queueCtx, r, s) }()
	a := <-out
	if a.answer.state == contract.AnswerWhole {
		return a
	}
	b := <-out
	if b.answer.state == contract.AnswerWhole || !a.mayHaveRun {
		a, b = b, a
	}
	a.mayHaveRun = a.mayHaveRun || b.mayHaveRun
	a.grantRefused = a.grantRefused && b.grantRefused
	return a
}

// executeSecond waits for a slot on another worker and runs the request there.
func (g *Gateway) executeSecond(ctx context.Context, r request, first slotResult) attempt {
	req := newSlotRequest(r)
	req.avoid = first.permit.Worker
	s, ok := g.awaitSlot(ctx, req, true)
	switch {
	case !ok:
		return attempt{answer: answer{state: contract.AnswerNotRun, reason: reasonCallerGone}}
	case s.refusal != nil:
		return attempt{answer: refusedAnswer(s.refusal)}
	}
	return g.execute(ctx, r, s)
}

// refusedAnswer returns the answer to a request that admission refused.
func refusedAnswer(r *admission.Refusal) answer {
	return answer{state: contract.AnswerNotRun, reason: string(r.Reason), retryAfter: r.RetryAfter}
}
