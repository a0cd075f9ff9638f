// Package contract defines the formats that the system's processes share: the records in the log and the messages
// between processes.
package contract

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// RecordID identifies a record. A retried append keeps the id; readers ignore further copies of a record.
type RecordID [16]byte

// RecordKind identifies the type of a record's body.
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
	// Epoch is the epoch of the owner that wrote the record. It is zero for kinds that every process may write:
	// Publish, Claim, Submit, Cancel, TransferIn and Drain.
	Epoch uint64
	Body  cbor.RawMessage
}

// Body is the typed content of a record.
type Body interface{ RecordKind() RecordKind }

// Publish stores a manifest in the config stream. It takes effect only if Replaces is the offset of the newest Publish
// record in effect before it (zero for the first one).
type Publish struct {
	Replaces uint64    `cbor:"1,keyasint"`
	Manifest []byte    `cbor:"2,keyasint"`
	Operator string    `cbor:"3,keyasint"`
	At       time.Time `cbor:"4,keyasint"`
}

// Claim begins an epoch of a shard; the epoch's number is the offset of the record.
type Claim struct {
	Owner       instance.ID          `cbor:"1,keyasint"`
	Incarnation instance.Incarnation `cbor:"2,keyasint"`
	Addr        string               `cbor:"3,keyasint"`
	// PreviousEpoch is the newest epoch that the claiming scheduler has read. A claim is void if the stream holds
	// another claim between that epoch and this record.
	PreviousEpoch uint64 `cbor:"4,keyasint"`
	// Snapshot is the offset of the first part of the newest complete snapshot; it is zero if there is none.
	Snapshot uint64 `cbor:"5,keyasint"`
	// TTL and Isolation are the lease TTL and the isolation limit of this epoch. A new manifest does not change them,
	// so that a later owner knows how long this one may renew leases.
	TTL       time.Duration `cbor:"6,keyasint,omitempty"`
	Isolation time.Duration `cbor:"7,keyasint,omitempty"`
}

// Release ends an epoch. After it the owner renews no lease and grants no slot.
type Release struct {
	// LeasesLeft is how long workers with open attempts may still hold leases. It can exceed the TTL of the epoch,
	// because an earlier owner may have granted longer leases.
	LeasesLeft time.Duration `cbor:"1,keyasint,omitempty"`
}

// Submit adds a job to a shard. A further record with the same job id is ignored, except for service jobs.
type Submit struct {
	Job       string    `cbor:"1,keyasint"`
	Kind      string    `cbor:"2,keyasint"`
	Team      string    `cbor:"3,keyasint"`
	Tasks     int       `cbor:"4,keyasint"`
	Submitted time.Time `cbor:"5,keyasint"`
	Deadline  time.Time `cbor:"6,keyasint"`
	// Config is the offset of the manifest against which the job was validated.
	Config uint64 `cbor:"7,keyasint"`
	// RunTime is the declared run time of each task. A positive value overrides the manifest.
	RunTime time.Duration `cbor:"8,keyasint,omitempty"`
	// Service marks a job whose tasks are restarted whenever they end. A later Submit record of a service job changes
	// its number of tasks.
	Service bool `cbor:"9,keyasint,omitempty"`
}

// Cancel cancels a job. Its pending tasks end at once; its running tasks are stopped and closed.
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
	// Reason says why this worker was chosen; clementinectl explain prints it.
	Reason string `cbor:"7,keyasint,omitempty"`
	// Incarnation is the worker's incarnation at the time of the decision. A worker with another incarnation refuses
	// the start.
	Incarnation instance.Incarnation `cbor:"8,keyasint"`
}

// Close records the end of an attempt. The next attempt of the task may be placed only after it.
type Close struct {
	upstream.TaskRef
	Outcome    upstream.Outcome `cbor:"4,keyasint"`
	Checkpoint string           `cbor:"5,keyasint,omitempty"`
	RunTime    time.Duration    `cbor:"6,keyasint"`
	At         time.Time        `cbor:"7,keyasint"`
	Reason     string           `cbor:"8,keyasint,omitempty"`
	// Cost is the price of the attempt in millionths of the manifest's currency.
	Cost int64 `cbor:"9,keyasint,omitempty"`
	// Final reports whether the task has used up its attempts and is not placed again.
	Final bool `cbor:"10,keyasint,omitempty"`
}

// Transferred describes one pending task that is moved to another shard.
type Transferred struct {
	Index      int    `cbor:"1,keyasint"`
	Attempts   int    `cbor:"2,keyasint"`
	Checkpoint string `cbor:"3,keyasint,omitempty"`
}

// TransferOut removes pending tasks of a job from a shard. The owner appends TransferIn with the record id In to the
// target's stream, and repeats the append until it has read the record there.
type TransferOut struct {
	Job   string        `cbor:"1,keyasint"`
	To    string        `cbor:"2,keyasint"`
	In    RecordID      `cbor:"3,keyasint"`
	Tasks []Transferred `cbor:"4,keyasint"`
	// Done marks a later record with the same In: TransferIn was read in the target's stream and is not repeated any
	// more.
	Done bool `cbor:"5,keyasint,omitempty"`
}

// TransferIn adds tasks of a job that another shard has removed with TransferOut.
type TransferIn struct {
	Submit Submit        `cbor:"1,keyasint"`
	From   string        `cbor:"2,keyasint"`
	Tasks  []Transferred `cbor:"3,keyasint"`
}

// SnapshotPart is one part of a snapshot of a shard's state.
type SnapshotPart struct {
	// Snapshot is the record id of the first part; it identifies the snapshot.
	Snapshot RecordID `cbor:"1,keyasint"`
	Part     int      `cbor:"2,keyasint"`
	Data     []byte   `cbor:"3,keyasint"`
}

// SnapshotEnd completes a snapshot of Parts parts, the first of which is at offset First.
type SnapshotEnd struct {
	Snapshot RecordID `cbor:"1,keyasint"`
	Parts    int      `cbor:"2,keyasint"`
	First    uint64   `cbor:"3,keyasint"`
	// Covers is the offset of the last record that the snapshot includes.
	Covers uint64 `cbor:"4,keyasint"`
}

// Drain asks the owner to place no new work on a worker and to move its tasks elsewhere. With a false Drain field it
// ends the drain.
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
