// Package upstream holds the interface of a worker: leases, tasks and the execution of requests.
//
// All calls are HTTP with JSON bodies. A worker remembers the highest epoch it has seen and refuses lower ones.
package upstream

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// Paths of the worker's HTTP interface.
const (
	PathLease      = "/v1/lease"
	PathStart      = "/v1/tasks/start"
	PathStop       = "/v1/tasks/stop"
	PathThrottle   = "/v1/tasks/throttle"
	PathCheckpoint = "/v1/tasks/checkpoint"
	PathExecute    = "/v1/execute"
	PathCancel     = "/v1/execute/cancel"
)

// Headers of an execute call and its answer. HeaderNotRun is set on a refusal, with the reason as its value; a refused
// request was not run.
const (
	HeaderRequestID  = "Clementine-Request-Id"
	HeaderKind       = "Clementine-Kind"
	HeaderShard      = "Clementine-Shard"
	HeaderEpoch      = "Clementine-Epoch"
	HeaderGateway    = "Clementine-Gateway"
	HeaderGeneration = "Clementine-Generation"
	HeaderTimeout    = "Clementine-Timeout-Ms"
	HeaderDigest     = "Clementine-Digest"
	HeaderLength     = "Clementine-Length"
	HeaderNotRun     = "Clementine-Not-Run"
	// HeaderNonIdempotent is "1" on a request that must not be executed twice.
	HeaderNonIdempotent = "Clementine-Non-Idempotent"
)

// Refusal is the reason of a refused call.
type Refusal string

// The reasons of a worker.
const (
	RefusalNone         Refusal = ""
	RefusalStaleEpoch   Refusal = "stale-epoch"
	RefusalWrongShard   Refusal = "wrong-shard"
	RefusalNoLease      Refusal = "no-lease"
	RefusalStaleGrant   Refusal = "stale-grant"
	RefusalOverload     Refusal = "overload"
	RefusalLeaving      Refusal = "leaving"
	RefusalUnknownTask  Refusal = "unknown-task"
	RefusalStaleAttempt Refusal = "stale-attempt"
	RefusalWrongBoot    Refusal = "wrong-boot"
	RefusalMalformed    Refusal = "malformed"
	RefusalCancelled    Refusal = "cancelled"
	RefusalInProgress   Refusal = "in-progress"
)

// TaskRef names one attempt of a task.
type TaskRef struct {
	Job     string `json:"job" cbor:"1,keyasint"`
	Index   int    `json:"index" cbor:"2,keyasint"`
	Attempt int    `json:"attempt" cbor:"3,keyasint"`
}

// LeaseRequest fences a worker with an epoch and renews its lease.
type LeaseRequest struct {
	Shard string      `json:"shard"`
	Epoch uint64      `json:"epoch"`
	Owner instance.ID `json:"owner"`
	// AsOf is a clock reading from an earlier answer of the same worker; zero only fences and grants no lease time.
	// The lease then ends at AsOf + TTL of the worker's own clock, so that a delayed renewal cannot revive it.
	// A reading of another Boot is refused.
	AsOf time.Duration `json:"as_of"`
	TTL  time.Duration `json:"ttl"`
	// Boot is the worker's incarnation as the owner knows it; empty if AsOf is zero.
	Boot instance.Incarnation `json:"boot,omitempty"`
	// AckEvents is the highest event number that the owner has written to the log; the worker forgets those events.
	AckEvents uint64 `json:"ack_events,omitempty"`
	// Envelope is the amount reserved for each slot.
	Envelope resource.Vector `json:"envelope,omitzero"`
	// Revoked lists the gateways whose older grants the worker must refuse from now on.
	Revoked []GatewayFence `json:"revoked,omitempty"`
	// Full asks for the list of all running tasks. The worker also lists them when it sees an epoch for the first time.
	Full bool `json:"full,omitempty"`
}

// GatewayFence makes a worker refuse the requests of a gateway incarnation with a generation below MinGeneration.
type GatewayFence struct {
	Gateway       instance.Incarnation `json:"gateway"`
	MinGeneration uint64               `json:"min_generation"`
}

// LeaseReply is the worker's own word on its state.
type LeaseReply struct {
	Refusal Refusal `json:"refusal,omitempty"`
	// Epoch is the highest epoch that the worker has seen.
	Epoch uint64 `json:"epoch"`
	// Boot is the worker's incarnation; a changed value means that every task it ran before is gone.
	Boot instance.Incarnation `json:"boot"`
	// Clock is the worker's clock reading at the time of the answer.
	Clock time.Duration `json:"clock"`
	// Expiry is the worker's clock reading at which the lease ends.
	Expiry  time.Duration `json:"expiry"`
	Leaving bool          `json:"leaving,omitempty"`
	// Running is set if the request asked for it or the epoch is new to the worker.
	Running []TaskReport `json:"running,omitempty"`
	// HasRunning tells an empty Running from an absent one.
	HasRunning bool `json:"has_running,omitempty"`
	// Events holds the ended attempts that are not acknowledged yet, in order of Number.
	Events []TaskEvent `json:"events,omitempty"`
	// InProgress counts the requests that occupy slots, by gateway incarnation, under any epoch.
	InProgress []GatewayUse `json:"in_progress,omitempty"`
	Usage      *UsageReport `json:"usage,omitempty"`
}

// GatewayUse is the number of slots that a gateway's requests occupy on a worker.
type GatewayUse struct {
	Gateway instance.Incarnation `json:"gateway"`
	Slots   int                  `json:"slots"`
}

// TaskReport describes one running task.
type TaskReport struct {
	TaskRef
	Kind string `json:"kind"`
	// Progress is the share of the work that is done, between 0 and 1.
	Progress float64 `json:"progress"`
	// Throttle is the share of processor time that the task may use; 1 is unthrottled.
	Throttle float64 `json:"throttle"`
	// Checkpoint names the newest checkpoint of the attempt; empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Outcome tells how an attempt ended.
type Outcome string

// The outcomes of an attempt. OutcomeLost is concluded by the owner; a worker never reports it.
const (
	OutcomeDone      Outcome = "done"
	OutcomeEvicted   Outcome = "evicted"
	OutcomeFailed    Outcome = "failed"
	OutcomeLost      Outcome = "lost"
	OutcomeCancelled Outcome = "cancelled"
)

// TaskEvent reports the end of an attempt.
type TaskEvent struct {
	Number uint64 `json:"number"`
	TaskRef
	Outcome Outcome `json:"outcome"`
	// Checkpoint names the newest checkpoint; empty if there is none.
	Checkpoint string        `json:"checkpoint,omitempty"`
	RunTime    time.Duration `json:"run_time"`
	Reason     string        `json:"reason,omitempty"`
}

// UsageReport is a measurement that is Lag old when it is delivered.
type UsageReport struct {
	Lag        time.Duration `json:"lag"`
	MilliCores int64         `json:"milli_cores"`
	MemoryMB   int64         `json:"memory_mb"`
	// Slowdown is the measured run time of requests over their run time on an idle worker, by kind.
	Slowdown map[string]float64 `json:"slowdown,omitempty"`
}

// StartRequest starts one attempt. It is idempotent by TaskRef.
type StartRequest struct {
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	// Boot is the incarnation that the Place record names. A worker refuses another one: a restart makes it forget its fence, so
	// the delayed start call of an earlier owner would otherwise run (spec/shard.pml, mutant NO_BOOT).
	Boot instance.Incarnation `json:"boot"`
	// NotAfter is the worker's clock reading from which the call must be refused with RefusalNoLease: an echoed reading plus
	// the TTL. Once the owner counts the lease as lapsed, a start call that was delayed cannot run any more.
	NotAfter time.Duration `json:"not_after,omitempty"`
	TaskRef
	Kind string          `json:"kind"`
	Size resource.Vector `json:"size"`
	// RunTime is the declared run time; the real one can differ.
	RunTime         time.Duration `json:"run_time"`
	CheckpointEvery time.Duration `json:"checkpoint_every,omitempty"`
	// Checkpoint is where the attempt resumes; empty to start anew.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Service tasks run until they are stopped.
	Service bool `json:"service,omitempty"`
}

// StopRequest stops one attempt, after a checkpoint if Checkpoint is set. The worker then reports Outcome.
type StopRequest struct {
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	TaskRef
	Checkpoint bool    `json:"checkpoint,omitempty"`
	Outcome    Outcome `json:"outcome"`
}

// ThrottleRequest limits the processor time of one attempt to Fraction of its size, between 0 and 1.
type ThrottleRequest struct {
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	TaskRef
	Fraction float64 `json:"fraction"`
}

// CheckpointRequest asks for a checkpoint of one running attempt.
type CheckpointRequest struct {
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	TaskRef
}

// TaskReply answers start, stop, throttle and checkpoint.
type TaskReply struct {
	Refusal Refusal `json:"refusal,omitempty"`
	// Known tells that the attempt had been started or had ended before the call.
	Known      bool   `json:"known,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// CancelRequest ends a request that a gateway has given up on. After the answer the request is not in progress and the
// worker refuses it if it arrives late, so the gateway may use its slot again. A non-idempotent request that runs is never
// interrupted: the call is refused with RefusalInProgress until it has ended.
type CancelRequest struct {
	Gateway   instance.Incarnation `json:"gateway"`
	RequestID string               `json:"request_id"`
}
