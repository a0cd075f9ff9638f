// Command clementine-scheduler acquires ownership of shards of workers, places, resumes and evicts their tasks, and
// grants their slots to gateways.
package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/scheduler"
)

const (
	opsReadTimeout = 10 * time.Second
	opsStopTimeout = 2 * time.Second
)

// program holds the components of the process, as wired by Wire.
type program struct {
	settings  *Settings
	support   *entry.Support
	scheduler *scheduler.Scheduler
	registry  *prometheus.Registry
	logger    *slog.Logger
}

// run runs until ctx ends and the shards have been handed over.
func (p *program) run(ctx context.Context) error {
	ln, err := process.Listen("--http-listen", p.settings.HTTPListen)
	if err != nil {
		return err
	}
	server := process.NewHTTPServer(p.scheduler.Ops(p.registry), opsReadTimeout)
	gate := ingress.New(ingress.Settings{}, process.WithPrefix(p.logger, "ingress"), p.registry)
	ln = gate.GuardOps(server, ln, "ops")
	return p.support.Run(ctx, p.scheduler.Handle, p.scheduler.Run,
		func(ctx context.Context) error { return process.ServeHTTP(ctx, server, ln, opsStopTimeout) })
}

func main() {
	s := &Settings{}
	process.Parse(s, "clementine-scheduler",
		"Competes for shards of workers, places their tasks and grants their slots to gateways.")
	l := s.NewLogger(os.Stderr)
	if err := s.Check(); err != nil {
		l.Error("settings: not allowed", "error", err)
		os.Exit(2)
	}
	os.Exit(start(s, l))
}

// start builds and runs the program and returns the exit code of the process.
func start(s *Settings, l *slog.Logger) int {
	p, err := initialize(s, l)
	if err != nil {
		l.Error("process: not started", "error", err)
		return 2
	}
	return process.Run(l, p.run)
}
