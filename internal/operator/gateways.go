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
	// callTimeout bounds one call, so that a gateway that does not answer leaves time to try another one.
	callTimeout    = 10 * time.Second
	maxAnswerBytes = 64 << 20
	maxDetailBytes = 4 << 10
)

// call is one request to a gateway. in is sent as JSON, and the answer is decoded into out; both may be nil.
type call struct {
	method, path string
	in, out      any
	// atMostOnce calls are not sent to another gateway if a gateway may have received them.
	atMostOnce bool
}

// callGateway sends a call to one gateway after the other, in random order, until one answers. It returns *GatewayError
// for the last gateway or *NoGatewayError if all failed.
func (e *Env) callGateway(ctx context.Context, c call) error {
	gateways, err := e.gateways(ctx)
	if err != nil {
		return err
	}
	noAnswer := &NoGatewayError{}
	for _, g := range gateways {
		err := e.send(ctx, g, c)
		if err == nil {
			return nil
		}
		err = &GatewayError{Gateway: g, Err: err}
		if !shouldTryNext(err, c.atMostOnce) || ctx.Err() != nil {
			return err
		}
		noAnswer.Tried = append(noAnswer.Tried, err)
	}
	return noAnswer
}

// shouldTryNext reports whether the call may be sent to another gateway and is likely to succeed there.
func shouldTryNext(err error, atMostOnce bool) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Status == http.StatusServiceUnavailable || refused.Status == http.StatusTooManyRequests ||
			refused.Status == http.StatusBadGateway && !atMostOnce
	}
	return !atMostOnce || unsent(err)
}

// unsent reports whether the call cannot have reached the gateway.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// gateways returns the URLs of the gateways from the settings or else from the instance list, in random order.
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

// send sends a call to the instance at the URL base. It returns *RefusedError for an error status.
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
		return errorFromResponse(resp)
	}
	if c.out == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(c.out))
}

// errorFromResponse returns the *RefusedError for an answer with an error status. Its body is a JSON object with error,
// reason or detail, or plain text.
func errorFromResponse(resp *http.Response) error {
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

// notFound replaces the error of a 404 answer by a *NotFoundError.
func notFound(err error, what, name string) error {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return &NotFoundError{What: what, Name: name}
	}
	return err
}
