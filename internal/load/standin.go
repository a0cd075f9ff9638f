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
	// maxIDsPerQuery limits the request ids in one query to the workers' stand-in.
	maxIDsPerQuery = 20_000

	notRunButExecuted   = "called not run but executed"
	answeredNotExecuted = "answered but not executed"
	executedTwice       = "non-idempotent request executed more than once"
)

// standinClient queries the workers' stand-in for what the workers executed. If url is empty, all checks are skipped.
type standinClient struct {
	url    string
	client *http.Client
}

// workerStats holds the counts over all workers. Counts named violation_* are expected to be zero.
type workerStats struct {
	Counts     map[string]int64 `json:"counts"`
	Violated   int64            `json:"violated"`
	Violations []string         `json:"violations"`
}

// stats returns the current counts, or no counts if url is empty.
func (s *standinClient) stats(ctx context.Context) (workerStats, error) {
	var out workerStats
	if s.url == "" {
		return out, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(s.url, "/")+pathStats, nil)
	if err != nil {
		return out, errors.WithStack(err)
	}
	return out, doJSON(s.client, req, &out)
}

// executionsQuery is the body of a query for the executions of requests or the completed tasks of jobs.
type executionsQuery struct {
	RequestIDs []string `json:"request_ids,omitempty"`
	Jobs       []string `json:"jobs,omitempty"`
}

// executionsAnswer holds the number of executions by request id and the number of completed tasks by job id.
type executionsAnswer struct {
	Executions map[string]int `json:"executions"`
	TasksDone  map[string]int `json:"tasks_done"`
}

// executions returns the number of executions of the given requests and of completed tasks of the given jobs.
func (s *standinClient) executions(ctx context.Context, q executionsQuery) (executionsAnswer, error) {
	var out executionsAnswer
	data, err := json.Marshal(q)
	if err != nil {
		return out, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(s.url, "/")+pathExecuted,
		bytes.NewReader(data))
	if err != nil {
		return out, errors.WithStack(err)
	}
	return out, doJSON(s.client, req, &out)
}

// check compares the outcomes that callers received with what the workers executed, and adds violations to res. before
// holds the counts from before the run.
func (s *standinClient) check(ctx context.Context, before workerStats, rec *recorder, jobs *batch, res *Result) error {
	if s.url == "" {
		return nil
	}
	after, err := s.stats(ctx)
	if err != nil {
		return err
	}
	res.Workers = map[string]int64{}
	for name, n := range after.Counts {
		res.Workers[name] = n - before.Counts[name]
	}
	res.addViolations("workers' own violations", int(after.Violated-before.Violated), after.Violations...)
	if err := s.checkRequests(ctx, rec, res); err != nil {
		return err
	}
	return s.checkJobs(ctx, jobs, res)
}

// checkRequests compares the final outcome of each request with its number of executions.
func (s *standinClient) checkRequests(ctx context.Context, rec *recorder, res *Result) error {
	ids := make([]string, 0, len(rec.finalOutcomes))
	for id := range rec.finalOutcomes {
		ids = append(ids, id)
	}
	for _, name := range []string{notRunButExecuted, answeredNotExecuted, executedTwice} {
		res.addViolations(name, 0)
	}
	for len(ids) > 0 {
		n := min(len(ids), maxIDsPerQuery)
		out, err := s.executions(ctx, executionsQuery{RequestIDs: ids[:n]})
		if err != nil {
			return err
		}
		for _, id := range ids[:n] {
			checkExecutions(id, rec.finalOutcomes[id], out.Executions[id], res)
		}
		ids = ids[n:]
	}
	return nil
}

// checkExecutions adds the violations of one request to res.
func checkExecutions(id string, f finalOutcome, executions int, res *Result) {
	switch {
	case f.outcome == outcomeRejected && executions > 0:
		res.addViolations(notRunButExecuted, 1, fmt.Sprintf("request %s: %d executions", id, executions))
	case f.outcome == outcomeAnswered && executions == 0:
		res.addViolations(answeredNotExecuted, 1, "request "+id)
	case !f.idempotent && executions > 1:
		res.addViolations(executedTwice, 1, fmt.Sprintf("request %s: %d executions", id, executions))
	}
}

// checkJobs checks that workers completed at least as many tasks of each job as were reported as done.
func (s *standinClient) checkJobs(ctx context.Context, jobs *batch, res *Result) error {
	done := jobs.doneTasks()
	if len(done) == 0 {
		return nil
	}
	var q executionsQuery
	for id := range done {
		q.Jobs = append(q.Jobs, id)
	}
	out, err := s.executions(ctx, q)
	if err != nil {
		return err
	}
	for id, n := range done {
		if out.TasksDone[id] < n {
			res.addViolations("tasks reported as done that no worker has done", n-out.TasksDone[id], "job "+id)
		}
	}
	return nil
}
