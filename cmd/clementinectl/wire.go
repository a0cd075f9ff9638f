//go:build wireinject

package main

import (
	"github.com/google/wire"

	"clementinewalk.example/clementinewalk/internal/operator"
)

func initialize(s *operator.Settings, w operator.Streams) *operator.Env {
	panic(wire.Build(operator.NewEnv, operator.NewLog, operator.NewList, operator.NewHTTPClient))
}
