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
	wire "clementinewalk.example/clementinewalk/platform"
)

const quotesPath = "../../examples/quotes.yaml"

// testEnv runs commands against a fake log and a fake instance list.
type testEnv struct {
	t    *testing.T
	log  *standin.Log
	list *standin.List
}

func newTestEnv(t *testing.T) *testEnv {
	return &testEnv{t: t, log: standin.NewLog(standin.Limits{}, 1), list: standin.NewList(0, 0)}
}

// run executes the program and returns its exit code, standard output and standard error.
func (env *testEnv) run(args ...string) (int, string, string) {
	env.t.Helper()
	var out, stderr bytes.Buffer
	code := Main(context.Background(), args, Streams{Out: &out, Err: &stderr}, func(s *Settings, w Streams) *Env {
		return NewEnv(s, env.log, env.list, NewHTTPClient(), wire.NewConfigChecker(http.DefaultTransport), w)
	})
	return code, out.String(), stderr.String()
}

// mustRun executes the program, requires success and returns its standard output.
func (env *testEnv) mustRun(args ...string) string {
	env.t.Helper()
	code, out, stderr := env.run(args...)
	require.Equal(env.t, exitOK, code, stderr)
	return out
}

// serve starts an HTTP server with the given handlers and registers it in the instance list.
func (env *testEnv) serve(id instance.ID, role instance.Role, handlers map[string]http.HandlerFunc) *httptest.Server {
	mux := http.NewServeMux()
	for pattern, h := range handlers {
		mux.HandleFunc(pattern, h)
	}
	s := httptest.NewServer(mux)
	env.t.Cleanup(s.Close)
	require.NoError(env.t, env.list.Register(context.Background(),
		instance.Member{ID: id, Incarnation: "1", Role: role, State: instance.StateLive,
			HTTPAddr: strings.TrimPrefix(s.URL, "http://")}))
	return s
}

// respondJSON returns a handler that answers with v as JSON.
func respondJSON(v any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
}

// editedManifest writes a copy of the example manifest in which old is replaced, and returns its path.
func editedManifest(t *testing.T, old, new string) string {
	data, err := os.ReadFile(quotesPath)
	require.NoError(t, err)
	require.Contains(t, string(data), old)
	path := filepath.Join(t.TempDir(), "manifest.yaml")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(data), old, new, 1)), 0o600))
	return path
}

// Guards against exit codes that differ from the help text, and against problems of a manifest without line and field.
func TestCheckAndUsage(t *testing.T) {
	env := newTestEnv(t)
	require.Contains(t, env.mustRun("check", quotesPath), "65 workers, 4 shards")
	code, _, stderr := env.run("check", editedManifest(t, "workers: 17", "workers: none"), "-o", "json")
	require.Equal(t, exitFailure, code)
	var f errorResult
	require.NoError(t, json.Unmarshal([]byte(stderr), &f))
	require.Equal(t, "data_centres[0].workers", f.Problems[0].Path)
	require.NotEmpty(t, f.Next)
	for _, args := range [][]string{{"nonsense"}, {"check", "no-such-file"}, {"submit", "tool-rebid", "--tasks", "0"},
		{"history", "--platform", "http://localhost:7000"}, {"jobs", "--gateway", "1.2.3.4"}, {"jobs", "-o", "xml"}} {
		code, _, stderr = env.run(args...)
		require.Equal(t, exitUsage, code, "%v: %s", args, stderr)
	}
}

// Guards against an exit code that does not tell whether the configuration has errors, against findings that are missing from the
// output, and against a check that needs more than the file.
func TestConfigCheck(t *testing.T) {
	env := newTestEnv(t)
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	const route = `{"version": 8, "routes": [{"name": "till", "host": "h", "path_prefix": "/till/", "service": "s", "max_attempts": 3,
"stretch": 2, "slo_ms": 300}], "services": [{"name": "s"}]}`
	require.Contains(t, env.mustRun("config", "check", write(route)), ": 0 errors, 0 warnings.")
	code, out, stderr := env.run("config", "check", write(strings.Replace(route, `"service": "s"`, `"service": "t"`, 1)), "-o", "json")
	require.Equal(t, exitFailure, code)
	var r configResult
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, []any{1, 1, "routes[0].service", 1}, []any{r.Errors, r.Warnings, r.Findings[0].Path, r.Findings[0].Line})
	require.Contains(t, stderr, "has 1 error")
	code, _, _ = env.run("config", "check", write(route), "--store", "nowhere")
	require.Equal(t, exitUsage, code)

	text := strings.Replace(route, "300", "200", 1)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		items := []map[string]any{}
		if r.URL.Query().Get("topic") == wire.TopicConfig {
			items = append(items, map[string]any{"key": wire.ConfigKey, "value": []byte(text), "offset": 1})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end": 1})
	}))
	addr := strings.TrimPrefix(store.URL, "http://")
	code, out, _ = env.run("config", "check", write(route), "--store", addr)
	require.Equal(t, exitFailure, code, "the version must grow")
	require.Contains(t, out, "change   routes[till].slo_ms: 200 to 300")
	require.Contains(t, out, "1 error, 1 warning, 1 change from version 8")
	text = strings.Replace(text, `"version": 8`, `"version": 7`, 1)
	require.Contains(t, env.mustRun("config", "check", write(route), "--store", addr), "no listed worker")
	store.Close()
	code, out, stderr = env.run("config", "check", write(route), "--store", addr)
	require.Equal(t, exitOK, code, "without the store, the file is checked all the same")
	require.Contains(t, out, "0 warnings.")
	require.Contains(t, stderr, "Not compared")
}

// Guards against a publication that replaces a version which the operator has not seen, and against changes of
// immutable fields.
func TestPublishDiffHistory(t *testing.T) {
	env := newTestEnv(t)
	env.mustRun("publish", quotesPath, "--operator", "ana")
	faster := editedManifest(t, "deadline: 8h", "deadline: 6h")
	require.Contains(t, env.mustRun("diff", faster), "kinds[tool-rebid].deadline  8h0m0s    6h0m0s")
	env.mustRun("publish", faster, "--replaces", "1", "--operator", "ben")
	code, _, stderr := env.run("publish", quotesPath, "--replaces", "1")
	require.Equal(t, exitConflict, code)
	require.Contains(t, stderr, "version 2 is in force")
	code, _, stderr = env.run("publish", editedManifest(t, "racks_per_shard: 3", "racks_per_shard: 2"))
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, "racks_per_shard must not change from 3 to 2")
	code, _, _ = env.run("diff", editedManifest(t, "per_rack: 8", "per_rack: 4"))
	require.Equal(t, exitFailure, code)
	var h []publication
	require.NoError(t, json.Unmarshal([]byte(env.mustRun("history", "-o", "json")), &h))
	require.Len(t, h, 2)
	require.Equal(t, []any{uint64(2), uint64(1), true, "ben"},
		[]any{h[1].Version, h[1].Replaces, h[1].InForce, h[1].Operator})
	env.log.SetFaults(standin.LogFaults{Down: true})
	code, _, stderr = env.run("history")
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, "Next: ")
}

// Guards against publish --wait ending while a live instance still has an older version, and against waiting for
// instances that are leaving.
func TestPublishWait(t *testing.T) {
	env := newTestEnv(t)
	var offset atomic.Uint64
	env.serve("g1", instance.RoleGateway, map[string]http.HandlerFunc{
		"GET /v1/status": respondJSON(status{ID: "g1", ConfigOffset: 99})})
	env.serve("s1", instance.RoleScheduler, map[string]http.HandlerFunc{
		"GET /v1/status": func(w http.ResponseWriter, r *http.Request) {
			respondJSON(status{ID: "s1", ConfigOffset: offset.Load()})(w, r)
		}})
	require.NoError(t, env.list.Register(context.Background(),
		instance.Member{ID: "old", Incarnation: "1", Role: instance.RoleGateway,
			State: instance.StateLeaving, HTTPAddr: "127.0.0.1:1"}))
	code, _, stderr := env.run("publish", quotesPath, "--wait", "--timeout", "700ms")
	require.Equal(t, exitTimeout, code)
	require.Contains(t, stderr, "scheduler s1")
	require.Contains(t, stderr, "has version 0")
	require.NotContains(t, stderr, "gateway g1")
	require.Contains(t, stderr, "1 of 2 instances report version 1.")
	go func() {
		time.Sleep(300 * time.Millisecond)
		offset.Store(2)
	}()
	require.Contains(t, env.mustRun("publish", editedManifest(t, "deadline: 8h", "deadline: 7h"), "--wait"),
		"in force at 2 instances")
	var in []instanceRow
	require.NoError(t, json.Unmarshal([]byte(env.mustRun("instances", "-o", "json")), &in))
	require.Len(t, in, 3)
	require.Equal(t, uint64(2), in[2].ConfigOffset)
}

// Guards against a job that is submitted twice because an answer was lost, and against a submission that fails although
// only one gateway refuses it.
func TestSubmit(t *testing.T) {
	env := newTestEnv(t)
	env.mustRun("publish", quotesPath)
	code, _, stderr := env.run("submit", "cavity-cost", "--tasks", "3")
	require.Equal(t, exitNotFound, code)
	require.Contains(t, stderr, "tool-rebid, part-refresh")
	code, _, stderr = env.run("submit", "tool-rebid", "--tasks", "3")
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, "no live gateway")

	var mu sync.Mutex
	var got []submission
	accept := func(w http.ResponseWriter, r *http.Request) {
		var s submission
		_ = json.NewDecoder(r.Body).Decode(&s)
		mu.Lock()
		got = append(got, s)
		mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		respondJSON(jobResult{Job: "brisbane-0~1"})(w, r)
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	good := env.serve("g1", instance.RoleGateway, map[string]http.HandlerFunc{"POST /v1/jobs": accept})
	env.serve("g2", instance.RoleGateway, map[string]http.HandlerFunc{"POST /v1/jobs": refuse})
	for range 5 {
		require.Contains(t, env.mustRun("submit", "tool-rebid", "--tasks", "3", "--deadline", "1h", "--run-time", "2s"),
			"brisbane-0~1")
	}
	require.Len(t, got, 5)
	require.Equal(t, submission{Kind: "tool-rebid", Tasks: 3, DeadlineMS: 3600000, RunTimeMS: 2000, Key: got[0].Key},
		got[0])
	require.NotEqual(t, got[0].Key, got[1].Key)

	var aborted atomic.Int64
	aborting := env.serve("g3", instance.RoleGateway,
		map[string]http.HandlerFunc{"POST /v1/jobs": func(http.ResponseWriter, *http.Request) {
			aborted.Add(1)
			panic(http.ErrAbortHandler)
		}})
	second := env.serve("g4", instance.RoleGateway,
		map[string]http.HandlerFunc{"POST /v1/jobs": func(http.ResponseWriter, *http.Request) {
			aborted.Add(1)
			panic(http.ErrAbortHandler)
		}})
	code, _, stderr = env.run("submit", "tool-rebid", "--tasks", "1", "--gateway", aborting.URL,
		"--gateway", second.URL)
	require.Equal(t, exitTimeout, code, stderr)
	require.Contains(t, stderr, "repeat with --key")
	require.Equal(t, int64(1), aborted.Load())
	env.mustRun("submit", "tool-rebid", "--tasks", "1", "--gateway", "http://127.0.0.1:1", "--gateway", good.URL)
}

// Guards against commands whose paths and bodies differ from the HTTP API of the gateways.
func TestGatewayCommands(t *testing.T) {
	env := newTestEnv(t)
	env.mustRun("publish", quotesPath)
	now := time.Now()
	jobs := []contract.JobState{
		{Job: "a~1", Kind: "tool-rebid", Team: "front-office", Tasks: 2, Done: 2, Submitted: now,
			Deadline: now.Add(-time.Minute), Ended: now, Cost: 1500000},
		{Job: "a~0", Kind: "tool-rebid", Team: "front-office", Tasks: 2, Submitted: now.Add(-time.Hour),
			Deadline: now.Add(-time.Hour)},
		{Job: "a~2", Kind: "tool-rebid", Team: "front-office", Tasks: 2, Submitted: now.Add(time.Second),
			Deadline: now.Add(time.Hour), Ended: now},
	}
	var drained []drainRequest
	gateway := map[string]http.HandlerFunc{
		"GET /v1/jobs": respondJSON(jobs),
		"GET /v1/jobs/{id}": func(w http.ResponseWriter, r *http.Request) {
			if r.PathValue("id") != "a~1" {
				http.NotFound(w, r)
				return
			}
			respondJSON(jobs[0])(w, r)
		},
		"DELETE /v1/jobs/{id}": func(w http.ResponseWriter, r *http.Request) {
			if r.PathValue("id") != "a~1" {
				http.NotFound(w, r)
				return
			}
			w.WriteHeader(http.StatusAccepted)
		},
		"GET /v1/explain/w1":      respondJSON(map[string][]string{"lines": {"worker w1 is drained"}}),
		"GET /v1/explain/unknown": respondJSON(map[string][]string{}),
		"GET /v1/shards":          respondJSON([]contract.ShardState{{Shard: "brisbane-0", Owner: "s1", Epoch: 4}}),
		"POST /v1/drain": func(_ http.ResponseWriter, r *http.Request) {
			var d drainRequest
			_ = json.NewDecoder(r.Body).Decode(&d)
			drained = append(drained, d)
		},
	}
	env.serve("g1", instance.RoleGateway, gateway)
	require.NoError(t, env.list.Register(context.Background(), instance.Member{ID: "w1", Incarnation: "1",
		Role: instance.RoleWorker, DataCentre: "brisbane", Rack: 2}))
	require.Contains(t, env.mustRun("jobs"), "3 jobs.")
	require.Contains(t, env.mustRun("jobs", "a~1"), "1.50")
	require.Contains(t, env.mustRun("cancel", "a~1"), "a~1")
	require.Contains(t, env.mustRun("explain", "w1"), "drained")
	require.Contains(t, env.mustRun("shards"), "brisbane-0")
	require.Contains(t, env.mustRun("workers"), "brisbane-0")
	env.mustRun("drain", "w1")
	env.mustRun("drain", "w1", "--undo")
	require.Equal(t, []drainRequest{{"w1", true}, {"w1", false}}, drained)
	for _, args := range [][]string{{"jobs", "a~9"}, {"cancel", "a~9"}, {"explain", "unknown"}} {
		code, _, _ := env.run(args...)
		require.Equal(t, exitNotFound, code, args)
	}
	var rows []deadlineRow
	require.NoError(t, json.Unmarshal([]byte(env.mustRun("report", "deadlines", "-o", "json")), &rows))
	require.Len(t, rows, 1)
	require.Equal(t, []int{3, 1, 1, 1}, []int{rows[0].Jobs, rows[0].Met, rows[0].Late, rows[0].Overdue})
	require.InDelta(t, time.Hour.Milliseconds(), rows[0].Worst, 5000)
}

// append appends records of an epoch to the stream of a shard and returns the offset of the first one.
func (env *testEnv) append(shard string, epoch uint64, bodies ...contract.Body) uint64 {
	var records [][]byte
	for _, body := range bodies {
		data, err := contract.EncodeRecord(contract.NewRecordID(), epoch, body)
		require.NoError(env.t, err)
		records = append(records, data)
	}
	first, err := env.log.Append(context.Background(), datacentre.ShardStream(shard), records)
	require.NoError(env.t, err)
	return first
}

func ref(job string, index, n int) upstream.TaskRef {
	return upstream.TaskRef{Job: job, Index: index, Attempt: n}
}

// costs returns the result of the command report cost.
func (env *testEnv) costs(args ...string) costReport {
	var r costReport
	out := env.mustRun(append([]string{"report", "cost", "-o", "json"}, args...)...)
	require.NoError(env.t, json.Unmarshal([]byte(out), &r))
	return r
}

// Guards against a report that counts records of superseded owners or duplicates, or that omits costs because retention
// dropped the submission.
func TestCostReport(t *testing.T) {
	env := newTestEnv(t)
	code, _, _ := env.run("report", "cost")
	require.Equal(t, exitNotFound, code)
	env.mustRun("publish", quotesPath)
	const shard, job = "brisbane-0", "brisbane-0~1"
	now := time.Now()
	env.append(shard, 0, &contract.Submit{Job: job, Kind: "tool-rebid", Team: "front-office", Tasks: 2})
	first := env.append(shard, 0, &contract.Claim{Owner: "s1"})
	env.append(shard, first, &contract.Place{TaskRef: ref(job, 0, 1)}, &contract.Place{TaskRef: ref(job, 1, 1)},
		&contract.Close{TaskRef: ref(job, 0, 1), Outcome: upstream.OutcomeEvicted, Cost: 1000, At: now,
			RunTime: time.Second},
		&contract.Close{TaskRef: ref(job, 0, 1), Outcome: upstream.OutcomeEvicted, Cost: 1000, At: now})
	second := env.append(shard, 0, &contract.Claim{Owner: "s2", PreviousEpoch: first})
	env.append(shard, first, &contract.Close{TaskRef: ref(job, 1, 1), Outcome: upstream.OutcomeDone, Cost: 700,
		At: now})
	env.append(shard, second, &contract.Close{TaskRef: ref(job, 1, 1), Outcome: upstream.OutcomeDone, Cost: 2000,
		At: now.Add(-25 * time.Hour)})
	page := filepath.Join(t.TempDir(), "cost.html")
	r := env.costs("--html", page)
	require.Equal(t, int64(3000), r.Total)
	require.Equal(t, int64(1000), r.Unproductive)
	require.Equal(t, []costRow{{"front-office", "tool-rebid", "done", 1, 0, 2000},
		{"front-office", "tool-rebid", "evicted", 1, 1000, 1000}}, r.Rows)
	require.Equal(t, []teamCost{{"estimating", 0, 0, 900e6}, {"front-office", 3000, 1000, 1400e6},
		{"purchasing", 0, 0, 250e6}}, r.Teams)
	require.Equal(t, int64(1000), env.costs("--since", "24h").Total)
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(html), "<rect class="))
	require.NotContains(t, string(html), "http")
	require.Contains(t, env.mustRun("report", "cost"), "0.003")

	env.log.Truncate(datacentre.ShardStream(shard), first+1)
	r = env.costs()
	require.Equal(t, int64(3000), r.Total, "costs are reported although the submission was dropped")
	require.Equal(t, unknownAccount, r.Rows[0].Team)
	env.log.Truncate(datacentre.ShardStream(shard), second)
	r = env.costs()
	require.Equal(t, int64(2000), r.Total)
	var from []uint64
	for _, s := range r.Shards {
		from = append(from, s.From)
	}
	require.Contains(t, from, second)
}

// Guards against certificates that processes cannot load, and against a command that replaces an existing authority.
func TestKeys(t *testing.T) {
	env := newTestEnv(t)
	dir := filepath.Join(t.TempDir(), "keys")
	env.mustRun("keys", "init", "--dir", dir)
	code, _, stderr := env.run("keys", "init", "--dir", dir)
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, "Next: ")
	env.mustRun("keys", "issue", "g1", "--role", "gateway", "--ip", "127.0.0.1", "--ip", "127.0.0.2", "--dir", dir)
	_, err := keys.Open(dir, "g1")
	require.NoError(t, err)
	for _, args := range [][]string{{"g1", "--role", "worker"}, {"g1", "--role", "gateway", "--ip", "localhost"}} {
		code, _, _ = env.run(append([]string{"keys", "issue", "--dir", dir}, args...)...)
		require.Equal(t, exitUsage, code)
	}
	code, _, _ = env.run("keys", "issue", "../g1", "--role", "gateway", "--dir", dir)
	require.Equal(t, exitUsage, code)
}

// Guards against errors without a text that says what the operator can do next.
func TestEveryErrorTellsTheNextStep(t *testing.T) {
	for _, err := range []error{&NoGatewayError{}, &RefusedError{}, &NotFoundError{}, &SubmitUnknownError{},
		&WaitError{}, &KindError{}, &NoVersionError{}, &ReconcileError{}, &GatewayError{Err: context.Canceled},
		&config.ConflictError{}, &config.ExpiredError{}, &config.UnknownOutcomeError{}, &manifest.ParseError{},
		&manifest.ImmutableError{}, &platform.RateLimitedError{}, &platform.UnavailableError{},
		&keys.NameError{}, &keys.ExistsError{}, &keys.FileError{}, &process.SettingError{}} {
		code, next := classify(err)
		require.NotZero(t, code)
		require.NotEmpty(t, next, "%T", err)
	}
	code, _ := classify(&GatewayError{Err: &RefusedError{Status: http.StatusConflict}})
	require.Equal(t, exitConflict, code)
}
