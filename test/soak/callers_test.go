package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// outcome is the value of the Clementine-Outcome header of an answer; outcomeUnknown also stands for a call without an
// answer.
type outcome string

const (
	outcomeWhole   outcome = "whole"
	outcomeNotRun  outcome = "not-run"
	outcomeUnknown outcome = "unknown"
)

// operation is one HTTP call of a request; call and answered are the times of its start and end. Operations with equal
// ids are repeats of the same request.
type operation struct {
	id, ticket, gateway string
	call, answered      time.Time
	outcome             outcome
	reason, body        string
}

// job is a batch job that a caller submitted.
type job struct {
	id    string
	tasks int
	// cancelled reports whether a cancellation was accepted or may have taken effect.
	cancelled bool
	// accepted reports whether a gateway confirmed the submission.
	accepted bool
	// maybeAccepted reports whether a submission ended with an unknown outcome.
	maybeAccepted bool
}

// callers sends requests and submits jobs until ctx ends, and records the answers for the checks after the run.
type callers struct {
	c    *cluster
	http *http.Client
	ctx  context.Context
	wg   sync.WaitGroup

	mu   sync.Mutex
	ops  []operation
	jobs []*job
}

// startCallers starts goroutines that send requests and goroutines that submit jobs. The returned function stops them
// and waits for their end.
func (c *cluster) startCallers(requesters, submitters int) (*callers, func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	cs := &callers{c: c, http: c.client(), ctx: ctx}
	for i := range requesters {
		r := rand.New(rand.NewPCG(c.seed, uint64(100+i)))
		cs.wg.Go(func() { cs.sendRequests(i, r) })
	}
	for i := range submitters {
		r := rand.New(rand.NewPCG(c.seed, uint64(200+i)))
		cs.wg.Go(func() { cs.submitJobs(i, r) })
	}
	return cs, func() {
		cancel()
		cs.wg.Wait()
	}
}

func (cs *callers) randomGateway(r *rand.Rand) string { return fmt.Sprint("g", r.IntN(cs.c.gateways)) }

// sleepUpTo sleeps for a random time below the limit, or until the callers are stopped.
func (cs *callers) sleepUpTo(r *rand.Rand, limit time.Duration) {
	t := time.NewTimer(time.Duration(r.Int64N(int64(limit))))
	defer t.Stop()
	select {
	case <-t.C:
	case <-cs.ctx.Done():
	}
}

// reply is the answer to one HTTP call. The status is 0 if no complete answer arrived.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do makes one HTTP call. headers holds names and values in turn; empty values are not sent.
func (cs *callers) do(method, url string, body []byte, timeout time.Duration, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return reply{}
	}
	for i := 0; i < len(headers); i += 2 {
		if headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	resp, err := cs.http.Do(req)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{resp.StatusCode, resp.Header, data}
}

// sendRequests sends one request after the other. Requests that are not idempotent are sent one to four times with the
// same ticket; each of these calls runs concurrently with the next with a probability of one half.
func (cs *callers) sendRequests(caller int, r *rand.Rand) {
	for i := 0; cs.ctx.Err() == nil; i++ {
		cs.sleepUpTo(r, 400*time.Millisecond)
		id := fmt.Sprintf("r%d-%d", caller, i)
		if r.IntN(3) == 0 {
			cs.sendRequest(id, cs.randomGateway(r), "cost", "", time.Duration(1+r.IntN(5))*time.Second)
			continue
		}
		ticket := cs.fetchTicket(cs.randomGateway(r))
		if ticket == "" {
			continue
		}
		var wg sync.WaitGroup
		for range 1 + r.IntN(4) {
			g, timeout := cs.randomGateway(r), time.Duration(200+r.IntN(6000))*time.Millisecond
			call := func() { cs.sendRequest(id, g, "price", ticket, timeout) }
			if r.IntN(2) == 0 {
				wg.Go(call)
			} else {
				call()
			}
			cs.sleepUpTo(r, 100*time.Millisecond)
		}
		wg.Wait()
	}
}

// fetchTicket returns a ticket that the gateway issued, or an empty string if it issued none.
func (cs *callers) fetchTicket(gateway string) string {
	got := cs.do(http.MethodPost, gateway+"/v1/tickets", nil, 2*time.Second)
	var out struct{ Tickets []string }
	if json.Unmarshal(got.body, &out) != nil || len(out.Tickets) == 0 {
		return ""
	}
	return out.Tickets[0]
}

// sendRequest sends one request, checks a whole answer and records the operation.
func (cs *callers) sendRequest(id, gateway, kind, ticket string, timeout time.Duration) operation {
	op := operation{id: id, ticket: ticket, gateway: gateway, call: time.Now(), outcome: outcomeUnknown}
	// The gateway gets at most 4 s, but the caller's own time-out may end earlier than the gateway's answer.
	got := cs.do(http.MethodPost, gateway+"/v1/requests/"+kind, []byte("body of "+id), timeout,
		"Clementine-Request-Id", id, "Clementine-Ticket", ticket,
		"Clementine-Timeout-Ms", fmt.Sprint(min(timeout, 4*time.Second).Milliseconds()))
	op.answered = time.Now()
	if got.status != 0 {
		op.outcome, op.reason, op.body = outcome(got.header.Get("Clementine-Outcome")),
			got.header.Get("Clementine-Reason"), string(got.body)
	}
	if op.outcome == outcomeWhole {
		cs.checkAnswer(op, got)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.ops = append(cs.ops, op)
	return op
}

// checkAnswer requires that the answer names the id and the digest of the caller's own request, and that the answer's
// digest matches its body.
func (cs *callers) checkAnswer(op operation, got reply) {
	var body struct {
		RequestID     string `json:"request_id"`
		RequestDigest string `json:"request_digest"`
	}
	if err := json.Unmarshal(got.body, &body); err != nil || upstream.CallerID(body.RequestID) != op.id ||
		body.RequestDigest != upstream.Digest([]byte("body of "+op.id)) ||
		got.header.Get("Clementine-Digest") != upstream.Digest(got.body) {
		cs.c.t.Errorf("request %s got a wrong answer: %q", op.id, got.body)
	}
}

// submitJobs submits one job after the other, each until it is accepted, and cancels a quarter of them.
func (cs *callers) submitJobs(caller int, r *rand.Rand) {
	for i := 0; cs.ctx.Err() == nil; i++ {
		cs.sleepUpTo(r, 12*time.Second)
		shard := []string{"bne-0", "bne-1", "ips-0"}[r.IntN(3)]
		j := &job{id: fmt.Sprintf("%s~j%d-%d", shard, caller, i), tasks: 1 + r.IntN(6)}
		cs.mu.Lock()
		cs.jobs = append(cs.jobs, j)
		cs.mu.Unlock()
		for cs.ctx.Err() == nil && !j.accepted {
			cs.submitJob(j, cs.randomGateway(r))
			cs.sleepUpTo(r, 2*time.Second)
		}
		if j.accepted && r.IntN(4) == 0 {
			cs.sleepUpTo(r, 15*time.Second)
			got := cs.do(http.MethodDelete, cs.randomGateway(r)+"/v1/jobs/"+j.id, nil, 8*time.Second)
			// A cancellation that was not answered may still take effect.
			j.cancelled = got.status == 0 || got.status == http.StatusAccepted ||
				got.header.Get("Clementine-Outcome") == string(outcomeUnknown)
		}
	}
}

// submitJob submits a job once and records whether it is or may be accepted.
func (cs *callers) submitJob(j *job, gateway string) {
	body, _ := json.Marshal(map[string]any{"kind": "rebid", "tasks": j.tasks, "id": j.id})
	got := cs.do(http.MethodPost, gateway+"/v1/jobs", body, 8*time.Second)
	switch {
	case got.status == http.StatusAccepted:
		j.accepted = true
	case got.status == 0 || got.header.Get("Clementine-Outcome") == string(outcomeUnknown):
		j.maybeAccepted = true
	}
}
