package contract

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// MaxRecordBytes is the largest encoded record that DecodeRecord accepts, so that corrupt data cannot exhaust memory.
const MaxRecordBytes = 1 << 20

// DecodeError reports bytes that are not a valid record or message.
type DecodeError struct {
	// What names the object that was decoded, for example "record body".
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("cannot decode %s: %v", e.What, e.Err) }

// Unwrap returns the cause, usually an error of the CBOR library.
func (e *DecodeError) Unwrap() error { return e.Err }

// UnknownKindError reports a record or message kind that this version does not know.
type UnknownKindError struct {
	// What is "record" or "message".
	What string
	Kind uint8
}

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown %s kind %d", e.What, e.Kind) }

// NewRecordID returns a random record id.
func NewRecordID() RecordID { return RecordID(uuid.New()) }

var (
	decMode = mustDecMode()
	encMode = mustEncMode()
)

// mustEncMode returns an encoder that keeps the microseconds of times; the library's default truncates them to seconds.
func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeRecord returns the encoded record. A retried append must send the same bytes, so that the record keeps its id.
func EncodeRecord(id RecordID, epoch uint64, b Body) ([]byte, error) {
	body, err := encMode.Marshal(b)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out, err := encMode.Marshal(Record{ID: id, Kind: b.RecordKind(), Epoch: epoch, Body: body})
	return out, errors.WithStack(err)
}

// DecodeRecord returns the record and its body, a pointer to one of the body types. It returns *DecodeError or
// *UnknownKindError for bytes that it cannot decode.
func DecodeRecord(data []byte) (Record, Body, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, nil, &DecodeError{What: "record", Err: &UnknownKindError{What: "oversized record", Kind: 0}}
	}
	if err := decMode.Unmarshal(data, &r); err != nil {
		return r, nil, &DecodeError{What: "record", Err: err}
	}
	b := newBody(r.Kind)
	if b == nil {
		return r, nil, &UnknownKindError{What: "record", Kind: uint8(r.Kind)}
	}
	if err := decMode.Unmarshal(r.Body, b); err != nil {
		return r, nil, &DecodeError{What: "record body", Err: err}
	}
	return r, b, nil
}

func newBody(k RecordKind) Body {
	switch k {
	case KindPublish:
		return new(Publish)
	case KindClaim:
		return new(Claim)
	case KindRelease:
		return new(Release)
	case KindSubmit:
		return new(Submit)
	case KindCancel:
		return new(Cancel)
	case KindPlace:
		return new(Place)
	case KindClose:
		return new(Close)
	case KindTransferOut:
		return new(TransferOut)
	case KindTransferIn:
		return new(TransferIn)
	case KindSnapshotPart:
		return new(SnapshotPart)
	case KindSnapshotEnd:
		return new(SnapshotEnd)
	case KindDrain:
		return new(Drain)
	}
	return nil
}

// envelope is the encoded form of a message.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind MessageKind
	Body cbor.RawMessage
}

// EncodeMessage returns the encoded message.
func EncodeMessage(m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out, err := encMode.Marshal(envelope{Kind: m.MessageKind(), Body: body})
	return out, errors.WithStack(err)
}

// DecodeMessage returns a pointer to one of the message types. It returns *DecodeError or *UnknownKindError for bytes
// that it cannot decode.
func DecodeMessage(data []byte) (Message, error) {
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return nil, &DecodeError{What: "message", Err: err}
	}
	m := newMessage(e.Kind)
	if m == nil {
		return nil, &UnknownKindError{What: "message", Kind: uint8(e.Kind)}
	}
	if err := decMode.Unmarshal(e.Body, m); err != nil {
		return nil, &DecodeError{What: "message body", Err: err}
	}
	return m, nil
}

func newMessage(k MessageKind) Message {
	switch k {
	case KindGrantRequest:
		return new(GrantRequest)
	case KindGrantReply:
		return new(GrantReply)
	case KindForward:
		return new(Forward)
	case KindForwardReply:
		return new(ForwardReply)
	case KindHeartbeat:
		return new(Heartbeat)
	case KindHeartbeatReply:
		return new(HeartbeatReply)
	case KindJobStatus:
		return new(JobStatus)
	case KindJobStatusReply:
		return new(JobStatusReply)
	case KindExplain:
		return new(Explain)
	case KindExplainReply:
		return new(ExplainReply)
	case KindConfigFetch:
		return new(ConfigFetch)
	case KindConfigFetchReply:
		return new(ConfigFetchReply)
	case KindShardStatus:
		return new(ShardStatus)
	case KindShardStatusReply:
		return new(ShardStatusReply)
	case KindFailure:
		return new(Failure)
	}
	return nil
}
