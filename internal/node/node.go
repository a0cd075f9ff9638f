// Package node is the process that runs on every entry instance of the platform: it serves callers and takes part in the ownership of submissions.
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

	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/queue"
)

// Topics names the logs that a node reads and writes.
type Topics struct {
	Config, Submissions, Progress string
	// ConfigKey is the key of the newest configuration.
	ConfigKey string
}

// Listeners are the addresses of a node.
type Listeners struct{ Callers, Ready, Metrics string }

// Settings are the figures of a node.
type Settings struct {
	Instance  string
	Topics    Topics
	Listeners Listeners
	// StopTime is the time between the request to stop and the kill.
	StopTime time.Duration
}

// Deps are the parts of a node.
type Deps struct {
	Config  *queue.Current
	Views   *Views
	Batcher *eventlog.Batcher
	Owner   *dispatch.Owner
	// Callers and Ready serve the callers and the balancer.
	Callers, Ready, Metrics http.Handler
	// Reload reads the settings file again.
	Reload func()
	Health *process.Health
	Logger *slog.Logger
}

// Views holds the followers of the logs. They exist before the parts that ask for their age.
type Views struct {
	Submissions, Progress, Config *eventlog.Follower
	feed                          *feed
	// owner tells that this instance is the owner, which knows its own records before it reads them.
	owner atomic.Bool
}

// RefreshProgress brings the states of submissions up to date, or gives up when ctx ends.
func (v *Views) RefreshProgress(ctx context.Context) {
	if !v.owner.Load() {
		v.Progress.Refresh(ctx)
	}
}

// RefreshSubmissions brings the submissions up to date, or gives up when ctx ends.
func (v *Views) RefreshSubmissions(ctx context.Context) { v.Submissions.Refresh(ctx) }

// AsOf implements catalog.Freshness: the view is as old as its older part.
func (v *Views) AsOf() (time.Duration, bool) {
	s, ok := v.Submissions.AsOf()
	p, okProgress := v.Progress.AsOf()
	return min(s, p), ok && okProgress
}

// How a node reads. Each call is paid for, so standby instances read seldom, and at once for a caller who asks for a state.
var (
	submissionsPace      = eventlog.PollIntervals{Wait: 600 * time.Millisecond, Pause: 600 * time.Millisecond, IdlePause: 10 * time.Millisecond}
	ownerSubmissionsPace = eventlog.PollIntervals{Wait: 600 * time.Millisecond, Pause: 10 * time.Millisecond, IdlePause: 10 * time.Millisecond}
	// The owner writes all the time; when it is silent, its successors look more often.
	progressPace      = eventlog.PollIntervals{Wait: 250 * time.Millisecond, Pause: 200 * time.Millisecond, IdlePause: 50 * time.Millisecond}
	ownerProgressPace = eventlog.PollIntervals{Wait: 500 * time.Millisecond, Pause: 500 * time.Millisecond, IdlePause: 500 * time.Millisecond}
	configPace        = eventlog.PollIntervals{Wait: time.Second, Pause: 50 * time.Millisecond, IdlePause: 10 * time.Millisecond}
)

// NewViews returns the followers of a node, which keep the catalog and the configuration current.
// The view of the configuration gets at most configAge old while the log can be read.
func NewViews(l eventlog.Log, t Topics, decode func([]byte) (*queue.Config, error), cat *catalog.Catalog, config *queue.Current, configAge time.Duration,
	logger *slog.Logger) *Views {
	configs := configPace
	configs.Wait = min(configs.Wait, configAge*2/3)
	f := &feed{topics: t, decode: decode, catalog: cat, config: config, logger: logger}
	return &Views{feed: f,
		Submissions: eventlog.NewFollower(l, t.Submissions, submissionsPace, logger, f.submissions),
		Progress:    eventlog.NewFollower(l, t.Progress, progressPace, logger, f.progress),
		Config:      eventlog.NewFollower(l, t.Config, configs, logger, f.configuration)}
}

// feed hands what the followers read to the parts of the node.
type feed struct {
	topics  Topics
	decode  func([]byte) (*queue.Config, error)
	catalog *catalog.Catalog
	config  *queue.Current
	owner   *dispatch.Owner
	logger  *slog.Logger
}

func (f *feed) submissions(b eventlog.Batch) {
	if changed := f.catalog.ApplySubmissions(b); len(changed) > 0 {
		f.owner.SubmissionsChanged(changed)
	}
}

func (f *feed) progress(b eventlog.Batch) {
	f.owner.ProgressRead(b, f.catalog.ApplyProgress(b.Entries))
}

func (f *feed) configuration(b eventlog.Batch) {
	for _, e := range b.Entries {
		if e.Key != f.topics.ConfigKey || e.Value == nil {
			continue
		}
		c, err := f.decode(e.Value)
		if err != nil {
			f.logger.Error("configuration left out", "offset", e.Offset, "error", err)
			continue
		}
		if f.config.Advance(c) {
			f.logger.Info("configuration in force", "version", c.Version, "queues", len(c.Queues), "offset", e.Offset)
			f.owner.ConfigChanged()
		}
	}
}

// RoleChanged adapts how the node reads to whether it is the owner.
func (v *Views) RoleChanged(owner bool) {
	v.owner.Store(owner)
	if owner {
		v.Submissions.SetPollIntervals(ownerSubmissionsPace)
		v.Progress.SetPollIntervals(ownerProgressPace)
		return
	}
	v.Submissions.SetPollIntervals(submissionsPace)
	v.Progress.SetPollIntervals(progressPace)
}

// Node is the process.
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
	// notReadyLead is how long a stopping node serves on after it has become not ready: the balancer misses it twice first.
	notReadyLead = 2200 * time.Millisecond
	// quietTime must pass without a request before connections are closed. It is well above the 200 ms for which a request may have been on
	// its way when its connection closes.
	quietTime = 600 * time.Millisecond
	// exitMargin is kept between the last answer and the kill, and for the requests in progress before it.
	exitMargin = 500 * time.Millisecond
	// readyCheck is the interval at which readiness is judged; readyAge is the age of the view up to which the node is ready.
	readyCheck  = 100 * time.Millisecond
	readyAge    = 1500 * time.Millisecond
	idleTimeout = 60 * time.Second
	readTimeout = 10 * time.Second
)

// Run serves until ctx ends and the planned stop is complete.
func (n *Node) Run(ctx context.Context) error {
	callers, err := process.Listen("callers", n.settings.Listeners.Callers)
	if err != nil {
		return err
	}
	ready, err := process.Listen("ready", n.settings.Listeners.Ready)
	if err != nil {
		return err
	}
	// The followers and the batcher serve callers until the last answer.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go n.deps.Views.Config.Run(serving)
	go n.deps.Views.Submissions.Run(serving)
	go n.deps.Views.Progress.Run(serving)
	go n.deps.Batcher.Run(serving)
	go n.judgeReadiness(ctx)
	go n.reloads(serving)
	go n.serveMetrics(serving)
	var g errgroup.Group
	g.Go(func() error { n.deps.Owner.Run(ctx); return nil })
	g.Go(func() error {
		return process.ServeHTTP(serving, process.NewHTTPServer(n.deps.Ready, readTimeout), ready, exitMargin)
	})
	g.Go(func() error { defer stopServing(); return n.serveCallers(ctx, callers) })
	n.deps.Logger.Info("started", "callers", n.settings.Listeners.Callers)
	return g.Wait()
}

// serveCallers serves on for a while after the request to stop, so that the balancer's open connections are answered.
func (n *Node) serveCallers(ctx context.Context, ln net.Listener) error {
	s := process.NewHTTPServer(n.deps.Callers, readTimeout)
	s.IdleTimeout = idleTimeout
	d := process.Drain{Lead: notReadyLead, Quiet: quietTime, Limit: n.settings.StopTime - 2*exitMargin, Finish: exitMargin}
	stopLog := context.AfterFunc(ctx, func() {
		n.deps.Logger.Info("stopping", "serving_on_ms", d.Lead.Milliseconds(), "at_most_ms", d.Limit.Milliseconds())
	})
	defer stopLog()
	return process.ServeDraining(ctx, s, ln, d)
}

func (n *Node) judgeReadiness(ctx context.Context) {
	t := time.NewTicker(readyCheck)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			n.deps.Health.SetReady(false)
			return
		case <-t.C:
		}
		asOf, ok := n.deps.Views.AsOf()
		ready := ok && clock.Now()-asOf < readyAge && n.deps.Config.Load() != nil
		if ready != n.deps.Health.Ready() {
			n.deps.Logger.Info("readiness changed", "ready", ready, "view_age_ms", (clock.Now() - asOf).Milliseconds())
			n.deps.Health.SetReady(ready)
		}
	}
}

// reloads reads the settings again when the platform says that they have changed.
func (n *Node) reloads(ctx context.Context) {
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

// serveMetrics serves the metrics; a node works without them.
func (n *Node) serveMetrics(ctx context.Context) {
	ln, err := process.Listen("metrics", n.settings.Listeners.Metrics)
	if err != nil {
		n.deps.Logger.Warn("metrics not served", "error", err)
		return
	}
	if err := process.ServeHTTP(ctx, process.NewHTTPServer(n.deps.Metrics, readTimeout), ln, exitMargin); err != nil {
		n.deps.Logger.Warn("metrics no longer served", "error", err)
	}
}
