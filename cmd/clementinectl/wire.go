//go:build wireinject

package main

import (
	"github.com/google/wire"

	"clementinewalk.example/clementinewalk/internal/operator"
	"clementinewalk.example/clementinewalk/platform"
)

func initialize(s *operator.Settings, w operator.Streams) *operator.Env {
	panic(wire.Build(operator.NewEnv, operator.NewLog, operator.NewList, operator.NewHTTPClient, newConfigChecker,
		wire.Bind(new(operator.ConfigChecker), new(*platform.ConfigChecker))))
}
