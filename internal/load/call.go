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

// outcome is one of the three outcomes of a request.
type outcome int

const (
	whole outcome = iota
	notRun
	unknown
	outcomes
)

// String returns the word for an outcome.
func (o outcome) String() string { return [...]string{"whole", "not run", "unknown"}[o] }

// fault is what is wrong with a whole answer.
type fault string

const (
	faultNone    fault = ""
	faultCrossed fault = "crossed"
	faultCut     fault = "cut"
	faultDoubled fault = "doubled"
)

const maxAnswerBytes = 4 << 20

// answer is what a caller got.
type answer struct {
	outcome outcome
	reason  string
	fault   fault
	// detail describes a fault.
	detail string
	body   []byte
	// retry is the ticket of a refusal for want of one.
	retry string
}

// caller sends requests to gateways.
type caller struct {
	client   *http.Client
	balancer *balancer
	timeout  time.Duration
}

// send makes one request. A gateway that refuses the connection is skipped, as the platform's balancer does. ticket is
// empty for idempotent kinds; avoid is a gateway to leave out.
func (c *caller) send(ctx context.Context, r request, ticket string, avoid *gateway) (answer, *gateway, string) {
	tried := []*gateway{}
	if avoid != nil {
		tried = append(tried, avoid)
	}
	for {
		g := c.balancer.pick(tried)
		if g == nil {
			return answer{outcome: notRun, reason: "no-gateway-ready"}, nil, ticket
		}
		used := ticket
		if used == "" && !r.kind.Idempotent {
			var err error
			if used, err = c.ticket(ctx, g); err != nil {
				tried = append(tried, g)
				continue
			}
		}
		a, err := c.post(ctx, g, r, used)
		if a.retry != "" && ticket == "" {
			used = a.retry
			a, err = c.post(ctx, g, r, used)
		}
		if err == nil {
			return a, g, used
		}
		if !notSent(err) {
			return answer{outcome: unknown, reason: reasonOf(err)}, g, used
		}
		g.ready.Store(false)
		tried = append(tried, g)
	}
}

// notSent tells that the connection was refused, so that nothing of the request can have been sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func reasonOf(err error) string {
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return "caller-gave-up"
	}
	return "connection-broken"
}

func (c *caller) post(ctx context.Context, g *gateway, r request, ticket string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+pathRequests+r.kind.Name, bytes.NewReader(r.body))
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
	return c.read(g, r, resp, body), nil
}

// read turns a response into one of the three outcomes.
func (c *caller) read(g *gateway, r request, resp *http.Response, body []byte) answer {
	fresh := resp.Header.Get(headerTicket)
	if resp.StatusCode == http.StatusPreconditionRequired {
		return answer{outcome: notRun, reason: resp.Header.Get(headerReason), retry: fresh}
	}
	g.tickets.put(time.Now(), fresh)
	switch {
	case resp.StatusCode == http.StatusOK:
		a := answer{outcome: whole, body: body}
		a.fault, a.detail = verify(r, resp.Header, body)
		return a
	case resp.Header.Get(headerOutcome) == outcomeNotRun:
		return answer{outcome: notRun, reason: resp.Header.Get(headerReason)}
	}
	reason := resp.Header.Get(headerReason)
	if reason == "" {
		reason = "status-" + strconv.Itoa(resp.StatusCode)
	}
	return answer{outcome: unknown, reason: reason}
}

// echo is what a worker tells about the request that it answers. The stand-in names the digest request_digest.
type echo struct {
	RequestID     string `json:"request_id"`
	Kind          string `json:"kind"`
	BodyDigest    string `json:"body_digest"`
	RequestDigest string `json:"request_digest"`
}

// verify compares a whole answer with its request.
func verify(r request, h http.Header, body []byte) (fault, string) {
	var e echo
	if err := json.Unmarshal(body, &e); err != nil {
		return faultCut, fmt.Sprintf("request %s: answer of %d bytes cannot be read: %v", r.id, len(body), err)
	}
	digest := e.BodyDigest + e.RequestDigest
	want := fmt.Sprintf("%016x", xxhash.Sum64(r.body))
	if got := h.Get(headerRequestID); got != r.id {
		return faultCrossed, fmt.Sprintf("request %s: header names request %q", r.id, got)
	}
	// The worker names the attempt that it answers.
	if e.RequestID != r.id && upstream.CallerID(e.RequestID) != r.id || e.Kind != r.kind.Name || !strings.EqualFold(digest, want) {
		return faultCrossed, fmt.Sprintf("request %s: answer is for request %q of kind %q", r.id, e.RequestID, e.Kind)
	}
	return faultNone, ""
}

// compareRepeat judges the answers to two calls with the same ticket. A repeat may also be answered as unknown or not run.
func compareRepeat(r request, first, second answer) (fault, string) {
	if first.outcome == whole && second.outcome == whole && !bytes.Equal(first.body, second.body) {
		return faultDoubled, fmt.Sprintf("request %s: its repeat got another answer", r.id)
	}
	return faultNone, ""
}
