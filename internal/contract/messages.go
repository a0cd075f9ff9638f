package contract

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// MessageKind tells the type of a message on a link.
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

// Message is one request or reply on a link.
type Message interface{ MessageKind() MessageKind }

// GrantRequest asks the owner of a shard for slots. It is sent once a second and serves as the gateway's heartbeat.
type GrantRequest struct {
	Shard       string               `cbor:"1,keyasint"`
	Gateway     instance.ID          `cbor:"2,keyasint"`
	Incarnation instance.Incarnation `cbor:"3,keyasint"`
	DataCentre  string               `cbor:"4,keyasint"`
	// Demand is the number of slots that the gateway could use now, over all shards.
	Demand int `cbor:"5,keyasint"`
	// Epoch and Generation name the newest grant with which the gateway complies: on no worker does it use more slots
	// than that grant gives, and it will not do so again.
	Epoch      uint64 `cbor:"6,keyasint"`
	Generation uint64 `cbor:"7,keyasint"`
	// Leaving returns everything; the reply is an empty grant.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Config is the version that the gateway has in force.
	Config uint64 `cbor:"9,keyasint"`
}

// WorkerGrant is the number of slots of a worker that a gateway may use alone.
type WorkerGrant struct {
	Worker instance.ID `cbor:"1,keyasint"`
	Addr   string      `cbor:"2,keyasint"`
	Slots  int         `cbor:"3,keyasint"`
}

// GrantReply is the whole grant of a gateway in a shard. It replaces older ones of the same epoch.
type GrantReply struct {
	Shard      string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"`
	// TTL is how long the gateway may start requests on this grant, from the time it sent the request.
	TTL     time.Duration `cbor:"4,keyasint"`
	Workers []WorkerGrant `cbor:"5,keyasint,omitempty"`
	// Unchanged tells that Workers is omitted because the grant has the generation that the request named.
	Unchanged bool `cbor:"6,keyasint,omitempty"`
	// Pending is the number of batch tasks that wait in the shard, FreeMilliCores what its workers still hold. Gateways choose
	// a shard for new jobs with them.
	Pending        int   `cbor:"7,keyasint"`
	FreeMilliCores int64 `cbor:"8,keyasint"`
}

// Forward carries a request to the gateway that issued its ticket, or to a peer with free slots.
type Forward struct {
	RequestID string        `cbor:"1,keyasint"`
	Kind      string        `cbor:"2,keyasint"`
	Team      string        `cbor:"3,keyasint"`
	Ticket    string        `cbor:"4,keyasint,omitempty"`
	Timeout   time.Duration `cbor:"5,keyasint"`
	Body      []byte        `cbor:"6,keyasint"`
}

// AnswerState is one of the three answers to a request.
type AnswerState uint8

// The three answers.
const (
	AnswerWhole AnswerState = iota + 1
	AnswerNotRun
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
	// LogReachable tells whether the sender has read the log within the last few seconds.
	LogReachable bool `cbor:"5,keyasint,omitempty"`
	// Owned lists the shards that the sender owns, so that every scheduler knows the owners without reading their streams.
	Owned []OwnedShard `cbor:"6,keyasint,omitempty"`
}

// OwnedShard names one shard and the epoch of its owner.
type OwnedShard struct {
	_     struct{} `cbor:",toarray"`
	Shard string
	Epoch uint64
}

// HeartbeatReply names the receiver, so that a reused address is noticed.
type HeartbeatReply struct {
	From         instance.ID          `cbor:"1,keyasint"`
	Incarnation  instance.Incarnation `cbor:"2,keyasint"`
	LogReachable bool                 `cbor:"3,keyasint,omitempty"`
	Owned        []OwnedShard         `cbor:"4,keyasint,omitempty"`
	Config       uint64               `cbor:"5,keyasint,omitempty"`
	Leaving      bool                 `cbor:"6,keyasint,omitempty"`
}

// JobStatus asks an owner for one job, or for all jobs of a shard if Job is empty.
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
	// Ended is the time of the last close, zero while tasks are pending or running.
	Ended time.Time `cbor:"16,keyasint" json:"ended,omitzero"`
	// Cost is in millionths of the manifest's currency.
	Cost int64 `cbor:"17,keyasint" json:"cost_micros"`
	// Parked is the reason why no worker can hold the job's tasks; empty if one can.
	Parked string `cbor:"18,keyasint,omitempty" json:"parked,omitempty"`
	// Transferred counts tasks that moved to another shard.
	Transferred int `cbor:"19,keyasint,omitempty" json:"transferred,omitempty"`
}

// JobStatusReply holds the jobs asked for. An unknown job gives an empty list.
type JobStatusReply struct {
	Epoch uint64     `cbor:"1,keyasint"`
	Jobs  []JobState `cbor:"2,keyasint"`
}

// Explain asks an owner about a job or worker.
type Explain struct {
	Shard   string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
}

// ExplainReply holds lines of text: decisions, their reasons and the alternatives.
type ExplainReply struct {
	Lines []string `cbor:"1,keyasint"`
}

// ConfigFetch asks a peer for its manifest while the log is down.
type ConfigFetch struct{}

// ConfigFetchReply is the newest manifest in force at a peer; Version is zero if it has none.
type ConfigFetchReply struct {
	Version  uint64 `cbor:"1,keyasint"`
	Manifest []byte `cbor:"2,keyasint"`
}

// ShardStatus asks a scheduler for the shards it owns.
type ShardStatus struct{}

// ShardState summarises one shard at its owner.
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

// FailureCode is the machine-readable reason of a failed call.
type FailureCode string

// The reasons of a failed call.
const (
	FailureNotOwner    FailureCode = "not-owner"
	FailureNotReady    FailureCode = "not-ready"
	FailureMalformed   FailureCode = "malformed"
	FailureForbidden   FailureCode = "forbidden"
	FailureUnsupported FailureCode = "unsupported"
)

// Failure is the reply to a call that failed. It is an error, so that handlers return it and callers match it.
type Failure struct {
	Code   FailureCode `cbor:"1,keyasint"`
	Detail string      `cbor:"2,keyasint,omitempty"`
	// Owner is the address of the shard's owner as far as the receiver knows it, for FailureNotOwner.
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
