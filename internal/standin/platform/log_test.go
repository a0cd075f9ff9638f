package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/instance"
	api "clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
)

func records(texts ...string) (out [][]byte) {
	for _, t := range texts {
		out = append(out, []byte(t))
	}
	return out
}

// serve starts an HTTP server of the stand-in with a read timeout of 100 ms and returns clients of it.
func serve(t *testing.T, l *Log, list *List) (*api.HTTPLog, *api.HTTPList) {
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = process.NewHTTPServer(NewHandler(t.Context(), l, list), 100*time.Millisecond)
	srv.Start()
	t.Cleanup(srv.Close)
	return api.NewHTTPLog(srv.URL, srv.Client()), api.NewHTTPList(srv.URL, srv.Client())
}

// Guards against gaps between offsets, an append that returns the wrong first offset, and differences between the
// in-memory log and its HTTP client.
func TestLogOffsets(t *testing.T) {
	l := NewLog(Limits{}, 1)
	client, _ := serve(t, l, NewList(0, 0))
	for name, log := range map[string]api.Log{"memory": l, "http": client} {
		t.Run(name, func(t *testing.T) {
			stream := "shard/" + name + " %-0"
			first, err := log.Append(t.Context(), stream, records("a", "b"))
			require.NoError(t, err)
			require.Equal(t, uint64(1), first)
			first, err = log.Append(t.Context(), stream, records("c"))
			require.NoError(t, err)
			require.Equal(t, uint64(3), first)
			p, err := log.Read(t.Context(), stream, 2, 10, 0)
			require.NoError(t, err)
			require.Equal(t, api.Page{Records: records("b", "c"), First: 2, Oldest: 1, End: 4}, p)
			p, err = log.Read(t.Context(), stream, 4, 10, 0)
			require.NoError(t, err)
			require.Empty(t, p.Records)
		})
	}
}

// Guards against a waiting reader that misses an append, and against a server whose read timeout ends the wait: the
// wait is longer than the timeout.
func TestReadWaits(t *testing.T) {
	l := NewLog(Limits{}, 1)
	log, _ := serve(t, l, NewList(0, 0))
	go func() {
		time.Sleep(300 * time.Millisecond)
		_, _ = l.Append(context.Background(), "s", records("late"))
	}()
	p, err := log.Read(t.Context(), "s", 1, 10, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, records("late"), p.Records)
}

// Guards against a read below the oldest retained offset that skips the dropped records without an error.
func TestRetention(t *testing.T) {
	l := NewLog(Limits{MaxRecords: 2, MaxAge: time.Minute}, 1)
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	log, _ := serve(t, l, NewList(0, 0))
	_, err := l.Append(t.Context(), "s", records("a", "b", "c"))
	require.NoError(t, err)
	var retention *api.RetentionError
	_, err = log.Read(t.Context(), "s", 1, 10, 0)
	require.ErrorAs(t, err, &retention)
	require.Equal(t, uint64(2), retention.Oldest)

	now = now.Add(2 * time.Minute)
	_, err = log.Read(t.Context(), "s", 2, 10, 0)
	require.ErrorAs(t, err, &retention)
	require.Equal(t, uint64(4), retention.Oldest)
	first, err := log.Append(t.Context(), "s", records("d"))
	require.NoError(t, err)
	require.Equal(t, uint64(4), first)
}

// Guards against a rate limit that counts each stream separately, and against a refused append that takes effect.
func TestRateLimit(t *testing.T) {
	l := NewLog(Limits{AppendsPerSecond: 4}, 1)
	log, _ := serve(t, l, NewList(0, 0))
	_, err := log.Append(t.Context(), "a", records("x"))
	require.NoError(t, err)
	_, err = log.Append(t.Context(), "b", records("x"))
	var limited *api.RateLimitedError
	require.ErrorAs(t, err, &limited)
	require.Positive(t, limited.RetryAfter)
	require.Equal(t, int64(1), l.Stats().Appends)
}

// Guards against a lost answer that the client reports as an append without an effect, and against a repeated append
// that changes the bytes or returns the offset of another copy.
func TestLostAnswers(t *testing.T) {
	l := NewLog(Limits{}, 1)
	log, _ := serve(t, l, NewList(0, 0))
	l.SetFaults(LogFaults{LostAnswerProbability: 1, Streams: []string{"s"}})
	_, err := log.Append(t.Context(), "s", records("x"))
	var unavailable *api.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.True(t, unavailable.MayHaveApplied)

	l.SetFaults(LogFaults{LostAnswerProbability: 0.7, LostCallProbability: 0.3})
	time.AfterFunc(200*time.Millisecond, func() { l.SetFaults(LogFaults{}) })
	first, err := api.AppendUntil(t.Context(), log, "s", records("x"))
	require.NoError(t, err)
	p, err := log.Read(t.Context(), "s", 1, 100, 0)
	require.NoError(t, err)
	require.Greater(t, len(p.Records), 1)
	require.Equal(t, uint64(len(p.Records)), first)
	for _, r := range p.Records {
		require.Equal(t, []byte("x"), r)
	}
}

// Guards against retries after the end of the context, and against an error that reports the wrong value for whether an
// append may have taken effect.
func TestAppendUntilEnds(t *testing.T) {
	l := NewLog(Limits{}, 1)
	l.SetFaults(LogFaults{DownAppends: true})
	for want, faults := range map[bool]LogFaults{false: {DownAppends: true}, true: {LostAnswerProbability: 1}} {
		l.SetFaults(faults)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := api.AppendUntil(ctx, l, "s", records("x"))
		cancel()
		var unavailable *api.UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.Equal(t, want, unavailable.MayHaveApplied)
	}
	unreachable := api.NewHTTPLog("http://127.0.0.1:1", http.DefaultClient)
	_, err := unreachable.Append(t.Context(), "s", records("x"))
	var unavailable *api.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.False(t, unavailable.MayHaveApplied)
}

// Guards against a list that ignores the read lag, keeps entries that have expired, or lets one incarnation remove the
// entry of another.
func TestListLagAndTTL(t *testing.T) {
	list := NewList(2*time.Second, 10*time.Second)
	now := time.Unix(100, 0)
	list.now = func() time.Time { return now }
	_, client := serve(t, NewLog(Limits{}, 1), list)
	m := instance.Member{ID: "w 1", Incarnation: "i1", Role: instance.RoleWorker, State: instance.StateLive, Slots: 8}
	read := func() []instance.Member {
		out, err := client.Members(t.Context(), instance.RoleWorker)
		require.NoError(t, err)
		return out
	}
	require.NoError(t, client.Register(t.Context(), m))
	require.Empty(t, read())
	now = now.Add(2 * time.Second)
	require.Equal(t, []instance.Member{m}, read())

	require.NoError(t, client.Deregister(t.Context(), m.ID, "other"))
	list.SetState(m.ID, instance.StateLeaving)
	require.Equal(t, instance.StateLive, read()[0].State)
	now = now.Add(2 * time.Second)
	require.Equal(t, instance.StateLeaving, read()[0].State)
	now = now.Add(10 * time.Second)
	require.Empty(t, read())
}

// Guards against malformed requests that are accepted or make the server fail: each must be answered with a 4xx status.
func TestMalformedCalls(t *testing.T) {
	h := NewHandler(t.Context(), NewLog(Limits{}, 1), NewList(0, 0))
	for target, body := range map[string]string{
		"POST /v1/streams/a/records": "not cbor", "POST /v1/streams/records": "",
		"GET /v1/streams/a/records?from=-1": "", "PUT /v1/instances/a": "\xa1\x01\x61b",
		"POST /admin/faults": `{"lgo":{}}`, "POST /admin/state": `{"state":"gone"}`,
	} {
		method, path, _ := strings.Cut(target, " ")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		require.GreaterOrEqual(t, w.Code, 400, target)
		require.Less(t, w.Code, 500, target)
	}
}
