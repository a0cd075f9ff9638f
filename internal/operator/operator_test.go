package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/keys"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const quotes = "../../examples/quotes.yaml"

// bench holds the fakes of one test.
type bench struct {
	t    *testing.T
	log  *standin.Log
	list *standin.List
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, log: standin.NewLog(standin.Limits{}, 1), list: standin.NewList(0, 0)}
}

// run executes the program and returns its exit code, output and messages.
func (b *bench) run(args ...string) (int, string, string) {
	b.t.Helper()
	var out, notes bytes.Buffer
	code := Main(context.Background(), args, Streams{Out: &out, Err: &notes}, func(s *Settings, w Streams) *Env {
		return NewEnv(s, b.log, b.list, NewHTTPClient(), w)
	})
	return code, out.String(), notes.String()
}

func (b *bench) mustRun(args ...string) string {
	b.t.Helper()
	code, out, notes := b.run(args...)
	require.Equal(b.t, exitOK, code, notes)
	return out
}

// serve starts an instance with the given handlers and puts it in the list.
func (b *bench) serve(id instance.ID, role instance.Role, handlers map[string]http.HandlerFunc) *httptest.Server {
	mux := http.NewServeMux()
	for pattern, h := range handlers {
		mux.HandleFunc(pattern, h)
	}
	s := httptest.NewServer(mux)
	b.t.Cleanup(s.Close)
	require.NoError(b.t, b.list.Register(context.Background(), instance.Member{ID: id, Incarnation: "1", Role: role, State: instance.StateLive,
		HTTPAddr: strings.TrimPrefix(s.URL, "http://")}))
	return s
}

func answer(v any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
}

func edited(t *testing.T, old, new string) string {
	data, err := os.ReadFile(quotes)
	require.NoError(t, err)
	require.Contains(t, string(data), old)
	path := filepath.Join(t.TempDir(), "manifest.yaml")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(data), old, new, 1)), 0o600))
	return path
}

// Guards against exit codes that differ from the help, and against faults without line and field.
func TestCheckAndUsage(t *testing.T) {
	b := newBench(t)
	require.Contains(t, b.mustRun("check", quotes), "65 workers, 4 shards")
	code, _, notes := b.run("check", edited(t, "workers: 17", "workers: none"), "-o", "json")
	require.Equal(t, exitFailure, code)
	var f failure
	require.NoError(t, json.Unmarshal([]byte(notes), &f))
	require.Equal(t, "data_centres[0].workers", f.Problems[0].Path)
	require.NotEmpty(t, f.Next)
	for _, args := range [][]string{{"nonsense"}, {"check", "no-such-file"}, {"submit", "tool-rebid", "--tasks", "0"},
		{"history", "--platform", "http://localhost:7000"}, {"jobs", "--gateway", "1.2.3.4"}, {"jobs", "-o", "xml"}} {
		code, _, notes = b.run(args...)
		require.Equal(t, exitUsage, code, "%v: %s", args, notes)
	}
}

// Guards against an operator who overwrites another's publication, and against changes that would break the deployment.
func TestPublishDiffHistory(t *testing.T) {
	b := newBench(t)
	b.mustRun("publish", quotes, "--operator", "ana")
	faster := edited(t, "deadline: 8h", "deadline: 6h")
	require.Contains(t, b.mustRun("diff", faster), "kinds[tool-rebid].deadline  8h0m0s    6h0m0s")
	b.mustRun("publish", faster, "--replaces", "1", "--operator", "ben")
	code, _, notes := b.run("publish", quotes, "--replaces", "1")
	require.Equal(t, exitConflict, code)
	require.Contains(t, notes, "version 2 is in force")
	code, _, notes = b.run("publish", edited(t, "racks_per_shard: 3", "racks_per_shard: 2"))
	require.Equal(t, exitFailure, code)
	require.Contains(t, notes, "racks_per_shard must not change from 3 to 2")
	code, _, _ = b.run("diff", edited(t, "per_rack: 8", "per_rack: 4"))
	require.Equal(t, exitFailure, code)
	var h []publication
	require.NoError(t, json.Unmarshal([]byte(b.mustRun("history", "-o", "json")), &h))
	require.Len(t, h, 2)
	require.Equal(t, []any{uint64(2), uint64(1), true, "ben"}, []any{h[1].Version, h[1].Replaces, h[1].InForce, h[1].Operator})
	b.log.SetFaults(standin.LogFaults{Down: true})
	code, _, notes = b.run("history")
	require.Equal(t, exitFailure, code)
	require.Contains(t, notes, "Next: ")
}

// Guards against a publication that is called in force while an instance still has an older version, and against one that
// waits for instances that are leaving.
func TestPublishWait(t *testing.T) {
	b := newBench(t)
	var offset atomic.Uint64
	b.serve("g1", instance.RoleGateway, map[string]http.HandlerFunc{"GET /v1/status": answer(status{ID: "g1", ConfigOffset: 99})})
	b.serve("s1", instance.RoleScheduler, map[string]http.HandlerFunc{"GET /v1/status": func(w http.ResponseWriter, r *http.Request) {
		answer(status{ID: "s1", ConfigOffset: offset.Load()})(w, r)
	}})
	require.NoError(t, b.list.Register(context.Background(), instance.Member{ID: "old", Incarnation: "1", Role: instance.RoleGateway,
		State: instance.StateLeaving, HTTPAddr: "127.0.0.1:1"}))
	code, _, notes := b.run("publish", quotes, "--wait", "--timeout", "700ms")
	require.Equal(t, exitTimeout, code)
	require.Contains(t, notes, "scheduler s1")
	require.Contains(t, notes, "has version 0")
	require.NotContains(t, notes, "gateway g1")
	require.Contains(t, notes, "1 of 2 instances report version 1.")
	go func() {
		time.Sleep(300 * time.Millisecond)
		offset.Store(2)
	}()
	require.Contains(t, b.mustRun("publish", edited(t, "deadline: 8h", "deadline: 7h"), "--wait"), "in force at 2 instances")
	var in []entry
	require.NoError(t, json.Unmarshal([]byte(b.mustRun("instances", "-o", "json")), &in))
	require.Len(t, in, 3)
	require.Equal(t, uint64(2), in[2].ConfigOffset)
}

// Guards against a job that is submitted twice because an answer was lost, and against one that is not submitted because a
// single gateway refuses.
func TestSubmit(t *testing.T) {
	b := newBench(t)
	b.mustRun("publish", quotes)
	code, _, notes := b.run("submit", "cavity-cost", "--tasks", "3")
	require.Equal(t, exitNotFound, code)
	require.Contains(t, notes, "tool-rebid, part-refresh")
	code, _, notes = b.run("submit", "tool-rebid", "--tasks", "3")
	require.Equal(t, exitFailure, code)
	require.Contains(t, notes, "no live gateway")

	var mu sync.Mutex
	var got []submission
	accept := func(w http.ResponseWriter, r *http.Request) {
		var s submission
		_ = json.NewDecoder(r.Body).Decode(&s)
		mu.Lock()
		got = append(got, s)
		mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		answer(accepted{Job: "brisbane-0~1"})(w, r)
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	good := b.serve("g1", instance.RoleGateway, map[string]http.HandlerFunc{"POST /v1/jobs": accept})
	b.serve("g2", instance.RoleGateway, map[string]http.HandlerFunc{"POST /v1/jobs": refuse})
	for range 5 {
		require.Contains(t, b.mustRun("submit", "tool-rebid", "--tasks", "3", "--deadline", "1h", "--run-time", "2s"), "brisbane-0~1")
	}
	require.Len(t, got, 5)
	require.Equal(t, submission{Kind: "tool-rebid", Tasks: 3, DeadlineMS: 3600000, RunTimeMS: 2000, Key: got[0].Key}, got[0])
	require.NotEqual(t, got[0].Key, got[1].Key)

	var cut atomic.Int64
	cutting := b.serve("g3", instance.RoleGateway, map[string]http.HandlerFunc{"POST /v1/jobs": func(http.ResponseWriter, *http.Request) {
		cut.Add(1)
		panic(http.ErrAbortHandler)
	}})
	second := b.serve("g4", instance.RoleGateway, map[string]http.HandlerFunc{"POST /v1/jobs": func(http.ResponseWriter, *http.Request) {
		cut.Add(1)
		panic(http.ErrAbortHandler)
	}})
	code, _, notes = b.run("submit", "tool-rebid", "--tasks", "1", "--gateway", cutting.URL, "--gateway", second.URL)
	require.Equal(t, exitTimeout, code, notes)
	require.Contains(t, notes, "repeat with --key")
	require.Equal(t, int64(1), cut.Load())
	b.mustRun("submit", "tool-rebid", "--tasks", "1", "--gateway", "http://127.0.0.1:1", "--gateway", good.URL)
}

// Guards against paths and bodies that differ from what gateways offer.
func TestGatewayCommands(t *testing.T) {
	b := newBench(t)
	b.mustRun("publish", quotes)
	now := time.Now()
	jobs := []contract.JobState{
		{Job: "a~1", Kind: "tool-rebid", Team: "front-office", Tasks: 2, Done: 2, Submitted: now, Deadline: now.Add(-time.Minute), Ended: now, Cost: 1500000},
		{Job: "a~0", Kind: "tool-rebid", Team: "front-office", Tasks: 2, Submitted: now.Add(-time.Hour), Deadline: now.Add(-time.Hour)},
		{Job: "a~2", Kind: "tool-rebid", Team: "front-office", Tasks: 2, Submitted: now.Add(time.Second), Deadline: now.Add(time.Hour), Ended: now},
	}
	var drained []drain
	gateway := map[string]http.HandlerFunc{
		"GET /v1/jobs": answer(jobs),
		"GET /v1/jobs/{id}": func(w http.ResponseWriter, r *http.Request) {
			if r.PathValue("id") != "a~1" {
				http.NotFound(w, r)
				return
			}
			answer(jobs[0])(w, r)
		},
		"DELETE /v1/jobs/{id}": func(w http.ResponseWriter, r *http.Request) {
			if r.PathValue("id") != "a~1" {
				http.NotFound(w, r)
				return
			}
			w.WriteHeader(http.StatusAccepted)
		},
		"GET /v1/explain/w1":      answer(map[string][]string{"lines": {"worker w1 is drained"}}),
		"GET /v1/explain/unknown": answer(map[string][]string{}),
		"GET /v1/shards":          answer([]contract.ShardState{{Shard: "brisbane-0", Owner: "s1", Epoch: 4}}),
		"POST /v1/drain": func(_ http.ResponseWriter, r *http.Request) {
			var d drain
			_ = json.NewDecoder(r.Body).Decode(&d)
			drained = append(drained, d)
		},
	}
	b.serve("g1", instance.RoleGateway, gateway)
	require.NoError(t, b.list.Register(context.Background(), instance.Member{ID: "w1", Incarnation: "1",
		Role: instance.RoleWorker, DataCentre: "brisbane", Rack: 2}))
	require.Contains(t, b.mustRun("jobs"), "3 jobs.")
	require.Contains(t, b.mustRun("jobs", "a~1"), "1.50")
	require.Contains(t, b.mustRun("cancel", "a~1"), "a~1")
	require.Contains(t, b.mustRun("explain", "w1"), "drained")
	require.Contains(t, b.mustRun("shards"), "brisbane-0")
	require.Contains(t, b.mustRun("workers"), "brisbane-0")
	b.mustRun("drain", "w1")
	b.mustRun("drain", "w1", "--undo")
	require.Equal(t, []drain{{"w1", true}, {"w1", false}}, drained)
	for _, args := range [][]string{{"jobs", "a~9"}, {"cancel", "a~9"}, {"explain", "unknown"}} {
		code, _, _ := b.run(args...)
		require.Equal(t, exitNotFound, code, args)
	}
	var rows []deadlineRow
	require.NoError(t, json.Unmarshal([]byte(b.mustRun("report", "deadlines", "-o", "json")), &rows))
	require.Len(t, rows, 1)
	require.Equal(t, []int{3, 1, 1, 1}, []int{rows[0].Jobs, rows[0].Met, rows[0].Late, rows[0].Overdue})
	require.InDelta(t, time.Hour.Milliseconds(), rows[0].Worst, 5000)
}

func (b *bench) append(shard string, epoch uint64, bodies ...contract.Body) uint64 {
	var records [][]byte
	for _, body := range bodies {
		data, err := contract.EncodeRecord(contract.NewRecordID(), epoch, body)
		require.NoError(b.t, err)
		records = append(records, data)
	}
	first, err := b.log.Append(context.Background(), datacentre.ShardStream(shard), records)
	require.NoError(b.t, err)
	return first
}

func ref(job string, index, n int) upstream.TaskRef {
	return upstream.TaskRef{Job: job, Index: index, Attempt: n}
}

func (b *bench) costs(args ...string) costReport {
	var r costReport
	out := b.mustRun(append([]string{"report", "cost", "-o", "json"}, args...)...)
	require.NoError(b.t, json.Unmarshal([]byte(out), &r))
	return r
}

// Guards against a report that counts records of superseded owners or copies, or that loses costs to retention.
func TestCostReport(t *testing.T) {
	b := newBench(t)
	code, _, _ := b.run("report", "cost")
	require.Equal(t, exitNotFound, code)
	b.mustRun("publish", quotes)
	const shard, job = "brisbane-0", "brisbane-0~1"
	now := time.Now()
	b.append(shard, 0, &contract.Submit{Job: job, Kind: "tool-rebid", Team: "front-office", Tasks: 2})
	first := b.append(shard, 0, &contract.Claim{Owner: "s1"})
	b.append(shard, first, &contract.Place{TaskRef: ref(job, 0, 1)}, &contract.Place{TaskRef: ref(job, 1, 1)},
		&contract.Close{TaskRef: ref(job, 0, 1), Outcome: upstream.OutcomeEvicted, Cost: 1000, At: now, RunTime: time.Second},
		&contract.Close{TaskRef: ref(job, 0, 1), Outcome: upstream.OutcomeEvicted, Cost: 1000, At: now})
	second := b.append(shard, 0, &contract.Claim{Owner: "s2", After: first})
	b.append(shard, first, &contract.Close{TaskRef: ref(job, 1, 1), Outcome: upstream.OutcomeDone, Cost: 700, At: now})
	b.append(shard, second, &contract.Close{TaskRef: ref(job, 1, 1), Outcome: upstream.OutcomeDone, Cost: 2000, At: now.Add(-25 * time.Hour)})
	page := filepath.Join(t.TempDir(), "cost.html")
	r := b.costs("--html", page)
	require.Equal(t, int64(3000), r.Total)
	require.Equal(t, int64(1000), r.Unproductive)
	require.Equal(t, []costRow{{"front-office", "tool-rebid", "done", 1, 0, 2000}, {"front-office", "tool-rebid", "evicted", 1, 1000, 1000}}, r.Rows)
	require.Equal(t, []teamCost{{"estimating", 0, 0, 900e6}, {"front-office", 3000, 1000, 1400e6}, {"purchasing", 0, 0, 250e6}}, r.Teams)
	require.Equal(t, int64(1000), b.costs("--since", "24h").Total)
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(html), "<rect class="))
	require.NotContains(t, string(html), "http")
	require.Contains(t, b.mustRun("report", "cost"), "0.003")

	b.log.Truncate(datacentre.ShardStream(shard), first+1)
	r = b.costs()
	require.Equal(t, int64(3000), r.Total, "costs stay although the submission is dropped")
	require.Equal(t, unknownOwner, r.Rows[0].Team)
	b.log.Truncate(datacentre.ShardStream(shard), second)
	r = b.costs()
	require.Equal(t, int64(2000), r.Total)
	var from []uint64
	for _, s := range r.Shards {
		from = append(from, s.From)
	}
	require.Contains(t, from, second)
}

// Guards against certificates that the processes cannot load, and against an authority that is replaced by mistake.
func TestKeys(t *testing.T) {
	b := newBench(t)
	dir := filepath.Join(t.TempDir(), "keys")
	b.mustRun("keys", "init", "--dir", dir)
	code, _, notes := b.run("keys", "init", "--dir", dir)
	require.Equal(t, exitFailure, code)
	require.Contains(t, notes, "Next: ")
	b.mustRun("keys", "issue", "g1", "--role", "gateway", "--ip", "127.0.0.1", "--ip", "127.0.0.2", "--dir", dir)
	_, err := keys.Open(dir, "g1")
	require.NoError(t, err)
	for _, args := range [][]string{{"g1", "--role", "worker"}, {"g1", "--role", "gateway", "--ip", "localhost"}} {
		code, _, _ = b.run(append([]string{"keys", "issue", "--dir", dir}, args...)...)
		require.Equal(t, exitUsage, code)
	}
	code, _, _ = b.run("keys", "issue", "../g1", "--role", "gateway", "--dir", dir)
	require.Equal(t, exitUsage, code)
}

// Guards against errors that leave the operator without a next step.
func TestEveryErrorTellsTheNextStep(t *testing.T) {
	for _, err := range []error{&NoGatewayError{}, &RefusedError{}, &NotFoundError{}, &SubmitUnknownError{}, &WaitError{}, &KindError{},
		&NoVersionError{}, &ReconcileError{}, &GatewayError{Err: context.Canceled}, &config.ConflictError{}, &config.ExpiredError{},
		&config.UnknownOutcomeError{}, &manifest.ParseError{}, &manifest.ImmutableError{}, &platform.RateLimitedError{},
		&platform.UnavailableError{}, &keys.NameError{}, &keys.ExistsError{}, &keys.FileError{}, &process.SettingError{}} {
		code, next := classify(err)
		require.NotZero(t, code)
		require.NotEmpty(t, next, "%T", err)
	}
	code, _ := classify(&GatewayError{Err: &RefusedError{Status: http.StatusConflict}})
	require.Equal(t, exitConflict, code)
}
