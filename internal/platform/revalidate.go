package platform

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// maxCachedAnswers limits the cached answers; there is one for each requested set of roles.
const maxCachedAnswers = 16

// revalidator caches the newest answer to each GET and asks the server only whether it has changed. Without it, reading
// the whole list every second is the largest part of the control traffic of an entry instance.
type revalidator struct {
	next  http.RoundTripper
	mu    sync.Mutex
	cache map[string]cachedAnswer
}

// cachedAnswer is the body of an answer with its entity tag.
type cachedAnswer struct {
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
	cached, ok := v.cache[key]
	v.mu.Unlock()
	if ok {
		r = r.Clone(r.Context())
		r.Header.Set("If-None-Match", cached.tag)
	}
	resp, err := v.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if ok && resp.StatusCode == http.StatusNotModified {
		_ = resp.Body.Close()
		resp.StatusCode, resp.Status = http.StatusOK, http.StatusText(http.StatusOK)
		resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(cached.body)), int64(len(cached.body))
		return resp, nil
	}
	if tag := resp.Header.Get("ETag"); tag != "" && resp.StatusCode == http.StatusOK {
		return v.store(key, tag, resp)
	}
	return resp, nil
}

// store reads the body of an answer and caches it unless it is longer than MaxBody. It returns the answer with an
// unread body.
func (v *revalidator) store(key, tag string, resp *http.Response) (*http.Response, error) {
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
	if len(v.cache) >= maxCachedAnswers {
		clear(v.cache)
	}
	v.cache[key] = cachedAnswer{tag: tag, body: body}
	return resp, nil
}
