package main

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/gateway"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

func newEntrySettings(s *Settings) *entry.Settings { return &s.Settings }

func newLinkListen(s *Settings) entry.LinkListen { return entry.LinkListen(s.LinkListen) }

func newGateway(s *Settings, inc instance.Incarnation, l *slog.Logger, log platform.Log, list platform.List,
	t *link.Transport, w *upstream.Client, f *config.Follower, r *prometheus.Registry, h *process.Health,
) *gateway.Gateway {
	return gateway.New(gateway.Settings{ID: instance.ID(s.ID), Incarnation: inc, DataCentre: s.DataCentre,
		LinkAddr: s.LinkListen, HTTPAddr: s.HTTPListen, DrainDelay: s.DrainDelay,
		MemoryBytes: int64(s.MemoryMB) << 20, Descriptors: s.MaxFDs},
		gateway.Deps{Log: log, List: list, Link: t, Workers: w, Config: f, Logger: l, Registry: r, Health: h})
}
