package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Guards against a new owner that closes attempts as never started before their worker has answered it: an earlier owner may have started
// them, and a second attempt would run beside the first. A worker that the instance list misses has no known capacity, so nothing fits there.
func TestAttemptsOfAnEarlierOwnerAreNotGivenUp(t *testing.T) {
	s, sh, now := loadedShard(2, 50, 200)
	s.acquire(sh, now, shard.Ownership{Epoch: 2})
	require.Len(t, sh.own.workers["w0"].tasks, 50)
	require.Zero(t, len(s.waiting(sh, now)))
	w := sh.own.workers["w0"]
	w.lease.Next()
	w.lease.Reply(now, now, upstream.LeaseReply{Epoch: 2, Boot: "b", Clock: time.Second, Expiry: time.Hour})
	require.Equal(t, 50, len(s.waiting(sh, now)), "the worker has answered, and this owner has started nothing there")
}
