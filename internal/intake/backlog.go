package intake

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Verdicts on new submissions, as label values.
const (
	verdictAdmitted = "admitted"
	// verdictNotJudged: there was no current summary of the backlog, or it does not apply to the submission.
	verdictNotJudged = "not-judged"
	// verdictUnconfirmed: the submission would have been refused, but it could not be confirmed in time that it is not stored.
	verdictUnconfirmed = "unconfirmed"
	verdictRefused     = "refused"
)

func newVerdicts(r prometheus.Registerer) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_intake_backlog_verdicts_total",
		Help: "New submissions by the decision on whether the backlog leaves time for them."}, []string{"queue", "verdict"})
	r.MustRegister(v)
	return v
}

// checkBacklog returns a *RefusedError if a submission certainly cannot end while its result has value. Nothing has been
// sent for it then. It returns nil for a submission that is stored already.
func (a *API) checkBacklog(ctx context.Context, s *workflow.Submission) error {
	v, age, judged := a.judge(s)
	verdict := verdictAdmitted
	switch {
	case !judged:
		verdict = verdictNotJudged
	case v.Refused && a.stillUnknown(ctx, s.Job, refreshTimeout):
		verdict = verdictRefused
	case v.Refused:
		verdict = verdictUnconfirmed
	}
	a.verdicts.WithLabelValues(s.Terms.Queue, verdict).Inc()
	if verdict != verdictRefused {
		return nil
	}
	a.logger.Info("submission refused because of the backlog", "job", s.Job, "queue", s.Terms.Queue,
		"end_ms", v.End.Milliseconds(), "value_end_ms", v.ValueEnd.Milliseconds(), "retry_after_s", v.RetryAfter.Seconds(),
		"summary_age_ms", age.Milliseconds())
	return &RefusedError{Reason: "the backlog is too long for the objective", RetryAfter: v.RetryAfter}
}

// judge decides on a submission by the newest summary. It returns false without a current one, and for submissions to which it does
// not apply: those that run later or for long, those without estimates, and those whose steps are
// best effort in part.
func (a *API) judge(s *workflow.Submission) (v backlog.Verdict, age time.Duration, judged bool) {
	if s.Scheduled() {
		return v, 0, false
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.LongRunning || step.Estimate <= 0 || step.BestEffort != s.Steps[0].BestEffort {
			return v, 0, false
		}
	}
	summary, storedAfter := a.catalog.Backlog()
	if summary == nil {
		return v, 0, false
	}
	// An append may have waited at the log, which only the time of writing shows. Where the clocks of the instances
	// differ, the greater age counts.
	age = max(clock.Now()-storedAfter, time.Since(time.UnixMilli(summary.WrittenAt)))
	if age >= backlog.MaxAge {
		return v, age, false
	}
	chain := s.Chain()
	return summary.Judge(age, backlog.Request{ID: string(s.Job), Queue: s.Terms.Queue, Pool: s.Terms.Pool,
		Priority: s.Terms.Priority, BestEffort: s.Steps[0].BestEffort,
		Objective: s.Terms.Objective(chain), Chain: chain}), age, true
}

// stillUnknown reports whether a submission is certainly not in the log as of now, after at most timeout: its caller may repeat it after another instance has
// stored it.
func (a *API) stillUnknown(ctx context.Context, id workflow.JobID, timeout time.Duration) bool {
	since := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.view.RefreshSubmissions(ctx)
	asOf, ok := a.submissionsFreshness.AsOf()
	return ok && asOf >= since && a.catalog.Find(id) == nil
}
