package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// HTTPLog is the client of the log service.
type HTTPLog struct{ c caller }

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log service at baseURL, for example http://127.0.0.1:7000.
func NewHTTPLog(baseURL string, c *http.Client) *HTTPLog { return &HTTPLog{c: newCaller(baseURL, c)} }

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var r AppendReply
	err := l.c.do(ctx, "append", http.MethodPost, RecordsPath(stream), 0, AppendRequest{Records: records}, &r)
	if err != nil {
		return 0, err
	}
	return r.First, nil
}

// Read implements Log. A wait above MaxWait is reduced to MaxWait.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	wait = min(wait, MaxWait)
	q := url.Values{queryFrom: {strconv.FormatUint(from, 10)}, queryLimit: {strconv.Itoa(limit)},
		queryWait: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var p Page
	err := l.c.do(ctx, "read", http.MethodGet, RecordsPath(stream)+"?"+q.Encode(), wait, nil, &p)
	return p, err
}

// HTTPList is the client of the instance list.
type HTTPList struct{ c caller }

var _ List = (*HTTPList)(nil)

// NewHTTPList returns a client of the instance list at baseURL, for example http://127.0.0.1:7000. If the platform
// supports entity tags, it does not send an unchanged list again.
func NewHTTPList(baseURL string, c *http.Client) *HTTPList {
	clone := *c
	next := c.Transport
	if next == nil {
		next = http.DefaultTransport
	}
	clone.Transport = &revalidator{next: next, cache: map[string]cachedAnswer{}}
	return &HTTPList{c: newCaller(baseURL, &clone)}
}

// Members implements List.
func (l *HTTPList) Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error) {
	q := url.Values{}
	for _, r := range roles {
		q.Add(queryRole, string(r))
	}
	var m MembersReply
	err := l.c.do(ctx, "list", http.MethodGet, instancesPath+"?"+q.Encode(), 0, nil, &m)
	return m.Members, err
}

// Register implements List.
func (l *HTTPList) Register(ctx context.Context, m instance.Member) error {
	return l.c.do(ctx, "register", http.MethodPut, instancePath(m.ID), 0, m, nil)
}

// Deregister implements List.
func (l *HTTPList) Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error {
	q := url.Values{queryIncarnation: {string(inc)}}
	return l.c.do(ctx, "deregister", http.MethodDelete, instancePath(id)+"?"+q.Encode(), 0, nil, nil)
}

// instancePath returns the escaped path of an instance's entry.
func instancePath(id instance.ID) string { return instancesPath + "/" + url.PathEscape(string(id)) }
