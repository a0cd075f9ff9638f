// Package scheduler is the control loop of clementine-scheduler: it claims shards, places their tasks, renews the leases of
// their workers and grants slots.
//
// One goroutine, the control loop, owns all state. Calls to the log, workers and peers run in goroutines of their own, which
// only carry a message there and post the answer back to the control loop.
package scheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
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
	// LinkAddr and HTTPAddr are the addresses that other processes use.
	LinkAddr, HTTPAddr string
	// LeaseInterval is the time between two renewals of a worker's lease.
	LeaseInterval time.Duration
}

// Workers calls workers; *upstream.Client implements it.
type Workers interface {
	Lease(ctx context.Context, addr string, r upstream.LeaseRequest) (upstream.LeaseReply, error)
	Start(ctx context.Context, addr string, r upstream.StartRequest) (upstream.TaskReply, error)
	Stop(ctx context.Context, addr string, r upstream.StopRequest) (upstream.TaskReply, error)
}

// Ledger divides the slots of a shard's workers among gateways; *budget.Ledger implements it.
type Ledger interface {
	SetWorker(now time.Time, id instance.ID, addr, dataCentre string, slots int)
	RemoveWorker(now time.Time, id instance.ID)
	Fences(id instance.ID) []upstream.GatewayFence
	Report(now time.Time, id instance.ID, fences []upstream.GatewayFence, inProgress []upstream.GatewayUse)
	Grant(now time.Time, r contract.GrantRequest) contract.GrantReply
	Granted() int
}

// Deps are the parts that the control loop uses.
type Deps struct {
	Log       platform.Log
	List      platform.List
	Link      link.Caller
	Workers   Workers
	Config    config.Source
	NewLedger func(shard string, epoch uint64, ttl time.Duration) Ledger
	Logger    *slog.Logger
	Registry  prometheus.Registerer
	Health    *process.Health
}

const (
	// tickEvery is the pace of the control loop. It is also the least time between two appends to a shard's stream.
	tickEvery = 50 * time.Millisecond
	// secondly is the pace of everything that is due once a second.
	secondly = time.Second
	// readWait is how long a read of a stream waits for the next record.
	readWait = 5 * time.Second
	// readLimit bounds the records of one read.
	readLimit = 1000
	// ioTimeout bounds one call to the platform beyond the time that it may wait.
	ioTimeout = 5 * time.Second
	// peerTimeout bounds a heartbeat.
	peerTimeout = time.Second
	// logFresh is how recent a read must be for the log to count as reachable.
	logFresh = readWait + 3*time.Second
	// snapshotEvery is the number of records after which an owner writes a snapshot, snapshotAge the time. The time bounds how
	// long the platform must keep records of an idle shard.
	snapshotEvery = 2000
	snapshotAge   = 10 * time.Minute
	// grantTTL is how long a gateway may start requests on a grant without renewing it. It covers the time that a successor needs after the
	// death of an owner: with 3 s, 2,884 of 32,699 requests were refused when the only scheduler was killed, with 10 s none.
	grantTTL = 10 * time.Second
	// stopLimit bounds a planned stop.
	stopLimit = 10 * time.Second
)

// Policies of a manifest that leaves them out.
const (
	defaultTTL       = 10 * time.Second
	defaultIsolation = 10 * time.Minute
	defaultTimeout   = 3 * time.Second
	defaultAttempts  = 5
)
