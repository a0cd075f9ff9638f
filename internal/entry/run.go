package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
)

// Support holds the components that a program needs beside its own work: the link transport, the config follower and
// the instance list.
type Support struct {
	Settings  *Settings
	Follower  *config.Follower
	Transport *link.Transport
	List      platform.List
}

// Run waits for the platform and then runs work until it returns. ctx ends at a graceful shutdown. The link transport,
// the config follower and the functions in extra continue to run after the end of ctx, because work uses them during
// the shutdown to return grants and hand over shards. Their context ends when work has returned. If one of them
// returns, the context of work ends.
func (s *Support) Run(
	ctx context.Context, h link.Handler, work func(ctx context.Context) error, extra ...func(ctx context.Context) error,
) error {
	if err := AwaitPlatform(ctx, s.Settings, s.List); err != nil {
		return err
	}
	supportCtx, stopSupport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSupport()
	ctx, cancelWork := context.WithCancel(ctx)
	defer cancelWork()
	var group errgroup.Group
	components := append([]func(ctx context.Context) error{
		func(ctx context.Context) error { return s.Transport.Serve(ctx, h) },
		s.Follower.Run,
	}, extra...)
	for _, component := range components {
		group.Go(func() error {
			defer cancelWork()
			return component(supportCtx)
		})
	}
	group.Go(func() error {
		defer stopSupport()
		return work(ctx)
	})
	return group.Wait()
}
