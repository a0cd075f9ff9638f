package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

func refuseWith(r upstream.Refusal) func(context.Context, upstream.ExecuteRequest) (upstream.Answer, error) {
	return func(context.Context, upstream.ExecuteRequest) (upstream.Answer, error) {
		return upstream.Answer{}, &upstream.NotRunError{Addr: "w", Reason: r}
	}
}

func loseAnswer(context.Context, upstream.ExecuteRequest) (upstream.Answer, error) {
	return upstream.Answer{}, &upstream.UnknownError{Addr: "w", Err: net.ErrClosed}
}

// Guards against incomplete answers, answers without a request id, and "not run" as the answer to a request that may
// have run.
func TestThreeAnswers(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	r := g.post(t, "/v1/requests/quote", "tool 7", headerRequestID, "abc")
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "answer to tool 7", r.body)
	require.Equal(t, "abc", r.header.Get(headerRequestID))
	require.Equal(t, upstream.Digest([]byte(r.body)), r.header.Get(headerDigest))
	require.Equal(t, fmt.Sprint(len(r.body)), r.header.Get("Content-Length"))
	require.NotEmpty(t, r.header.Get(headerTicket))

	tc.setExecute(refuseWith(upstream.RefusalOverload))
	r = g.post(t, "/v1/requests/quote", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not-run", r.header.Get(headerOutcome))
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Contains(t, r.body, `"reason":"overload"`)

	tc.setExecute(refuseWith(upstream.RefusalCancelled))
	require.Equal(t, "unknown", g.post(t, "/v1/requests/quote", "x").header.Get(headerOutcome),
		"the worker knows the request")

	calls, lost := tc.callCount(), 0
	tc.setExecute(func(ctx context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		if lost++; lost == 1 {
			return loseAnswer(ctx, r)
		}
		return refuseWith(upstream.RefusalOverload)(ctx, r)
	})
	r = g.post(t, "/v1/requests/quote", "x")
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, "unknown", r.header.Get(headerOutcome), "the first attempt may have run")
	require.Greater(t, tc.callCount(), calls+1, "an idempotent request is retried")
	require.Eventually(t, func() bool {
		inUse, _ := postAndWait(g.Gateway, func(time.Time) int { return g.control.pool.InUse() })
		return inUse == 0
	}, 2*time.Second, 10*time.Millisecond, "the slot of the lost request comes back after its cancellation")
	require.Positive(t, tc.cancelled)
}

// Guards against requests that reach an upstream although their id, kind, team or size is wrong.
func TestRefusedBeforeAdmission(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	require.Equal(t, http.StatusNotFound, g.post(t, "/v1/requests/other", "").status)
	require.Equal(t, http.StatusBadRequest, g.post(t, "/v1/requests/rebid", "").status)
	require.Equal(t, http.StatusBadRequest, g.post(t, "/v1/requests/quote", "", headerTeam, "nobody").status)
	require.Equal(t, http.StatusBadRequest, g.post(t, "/v1/requests/quote", "", headerTimeout, "-3").status)
	require.Equal(t, http.StatusBadRequest, g.post(t, "/v1/requests/quote", "", headerRequestID, "a b").status)
	for _, h := range []string{headerRequestID, headerTeam, headerTimeout, headerTicket} {
		r := g.post(t, "/v1/requests/quote", "", h, "1", h, "1")
		require.Equal(t, http.StatusBadRequest, r.status, h)
		require.Contains(t, r.body, reasonDuplicateHeader)
	}
	r := g.post(t, "/v1/requests/quote", strings.Repeat("x", maxBodyBytes+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, r.status)
	require.Equal(t, "not-run", r.header.Get(headerOutcome))
	require.Equal(t, http.StatusOK, g.post(t, "/v1/requests/quote", strings.Repeat("x", maxBodyBytes)).status)
	require.Equal(t, 1, tc.callCount())
}

// Guards against a slow sender that occupies a slot, and against a truncated body that is run.
func TestSlowSenderHoldsNoSlot(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/requests/quote HTTP/1.1\r\nHost: g\r\nContent-Length: 100\r\n\r\nhalf")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, tc.callCount())
	require.NoError(t, conn.Close())
	require.Equal(t, http.StatusOK, g.post(t, "/v1/requests/quote", "x").status)
	require.Equal(t, 1, tc.callCount())
}

// Guards against a second run of a non-idempotent request that is repeated through the same or another gateway.
func TestTicketRunsOnce(t *testing.T) {
	tc := newTestCluster(t)
	a, b := tc.start("a"), tc.start("b")
	require.Eventually(t, func() bool { return b.directory.Load().gateways["a-1"].Addr != "" }, 3*time.Second,
		10*time.Millisecond)
	r := a.post(t, "/v1/requests/send", "price")
	require.Equal(t, http.StatusPreconditionRequired, r.status)
	require.Zero(t, tc.callCount())
	ticket := r.header.Get(headerTicket)

	gate := make(chan struct{})
	tc.setExecute(func(_ context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) {
		<-gate
		return echo(r), nil
	})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := []*testGateway{a, b}[i%2]
			r := n.post(t, "/v1/requests/send", "price", headerTicket, ticket)
			if r.status != http.StatusOK || r.body != "answer to price" {
				t.Errorf("repeat %d: %d %s", i, r.status, r.body)
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	close(gate)
	wg.Wait()
	require.Equal(t, "answer to price", b.post(t, "/v1/requests/send", "price", headerTicket, ticket).body)
	require.Equal(t, 1, tc.callCount())

	r = a.post(t, "/v1/requests/send", "another price", headerTicket, ticket)
	require.Equal(t, http.StatusBadRequest, r.status)
	require.Contains(t, r.body, reasonTicketReused)
	require.Equal(t, http.StatusBadRequest, a.post(t, "/v1/requests/send", "p", headerTicket, "nonsense").status)

	tc.setExecute(loseAnswer)
	ticket = a.post(t, "/v1/tickets?n=2", "").header.Get(headerTicket)
	for range 2 {
		r = b.post(t, "/v1/requests/send", "p", headerTicket, ticket)
		require.Equal(t, http.StatusBadGateway, r.status)
		require.Equal(t, "unknown", r.header.Get(headerOutcome))
	}
	require.Equal(t, 2, tc.callCount(), "an unknown outcome is never retried")

	tc.setExecute(refuseWith(upstream.RefusalOverload))
	require.Equal(t, http.StatusServiceUnavailable,
		a.post(t, "/v1/requests/send", "p", headerTicket, r.header.Get(headerTicket)).status)
	tc.setExecute(func(_ context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) { return echo(r), nil })
	require.Equal(t, http.StatusOK,
		a.post(t, "/v1/requests/send", "p", headerTicket, r.header.Get(headerTicket)).status,
		"a request that was not run leaves its ticket unused")
}

// Guards against "not run" and against a second run when the gateway that issued the ticket is gone.
func TestTicketOfLostIssuer(t *testing.T) {
	tc := newTestCluster(t)
	a, b := tc.start("a"), tc.start("b")
	ticket := a.post(t, "/v1/tickets", "").header.Get(headerTicket)
	tc.mu.Lock()
	delete(tc.peers, "link-a")
	tc.mu.Unlock()
	require.Eventually(t, func() bool { return b.directory.Load().gateways["a-1"].Addr != "" }, 3*time.Second,
		10*time.Millisecond)
	r := b.post(t, "/v1/requests/send", "p", headerTicket, ticket, headerTimeout, "300")
	require.Equal(t, "unknown", r.header.Get(headerOutcome))
	a.stop()
	require.NoError(t, <-a.done)
	require.Eventually(t, func() bool { return b.directory.Load().gateways["a-1"].Addr == "" }, 3*time.Second,
		10*time.Millisecond)
	r = b.post(t, "/v1/requests/send", "p", headerTicket, ticket)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Contains(t, r.body, reasonIssuerGone)
	require.Zero(t, tc.callCount())
}

// Guards against a worker that gets more requests than it has slots, and against requests that are lost under load.
func TestLoadStaysWithinSlots(t *testing.T) {
	tc := newTestCluster(t)
	nodes := []*testGateway{tc.start("a"), tc.start("b")}
	tc.setExecute(func(_ context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) {
		time.Sleep(2 * time.Millisecond)
		return echo(r), nil
	})
	var wg sync.WaitGroup
	for c := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 25 {
				body := fmt.Sprintf("%d-%d", c, i)
				if r := nodes[c%2].post(t, "/v1/requests/quote", body); r.status != http.StatusOK ||
					r.body != "answer to "+body {
					t.Errorf("%s: %d %s", body, r.status, r.body)
				}
			}
		}()
	}
	wg.Wait()
	for addr, n := range tc.maxRunning {
		require.LessOrEqual(t, n, slotsPerWorker, addr)
	}
}

// Guards against a planned stop that cuts off a request, keeps slots, or leaves an entry in the instance list.
func TestGracefulStop(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	tc.setExecute(func(_ context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) {
		time.Sleep(20 * time.Millisecond)
		return echo(r), nil
	})
	client := &http.Client{}
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for g.deps.Health.Ready() {
				resp, err := client.Post(g.url+"/v1/requests/quote", "", strings.NewReader("x"))
				if err != nil {
					t.Errorf("cut off: %v", err)
					return
				}
				if resp.StatusCode != http.StatusOK {
					t.Errorf("status %d", resp.StatusCode)
				}
				_ = resp.Body.Close()
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	go func() {
		defer close(stopped)
		g.stop()
		if err := <-g.done; err != nil {
			t.Errorf("stop: %v", err)
		}
	}()
	wg.Wait()
	<-stopped
	tc.mu.Lock()
	defer tc.mu.Unlock()
	require.NotContains(t, tc.members, g.ID)
	require.Zero(t, tc.allocator.Granted())
}

// Guards against a stop that refuses callers before the load balancer has noticed it, and against one that cuts off a
// request that outlasts the drain delay.
func TestStopServesUntilTheBalancerNotices(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	tc.setExecute(func(_ context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) {
		time.Sleep(2 * g.DrainDelay)
		return echo(r), nil
	})
	go g.stop()
	require.Eventually(t, func() bool { return !g.deps.Health.Ready() }, 5*time.Second, time.Millisecond)
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := fresh.Post(g.url+"/v1/requests/quote", "", strings.NewReader("x"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, <-g.done)
}

// Guards against a submission that is acknowledged without a record, that is written twice under different ids, or that
// is answered with "not run" although its record may be in the log.
func TestSubmissions(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	r := g.post(t, "/v1/jobs", `{"kind":"rebid","tasks":3,"key":"k"}`)
	require.Equal(t, http.StatusAccepted, r.status, r.body)
	require.Equal(t, r.body, g.post(t, "/v1/jobs", `{"kind":"rebid","tasks":3,"key":"k"}`).body)
	_, body, err := contract.DecodeRecord(tc.records[0])
	require.NoError(t, err)
	s := body.(*contract.Submit)
	require.Equal(t, []any{"rebid", "sales", 3, uint64(3)}, []any{s.Kind, s.Team, s.Tasks, s.Config})
	require.True(t, strings.HasPrefix(s.Job, testShard+jobSeparator))

	for body, reason := range map[string]string{
		`{"kind":"none"}`:                             reasonUnknownKind,
		`{"kind":"quote"}`:                            reasonNotAJob,
		`{"kind":"huge"}`:                             reasonTooLarge,
		`{"kind":"rebid","team":"x"}`:                 reasonUnknownTeam,
		`{"kind":"rebid","tasks":10001}`:              reasonTooManyTasks,
		`{"kind":"rebid","run_time_ms":3600000}`:      reasonSpending,
		`{"kind":"rebid","tasks":2000}`:               reasonSpending,
		`{"kind":"rebid","id":"mars-0~a"}`:            reasonUnknownShard,
		`{"kind":"rebid","id":"a"}`:                   reasonMalformed,
		`{"kind":"rebid","nonsense":1}`:               reasonMalformed,
		`{"kind":"rebid","tasks":-1}`:                 reasonMalformed,
		`{"kind":"rebid","tasks":1,"deadline_ms":-5}`: reasonMalformed,
	} {
		r := g.post(t, "/v1/jobs", body)
		require.Contains(t, r.body, `"reason":"`+reason+`"`, body)
		require.Equal(t, "not-run", r.header.Get(headerOutcome), body)
	}
	require.Len(t, tc.records, 2)

	tc.mu.Lock()
	tc.appendErr, tc.storeFailed = &platform.UnavailableError{MayHaveApplied: true, Err: net.ErrClosed}, true
	tc.mu.Unlock()
	time.AfterFunc(300*time.Millisecond, func() {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.appendErr = nil
	})
	require.Equal(t, http.StatusAccepted, g.post(t, "/v1/jobs", `{"kind":"rebid","id":"bne-0~x"}`).status)
	require.Greater(t, len(tc.records), 3)
	for _, again := range tc.records[3:] {
		require.Equal(t, tc.records[2], again, "a repeat after a lost answer has the same bytes")
	}
	tc.mu.Lock()
	tc.appendErr, tc.storeFailed = &platform.UnavailableError{Err: net.ErrClosed}, false
	tc.mu.Unlock()
	r = g.post(t, "/v1/jobs", `{"kind":"rebid"}`)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not-run", r.header.Get(headerOutcome))
	began := time.Now()
	r = g.post(t, "/v1/jobs", `{"kind":"rebid"}`)
	require.Contains(t, r.body, reasonLogDown)
	require.Less(t, time.Since(began), time.Second, "the log is known to be down")
	tc.mu.Lock()
	tc.appendErr = nil
	tc.mu.Unlock()
	require.Eventually(t,
		func() bool { return g.post(t, "/v1/jobs", `{"kind":"rebid"}`).status == http.StatusAccepted },
		2*breakerPause, 100*time.Millisecond)
	require.Equal(t, http.StatusOK, g.do(t, http.MethodGet, "/v1/jobs/bne-0~x", "").status)
	require.Equal(t, http.StatusNotFound, g.do(t, http.MethodDelete, "/v1/jobs/mars-0~x", "").status)
}

// Guards against a key that maps to different shards at different gateways, and against one shard that gets most keys.
func TestRendezvousSpreads(t *testing.T) {
	m := testManifest()
	m.DataCentres = []manifest.DataCentre{{Name: "a", Workers: 64}, {Name: "b", Workers: 64}}
	shards, count := manifest.Shards(m), map[string]int{}
	for i := range 8000 {
		count[rendezvousShard(shards, fmt.Sprint(i))]++
	}
	require.Len(t, count, 8)
	for s, n := range count {
		require.InDelta(t, 1000, n, 200, s)
	}
}

// Guards against callers that wait for a hanging worker, and against a non-idempotent request that is sent twice.
func TestHangingWorker(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	for range 5 {
		require.Equal(t, http.StatusOK, g.post(t, "/v1/requests/quote", "x").status)
	}
	hanging := ""
	tc.setExecute(func(ctx context.Context, r upstream.ExecuteRequest) (upstream.Answer, error) {
		tc.mu.Lock()
		first := hanging == ""
		if first {
			hanging = r.RequestID
		}
		tc.mu.Unlock()
		if first {
			<-ctx.Done()
			return loseAnswer(ctx, r)
		}
		return echo(r), nil
	})
	began := time.Now()
	require.Equal(t, http.StatusOK, g.post(t, "/v1/requests/quote", "x", headerTimeout, "2000").status)
	require.Less(t, time.Since(began), time.Second)

	tc.mu.Lock()
	hanging = ""
	tc.mu.Unlock()
	calls := tc.callCount()
	ticket := g.post(t, "/v1/tickets", "").header.Get(headerTicket)
	r := g.post(t, "/v1/requests/send", "p", headerTicket, ticket, headerTimeout, "400")
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "unknown", r.header.Get(headerOutcome))
	require.Equal(t, calls+1, tc.callCount())
}

// Guards against bodies that exhaust the memory of a small instance, and against capacity that is not released.
func TestBoundsOfBodies(t *testing.T) {
	const memoryBytes = 128 << 20
	registry := process.NewRegistry()
	g := newGate(Settings{MemoryBytes: memoryBytes}, Deps{Logger: slog.New(slog.DiscardHandler), Registry: registry})
	long := bytes.Repeat([]byte("x"), maxBodyBytes)
	for range 2 {
		var bodies []*ingress.Body
		for {
			r := httptest.NewRequest("POST", "/", bytes.NewReader(long))
			b, err := g.ReadBody(httptest.NewRecorder(), r, maxBodyBytes)
			if err != nil {
				var refused *ingress.RefusedError
				require.ErrorAs(t, err, &refused)
				break
			}
			bodies = append(bodies, b)
		}
		// Long bodies may take five eighths of the quarter of the memory that is for bodies. The buffer of the last one
		// grows from a quarter of its size, which it has as well for a moment.
		require.Len(t, bodies, (memoryBytes/bodyShare*5/8-maxBodyBytes/4)/maxBodyBytes)
		small, err := g.ReadBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader("x")), maxBodyBytes)
		require.NoError(t, err, "usual requests have room beside long ones")
		small.Close()
		for _, b := range bodies {
			b.Close()
		}
	}
}

// Guards against queries with large answers that many slow clients hold at the same time.
func TestFewQueriesAtATime(t *testing.T) {
	tc := newTestCluster(t)
	g := tc.start("g")
	for range maxQueries {
		g.queries <- struct{}{}
	}
	for _, path := range []string{"/v1/jobs", "/v1/jobs/bne-0~x", "/v1/shards", "/v1/explain/w"} {
		r := g.do(t, http.MethodGet, path, "")
		require.Equal(t, http.StatusServiceUnavailable, r.status, path)
		require.Contains(t, r.body, reasonTooMany)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	require.Equal(t, http.StatusOK, g.do(t, http.MethodGet, "/v1/status", "").status)
	<-g.queries
	require.Equal(t, http.StatusOK, g.do(t, http.MethodGet, "/v1/shards", "").status)
}
