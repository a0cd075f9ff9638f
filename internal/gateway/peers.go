package gateway

import (
	"context"
	"fmt"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
)

func messageName(m contract.Message) string { return fmt.Sprintf("%T", m) }

// Handle answers one message of another process. It implements link.Handler.
func (g *Gateway) Handle(ctx context.Context, p link.Peer, m contract.Message) (contract.Message, error) {
	switch m := m.(type) {
	case *contract.Forward:
		return g.handleForward(ctx, p, m)
	case *contract.ConfigFetch:
		v := g.deps.Config.Current()
		if v == nil {
			return &contract.ConfigFetchReply{}, nil
		}
		return &contract.ConfigFetchReply{Offset: v.Offset, Manifest: v.Raw}, nil
	}
	return nil, &contract.Failure{Code: contract.FailureUnsupported, Detail: "gateways do not answer this message"}
}

func (g *Gateway) handleForward(ctx context.Context, p link.Peer, m *contract.Forward) (contract.Message, error) {
	if p.Role != instance.RoleGateway {
		return nil, &contract.Failure{Code: contract.FailureForbidden, Detail: "only gateways forward requests"}
	}
	if len(m.Body) > maxBodyBytes || !validID(m.RequestID) {
		return nil, &contract.Failure{Code: contract.FailureMalformed, Detail: "body or request id"}
	}
	v := g.deps.Config.Current()
	if v == nil {
		return nil, &contract.Failure{Code: contract.FailureNotReady, Detail: "no manifest is in force"}
	}
	r := request{id: m.RequestID, team: m.Team, ticket: m.Ticket, body: m.Body, arrived: time.Now()}
	var known bool
	if r.kind, known = v.Manifest.Kind(m.Kind); !known {
		// The sender may have a newer manifest; it repeats the call.
		return nil, &contract.Failure{Code: contract.FailureNotReady, Detail: "kind is not in the manifest in force"}
	}
	r.deadline = r.arrived.Add(min(m.Timeout, maxTimeout))
	a := g.serve(ctx, r, true)
	return &contract.ForwardReply{RequestID: m.RequestID, State: a.state, Reason: a.reason, RetryAfter: a.retryAfter,
		Body: a.body}, nil
}
