package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// outcome is what the caller knows about the execution of a request.
type outcome int

const (
	// outcomeAnswered: a complete answer was received.
	outcomeAnswered outcome = iota
	// outcomeRejected: the request was rejected and was not executed.
	outcomeRejected
	// outcomeUnknown: the request may or may not have been executed.
	outcomeUnknown
	outcomeCount
)

// String returns the outcome as it is printed in tables and counted in result.json.
func (o outcome) String() string { return [...]string{"whole", "not run", "unknown"}[o] }

// anomaly is a defect of a complete answer.
type anomaly string

const (
	anomalyNone anomaly = ""
	// anomalyCrossed: the answer belongs to another request.
	anomalyCrossed anomaly = "crossed"
	// anomalyCut: the answer is truncated or malformed.
	anomalyCut anomaly = "cut"
	// anomalyDoubled: a repeat with the same ticket got a different answer than the first call.
	anomalyDoubled anomaly = "doubled"
)

const maxAnswerBytes = 4 << 20

// answer is the result of one call.
type answer struct {
	outcome outcome
	// reason is why the outcome is not outcomeAnswered.
	reason  string
	anomaly anomaly
	// detail describes the anomaly.
	detail string
	body   []byte
	// retryTicket is the ticket that came with a rejection for a missing ticket.
	retryTicket string
}

// caller sends requests to gateways.
type caller struct {
	client   *http.Client
	balancer *balancer
	// timeout limits each call.
	timeout time.Duration
}

// send makes one request and returns its answer, the gateway that was called (nil if none was ready) and the ticket
// that was used. Like the platform's balancer, it skips a gateway that refuses the connection. If ticket is empty and
// the kind is not idempotent, send acquires one. avoid, if not nil, is a gateway that is not called.
func (c *caller) send(ctx context.Context, r request, ticket string, avoid *gateway) (answer, *gateway, string) {
	excluded := []*gateway{}
	if avoid != nil {
		excluded = append(excluded, avoid)
	}
	for {
		g := c.balancer.pick(excluded)
		if g == nil {
			return answer{outcome: outcomeRejected, reason: "no-gateway-ready"}, nil, ticket
		}
		usedTicket := ticket
		if usedTicket == "" && !r.kind.Idempotent {
			var err error
			if usedTicket, err = c.acquireTicket(ctx, g); err != nil {
				excluded = append(excluded, g)
				continue
			}
		}
		a, err := c.post(ctx, g, r, usedTicket)
		if a.retryTicket != "" && ticket == "" {
			usedTicket = a.retryTicket
			a, err = c.post(ctx, g, r, usedTicket)
		}
		if err == nil {
			return a, g, usedTicket
		}
		if !isDialError(err) {
			return answer{outcome: outcomeUnknown, reason: failureReason(err)}, g, usedTicket
		}
		g.ready.Store(false)
		excluded = append(excluded, g)
	}
}

// isDialError reports whether no connection was established, in which case no part of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failureReason returns the reason for an unknown outcome after a call without a response.
func failureReason(err error) string {
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return "caller-gave-up"
	}
	return "connection-broken"
}

// post sends one request to a gateway. It returns an error if no complete response was received.
func (c *caller) post(ctx context.Context, g *gateway, r request, ticket string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+pathRequests+r.kind.Name,
		bytes.NewReader(r.body))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", contentTypeBytes)
	req.Header.Set(headerRequestID, r.id)
	req.Header.Set(headerTeam, r.kind.Team)
	if r.kind.Deadline > 0 {
		req.Header.Set(headerTimeout, strconv.FormatInt(r.kind.Deadline.Milliseconds(), 10))
	}
	if ticket != "" {
		req.Header.Set(headerTicket, ticket)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	return c.classify(g, r, resp, body), nil
}

// classify maps a response to one of the three outcomes, and keeps the ticket that came with it for later requests.
func (c *caller) classify(g *gateway, r request, resp *http.Response, body []byte) answer {
	newTicket := resp.Header.Get(headerTicket)
	if resp.StatusCode == http.StatusPreconditionRequired {
		return answer{outcome: outcomeRejected, reason: resp.Header.Get(headerReason), retryTicket: newTicket}
	}
	g.tickets.put(time.Now(), newTicket)
	switch {
	case resp.StatusCode == http.StatusOK:
		a := answer{outcome: outcomeAnswered, body: body}
		a.anomaly, a.detail = verify(r, resp.Header, body)
		return a
	case resp.Header.Get(headerOutcome) == outcomeNotRun:
		return answer{outcome: outcomeRejected, reason: resp.Header.Get(headerReason)}
	}
	reason := resp.Header.Get(headerReason)
	if reason == "" {
		reason = "status-" + strconv.Itoa(resp.StatusCode)
	}
	return answer{outcome: outcomeUnknown, reason: reason}
}

// echo identifies the request that a worker answered. The digest is the xxhash64 of the request body in hexadecimal;
// the stand-in sends it as request_digest instead of body_digest.
type echo struct {
	RequestID     string `json:"request_id"`
	Kind          string `json:"kind"`
	BodyDigest    string `json:"body_digest"`
	RequestDigest string `json:"request_digest"`
}

// verify checks that a complete answer belongs to its request. It returns the anomaly and its description.
func verify(r request, h http.Header, body []byte) (anomaly, string) {
	var e echo
	if err := json.Unmarshal(body, &e); err != nil {
		return anomalyCut, fmt.Sprintf("request %s: answer of %d bytes cannot be read: %v", r.id, len(body), err)
	}
	digest := e.BodyDigest + e.RequestDigest
	want := fmt.Sprintf("%016x", xxhash.Sum64(r.body))
	if got := h.Get(headerRequestID); got != r.id {
		return anomalyCrossed, fmt.Sprintf("request %s: header names request %q", r.id, got)
	}
	// The worker echoes the id of the attempt, from which the caller's request id is derived.
	if e.RequestID != r.id && upstream.CallerID(e.RequestID) != r.id || e.Kind != r.kind.Name ||
		!strings.EqualFold(digest, want) {
		return anomalyCrossed, fmt.Sprintf("request %s: answer is for request %q of kind %q", r.id, e.RequestID, e.Kind)
	}
	return anomalyNone, ""
}

// compareRepeat checks that two calls with the same ticket got the same answer. Calls that were rejected or
// have an unknown outcome are not compared.
func compareRepeat(r request, first, second answer) (anomaly, string) {
	if first.outcome == outcomeAnswered && second.outcome == outcomeAnswered && !bytes.Equal(first.body, second.body) {
		return anomalyDoubled, fmt.Sprintf("request %s: its repeat got another answer", r.id)
	}
	return anomalyNone, ""
}
