// Command standin-platform simulates the platform's log service and instance list for tests and demonstrations.
package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/process"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
)

const (
	readTimeout = 10 * time.Second
	stopTimeout = 10 * time.Second
)

// program holds the components of the process, as wired by Wire.
type program struct {
	settings *Settings
	logger   *slog.Logger
	log      *standin.Log
	list     *standin.List
	health   *process.Health
	registry *prometheus.Registry
}

func newProgram(s *Settings, l *slog.Logger, log *standin.Log, list *standin.List, h *process.Health,
	r *prometheus.Registry) *program {
	return &program{settings: s, logger: process.WithPrefix(l, "platform"), log: log,
		list: list, health: h, registry: r}
}

// run serves until ctx ends, and then waits for the requests in progress.
func (p *program) run(ctx context.Context) error {
	ln, err := process.Listen("--listen", p.settings.Listen)
	if err != nil {
		return err
	}
	p.registry.MustRegister(p.log)
	mux := http.NewServeMux()
	process.HandleOps(mux, p.health, p.registry)
	mux.Handle("/", standin.NewHandler(ctx, p.log, p.list))
	p.health.SetReady(true)
	defer context.AfterFunc(ctx, func() { p.health.SetReady(false) })()
	p.logger.Info("serving the log service and the instance list", "addr", ln.Addr().String())
	return process.ServeHTTP(ctx, process.NewHTTPServer(mux, readTimeout), ln, stopTimeout)
}

func main() {
	s := &Settings{}
	process.Parse(s, "standin-platform", "Stand-in of the platform's log service and instance list.")
	l := s.NewLogger(os.Stderr)
	if err := s.Check(); err != nil {
		l.Error("settings: not allowed", "error", err)
		os.Exit(2)
	}
	os.Exit(process.Run(l, initialize(s, l).run))
}
