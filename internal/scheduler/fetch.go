package scheduler

import (
	"context"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
)

// FetchConfig returns a function that asks the other gateways and schedulers for their manifest and returns the newest one. A
// process that starts while the log is down uses it.
func FetchConfig(list platform.List, caller link.Caller, self instance.ID) func(ctx context.Context) (contract.ConfigFetchReply, error) {
	return func(ctx context.Context) (contract.ConfigFetchReply, error) {
		var best contract.ConfigFetchReply
		members, err := list.Members(ctx, instance.RoleGateway, instance.RoleScheduler)
		if err != nil {
			return best, err
		}
		for _, m := range members {
			if m.ID == self || ctx.Err() != nil {
				continue
			}
			if r := fetchFrom(ctx, caller, m.Addr); r != nil && r.Version > best.Version {
				best = *r
			}
		}
		return best, nil
	}
}

func fetchFrom(ctx context.Context, caller link.Caller, addr string) *contract.ConfigFetchReply {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := caller.Call(ctx, addr, &contract.ConfigFetch{})
	r, ok := reply.(*contract.ConfigFetchReply)
	if err != nil || !ok {
		return nil
	}
	return r
}
