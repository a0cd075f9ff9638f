package link

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
)

const (
	// MaxMessageBytes is the largest encoded message. A forwarded answer has at most 1 MiB; the rest leaves room for
	// the other fields of its message.
	MaxMessageBytes = 2 << 20

	// lengthBytes is the size of the length prefix.
	lengthBytes = 4
	// readChunkBytes limits the memory that a peer can make the receiver allocate by announcing a length without
	// sending the bytes.
	readChunkBytes = 64 << 10
)

// SizeError reports a message of more than MaxMessageBytes.
type SizeError struct{ Size int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, MaxMessageBytes)
}

// encodeFrame returns the encoded message with its length prefix.
func encodeFrame(m contract.Message) ([]byte, error) {
	body, err := contract.EncodeMessage(m)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxMessageBytes {
		return nil, &SizeError{Size: len(body)}
	}
	out := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// readFrame reads one message. It returns the message and the number of bytes read, including the length prefix.
func readFrame(r io.Reader) (contract.Message, int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, errors.WithStack(err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxMessageBytes {
		return nil, lengthBytes, &SizeError{Size: int(n)}
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return nil, lengthBytes + len(body), err
	}
	m, err := contract.DecodeMessage(body)
	return m, lengthBytes + len(body), err
}

// readBody reads n bytes. Its buffer grows with the bytes that arrive, by at most readChunkBytes at a time.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, readChunkBytes))
	for len(body) < n {
		have := len(body)
		body = append(body, make([]byte, min(n-have, readChunkBytes))...)
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return body[:have], errors.WithStack(err)
		}
	}
	return body, nil
}
