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
	pollInterval         = 250 * time.Millisecond
	pollConcurrency      = 16
	submitRetryInterval  = 250 * time.Millisecond
	maxJSONResponseBytes = 1 << 20
	maxErrorDetailBytes  = 200
)

// job is a submission and the last known state of its job.
type job struct {
	key   string
	kind  manifest.Kind
	tasks int
	// id is empty until the submission is accepted.
	id    string
	state contract.JobState
	// stateReceived reports whether a gateway has returned the state of the job, ended whether all tasks have ended or
	// the submission was rejected.
	stateReceived, ended bool
	// submitError is the reason for a rejection, or the error of the last attempt if the run ended before the
	// submission was accepted; the job may exist then. It is empty for an accepted submission and for one that was not
	// attempted.
	submitError string
}

// batch submits jobs and polls their state until all their tasks have ended.
type batch struct {
	settings *Settings
	caller   *caller
	// mu guards the fields of the jobs that change: id, state, stateReceived, ended and submitError.
	mu   sync.Mutex
	jobs []*job
}

// newBatch returns a batch of s.BatchJobs jobs, which take the kinds in turn.
func newBatch(s *Settings, kinds []manifest.Kind, c *caller) *batch {
	b := &batch{settings: s, caller: c}
	for i := range s.BatchJobs {
		b.jobs = append(b.jobs, &job{key: uuid.NewString(), kind: kinds[i%len(kinds)], tasks: s.TasksPerJob})
	}
	return b
}

// run submits all jobs. It returns when all have ended or were rejected, at the latest after s.BatchSpread plus
// s.BatchWait.
func (b *batch) run(ctx context.Context) {
	if len(b.jobs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, b.settings.BatchSpread+b.settings.BatchWait)
	defer cancel()
	var submitting sync.WaitGroup
	submitting.Go(func() { b.submitAll(ctx) })
	defer submitting.Wait()
	for b.unfinishedJobs() > 0 {
		b.poll(ctx)
		if !pause(ctx, pollInterval) {
			return
		}
	}
}

// submitAll submits the jobs at equal intervals over s.BatchSpread.
func (b *batch) submitAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := b.settings.BatchSpread / time.Duration(len(b.jobs))
	for _, j := range b.jobs {
		wg.Go(func() { b.submit(ctx, j) })
		if !pause(ctx, interval) {
			return
		}
	}
}

// submit retries a submission until it is accepted, is rejected with a 4xx status other than 429, or ctx ends. All
// attempts use the same idempotency key, so a retry creates no second job.
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
			j.submitError, j.ended = status.Detail, true
			b.mu.Unlock()
			return
		}
		if !pause(ctx, submitRetryInterval) {
			b.mu.Lock()
			j.submitError = err.Error()
			b.mu.Unlock()
			return
		}
	}
}

// trySubmit makes one attempt to submit a job and returns the job id.
func (b *batch) trySubmit(ctx context.Context, j *job) (string, error) {
	in := map[string]any{"kind": j.kind.Name, "tasks": j.tasks, "key": j.key}
	data, err := json.Marshal(in)
	if err != nil {
		return "", errors.WithStack(err)
	}
	var out struct {
		Job string `json:"job"`
	}
	err = b.caller.callJSON(ctx, http.MethodPost, pathJobs, data, &out)
	return out.Job, err
}

// callJSON makes one call with a JSON body to a ready gateway and decodes the answer into out.
func (c *caller) callJSON(ctx context.Context, method, path string, in []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	g := c.balancer.pick(nil)
	if g == nil {
		return &NoGatewayError{Gateways: len(c.balancer.gateways)}
	}
	req, err := http.NewRequestWithContext(ctx, method, g.url+path, bytes.NewReader(in))
	if err != nil {
		return errors.WithStack(err)
	}
	return doJSON(c.client, req, out)
}

// doJSON sends a request and decodes the JSON answer into out. It returns a *StatusError for a status other than 2xx.
func doJSON(c *http.Client, req *http.Request, out any) error {
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetailBytes))
		return &StatusError{URL: req.URL.String(), Status: resp.StatusCode, Detail: string(detail)}
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxJSONResponseBytes)).Decode(out))
}

// poll queries the state of every accepted job that has not ended.
func (b *batch) poll(ctx context.Context) {
	sem := make(chan struct{}, pollConcurrency)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, j := range b.jobs {
		b.mu.Lock()
		id, ended := j.id, j.ended
		b.mu.Unlock()
		if id == "" || ended {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			var s contract.JobState
			// If the owner does not answer, the next poll queries the job again.
			if b.caller.callJSON(ctx, http.MethodGet, pathJobs+"/"+url.PathEscape(id), nil, &s) != nil {
				return
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			j.state, j.stateReceived = s, true
			// The gateway adds the tasks that were moved to other shards to the counts of their states, so a moved task
			// that has not ended is pending or running.
			j.ended = s.Tasks > 0 && s.Pending+s.Running == 0 && s.Done+s.Failed+s.Cancelled+s.Transferred >= s.Tasks
		})
	}
}

// unfinishedJobs returns the number of jobs that have neither ended nor been rejected.
func (b *batch) unfinishedJobs() int {
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

// BatchTotals holds the totals over the jobs of a run.
type BatchTotals struct {
	Jobs int `json:"jobs"`
	// NotAccepted counts the jobs whose submission was rejected, or not accepted before the run ended. Their tasks are
	// not counted.
	NotAccepted int `json:"refused_jobs"`
	Tasks       int `json:"tasks"`
	Done        int `json:"done"`
	Failed      int `json:"failed"`
	OnTime      int `json:"jobs_on_time"`
	Evicted     int `json:"evicted"`
	Resumed     int `json:"resumed"`
	Attempts    int `json:"attempts"`
	// Lost counts the tasks that were not done, failed or cancelled when the run ended. It includes the tasks of jobs
	// that an interrupted run did not submit.
	Lost int `json:"lost"`
	// CostMicros is in millionths of the manifest's currency.
	CostMicros int64 `json:"cost_micros"`
	// Seconds is the time from the first submission to the end of the last job.
	Seconds float64 `json:"seconds"`
}

func (b *batch) totals() BatchTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	var t BatchTotals
	var first, last time.Time
	for _, j := range b.jobs {
		t.Jobs++
		if j.submitError != "" {
			t.NotAccepted++
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

// doneTasks returns the number of tasks reported as done for each accepted job, by job id, for the check against the
// workers' own counts.
func (b *batch) doneTasks() map[string]int {
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

// submitErrors describes up to maxDetails jobs whose submission was not accepted.
func (b *batch) submitErrors() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, j := range b.jobs {
		if j.submitError != "" && len(out) < maxDetails {
			out = append(out, fmt.Sprintf("job of kind %s was not accepted: %s", j.kind.Name, j.submitError))
		}
	}
	return out
}
