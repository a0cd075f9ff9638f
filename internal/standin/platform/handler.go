package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/instance"
	api "clementinewalk.example/clementinewalk/internal/platform"
)

// Handler serves the HTTP API of the log service and the instance list, and the admin API of their faults.
type Handler struct {
	log  *Log
	list *List
	// stopping ends the waits of readers, so that a graceful stop does not take as long as the longest wait.
	stopping context.Context
	mux      *http.ServeMux
}

// NewHandler returns a handler. After the end of stopping, readers no longer wait for records.
func NewHandler(stopping context.Context, log *Log, list *List) *Handler {
	h := &Handler{log: log, list: list, stopping: stopping, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/streams/{path...}", h.append)
	h.mux.HandleFunc("GET /v1/streams/{path...}", h.read)
	h.mux.HandleFunc("GET /v1/instances", h.members)
	h.mux.HandleFunc("PUT /v1/instances/{id}", h.register)
	h.mux.HandleFunc("DELETE /v1/instances/{id}", h.deregister)
	h.mux.HandleFunc("POST /admin/faults", h.setFaults)
	h.mux.HandleFunc("GET /admin/faults", h.getFaults)
	h.mux.HandleFunc("POST /admin/state", h.setState)
	h.mux.HandleFunc("GET /admin/stats", h.getStats)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) append(w http.ResponseWriter, r *http.Request) {
	stream, ok := api.StreamOf(r.URL.Path)
	if !ok {
		answerError(w, &api.RequestError{Status: http.StatusNotFound, Detail: "no such path"})
		return
	}
	var in api.AppendRequest
	if err := api.Decode(r.Body, "append", &in); err != nil {
		answerError(w, err)
		return
	}
	first, err := h.log.Append(r.Context(), stream, in.Records)
	answer(w, api.AppendReply{First: first}, err)
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	stream, ok := api.StreamOf(r.URL.Path)
	if !ok {
		answerError(w, &api.RequestError{Status: http.StatusNotFound, Detail: "no such path"})
		return
	}
	q, err := parseReadQuery(r.URL.Query())
	if err != nil {
		answerError(w, err)
		return
	}
	wait := q.wait
	if h.stopping.Err() != nil {
		wait = 0
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer context.AfterFunc(h.stopping, cancel)()
	defer cancel()
	p, err := h.log.Read(ctx, stream, q.from, q.limit, wait)
	answer(w, p, err)
}

type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

// parseReadQuery parses the query of a read. It returns *ArgumentError if a value is malformed.
func parseReadQuery(v url.Values) (readQuery, error) {
	var q readQuery
	var err error
	if q.from, err = strconv.ParseUint(v.Get("from"), 10, 64); err != nil {
		return q, &ArgumentError{Argument: "from", Detail: "must be an offset"}
	}
	if q.limit, err = strconv.Atoi(v.Get("limit")); err != nil || q.limit < 0 {
		return q, &ArgumentError{Argument: "limit", Detail: "must be a number of records"}
	}
	ms, err := strconv.ParseInt(v.Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 || ms > api.MaxWait.Milliseconds() {
		return q, &ArgumentError{Argument: "wait_ms", Detail: "must be between 0 and " + api.MaxWait.String()}
	}
	q.wait = time.Duration(ms) * time.Millisecond
	return q, nil
}

func (h *Handler) members(w http.ResponseWriter, r *http.Request) {
	var roles []instance.Role
	for _, s := range r.URL.Query()["role"] {
		roles = append(roles, instance.Role(s))
	}
	m, err := h.list.Members(r.Context(), roles...)
	if err != nil {
		answerError(w, err)
		return
	}
	body, err := api.Encode(api.MembersReply{Members: m})
	if err != nil {
		answerError(w, err)
		return
	}
	etag := `"` + strconv.FormatUint(xxhash.Sum64(body), 16) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	write(w, http.StatusOK, api.MembersReply{Members: m})
}

func (h *Handler) register(w http.ResponseWriter, r *http.Request) {
	var m instance.Member
	if err := api.Decode(r.Body, "member", &m); err != nil {
		answerError(w, err)
		return
	}
	if string(m.ID) != r.PathValue("id") {
		answerError(w, &ArgumentError{Argument: "id", Detail: "path and body differ"})
		return
	}
	answer(w, struct{}{}, h.list.Register(r.Context(), m))
}

func (h *Handler) deregister(w http.ResponseWriter, r *http.Request) {
	inc := instance.Incarnation(r.URL.Query().Get("incarnation"))
	answer(w, struct{}{}, h.list.Deregister(r.Context(), instance.ID(r.PathValue("id")), inc))
}

// answer sends v, or the error if it is not nil.
func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	write(w, http.StatusOK, v)
}

// answerError sends an error. An injected outage closes the connection without an answer, as a crashed service does.
func answerError(w http.ResponseWriter, err error) {
	var unavailable *api.UnavailableError
	var limited *api.RateLimitedError
	var retention *api.RetentionError
	var size *api.SizeError
	var request *api.RequestError
	switch {
	case errors.As(err, &unavailable):
		closeConnection(w)
	case errors.As(err, &limited):
		write(w, http.StatusTooManyRequests, api.ErrorReply{RetryAfter: limited.RetryAfter})
	case errors.As(err, &retention):
		write(w, http.StatusGone, api.ErrorReply{Oldest: retention.Oldest})
	case errors.As(err, &size):
		write(w, http.StatusRequestEntityTooLarge, api.ErrorReply{Detail: err.Error()})
	case errors.As(err, &request):
		write(w, request.Status, api.ErrorReply{Detail: request.Detail})
	default:
		write(w, http.StatusBadRequest, api.ErrorReply{Detail: err.Error()})
	}
}

// write sends v in the encoding of the platform API.
func write(w http.ResponseWriter, status int, v any) {
	data, err := api.Encode(v)
	if err != nil {
		closeConnection(w)
		return
	}
	w.Header().Set("Content-Type", api.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A write error means that the client has closed the connection.
	_, _ = w.Write(data)
}

// closeConnection closes the connection without an answer, or answers with status 503 if it cannot be hijacked.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = conn.Close()
}
