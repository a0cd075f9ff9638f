// Command clementine-gateway accepts requests and job submissions, admits them, routes them to upstreams and answers.
package main

import (
	"context"
	"log/slog"
	"os"

	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/gateway"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
)

// program is the wired process.
type program struct {
	settings  *Settings
	gateway   *gateway.Gateway
	follower  *config.Follower
	transport *link.Transport
	list      platform.List
}

func newProgram(s *Settings, g *gateway.Gateway, f *config.Follower, t *link.Transport, l platform.List) *program {
	return &program{settings: s, gateway: g, follower: f, transport: t, list: l}
}

// run serves until ctx ends. Link and configuration outlive the gateway's planned stop, which returns grants over the link.
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
		return p.transport.Serve(support, p.gateway.Handle)
	})
	group.Go(func() error {
		defer fail()
		return p.follower.Run(support)
	})
	group.Go(func() error {
		defer stop()
		return p.gateway.Run(ctx, ln)
	})
	return group.Wait()
}

func main() {
	s := &Settings{}
	process.Parse(s, "clementine-gateway", "Accepts requests and jobs, admits them, routes them to upstreams and answers.")
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
