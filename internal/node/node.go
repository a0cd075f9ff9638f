// Package node is the process that runs on every entry instance of the platform. It serves callers and competes for the
// ownership of the submissions.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/queue"
)

// Topics are the names of the topics that a node reads and writes.
type Topics struct {
	Config, Submissions, Progress string
	// ConfigKey is the key of the configuration in the topic Config.
	ConfigKey string
}

// Listeners are the addresses of a node, of the form ip:port, for callers, readiness checks and metrics.
type Listeners struct{ Callers, Ready, Metrics string }

// Settings configure a node.
type Settings struct {
	// Instance is the id of the platform instance that the node runs on.
	Instance  string
	Topics    Topics
	Listeners Listeners
	// StopTime is the time between the signal to stop and the kill.
	StopTime time.Duration
}

// Deps are the components of a node.
type Deps struct {
	Config  *queue.Current
	Views   *Views
	Batcher *eventlog.Batcher
	Owner   *dispatch.Owner
	Relay   *Relay
	// Callers serves the callers, Ready the readiness checks of the load balancer.
	Callers, Ready, Metrics http.Handler
	// Gate bounds what clients take.
	Gate *ingress.Gate
	// Reload reads the settings file again.
	Reload func()
	Health *process.Health
	Logger *slog.Logger
}

// Views holds the followers of the topics. It is created before the components that need the age of the views, and New
// connects it to the owner.
type Views struct {
	Submissions, Progress, Config *eventlog.Follower
	feed                          *feed
	// standbyConfigPoll is the poll interval of the configuration on an instance that is not the owner.
	standbyConfigPoll eventlog.PollIntervals
	// owner reports whether this instance is the owner. The owner applies its own records before it reads them back.
	owner atomic.Bool
}

// RefreshProgress updates the states of submissions. It returns when they are up to date, the read has failed or ctx
// ends; on the owner it returns at once.
func (v *Views) RefreshProgress(ctx context.Context) {
	if !v.owner.Load() {
		v.Progress.Refresh(ctx)
	}
}

// RefreshSubmissions updates the submissions. It returns when they are up to date, the read has failed or ctx ends.
func (v *Views) RefreshSubmissions(ctx context.Context) { v.Submissions.Refresh(ctx) }

// AsOf implements catalog.Freshness: it returns the earlier time of the submissions and the progress.
func (v *Views) AsOf() (time.Duration, bool) {
	submissions, okSubmissions := v.Submissions.AsOf()
	progress, okProgress := v.Progress.AsOf()
	return min(submissions, progress), okSubmissions && okProgress
}

// The poll intervals of the topics. Each call has a cost, so standby instances read at long intervals, and at once when
// a caller asks for a state.
var (
	standbySubmissionsPoll = eventlog.PollIntervals{Wait: 600 * time.Millisecond, Pause: 600 * time.Millisecond,
		IdlePause: 10 * time.Millisecond}
	ownerSubmissionsPoll = eventlog.PollIntervals{Wait: 600 * time.Millisecond, Pause: 10 * time.Millisecond,
		IdlePause: 10 * time.Millisecond}
	// The owner writes progress continuously; while it writes nothing, its possible successors read more often.
	standbyProgressPoll = eventlog.PollIntervals{Wait: 250 * time.Millisecond, Pause: 200 * time.Millisecond,
		IdlePause: 50 * time.Millisecond}
	ownerProgressPoll = eventlog.PollIntervals{Wait: 500 * time.Millisecond, Pause: 500 * time.Millisecond,
		IdlePause: 500 * time.Millisecond}
	configPoll = eventlog.PollIntervals{Wait: time.Second, Pause: 50 * time.Millisecond,
		IdlePause: 10 * time.Millisecond}
)

// maxOwnerConfigWait limits the reads of the topic Config on the owner, which starts nothing with an old view of the
// closed data centres.
const maxOwnerConfigWait = 600 * time.Millisecond

// Decoders decode the entries of the topic Config.
type Decoders struct {
	Config func([]byte) (*queue.Config, error)
	// Closure returns what an entry says about a data centre, and false if it concerns none.
	Closure func(eventlog.Entry) (evacuation.Record, bool)
}

// NewViews returns the followers of a node, which keep the catalog and the configuration up to date. While the log can
// be read, the view of the configuration is at most maxConfigAge old.
func NewViews(
	l eventlog.Log, t Topics, d Decoders, cat *catalog.Catalog, config *queue.Current, maxConfigAge time.Duration,
	logger *slog.Logger, r prometheus.Registerer,
) *Views {
	poll := configPoll
	poll.Wait = min(poll.Wait, maxConfigAge*2/3)
	f := &feed{topics: t, decode: d.Config, catalog: cat, config: config, logger: logger,
		closures: newClosures(d.Closure, logger, r)}
	return &Views{feed: f, standbyConfigPoll: poll,
		Submissions: eventlog.NewFollower(l, t.Submissions, standbySubmissionsPoll, logger, f.submissions),
		Progress:    eventlog.NewFollower(l, t.Progress, standbyProgressPoll, logger, f.progress),
		Config:      eventlog.NewFollower(l, t.Config, poll, logger, f.configuration)}
}

// feed passes the entries that the followers read to the catalog, the configuration and the owner.
type feed struct {
	topics  Topics
	decode  func([]byte) (*queue.Config, error)
	catalog *catalog.Catalog
	config  *queue.Current
	// closures is used by the goroutine of the follower of Config only.
	closures *closures
	owner    *dispatch.Owner
	logger   *slog.Logger
}

// submissions handles a batch of the topic Submissions.
func (f *feed) submissions(b eventlog.Batch) {
	if changed := f.catalog.ApplySubmissions(b); len(changed) > 0 {
		f.owner.SubmissionsChanged(changed)
	}
}

// progress handles a batch of the topic Progress.
func (f *feed) progress(b eventlog.Batch) {
	f.owner.ProgressRead(b, f.catalog.ApplyProgress(b.Entries))
	f.catalog.ProgressRead(b.AsOf)
}

// configuration handles a batch of the topic Config. An entry that cannot be decoded is logged and ignored.
func (f *feed) configuration(b eventlog.Batch) {
	for _, e := range b.Entries {
		if e.Key != f.topics.ConfigKey || e.Value == nil {
			continue
		}
		c, err := f.decode(e.Value)
		if err != nil {
			f.logger.Error("configuration cannot be decoded, keeping the current one", "offset", e.Offset, "error", err)
			continue
		}
		if f.config.Advance(c) {
			f.logger.Info("configuration applied", "version", c.Version, "queues", len(c.Queues), "offset", e.Offset)
			f.owner.ConfigChanged()
		}
	}
	f.owner.ClosuresRead(f.closures.apply(b), b.AsOf)
}

// RoleChanged sets the poll intervals when this instance becomes the owner or ceases to be it.
func (v *Views) RoleChanged(owner bool) {
	v.owner.Store(owner)
	if owner {
		v.Submissions.SetPollIntervals(ownerSubmissionsPoll)
		v.Progress.SetPollIntervals(ownerProgressPoll)
		poll := v.standbyConfigPoll
		poll.Wait = min(poll.Wait, maxOwnerConfigWait)
		v.Config.SetPollIntervals(poll)
		return
	}
	v.Config.SetPollIntervals(v.standbyConfigPoll)
	v.Submissions.SetPollIntervals(standbySubmissionsPoll)
	v.Progress.SetPollIntervals(standbyProgressPoll)
}

// Node is the process of an entry instance.
type Node struct {
	settings Settings
	deps     Deps
}

// New returns a node; Run starts it.
func New(s Settings, d Deps) *Node {
	d.Views.feed.owner = d.Owner
	return &Node{settings: s, deps: d}
}

const (
	// notReadyLead is how long a stopping node continues to serve after it has become not ready, because the load
	// balancer stops using an instance only after two failed checks.
	notReadyLead = 2200 * time.Millisecond
	// quietTime must pass without a request before connections are closed. It is well above the 200 ms for which a
	// request may be in transit when its connection closes.
	quietTime = 600 * time.Millisecond
	// exitMargin is the time reserved for the requests in progress at the end of the stop, and once more between the
	// last answer and the kill.
	exitMargin = 500 * time.Millisecond
	// readinessInterval is the interval at which readiness is determined; the node is ready while its view is younger
	// than maxReadyViewAge.
	readinessInterval = 100 * time.Millisecond
	maxReadyViewAge   = 1500 * time.Millisecond
	idleTimeout       = 60 * time.Second
	readTimeout       = 10 * time.Second
)

// Run serves callers until ctx ends and the planned stop is complete.
func (n *Node) Run(ctx context.Context) error {
	callers, err := process.Listen("callers", n.settings.Listeners.Callers)
	if err != nil {
		return err
	}
	ready, err := process.Listen("ready", n.settings.Listeners.Ready)
	if err != nil {
		return err
	}
	// The followers and the batcher run until the last caller is answered.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go n.deps.Views.Config.Run(serving)
	go n.deps.Views.Submissions.Run(serving)
	go n.deps.Views.Progress.Run(serving)
	go n.deps.Batcher.Run(serving)
	go n.updateReadiness(ctx)
	go n.reloadOnSignal(serving)
	go n.serveMetrics(serving)
	go n.deps.Relay.run(ctx, serving)
	var g errgroup.Group
	g.Go(func() error { n.deps.Owner.Run(ctx); return nil })
	g.Go(func() error {
		server := process.NewHTTPServer(n.deps.Ready, readTimeout)
		return process.ServeHTTP(serving, server, n.deps.Gate.GuardOps(server, ready, "ready"), exitMargin)
	})
	g.Go(func() error { defer stopServing(); return n.serveCallers(ctx, callers) })
	n.deps.Logger.Info("started", "callers", n.settings.Listeners.Callers)
	return g.Wait()
}

// serveCallers serves callers until ctx ends, and for some time after it, so that requests on open connections of the
// load balancer are still answered.
func (n *Node) serveCallers(ctx context.Context, ln net.Listener) error {
	server := process.NewHTTPServer(n.deps.Callers, readTimeout)
	server.IdleTimeout = idleTimeout
	ln = n.deps.Gate.GuardCallers(server, ln)
	drain := process.Drain{MinDrain: notReadyLead, QuietPeriod: quietTime, MaxDrain: n.settings.StopTime - 2*exitMargin,
		ShutdownTimeout: exitMargin}
	stopLog := context.AfterFunc(ctx, func() {
		n.deps.Logger.Info("stopping", "serving_on_ms", drain.MinDrain.Milliseconds(),
			"at_most_ms", drain.MaxDrain.Milliseconds())
	})
	defer stopLog()
	return process.ServeUntilDrained(ctx, server, ln, drain)
}

// updateReadiness sets the readiness of the node until ctx ends; from then on the node is not ready.
func (n *Node) updateReadiness(ctx context.Context) {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			n.deps.Health.SetReady(false)
			return
		case <-t.C:
		}
		asOf, ok := n.deps.Views.AsOf()
		ready := ok && clock.Now()-asOf < maxReadyViewAge && n.deps.Config.Load() != nil
		if ready != n.deps.Health.Ready() {
			n.deps.Logger.Info("readiness changed", "ready", ready, "view_age_ms", (clock.Now() - asOf).Milliseconds())
			n.deps.Health.SetReady(ready)
		}
	}
}

// reloadOnSignal reads the settings again when the platform signals with SIGHUP that they have changed.
func (n *Node) reloadOnSignal(ctx context.Context) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c:
			n.deps.Reload()
		}
	}
}

// serveMetrics serves the metrics. A failure does not stop the node, which works without them.
func (n *Node) serveMetrics(ctx context.Context) {
	ln, err := process.Listen("metrics", n.settings.Listeners.Metrics)
	if err != nil {
		n.deps.Logger.Warn("metrics listener failed, metrics are not served", "error", err)
		return
	}
	server := process.NewHTTPServer(n.deps.Metrics, readTimeout)
	ln = n.deps.Gate.GuardOps(server, ln, "metrics")
	if err := process.ServeHTTP(ctx, server, ln, exitMargin); err != nil {
		n.deps.Logger.Warn("metrics server ended, metrics are no longer served", "error", err)
	}
}
