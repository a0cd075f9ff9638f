package link

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
)

const (
	// MaxMessageBytes bounds one message. A forwarded answer is at most 1 MiB; the rest leaves room for its envelope.
	MaxMessageBytes = 2 << 20

	lengthBytes = 4
	// readChunk bounds what a peer can make the receiver allocate by announcing a length without sending the bytes.
	readChunk = 64 << 10
)

// SizeError reports a message above MaxMessageBytes.
type SizeError struct{ Size int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, MaxMessageBytes)
}

// encodeFrame returns a message with its length in front.
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

// readFrame reads one message and returns it with the number of bytes it took.
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

func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, readChunk))
	for len(body) < n {
		have := len(body)
		body = append(body, make([]byte, min(n-have, readChunk))...)
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return body[:have], errors.WithStack(err)
		}
	}
	return body, nil
}
