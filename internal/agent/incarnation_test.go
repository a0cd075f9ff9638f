package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/dispatch"
)

// incarnationRecorder notes the incarnation that each call is meant for.
type incarnationRecorder struct {
	mu   sync.Mutex
	seen []dispatch.Incarnation
}

func (r *incarnationRecorder) note(m dispatch.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, m.Incarnation)
}

func (r *incarnationRecorder) Start(_ context.Context, m dispatch.Member, _ dispatch.StartCall) (dispatch.CallAnswer, error) {
	r.note(m)
	return dispatch.CallAnswer{}, nil
}

func (r *incarnationRecorder) Stop(_ context.Context, m dispatch.Member, _ dispatch.StopCall) (dispatch.CallAnswer, error) {
	r.note(m)
	return dispatch.CallAnswer{}, nil
}

func (r *incarnationRecorder) LimitCPU(_ context.Context, m dispatch.Member, _ dispatch.CPULimitCall) (dispatch.CallAnswer, error) {
	r.note(m)
	return dispatch.CallAnswer{}, nil
}

func (r *incarnationRecorder) Renew(_ context.Context, m dispatch.Member, _ dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	r.note(m)
	return dispatch.LeaseAnswer{}, nil
}

// Guards against an agent that makes calls for any incarnation of a worker, or for one that it was told of before.
func TestAgentsMakeCallsForTheirIncarnation(t *testing.T) {
	a := newPausedAgent(t)
	r := &incarnationRecorder{}
	a.server.workers = r
	s := a.session(func() {})
	var want []dispatch.Incarnation
	for _, startedAt := range []int64{7, 9, 7} {
		m := dispatch.Member{Incarnation: dispatch.Incarnation{ID: "i", StartedAt: startedAt}, Addr: "addr"}
		at := attempt("0000000000000001", 0, 1)
		for _, c := range []call{
			{member: m, lease: &dispatch.LeaseCall{ExpiresAt: 5}}, {member: m, start: &dispatch.StartCall{Attempt: at, Spec: "s"}},
			{member: m, stop: &dispatch.StopCall{Attempt: at}}, {member: m, limit: &dispatch.CPULimitCall{Attempt: at}}} {
			require.NoError(t, s.do(t.Context(), c, 5*time.Second).err)
			want = append(want, m.Incarnation)
		}
	}
	assert.Equal(t, want, r.seen)
}
