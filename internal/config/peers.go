package config

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
)

// peerTimeout bounds the question to one peer, so that a dead one does not delay the start by much.
const peerTimeout = time.Second

// FetchFromPeers returns a function that asks the gateways and schedulers of the instance list for their manifest and gives the newest answer, for a
// process that starts while the log is down.
func FetchFromPeers(list platform.List, caller link.Caller, self instance.ID) func(ctx context.Context) (contract.ConfigFetchReply, error) {
	return func(ctx context.Context) (contract.ConfigFetchReply, error) {
		var best contract.ConfigFetchReply
		members, err := list.Members(ctx, instance.RoleGateway, instance.RoleScheduler)
		if err != nil {
			return best, err
		}
		for _, m := range members {
			if m.ID == self {
				continue
			}
			limited, cancel := context.WithTimeout(ctx, peerTimeout)
			reply, err := caller.Call(limited, m.Addr, &contract.ConfigFetch{})
			cancel()
			if r, ok := reply.(*contract.ConfigFetchReply); err == nil && ok && r.Version > best.Version {
				best = *r
			}
		}
		return best, nil
	}
}
