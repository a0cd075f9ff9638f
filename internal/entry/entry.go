// Package entry holds the settings and components that gateway and scheduler, the two programs of an entry instance,
// share.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/google/wire"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/keys"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// maxIdleConnsPerWorker is the number of idle connections that are kept for each worker. It is the usual number of
	// slots, so that a fully loaded worker needs no new connections.
	maxIdleConnsPerWorker = 8
	// workerIdleTimeout is the time after which an idle connection to a worker is closed.
	workerIdleTimeout = 90 * time.Second
	// maxIdlePlatformConns is enough for the long polls of an owner of many shards and its other calls.
	maxIdlePlatformConns = 32
	dialTimeout          = 2 * time.Second
	// maxPlatformWait bounds the setting --platform-wait.
	maxPlatformWait       = 10 * time.Minute
	platformRetryInterval = 200 * time.Millisecond
)

// Settings are the flags that gateway and scheduler share.
type Settings struct {
	process.LogSettings
	ID           string        `required:"" env:"CLEMENTINE_ID" help:"Id of this process; its certificate must have the same name."`
	DataCentre   string        `required:"" env:"CLEMENTINE_DATA_CENTRE" help:"Data centre of this instance."`
	Platform     string        `env:"CLEMENTINE_PLATFORM" default:"http://127.0.0.1:7000" help:"URL of the platform's log service and instance list."`
	PlatformWait time.Duration `env:"CLEMENTINE_PLATFORM_WAIT" default:"15s" help:"Time after which a starting process gives up if the platform's instance list does not answer."`
	Keys         string        `env:"CLEMENTINE_KEYS" default:"keys" help:"Directory with the certificate and key of this process and the authority's certificate."`
	Conditions   string        `env:"CLEMENTINE_LINK_CONDITIONS" help:"File with simulated conditions of the links between data centres, for tests and demonstrations."`
	LinkSeed     uint64        `env:"CLEMENTINE_LINK_SEED" default:"1" help:"Seed of the simulated losses and delays."`
}

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	return process.CheckRange("--platform-wait", s.PlatformWait, 0, maxPlatformWait)
}

// LinkListen and HTTPListen are the addresses on which a process listens and at which other processes call it.
type (
	LinkListen string
	HTTPListen string
)

// ProviderSet is the Wire provider set for the components that both programs use.
var ProviderSet = wire.NewSet(NewHealth, process.NewRegistry,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
	NewIncarnation, NewTraffic, NewPlatformHTTP, NewLog, NewList, NewWorkers, NewKeys, NewConditions, NewTransport,
	NewFollower,
	wire.Struct(new(Support), "*"))

// NewHealth returns the health of the process, which is not ready yet.
func NewHealth() *process.Health { return &process.Health{} }

// NewIncarnation returns a new random incarnation for this process.
func NewIncarnation() instance.Incarnation { return instance.Incarnation(uuid.NewString()) }

// NewTraffic returns the counters of outgoing TCP connections.
func NewTraffic(r *prometheus.Registry) *process.Traffic { return process.NewTraffic(r) }

// dialer returns a dial function that counts its traffic under the label use. It simulates the link conditions c unless
// they are nil.
func dialer(l LinkListen, c *link.Conditions, t *process.Traffic, use string) process.DialFunc {
	local, err := netip.ParseAddrPort(string(l))
	if c == nil || err != nil {
		return t.Count(use, (&net.Dialer{Timeout: dialTimeout}).DialContext)
	}
	return t.Count(use, c.DialContext(local.Addr()))
}

// PlatformHTTP is the HTTP client for calls to the platform.
type PlatformHTTP struct{ *http.Client }

// NewPlatformHTTP returns the HTTP client for calls to the platform.
func NewPlatformHTTP(l LinkListen, c *link.Conditions, t *process.Traffic) PlatformHTTP {
	return PlatformHTTP{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePlatformConns,
		DialContext: dialer(l, c, t, "platform")}}}
}

// NewLog returns the client of the platform's log service.
func NewLog(s *Settings, c PlatformHTTP) platform.Log {
	return platform.NewHTTPLog(s.Platform, c.Client)
}

// NewList returns the client of the platform's instance list.
func NewList(s *Settings, c PlatformHTTP) platform.List {
	return platform.NewHTTPList(s.Platform, c.Client)
}

// NewWorkers returns the client for calls to workers. It has its own transport, so that calls to workers and to the
// platform do not share connection limits.
func NewWorkers(l LinkListen, c *link.Conditions, t *process.Traffic) *upstream.Client {
	return upstream.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerWorker,
		IdleConnTimeout: workerIdleTimeout, DialContext: dialer(l, c, t, "worker")}})
}

// NewKeys opens the certificates of this process.
func NewKeys(s *Settings, l *slog.Logger, r *prometheus.Registry) (*keys.Store, error) {
	return keys.Open(s.Keys, instance.ID(s.ID), keys.WithLogger(l), keys.WithRegisterer(r))
}

// NewConditions opens the file with the simulated link conditions. It returns nil if none is set.
func NewConditions(s *Settings, l *slog.Logger) (*link.Conditions, error) {
	if s.Conditions == "" {
		return nil, nil
	}
	return link.OpenConditions(s.Conditions, s.LinkSeed, l)
}

// NewTransport opens the QUIC endpoint of this process.
func NewTransport(
	listen LinkListen, l *slog.Logger, k *keys.Store, c *link.Conditions, r *prometheus.Registry,
) (*link.Transport, error) {
	return link.NewTransport(link.Settings{Listen: string(listen), Keys: k, Conditions: c, Logger: l, Registerer: r})
}

// NewFollower returns the follower of the config stream and registers its metric.
func NewFollower(
	s *Settings, l *slog.Logger, log platform.Log, list platform.List, t *link.Transport, r *prometheus.Registry,
) (*config.Follower, error) {
	f := config.NewFollower(log, config.FetchFromPeers(list, t, instance.ID(s.ID)), l)
	return f, errors.WithStack(f.Register(r))
}

// AwaitPlatform waits until the instance list answers. It returns a *process.PlatformError if it does not answer within
// the setting --platform-wait, and nil if ctx ends. It does not wait for the log, because a starting process can fetch
// its manifest from a peer.
func AwaitPlatform(ctx context.Context, s *Settings, list platform.List) error {
	deadline := time.Now().Add(s.PlatformWait)
	for {
		callCtx, cancel := context.WithDeadline(ctx, deadline)
		_, err := list.Members(callCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return nil
		}
		if !time.Now().Add(platformRetryInterval).Before(deadline) {
			return &process.PlatformError{Addr: s.Platform, Wait: s.PlatformWait, Err: err}
		}
		time.Sleep(platformRetryInterval)
	}
}
