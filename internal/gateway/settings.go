// Package gateway is the daemon between callers and upstreams: it admits requests, routes them to workers, and appends job
// submissions to the log.
//
// One goroutine, the control loop, owns the holdings of slots, the queue, the tickets and the retry budget. A traffic goroutine
// posts two short functions to it for each request, one to wait for a slot and one to give it back, and takes no lock. A freed
// slot and the queue's head must be matched in one step; with a lock around both, every traffic goroutine would hold it for the
// whole decision, while the loop decides for all of them without waking any but the one that gets the slot.
package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/admission"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Settings are what an operator chooses for one process.
type Settings struct {
	ID          instance.ID
	Incarnation instance.Incarnation
	DataCentre  string
	// LinkAddr and HTTPAddr are the addresses that other processes and callers use.
	LinkAddr, HTTPAddr string
	// DrainDelay is how long a stopping gateway keeps serving after it has become not ready, so that the balancer notices.
	DrainDelay time.Duration
}

// Workers runs requests; *upstream.Client implements it.
type Workers interface {
	// Execute returns *upstream.NotRunError, *upstream.UnknownError or *upstream.CorruptAnswerError.
	Execute(ctx context.Context, addr string, r upstream.ExecuteRequest) (upstream.Answer, error)
	// Cancel ends a request. After an answer without error the request occupies no slot and never will.
	Cancel(ctx context.Context, addr string, r upstream.CancelRequest) error
}

// Deps are the parts that the gateway uses.
type Deps struct {
	Log      platform.Log
	List     platform.List
	Link     link.Caller
	Workers  Workers
	Config   config.Source
	Logger   *slog.Logger
	Registry *prometheus.Registry
	Health   *process.Health
	// Limit bounds the requests in progress below the slots of the grants; nil uses every slot.
	Limit admission.Limit
}

const (
	// maxBodyBytes bounds the body of a request in bytes.
	maxBodyBytes = 1 << 20
	// readTimeout is how long a caller may take to send a whole request.
	readTimeout = 10 * time.Second
	// defaultTimeout applies to a request whose caller and kind give no time.
	defaultTimeout = 30 * time.Second
	maxTimeout     = 5 * time.Minute
	// maxAttempts bounds the attempts of one request that failed because of a worker. maxFreeAttempts bounds those that were
	// refused because of the grant: after a change of owner every worker of a shard refuses once.
	maxAttempts      = 4
	maxGrantRefusals = 50
	// tickInterval is the pace of the control loop.
	tickInterval = 50 * time.Millisecond
	// grantInterval is the time between two grant requests to a shard, grantSooner the least time when demand or grants change.
	grantInterval    = time.Second
	minGrantInterval = 200 * time.Millisecond
	// peerTimeout bounds one call to another process, ioTimeout one call to the platform.
	peerTimeout = time.Second
	ioTimeout   = 5 * time.Second
	// listInterval is the time between two reads of the instance list, which also renew the own entry.
	listInterval = time.Second
	// readyTimeout is how long a gateway with a manifest waits for slots and its entry in the list before it is ready without them.
	readyTimeout = 10 * time.Second
	// appendTimeout is how long a submission waits for the log.
	appendTimeout = 5 * time.Second
	// minSlowExcess is the least excess over the expected service time that counts as slow. Short requests to another data centre take several
	// times as long as near ones because of the link alone.
	minSlowExcess = 50 * time.Millisecond
	// settleTimeout is how long after its deadline a request that cannot be cancelled may occupy its slot. A worker ends a request at
	// its deadline, and no message is delayed longer than two minutes (docs/platform.md).
	settleTimeout  = 2 * time.Minute
	settleInterval = 500 * time.Millisecond
	// stopTimeout bounds the time for requests in progress at a planned stop.
	stopTimeout = 60 * time.Second
	// maxTicketBytes bounds the bytes of stored answers, maxTickets the used tickets that are remembered.
	maxTicketBytes = 64 << 20
	maxTickets     = 200000
	// defaultQueueLimit and defaultRetryShare apply until a manifest is in force.
	defaultQueueLimit   = 1000
	defaultRetryPercent = 10
)
