package platform

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// maxKept bounds the answers that are kept for revalidation; there is one for each set of roles that is asked for.
const maxKept = 16

// revalidator keeps the newest answer to each GET and asks the server only whether it has changed. The whole list every second was the
// largest part of an entry instance's control traffic.
type revalidator struct {
	next http.RoundTripper
	mu   sync.Mutex
	kept map[string]keptAnswer
}

type keptAnswer struct {
	tag  string
	body []byte
}

// RoundTrip implements http.RoundTripper.
func (v *revalidator) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method != http.MethodGet {
		return v.next.RoundTrip(r)
	}
	key := r.URL.String()
	v.mu.Lock()
	old, known := v.kept[key]
	v.mu.Unlock()
	if known {
		r = r.Clone(r.Context())
		r.Header.Set("If-None-Match", old.tag)
	}
	resp, err := v.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if known && resp.StatusCode == http.StatusNotModified {
		_ = resp.Body.Close()
		resp.StatusCode, resp.Status = http.StatusOK, http.StatusText(http.StatusOK)
		resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(old.body)), int64(len(old.body))
		return resp, nil
	}
	if tag := resp.Header.Get("ETag"); tag != "" && resp.StatusCode == http.StatusOK {
		return v.keep(key, tag, resp)
	}
	return resp, nil
}

// keep reads the body and stores it if it is not too long.
func (v *revalidator) keep(key, tag string, resp *http.Response) (*http.Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if len(body) > MaxBody {
		rest := resp.Body
		resp.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(body), rest), rest}
		return resp, nil
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(body))
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.kept) >= maxKept {
		clear(v.kept)
	}
	v.kept[key] = keptAnswer{tag: tag, body: body}
	return resp, nil
}
