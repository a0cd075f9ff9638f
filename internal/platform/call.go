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

// callTimeout limits one call, in addition to the wait that it requests from the platform, so that a platform that does
// not answer cannot block a call whose context has no deadline.
const callTimeout = 10 * time.Second

// caller sends HTTP calls to the platform and converts their failures to the errors of this package.
type caller struct {
	base   string
	client *http.Client
}

func newCaller(base string, c *http.Client) caller {
	return caller{base: strings.TrimSuffix(base, "/"), client: c}
}

// do sends one call with in as its body, unless it is nil, and decodes the answer into out, unless it is nil. wait is
// how long the platform may delay the answer.
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
	var gotConn atomic.Bool
	// The transport sends a call again on another connection only if nothing was written to the previous one, so only
	// its last connection counts.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { gotConn.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", ContentType)
	resp, err := c.client.Do(req)
	if err != nil {
		return &UnavailableError{Op: op, MayHaveApplied: gotConn.Load(), Err: err}
	}
	defer func() {
		// Reading the body to its end allows the connection to be reused.
		_, _ = io.CopyN(io.Discard, resp.Body, MaxBody)
		_ = resp.Body.Close()
	}()
	return decodeAnswer(op, resp, out)
}

// decodeAnswer decodes a successful answer into out and returns the error of any other one.
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

// answerError returns the error for an answer with a status of 400 or above.
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
