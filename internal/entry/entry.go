// Package entry holds the settings and parts that the two programs of an entry instance, gateway and scheduler, have in common.
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
	// workerIdle is the number of idle connections kept for each worker: its slots, so that a full worker needs no new connection.
	workerIdle = 8
	// workerIdleTime is how long an unused connection to a worker is kept.
	workerIdleTime = 90 * time.Second
	// platformIdle holds the long polls of an owner of many shards beside its other calls.
	platformIdle = 32
	dialTimeout  = 2 * time.Second
	// maxPlatformWait bounds the setting of how long a starting process waits for the platform.
	maxPlatformWait = 10 * time.Minute
	platformRetry   = 200 * time.Millisecond
)

// Settings are the flags that the gateway and the scheduler share.
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

// LinkListen and HTTPListen are the addresses of a process, as it listens on them and as others use them.
type (
	LinkListen string
	HTTPListen string
)

// Parts provides everything that both programs use.
var Parts = wire.NewSet(NewHealth, process.NewRegistry, wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
	NewIncarnation, NewTraffic, NewPlatformHTTP, NewLog, NewList, NewWorkers, NewKeys, NewConditions, NewTransport, NewFollower,
	wire.Struct(new(Support), "*"))

// NewHealth returns the health of a process that is not ready yet.
func NewHealth() *process.Health { return &process.Health{} }

// NewIncarnation draws the incarnation of this process.
func NewIncarnation() instance.Incarnation { return instance.Incarnation(uuid.NewString()) }

// NewTraffic returns the counters of outgoing TCP connections.
func NewTraffic(r *prometheus.Registry) *process.Traffic { return process.NewTraffic(r) }

// dialer returns a dialler with the conditions of the links and counters for one use.
func dialer(l LinkListen, c *link.Conditions, t *process.Traffic, use string) process.DialFunc {
	local, err := netip.ParseAddrPort(string(l))
	if c == nil || err != nil {
		return t.Count(use, (&net.Dialer{Timeout: dialTimeout}).DialContext)
	}
	return t.Count(use, c.DialContext(local.Addr()))
}

// PlatformHTTP is the HTTP client for the platform.
type PlatformHTTP struct{ *http.Client }

// NewPlatformHTTP returns the client for the platform.
func NewPlatformHTTP(l LinkListen, c *link.Conditions, t *process.Traffic) PlatformHTTP {
	return PlatformHTTP{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformIdle, DialContext: dialer(l, c, t, "platform")}}}
}

// NewLog returns the client of the log.
func NewLog(s *Settings, c PlatformHTTP) platform.Log {
	return platform.NewHTTPLog(s.Platform, c.Client)
}

// NewList returns the client of the instance list.
func NewList(s *Settings, c PlatformHTTP) platform.List {
	return platform.NewHTTPList(s.Platform, c.Client)
}

// NewWorkers returns the client of the workers. Its transport is its own, so that calls to the platform and to workers do not share limits.
func NewWorkers(l LinkListen, c *link.Conditions, t *process.Traffic) *upstream.Client {
	return upstream.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workerIdle, IdleConnTimeout: workerIdleTime,
		DialContext: dialer(l, c, t, "worker")}})
}

// NewKeys opens the certificate of this process.
func NewKeys(s *Settings, l *slog.Logger, r *prometheus.Registry) (*keys.Store, error) {
	return keys.Open(s.Keys, instance.ID(s.ID), keys.WithLogger(l), keys.WithRegisterer(r))
}

// NewConditions opens the conditions file, or returns nil if there is none.
func NewConditions(s *Settings, l *slog.Logger) (*link.Conditions, error) {
	if s.Conditions == "" {
		return nil, nil
	}
	return link.OpenConditions(s.Conditions, s.LinkSeed, l)
}

// NewTransport opens the QUIC endpoint.
func NewTransport(listen LinkListen, l *slog.Logger, k *keys.Store, c *link.Conditions, r *prometheus.Registry) (*link.Transport, error) {
	return link.NewTransport(link.Settings{Listen: string(listen), Keys: k, Conditions: c, Logger: l, Registerer: r})
}

// NewFollower returns the follower of the config stream.
func NewFollower(s *Settings, l *slog.Logger, log platform.Log, list platform.List, t *link.Transport, r *prometheus.Registry) (*config.Follower, error) {
	f := config.NewFollower(log, config.FetchFromPeers(list, t, instance.ID(s.ID)), l)
	return f, errors.WithStack(f.Register(r))
}

// AwaitPlatform waits until the instance list answers. It returns a *process.PlatformError when the time is over. The log may be down: a
// starting process then takes its manifest from a peer.
func AwaitPlatform(ctx context.Context, s *Settings, list platform.List) error {
	deadline := time.Now().Add(s.PlatformWait)
	for {
		limited, cancel := context.WithDeadline(ctx, deadline)
		_, err := list.Members(limited)
		cancel()
		if err == nil || ctx.Err() != nil {
			return nil
		}
		if !time.Now().Add(platformRetry).Before(deadline) {
			return &process.PlatformError{Addr: s.Platform, Wait: s.PlatformWait, Err: err}
		}
		time.Sleep(platformRetry)
	}
}
