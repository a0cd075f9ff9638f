package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
)

// slowStarts answers starts after a while.
type slowStarts struct {
	*linkedWorkers
	takes time.Duration
	calls atomic.Int64
}

func (s *slowStarts) Start(ctx context.Context, m Member, c StartCall) (CallAnswer, error) {
	s.calls.Add(1)
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
	}
	return s.linkedWorkers.Start(ctx, m, c)
}

// Guards against a planned stop that leaves its successor waiting because a call takes long.
func TestStoppingOwnerReleasesWhileACallWaits(t *testing.T) {
	log, l := memlog.New(), newLinkedWorkers(1)
	_, err := log.Append(context.Background(), "workers", nil, []eventlog.Entry{{Key: "w00", Value: []byte("{}")}})
	require.NoError(t, err)
	s := &slowStarts{linkedWorkers: l, takes: 3 * time.Second}
	i := startInstanceWith(t, log, "a", s, l.decode)
	eventually(t, "a owns", i.isOwner)
	appendSubmission(t, log, "0000000000000001", serviceStep(1))
	eventually(t, "a start is in flight", func() bool { return s.calls.Load() > 0 })
	i.stop()
	<-i.done
	assert.True(t, i.catalog.Owner().Released)
}
