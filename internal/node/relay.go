package node

import (
	"context"
	"log/slog"
	"time"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/relay"
)

// Relay answers the calls of instances that cannot reach the log.
type Relay struct {
	Instance string
	// Addr is the ip:port to listen on; empty for none.
	Addr    string
	Log     *eventlog.Batcher
	Handler relay.Handler
	// Sessions serves the owner, which calls workers through this instance.
	Sessions relay.Sessions
	// Published is what the endpoint tells about the instance, beside its address.
	Published catalog.Endpoint
	Gate      *ingress.Gate
	Logger    *slog.Logger
}

const (
	publishTimeout = 2 * time.Second
	publishRetry   = time.Second
	// withdrawTimeout limits the removal of the endpoint at a planned stop, which must not delay the stop.
	withdrawTimeout = 500 * time.Millisecond
)

// run publishes the endpoint and answers calls until serving ends. When stopping ends, the endpoint is withdrawn. A node
// works without its relay, so a failure is logged only.
func (r *Relay) run(stopping, serving context.Context) {
	if r.Addr == "" {
		return
	}
	server, err := relay.Listen(r.Instance, r.Addr, r.Gate, r.Logger)
	if err != nil {
		r.Logger.Warn("cannot listen, other instances cannot use this one", "addr", r.Addr, "error", err)
		return
	}
	endpoint := r.Published
	served := server.Endpoint()
	endpoint.Instance, endpoint.Addr, endpoint.Fingerprint = served.Instance, served.Addr, served.Fingerprint
	go r.publish(stopping, endpoint)
	server.Serve(serving, r.Handler, r.Sessions)
}

func (r *Relay) publish(stopping context.Context, endpoint catalog.Endpoint) {
	e, err := catalog.EndpointEntry(&endpoint)
	if err != nil {
		r.Logger.Error("cannot encode endpoint", "error", err)
		return
	}
	for {
		ctx, cancel := context.WithTimeout(stopping, publishTimeout)
		err := r.Log.Append(ctx, e)
		cancel()
		if err == nil {
			break
		}
		r.Logger.Info("endpoint not published, retrying", "error", err)
		select {
		case <-stopping.Done():
			return
		case <-time.After(publishRetry):
		}
	}
	r.Logger.Info("endpoint published", "addr", endpoint.Addr)
	<-stopping.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(stopping), withdrawTimeout)
	defer cancel()
	if err := r.Log.Append(ctx, catalog.RemoveEndpointEntry(r.Instance)); err != nil {
		r.Logger.Info("endpoint not withdrawn", "error", err)
	}
}
