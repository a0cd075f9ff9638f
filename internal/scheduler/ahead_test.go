package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Guards against a new owner that withdraws attempts as never started before their worker has answered it. An earlier
// owner may have started them, so a second attempt could run at the same time. The worker is missing from the instance
// list, so its capacity is unknown and no attempt fits.
func TestAttemptsOfAnEarlierOwnerAreNotGivenUp(t *testing.T) {
	s, sh, now := loadedShard(2, 50, 200)
	s.acquire(sh, now, shard.Ownership{Epoch: 2})
	require.Len(t, sh.own.workers["w0"].attempts, 50)
	require.Zero(t, len(s.queuedAttempts(sh, now)))
	w := sh.own.workers["w0"]
	w.lease.NextRequest()
	w.lease.HandleReply(now, now,
		upstream.LeaseReply{Epoch: 2, Incarnation: "b", Clock: time.Second, Expiry: time.Hour})
	require.Equal(t, 50, len(s.queuedAttempts(sh, now)),
		"the worker has answered, and this owner has started nothing there")
}
