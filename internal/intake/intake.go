// Package intake accepts submissions and cancellations from callers, stores them, and reports their state.
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

// RefusedError reports a submission or cancellation that was not stored and never will be.
type RefusedError struct {
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("not accepted: %s", e.Reason) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UncertainError reports a submission or cancellation that may have been stored. The caller should repeat it.
type UncertainError struct{ Err error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// retryAfter is sent to callers when the log does not store an entry. Outages rarely last less.
const retryAfter = time.Second

// Appender stores one entry.
type Appender interface {
	Append(ctx context.Context, e eventlog.Entry) error
}

// View is the instance's view of the log.
type View interface {
	// RefreshSubmissions and RefreshProgress return once all entries that were stored before the call have been read,
	// or when ctx is done.
	RefreshSubmissions(ctx context.Context)
	RefreshProgress(ctx context.Context)
}

// MaxAges holds the maximum ages at which a view may still be used to report that a submission or queue does not exist.
type MaxAges struct{ Submissions, Config time.Duration }

// API serves the requests of callers. Its methods may be called from any goroutine.
type API struct {
	log     Appender
	catalog *catalog.Catalog
	config  *queue.Current
	view    View
	// submissionsFreshness and configFreshness give the age of the views.
	submissionsFreshness, configFreshness catalog.Freshness
	maxAges                               MaxAges
	limits                                eventlog.Limits
	memory                                acceptedMemory
	// peers and collectors may be nil.
	peers      *Peers
	collectors *Collectors
	unsettled  *unsettled
	logger     *slog.Logger
	latency    *prometheus.HistogramVec
	// verdicts counts the decisions of checkBacklog.
	verdicts *prometheus.CounterVec
}

// New returns an API. SubmissionsFresh and ConfigFresh compare the age of the views with maxAges.
func New(log Appender, cat *catalog.Catalog, config *queue.Current, v View,
	submissionsFreshness, configFreshness catalog.Freshness, maxAges MaxAges, l *slog.Logger,
	r prometheus.Registerer) *API {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "clementine_intake_seconds",
		Help:    "Time to answer a submission or cancellation, by queue and outcome.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 10)},
		[]string{"queue", "outcome"})
	r.MustRegister(h)
	return &API{log: log, catalog: cat, config: config, view: v,
		submissionsFreshness: submissionsFreshness, configFreshness: configFreshness,
		maxAges: maxAges, unsettled: newUnsettled(r), logger: l, latency: h, verdicts: newVerdicts(r)}
}

// UseLimits makes the API refuse submissions that the log does not take. It is called before the first request.
func (a *API) UseLimits(l eventlog.Limits) { a.limits = l }

// Config returns the configuration in force, or nil before the first.
func (a *API) Config() *queue.Config { return a.config.Load() }

// SubmissionsFresh reports whether the view of submissions is new enough to report that one does not exist.
func (a *API) SubmissionsFresh() bool { return isFresh(a.submissionsFreshness, a.maxAges.Submissions) }

// ConfigFresh reports whether the view of the configuration is new enough to report that a queue does not exist.
func (a *API) ConfigFresh() bool { return isFresh(a.configFreshness, a.maxAges.Config) }

func isFresh(v catalog.Freshness, maxAge time.Duration) bool {
	asOf, ok := v.AsOf()
	return ok && clock.Now()-asOf <= maxAge
}

// Submit returns once the submission is stored. It returns an *workflow.InvalidError, *RefusedError or
// *UncertainError.
func (a *API) Submit(ctx context.Context, s *workflow.Submission) error {
	if err := s.CheckNew(); err != nil {
		a.logger.Info("submission refused as invalid", "job", s.Job, "queue", s.Terms.Queue, "error", err)
		return err
	}
	stored, unknown := a.known(s.Job)
	if stored {
		a.logger.Info("submission already stored", "job", s.Job, "queue", s.Terms.Queue)
		return nil
	}
	// A repetition is not refused because of the backlog: the first request may be stored already.
	if !unknown {
		if err := a.checkBacklog(ctx, s); err != nil {
			return err
		}
		done, err := a.checkMemory(ctx, s)
		if err != nil {
			return err
		}
		defer done()
		if a.catalog.Find(s.Job) != nil {
			// The check has read the log.
			return nil
		}
	}
	e, err := catalog.SubmissionEntry(s)
	if err != nil {
		return &RefusedError{Reason: "not encodable", Err: err}
	}
	if err := a.limits.Check(e); err != nil {
		a.logger.Info("submission refused as too long", "job", s.Job, "queue", s.Terms.Queue, "error", err)
		return &workflow.InvalidError{Field: "submission", Problem: "is too long to be stored: " + err.Error()}
	}
	return a.store(ctx, "submission", s.Terms.Queue, s.Job, e)
}

// known reports whether a submission is stored as far as this instance knows, and whether an earlier request for it may be
// stored.
func (a *API) known(id workflow.JobID) (stored, unknown bool) {
	stored, unknown = a.unsettled.lookUp(string(id))
	return stored || a.catalog.Find(id) != nil, unknown
}

// KnownRefused is called for a submission that is refused before Submit. It reports whether the submission is stored as far
// as this instance knows, and whether an earlier request for it may be stored; the answer must not contradict that.
func (a *API) KnownRefused(id workflow.JobID) (stored, unknown bool) {
	stored, unknown = a.known(id)
	if stored {
		a.unsettled.replaced.WithLabelValues(outcomeStored).Inc()
	} else if unknown {
		a.unsettled.replaced.WithLabelValues(outcomeUnknown).Inc()
	}
	return stored, unknown
}

// Cancel returns once the cancellation is stored. It returns a *RefusedError or *UncertainError. A submission
// that has not been read yet is cancelled too.
func (a *API) Cancel(ctx context.Context, queueName string, id workflow.JobID) error {
	if j := a.catalog.Find(id); j != nil && (j.Cancelled || j.State().Over()) {
		return nil
	}
	return a.store(ctx, "cancellation", queueName, id, catalog.CancelEntry(id))
}

// readBackInterval is how often the view is searched for an entry whose append is not answered yet.
const readBackInterval = 50 * time.Millisecond

// answerGrace is how long the outcome of an append is awaited after the time of its caller is over: an entry that was not
// sent is withdrawn and refused then.
const answerGrace = 25 * time.Millisecond

// appendOnce stores an entry with log unless the view holds it, and returns a refusal only if no other request for it may be
// stored as far as this instance knows.
func (a *API) appendOnce(ctx context.Context, log Appender, e eventlog.Entry) error {
	if a.catalog.Holds(e.Key) {
		return nil
	}
	err := a.unsettled.append(ctx, log, e)
	if a.catalog.Holds(e.Key) {
		return nil
	}
	return err
}

// append stores an entry. If the answer of the log is lost, reading the entry back confirms it as well.
func (a *API) append(ctx context.Context, e eventlog.Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- a.appendOnce(ctx, a.log, e) }()
	t := time.NewTicker(readBackInterval)
	defer t.Stop()
	result, answered := error(nil), false
	for {
		select {
		case err := <-done:
			var unknown *eventlog.UnknownError
			if !errors.As(err, &unknown) || ctx.Err() != nil {
				// A definite answer, or no time is left to read the entry back.
				return err
			}
			result, answered, done = err, true, nil
			go a.readBack(ctx)
		case <-t.C:
			if a.catalog.Holds(e.Key) {
				return nil
			}
		case <-ctx.Done():
			if answered {
				return result
			}
			select {
			case err := <-done:
				return err
			case <-time.After(answerGrace):
				return &eventlog.UnknownError{Op: "append", Err: ctx.Err()}
			}
		}
	}
}

// readBack keeps the view up to date until ctx ends.
func (a *API) readBack(ctx context.Context) {
	for ctx.Err() == nil {
		a.view.RefreshSubmissions(ctx)
		t := time.NewTimer(readBackInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

func (a *API) store(ctx context.Context, operation, queueName string, id workflow.JobID, e eventlog.Entry) error {
	start := time.Now()
	err := a.append(ctx, e)
	outcome := "accepted"
	var unknown *eventlog.UnknownError
	var rejected *eventlog.RejectedError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		outcome, err = "uncertain", &UncertainError{Err: err}
		if a.collectors != nil {
			a.collectors.unknown.add(e.Key)
		}
	case errors.As(err, &rejected):
		outcome, err = "rejected", &RefusedError{Reason: "the log rejects it", RetryAfter: retryAfter, Err: err}
	default:
		outcome, err = "refused",
			&RefusedError{Reason: "the log is not available", RetryAfter: retryAfter, Err: err}
	}
	took := time.Since(start)
	a.latency.WithLabelValues(queueName, outcome).Observe(took.Seconds())
	if err != nil {
		a.logger.Info(operation+" "+outcome, "job", id, "queue", queueName, "took_ms", took.Milliseconds(),
			"error", err)
		return err
	}
	a.logger.Info(operation+" "+outcome, "job", id, "queue", queueName, "took_ms", took.Milliseconds(),
		"config", a.config.Load().Version)
	return nil
}

// refreshTimeout limits the wait for a newer view. A read takes about 15 ms: two one-way trips between data centres and
// the log's processing time.
const refreshTimeout = 60 * time.Millisecond

// Find returns a submission in the state that was stored when Find was called, or nil if it is unknown.
func (a *API) Find(ctx context.Context, id workflow.JobID) *catalog.Job {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	j := a.catalog.Find(id)
	if j == nil {
		a.view.RefreshSubmissions(ctx)
		j = a.catalog.Find(id)
	}
	if j != nil && !j.State().Over() {
		a.view.RefreshProgress(ctx)
		j = a.catalog.Find(id)
	}
	return j
}

// NotFoundError reports a submission that does not exist.
type NotFoundError struct{ Job workflow.JobID }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no submission %s", e.Job) }

// StaleError reports that the view is too old to tell whether a submission exists.
type StaleError struct{}

// Error implements error.
func (e *StaleError) Error() string { return "the state of submissions may be outdated" }

// State returns the state of a submission: that in the own view, or that of a peer if the log cannot be reached. It
// returns *NotFoundError or *StaleError.
func (a *API) State(ctx context.Context, id workflow.JobID) (workflow.State, error) {
	if a.peers != nil && a.peers.logUnreachable() {
		if s, ok := a.peers.state(ctx, id); ok {
			if !s.Known {
				return 0, &NotFoundError{Job: id}
			}
			return s.State, nil
		}
	}
	j := a.Find(ctx, id)
	switch {
	case j != nil:
		return j.State(), nil
	case a.SubmissionsFresh():
		a.logger.Info("state of an unknown submission requested", "job", id)
		return 0, &NotFoundError{Job: id}
	}
	return 0, &StaleError{}
}

// UsePeers makes the API ask peers for states while the log cannot be reached.
func (a *API) UsePeers(p *Peers) { a.peers = p }

// UseCollectors makes the API tell other instances of the submissions whose outcome is unknown, so that they do not refuse
// a repetition.
func (a *API) UseCollectors(c *Collectors) { a.collectors = c }

// CountWaiting returns the number of submissions of a queue of which no task has started.
func (a *API) CountWaiting(queueName string) int { return a.catalog.CountWaiting(queueName) }
