package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/budget"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// request is one parsed request of a caller or of another gateway.
type request struct {
	id       string
	kind     manifest.Kind
	team     string
	ticket   string
	body     []byte
	arrived  time.Time
	deadline time.Time
}

// answer is the answer to a request: whole, not run or unknown.
type answer struct {
	state      contract.AnswerState
	reason     string
	detail     string
	retryAfter time.Duration
	body       []byte
	digest     string
}

// Reasons of answers in addition to those of packages admission and upstream.
const (
	reasonNotSent      = "upstream-not-reached"
	reasonNoAnswer     = "no-whole-answer"
	reasonTimeout      = "timeout"
	reasonCallerGone   = "caller-gone"
	reasonRetryBudget  = "retry-budget-spent"
	reasonNoConfig     = "no-manifest-yet"
	reasonTicketNeeded = "ticket-required"
)

// attempt is the result of one call to a worker.
type attempt struct {
	answer answer
	// mayHaveRun reports whether the worker may have run the request.
	mayHaveRun bool
	// grantRefused reports whether the worker refused because of the grant rather than its load. The retry then needs
	// no retry budget: each such refusal takes the worker out of use until the next grant, which bounds the retries.
	grantRefused bool
}

// newSlotRequest returns the slot request of r. All attempts of a request can use the same one.
func newSlotRequest(r request) *slotRequest {
	req := &slotRequest{result: make(chan slotResult, 1)}
	req.entry = admission.Entry[*slotRequest]{Kind: r.kind.Name, Rank: r.kind.Urgency.Rank(), Arrived: r.arrived,
		Deadline: r.deadline, Value: req}
	return req
}

// run executes a request on workers. ctx is the caller's: when it ends, the wait for a slot ends, but no call to a
// worker is cancelled, because the worker may have started.
func (g *Gateway) run(ctx context.Context, r request) answer {
	req := newSlotRequest(r)
	mayHaveRun, grantRefusals := false, 0
	for n := 1; ; n++ {
		invariant.Check(invariant.TicketDispatchOnce, r.kind.Idempotent || !mayHaveRun, "request", r.id, "attempt", n)
		a, retryable := g.runAttempt(ctx, r, req, n > 1)
		mayHaveRun = mayHaveRun || a.mayHaveRun
		if a.answer.state == contract.AnswerWhole {
			return a.answer
		}
		if a.grantRefused {
			grantRefusals++
		}
		retryable = retryable && n-grantRefusals < maxAttempts && grantRefusals < maxGrantRefusals
		if !retryable || mayHaveRun && !r.kind.Idempotent || !g.mayRetry(a.grantRefused) {
			return finalAnswer(a.answer, mayHaveRun)
		}
		g.metrics.retries.Inc()
	}
}

// finalAnswer derives the answer to a request from that of its last attempt: once an attempt may have run, the answer
// is never "not run".
func finalAnswer(a answer, mayHaveRun bool) answer {
	if mayHaveRun && a.state == contract.AnswerNotRun {
		a.state = contract.AnswerUnknown
	}
	invariant.Check(invariant.NotRunWasNotSent, a.state != contract.AnswerNotRun || !mayHaveRun, "reason", a.reason)
	return a
}

// mayRetry reports whether another attempt is permitted. It takes a retry from the budget unless the worker refused
// because of the grant.
func (g *Gateway) mayRetry(grantRefused bool) bool {
	if grantRefused {
		return true
	}
	permitted, _ := postAndWait(g, func(time.Time) bool { return g.control.retryBudget.TakeRetry() })
	return permitted
}

// runAttempt makes one attempt. It reports whether a retry is possible: the request had a slot, and its deadline has
// not passed.
func (g *Gateway) runAttempt(ctx context.Context, r request, req *slotRequest, retry bool) (attempt, bool) {
	queued := time.Now()
	s, ok := g.awaitSlot(ctx, req, retry)
	g.metrics.observeQueueTime(r.kind.Name, time.Since(queued))
	switch {
	case !ok:
		return attempt{answer: answer{state: contract.AnswerNotRun, reason: reasonCallerGone}}, false
	case s.refusal != nil:
		return attempt{answer: refusedAnswer(s.refusal)}, false
	}
	req.avoid = s.permit.Worker
	run := g.executeHedged
	if !r.kind.Idempotent {
		run = g.execute
	}
	a := run(ctx, r, s)
	return a, time.Now().Before(r.deadline)
}

// execute calls the worker of a permit and releases the slot as soon as the request can no longer occupy it.
func (g *Gateway) execute(ctx context.Context, r request, s slotResult) attempt {
	p := s.permit
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	defer cancel()
	started := time.Now()
	id := upstream.AttemptID(r.id, g.attemptSerial.Add(1))
	got, err := g.deps.Workers.Execute(ctx, p.Addr, upstream.ExecuteRequest{RequestID: id, Kind: r.kind.Name,
		Shard: p.Shard, Epoch: p.Epoch, Gateway: g.Incarnation, Generation: p.Generation,
		Timeout: max(time.Until(r.deadline), time.Millisecond), NonIdempotent: !r.kind.Idempotent, Body: r.body})
	took := time.Since(started)
	if err == nil {
		digest := upstream.Digest(got.Body)
		invariant.Check(invariant.AnswerIdentity, got.RequestID == id && got.Digest == digest, "want", id,
			"got", got.RequestID)
		g.post(func(now time.Time) { g.recordSuccess(now, r.kind.Name, p, took) })
		return attempt{answer: answer{state: contract.AnswerWhole, body: got.Body, digest: digest}}
	}
	var notRun *upstream.NotRunError
	if errors.As(err, &notRun) {
		g.post(func(now time.Time) { g.recordRefusal(now, p, notRun.Reason) })
		return notRunAttempt(notRun)
	}
	// A broken connection is the worker's fault, however early it breaks.
	atFault := ctx.Err() == nil || isSlow(s.expected, took)
	g.post(func(now time.Time) { g.recordNoAnswer(now, p, atFault) })
	g.spawn(func(ctx context.Context) { g.cancelUnanswered(ctx, p, id, r.deadline) })
	a := answer{state: contract.AnswerUnknown, reason: reasonNoAnswer, detail: err.Error()}
	if ctx.Err() != nil {
		a.reason = reasonTimeout
	}
	return attempt{answer: a, mayHaveRun: true}
}

// notRunAttempt returns the attempt that a worker refused or that was not sent.
func notRunAttempt(e *upstream.NotRunError) attempt {
	a := answer{state: contract.AnswerNotRun, reason: string(e.Reason), detail: e.Error(), retryAfter: time.Second}
	switch e.Reason {
	case upstream.RefusalNone:
		a.reason = reasonNotSent
	case upstream.RefusalCancelled:
		// The worker knows the id: an earlier call of the same caller is running there or was cancelled while it ran.
		a.state = contract.AnswerUnknown
		return attempt{answer: a, mayHaveRun: true}
	}
	return attempt{answer: a, grantRefused: isGrantRefusal(e.Reason)}
}

// isGrantRefusal reports whether a refusal concerns the grant rather than the worker's load.
func isGrantRefusal(r upstream.Refusal) bool {
	switch r {
	case upstream.RefusalStaleEpoch, upstream.RefusalStaleGrant, upstream.RefusalWrongShard, upstream.RefusalLeaving,
		upstream.RefusalNoLease:
		return true
	}
	return false
}

// recordSuccess records an answer in time and releases its slot.
func (g *Gateway) recordSuccess(now time.Time, kind string, p budget.Permit, took time.Duration) {
	g.deps.Limit.Observe(now, took, false)
	g.ejectIfSlow(now, kind, p, took)
	g.control.serviceTimes.Observe(now, kind, took)
	g.control.outliers.RecordSuccess(p.Worker)
	g.releaseSlot(now, p)
}

// ejectIfSlow records the service time of an answer and ejects the worker if its answers are much slower than expected.
func (g *Gateway) ejectIfSlow(now time.Time, kind string, p budget.Permit, took time.Duration) {
	c := &g.control
	expected := c.serviceTimes.Estimate(kind)
	if !c.ejectSlow || expected <= 0 {
		return
	}
	ratio := took.Seconds() / expected.Seconds()
	if took-expected < minSlowExcess {
		ratio = min(ratio, 1)
	}
	if c.outliers.RecordServiceTime(now, p.Worker, ratio, c.pool.Workers()) {
		c.pool.SetBlocked(p.Worker, true)
		g.metrics.ejections.Inc()
		g.log.Warn("worker ejected because of slow answers", "worker", p.Worker, "kind", kind, "took", took,
			"expected", expected)
	}
}

// recordRefusal records that a worker refused a request and releases the slot.
func (g *Gateway) recordRefusal(now time.Time, p budget.Permit, reason upstream.Refusal) {
	if isGrantRefusal(reason) {
		g.control.pool.MarkRefused(now, p)
		g.requestGrantSoon(p.Shard)
	} else {
		g.recordFailure(now, p)
	}
	g.releaseSlot(now, p)
}

// recordFailure records a failure that is the fault of a worker, and ejects the worker after repeated ones.
func (g *Gateway) recordFailure(now time.Time, p budget.Permit) {
	c := &g.control
	g.deps.Limit.Observe(now, 0, true)
	if c.ejectFailing && c.outliers.RecordFailure(now, p.Worker, c.pool.Workers()) {
		c.pool.SetBlocked(p.Worker, true)
		g.metrics.ejections.Inc()
		g.log.Warn("worker ejected after repeated failures", "worker", p.Worker)
	}
}

// recordNoAnswer keeps the slot of a request that may still be running; cancelUnanswered releases it. atFault reports
// whether the worker is to blame.
func (g *Gateway) recordNoAnswer(now time.Time, p budget.Permit, atFault bool) {
	g.control.unansweredSlots++
	if atFault {
		g.recordFailure(now, p)
	}
}

// cancelUnanswered cancels a request without an answer and then releases its slot.
func (g *Gateway) cancelUnanswered(ctx context.Context, p budget.Permit, id string, deadline time.Time) {
	giveUpAt := deadline.Add(cancelTimeout)
	for time.Now().Before(giveUpAt) && ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := g.deps.Workers.Cancel(callCtx, p.Addr, upstream.CancelRequest{Gateway: g.Incarnation, RequestID: id})
		cancel()
		// No process listens at the address, so the one that ran the request has ended.
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		sleep(ctx, cancelRetryInterval)
	}
	g.post(func(now time.Time) {
		g.control.unansweredSlots--
		g.releaseSlot(now, p)
	})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
