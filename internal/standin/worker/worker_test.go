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

// bench is one worker behind a real HTTP server, with an owner that has fenced it.
type bench struct {
	t      *testing.T
	worker *Worker
	ledger *Ledger
	client *upstream.Client
	addr   string
	boot   instance.Incarnation
}

func newBench(t *testing.T, kinds map[string]Kind) *bench {
	b := &bench{t: t, ledger: NewLedger(slog.New(slog.DiscardHandler))}
	b.worker = New(Config{ID: "brisbane-w000", Slots: 2, Connections: 4, Capacity: resource.Vector{MilliCores: 10000},
		Model: &Model{Seed: 1, Kinds: kinds}, LateAfter: 50 * time.Millisecond}, b.ledger, slog.New(slog.DiscardHandler))
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = b.worker.newServer()
	srv.Start()
	t.Cleanup(func() {
		b.worker.Close()
		srv.Close()
	})
	b.addr, b.client = srv.Listener.Addr().String(), upstream.NewClient(srv.Client())
	return b
}

func (b *bench) lease(r upstream.LeaseRequest) upstream.LeaseReply {
	r.Shard, r.Envelope = shard, resource.Vector{MilliCores: 1000}
	if r.Epoch == 0 {
		r.Epoch = epoch
	}
	out, err := b.client.Lease(b.t.Context(), b.addr, r)
	require.NoError(b.t, err)
	return out
}

// hold fences the worker and grants lease time.
func (b *bench) hold(ttl time.Duration) upstream.LeaseReply {
	first := b.lease(upstream.LeaseRequest{})
	b.boot = first.Incarnation
	return b.lease(upstream.LeaseRequest{AsOf: first.Clock, TTL: ttl, Incarnation: first.Incarnation})
}

func (b *bench) start(r upstream.StartRequest) upstream.TaskReply {
	r.Shard, r.Epoch, r.Job = shard, epoch, "job"
	if r.Incarnation == "" {
		r.Incarnation = b.boot
	}
	out, err := b.client.Start(b.t.Context(), b.addr, r)
	require.NoError(b.t, err)
	return out
}

func ref(attempt int) upstream.TaskRef { return upstream.TaskRef{Job: "job", Attempt: attempt} }

func request(id string) upstream.ExecuteRequest {
	return upstream.ExecuteRequest{RequestID: id, Kind: "quote", Shard: shard, Epoch: epoch, Gateway: "g1", Generation: 3, Body: []byte(id)}
}

func (b *bench) counts() map[string]int64 { return b.ledger.Stats().Counts }

// Guards against a repeated start that runs the task twice, and against a delayed one that runs an ended attempt again.
func TestStartIsIdempotent(t *testing.T) {
	b := newBench(t, nil)
	require.Equal(t, upstream.RefusalNoLease, b.start(upstream.StartRequest{TaskRef: ref(1)}).Refusal)
	b.hold(time.Minute)
	r := upstream.StartRequest{TaskRef: ref(2), RunTime: time.Hour}
	require.Equal(t, upstream.TaskReply{}, b.start(r))
	require.Equal(t, upstream.TaskReply{Known: true}, b.start(r))
	stop := upstream.StopRequest{Shard: shard, Epoch: epoch, TaskRef: ref(2), Checkpoint: true}
	reply, err := b.client.Stop(t.Context(), b.addr, stop)
	require.NoError(t, err)
	require.True(t, reply.Known)
	require.NotEmpty(t, reply.Checkpoint)
	require.Equal(t, reply, b.start(r), "an ended attempt is known and stays ended")
	require.Equal(t, upstream.RefusalStaleAttempt, b.start(upstream.StartRequest{TaskRef: ref(1)}).Refusal)

	stop.TaskRef = ref(3)
	for range 2 {
		reply, err = b.client.Stop(t.Context(), b.addr, stop)
		require.NoError(t, err)
		require.Equal(t, upstream.RefusalUnknownTask, reply.Refusal)
	}
	require.Equal(t, upstream.RefusalStaleAttempt, b.start(upstream.StartRequest{TaskRef: ref(3)}).Refusal, "a stop comes before a delayed start")
	require.Equal(t, upstream.RefusalWrongIncarnation,
		b.start(upstream.StartRequest{TaskRef: ref(4), Incarnation: "other"}).Refusal)
	late := upstream.StartRequest{TaskRef: ref(4), NotAfter: time.Nanosecond}
	require.Equal(t, upstream.RefusalNoLease, b.start(late).Refusal, "a start call ends with the lease time that it was sent under")
	require.Equal(t, int64(1), b.counts()[CountStarts])
	require.Zero(t, b.ledger.Stats().Violated)
}

// Guards against events that are lost before the owner has them, and against a resume that does not continue the work.
func TestTaskEndsAndResumes(t *testing.T) {
	b := newBench(t, nil)
	b.hold(time.Minute)
	b.start(upstream.StartRequest{TaskRef: ref(1), RunTime: 200 * time.Millisecond, CheckpointEvery: 20 * time.Millisecond})
	time.Sleep(100 * time.Millisecond)
	running := b.lease(upstream.LeaseRequest{Full: true}).Running
	require.Len(t, running, 1)
	require.NotEmpty(t, running[0].Checkpoint)
	reply, err := b.client.Stop(t.Context(), b.addr, upstream.StopRequest{Shard: shard, Epoch: epoch, TaskRef: ref(1), Checkpoint: true})
	require.NoError(t, err)

	began := time.Now()
	b.start(upstream.StartRequest{TaskRef: ref(2), RunTime: 200 * time.Millisecond, Checkpoint: reply.Checkpoint})
	var events []upstream.TaskEvent
	require.Eventually(t, func() bool {
		events = b.lease(upstream.LeaseRequest{}).Events
		return len(events) == 2
	}, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(began), 190*time.Millisecond)
	require.Equal(t, upstream.OutcomeEvicted, events[0].Outcome)
	require.Equal(t, reply.Checkpoint, events[0].Checkpoint)
	require.Equal(t, upstream.OutcomeDone, events[1].Outcome)
	require.Empty(t, b.lease(upstream.LeaseRequest{AckEvents: events[1].Number}).Events)

	b.start(upstream.StartRequest{TaskRef: ref(3), RunTime: time.Hour})
	require.Equal(t, int64(1), b.counts()[ViolationDoneTwice])
	require.Equal(t, int64(1), b.counts()[ViolationStaleResume])
}

// Guards against tasks that outlive the lease, and against a delayed renewal that keeps them alive.
func TestLeaseLapseStopsTasks(t *testing.T) {
	b := newBench(t, nil)
	held := b.hold(150 * time.Millisecond)
	b.start(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour, CheckpointEvery: 10 * time.Millisecond})
	time.Sleep(250 * time.Millisecond)
	tasks, _ := b.worker.Load()
	require.Zero(t, tasks)
	late := b.lease(upstream.LeaseRequest{AsOf: held.Clock, TTL: 150 * time.Millisecond, Full: true,
		Incarnation: b.boot})
	require.LessOrEqual(t, late.Expiry, late.Clock)
	require.Empty(t, late.Running)
	require.Len(t, late.Events, 1)
	require.Equal(t, upstream.OutcomeEvicted, late.Events[0].Outcome)
	require.NotEmpty(t, late.Events[0].Checkpoint)
	require.LessOrEqual(t, late.Events[0].RunTime, 151*time.Millisecond)
}

// Guards against overload that the stand-in accepts silently.
func TestOverload(t *testing.T) {
	b := newBench(t, map[string]Kind{"quote": {RunTime: 300 * time.Millisecond}})
	b.hold(time.Minute)
	require.Empty(t, b.start(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour, Size: resource.Vector{MilliCores: 8000}}).Refusal)
	second := upstream.StartRequest{TaskRef: ref(1), Size: resource.Vector{MilliCores: 1}}
	second.Index = 1
	require.Equal(t, upstream.RefusalOverload, b.start(second).Refusal)
	require.Equal(t, int64(1), b.counts()[ViolationOverload])

	errs := make(chan error, 3)
	for _, id := range []string{"a", "b", "c"} {
		go func() {
			_, err := b.client.Execute(context.Background(), b.addr, request(id))
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
	require.Equal(t, int64(2), b.counts()[ViolationOverload])
	require.Equal(t, int64(2), b.counts()[CountExecutions])
}

// Guards against requests on stale grants, and against a fence that reports slots as free while old requests use them.
func TestStaleGrants(t *testing.T) {
	b := newBench(t, map[string]Kind{"quote": {RunTime: 300 * time.Millisecond}})
	reason := func(r upstream.ExecuteRequest) upstream.Refusal {
		_, err := b.client.Execute(b.t.Context(), b.addr, r)
		var notRun *upstream.NotRunError
		require.ErrorAs(t, err, &notRun)
		return notRun.Reason
	}
	require.Equal(t, upstream.RefusalNoLease, reason(request("a")))
	b.lease(upstream.LeaseRequest{})
	done := make(chan error, 1)
	go func() {
		_, err := b.client.Execute(context.Background(), b.addr, request("b"))
		done <- err
	}()
	require.Eventually(t, func() bool { _, busy := b.worker.Load(); return busy == 1 }, 5*time.Second, time.Millisecond)
	r := b.lease(upstream.LeaseRequest{Revoked: []upstream.GatewayFence{{Gateway: "g1", MinGeneration: 4}}})
	require.Equal(t, []upstream.GatewayUse{{Gateway: "g1", Slots: 1}}, r.InProgress)
	require.Equal(t, upstream.RefusalStaleGrant, reason(request("c")))
	r = b.lease(upstream.LeaseRequest{Epoch: epoch + 1})
	require.True(t, r.HasRunning)
	require.Len(t, r.InProgress, 1)
	require.Equal(t, upstream.RefusalStaleEpoch, reason(request("d")))
	require.NoError(t, <-done)
	require.Empty(t, b.lease(upstream.LeaseRequest{Epoch: epoch + 1}).InProgress)
}

// Guards against a client that accepts a crossed, cut, changed or broken answer.
func TestWrongAnswers(t *testing.T) {
	b := newBench(t, map[string]Kind{"quote": {RunTime: time.Microsecond, AnswerBytes: 5000}})
	b.lease(upstream.LeaseRequest{})
	a, err := b.client.Execute(t.Context(), b.addr, request("good"))
	require.NoError(t, err)
	var body AnswerBody
	require.NoError(t, json.Unmarshal(a.Body, &body))
	require.Equal(t, AnswerBody{RequestID: "good", Kind: "quote", RequestDigest: upstream.Digest([]byte("good")), Worker: "brisbane-w000"}, body)
	require.Len(t, a.Body, 5000)

	b.worker.SetFaults(Faults{WrongAnswer: 1})
	seen := map[upstream.Check]int{}
	for range 60 {
		_, err := b.client.Execute(t.Context(), b.addr, request("r"+time.Now().String()))
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

// Guards against double runs, repeated requests and late work that nobody counts.
func TestLedgerCountsViolations(t *testing.T) {
	l := NewLedger(slog.New(slog.DiscardHandler))
	now := time.Now()
	r := l.Start(now, "w1", ref(1), Checkpoint{}, now.Add(time.Second))
	l.Start(now.Add(2*time.Second), "w2", ref(2), Checkpoint{}, now.Add(9*time.Second))
	require.Zero(t, l.Stats().Violated, "the lease of the first attempt has lapsed")
	r.Hold(now.Add(5 * time.Second))
	l.Start(now.Add(3*time.Second), "w3", ref(3), Checkpoint{}, now.Add(9*time.Second))
	require.Equal(t, int64(2), l.Stats().Counts[ViolationDoubled])
	l.Execute("w1", "id", "price", true)
	l.Execute("w2", "id", "price", true)
	require.Equal(t, int64(1), l.Stats().Counts[ViolationRepeated])
	require.Equal(t, map[string]int{"id": 2, "other": 0}, l.Executed([]string{"id", "other"}))

	b := newBench(t, nil)
	b.hold(time.Minute)
	b.worker.Leave()
	require.Empty(t, b.start(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour}).Refusal)
	time.Sleep(60 * time.Millisecond)
	require.Equal(t, upstream.RefusalLeaving, b.start(upstream.StartRequest{TaskRef: ref(9), RunTime: time.Hour}).Refusal)
	require.Equal(t, int64(1), b.counts()[ViolationLateWork])
}

// Guards against a frozen or dead worker whose caller is told that the request was not run, and against state that survives a death.
func TestFrozenAndDead(t *testing.T) {
	b := newBench(t, map[string]Kind{"quote": {RunTime: time.Millisecond}})
	before := b.hold(time.Minute)
	b.start(upstream.StartRequest{TaskRef: ref(1), RunTime: time.Hour})
	b.worker.SetFaults(Faults{Frozen: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := b.client.Execute(ctx, b.addr, request("a"))
	var unknown *upstream.UnknownError
	require.ErrorAs(t, err, &unknown)
	b.worker.SetFaults(Faults{Dead: true})
	b.worker.SetFaults(Faults{})
	after := b.lease(upstream.LeaseRequest{Full: true})
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	require.Greater(t, after.Clock, before.Clock)
	require.Empty(t, after.Running)
	require.Equal(t, int64(1), b.counts()[CountKilled])
}

// Guards against races between calls, faults and timers.
func TestConcurrentUse(t *testing.T) {
	b := newBench(t, map[string]Kind{"quote": {RunTime: time.Millisecond}})
	var wg sync.WaitGroup
	stop := time.Now().Add(300 * time.Millisecond)
	for _, f := range []func(i int){
		func(int) {
			// The worker may be dead; only races and panics count here.
			r := upstream.LeaseRequest{Shard: shard, Epoch: epoch}
			first, err := b.client.Lease(context.Background(), b.addr, r)
			if r.AsOf, r.TTL, r.Incarnation = first.Clock, 20*time.Millisecond, first.Incarnation; err == nil {
				_, _ = b.client.Lease(context.Background(), b.addr, r)
			}
		},
		func(i int) {
			_, _ = b.client.Start(context.Background(), b.addr, upstream.StartRequest{Shard: shard, Epoch: epoch, TaskRef: ref(i + 1), RunTime: time.Millisecond})
		},
		func(i int) { _, _ = b.client.Execute(context.Background(), b.addr, request("x")) },
		func(i int) { b.worker.SetFaults(Faults{Slow: float64(i % 3), WrongAnswer: 0.1, Dead: i%16 == 0}) },
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

// Guards against a fleet that hides dead workers behind open ports, and against a planned stop that leaves entries behind.
func TestFleetFaults(t *testing.T) {
	site, err := ParseSite("brisbane=2@127.10.0.1:19301")
	require.NoError(t, err)
	l := NewLedger(slog.New(slog.DiscardHandler))
	f := NewFleet(site.Configs(Config{Slots: 1, Connections: 1}, 1), l, nil, slog.New(slog.DiscardHandler))
	require.NoError(t, f.Open())
	defer f.Close()
	w := httptest.NewRecorder()
	f.AdminHandler().ServeHTTP(w, httptest.NewRequest("POST", "/admin/faults", strings.NewReader(`{"workers":["brisbane-w001"],"faults":{"dead":true}}`)))
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	client := upstream.NewClient(&http.Client{})
	_, err = client.Lease(t.Context(), "127.10.0.1:19301", upstream.LeaseRequest{Shard: "s", Epoch: 1})
	require.NoError(t, err)
	_, err = client.Lease(t.Context(), "127.10.0.1:19302", upstream.LeaseRequest{Shard: "s", Epoch: 1})
	var call *upstream.CallError
	require.ErrorAs(t, err, &call)
	require.False(t, call.Sent)
	require.Equal(t, []instance.ID{"brisbane-w000", "brisbane-w001"}, f.Apply(Selection{DataCentre: "brisbane"}, Faults{}).Workers)
	_, err = client.Lease(t.Context(), "127.10.0.1:19302", upstream.LeaseRequest{Shard: "s", Epoch: 1})
	require.NoError(t, err)
	require.NoError(t, f.Drain(10*time.Millisecond, time.Second))
}

// Guards against a lease that ends at another time than the worker's own clock says, when that clock drifts.
func TestDriftingClock(t *testing.T) {
	for _, drift := range []float64{-0.01, 0, 0.01} {
		w := New(Config{ID: "w", Drift: drift}, NewLedger(slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
		now := w.start.Add(20 * 24 * time.Hour)
		reading := w.clock(now)
		require.InDelta(t, now.UnixNano(), w.wall(reading).UnixNano(), float64(10*time.Microsecond))
		require.InEpsilon(t, 10.0*(1+drift), (w.clock(now.Add(10*time.Second)) - reading).Seconds(), 1e-6)
		w.Close()
	}
}

// Guards against a slot that is used again while the request that the gateway gave up on still runs or arrives later.
func TestCancelledRequestDoesNotRun(t *testing.T) {
	b := newBench(t, map[string]Kind{"quote": {RunTime: time.Hour}})
	b.hold(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := b.client.Execute(ctx, b.addr, request("r1"))
		ended <- err
	}()
	require.Eventually(t, func() bool { _, busy := b.worker.Load(); return busy == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, b.client.Cancel(t.Context(), b.addr, upstream.CancelRequest{Gateway: "g1", RequestID: "r1"}))
	_, busy := b.worker.Load()
	require.Zero(t, busy)
	require.NoError(t, b.client.Cancel(t.Context(), b.addr, upstream.CancelRequest{Gateway: "g1", RequestID: "r2"}))
	_, err := b.client.Execute(t.Context(), b.addr, request("r2"))
	var refused *upstream.NotRunError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, upstream.RefusalCancelled, refused.Reason)
	cancel()
	require.Error(t, <-ended)
}
