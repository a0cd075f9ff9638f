package intake

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/relay"
	"clementinewalk.example/clementinewalk/internal/storehealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// relayViewAge is the age of the view from which the log counts as unreachable from this instance. While the log can
	// be read, the view is younger.
	relayViewAge = 1500 * time.Millisecond
	// maxPeers is how many peers are asked for one request, one after the other. The first is the owner, which writes
	// to the log continuously.
	maxPeers = 2
	// peerTimeout limits a call to a peer. Two of them and the wait for the own log fit into the time for which a request
	// is held.
	peerTimeout = 500 * time.Millisecond
)

// PeerClient calls the relays of other instances. Its errors are those of relay.Client.
type PeerClient interface {
	Append(ctx context.Context, to catalog.Endpoint, e eventlog.Entry) error
	State(ctx context.Context, to catalog.Endpoint, id workflow.JobID) (relay.State, error)
}

// Peers lets other instances act for this one while it cannot reach the log: the load balancer may send it callers all
// the same, if too few instances of a data centre are ready.
type Peers struct {
	instance string
	client   PeerClient
	catalog  *catalog.Catalog
	view     catalog.Freshness
	logger   *slog.Logger
	calls    *prometheus.CounterVec
}

// NewPeers returns the peers of an instance. view tells whether the instance can reach the log.
func NewPeers(instance string, client PeerClient, c *catalog.Catalog, view catalog.Freshness, l *slog.Logger,
	r prometheus.Registerer) *Peers {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_relay_calls_total",
		Help: "Calls to other instances while the log cannot be reached, by operation and outcome."},
		[]string{"operation", "outcome"})
	r.MustRegister(calls)
	return &Peers{instance: instance, client: client, catalog: c, view: view, logger: l, calls: calls}
}

// logUnreachable reports whether the log has not been read for relayViewAge.
func (p *Peers) logUnreachable() bool { return !isFresh(p.view, relayViewAge) }

// call calls peers until one has carried out the call, or ctx ends. It returns whether one has, and whether a call may
// have been carried out nevertheless.
func (p *Peers) call(ctx context.Context, operation, key string,
	do func(context.Context, catalog.Endpoint) error) (done, unknown bool) {
	for _, to := range p.catalog.Peers(p.instance, maxPeers) {
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := do(callCtx, to)
		cancel()
		var noAnswer *relay.NoAnswerError
		outcome := "done"
		switch {
		case errors.As(err, &noAnswer):
			outcome, unknown = "unknown", true
		case err != nil:
			outcome = "refused"
		}
		p.calls.WithLabelValues(operation, outcome).Inc()
		p.logger.Info("relayed to another instance", "operation", operation, "key", key, "peer", to.Instance,
			"outcome", outcome, "error", err)
		if err == nil {
			return true, unknown
		}
	}
	return false, unknown
}

// RelayedAppender stores entries in the log, through a collector while appends are slow, and through a peer if this
// instance cannot reach the log.
type RelayedAppender struct {
	Local Appender
	Peers *Peers
	// Collectors may be nil.
	Collectors *Collectors
}

// Append implements Appender. It returns *eventlog.UnknownError if the entry may have been stored by this instance, a
// collector or a peer, and the error of the own log otherwise.
func (a *RelayedAppender) Append(ctx context.Context, e eventlog.Entry) error {
	if a.Collectors == nil {
		return a.appendOrRelay(ctx, e)
	}
	if !a.Peers.logUnreachable() && a.Collectors.active() {
		return a.Collectors.append(ctx, e, a.Local)
	}
	err := a.appendOrRelay(ctx, e)
	var refused *eventlog.RefusedError
	var unknown *eventlog.UnknownError
	// The cause of an unknown outcome may be a refusal by the own log, after a peer that gave no answer.
	if errors.As(err, &refused) && !errors.As(err, &unknown) && a.Collectors.active() {
		// The queue of the log is full, which the collector waits for.
		return a.Collectors.append(ctx, e, a.Local)
	}
	a.Collectors.count("direct", err)
	return err
}

// givesUp reports whether no peer is asked after the own log has failed: while appends are slow, further ones only
// lengthen the queue of the log.
func (a *RelayedAppender) givesUp(ctx context.Context) bool {
	return ctx.Err() != nil || a.Collectors != nil && a.Collectors.active()
}

func (a *RelayedAppender) appendOrRelay(ctx context.Context, e eventlog.Entry) error {
	unreachable := a.Peers.logUnreachable()
	unknown := false
	if unreachable {
		done, u := a.relay(ctx, e)
		if done {
			return nil
		}
		unknown = u
	}
	err := a.Local.Append(ctx, e)
	if err == nil {
		return nil
	}
	if !unreachable && !a.givesUp(ctx) {
		done, u := a.relay(ctx, e)
		if done {
			return nil
		}
		unknown = u
	}
	if unknown {
		return &eventlog.UnknownError{Op: "append", Err: err}
	}
	return err
}

func (a *RelayedAppender) relay(ctx context.Context, e eventlog.Entry) (done, unknown bool) {
	return a.Peers.call(ctx, "append", e.Key, func(ctx context.Context, to catalog.Endpoint) error {
		return a.Peers.client.Append(ctx, to, e)
	})
}

// state asks peers for the state of a submission; false if none knows.
func (p *Peers) state(ctx context.Context, id workflow.JobID) (relay.State, bool) {
	var s relay.State
	done, _ := p.call(ctx, "state", string(id), func(ctx context.Context, to catalog.Endpoint) error {
		var err error
		s, err = p.client.State(ctx, to, id)
		return err
	})
	return s, done
}

// PeerHandler carries out the calls of other instances. It does not pass them on.
type PeerHandler struct {
	log        Appender
	api        *API
	collectors *Collectors
}

var _ relay.Handler = (*PeerHandler)(nil)

// NewPeerHandler returns a handler that stores entries with log and answers questions from the view of api. c may be nil.
func NewPeerHandler(log Appender, api *API, c *Collectors) *PeerHandler {
	return &PeerHandler{log: log, api: api, collectors: c}
}

// AppendTime implements relay.Handler.
func (h *PeerHandler) AppendTime() time.Duration {
	if h.collectors == nil {
		return 0
	}
	return h.collectors.log.Health().Append
}

// Report implements relay.Handler.
func (h *PeerHandler) Report(peer string, d time.Duration) {
	if h.collectors != nil {
		h.collectors.report(peer, d)
	}
}

// Hint implements relay.Handler. Collectors send the durations of slow appends only. A short one is ignored, because it would
// replace what the instance has learned from its own appends.
func (h *PeerHandler) Hint(d time.Duration) {
	if h.collectors != nil && d >= storehealth.SlowAfter {
		h.collectors.noteHint(d)
	}
}

// Unknown implements relay.Handler.
func (h *PeerHandler) Unknown(keys []string, forward bool) {
	keys = slices.DeleteFunc(keys[:min(len(keys), maxNoticeKeys)], func(k string) bool { return !catalog.IsEntryKey(k) })
	h.api.unsettled.note(keys)
	if forward && h.collectors != nil {
		h.collectors.forwarded.add(keys...)
	}
}

// Append implements relay.Handler.
func (h *PeerHandler) Append(ctx context.Context, e eventlog.Entry) error {
	if err := catalog.CheckEntry(e); err != nil {
		return &relay.InvalidError{Reason: err.Error()}
	}
	return h.api.appendOnce(ctx, h.log, e)
}

// State implements relay.Handler.
func (h *PeerHandler) State(ctx context.Context, id workflow.JobID) (relay.State, bool) {
	if !isFresh(h.api.submissionsFreshness, relayViewAge) {
		return relay.State{}, false
	}
	j := h.api.Find(ctx, id)
	if j == nil {
		return relay.State{}, h.api.SubmissionsFresh()
	}
	return relay.State{State: j.State(), Known: true}, true
}
