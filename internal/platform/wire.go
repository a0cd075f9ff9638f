package platform

import (
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Limits of the protocol.
const (
	// MaxBody is the size limit of a request or answer in bytes.
	MaxBody = 16 << 20
	// MaxPageBytes limits the total size of the records of one page. A larger record is delivered alone.
	MaxPageBytes = 4 << 20
	// MaxWait limits how long a read waits for the next append.
	MaxWait = 30 * time.Second
	// ContentType is the media type of all bodies.
	ContentType = "application/cbor"
)

const (
	streamPrefix     = "/v1/streams/"
	recordsSuffix    = "/records"
	instancesPath    = "/v1/instances"
	queryFrom        = "from"
	queryLimit       = "limit"
	queryWait        = "wait_ms"
	queryRole        = "role"
	queryIncarnation = "incarnation"
	maxArrayElements = 1 << 17
	maxNestedLevels  = 16
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `cbor:"1,keyasint"`
}

// AppendReply answers an append.
type AppendReply struct {
	First uint64 `cbor:"1,keyasint"`
}

// MembersReply answers a read of the instance list.
type MembersReply struct {
	Members []instance.Member `cbor:"1,keyasint"`
}

// ErrorReply is the body of an answer with a status of 400 or above. RetryAfter is set with status 429, Oldest with
// status 410.
type ErrorReply struct {
	RetryAfter time.Duration `cbor:"1,keyasint,omitempty"`
	Oldest     uint64        `cbor:"2,keyasint,omitempty"`
	Detail     string        `cbor:"3,keyasint,omitempty"`
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxArrayElements,
		MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the CBOR encoding of a body.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.WithStack(err)
}

// Decode reads a body of at most MaxBody bytes and decodes it into v. what names the body in errors. Besides errors of
// r it returns *SizeError or *DecodeError.
func Decode(r io.Reader, what string, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return errors.WithStack(err)
	}
	if len(data) > MaxBody {
		return &SizeError{Limit: MaxBody}
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	return nil
}

// RecordsPath returns the escaped path of a stream's records. Slashes in the stream's name are not escaped.
func RecordsPath(stream string) string {
	parts := strings.Split(stream, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return streamPrefix + strings.Join(parts, "/") + recordsSuffix
}

// StreamOf returns the name of the stream in an unescaped path that RecordsPath has made, and whether there is one.
func StreamOf(path string) (stream string, ok bool) {
	rest, ok := strings.CutPrefix(path, streamPrefix)
	if !ok {
		return "", false
	}
	stream, ok = strings.CutSuffix(rest, recordsSuffix)
	return stream, ok && stream != ""
}
