package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// MaxControlAnswerBytes is the largest answer to a control call that the client reads, in bytes. The largest answers
// are lease replies, which can list every running task.
const MaxControlAnswerBytes = 4 << 20

// Client sends calls to workers. It is safe for concurrent use.
type Client struct{ client *http.Client }

// NewClient returns a client that uses the connections of c. The transport of c should keep at least as many idle
// connections to each worker as the calling process has slots there.
func NewClient(c *http.Client) *Client {
	clone := *c
	// A worker never redirects; following a redirect would send the call to an unknown process.
	clone.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{client: &clone}
}

// Lease fences a worker and renews its lease. A refusal is returned in the reply, not as an error; an error is a
// *CallError.
func (c *Client) Lease(ctx context.Context, addr string, r LeaseRequest) (LeaseReply, error) {
	var out LeaseReply
	err := c.control(ctx, addr, PathLease, r, &out)
	return out, err
}

// Start starts an attempt. A refusal is returned in the reply, not as an error; an error is a *CallError.
func (c *Client) Start(ctx context.Context, addr string, r StartRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathStart, r)
}

// Stop stops an attempt. A refusal is returned in the reply, not as an error; an error is a *CallError.
func (c *Client) Stop(ctx context.Context, addr string, r StopRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathStop, r)
}

// Throttle limits the processor time of an attempt. A refusal is returned in the reply, not as an error; an error is a
// *CallError.
func (c *Client) Throttle(ctx context.Context, addr string, r ThrottleRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathThrottle, r)
}

// Checkpoint asks for a checkpoint of an attempt. A refusal is returned in the reply, not as an error; an error is a
// *CallError.
func (c *Client) Checkpoint(ctx context.Context, addr string, r CheckpointRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathCheckpoint, r)
}

// Cancel cancels a request whose answer the gateway no longer waits for. If it returns nil, the request is not in
// progress and will not run. An error is a *CallError, or a *RefusedError while a non-idempotent request still runs.
func (c *Client) Cancel(ctx context.Context, addr string, r CancelRequest) error {
	var out TaskReply
	if err := c.control(ctx, addr, PathCancel, r, &out); err != nil {
		return err
	}
	if out.Refusal != RefusalNone {
		return &RefusedError{Addr: addr, Path: PathCancel, Reason: out.Refusal}
	}
	return nil
}

func (c *Client) task(ctx context.Context, addr, path string, in any) (TaskReply, error) {
	var out TaskReply
	err := c.control(ctx, addr, path, in, &out)
	return out, err
}

func (c *Client) control(ctx context.Context, addr, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &CallError{Addr: addr, Path: path, Err: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, sent, err := c.post(ctx, addr, path, header, body)
	if err != nil {
		return &CallError{Addr: addr, Path: path, Sent: sent, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &CallError{Addr: addr, Path: path, Sent: true, Err: &StatusError{Status: resp.StatusCode}}
	}
	data, err := readBody(resp.Body, MaxControlAnswerBytes)
	if err != nil {
		return &CallError{Addr: addr, Path: path, Sent: true, Err: err}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &CallError{Addr: addr, Path: path, Sent: true, Err: &DecodeError{Err: err}}
	}
	return nil
}

// post sends one call. sent reports whether bytes of the call may have reached the worker; it is meaningful only with
// an error.
func (c *Client) post(
	ctx context.Context, addr, path string, h http.Header, body []byte,
) (r *http.Response, sent bool, err error) {
	var gotConn atomic.Bool
	// The transport sends a POST again on another connection only if nothing was written to the previous one, so only
	// its last connection counts.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { gotConn.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	req.Header = h
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, gotConn.Load(), errors.WithStack(err)
	}
	return resp, true, nil
}

// readBody reads a body to its end. It returns *SizeError if the body is longer than limit bytes.
func readBody(r io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(data) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return data, nil
}
