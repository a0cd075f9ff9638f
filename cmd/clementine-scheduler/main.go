// Command clementine-scheduler competes for shards of workers, places, resumes and evicts tasks, and grants slots to gateways.
package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/scheduler"
)

const (
	opsReadTimeout = 10 * time.Second
	opsStopWait    = 2 * time.Second
)

// program is the wired process.
type program struct {
	settings  *Settings
	scheduler *scheduler.Scheduler
	follower  *config.Follower
	transport *link.Transport
	list      platform.List
	registry  *prometheus.Registry
}

func newProgram(s *Settings, sch *scheduler.Scheduler, f *config.Follower, t *link.Transport, l platform.List, r *prometheus.Registry) *program {
	return &program{settings: s, scheduler: sch, follower: f, transport: t, list: l, registry: r}
}

// run works until ctx ends. Link, configuration and the operators' endpoint outlive the handover of the shards.
func (p *program) run(ctx context.Context) error {
	ln, err := process.Listen("--http-listen", p.settings.HTTPListen)
	if err != nil {
		return err
	}
	if err := entry.AwaitPlatform(ctx, &p.settings.Settings, p.list); err != nil {
		return err
	}
	support, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// A failed part ends the others.
	ctx, fail := context.WithCancel(ctx)
	defer fail()
	var group errgroup.Group
	group.Go(func() error {
		defer fail()
		return p.transport.Serve(support, p.scheduler.Handle)
	})
	group.Go(func() error {
		defer fail()
		return p.follower.Run(support)
	})
	group.Go(func() error {
		defer fail()
		return process.ServeHTTP(support, process.NewHTTPServer(p.scheduler.Ops(p.registry), opsReadTimeout), ln, opsStopWait)
	})
	group.Go(func() error {
		defer stop()
		return p.scheduler.Run(ctx)
	})
	return group.Wait()
}

func main() {
	s := &Settings{}
	process.Parse(s, "clementine-scheduler", "Competes for shards of workers, places their tasks and grants their slots to gateways.")
	l := s.NewLogger(os.Stderr)
	if err := s.Check(); err != nil {
		l.Error("settings: not allowed", "error", err)
		os.Exit(2)
	}
	os.Exit(start(s, l))
}

func start(s *Settings, l *slog.Logger) int {
	p, err := initialize(s, l)
	if err != nil {
		l.Error("process: not started", "error", err)
		return 2
	}
	return process.Run(l, p.run)
}
