package worker

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	shard = "brisbane-0"
	epoch = 7
)

// testWorker is a worker behind an HTTP server, with a client that plays its owner and its gateways.
type testWorker struct {
	t      *testing.T
	worker *Worker
	ledger *Ledger
	client *upstream.Client
	addr   string
	boot   instance.Incarnation
}

func newTestWorker(t *testing.T, kinds map[string]Kind) *testWorker {
	tw := &testWorker{t: t, ledger: NewLedger(slog.New(slog.DiscardHandler))}
	tw.worker = New(Config{ID: "brisbane-w000", Slots: 2, Connections: 4, Capacity: resource.Vector{MilliCores: 10000},
		Model: &Model{Seed: 1, Kinds: kinds}, LeaveGracePeriod: 50 * time.Millisecond}, tw.ledger,
		slog.New(slog.DiscardHandler))
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = tw.worker.newServer()
	srv.Start()
	t.Cleanup(func() {
		tw.worker.Close()
		srv.Close()
	})
	tw.addr, tw.client = srv.Listener.Addr().String(), upstream.NewClient(srv.Client())
	return tw
}

// callLease sends a lease call under the test shard, and under the test epoch unless the request gives another one.
func (tw *testWorker) callLease(r upstream.LeaseRequest) upstream.LeaseReply {
	r.Shard, r.Envelope = shard, resource.Vector{MilliCores: 1000}
	if r.Epoch == 0 {
		r.Epoch = epoch
	}
	out, err := tw.client.Lease(tw.t.Context(), tw.addr, r)
	require.NoError(tw.t, err)
	return out
}

// grantLease fences the worker and grants it a lease.
func (tw *testWorker) grantLease(ttl time.Duration) upstream.LeaseReply {
	first := tw.callLease(upstream.LeaseRequest{})
	tw.boot = first.Incarnation
	return tw.callLease(upstream.LeaseRequest{AsOf: first.Clock, TTL: ttl, Incarnation: first.Incarnation})
}

// callStart sends a start call under the test shard and epoch.
func (tw *testWorker) callStart(r upstream.StartRequest) upstream.TaskReply {
	r.Shard, r.Epoch, r.Job = shard, epoch, "job"
	if r.Incarnation == "" {
		r.Incarnation = tw.boot
	}
	out, err := tw.client.Start(tw.t.Context(), tw.addr, r)
	require.NoError(tw.t, err)
	return out
}

func ref(attempt int) upstream.TaskRef { return upstream.TaskRef{Job: "job", Attempt: attempt} }

func request(id string) upstream.ExecuteRequest {
	return upstream.ExecuteRequest{RequestID: id, Kind: "quote", Shard: shard, Epoch: epoch, Gateway: "g1",
		Generation: 3, Body: []byte(id)}
}

func (tw *testWorker) counts() map[string]int64 { return tw.ledger.Stats().Counts }

// Guards against a repeated start call that runs a task twice, and against a delayed one that restarts an ended
// attempt.
func TestStartIsIdempotent(t *testing.T) {
	tw := newTestWorker(t, nil)
	require.Equal(t, upstream.RefusalNoLease, tw.callStart(upstream.StartRequest{TaskRef: ref(1)}).Refusal)
	tw.grantLease(time.Minute)
	r := upstream.StartRequest{TaskRef: ref(2), RunTime: time.Hour}
	require.Equal(t, upstream.TaskReply{}, tw.callStart(r))
	require.Equal(t, upstream.TaskReply{Known: true}, tw.callStart(r))
	stop := upstream.StopRequest{Shard: shard, Epoch: epoch, TaskRef: ref(2), Checkpoint: true}
	reply, err := tw.client.Stop(t.Context(), tw.addr, stop)
	require.NoError(t, err)
	require.True(t, reply.Known)
	require.NotEmpty(t, reply.Checkpoint)
	require.Equal(t, reply, tw.callStart(r), "a repeated start does not restart an ended attempt")
	require.Equal(t, upstream.RefusalStaleAttempt, tw.callStart(upstream.StartRequest{TaskRef: ref(1)}).Refusal)

	stop.TaskRef = ref(3)
	for range 2 {
		reply, err = tw.client.Stop(t.Context(), tw.addr, stop)
		require.NoError(t, err)
		require.Equal(t, upstream.RefusalUnknownTask, reply.Refusal)
	}
	require.Equal(t, upstream.RefusalStaleAttempt, tw.callStart(upstream.StartRequest{TaskRef: ref(3)}).Refusal,
		"a start that arrives after the stop of the attempt is refused")
	require.Equal(t, upstream.RefusalWrongIncarnation,
		tw.callStart(upstream.StartRequest{TaskRef: ref(4), Incarnation: "other"}).Refusal)
	late := upstream.StartRequest{TaskRef: ref(4), NotAfter: time.Nanosecond}
	require.Equal(t, upstream.RefusalNoLease, tw.callStart(late).Refusal,
		"a start call that arrives after its NotAfter time is refused")
	require.Equal(t, int64(1), tw.counts()[CountStarts])
	require.Zero(t, tw.ledger.Stats().Violated)
}

// Guards against events that are dropped before the owner has acknowledged them, and against a resumed task that
// repeats the work done before its checkpoint.
func TestTaskEndsAndResumes(t *testing.T) {
	tw := newTestWorker(t, nil)
	tw.grantLease(time.Minute)
	tw.callStart(upstream.StartRequest{TaskRef: ref(1), RunTime: 200 * time.Millisecond,
		CheckpointEvery: 20 * time.Millisecond})
	time.Sleep(100 * time.Millisecond)
	running := tw.callLease(upstream.LeaseRequest{Full: true}).Running
	require.Len(t, running, 1)
	require.NotEmpty(t, running[0].Checkpoint)
	reply, err := tw.client.Stop(t.Context(), tw.addr,
		upstream.StopRequest{Shard: shard, Epoch: epoch, TaskRef: ref(1), Checkpoint: true})
	require.NoError(t, err)

	began := time.Now()
	tw.callStart(upstream.StartRequest{TaskRef: ref(2), RunTime: 200 * time.Millisecond, Checkpoint: reply.Checkpoint})
	var events []upstream.TaskEvent
	require.Eventually(t, func() bool {
		events = tw.callLease(upstream.LeaseRequest{}).Events
		return len(events) == 2
	}, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(began), 190*time.Millisecond)
	require.Equal(t, upstream.OutcomeEvicted, events[0].Outcome)
	require.Equal(t, reply.Checkpoint, events[0].Checkpoint)
	require.Equal(t, upstream.OutcomeDone, events[1].Outcome)
	require.Empty(t, tw.callLease(upstream.LeaseRequest{AckEvents: events[1].Number}).Events)

	tw.callStart(upstream.StartRequest{TaskRef: ref(3), RunTime: time.Hour})
	require.Equal(t, int64(1), tw.counts()[ViolationStartAfterEnd])
	require.Equal(t, int64(1), tw.counts()[ViolationStaleResume])
}

// Guards against tasks that run on after the lease has expired, and against a delayed renewal that revives the lease.
func TestLeaseLapseStopsTasks(t *testing.T) {
	tw := newTestWorker(t, nil)
	held := tw.grantLease(150 * time.Millisecond)
	tw.callStart(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour, CheckpointEvery: 10 * time.Millisecond})
	time.Sleep(250 * time.Millisecond)
	tasks, _ := tw.worker.Load()
	require.Zero(t, tasks)
	late := tw.callLease(upstream.LeaseRequest{AsOf: held.Clock, TTL: 150 * time.Millisecond, Full: true,
		Incarnation: tw.boot})
	require.LessOrEqual(t, late.Expiry, late.Clock)
	require.Empty(t, late.Running)
	require.Len(t, late.Events, 1)
	require.Equal(t, upstream.OutcomeEvicted, late.Events[0].Outcome)
	require.NotEmpty(t, late.Events[0].Checkpoint)
	require.LessOrEqual(t, late.Events[0].RunTime, 151*time.Millisecond)
}

// Guards against a worker that accepts tasks or requests beyond its capacity, or does not count them as violations.
func TestOverload(t *testing.T) {
	tw := newTestWorker(t, map[string]Kind{"quote": {RunTime: 300 * time.Millisecond}})
	tw.grantLease(time.Minute)
	require.Empty(t, tw.callStart(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour,
		Size: resource.Vector{MilliCores: 8000}}).Refusal)
	second := upstream.StartRequest{TaskRef: ref(1), Size: resource.Vector{MilliCores: 1}}
	second.Index = 1
	require.Equal(t, upstream.RefusalOverload, tw.callStart(second).Refusal)
	require.Equal(t, int64(1), tw.counts()[ViolationOverload])

	errs := make(chan error, 3)
	for _, id := range []string{"a", "b", "c"} {
		go func() {
			_, err := tw.client.Execute(context.Background(), tw.addr, request(id))
			errs <- err
		}()
	}
	refused := 0
	for range 3 {
		if err := <-errs; err != nil {
			var notRun *upstream.NotRunError
			require.ErrorAs(t, err, &notRun)
			require.Equal(t, upstream.RefusalOverload, notRun.Reason)
			refused++
		}
	}
	require.Equal(t, 1, refused)
	require.Equal(t, int64(2), tw.counts()[ViolationOverload])
	require.Equal(t, int64(2), tw.counts()[CountExecutions])
}

// Guards against requests that run under a revoked grant or an old epoch, and against a lease reply that does not
// report slots as in use while earlier requests still run.
func TestStaleGrants(t *testing.T) {
	tw := newTestWorker(t, map[string]Kind{"quote": {RunTime: 300 * time.Millisecond}})
	reason := func(r upstream.ExecuteRequest) upstream.Refusal {
		_, err := tw.client.Execute(tw.t.Context(), tw.addr, r)
		var notRun *upstream.NotRunError
		require.ErrorAs(t, err, &notRun)
		return notRun.Reason
	}
	require.Equal(t, upstream.RefusalNoLease, reason(request("a")))
	tw.callLease(upstream.LeaseRequest{})
	done := make(chan error, 1)
	go func() {
		_, err := tw.client.Execute(context.Background(), tw.addr, request("b"))
		done <- err
	}()
	require.Eventually(t, func() bool { _, busy := tw.worker.Load(); return busy == 1 }, 5*time.Second,
		time.Millisecond)
	r := tw.callLease(upstream.LeaseRequest{Revoked: []upstream.GatewayFence{{Gateway: "g1", MinGeneration: 4}}})
	require.Equal(t, []upstream.GatewayUse{{Gateway: "g1", Slots: 1}}, r.InProgress)
	require.Equal(t, upstream.RefusalStaleGrant, reason(request("c")))
	r = tw.callLease(upstream.LeaseRequest{Epoch: epoch + 1})
	require.True(t, r.HasRunning)
	require.Len(t, r.InProgress, 1)
	require.Equal(t, upstream.RefusalStaleEpoch, reason(request("d")))
	require.NoError(t, <-done)
	require.Empty(t, tw.callLease(upstream.LeaseRequest{Epoch: epoch + 1}).InProgress)
}

// Guards against a client that accepts an answer that belongs to another request, is truncated, changed or interrupted.
func TestWrongAnswers(t *testing.T) {
	tw := newTestWorker(t, map[string]Kind{"quote": {RunTime: time.Microsecond, AnswerBytes: 5000}})
	tw.callLease(upstream.LeaseRequest{})
	a, err := tw.client.Execute(t.Context(), tw.addr, request("good"))
	require.NoError(t, err)
	var body AnswerBody
	require.NoError(t, json.Unmarshal(a.Body, &body))
	require.Equal(t, AnswerBody{RequestID: "good", Kind: "quote", RequestDigest: upstream.Digest([]byte("good")),
		Worker: "brisbane-w000"}, body)
	require.Len(t, a.Body, 5000)

	tw.worker.SetFaults(Faults{WrongAnswer: 1})
	seen := map[upstream.Check]int{}
	for range 60 {
		_, err := tw.client.Execute(t.Context(), tw.addr, request("r"+time.Now().String()))
		switch e := err.(type) {
		case *upstream.CorruptAnswerError:
			seen[e.Check]++
		case *upstream.UnknownError:
			seen["broken"]++
		default:
			require.Failf(t, "unexpected outcome", "%T %v", err, err)
		}
	}
	require.Len(t, seen, 4, seen)
}

// Guards against a ledger that does not count concurrent attempts, repeated executions of a request or work that is
// sent to a worker after LeaveGracePeriod, and against one that counts an attempt whose lease has expired as
// concurrent.
func TestLedgerCountsViolations(t *testing.T) {
	l := NewLedger(slog.New(slog.DiscardHandler))
	now := time.Now()
	r := l.Start(now, "w1", ref(1), Checkpoint{}, now.Add(time.Second))
	l.Start(now.Add(2*time.Second), "w2", ref(2), Checkpoint{}, now.Add(9*time.Second))
	require.Zero(t, l.Stats().Violated, "the lease of the first attempt has expired")
	r.SetLeaseEnd(now.Add(5 * time.Second))
	l.Start(now.Add(3*time.Second), "w3", ref(3), Checkpoint{}, now.Add(9*time.Second))
	require.Equal(t, int64(2), l.Stats().Counts[ViolationConcurrentAttempts])
	l.RecordExecution("w1", "id", "price", true)
	l.RecordExecution("w2", "id", "price", true)
	require.Equal(t, int64(1), l.Stats().Counts[ViolationExecutedTwice])
	require.Equal(t, map[string]int{"id": 2, "other": 0}, l.Executed([]string{"id", "other"}))

	tw := newTestWorker(t, nil)
	tw.grantLease(time.Minute)
	tw.worker.Leave()
	require.Empty(t, tw.callStart(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour}).Refusal)
	time.Sleep(60 * time.Millisecond)
	require.Equal(t, upstream.RefusalLeaving,
		tw.callStart(upstream.StartRequest{TaskRef: ref(9), RunTime: time.Hour}).Refusal)
	require.Equal(t, int64(1), tw.counts()[ViolationLateWork])
}

// Guards against a frozen worker whose caller receives the error that the request was not run, and against tasks or a
// boot id that are kept across a death of the worker.
func TestFrozenAndDead(t *testing.T) {
	tw := newTestWorker(t, map[string]Kind{"quote": {RunTime: time.Millisecond}})
	before := tw.grantLease(time.Minute)
	tw.callStart(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour})
	tw.worker.SetFaults(Faults{Frozen: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := tw.client.Execute(ctx, tw.addr, request("a"))
	var unknown *upstream.UnknownError
	require.ErrorAs(t, err, &unknown)
	tw.worker.SetFaults(Faults{Dead: true})
	tw.worker.SetFaults(Faults{})
	after := tw.callLease(upstream.LeaseRequest{Full: true})
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	require.Greater(t, after.Clock, before.Clock)
	require.Empty(t, after.Running)
	require.Equal(t, int64(1), tw.counts()[CountKilled])
}

// Guards against data races and panics when calls, changes of faults and timers coincide.
func TestConcurrentUse(t *testing.T) {
	tw := newTestWorker(t, map[string]Kind{"quote": {RunTime: time.Millisecond}})
	var wg sync.WaitGroup
	stop := time.Now().Add(300 * time.Millisecond)
	for _, f := range []func(i int){
		func(int) {
			// Errors are ignored because the worker can be dead.
			r := upstream.LeaseRequest{Shard: shard, Epoch: epoch}
			first, err := tw.client.Lease(context.Background(), tw.addr, r)
			if r.AsOf, r.TTL, r.Incarnation = first.Clock, 20*time.Millisecond, first.Incarnation; err == nil {
				_, _ = tw.client.Lease(context.Background(), tw.addr, r)
			}
		},
		func(i int) {
			_, _ = tw.client.Start(context.Background(), tw.addr,
				upstream.StartRequest{Shard: shard, Epoch: epoch, TaskRef: ref(i + 1), RunTime: time.Millisecond})
		},
		func(i int) { _, _ = tw.client.Execute(context.Background(), tw.addr, request("x")) },
		func(i int) { tw.worker.SetFaults(Faults{Slow: float64(i % 3), WrongAnswer: 0.1, Dead: i%16 == 0}) },
	} {
		wg.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				f(n)
				time.Sleep(time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// Guards against a dead worker whose endpoint stays open, against an endpoint that is not reopened after the fault, and
// against a drain that does not end.
func TestFleetFaults(t *testing.T) {
	site, err := ParseSite("brisbane=2@127.10.0.1:19301")
	require.NoError(t, err)
	l := NewLedger(slog.New(slog.DiscardHandler))
	f := NewFleet(site.Configs(Config{Slots: 1, Connections: 1}, 1), l, nil, slog.New(slog.DiscardHandler))
	require.NoError(t, f.Open())
	defer f.Close()
	w := httptest.NewRecorder()
	f.AdminHandler().ServeHTTP(w, httptest.NewRequest("POST", "/admin/faults",
		strings.NewReader(`{"workers":["brisbane-w001"],"faults":{"dead":true}}`)))
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	client := upstream.NewClient(&http.Client{})
	_, err = client.Lease(t.Context(), "127.10.0.1:19301", upstream.LeaseRequest{Shard: "s", Epoch: 1})
	require.NoError(t, err)
	_, err = client.Lease(t.Context(), "127.10.0.1:19302", upstream.LeaseRequest{Shard: "s", Epoch: 1})
	var call *upstream.CallError
	require.ErrorAs(t, err, &call)
	require.False(t, call.Sent)
	require.Equal(t, []instance.ID{"brisbane-w000", "brisbane-w001"},
		f.Apply(Selection{DataCentre: "brisbane"}, Faults{}).Workers)
	_, err = client.Lease(t.Context(), "127.10.0.1:19302", upstream.LeaseRequest{Shard: "s", Epoch: 1})
	require.NoError(t, err)
	require.NoError(t, f.Drain(10*time.Millisecond, time.Second))
}

// Guards against a lease that expires at the wrong time because the conversion between a drifting clock and time is not
// exact. Both directions of the conversion are checked after 20 days.
func TestDriftingClock(t *testing.T) {
	for _, drift := range []float64{-0.01, 0, 0.01} {
		w := New(Config{ID: "w", Drift: drift}, NewLedger(slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
		now := w.start.Add(20 * 24 * time.Hour)
		reading := w.clock(now)
		require.InDelta(t, now.UnixNano(), w.wallTime(reading).UnixNano(), float64(10*time.Microsecond))
		require.InEpsilon(t, 10.0*(1+drift), (w.clock(now.Add(10*time.Second)) - reading).Seconds(), 1e-6)
		w.Close()
	}
}

// Guards against a cancelled request that keeps its slot, and against one that runs because it arrives after its
// cancellation. The gateway reuses the slot after the cancellation, so either would overload the worker.
func TestCancelledRequestDoesNotRun(t *testing.T) {
	tw := newTestWorker(t, map[string]Kind{"quote": {RunTime: time.Hour}})
	tw.grantLease(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := tw.client.Execute(ctx, tw.addr, request("r1"))
		ended <- err
	}()
	require.Eventually(t, func() bool { _, busy := tw.worker.Load(); return busy == 1 }, 5*time.Second,
		time.Millisecond)
	require.NoError(t, tw.client.Cancel(t.Context(), tw.addr, upstream.CancelRequest{Gateway: "g1", RequestID: "r1"}))
	_, busy := tw.worker.Load()
	require.Zero(t, busy)
	require.NoError(t, tw.client.Cancel(t.Context(), tw.addr, upstream.CancelRequest{Gateway: "g1", RequestID: "r2"}))
	_, err := tw.client.Execute(t.Context(), tw.addr, request("r2"))
	var refused *upstream.NotRunError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, upstream.RefusalCancelled, refused.Reason)
	cancel()
	require.Error(t, <-ended)
}
