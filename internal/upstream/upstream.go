// Package upstream defines the HTTP interface of a worker and its client: leases, tasks and the execution of requests.
//
// Control calls and their replies have JSON bodies. An execute call carries the caller's body, with its parameters in
// headers. A worker remembers the highest epoch that it has seen and refuses calls of lower ones.
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

// Headers of an execute call and its answer. HeaderNotRun is set on a refusal and holds its reason; a refused request
// was not run.
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

// The reasons for which a worker refuses a call.
const (
	RefusalNone             Refusal = ""
	RefusalStaleEpoch       Refusal = "stale-epoch"
	RefusalWrongShard       Refusal = "wrong-shard"
	RefusalNoLease          Refusal = "no-lease"
	RefusalStaleGrant       Refusal = "stale-grant"
	RefusalOverload         Refusal = "overload"
	RefusalLeaving          Refusal = "leaving"
	RefusalUnknownTask      Refusal = "unknown-task"
	RefusalStaleAttempt     Refusal = "stale-attempt"
	RefusalWrongIncarnation Refusal = "wrong-boot"
	RefusalMalformed        Refusal = "malformed"
	RefusalCancelled        Refusal = "cancelled"
	RefusalInProgress       Refusal = "in-progress"
)

// TaskRef identifies one attempt of a task.
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
	// AsOf is a reading of the worker's clock from an earlier reply of this worker. The lease ends when that clock
	// shows AsOf + TTL, so that a delayed renewal cannot extend an expired lease. With a zero AsOf the call only fences
	// the worker and grants no lease time. A reading from an incarnation other than Incarnation is refused.
	AsOf time.Duration `json:"as_of"`
	TTL  time.Duration `json:"ttl"`
	// Incarnation is the incarnation of the worker that returned AsOf; it is empty if AsOf is zero.
	Incarnation instance.Incarnation `json:"boot,omitempty"`
	// AckEvents is the highest event number that the owner has written to the log; the worker discards the events up to
	// it.
	AckEvents uint64 `json:"ack_events,omitempty"`
	// Envelope is the amount of resources reserved for each slot.
	Envelope resource.Vector `json:"envelope,omitzero"`
	// Revoked lists the gateways whose earlier grants the worker must refuse from now on.
	Revoked []GatewayFence `json:"revoked,omitempty"`
	// Full asks for the list of all running tasks. The worker also returns it when it sees an epoch for the first time.
	Full bool `json:"full,omitempty"`
}

// GatewayFence makes a worker refuse the requests of a gateway incarnation whose grant generation is below
// MinGeneration.
type GatewayFence struct {
	Gateway       instance.Incarnation `json:"gateway"`
	MinGeneration uint64               `json:"min_generation"`
}

// LeaseReply is the state of a worker as the worker reports it.
type LeaseReply struct {
	Refusal Refusal `json:"refusal,omitempty"`
	// Epoch is the highest epoch that the worker has seen.
	Epoch uint64 `json:"epoch"`
	// Incarnation is the worker's incarnation. A changed value means that all tasks of the earlier incarnation have
	// ended.
	Incarnation instance.Incarnation `json:"boot"`
	// Clock is the reading of the worker's clock at the time of the reply.
	Clock time.Duration `json:"clock"`
	// Expiry is the reading of the worker's clock at which the lease ends.
	Expiry  time.Duration `json:"expiry"`
	Leaving bool          `json:"leaving,omitempty"`
	// Running lists the running tasks if the request asked for them or the epoch is new to the worker.
	Running []TaskReport `json:"running,omitempty"`
	// HasRunning distinguishes an empty Running list from an omitted one.
	HasRunning bool `json:"has_running,omitempty"`
	// Events lists the ended attempts that are not acknowledged yet, ordered by Number.
	Events []TaskEvent `json:"events,omitempty"`
	// InProgress counts the requests that occupy slots, for each gateway incarnation and over all epochs.
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
	// Progress is the completed share of the work, between 0 and 1.
	Progress float64 `json:"progress"`
	// Throttle is the share of its processor time that the task may use; 1 means no limit.
	Throttle float64 `json:"throttle"`
	// Checkpoint names the newest checkpoint of the attempt; it is empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Outcome is the result of an attempt.
type Outcome string

// The outcomes of an attempt. OutcomeLost is set by the owner of the shard and never reported by a worker.
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
	// Checkpoint names the newest checkpoint of the attempt; it is empty if there is none.
	Checkpoint string        `json:"checkpoint,omitempty"`
	RunTime    time.Duration `json:"run_time"`
	Reason     string        `json:"reason,omitempty"`
}

// UsageReport holds the measured resource usage of a worker. Lag is the age of the measurement when it is sent.
type UsageReport struct {
	Lag        time.Duration `json:"lag"`
	MilliCores int64         `json:"milli_cores"`
	MemoryMB   int64         `json:"memory_mb"`
	// Slowdown is the measured run time of requests divided by their run time on an idle worker, for each kind.
	Slowdown map[string]float64 `json:"slowdown,omitempty"`
}

// StartRequest starts one attempt. A repeated call with the same TaskRef has no further effect.
type StartRequest struct {
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	// Incarnation is the worker incarnation in the Place record. A worker refuses a call that names another
	// incarnation: it loses its fence in a restart, so a delayed start call of an earlier owner would otherwise run
	// (spec/shard.pml, mutant NO_BOOT).
	Incarnation instance.Incarnation `json:"boot"`
	// NotAfter is the reading of the worker's clock from which on the worker must refuse the call with RefusalNoLease.
	// It is a reading from an earlier reply plus the TTL, so a delayed start call cannot run once the owner considers
	// the lease expired.
	NotAfter time.Duration `json:"not_after,omitempty"`
	TaskRef
	Kind string          `json:"kind"`
	Size resource.Vector `json:"size"`
	// RunTime is the declared run time; the actual one can differ.
	RunTime         time.Duration `json:"run_time"`
	CheckpointEvery time.Duration `json:"checkpoint_every,omitempty"`
	// Checkpoint names the checkpoint from which the attempt resumes; if it is empty, the attempt starts from the
	// beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Service marks a task that runs until it is stopped.
	Service bool `json:"service,omitempty"`
}

// StopRequest stops one attempt, after writing a checkpoint if Checkpoint is set. The worker then reports Outcome as
// its result.
type StopRequest struct {
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	TaskRef
	Checkpoint bool    `json:"checkpoint,omitempty"`
	Outcome    Outcome `json:"outcome"`
}

// ThrottleRequest limits the processor time of one attempt to Fraction, between 0 and 1, of the task's size.
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
	// Known reports whether the attempt had been started or had ended before the call.
	Known      bool   `json:"known,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// CancelRequest cancels a request whose answer a gateway no longer waits for. After a reply without a refusal the
// request is not in progress, and the worker refuses it if it arrives later, so the gateway may reuse its slot. A
// running non-idempotent request is never interrupted: the call is refused with RefusalInProgress until that request
// has ended.
type CancelRequest struct {
	Gateway   instance.Incarnation `json:"gateway"`
	RequestID string               `json:"request_id"`
}
