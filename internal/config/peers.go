package config

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
)

// peerTimeout bounds the request to one peer, so that an unreachable one delays startup by at most this time.
const peerTimeout = time.Second

// FetchFromPeers returns a Fetch function that requests the manifest from each gateway and scheduler of the instance
// list except self, and returns the newest one. Peers that do not answer are left out. It serves processes that start
// while the log is unavailable.
func FetchFromPeers(
	list platform.List, caller link.Caller, self instance.ID,
) func(ctx context.Context) (contract.ConfigFetchReply, error) {
	return func(ctx context.Context) (contract.ConfigFetchReply, error) {
		var newest contract.ConfigFetchReply
		members, err := list.Members(ctx, instance.RoleGateway, instance.RoleScheduler)
		if err != nil {
			return newest, err
		}
		for _, m := range members {
			if m.ID == self {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			reply, err := caller.Call(callCtx, m.Addr, &contract.ConfigFetch{})
			cancel()
			if r, ok := reply.(*contract.ConfigFetchReply); err == nil && ok && r.Offset > newest.Offset {
				newest = *r
			}
		}
		return newest, nil
	}
}
