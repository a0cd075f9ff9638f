//go:build wireinject

package main

import (
	"log/slog"

	"github.com/google/wire"

	"clementinewalk.example/clementinewalk/internal/process"
)

func initialize(s *Settings, l *slog.Logger) *program {
	panic(wire.Build(newProgram, newLog, newList, process.NewRegistry, newHealth))
}
