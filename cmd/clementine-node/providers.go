package main

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/intake"
	"clementinewalk.example/clementinewalk/internal/node"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/platform"
)

const (
	// leaseTime is what a renewal grants, at most what the platform allows: long enough for a change of owner (about 3 s) and a
	// second attempt, short enough to start the tasks of a lost worker anew while their submission is still worth something.
	leaseTime = 5 * time.Second
	// isolation is how long an owner acts without a confirmed append. With the lease it bridges an outage of the log of 10 s.
	isolation = 5 * time.Second
	// retentionMargin is kept beyond the time for which a submission can be asked for: repeats of a request may arrive late.
	retentionMargin = time.Minute
	// unknownMargin is kept between the age of the view and the time after which an accepted submission must be known everywhere.
	unknownMargin = 800 * time.Millisecond
	// configMargin is kept between the age of the configuration and the time after which it must be in force everywhere.
	configMargin = 300 * time.Millisecond
)

func newStore(s *platform.Settings) eventlog.Log {
	return platform.NewStore(s.StoreAddr, platform.NewTransport())
}

func newWorkers() dispatch.Workers { return platform.NewWorkerClient(platform.NewTransport()) }

func newAdvisor(s *platform.Settings) dispatch.Advisor {
	return platform.NewAdvisor(s.AdvisorAddr, platform.NewTransport())
}

func newTopics() node.Topics {
	return node.Topics{Config: platform.TopicConfig, ConfigKey: platform.ConfigKey, Submissions: platform.TopicSubmissions, Progress: platform.TopicProgress}
}

func newConfig() *queue.Current { return &queue.Current{} }

func newCatalog(l *slog.Logger) *catalog.Catalog { return catalog.New(process.Part(l, "catalog")) }

// configAge is how old the view of the configuration may be when a queue is said not to exist.
func configAge(s *platform.Settings) time.Duration { return s.ConfigApply - configMargin }

func newViews(s *platform.Settings, log eventlog.Log, t node.Topics, c *catalog.Catalog, q *queue.Current, l *slog.Logger) *node.Views {
	return node.NewViews(log, t, platform.DecodeConfig, c, q, configAge(s), process.Part(l, "views"))
}

func newBatcher(log eventlog.Log, t node.Topics, l *slog.Logger) *eventlog.Batcher {
	return eventlog.NewBatcher(log, t.Submissions, process.Part(l, "intake"))
}

func newDesk(s *platform.Settings, b *eventlog.Batcher, c *catalog.Catalog, q *queue.Current, v *node.Views, l *slog.Logger, r *prometheus.Registry) *intake.API {
	ages := intake.MaxAges{Submissions: s.Visible - unknownMargin, Config: configAge(s)}
	return intake.New(b, c, q, v, v.Submissions, v.Config, ages, process.Part(l, "intake"), r)
}

func newOwner(s *platform.Settings, log eventlog.Log, w dispatch.Workers, a dispatch.Advisor, t node.Topics, q *queue.Current, c *catalog.Catalog, v *node.Views, l *slog.Logger) *dispatch.Owner {
	settings := dispatch.Settings{Instance: s.Instance, Cores: s.Cores, ProgressTopic: t.Progress, WorkersTopic: platform.TopicWorkers, SubmissionsTopic: t.Submissions, Retention: s.StatusTime + retentionMargin,
		Params: dispatch.Params{Lease: min(leaseTime, s.MaxLease), Isolation: isolation, Tolerance: s.Harm}}
	return dispatch.NewOwner(settings, log, w, a, platform.DecodeMember, q, c, dispatch.Views{Submissions: v.Submissions, Progress: v.Progress},
		v.RoleChanged, process.Part(l, "owner"))
}

func newNode(o *Options, s *platform.Settings, t node.Topics, q *queue.Current, v *node.Views, b *eventlog.Batcher, owner *dispatch.Owner,
	d *intake.API, l *slog.Logger, r *prometheus.Registry) *node.Node {
	health := &process.Health{}
	addr := netip.MustParseAddrPort(s.CallerAddr).Addr()
	return node.New(node.Settings{Instance: s.Instance, Topics: t, StopTime: s.StopTime, Listeners: node.Listeners{Callers: s.CallerAddr,
		Ready: s.ReadyAddr, Metrics: netip.AddrPortFrom(addr, o.MetricsPort).String()}},
		node.Deps{Config: q, Views: v, Batcher: b, Owner: owner, Callers: platform.NewCallers(d, s.AdvisorAddr != "", process.Part(l, "callers")),
			Ready: platform.NewReady(health.Ready), Metrics: promhttp.HandlerFor(r, promhttp.HandlerOpts{}), Reload: reload(o, l),
			Health: health, Logger: process.Part(l, "node")})
}

// reload checks a changed settings file. What a running process uses of it, its addresses and bounds, does not change in its lifetime.
func reload(o *Options, l *slog.Logger) func() {
	return func() {
		if _, err := platform.ReadSettings(o.Boot); err != nil {
			l.Warn("settings: not taken over", "error", err)
			return
		}
		l.Info("settings: read again")
	}
}
