package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// client sends the requests of callers: each attempt goes to another node, as the platform's balancer does.
type client struct {
	d      *deployment
	random *rand.Rand
	http   *http.Client
	next   int
}

func newClient(d *deployment, seed uint64) *client {
	return &client{d: d, random: rand.New(rand.NewPCG(seed, 99)),
		http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *client) newID() string { return fmt.Sprintf("%016x", c.random.Uint64()) }

// call sends one request to a node. Status 0 stands for no answer.
func (c *client) call(n *node, method string, q *queue, suffix string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+n.front+q.prefix+suffix, bytes.NewReader(body))
	check(err)
	r.Host = q.host
	r.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

func (c *client) node() *node {
	c.next++
	return c.d.nodes[c.next%len(c.d.nodes)]
}

// newSubmission returns a submission that is not sent yet.
func (c *client) newSubmission(q *queue, steps ...stepSpec) *submission {
	s := &submission{id: c.newID(), queue: q, steps: steps}
	s.spec = "work " + s.id
	return s
}

// submit hands a submission in, with at most five attempts, and reports whether it was accepted.
func (c *client) submit(s *submission) bool {
	body := map[string]any{"spec": s.spec, "steps": s.steps}
	if s.repeat > 0 {
		body["first_run_ms"], body["repeat_count"], body["interval_ms"] = s.firstRunMS, s.repeat, s.intervalMS
	}
	b, err := json.Marshal(body)
	check(err)
	f := c.d.f
	f.mu.Lock()
	f.subs[s.id] = s
	f.mu.Unlock()
	for range 5 {
		n := c.node()
		status, answer := c.call(n, http.MethodPost, s.queue, s.id, b)
		f.note("POST %s to %s: %d %.200s", s.id, n.name, status, answer)
		switch {
		case status >= 200 && status < 300:
			f.mu.Lock()
			s.accepted = time.Now()
			f.mu.Unlock()
			return true
		case status == 429 || status == 503 || status == 400 || status == 404 || status == 413:
			s.rejected++
		default:
			s.unknown++
		}
		time.Sleep(150 * time.Millisecond)
	}
	return false
}

// cancel cancels a submission.
func (c *client) cancel(s *submission) bool {
	f := c.d.f
	f.mu.Lock()
	s.cancelSent = time.Now()
	f.mu.Unlock()
	for range 5 {
		n := c.node()
		status, _ := c.call(n, http.MethodDelete, s.queue, s.id, nil)
		f.note("DELETE %s to %s: %d", s.id, n.name, status)
		if status >= 200 && status < 300 || status == 410 {
			f.mu.Lock()
			s.cancelAcked = time.Now()
			f.mu.Unlock()
			return true
		}
		time.Sleep(150 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission, with at most tries attempts; empty if there is no answer.
func (c *client) state(s *submission, tries int) string {
	for range tries {
		n := c.node()
		status, b := c.call(n, http.MethodGet, s.queue, s.id, nil)
		var a struct{ State string }
		if status == 200 && json.Unmarshal(b, &a) == nil {
			c.d.f.note("GET %s from %s: %s", s.id, n.name, a.State)
			return a.State
		}
		c.d.f.note("GET %s from %s: %d", s.id, n.name, status)
		if status == 410 {
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
