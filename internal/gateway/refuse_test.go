package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/link"
)

// switchedConfig is a config.Source that has no version while none is set.
type switchedConfig struct {
	config.Source
	none bool
}

func (c *switchedConfig) Current() *config.Version {
	if c.none {
		return nil
	}
	return c.Source.Current()
}

// Guards against "not run" as the answer to the repeat of a request that ran, from a gateway that refuses the repeat
// before it checks the ticket.
func TestRefusedRepeatIsUnknown(t *testing.T) {
	tc := newTestCluster(t)
	a, b := tc.start("a"), tc.start("b")
	ticket := a.post(t, "/v1/tickets", "").header.Get(headerTicket)
	require.Equal(t, http.StatusOK, a.post(t, "/v1/requests/send", "p", headerTicket, ticket).status)

	for _, n := range []*testGateway{a, b} {
		r := n.post(t, "/v1/requests/send", "p", headerTicket, ticket, headerTimeout, "none")
		require.Equal(t, "unknown", r.header.Get(headerOutcome))
		require.Equal(t, http.StatusBadGateway, r.status)
	}
	fresh := a.post(t, "/v1/tickets", "").header.Get(headerTicket)
	require.Equal(t, "not-run",
		a.post(t, "/v1/requests/send", "p", headerTicket, fresh, headerTimeout, "none").header.Get(headerOutcome),
		"the issuer knows that the ticket is unused")
	require.Equal(t, "not-run",
		a.post(t, "/v1/requests/quote", "p", headerTicket, ticket, headerTimeout, "none").header.Get(headerOutcome),
		"an idempotent request has no ticket")

	g := New(Settings{ID: "c", Incarnation: "c-1"}, tc.deps())
	g.deps.Config = &switchedConfig{Source: g.deps.Config, none: true}
	req, err := http.NewRequest(http.MethodPost, "/v1/requests/send", nil)
	require.NoError(t, err)
	req.Header.Set(headerTicket, ticket)
	require.True(t, g.mayBeRepeat(req), "a gateway that has just started")
}

// Guards against "not run" from a repeated call to the issuer while the first call, whose answer was lost, may still
// arrive and run.
func TestForwardWithoutAnswerIsNeverNotRun(t *testing.T) {
	tc := newTestCluster(t)
	a, b := tc.start("a"), tc.start("b")
	require.Eventually(t, func() bool { return b.directory.Load().gateways["a-1"].Addr != "" }, 3*time.Second,
		10*time.Millisecond)
	for _, sent := range []bool{true, false} {
		lost := false
		tc.mu.Lock()
		tc.peers["link-a"] = func(_ context.Context, _ link.Peer, m contract.Message) (contract.Message, error) {
			if !lost {
				lost = true
				return nil, &link.CallError{Addr: "link-a", Sent: sent, Err: context.DeadlineExceeded}
			}
			return &contract.ForwardReply{RequestID: m.(*contract.Forward).RequestID, State: contract.AnswerNotRun}, nil
		}
		tc.mu.Unlock()
		ticket := a.post(t, "/v1/tickets", "").header.Get(headerTicket)
		r := b.post(t, "/v1/requests/send", "p", headerTicket, ticket)
		require.Equal(t, map[bool]string{true: "unknown", false: "not-run"}[sent], r.header.Get(headerOutcome))
	}
}
