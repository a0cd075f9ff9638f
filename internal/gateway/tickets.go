package gateway

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/ticket"
)

// Reasons of answers that concern tickets.
const (
	reasonTicketMalformed = "ticket-malformed"
	reasonTicketExpired   = "ticket-expired"
	reasonTicketReused    = "ticket-used-for-another-request"
	reasonTicketsFull     = "too-many-tickets-in-use"
	reasonIssuerGone      = "ticket-issuer-gone"
	reasonIssuerSilent    = "ticket-issuer-does-not-answer"
	reasonInProgress      = "first-request-still-in-progress"
)

// forwardRetryInterval is the time between two calls to an issuer that does not answer.
const forwardRetryInterval = 100 * time.Millisecond

// serve answers a parsed request. forwarded reports whether another gateway sent it.
func (g *Gateway) serve(ctx context.Context, r request, forwarded bool) answer {
	if r.kind.Idempotent {
		return g.run(ctx, r)
	}
	if r.ticket == "" {
		return answer{state: contract.AnswerNotRun, reason: reasonTicketNeeded,
			detail: "requests of kind " + r.kind.Name +
				" run at most once and need a ticket; repeat with the one in the header " + headerTicket}
	}
	now := time.Now()
	t, err := g.issuer.Open(now, r.ticket)
	var foreign *ticket.ForeignError
	var expired *ticket.ExpiredError
	switch {
	case err == nil:
		return g.runOnce(ctx, now, r, t)
	case errors.As(err, &foreign) && forwarded:
		// The other gateway's instance list was stale, or the issuer's address is now used by this gateway.
		return answer{state: contract.AnswerUnknown, reason: reasonIssuerGone, detail: err.Error()}
	case errors.As(err, &foreign):
		return g.forward(ctx, r, t.Incarnation)
	case errors.As(err, &expired):
		return answer{state: contract.AnswerUnknown, reason: reasonTicketExpired, detail: err.Error()}
	}
	return answer{state: contract.AnswerNotRun, reason: reasonTicketMalformed, detail: err.Error()}
}

// ticketDecision is the control loop's decision on a request with a ticket.
type ticketDecision struct {
	verdict ticket.Verdict
	answer  ticket.Answer
	wait    chan ticket.Answer
}

// runOnce runs a request at most once for its ticket. The run continues when the caller disconnects, so that a repeat
// gets its answer.
func (g *Gateway) runOnce(ctx context.Context, now time.Time, r request, t ticket.Ticket) answer {
	print := fingerprint(r)
	d, ok := postAndWait(g, func(time.Time) ticketDecision { return g.control.beginTicket(now, t, print) })
	if !ok {
		return answer{state: contract.AnswerUnknown, reason: reasonIssuerGone}
	}
	switch d.verdict {
	case ticket.Repeat:
		return storedAnswer(d.answer)
	case ticket.Mismatch:
		return answer{state: contract.AnswerNotRun, reason: reasonTicketReused}
	case ticket.Full:
		return answer{state: contract.AnswerNotRun, reason: reasonTicketsFull, retryAfter: time.Second}
	case ticket.Dispatch:
		a := g.run(context.WithoutCancel(ctx), r)
		g.post(func(time.Time) {
			g.control.endTicket(t.Serial, ticket.Answer{State: a.state, Reason: a.reason, Body: a.body})
		})
		return a
	}
	timer := time.NewTimer(time.Until(r.deadline))
	defer timer.Stop()
	select {
	case a := <-d.wait:
		return storedAnswer(a)
	case <-timer.C:
		return answer{state: contract.AnswerUnknown, reason: reasonInProgress, retryAfter: time.Second}
	case <-ctx.Done():
		return answer{state: contract.AnswerUnknown, reason: reasonCallerGone}
	}
}

// beginTicket decides on a request with a ticket. The result of a ticket.Wait decision arrives on its channel.
func (c *control) beginTicket(now time.Time, t ticket.Ticket, print ticket.Fingerprint) ticketDecision {
	v, a := c.tickets.Begin(now, t, print)
	d := ticketDecision{verdict: v, answer: a}
	if v == ticket.Wait {
		d.wait = make(chan ticket.Answer, 1)
		c.waiters[t.Serial] = append(c.waiters[t.Serial], d.wait)
	}
	return d
}

// endTicket stores the answer to a dispatched request and passes it to the requests that wait for it.
func (c *control) endTicket(serial uint64, a ticket.Answer) {
	c.tickets.End(serial, a)
	for _, w := range c.waiters[serial] {
		w <- a
	}
	delete(c.waiters, serial)
}

// storedAnswer returns the answer to a repeat from that to the first request.
func storedAnswer(a ticket.Answer) answer {
	return answer{state: a.State, reason: a.Reason, body: a.Body, retryAfter: time.Second}
}

// fingerprint hashes the parts that a request and its repeat have in common. The request id is excluded, because a
// caller may use a new one for the repeat.
func fingerprint(r request) ticket.Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.kind.Name), {0}, []byte(r.team), {0}, r.body} {
		h.Write(part)
	}
	return ticket.Fingerprint(h.Sum(nil))
}

// findGateway looks up a gateway incarnation in the instance list. One that has just started can be missing until the
// next read, so findGateway waits that long.
func (g *Gateway) findGateway(ctx context.Context, inc instance.Incarnation) (instance.Member, bool) {
	giveUpAt := time.Now().Add(listInterval + listInterval/2)
	for {
		m, known := g.directory.Load().gateways[inc]
		if known || ctx.Err() != nil || time.Now().After(giveUpAt) {
			return m, known
		}
		sleep(ctx, forwardRetryInterval)
	}
}

// forward sends a request to the gateway that issued its ticket. The ticket makes repeated calls safe. If the issuer
// does not answer, the outcome is unknown even if nothing was sent, because an earlier repeat of the caller may have
// run.
func (g *Gateway) forward(ctx context.Context, r request, issuer instance.Incarnation) answer {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	m, known := g.findGateway(ctx, issuer)
	if !known {
		return answer{state: contract.AnswerUnknown, reason: reasonIssuerGone,
			detail: "no gateway of the instance list has the incarnation " + string(issuer)}
	}
	g.metrics.forwards.Inc()
	mayBeInFlight := false
	for {
		reply, err := g.deps.Link.Call(ctx, m.Addr, &contract.Forward{RequestID: r.id, Kind: r.kind.Name, Team: r.team,
			Ticket: r.ticket, Timeout: time.Until(r.deadline), Body: r.body})
		if f, ok := reply.(*contract.ForwardReply); err == nil && ok && f.RequestID == r.id {
			// An earlier call without an answer can reach the issuer after this one, and a ticket whose request was not
			// run can still be used.
			return finalAnswer(answer{state: f.State, reason: f.Reason, retryAfter: f.RetryAfter, body: f.Body},
				mayBeInFlight)
		}
		if err == nil {
			err = &ReplyError{Got: messageName(reply)}
		}
		var call *link.CallError
		mayBeInFlight = mayBeInFlight || errors.As(err, &call) && call.Sent
		if _, still := g.directory.Load().gateways[issuer]; !still || ctx.Err() != nil {
			return answer{state: contract.AnswerUnknown, reason: reasonIssuerSilent, detail: err.Error()}
		}
		sleep(ctx, forwardRetryInterval)
	}
}
