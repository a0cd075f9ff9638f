package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

const (
	pathStats    = "/admin/stats"
	pathExecuted = "/admin/executed"
	// executedBatch bounds the ids of one question to the workers.
	executedBatch = 20_000

	notRunButExecuted   = "called not run but executed"
	answeredNotExecuted = "answered but not executed"
	executedTwice       = "non-idempotent request executed more than once"
)

// standin asks the workers' stand-in what really happened. Without a url it answers nothing.
type standin struct {
	url    string
	client *http.Client
}

// workerStats are the counts of all workers. Counts named violation_* must stay at zero.
type workerStats struct {
	Counts     map[string]int64 `json:"counts"`
	Violated   int64            `json:"violated"`
	Violations []string         `json:"violations"`
}

func (w *standin) stats(ctx context.Context) (workerStats, error) {
	var out workerStats
	if w.url == "" {
		return out, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(w.url, "/")+pathStats, nil)
	if err != nil {
		return out, errors.WithStack(err)
	}
	return out, doJSON(w.client, req, &out)
}

type executedQuestion struct {
	RequestIDs []string `json:"request_ids,omitempty"`
	Jobs       []string `json:"jobs,omitempty"`
}

type executedAnswer struct {
	Executions map[string]int `json:"executions"`
	TasksDone  map[string]int `json:"tasks_done"`
}

func (w *standin) executed(ctx context.Context, q executedQuestion) (executedAnswer, error) {
	var out executedAnswer
	data, err := json.Marshal(q)
	if err != nil {
		return out, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(w.url, "/")+pathExecuted, bytes.NewReader(data))
	if err != nil {
		return out, errors.WithStack(err)
	}
	return out, doJSON(w.client, req, &out)
}

// check compares what callers were told with what the workers did.
func (w *standin) check(ctx context.Context, before workerStats, rec *recorder, jobs *batch, res *Result) error {
	if w.url == "" {
		return nil
	}
	after, err := w.stats(ctx)
	if err != nil {
		return err
	}
	res.Workers = map[string]int64{}
	for name, n := range after.Counts {
		res.Workers[name] = n - before.Counts[name]
	}
	res.violate("workers' own violations", int(after.Violated-before.Violated), after.Violations...)
	if err := w.checkRequests(ctx, rec, res); err != nil {
		return err
	}
	return w.checkJobs(ctx, jobs, res)
}

func (w *standin) checkRequests(ctx context.Context, rec *recorder, res *Result) error {
	ids := make([]string, 0, len(rec.final))
	for id := range rec.final {
		ids = append(ids, id)
	}
	for _, name := range []string{notRunButExecuted, answeredNotExecuted, executedTwice} {
		res.violate(name, 0)
	}
	for len(ids) > 0 {
		n := min(len(ids), executedBatch)
		out, err := w.executed(ctx, executedQuestion{RequestIDs: ids[:n]})
		if err != nil {
			return err
		}
		for _, id := range ids[:n] {
			judgeExecutions(id, rec.final[id], out.Executions[id], res)
		}
		ids = ids[n:]
	}
	return nil
}

func judgeExecutions(id string, f final, executions int, res *Result) {
	switch {
	case f.outcome == notRun && executions > 0:
		res.violate(notRunButExecuted, 1, fmt.Sprintf("request %s: %d executions", id, executions))
	case f.outcome == whole && executions == 0:
		res.violate(answeredNotExecuted, 1, "request "+id)
	case !f.idempotent && executions > 1:
		res.violate(executedTwice, 1, fmt.Sprintf("request %s: %d executions", id, executions))
	}
}

func (w *standin) checkJobs(ctx context.Context, jobs *batch, res *Result) error {
	done := jobs.done()
	if len(done) == 0 {
		return nil
	}
	var q executedQuestion
	for id := range done {
		q.Jobs = append(q.Jobs, id)
	}
	out, err := w.executed(ctx, q)
	if err != nil {
		return err
	}
	for id, n := range done {
		if out.TasksDone[id] < n {
			res.violate("tasks reported as done that no worker has done", n-out.TasksDone[id], "job "+id)
		}
	}
	return nil
}
