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

// outcome is what a caller learns about one call.
type outcome string

const (
	whole   outcome = "whole"
	notRun  outcome = "not-run"
	unknown outcome = "unknown"
)

// operation is one call of a request; equal ids are repeats.
type operation struct {
	id, ticket, gateway string
	call, answered      time.Time
	outcome             outcome
	reason, body        string
}

type job struct {
	id         string
	tasks      int
	cancelled  bool
	accepted   bool
	maybeAlive bool
}

// callers sends requests and jobs until the run ends, and records what it is told.
type callers struct {
	c    *cluster
	http *http.Client
	stop context.Context
	wg   sync.WaitGroup

	mu   sync.Mutex
	ops  []operation
	jobs []*job
}

func (c *cluster) startCallers(requesters, submitters int) (*callers, func()) {
	stop, cancel := context.WithCancel(c.ended)
	cs := &callers{c: c, http: c.client(), stop: stop}
	for i := range requesters {
		r := rand.New(rand.NewPCG(c.seed, uint64(100+i)))
		cs.wg.Go(func() { cs.request(i, r) })
	}
	for i := range submitters {
		r := rand.New(rand.NewPCG(c.seed, uint64(200+i)))
		cs.wg.Go(func() { cs.submit(i, r) })
	}
	return cs, func() {
		cancel()
		cs.wg.Wait()
	}
}

func (cs *callers) gateway(r *rand.Rand) string { return fmt.Sprint("g", r.IntN(cs.c.gateways)) }

func (cs *callers) wait(r *rand.Rand, limit time.Duration) {
	t := time.NewTimer(time.Duration(r.Int64N(int64(limit))))
	defer t.Stop()
	select {
	case <-t.C:
	case <-cs.stop.Done():
	}
}

// reply is the answer to one HTTP call; status is zero if there was none.
type reply struct {
	status int
	header http.Header
	body   []byte
}

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

// request sends one request after the other. Those that are not idempotent are repeated under the same ticket, half of them at once.
func (cs *callers) request(n int, r *rand.Rand) {
	for i := 0; cs.stop.Err() == nil; i++ {
		cs.wait(r, 400*time.Millisecond)
		id := fmt.Sprintf("r%d-%d", n, i)
		if r.IntN(3) == 0 {
			cs.once(id, cs.gateway(r), "cost", "", time.Duration(1+r.IntN(5))*time.Second)
			continue
		}
		ticket := cs.ticket(cs.gateway(r))
		if ticket == "" {
			continue
		}
		var wg sync.WaitGroup
		for range 1 + r.IntN(4) {
			g, timeout := cs.gateway(r), time.Duration(200+r.IntN(6000))*time.Millisecond
			call := func() { cs.once(id, g, "price", ticket, timeout) }
			if r.IntN(2) == 0 {
				wg.Go(call)
			} else {
				call()
			}
			cs.wait(r, 100*time.Millisecond)
		}
		wg.Wait()
	}
}

func (cs *callers) ticket(gateway string) string {
	got := cs.do(http.MethodPost, gateway+"/v1/tickets", nil, 2*time.Second)
	var out struct{ Tickets []string }
	if json.Unmarshal(got.body, &out) != nil || len(out.Tickets) == 0 {
		return ""
	}
	return out.Tickets[0]
}

func (cs *callers) once(id, gateway, kind, ticket string, timeout time.Duration) operation {
	op := operation{id: id, ticket: ticket, gateway: gateway, call: time.Now(), outcome: unknown}
	// Some callers leave before the gateway's answer.
	got := cs.do(http.MethodPost, gateway+"/v1/requests/"+kind, []byte("body of "+id), timeout, "Clementine-Request-Id", id,
		"Clementine-Ticket", ticket, "Clementine-Timeout-Ms", fmt.Sprint(min(timeout, 4*time.Second).Milliseconds()))
	op.answered = time.Now()
	if got.status != 0 {
		op.outcome, op.reason, op.body = outcome(got.header.Get("Clementine-Outcome")), got.header.Get("Clementine-Reason"), string(got.body)
	}
	if op.outcome == whole {
		cs.checkAnswer(op, got)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.ops = append(cs.ops, op)
	return op
}

// checkAnswer requires that the answer belongs to the caller's own request.
func (cs *callers) checkAnswer(op operation, got reply) {
	var body struct {
		RequestID     string `json:"request_id"`
		RequestDigest string `json:"request_digest"`
	}
	if err := json.Unmarshal(got.body, &body); err != nil || upstream.CallerID(body.RequestID) != op.id ||
		body.RequestDigest != upstream.Digest([]byte("body of "+op.id)) || got.header.Get("Clementine-Digest") != upstream.Digest(got.body) {
		cs.c.t.Errorf("request %s got a wrong answer: %q", op.id, got.body)
	}
}

func (cs *callers) submit(n int, r *rand.Rand) {
	for i := 0; cs.stop.Err() == nil; i++ {
		cs.wait(r, 12*time.Second)
		shard := []string{"bne-0", "bne-1", "ips-0"}[r.IntN(3)]
		j := &job{id: fmt.Sprintf("%s~j%d-%d", shard, n, i), tasks: 1 + r.IntN(6)}
		cs.mu.Lock()
		cs.jobs = append(cs.jobs, j)
		cs.mu.Unlock()
		for cs.stop.Err() == nil && !j.accepted {
			cs.offer(j, cs.gateway(r))
			cs.wait(r, 2*time.Second)
		}
		if j.accepted && r.IntN(4) == 0 {
			cs.wait(r, 15*time.Second)
			got := cs.do(http.MethodDelete, cs.gateway(r)+"/v1/jobs/"+j.id, nil, 8*time.Second)
			// A cancellation without an answer may take effect.
			j.cancelled = got.status == 0 || got.status == http.StatusAccepted || got.header.Get("Clementine-Outcome") == string(unknown)
		}
	}
}

func (cs *callers) offer(j *job, gateway string) {
	body, _ := json.Marshal(map[string]any{"kind": "rebid", "tasks": j.tasks, "id": j.id})
	got := cs.do(http.MethodPost, gateway+"/v1/jobs", body, 8*time.Second)
	switch {
	case got.status == http.StatusAccepted:
		j.accepted = true
	case got.status == 0 || got.header.Get("Clementine-Outcome") == string(unknown):
		j.maybeAlive = true
	}
}
