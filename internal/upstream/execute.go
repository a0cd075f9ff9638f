package upstream

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// MaxAnswerBytes is the largest answer to a request, in bytes.
const MaxAnswerBytes = 1 << 20

// ExecuteRequest is one request to a worker. It occupies a slot of the grant that Shard, Epoch and Generation identify.
type ExecuteRequest struct {
	RequestID  string
	Kind       string
	Shard      string
	Epoch      uint64
	Gateway    instance.Incarnation
	Generation uint64
	// Timeout is the time left until the caller's deadline; it is zero if there is none.
	Timeout time.Duration
	// NonIdempotent marks a request that must not be executed twice.
	NonIdempotent bool
	Body          []byte
}

// Answer is a complete answer that has passed verification.
type Answer struct {
	RequestID string
	Body      []byte
	Digest    string
}

// Digest returns the digest of an answer's body as workers send it: xxHash64 in 16 hexadecimal digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Header returns the HTTP headers of the request.
func (r *ExecuteRequest) Header() http.Header {
	h := http.Header{"Content-Type": {"application/octet-stream"}}
	h.Set(HeaderRequestID, r.RequestID)
	h.Set(HeaderKind, r.Kind)
	h.Set(HeaderShard, r.Shard)
	h.Set(HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
	h.Set(HeaderGateway, string(r.Gateway))
	h.Set(HeaderGeneration, strconv.FormatUint(r.Generation, 10))
	if r.Timeout > 0 {
		h.Set(HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	if r.NonIdempotent {
		h.Set(HeaderNonIdempotent, "1")
	}
	return h
}

// Execute sends a request and verifies the answer. An error is a *NotRunError, *UnknownError or *CorruptAnswerError.
func (c *Client) Execute(ctx context.Context, addr string, r ExecuteRequest) (Answer, error) {
	resp, sent, err := c.post(ctx, addr, PathExecute, r.Header(), r.Body)
	switch {
	case err != nil && !sent:
		return Answer{}, &NotRunError{Addr: addr, Err: err}
	case err != nil:
		return Answer{}, &UnknownError{Addr: addr, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	// The request id is checked first, because a refusal of another request says nothing about this one.
	if got := resp.Header.Get(HeaderRequestID); got != r.RequestID {
		if got == "" && resp.StatusCode != http.StatusOK {
			return Answer{}, &UnknownError{Addr: addr, Err: &StatusError{Status: resp.StatusCode}}
		}
		return Answer{}, &CorruptAnswerError{Addr: addr, Check: CheckRequestID, Want: r.RequestID, Got: got}
	}
	if reason := resp.Header.Get(HeaderNotRun); reason != "" && resp.StatusCode != http.StatusOK {
		// Reading the body to its end allows the connection to be reused.
		_, _ = readBody(resp.Body, MaxAnswerBytes)
		return Answer{}, &NotRunError{Addr: addr, Reason: Refusal(reason)}
	}
	if resp.StatusCode != http.StatusOK {
		return Answer{}, &UnknownError{Addr: addr, Err: &StatusError{Status: resp.StatusCode}}
	}
	body, err := readBody(resp.Body, MaxAnswerBytes)
	if err != nil {
		return Answer{}, &UnknownError{Addr: addr, Err: err}
	}
	return verify(addr, r.RequestID, resp.Header, body)
}

func verify(addr, id string, h http.Header, body []byte) (Answer, error) {
	if want := h.Get(HeaderLength); want != strconv.Itoa(len(body)) {
		return Answer{}, &CorruptAnswerError{Addr: addr, Check: CheckLength, Want: want, Got: strconv.Itoa(len(body))}
	}
	digest := Digest(body)
	if want := h.Get(HeaderDigest); want != digest {
		return Answer{}, &CorruptAnswerError{Addr: addr, Check: CheckDigest, Want: want, Got: digest}
	}
	return Answer{RequestID: id, Body: body, Digest: digest}, nil
}
