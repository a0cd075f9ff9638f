package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	// callTimeout bounds one call, so that a hung gateway leaves time for another one.
	callTimeout    = 10 * time.Second
	maxAnswerBytes = 64 << 20
	maxDetailBytes = 4 << 10
)

// call is one request to a gateway.
type call struct {
	method, path string
	in, out      any
	// once calls are not sent to a second gateway after a first one may have received them.
	once bool
}

// ask sends a call to the gateways, one after the other in random order, until one answers.
func (e *Env) ask(ctx context.Context, c call) error {
	gateways, err := e.gateways(ctx)
	if err != nil {
		return err
	}
	failed := &NoGatewayError{}
	for _, g := range gateways {
		err := e.send(ctx, g, c)
		if err == nil {
			return nil
		}
		err = &GatewayError{Gateway: g, Err: err}
		if !another(err, c.once) || ctx.Err() != nil {
			return err
		}
		failed.Tried = append(failed.Tried, err)
	}
	return failed
}

// another reports whether a further gateway may and should be asked.
func another(err error, once bool) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Status == http.StatusServiceUnavailable || refused.Status == http.StatusTooManyRequests ||
			refused.Status == http.StatusBadGateway && !once
	}
	return !once || unsent(err)
}

// unsent reports whether the call cannot have reached the gateway.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (e *Env) gateways(ctx context.Context) ([]string, error) {
	urls := append([]string(nil), e.settings.Gateways...)
	if len(urls) == 0 {
		members, err := e.list.Members(ctx, instance.RoleGateway)
		if err != nil {
			return nil, err
		}
		for _, m := range members {
			if m.State == instance.StateLive && m.HTTPAddr != "" {
				urls = append(urls, "http://"+m.HTTPAddr)
			}
		}
	}
	if len(urls) == 0 {
		return nil, &NoGatewayError{}
	}
	rand.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
	return urls, nil
}

func (e *Env) send(ctx context.Context, base string, c call) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body io.Reader
	if c.in != nil {
		data, err := json.Marshal(c.in)
		if err != nil {
			return errors.WithStack(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, strings.TrimSuffix(base, "/")+c.path, body)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return refusal(resp)
	}
	if c.out == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(c.out))
}

// refusal reads the reason of an error status: a JSON object with error or reason, or plain text.
func refusal(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	detail := strings.TrimSpace(string(data))
	var object struct{ Error, Reason, Detail string }
	if json.Unmarshal(data, &object) == nil {
		for _, s := range []string{object.Detail, object.Reason, object.Error} {
			if s != "" {
				detail = s
			}
		}
	}
	if detail == "" {
		detail = http.StatusText(resp.StatusCode)
	}
	return &RefusedError{Status: resp.StatusCode, Detail: detail}
}

// notFound turns a 404 answer into a *NotFoundError.
func notFound(err error, what, name string) error {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return &NotFoundError{What: what, Name: name}
	}
	return err
}
