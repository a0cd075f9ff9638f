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

// MaxControlAnswer bounds the answer to a control call in bytes. A lease reply lists every running task.
const MaxControlAnswer = 4 << 20

// Client calls workers. It is safe for use by several goroutines.
type Client struct{ client *http.Client }

// NewClient returns a client that uses the connections of c. Its transport should keep at least as many idle connections for each
// worker as the caller has slots there.
func NewClient(c *http.Client) *Client {
	own := *c
	// A worker never redirects; following one would send the call to an unknown process.
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{client: &own}
}

// Lease fences a worker and renews its lease. A refusal is part of the reply and no error; the error is a *CallError.
func (c *Client) Lease(ctx context.Context, addr string, r LeaseRequest) (LeaseReply, error) {
	var out LeaseReply
	err := c.control(ctx, addr, PathLease, r, &out)
	return out, err
}

// Start starts an attempt. A refusal is part of the reply and no error; the error is a *CallError.
func (c *Client) Start(ctx context.Context, addr string, r StartRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathStart, r)
}

// Stop stops an attempt. A refusal is part of the reply and no error; the error is a *CallError.
func (c *Client) Stop(ctx context.Context, addr string, r StopRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathStop, r)
}

// Throttle limits an attempt. A refusal is part of the reply and no error; the error is a *CallError.
func (c *Client) Throttle(ctx context.Context, addr string, r ThrottleRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathThrottle, r)
}

// Checkpoint asks for a checkpoint. A refusal is part of the reply and no error; the error is a *CallError.
func (c *Client) Checkpoint(ctx context.Context, addr string, r CheckpointRequest) (TaskReply, error) {
	return c.task(ctx, addr, PathCheckpoint, r)
}

// Cancel ends a request that the gateway has given up on. Without an error the request is not in progress and will not run. The error is a
// *CallError, or a *RefusedError while a non-idempotent request still runs.
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
	data, err := readBody(resp.Body, MaxControlAnswer)
	if err != nil {
		return &CallError{Addr: addr, Path: path, Sent: true, Err: err}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &CallError{Addr: addr, Path: path, Sent: true, Err: &DecodeError{Err: err}}
	}
	return nil
}

// post sends one call. sent tells whether bytes of it may have reached the worker; it is meaningful only with an error.
func (c *Client) post(ctx context.Context, addr, path string, h http.Header, body []byte) (r *http.Response, sent bool, err error) {
	var mark atomic.Bool
	// The transport takes another connection for a POST only if nothing was written to the one before, so the last choice of a
	// connection decides.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { mark.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { mark.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	req.Header = h
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, mark.Load(), errors.WithStack(err)
	}
	return resp, true, nil
}

// readBody reads a whole body of at most limit bytes.
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
