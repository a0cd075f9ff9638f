// Package intake takes submissions from callers, stores them, and tells how far they are.
package intake

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// NotAcceptedError reports a submission or cancellation that was not stored and never will be.
type NotAcceptedError struct {
	Reason string
	// RetryAfter is when to come back.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NotAcceptedError) Error() string { return fmt.Sprintf("not accepted: %s", e.Reason) }

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Err }

// UncertainError reports a submission or cancellation that may have been stored. The caller must ask again.
type UncertainError struct{ Err error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// retryAfter is how long an outage of the log is expected to last at least.
const retryAfter = time.Second

// Appender stores one entry.
type Appender interface {
	Append(ctx context.Context, e eventlog.Entry) error
}

// View is what has been read of the log.
type View interface {
	// RefreshSubmissions and RefreshProgress return when what was stored before the call is known, or when ctx ends.
	RefreshSubmissions(ctx context.Context)
	RefreshProgress(ctx context.Context)
}

// Ages bound how old a view may be when something is said not to exist.
type Ages struct{ Submissions, Config time.Duration }

// Desk serves callers. Its methods may be called from any goroutine.
type Desk struct {
	log     Appender
	catalog *catalog.Catalog
	config  *queue.Current
	view    View
	// submissions and configs tell how old the views are.
	submissions, configs catalog.Freshness
	ages                 Ages
	logger               *slog.Logger
	seconds              *prometheus.HistogramVec
}

// New returns a desk. An unknown submission or queue is said not to exist only while the view of it is at most as old as ages allow.
func New(log Appender, cat *catalog.Catalog, config *queue.Current, v View, submissions, configs catalog.Freshness, ages Ages, l *slog.Logger, r prometheus.Registerer) *Desk {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "clementine_intake_seconds",
		Help: "Time to answer a submission or cancellation, by queue and outcome.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 10)},
		[]string{"queue", "outcome"})
	r.MustRegister(h)
	return &Desk{log: log, catalog: cat, config: config, view: v, submissions: submissions, configs: configs, ages: ages, logger: l, seconds: h}
}

// Config returns the configuration in force, nil before the first.
func (d *Desk) Config() *queue.Config { return d.config.Load() }

// KnowsSubmissions reports whether the view of submissions is new enough to say that one does not exist.
func (d *Desk) KnowsSubmissions() bool { return younger(d.submissions, d.ages.Submissions) }

// KnowsConfig reports whether the view of the configuration is new enough to say that a queue does not exist.
func (d *Desk) KnowsConfig() bool { return younger(d.configs, d.ages.Config) }

func younger(v catalog.Freshness, age time.Duration) bool {
	asOf, ok := v.AsOf()
	return ok && clock.Now()-asOf <= age
}

// Submit returns when a submission is stored. It returns *workflow.InvalidError, *NotAcceptedError or *UncertainError.
func (d *Desk) Submit(ctx context.Context, s *workflow.Submission) error {
	if err := s.Check(); err != nil {
		d.logger.Info("submission invalid", "job", s.Job, "queue", s.Terms.Queue, "error", err)
		return err
	}
	if d.catalog.Find(s.Job) != nil {
		d.logger.Info("submission repeated", "job", s.Job, "queue", s.Terms.Queue)
		return nil
	}
	e, err := catalog.SubmissionEntry(s)
	if err != nil {
		return &NotAcceptedError{Reason: "not encodable", Err: err}
	}
	return d.store(ctx, "submission", s.Terms.Queue, s.Job, e, func() bool { return d.catalog.Find(s.Job) != nil })
}

// Cancel returns when a cancellation is stored. It returns *NotAcceptedError or *UncertainError. A submission that is not known yet is cancelled too.
func (d *Desk) Cancel(ctx context.Context, queueName string, id workflow.JobID) error {
	if j := d.catalog.Find(id); j != nil && (j.Cancelled || j.State().Over()) {
		return nil
	}
	return d.store(ctx, "cancellation", queueName, id, catalog.CancelEntry(id), func() bool {
		j := d.catalog.Find(id)
		return j != nil && j.Cancelled
	})
}

// knownCheck is how often a caller without an answer from the log is looked for in what was read of it.
const knownCheck = 50 * time.Millisecond

// append stores an entry. If the answer of the log is lost, reading the entry back is as good.
func (d *Desk) append(ctx context.Context, e eventlog.Entry, known func() bool) error {
	done := make(chan error, 1)
	go func() { done <- d.log.Append(ctx, e) }()
	t := time.NewTicker(knownCheck)
	defer t.Stop()
	result, answered := error(nil), false
	for {
		select {
		case err := <-done:
			var unknown *eventlog.UnknownError
			if !errors.As(err, &unknown) || ctx.Err() != nil {
				return err
			}
			result, answered, done = err, true, nil
		case <-t.C:
			if known() {
				return nil
			}
		case <-ctx.Done():
			if !answered {
				result = &eventlog.UnknownError{Op: "append", Err: ctx.Err()}
			}
			return result
		}
	}
}

func (d *Desk) store(ctx context.Context, what, queueName string, id workflow.JobID, e eventlog.Entry, known func() bool) error {
	start := time.Now()
	err := d.append(ctx, e, known)
	outcome := "accepted"
	var unknown *eventlog.UnknownError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		outcome, err = "uncertain", &UncertainError{Err: err}
	default:
		outcome, err = "refused", &NotAcceptedError{Reason: "the log is not available", RetryAfter: retryAfter, Err: err}
	}
	took := time.Since(start)
	d.seconds.WithLabelValues(queueName, outcome).Observe(took.Seconds())
	if err != nil {
		d.logger.Info(what+" "+outcome, "job", id, "queue", queueName, "took_ms", took.Milliseconds(), "error", err)
		return err
	}
	d.logger.Info(what+" "+outcome, "job", id, "queue", queueName, "took_ms", took.Milliseconds(), "config", d.config.Load().Version)
	return nil
}

// refreshTime bounds the wait for a newer view: a read takes two crossings between data centres and the log's own time, 15 ms together.
const refreshTime = 60 * time.Millisecond

// Find returns a submission as it was stored when it was asked for, or nil if it is not known.
func (d *Desk) Find(ctx context.Context, id workflow.JobID) *catalog.Job {
	ctx, cancel := context.WithTimeout(ctx, refreshTime)
	defer cancel()
	j := d.catalog.Find(id)
	if j == nil {
		d.view.RefreshSubmissions(ctx)
		j = d.catalog.Find(id)
	}
	if j != nil && !j.State().Over() {
		d.view.RefreshProgress(ctx)
		j = d.catalog.Find(id)
	}
	return j
}

// Waiting counts the submissions of a queue of which no task has started.
func (d *Desk) Waiting(queueName string) int { return d.catalog.Waiting(queueName) }
