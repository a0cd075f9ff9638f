package main

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/budget"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/scheduler"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

func newEntrySettings(s *Settings) *entry.Settings { return &s.Settings }

func newLinkListen(s *Settings) entry.LinkListen { return entry.LinkListen(s.LinkListen) }

func newSlotAllocator(shard string, epoch uint64, ttl time.Duration) scheduler.SlotAllocator {
	return budget.NewSlotAllocator(shard, epoch, ttl)
}

func newScheduler(s *Settings, inc instance.Incarnation, l *slog.Logger, log platform.Log, list platform.List,
	t *link.Transport, w *upstream.Client, f *config.Follower, r *prometheus.Registry, h *process.Health,
) *scheduler.Scheduler {
	return scheduler.New(scheduler.Settings{ID: instance.ID(s.ID), Incarnation: inc, DataCentre: s.DataCentre,
		LinkAddr: s.LinkListen, HTTPAddr: s.HTTPListen, LeaseInterval: s.LeaseInterval},
		scheduler.Deps{Log: log, List: list, Link: t, Workers: w, Config: f,
			NewSlotAllocator: newSlotAllocator, Logger: l, Registry: r, Health: h})
}
