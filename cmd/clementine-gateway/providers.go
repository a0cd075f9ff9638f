package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/gateway"
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
	platformIdle   = 4
)

func newHealth() *process.Health { return &process.Health{} }

func newTraffic(r *prometheus.Registry) *process.Traffic { return process.NewTraffic(r) }

func newPlatformHTTP(t *process.Traffic) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: t.Count("platform", dial), MaxIdleConnsPerHost: platformIdle}}
}

// dial is what http.Transport uses by default.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, network, addr)
}

func newLog(s *Settings, c *http.Client) *platform.HTTPLog { return platform.NewHTTPLog(s.Platform, c) }

func newList(s *Settings, c *http.Client) *platform.HTTPList {
	return platform.NewHTTPList(s.Platform, c)
}

// newWorkers has a transport of its own, so that calls to the platform and to workers do not share limits.
func newWorkers(t *process.Traffic) *upstream.Client {
	return upstream.NewClient(&http.Client{Transport: &http.Transport{DialContext: t.Count("requests", dial),
		MaxIdleConnsPerHost: workerIdle, IdleConnTimeout: workerIdleTime}})
}

func newKeys(s *Settings, l *slog.Logger, r *prometheus.Registry) (*keys.Store, error) {
	return keys.Open(s.Keys, instance.ID(s.ID), keys.WithLogger(l), keys.WithRegisterer(r))
}

func newConditions(s *Settings, l *slog.Logger) (*link.Conditions, error) {
	if s.Conditions == "" {
		return nil, nil
	}
	return link.OpenConditions(s.Conditions, s.LinkSeed, l)
}

func newTransport(s *Settings, l *slog.Logger, k *keys.Store, c *link.Conditions, r *prometheus.Registry) (*link.Transport, error) {
	return link.NewTransport(link.Settings{Listen: s.LinkListen, Keys: k, Conditions: c, Logger: l, Registerer: r})
}

func newFollower(s *Settings, l *slog.Logger, log *platform.HTTPLog, list *platform.HTTPList, t *link.Transport,
	r *prometheus.Registry) (*config.Follower, error) {
	f := config.NewFollower(log, gateway.FetchConfig(list, t, instance.ID(s.ID)), l)
	return f, errors.WithStack(f.Register(r))
}

func newGateway(s *Settings, l *slog.Logger, log *platform.HTTPLog, list *platform.HTTPList, t *link.Transport, w *upstream.Client,
	f *config.Follower, r *prometheus.Registry, h *process.Health) *gateway.Gateway {
	return gateway.New(gateway.Settings{ID: instance.ID(s.ID), Incarnation: instance.Incarnation(uuid.NewString()),
		DataCentre: s.DataCentre, LinkAddr: s.LinkListen, HTTPAddr: s.HTTPListen, DrainDelay: s.DrainDelay},
		gateway.Deps{Log: log, List: list, Link: t, Workers: w, Config: f, Logger: l, Registry: r, Health: h})
}
