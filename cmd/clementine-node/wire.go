//go:build wireinject

package main

import (
	"log/slog"

	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/node"
	"clementinewalk.example/clementinewalk/platform"
)

func initialize(o *Options, s *platform.Settings, l *slog.Logger, r *prometheus.Registry) *node.Node {
	panic(wire.Build(newStore, newWorkers, newAdvisor, newTopics, newConfig, newCatalog, newViews,
		newMonitor, newRelayClient, newCollectors, newBatcher, newGate, newIntakeAPI, newPool, newAgent, newRelay, newOwner, newNode))
}
