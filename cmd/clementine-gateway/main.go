// Command clementine-gateway accepts requests and job submissions from callers, performs admission control, and routes
// requests to upstreams.
package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"

	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/gateway"
	"clementinewalk.example/clementinewalk/internal/process"
)

// program holds the components of the process, as wired by Wire.
type program struct {
	settings *Settings
	support  *entry.Support
	gateway  *gateway.Gateway
}

// run serves until ctx ends and the graceful shutdown is complete.
func (p *program) run(ctx context.Context) error {
	ln, err := process.Listen("--http-listen", p.settings.HTTPListen)
	if err != nil {
		return err
	}
	return p.support.Run(ctx, p.gateway.Handle, func(ctx context.Context) error { return p.gateway.Run(ctx, ln) })
}

func main() {
	s := &Settings{}
	process.Parse(s, "clementine-gateway",
		"Accepts requests and jobs, admits them, routes them to upstreams and answers.")
	l := s.NewLogger(os.Stderr)
	if err := s.Check(); err != nil {
		l.Error("settings: not allowed", "error", err)
		os.Exit(2)
	}
	os.Exit(start(s, l))
}

// start builds and runs the program and returns the exit code of the process.
func start(s *Settings, l *slog.Logger) int {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB<<20)))
	}
	p, err := initialize(s, l)
	if err != nil {
		l.Error("process: not started", "error", err)
		return 2
	}
	return process.Run(l, p.run)
}
