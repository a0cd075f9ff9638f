package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// callTimeout bounds one call apart from the wait that the caller asks for, so that a hung platform cannot hold a
// caller whose context has no deadline.
const callTimeout = 10 * time.Second

// caller sends single HTTP calls and turns their failures into this package's errors.
type caller struct {
	base   string
	client *http.Client
}

func newCaller(base string, c *http.Client) caller {
	return caller{base: strings.TrimSuffix(base, "/"), client: c}
}

// do sends in, if it is not nil, and decodes the answer into out, if it is not nil.
func (c caller) do(ctx context.Context, op, method, target string, wait time.Duration, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = Encode(in); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	var sent atomic.Bool
	// A connection is chosen again only if nothing was written to the one before, so the last choice decides.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", ContentType)
	resp, err := c.client.Do(req)
	if err != nil {
		return &UnavailableError{Op: op, MayHaveApplied: sent.Load(), Err: err}
	}
	defer func() {
		// A drained body lets the connection be used again.
		_, _ = io.CopyN(io.Discard, resp.Body, MaxBody)
		_ = resp.Body.Close()
	}()
	return decodeAnswer(op, resp, out)
}

func decodeAnswer(op string, resp *http.Response, out any) error {
	if resp.StatusCode >= http.StatusBadRequest {
		return answerError(op, resp)
	}
	if resp.StatusCode != http.StatusOK {
		return &UnavailableError{Op: op, MayHaveApplied: true, Err: &StatusError{Status: resp.StatusCode}}
	}
	if out == nil {
		return nil
	}
	if err := Decode(resp.Body, op+" answer", out); err != nil {
		return &UnavailableError{Op: op, MayHaveApplied: true, Err: err}
	}
	return nil
}

func answerError(op string, resp *http.Response) error {
	var r ErrorReply
	if err := Decode(resp.Body, op+" error", &r); err != nil {
		return &UnavailableError{Op: op, MayHaveApplied: true, Err: err}
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: max(0, r.RetryAfter)}
	case http.StatusGone:
		return &RetentionError{Oldest: r.Oldest}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusNotFound, http.StatusMethodNotAllowed:
		return &RequestError{Status: resp.StatusCode, Detail: r.Detail}
	}
	return &UnavailableError{Op: op, MayHaveApplied: true, Err: &StatusError{Status: resp.StatusCode}}
}
