//go:build wireinject

package main

import (
	"log/slog"

	"github.com/google/wire"

	"clementinewalk.example/clementinewalk/internal/process"
)

func initialize(s *Settings, l *slog.Logger) (*program, error) {
	panic(wire.Build(newProgram, newHealth, process.NewRegistry, newTraffic, newPlatformHTTP, newLog, newList, newWorkers, newKeys, newConditions,
		newTransport, newFollower, newGateway))
}
