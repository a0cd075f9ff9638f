package operator

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

const jobsPath = "/v1/jobs"

// SubmitCommand submits a job.
type SubmitCommand struct {
	Kind     string        `arg:"" help:"Batch kind of the manifest in force."`
	Tasks    int           `required:"" help:"Number of tasks."`
	Team     string        `help:"Paying team. Default: the kind's team."`
	Deadline time.Duration `help:"Time from now to the end of the job. Default: the kind's deadline."`
	RunTime  time.Duration `help:"Expected run time of each task. Default: the kind's run time."`
	Key      string        `help:"Key of this submission; a repetition with the same key denotes the same job. Default: a random one."`
}

// submission is the request body of POST /v1/jobs.
type submission struct {
	Kind       string `json:"kind"`
	Team       string `json:"team,omitempty"`
	Tasks      int    `json:"tasks"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	RunTimeMS  int64  `json:"run_time_ms,omitempty"`
	Key        string `json:"key"`
}

// jobResult is the answer to a submission and the result of the commands submit and cancel.
type jobResult struct {
	Job string `json:"job"`
}

// Validate is called by kong after parsing. It returns a *UsageError for a flag that is not allowed.
func (c *SubmitCommand) Validate() error {
	if c.Tasks < 1 {
		return &UsageError{Flag: "--tasks", Allowed: "a number above 0"}
	}
	if c.Deadline < 0 || c.RunTime < 0 {
		return &UsageError{Flag: "--deadline and --run-time", Allowed: "times above 0"}
	}
	return nil
}

// UsageError reports a flag whose value is not allowed.
type UsageError struct{ Flag, Allowed string }

// Error implements error.
func (u *UsageError) Error() string { return u.Flag + ": allowed: " + u.Allowed }

// Run implements the command.
func (c *SubmitCommand) Run(ctx context.Context, e *Env) error {
	if err := c.checkKind(ctx, e); err != nil {
		return err
	}
	in := submission{Kind: c.Kind, Team: c.Team, Tasks: c.Tasks, DeadlineMS: c.Deadline.Milliseconds(),
		RunTimeMS: c.RunTime.Milliseconds(), Key: c.Key}
	if in.Key == "" {
		in.Key = uuid.NewString()
	}
	var out jobResult
	err := e.callGateway(ctx, call{method: http.MethodPost, path: jobsPath, in: in, out: &out, atMostOnce: true})
	var refused *RefusedError
	var noGateway *NoGatewayError
	switch {
	case err == nil:
		return e.printResult(out, "Job %s was accepted with %s.", out.Job, plural(c.Tasks, "task"))
	case errors.As(err, &refused) && refused.Status == http.StatusGatewayTimeout:
		return &SubmitUnknownError{Key: in.Key, Err: err}
	case errors.As(err, &noGateway), errors.As(err, &refused), unsent(err):
		return err
	}
	var gateway *GatewayError
	if errors.As(err, &gateway) {
		return &SubmitUnknownError{Key: in.Key, Err: err}
	}
	return err
}

// checkKind returns a *KindError with the batch kinds of the manifest unless the kind is one of them. If the log cannot
// be read, it returns nil and the check is left to the gateway.
func (c *SubmitCommand) checkKind(ctx context.Context, e *Env) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	h, err := config.ReadHistory(ctx, e.log)
	if err != nil || h.Chain.Version() == nil {
		return nil
	}
	m := h.Chain.Version().Manifest
	if k, ok := m.Kind(c.Kind); ok && k.Class == manifest.ClassBatch {
		return nil
	}
	kindErr := &KindError{Kind: c.Kind}
	for _, k := range m.Kinds {
		if k.Class == manifest.ClassBatch {
			kindErr.Allowed = append(kindErr.Allowed, k.Name)
		}
	}
	return kindErr
}

// CancelCommand cancels a job.
type CancelCommand struct {
	Job string `arg:"" help:"Id of the job."`
}

// Run implements the command.
func (c *CancelCommand) Run(ctx context.Context, e *Env) error {
	err := e.callGateway(ctx, call{method: http.MethodDelete, path: jobPath(c.Job)})
	if err != nil {
		return notFound(err, "job", c.Job)
	}
	return e.printResult(jobResult{Job: c.Job}, "Cancellation of job %s was accepted.", c.Job)
}

func jobPath(id string) string { return jobsPath + "/" + url.PathEscape(id) }

// JobsCommand shows all jobs or one.
type JobsCommand struct {
	Job string `arg:"" optional:"" help:"Id of one job."`
}

// Run implements the command.
func (c *JobsCommand) Run(ctx context.Context, e *Env) error {
	jobs, err := e.jobs(ctx, c.Job)
	if err != nil {
		return err
	}
	t := &table{columns: []string{"JOB", "KIND", "TEAM", "STATE", "TASKS", "PENDING", "RUNNING", "DONE", "FAILED",
		"CANCELLED", "EVICTED", "RESUMED", "DEADLINE (UTC)", "ENDED (UTC)", "COST"}}
	for _, j := range jobs {
		t.add(j.Job, j.Kind, j.Team, jobStatus(j, e.now()), j.Tasks, j.Pending, j.Running, j.Done, j.Failed,
			j.Cancelled, j.Evicted, j.Resumed, formatTime(j.Deadline), formatTime(j.Ended),
			manifest.FormatMoney(j.Cost))
		if c.Job != "" && j.Parked != "" {
			t.footer = "Parked: " + j.Parked
		}
	}
	if c.Job == "" {
		t.footer = plural(len(jobs), "job") + "."
	}
	return e.print(jobs, t)
}

// jobs returns all jobs, sorted by time of submission, or the one with the given id.
func (e *Env) jobs(ctx context.Context, id string) ([]contract.JobState, error) {
	jobs := []contract.JobState{}
	if id != "" {
		var one contract.JobState
		if err := e.callGateway(ctx, call{method: http.MethodGet, path: jobPath(id), out: &one}); err != nil {
			return nil, notFound(err, "job", id)
		}
		return append(jobs, one), nil
	}
	if err := e.callGateway(ctx, call{method: http.MethodGet, path: jobsPath, out: &jobs}); err != nil {
		return nil, err
	}
	slices.SortFunc(jobs, func(a, b contract.JobState) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job, b.Job))
	})
	return jobs, nil
}

// jobStatus returns the status of a job with regard to its deadline, as a word for tables.
func jobStatus(j contract.JobState, now time.Time) string {
	due := !j.Deadline.IsZero()
	switch {
	case j.Parked != "":
		return "parked"
	case j.Ended.IsZero() && due && now.After(j.Deadline):
		return "overdue"
	case j.Ended.IsZero():
		return "open"
	case j.Failed > 0:
		return "failed"
	case j.Cancelled > 0:
		return "cancelled"
	case due && j.Ended.After(j.Deadline):
		return "late"
	}
	return "done"
}
