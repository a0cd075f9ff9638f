package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/google/uuid"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Headers between callers and gateways.
const (
	headerRequestID = "Clementine-Request-Id"
	headerTeam      = "Clementine-Team"
	headerTimeout   = "Clementine-Timeout-Ms"
	headerTicket    = "Clementine-Ticket"
	headerDigest    = "Clementine-Digest"
	headerOutcome   = "Clementine-Outcome"
	headerReason    = "Clementine-Reason"
)

// Reasons for refusing a request before admission.
const (
	reasonDuplicateHeader = "duplicate-header"
	reasonBadHeader       = "malformed-header"
	reasonUnknownKind     = "unknown-kind"
	reasonUnknownTeam     = "unknown-team"
	reasonNotARequest     = "kind-is-not-a-request"
	reasonBodyTooLarge    = "body-too-large"
	reasonBodyNotWhole    = "body-not-whole"
)

// maxTicketsPerCall limits the tickets of one call of POST /v1/tickets; defaultTickets applies if the call gives no
// number.
const (
	maxTicketsPerCall = 1000
	defaultTickets    = 1
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._~:-]{1,128}$`)

func validID(id string) bool { return idPattern.MatchString(id) }

func (g *Gateway) handler() http.Handler {
	mux := http.NewServeMux()
	process.HandleOps(mux, g.deps.Health, g.deps.Registry)
	mux.HandleFunc("POST /v1/requests/{kind}", g.handleRequest)
	mux.HandleFunc("POST /v1/tickets", g.handleTickets)
	mux.HandleFunc("POST /v1/jobs", g.handleSubmit)
	mux.HandleFunc("GET /v1/jobs", g.limitQueries(g.handleJobs))
	mux.HandleFunc("GET /v1/jobs/{id}", g.limitQueries(g.handleJob))
	mux.HandleFunc("DELETE /v1/jobs/{id}", g.handleCancel)
	mux.HandleFunc("GET /v1/explain/{subject}", g.limitQueries(g.handleExplain))
	mux.HandleFunc("GET /v1/status", g.handleStatus)
	mux.HandleFunc("GET /v1/shards", g.limitQueries(g.handleShards))
	mux.HandleFunc("POST /v1/drain", g.handleDrain)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerTicket, g.issuer.Issue(time.Now()))
		if g.stopping.Load() {
			// Callers open their next connection to another gateway, so that no request is sent on a connection that is
			// being closed.
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

func (g *Gateway) handleRequest(w http.ResponseWriter, hr *http.Request) {
	r, body, refusal, status := g.parseRequest(w, hr)
	if refusal != nil {
		w.Header().Set(headerRequestID, r.id)
		g.refuseUnchecked(w, hr, status, *refusal)
		return
	}
	defer body.Close()
	w.Header().Set(headerRequestID, r.id)
	a := g.serve(hr.Context(), r, false)
	g.metrics.observeAnswer(r, a)
	if a.state != contract.AnswerWhole {
		writeRefusal(w, statusOf(a), a)
		return
	}
	if a.digest == "" {
		a.digest = digestOf(a.body)
	}
	w.Header().Set(headerDigest, a.digest)
	w.Header().Set(headerOutcome, outcomeName(a.state))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	_, _ = w.Write(a.body)
}

// parseRequest reads and validates a request, whose body must be closed. A request with a refusal was not run and has no
// body; status is the HTTP status of the refusal.
func (g *Gateway) parseRequest(w http.ResponseWriter, hr *http.Request) (
	r request, body *ingress.Body, refusal *answer, status int,
) {
	r = request{arrived: time.Now(), ticket: hr.Header.Get(headerTicket)}
	refuse := func(status int, reason, detail string) (request, *ingress.Body, *answer, int) {
		return r, nil, &answer{state: contract.AnswerNotRun, reason: reason, detail: detail}, status
	}
	// Proxies disagree on which of two header values applies, so a request with two ids could get the answer to another
	// one.
	for _, name := range []string{headerRequestID, headerTeam, headerTimeout, headerTicket} {
		if len(hr.Header.Values(name)) > 1 {
			return refuse(http.StatusBadRequest, reasonDuplicateHeader, name)
		}
	}
	if r.id = hr.Header.Get(headerRequestID); r.id == "" {
		r.id = uuid.NewString()
	} else if !validID(r.id) {
		r.id = ""
		return refuse(http.StatusBadRequest, reasonBadHeader, headerRequestID+" must match "+idPattern.String())
	}
	v := g.deps.Config.Current()
	if v == nil {
		return refuse(http.StatusServiceUnavailable, reasonNoConfig, "")
	}
	var known bool
	if r.kind, known = v.Manifest.Kind(hr.PathValue("kind")); !known {
		return refuse(http.StatusNotFound, reasonUnknownKind, hr.PathValue("kind"))
	}
	if r.kind.Class != manifest.ClassRequest {
		return refuse(http.StatusBadRequest, reasonNotARequest, "submit it with POST /v1/jobs")
	}
	if r.team = hr.Header.Get(headerTeam); r.team == "" {
		r.team = r.kind.Team
	} else if _, known := v.Manifest.Team(r.team); !known {
		return refuse(http.StatusBadRequest, reasonUnknownTeam, r.team)
	}
	timeout, ok := timeoutOf(hr.Header.Get(headerTimeout), r.kind)
	if !ok {
		return refuse(http.StatusBadRequest, reasonBadHeader,
			headerTimeout+" must be a positive number of milliseconds")
	}
	r.deadline = r.arrived.Add(timeout)
	body, rej := g.readBody(w, hr, maxBodyBytes)
	if rej != nil {
		return r, nil, &rej.answer, rej.status
	}
	r.body = body.Bytes
	return r, body, nil, 0
}

// timeoutOf returns how long the caller waits, at most maxTimeout: the time in the header, else the deadline of the
// kind, else defaultTimeout. It reports false if the header is malformed.
func timeoutOf(header string, k manifest.Kind) (time.Duration, bool) {
	if header == "" {
		if k.Deadline > 0 {
			return min(k.Deadline, maxTimeout), true
		}
		return defaultTimeout, true
	}
	ms, err := strconv.ParseInt(header, 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, maxTimeout), true
}

// problem is the JSON body of every answer other than a whole one.
type problem struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail,omitempty"`
	Job     string `json:"job,omitempty"`
}

func outcomeName(s contract.AnswerState) string {
	switch s {
	case contract.AnswerWhole:
		return "whole"
	case contract.AnswerNotRun:
		return "not-run"
	}
	return "unknown"
}

func statusOf(a answer) int {
	switch {
	case a.state == contract.AnswerUnknown && (a.reason == reasonTimeout || a.reason == reasonInProgress):
		return http.StatusGatewayTimeout
	case a.state == contract.AnswerUnknown:
		return http.StatusBadGateway
	case a.reason == reasonTicketNeeded:
		return http.StatusPreconditionRequired
	case a.reason == reasonTicketMalformed || a.reason == reasonTicketReused:
		return http.StatusBadRequest
	case a.reason == reasonTicketsFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func writeRefusal(w http.ResponseWriter, status int, a answer) {
	writeProblem(w, status, a, "")
}

func writeProblem(w http.ResponseWriter, status int, a answer, job string) {
	h := w.Header()
	h.Set(headerOutcome, outcomeName(a.state))
	h.Set(headerReason, a.reason)
	if a.retryAfter == 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		a.retryAfter = time.Second
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.retryAfter.Seconds()))))
	}
	writeJSON(w, status, problem{Outcome: outcomeName(a.state), Reason: a.reason, Detail: a.detail, Job: job})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (g *Gateway) handleTickets(w http.ResponseWriter, r *http.Request) {
	n := defaultTickets
	if text := r.URL.Query().Get("n"); text != "" {
		var err error
		if n, err = strconv.Atoi(text); err != nil || n < 1 {
			writeRefusal(w, http.StatusBadRequest, answer{state: contract.AnswerNotRun, reason: reasonMalformed,
				detail: "n must be a positive number"})
			return
		}
	}
	if n > maxTicketsPerCall {
		writeRefusal(w, http.StatusTooManyRequests, answer{state: contract.AnswerNotRun, reason: reasonTicketsFull,
			detail: "one call gives at most " + strconv.Itoa(maxTicketsPerCall)})
		return
	}
	out := struct {
		Tickets []string `json:"tickets"`
	}{}
	now := time.Now()
	for range n {
		out.Tickets = append(out.Tickets, g.issuer.Issue(now))
	}
	writeJSON(w, http.StatusOK, out)
}

func (g *Gateway) handleStatus(w http.ResponseWriter, _ *http.Request) {
	out := struct {
		ID           instance.ID   `json:"id"`
		Role         instance.Role `json:"role"`
		ConfigOffset uint64        `json:"config_offset"`
		Ready        bool          `json:"ready"`
	}{ID: g.ID, Role: instance.RoleGateway, Ready: g.deps.Health.Ready()}
	if v := g.deps.Config.Current(); v != nil {
		out.ConfigOffset = v.Offset
	}
	writeJSON(w, http.StatusOK, out)
}
