// Package gateway is the daemon between callers and upstreams. It admits requests, routes them to workers, and appends
// job submissions to the log.
//
// One goroutine, the control loop, owns the slot pool, the queue, the tickets and the retry budget. The goroutine of a
// request posts two short functions to it, one to wait for a slot and one to release it, and takes no lock. A released
// slot and the head of the queue must be matched in one step. With a lock around both, every request goroutine would
// hold it for the whole decision; the loop decides for all of them and wakes only the one that gets the slot.
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

// Settings configure one gateway process.
type Settings struct {
	ID          instance.ID
	Incarnation instance.Incarnation
	DataCentre  string
	// LinkAddr and HTTPAddr are the addresses that other processes and callers connect to.
	LinkAddr, HTTPAddr string
	// MemoryBytes is the memory above which the process is killed, Descriptors the most open descriptors; 0 if unknown.
	MemoryBytes int64
	Descriptors int
	// DrainDelay is how long a stopping gateway keeps serving after it has become not ready, so that load balancers
	// notice.
	DrainDelay time.Duration
}

// Workers runs requests on workers. *upstream.Client implements it.
type Workers interface {
	// Execute returns *upstream.NotRunError, *upstream.UnknownError or *upstream.CorruptAnswerError.
	Execute(ctx context.Context, addr string, r upstream.ExecuteRequest) (upstream.Answer, error)
	// Cancel ends a request. After a nil error the request does not occupy a slot and never will.
	Cancel(ctx context.Context, addr string, r upstream.CancelRequest) error
}

// Deps are the dependencies of a gateway.
type Deps struct {
	Log      platform.Log
	List     platform.List
	Link     link.Caller
	Workers  Workers
	Config   config.Source
	Logger   *slog.Logger
	Registry *prometheus.Registry
	Health   *process.Health
	// Limit can restrict the requests in progress to fewer than the granted slots; nil permits the use of every slot.
	Limit admission.Limit
}

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 1 << 20
	// readTimeout limits the time that a caller may take to send a whole request.
	readTimeout = 10 * time.Second
	// defaultTimeout applies if neither the caller nor the kind gives a timeout.
	defaultTimeout = 30 * time.Second
	maxTimeout     = 5 * time.Minute
	// maxAttempts limits the attempts of one request that failed because of a worker. maxGrantRefusals limits those
	// that were refused because of the grant: after a change of owner, every worker of a shard refuses once.
	maxAttempts      = 4
	maxGrantRefusals = 50
	// tickInterval is the interval of the periodic work of the control loop.
	tickInterval = 50 * time.Millisecond
	// grantInterval is the time between two grant requests to a shard. minGrantInterval is the least time between them
	// when demand or grants change.
	grantInterval    = time.Second
	minGrantInterval = 200 * time.Millisecond
	// peerTimeout limits one call to another process, ioTimeout one call to the platform.
	peerTimeout = time.Second
	ioTimeout   = 5 * time.Second
	// listInterval is the time between two reads of the instance list. Each read also renews the gateway's own entry.
	listInterval = time.Second
	// readyTimeout is how long a gateway with a manifest waits for slots and its entry in the instance list before it
	// becomes ready without them.
	readyTimeout = 10 * time.Second
	// appendTimeout limits the time that a submission waits for the log.
	appendTimeout = 5 * time.Second
	// minSlowExcess is the least excess over the expected service time that counts as slow. Short requests to another
	// data centre take several times as long as local ones because of the network alone.
	minSlowExcess = 50 * time.Millisecond
	// cancelTimeout is how long after its deadline a request that cannot be cancelled may occupy its slot. A worker
	// ends a request at its deadline, and no message is delayed by more than two minutes (docs/platform.md).
	cancelTimeout       = 2 * time.Minute
	cancelRetryInterval = 500 * time.Millisecond
	// stopTimeout limits the wait for requests in progress at a planned stop.
	stopTimeout = 60 * time.Second
	// maxStoredAnswerBytes limits the bytes of stored answers, maxUsedTickets the used tickets that are remembered.
	maxStoredAnswerBytes = 64 << 20
	maxUsedTickets       = 200000
	// defaultQueueLimit and defaultRetryPercent apply until a manifest is in force.
	defaultQueueLimit   = 1000
	defaultRetryPercent = 10
)
