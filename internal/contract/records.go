// Package contract holds what the system's processes agree on: the records in the log and the messages on links.
package contract

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// RecordID identifies a record. An append that is retried keeps the id; readers ignore the second copy.
type RecordID [16]byte

// RecordKind tells the type of a record's body.
type RecordKind uint8

// The kinds of records.
const (
	KindPublish RecordKind = iota + 1
	KindClaim
	KindRelease
	KindSubmit
	KindCancel
	KindPlace
	KindClose
	KindTransferOut
	KindTransferIn
	KindSnapshotPart
	KindSnapshotEnd
	KindDrain
)

// Record is one record of a stream.
type Record struct {
	_    struct{} `cbor:",toarray"`
	ID   RecordID
	Kind RecordKind
	// Epoch is zero for records that anyone may write: publications, claims, submissions, cancellations, transfers in and drains.
	Epoch uint64
	Body  cbor.RawMessage
}

// Body is the typed content of a record.
type Body interface{ RecordKind() RecordKind }

// Publish carries a manifest in the config stream. It takes effect only if Replaces is the offset of the newest
// publication in effect before it (zero for the first one).
type Publish struct {
	Replaces uint64    `cbor:"1,keyasint"`
	Manifest []byte    `cbor:"2,keyasint"`
	Operator string    `cbor:"3,keyasint"`
	At       time.Time `cbor:"4,keyasint"`
}

// Claim opens an epoch of a shard; the epoch's number is the offset of the record.
type Claim struct {
	Owner       instance.ID          `cbor:"1,keyasint"`
	Incarnation instance.Incarnation `cbor:"2,keyasint"`
	Addr        string               `cbor:"3,keyasint"`
	// After is the newest epoch that the claimant has read. A claim is void if another claim lies between.
	After uint64 `cbor:"4,keyasint"`
	// Snapshot is the offset of the first part of the newest whole snapshot, zero if there is none.
	Snapshot uint64 `cbor:"5,keyasint"`
	// TTL and Isolation are the lease TTL and the isolation limit of this epoch. They stay as they are when the manifest changes, so
	// that a later owner knows how long this one may renew.
	TTL       time.Duration `cbor:"6,keyasint,omitempty"`
	Isolation time.Duration `cbor:"7,keyasint,omitempty"`
}

// Release ends an epoch. The owner renews no lease and grants no slot after it.
type Release struct{}

// Submit adds a job to a shard. A second submission with the same job id is ignored.
type Submit struct {
	Job       string    `cbor:"1,keyasint"`
	Kind      string    `cbor:"2,keyasint"`
	Team      string    `cbor:"3,keyasint"`
	Tasks     int       `cbor:"4,keyasint"`
	Submitted time.Time `cbor:"5,keyasint"`
	Deadline  time.Time `cbor:"6,keyasint"`
	// Config is the offset of the manifest that the job was checked against.
	Config uint64 `cbor:"7,keyasint"`
	// RunTime is the declared run time of each task; it overrides the manifest if it is positive.
	RunTime time.Duration `cbor:"8,keyasint,omitempty"`
	// Service marks a job whose tasks are restarted whenever they end. A later Submit of a service job changes the number
	// of its tasks.
	Service bool `cbor:"9,keyasint,omitempty"`
}

// Cancel ends a job. Pending tasks end at once; running ones are stopped and closed.
type Cancel struct {
	Job string    `cbor:"1,keyasint"`
	At  time.Time `cbor:"2,keyasint"`
}

// Place assigns an attempt of a task to a worker.
type Place struct {
	upstream.TaskRef
	Worker     instance.ID `cbor:"4,keyasint"`
	Checkpoint string      `cbor:"5,keyasint,omitempty"`
	At         time.Time   `cbor:"6,keyasint"`
	// Reason tells why this worker was chosen, for clementinectl explain.
	Reason string `cbor:"7,keyasint,omitempty"`
	// Boot is the worker's incarnation at the time of the decision. The worker refuses to start the attempt under another one.
	Boot instance.Incarnation `cbor:"8,keyasint"`
}

// Close ends an attempt. The next attempt may be placed only after it.
type Close struct {
	upstream.TaskRef
	Outcome    upstream.Outcome `cbor:"4,keyasint"`
	Checkpoint string           `cbor:"5,keyasint,omitempty"`
	RunTime    time.Duration    `cbor:"6,keyasint"`
	At         time.Time        `cbor:"7,keyasint"`
	Reason     string           `cbor:"8,keyasint,omitempty"`
	// Cost is the price of the attempt in millionths of the manifest's currency.
	Cost int64 `cbor:"9,keyasint,omitempty"`
	// Final tells that the task has used up its attempts and is not placed again.
	Final bool `cbor:"10,keyasint,omitempty"`
}

// Transferred describes one pending task that moves between shards.
type Transferred struct {
	Index      int    `cbor:"1,keyasint"`
	Attempts   int    `cbor:"2,keyasint"`
	Checkpoint string `cbor:"3,keyasint,omitempty"`
}

// TransferOut removes pending tasks of a job from a shard. The owner repeats TransferIn with the record id In until
// it has read it in the target's stream.
type TransferOut struct {
	Job   string        `cbor:"1,keyasint"`
	To    string        `cbor:"2,keyasint"`
	In    RecordID      `cbor:"3,keyasint"`
	Tasks []Transferred `cbor:"4,keyasint"`
	// Done marks a later record with the same In: TransferIn was read in the target's stream and needs no repetition.
	Done bool `cbor:"5,keyasint,omitempty"`
}

// TransferIn adds tasks of a job that another shard gave up.
type TransferIn struct {
	Submit Submit        `cbor:"1,keyasint"`
	From   string        `cbor:"2,keyasint"`
	Tasks  []Transferred `cbor:"3,keyasint"`
}

// SnapshotPart is one piece of a shard's state.
type SnapshotPart struct {
	// Snapshot is the record id of the first part, which names the snapshot.
	Snapshot RecordID `cbor:"1,keyasint"`
	Part     int      `cbor:"2,keyasint"`
	Data     []byte   `cbor:"3,keyasint"`
}

// SnapshotEnd completes a snapshot of Parts parts, the first of which lies at offset First.
type SnapshotEnd struct {
	Snapshot RecordID `cbor:"1,keyasint"`
	Parts    int      `cbor:"2,keyasint"`
	First    uint64   `cbor:"3,keyasint"`
	// Covers is the offset of the last record that the snapshot includes.
	Covers uint64 `cbor:"4,keyasint"`
}

// Drain asks the owner to place no new work on a worker and to move its tasks, or to stop doing so.
type Drain struct {
	Worker instance.ID `cbor:"1,keyasint"`
	Drain  bool        `cbor:"2,keyasint"`
}

// RecordKind implements Body.
func (Publish) RecordKind() RecordKind { return KindPublish }

// RecordKind implements Body.
func (Claim) RecordKind() RecordKind { return KindClaim }

// RecordKind implements Body.
func (Release) RecordKind() RecordKind { return KindRelease }

// RecordKind implements Body.
func (Submit) RecordKind() RecordKind { return KindSubmit }

// RecordKind implements Body.
func (Cancel) RecordKind() RecordKind { return KindCancel }

// RecordKind implements Body.
func (Place) RecordKind() RecordKind { return KindPlace }

// RecordKind implements Body.
func (Close) RecordKind() RecordKind { return KindClose }

// RecordKind implements Body.
func (TransferOut) RecordKind() RecordKind { return KindTransferOut }

// RecordKind implements Body.
func (TransferIn) RecordKind() RecordKind { return KindTransferIn }

// RecordKind implements Body.
func (SnapshotPart) RecordKind() RecordKind { return KindSnapshotPart }

// RecordKind implements Body.
func (SnapshotEnd) RecordKind() RecordKind { return KindSnapshotEnd }

// RecordKind implements Body.
func (Drain) RecordKind() RecordKind { return KindDrain }
