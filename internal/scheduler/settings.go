// Package scheduler implements the control loop of clementine-scheduler: it claims shards, places their tasks, renews
// the leases of their workers and grants slots to gateways.
//
// A single goroutine, the control loop, owns all state. Calls to the log, to workers and to peers run in goroutines of
// their own; they share no state and post their results back to the control loop.
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

// Settings is the configuration of one scheduler process.
type Settings struct {
	ID          instance.ID
	Incarnation instance.Incarnation
	DataCentre  string
	// LinkAddr and HTTPAddr are the addresses under which other processes reach this one.
	LinkAddr, HTTPAddr string
	// LeaseInterval is the time between two renewals of a worker's lease; one second if it is not positive.
	LeaseInterval time.Duration
}

// Workers is the client side of the worker API. *upstream.Client implements it.
type Workers interface {
	Lease(ctx context.Context, addr string, r upstream.LeaseRequest) (upstream.LeaseReply, error)
	Start(ctx context.Context, addr string, r upstream.StartRequest) (upstream.TaskReply, error)
	Stop(ctx context.Context, addr string, r upstream.StopRequest) (upstream.TaskReply, error)
}

// SlotAllocator divides the slots of a shard's workers among the gateways. *budget.SlotAllocator implements it.
type SlotAllocator interface {
	SetWorker(now time.Time, id instance.ID, addr, dataCentre string, slots int)
	RemoveWorker(now time.Time, id instance.ID)
	NextFences(id instance.ID) []upstream.GatewayFence
	ApplyLeaseReply(now time.Time, id instance.ID, fences []upstream.GatewayFence, inProgress []upstream.GatewayUse)
	Grant(now time.Time, r contract.GrantRequest) contract.GrantReply
	Granted() int
}

// Deps holds the dependencies of the control loop. NewSlotAllocator is called once for each epoch that this process
// acquires, with the validity of a grant as ttl.
type Deps struct {
	Log              platform.Log
	List             platform.List
	Link             link.Caller
	Workers          Workers
	Config           config.Source
	NewSlotAllocator func(shard string, epoch uint64, ttl time.Duration) SlotAllocator
	Logger           *slog.Logger
	Registry         prometheus.Registerer
	Health           *process.Health
}

const (
	// tickInterval is the period of the control loop. It is also the minimum time between two appends to a shard's
	// stream.
	tickInterval = 50 * time.Millisecond
	// maintenanceInterval is the period of runMaintenance.
	maintenanceInterval = time.Second
	// readLongPoll is how long a read at the end of a stream waits for the next record.
	readLongPoll = 5 * time.Second
	// maxReadRecords limits the records returned by one read.
	maxReadRecords = 1000
	// platformTimeout limits one call to the platform; a long poll adds its wait.
	platformTimeout = 5 * time.Second
	// peerTimeout limits a heartbeat call, and the deregistration at the end of a stop.
	peerTimeout = time.Second
	// maxLogStaleness is the maximum age of the newest successful read while the log counts as reachable.
	maxLogStaleness = readLongPoll + 3*time.Second
	// An owner writes a snapshot after snapshotRecords records or after snapshotInterval, whichever comes first. The
	// interval limits how long the platform must retain the records of an idle shard.
	snapshotRecords  = 2000
	snapshotInterval = 10 * time.Minute
	// grantTTL is how long a gateway may start requests on a grant without renewing it. It covers the takeover after an
	// owner has crashed: with 3 s, 2,884 of 32,699 requests were refused when the only scheduler was killed, with 10 s
	// none.
	grantTTL = 10 * time.Second
	// stopTimeout limits the handover of all shards during a planned stop.
	stopTimeout = 10 * time.Second
)

// Defaults for policies that a manifest leaves out.
const (
	defaultLeaseTTL       = 10 * time.Second
	defaultIsolationLimit = 10 * time.Minute
	defaultOwnerTimeout   = 3 * time.Second
	defaultMaxAttempts    = 5
)
