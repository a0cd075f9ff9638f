package main

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clementinewalk.example/clementinewalk/internal/agent"
	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/intake"
	"clementinewalk.example/clementinewalk/internal/node"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/relay"
	"clementinewalk.example/clementinewalk/platform"
)

const (
	// leaseDuration is the duration of a worker's lease, unless the platform allows less. It is long enough for a
	// change of owner (about 3 s) and a second attempt, and short enough to restart the tasks of a lost worker while
	// the result of their submission is still useful.
	leaseDuration = 5 * time.Second
	// isolationLimit is how long an owner continues without a confirmed append. With the lease, work continues through
	// a log outage of 10 s.
	isolationLimit = 5 * time.Second
	// retentionMargin is added to the time for which the status of a submission can be queried, because repeated
	// requests may arrive late.
	retentionMargin = time.Minute
	// visibilityMargin is subtracted from the time within which an accepted submission must be visible at every
	// instance. The result is the maximum age of the view from which a submission may be reported as unknown.
	visibilityMargin = 800 * time.Millisecond
	// configMargin is subtracted from the time within which a configuration must be in force at every instance. The
	// result is maxConfigAge.
	configMargin = 300 * time.Millisecond
)

const (
	// bodyShare is the part of the memory for the bodies of callers and peers, as a divisor: the owner needs most of it
	// for its submissions. workFactor is what a submission takes in all: its text, its decoded form and two encoded
	// copies on the way to the log.
	bodyShare  = 8
	workFactor = 4
)

const (
	// acceptedShare is the part of the memory for accepted submissions, as a divisor. A takeover reads their records beside what
	// they take, and the callers, the views and the connections take the rest.
	acceptedShare = 2
	// smallestMemory is the memory of the smallest instances. Larger ones accept no more, since a small one may have to take over.
	smallestMemory = 192 << 20
	// overlapShare is the part of the memory for accepted submissions that overlapping rounds of schedules may take in addition.
	overlapShare = 4
)

// acceptedLimit returns the memory that accepted submissions may take; 0 if the memory of the process is not limited.
func acceptedLimit(s *platform.Settings) int64 {
	return min(s.MemoryBytes, smallestMemory) / acceptedShare
}

// newGate returns the bounds of what callers and peers take.
func newGate(s *platform.Settings, l *slog.Logger, r *prometheus.Registry) *ingress.Gate {
	return ingress.New(ingress.Settings{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors, BodyShare: bodyShare,
		WorkFactor: workFactor}, process.WithPrefix(l, "ingress"), r)
}

func newStore(s *platform.Settings) eventlog.Log {
	return platform.NewStore(s.StoreAddr, platform.NewTransport())
}

// newWorkers returns the calls that this instance makes itself, for its own ownership and for that of others.
func newWorkers(s *platform.Settings) *dispatch.LimitedWorkers {
	return dispatch.NewLimitedWorkers(platform.NewWorkerClient(platform.NewWorkerTransport()), s.LinkBytesPerSecond)
}

// newPool returns the calls of the owner.
func newPool(s *platform.Settings, w *dispatch.LimitedWorkers, c *catalog.Catalog, l *slog.Logger,
	r *prometheus.Registry) *agent.Pool {
	self := agent.Instance{Name: s.Instance, DataCentre: s.DataCentre, Cores: s.Cores,
		LinkBytesPerSecond: s.LinkBytesPerSecond}
	return agent.NewPool(self, w, agent.Limits{Task: platform.TaskCallTimeout, Lease: platform.LeaseCallTimeout},
		relay.DialSession, c.Endpoints, process.WithPrefix(l, "agents"), r)
}

func newAgent(s *platform.Settings, w *dispatch.LimitedWorkers, l *slog.Logger) *agent.Server {
	return agent.NewServer(w, s.LinkBytesPerSecond, process.WithPrefix(l, "agent"))
}

func newAdvisor(s *platform.Settings) dispatch.Advisor {
	return platform.NewAdvisor(s.AdvisorAddr, platform.NewTransport())
}

func newTopics() node.Topics {
	return node.Topics{Config: platform.TopicConfig, ConfigKey: platform.ConfigKey,
		Submissions: platform.TopicSubmissions, Progress: platform.TopicProgress}
}

func newConfig() *queue.Current { return &queue.Current{} }

func newCatalog(l *slog.Logger) *catalog.Catalog {
	return catalog.New(process.WithPrefix(l, "catalog"))
}

// maxConfigAge returns the maximum age of the view of the configuration from which a queue may be reported as missing.
func maxConfigAge(s *platform.Settings) time.Duration { return s.ConfigApply - configMargin }

// newMonitor returns the log for the calls of the callers' side. The owner's appends have queues of their own.
func newMonitor(log eventlog.Log, t node.Topics, l *slog.Logger, r *prometheus.Registry) *eventlog.Monitor {
	return eventlog.NewMonitor(log, t.Submissions, process.WithPrefix(l, "intake"), r)
}

func newViews(s *platform.Settings, log *eventlog.Monitor, t node.Topics, c *catalog.Catalog, q *queue.Current,
	l *slog.Logger, r *prometheus.Registry) *node.Views {
	d := node.Decoders{Config: platform.DecodeConfig, Closure: platform.DecodeClosure}
	return node.NewViews(log, t, d, c, q, maxConfigAge(s), process.WithPrefix(l, "views"), r)
}

func logLimits(s *platform.Settings) eventlog.Limits {
	return eventlog.Limits{RecordBytes: s.RecordBytes, AppendBytes: s.AppendBytes}
}

func newBatcher(s *platform.Settings, log *eventlog.Monitor, t node.Topics, l *slog.Logger) *eventlog.Batcher {
	return eventlog.NewBatcher(log, t.Submissions, logLimits(s), process.WithPrefix(l, "intake"))
}

func newRelayClient() *relay.Client { return relay.NewClient() }

func newCollectors(s *platform.Settings, client *relay.Client, c *catalog.Catalog, log *eventlog.Monitor, l *slog.Logger,
	r *prometheus.Registry) *intake.Collectors {
	return intake.NewCollectors(s.Instance, client, c, log, process.WithPrefix(l, "intake"), r)
}

func newIntakeAPI(
	s *platform.Settings, b *eventlog.Batcher, client *relay.Client, collectors *intake.Collectors, c *catalog.Catalog,
	q *queue.Current, v *node.Views, l *slog.Logger, r *prometheus.Registry,
) *intake.API {
	ages := intake.MaxAges{Submissions: s.VisibilityLimit - visibilityMargin, Config: maxConfigAge(s)}
	l = process.WithPrefix(l, "intake")
	peers := intake.NewPeers(s.Instance, client, c, v.Submissions, l, r)
	log := &intake.RelayedAppender{Local: b, Peers: peers, Collectors: collectors}
	api := intake.New(log, c, q, v, v.Submissions, v.Config, ages, l, r)
	api.UseLimits(logLimits(s))
	api.UseMemoryLimit(acceptedLimit(s))
	api.UsePeers(peers)
	api.UseCollectors(collectors)
	return api
}

func newRelay(s *platform.Settings, b *eventlog.Batcher, api *intake.API, c *intake.Collectors, a *agent.Server, g *ingress.Gate,
	l *slog.Logger) *node.Relay {
	return &node.Relay{Instance: s.Instance, Addr: s.RelayAddr, Log: b, Handler: intake.NewPeerHandler(b, api, c),
		Sessions: a, Published: catalog.Endpoint{DataCentre: s.DataCentre, Cores: s.Cores,
			LinkBytesPerSecond: s.LinkBytesPerSecond}, Gate: g, Logger: process.WithPrefix(l, "relay")}
}

func newOwner(
	s *platform.Settings, log eventlog.Log, w *agent.Pool, a dispatch.Advisor, t node.Topics, q *queue.Current,
	c *catalog.Catalog, v *node.Views, l *slog.Logger, r *prometheus.Registry,
) *dispatch.Owner {
	settings := dispatch.Settings{Instance: s.Instance, Cores: s.Cores,
		LinkBytesPerSecond:    s.LinkBytesPerSecond,
		LogReadBytesPerSecond: s.LogReadBytesPerSecond, ProgressTopic: t.Progress, TasksTopic: platform.TopicTasks,
		WorkersTopic: platform.TopicWorkers, SubmissionsTopic: t.Submissions,
		Retention: s.StatusRetention + retentionMargin, Limits: logLimits(s), AcceptedLimit: acceptedLimit(s),
		Params: dispatch.Params{Lease: min(leaseDuration, s.MaxLease), MaxLease: s.MaxLease,
			Isolation: isolationLimit, EvacuationLimit: s.EvacuationLimit, ObjectiveTolerance: s.InterferenceTolerance,
			RemoteSlowdown: s.RemoteSlowdown, RecordBytes: s.RecordBytes,
			OverlapBytes: acceptedLimit(s) / overlapShare}}
	owner := dispatch.NewOwner(settings, log, w, a, platform.DecodeMember, q, c,
		dispatch.Views{Submissions: v.Submissions, Progress: v.Progress}, v.RoleChanged, process.WithPrefix(l, "owner"))
	owner.UseMetrics(dispatch.NewMetrics(r))
	return owner
}

func newNode(o *Options, s *platform.Settings, t node.Topics, q *queue.Current, v *node.Views, b *eventlog.Batcher,
	owner *dispatch.Owner, api *intake.API, peers *node.Relay, g *ingress.Gate, l *slog.Logger, r *prometheus.Registry) *node.Node {
	health := &process.Health{}
	addr := netip.MustParseAddrPort(s.CallerAddr).Addr()
	return node.New(node.Settings{Instance: s.Instance, Topics: t, StopTime: s.StopTime,
		Listeners: node.Listeners{Callers: s.CallerAddr, Ready: s.ReadyAddr,
			Metrics: netip.AddrPortFrom(addr, o.MetricsPort).String()}},
		node.Deps{Config: q, Views: v, Batcher: b, Owner: owner, Relay: peers, Gate: g,
			Callers: platform.NewCallers(api, g, s.AdvisorAddr != "", process.WithPrefix(l, "callers")),
			Ready:   platform.NewReady(health.Ready), Metrics: promhttp.HandlerFor(r, promhttp.HandlerOpts{}),
			Reload: checkChangedSettings(o, l),
			Health: health, Logger: process.WithPrefix(l, "node")})
}

// checkChangedSettings returns a function that checks a changed settings file. The settings themselves are not applied,
// because the addresses and limits of a running process do not change.
func checkChangedSettings(o *Options, l *slog.Logger) func() {
	return func() {
		if _, err := platform.ReadSettings(o.Boot); err != nil {
			l.Warn("settings: changed file cannot be used; keeping the current settings", "error", err)
			return
		}
		l.Info("settings: changed file is valid; keeping the current settings until the next start")
	}
}
