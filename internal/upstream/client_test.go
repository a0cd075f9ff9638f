package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve returns a client, and the address of a worker that answers with h.
func serve(t *testing.T, h http.HandlerFunc) (*Client, string) {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return NewClient(srv.Client()), srv.Listener.Addr().String()
}

// writeAnswer writes a complete answer whose headers are replaced by those of overrides.
func writeAnswer(w http.ResponseWriter, id, body string, overrides map[string]string) {
	h := w.Header()
	h.Set(HeaderRequestID, id)
	h.Set(HeaderLength, strconv.Itoa(len(body)))
	h.Set(HeaderDigest, Digest([]byte(body)))
	for k, v := range overrides {
		h.Set(k, v)
	}
	_, _ = w.Write([]byte(body))
}

// Guards against a client that passes on an answer of another request, a truncated or altered body, or a body above the
// limit.
func TestExecuteVerifiesAnswers(t *testing.T) {
	for name, overrides := range map[string]map[string]string{
		string(CheckRequestID): {HeaderRequestID: "other"}, string(CheckLength): {HeaderLength: "3"},
		string(CheckDigest): {HeaderDigest: "0"},
	} {
		c, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
			writeAnswer(w, r.Header.Get(HeaderRequestID), "answer", overrides)
		})
		_, err := c.Execute(t.Context(), addr, ExecuteRequest{RequestID: "id"})
		var corrupt *CorruptAnswerError
		require.ErrorAs(t, err, &corrupt)
		require.Equal(t, name, string(corrupt.Check))
	}
	c, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, "id", strings.Repeat("x", MaxAnswerBytes+1), nil)
	})
	_, err := c.Execute(t.Context(), addr, ExecuteRequest{RequestID: "id"})
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	c, addr = serve(t, func(w http.ResponseWriter, r *http.Request) { writeAnswer(w, "id", "answer", nil) })
	a, err := c.Execute(t.Context(), addr, ExecuteRequest{RequestID: "id"})
	require.NoError(t, err)
	require.Equal(t, "answer", string(a.Body))
}

// Guards against NotRunError for a request that may have been run. The cases are a refusal of another request, an error
// status without a reason, a connection that breaks after the request was sent, a redirect, and a successful answer
// that also carries the header of a refusal.
func TestExecuteNeverGuessesNotRun(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"refusal of another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequestID, "other")
			w.Header().Set(HeaderNotRun, "overload")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"status without a reason": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/", http.StatusTemporaryRedirect)
		},
		"broken": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"refusal with an answer": func(w http.ResponseWriter, _ *http.Request) {
			writeAnswer(w, "id", "answer", map[string]string{HeaderNotRun: "overload", HeaderDigest: "0"})
		},
	} {
		c, addr := serve(t, h)
		_, err := c.Execute(t.Context(), addr, ExecuteRequest{RequestID: "id"})
		require.Error(t, err, name)
		var notRun *NotRunError
		require.NotErrorAs(t, err, &notRun, name)
	}
}

// Guards against an unknown outcome when the connection was refused and nothing was sent: it would forbid a retry.
func TestNothingSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	require.NoError(t, ln.Close())
	c := NewClient(&http.Client{})
	_, err = c.Execute(t.Context(), addr, ExecuteRequest{RequestID: "id"})
	var notRun *NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, RefusalNone, notRun.Reason)
	_, err = c.Start(t.Context(), addr, StartRequest{})
	var call *CallError
	require.ErrorAs(t, err, &call)
	require.False(t, call.Sent)
}

// Guards against a control call that is reported as unsent although the worker has received it, and against a malformed
// answer that is accepted.
func TestControlErrors(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"silent": func(_ http.ResponseWriter, r *http.Request) {
			// The server detects the end of the connection only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		},
		"status":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"malformed": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
	} {
		c, addr := serve(t, h)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := c.Lease(ctx, addr, LeaseRequest{})
		cancel()
		var call *CallError
		require.ErrorAs(t, err, &call, name)
		require.True(t, call.Sent, name)
	}
}
