//go:build wireinject

package main

import (
	"log/slog"

	"github.com/google/wire"

	"clementinewalk.example/clementinewalk/internal/entry"
)

func initialize(s *Settings, l *slog.Logger) (*program, error) {
	panic(wire.Build(entry.ProviderSet, wire.Struct(new(program), "*"), newEntrySettings, newLinkListen, newGateway))
}
