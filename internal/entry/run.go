package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
)

// Support holds the parts that serve a program's own work: the link, the configuration and the platform.
type Support struct {
	Settings  *Settings
	Follower  *config.Follower
	Transport *link.Transport
	List      platform.List
}

// Run waits for the platform and then runs work until it returns; ctx ends at a planned stop. The link, the configuration and extra outlive
// ctx, because a planned stop returns grants and hands over shards through them; their context ends when work has returned. If one of them fails, the
// context of work ends.
func (s *Support) Run(ctx context.Context, h link.Handler, work func(ctx context.Context) error, extra ...func(ctx context.Context) error) error {
	if err := AwaitPlatform(ctx, s.Settings, s.List); err != nil {
		return err
	}
	support, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, fail := context.WithCancel(ctx)
	defer fail()
	var group errgroup.Group
	parts := append([]func(ctx context.Context) error{
		func(ctx context.Context) error { return s.Transport.Serve(ctx, h) },
		s.Follower.Run,
	}, extra...)
	for _, part := range parts {
		group.Go(func() error {
			defer fail()
			return part(support)
		})
	}
	group.Go(func() error {
		defer stop()
		return work(ctx)
	})
	return group.Wait()
}
