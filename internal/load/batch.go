package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

const (
	pollInterval  = 250 * time.Millisecond
	pollCallers   = 16
	submitPause   = 250 * time.Millisecond
	maxJobAnswer  = 1 << 20
	detailInError = 200
)

// job is one submission and the newest state of its job.
type job struct {
	key   string
	kind  manifest.Kind
	tasks int
	// id is empty until the submission has been accepted.
	id    string
	state contract.JobState
	// seen tells that an owner has answered for the job, ended that all its tasks have.
	seen, ended bool
	refused     string
}

// batch submits jobs and follows them to their end.
type batch struct {
	settings *Settings
	caller   *caller
	mu       sync.Mutex
	jobs     []*job
}

func newBatch(s *Settings, kinds []manifest.Kind, c *caller) *batch {
	b := &batch{settings: s, caller: c}
	for i := range s.BatchJobs {
		b.jobs = append(b.jobs, &job{key: uuid.NewString(), kind: kinds[i%len(kinds)], tasks: s.TasksPerJob})
	}
	return b
}

// run submits all jobs and returns when they have ended or the time is up.
func (b *batch) run(ctx context.Context) {
	if len(b.jobs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, b.settings.BatchSpread+b.settings.BatchWait)
	defer cancel()
	var submitting sync.WaitGroup
	submitting.Go(func() { b.submitAll(ctx) })
	defer submitting.Wait()
	for b.open() > 0 {
		b.poll(ctx)
		if !pause(ctx, pollInterval) {
			return
		}
	}
}

func (b *batch) submitAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	gap := b.settings.BatchSpread / time.Duration(len(b.jobs))
	for _, j := range b.jobs {
		wg.Go(func() { b.submit(ctx, j) })
		if !pause(ctx, gap) {
			return
		}
	}
}

// submit repeats a submission under the same key until it is accepted or refused for good. The key makes repeats harmless.
func (b *batch) submit(ctx context.Context, j *job) {
	for {
		id, err := b.trySubmit(ctx, j)
		var status *StatusError
		switch {
		case err == nil:
			b.mu.Lock()
			j.id = id
			b.mu.Unlock()
			return
		case errors.As(err, &status) && status.Status/100 == 4 && status.Status != http.StatusTooManyRequests:
			b.mu.Lock()
			j.refused, j.ended = status.Detail, true
			b.mu.Unlock()
			return
		}
		if !pause(ctx, submitPause) {
			b.mu.Lock()
			j.refused = err.Error()
			b.mu.Unlock()
			return
		}
	}
}

func (b *batch) trySubmit(ctx context.Context, j *job) (string, error) {
	in := map[string]any{"kind": j.kind.Name, "tasks": j.tasks, "key": j.key}
	data, err := json.Marshal(in)
	if err != nil {
		return "", errors.WithStack(err)
	}
	var out struct {
		Job string `json:"job"`
	}
	err = b.caller.json(ctx, http.MethodPost, pathJobs, data, &out)
	return out.Job, err
}

// json makes one call to a ready gateway.
func (c *caller) json(ctx context.Context, method, path string, in []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	g := c.balancer.pick(nil)
	if g == nil {
		return &NoGatewayError{Gateways: len(c.balancer.all)}
	}
	req, err := http.NewRequestWithContext(ctx, method, g.url+path, bytes.NewReader(in))
	if err != nil {
		return errors.WithStack(err)
	}
	return doJSON(c.client, req, out)
}

func doJSON(c *http.Client, req *http.Request, out any) error {
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, detailInError))
		return &StatusError{URL: req.URL.String(), Status: resp.StatusCode, Detail: string(detail)}
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxJobAnswer)).Decode(out))
}

// poll asks for every job that has not ended.
func (b *batch) poll(ctx context.Context) {
	slots := make(chan struct{}, pollCallers)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, j := range b.jobs {
		b.mu.Lock()
		id, ended := j.id, j.ended
		b.mu.Unlock()
		if id == "" || ended {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var s contract.JobState
			// An owner that does not answer now is asked again with the next poll.
			if b.caller.json(ctx, http.MethodGet, pathJobs+"/"+url.PathEscape(id), nil, &s) != nil {
				return
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			j.state, j.seen = s, true
			j.ended = s.Tasks > 0 && s.Pending+s.Running == 0 && s.Done+s.Failed+s.Cancelled+s.Transferred >= s.Tasks
		})
	}
}

func (b *batch) open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, j := range b.jobs {
		if !j.ended {
			n++
		}
	}
	return n
}

// BatchTotals sums the jobs of a run.
type BatchTotals struct {
	Jobs     int `json:"jobs"`
	Refused  int `json:"refused_jobs"`
	Tasks    int `json:"tasks"`
	Done     int `json:"done"`
	Failed   int `json:"failed"`
	OnTime   int `json:"jobs_on_time"`
	Evicted  int `json:"evicted"`
	Resumed  int `json:"resumed"`
	Attempts int `json:"attempts"`
	// Lost counts the tasks of accepted jobs that had neither been done nor failed when the time was up.
	Lost int `json:"lost"`
	// CostMicros is in millionths of the manifest's currency.
	CostMicros int64 `json:"cost_micros"`
	// Seconds is the time from the first submission to the last end.
	Seconds float64 `json:"seconds"`
}

func (b *batch) totals() BatchTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	var t BatchTotals
	var first, last time.Time
	for _, j := range b.jobs {
		t.Jobs++
		if j.refused != "" {
			t.Refused++
			continue
		}
		s := j.state
		t.Tasks += j.tasks
		t.Done += s.Done
		t.Failed += s.Failed
		t.Evicted += s.Evicted
		t.Resumed += s.Resumed
		t.Attempts += s.Attempts
		t.CostMicros += s.Cost
		t.Lost += max(0, j.tasks-s.Done-s.Failed-s.Cancelled)
		if j.ended && s.Done == j.tasks && !s.Ended.After(s.Deadline) {
			t.OnTime++
		}
		if !s.Submitted.IsZero() && (first.IsZero() || s.Submitted.Before(first)) {
			first = s.Submitted
		}
		if s.Ended.After(last) {
			last = s.Ended
		}
	}
	if last.After(first) {
		t.Seconds = last.Sub(first).Seconds()
	}
	return t
}

// ids returns the number of tasks reported as done for each accepted job.
func (b *batch) done() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for _, j := range b.jobs {
		if j.id != "" {
			out[j.id] = j.state.Done
		}
	}
	return out
}

// refusals describes the jobs that were not accepted.
func (b *batch) refusals() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, j := range b.jobs {
		if j.refused != "" && len(out) < maxDetails {
			out = append(out, fmt.Sprintf("job of kind %s was not accepted: %s", j.kind.Name, j.refused))
		}
	}
	return out
}
