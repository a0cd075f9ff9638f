//go:build wireinject

package main

import (
	"log/slog"

	"github.com/google/wire"

	"clementinewalk.example/clementinewalk/internal/load"
)

func initialize(s *load.Settings, l *slog.Logger, o load.Outputs) (*load.Runner, error) {
	panic(wire.Build(load.NewRunner, load.NewHTTPClient))
}
