// Command standin-worker simulates many workers in one process, each on its own loopback port.
package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/process"
	standin "clementinewalk.example/clementinewalk/internal/standin/worker"
)

const (
	readTimeout      = 10 * time.Second
	adminStopTimeout = 2 * time.Second
)

// program holds the components of the process, as wired by Wire.
type program struct {
	settings *Settings
	logger   *slog.Logger
	fleet    *standin.Fleet
	ledger   *standin.Ledger
	health   *process.Health
	registry *prometheus.Registry
}

func newProgram(s *Settings, l *slog.Logger, f *standin.Fleet, ledger *standin.Ledger, h *process.Health,
	r *prometheus.Registry) *program {
	return &program{settings: s, logger: process.WithPrefix(l, "worker"), fleet: f,
		ledger: ledger, health: h, registry: r}
}

// run serves until ctx ends and the workers have drained. The admin endpoint stays open while they drain.
func (p *program) run(ctx context.Context) error {
	admin, err := process.Listen("--admin", p.settings.Admin)
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()
	if err := p.fleet.Open(); err != nil {
		return err
	}
	defer p.fleet.Close()
	p.registry.MustRegister(p.ledger)
	mux := http.NewServeMux()
	process.HandleOps(mux, p.health, p.registry)
	mux.Handle("/admin/", p.fleet.AdminHandler())
	adminCtx, stopAdmin := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() {
		served <- process.ServeHTTP(adminCtx, process.NewHTTPServer(mux, readTimeout), admin, adminStopTimeout)
	}()
	p.logger.Info("serving workers", "workers", p.fleet.Stats().Workers, "admin", admin.Addr().String())
	p.health.SetReady(true)
	p.fleet.Register(ctx)
	p.health.SetReady(false)
	p.logger.Info("stopping; the workers finish their tasks and requests")
	err = p.fleet.Drain(p.settings.LateAfter, p.settings.StopWait)
	stopAdmin()
	if adminErr := <-served; err == nil {
		err = adminErr
	}
	return err
}

func main() {
	s := &Settings{}
	process.Parse(s, "standin-worker", "Stand-in of workers, many in one process.")
	l := s.NewLogger(os.Stderr)
	if err := s.Check(); err != nil {
		l.Error("settings: not allowed", "error", err)
		os.Exit(2)
	}
	p, err := initialize(s, l)
	if err != nil {
		l.Error("worker: process could not be started", "error", err)
		os.Exit(2)
	}
	os.Exit(process.Run(l, p.run))
}
