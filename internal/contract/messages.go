package contract

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// MessageKind identifies the type of a message between processes.
type MessageKind uint8

// The kinds of messages. A reply has its own kind.
const (
	KindGrantRequest MessageKind = iota + 1
	KindGrantReply
	KindForward
	KindForwardReply
	KindHeartbeat
	KindHeartbeatReply
	KindJobStatus
	KindJobStatusReply
	KindExplain
	KindExplainReply
	KindConfigFetch
	KindConfigFetchReply
	KindShardStatus
	KindShardStatusReply
	KindFailure
)

// Message is a request or a reply between processes.
type Message interface{ MessageKind() MessageKind }

// GrantRequest asks the owner of a shard for slots. A gateway sends it once a second; it is also the gateway's
// heartbeat.
type GrantRequest struct {
	Shard       string               `cbor:"1,keyasint"`
	Gateway     instance.ID          `cbor:"2,keyasint"`
	Incarnation instance.Incarnation `cbor:"3,keyasint"`
	DataCentre  string               `cbor:"4,keyasint"`
	// Demand is the number of slots that the gateway could use at present, summed over all shards.
	Demand int `cbor:"5,keyasint"`
	// Epoch and Generation identify the newest grant that the gateway has applied. On every worker it uses at most the
	// slots of that grant, and it returns to no earlier grant.
	Epoch      uint64 `cbor:"6,keyasint"`
	Generation uint64 `cbor:"7,keyasint"`
	// Leaving reports that the gateway is stopping and returns all its slots; the reply is an empty grant.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Config is the version of the manifest that the gateway applies.
	Config uint64 `cbor:"9,keyasint"`
}

// WorkerGrant is the number of slots of a worker that are reserved for one gateway.
type WorkerGrant struct {
	Worker instance.ID `cbor:"1,keyasint"`
	Addr   string      `cbor:"2,keyasint"`
	Slots  int         `cbor:"3,keyasint"`
}

// GrantReply is the complete grant of a gateway in a shard. It replaces earlier grants of the same epoch.
type GrantReply struct {
	Shard      string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"`
	// TTL is how long the gateway may start requests on this grant, counted from the time at which it sent
	// GrantRequest.
	TTL     time.Duration `cbor:"4,keyasint"`
	Workers []WorkerGrant `cbor:"5,keyasint,omitempty"`
	// Unchanged reports that Workers is omitted because the grant still has the generation of the request.
	Unchanged bool `cbor:"6,keyasint,omitempty"`
	// Pending is the number of batch tasks that wait in the shard, FreeMilliCores the processor capacity of its workers
	// that is not reserved. Gateways use both to choose the shard of a new job.
	Pending        int   `cbor:"7,keyasint"`
	FreeMilliCores int64 `cbor:"8,keyasint"`
}

// Forward passes a request on to the gateway that issued its ticket, or to a gateway with free slots.
type Forward struct {
	RequestID string        `cbor:"1,keyasint"`
	Kind      string        `cbor:"2,keyasint"`
	Team      string        `cbor:"3,keyasint"`
	Ticket    string        `cbor:"4,keyasint,omitempty"`
	Timeout   time.Duration `cbor:"5,keyasint"`
	Body      []byte        `cbor:"6,keyasint"`
}

// AnswerState is the outcome of a request.
type AnswerState uint8

// The outcomes of a request.
const (
	// AnswerWhole: the request was run and the reply holds its complete answer.
	AnswerWhole AnswerState = iota + 1
	// AnswerNotRun: the request was certainly not run.
	AnswerNotRun
	// AnswerUnknown: the request may have been run, but there is no complete answer.
	AnswerUnknown
)

// ForwardReply is the answer to a forwarded request.
type ForwardReply struct {
	RequestID  string        `cbor:"1,keyasint"`
	State      AnswerState   `cbor:"2,keyasint"`
	Reason     string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Body       []byte        `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is sent between schedulers every second.
type Heartbeat struct {
	From        instance.ID          `cbor:"1,keyasint"`
	Incarnation instance.Incarnation `cbor:"2,keyasint"`
	Config      uint64               `cbor:"3,keyasint"`
	Leaving     bool                 `cbor:"4,keyasint,omitempty"`
	// LogReachable reports whether the sender has read the log within the last few seconds.
	LogReachable bool `cbor:"5,keyasint,omitempty"`
	// Owned lists the shards that the sender owns, so that every scheduler knows the owners of all shards without
	// reading their streams.
	Owned []OwnedShard `cbor:"6,keyasint,omitempty"`
}

// OwnedShard is a shard with the epoch of its owner.
type OwnedShard struct {
	_     struct{} `cbor:",toarray"`
	Shard string
	Epoch uint64
}

// HeartbeatReply identifies the receiver, so that the sender detects an address that now belongs to another instance.
type HeartbeatReply struct {
	From         instance.ID          `cbor:"1,keyasint"`
	Incarnation  instance.Incarnation `cbor:"2,keyasint"`
	LogReachable bool                 `cbor:"3,keyasint,omitempty"`
	Owned        []OwnedShard         `cbor:"4,keyasint,omitempty"`
	Config       uint64               `cbor:"5,keyasint,omitempty"`
	Leaving      bool                 `cbor:"6,keyasint,omitempty"`
}

// JobStatus asks the owner of a shard for one job, or for all jobs of the shard if Job is empty.
type JobStatus struct {
	Shard string `cbor:"1,keyasint"`
	Job   string `cbor:"2,keyasint,omitempty"`
}

// JobState summarises one job.
type JobState struct {
	Job       string    `cbor:"1,keyasint" json:"job"`
	Kind      string    `cbor:"2,keyasint" json:"kind"`
	Team      string    `cbor:"3,keyasint" json:"team"`
	Shard     string    `cbor:"4,keyasint" json:"shard"`
	Tasks     int       `cbor:"5,keyasint" json:"tasks"`
	Pending   int       `cbor:"6,keyasint" json:"pending"`
	Running   int       `cbor:"7,keyasint" json:"running"`
	Done      int       `cbor:"8,keyasint" json:"done"`
	Failed    int       `cbor:"9,keyasint" json:"failed"`
	Cancelled int       `cbor:"10,keyasint" json:"cancelled"`
	Attempts  int       `cbor:"11,keyasint" json:"attempts"`
	Evicted   int       `cbor:"12,keyasint" json:"evicted"`
	Resumed   int       `cbor:"13,keyasint" json:"resumed"`
	Submitted time.Time `cbor:"14,keyasint" json:"submitted"`
	Deadline  time.Time `cbor:"15,keyasint" json:"deadline"`
	// Ended is the time of the last Close record; it is zero while tasks are pending or running.
	Ended time.Time `cbor:"16,keyasint" json:"ended,omitzero"`
	// Cost is in millionths of the manifest's currency.
	Cost int64 `cbor:"17,keyasint" json:"cost_micros"`
	// Parked is the reason why the job's tasks fit on no worker; it is empty if they fit on one.
	Parked string `cbor:"18,keyasint,omitempty" json:"parked,omitempty"`
	// Transferred is the number of tasks that were moved to another shard.
	Transferred int `cbor:"19,keyasint,omitempty" json:"transferred,omitempty"`
}

// JobStatusReply lists the requested jobs. The list is empty if the job is unknown.
type JobStatusReply struct {
	Epoch uint64     `cbor:"1,keyasint"`
	Jobs  []JobState `cbor:"2,keyasint"`
}

// Explain asks the owner of a shard to explain the state of a job or worker.
type Explain struct {
	Shard   string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
}

// ExplainReply holds lines of text for an operator: the decisions, their reasons and the rejected alternatives.
type ExplainReply struct {
	Lines []string `cbor:"1,keyasint"`
}

// ConfigFetch asks a peer for the manifest that it applies. It is used while the log cannot be read.
type ConfigFetch struct{}

// ConfigFetchReply holds the newest manifest that the peer applies, and its offset in the config stream. Offset is
// zero if the peer has none.
type ConfigFetchReply struct {
	Offset   uint64 `cbor:"1,keyasint"`
	Manifest []byte `cbor:"2,keyasint"`
}

// ShardStatus asks a scheduler for the shards that it owns.
type ShardStatus struct{}

// ShardState summarises one shard as its owner sees it.
type ShardState struct {
	Shard      string      `cbor:"1,keyasint" json:"shard"`
	Owner      instance.ID `cbor:"2,keyasint" json:"owner"`
	Epoch      uint64      `cbor:"3,keyasint" json:"epoch"`
	Offset     uint64      `cbor:"4,keyasint" json:"offset"`
	Workers    int         `cbor:"5,keyasint" json:"workers"`
	Fenced     int         `cbor:"6,keyasint" json:"fenced"`
	Pending    int         `cbor:"7,keyasint" json:"pending"`
	Running    int         `cbor:"8,keyasint" json:"running"`
	SlotsGiven int         `cbor:"9,keyasint" json:"slots_granted"`
	Snapshot   uint64      `cbor:"10,keyasint" json:"snapshot"`
}

// ShardStatusReply lists the shards of one scheduler.
type ShardStatusReply struct {
	Shards []ShardState `cbor:"1,keyasint"`
}

// FailureCode is the machine-readable reason why a call failed.
type FailureCode string

// The reasons why a call fails.
const (
	FailureNotOwner    FailureCode = "not-owner"
	FailureNotReady    FailureCode = "not-ready"
	FailureMalformed   FailureCode = "malformed"
	FailureForbidden   FailureCode = "forbidden"
	FailureUnsupported FailureCode = "unsupported"
)

// Failure is the reply to a failed call. It implements error: handlers return it, and the calling process finds it with
// errors.As.
type Failure struct {
	Code   FailureCode `cbor:"1,keyasint"`
	Detail string      `cbor:"2,keyasint,omitempty"`
	// Owner is set with FailureNotOwner: the address of the shard's owner, if the sender knows it.
	Owner string `cbor:"3,keyasint,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Detail }

// MessageKind implements Message.
func (GrantRequest) MessageKind() MessageKind { return KindGrantRequest }

// MessageKind implements Message.
func (GrantReply) MessageKind() MessageKind { return KindGrantReply }

// MessageKind implements Message.
func (Forward) MessageKind() MessageKind { return KindForward }

// MessageKind implements Message.
func (ForwardReply) MessageKind() MessageKind { return KindForwardReply }

// MessageKind implements Message.
func (Heartbeat) MessageKind() MessageKind { return KindHeartbeat }

// MessageKind implements Message.
func (HeartbeatReply) MessageKind() MessageKind { return KindHeartbeatReply }

// MessageKind implements Message.
func (JobStatus) MessageKind() MessageKind { return KindJobStatus }

// MessageKind implements Message.
func (JobStatusReply) MessageKind() MessageKind { return KindJobStatusReply }

// MessageKind implements Message.
func (Explain) MessageKind() MessageKind { return KindExplain }

// MessageKind implements Message.
func (ExplainReply) MessageKind() MessageKind { return KindExplainReply }

// MessageKind implements Message.
func (ConfigFetch) MessageKind() MessageKind { return KindConfigFetch }

// MessageKind implements Message.
func (ConfigFetchReply) MessageKind() MessageKind { return KindConfigFetchReply }

// MessageKind implements Message.
func (ShardStatus) MessageKind() MessageKind { return KindShardStatus }

// MessageKind implements Message.
func (ShardStatusReply) MessageKind() MessageKind { return KindShardStatusReply }

// MessageKind implements Message.
func (Failure) MessageKind() MessageKind { return KindFailure }
