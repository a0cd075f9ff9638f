package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/standin/worker"
)

const (
	manifestFile = "testdata/small.yaml"
	// platformHost has a network of its own, so that the links to the log can be cut as well.
	platformHost = "127.8.0.1"
	entries      = 3
	shards       = 8
	startLimit   = 20 * time.Second
	// recoveryLimit bounds the time from the end of a failure until everything works again.
	recoveryLimit = 40 * time.Second
)

// port is the first of the 1000 ports of a run.
var port = 18000

var sites = []string{"brisbane", "ipswich", "toowoomba", "gladstone"}

// cluster is one deployment on the loopback network.
type cluster struct {
	t        *testing.T
	dir      string
	client   *http.Client
	platform string
	workers  string
	links    *links
	stopping atomic.Bool
	// short scenarios shorten their failures.
	short bool

	mu         sync.Mutex
	programs   map[string]*program
	violations []string
	// marked is the time from which a recovery counts, recovery the longest one so far.
	marked   time.Time
	recovery time.Duration
}

func (c *cluster) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	for _, v := range c.violations {
		if v == text {
			return
		}
	}
	c.violations = append(c.violations, text)
}

// mark begins the time of recovery.
func (c *cluster) mark() { c.marked = time.Now() }

func (c *cluster) program(name string) *program {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.programs[name]
	require.NotNil(c.t, p, "program %s was not started", name)
	return p
}

func (c *cluster) all() []*program {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*program
	for _, p := range c.programs {
		out = append(out, p)
	}
	return out
}

// live returns the gateways or schedulers that run and are not frozen.
func (c *cluster) live(role string) []*program {
	var out []*program
	for _, p := range c.all() {
		c.mu.Lock()
		frozen := p.frozen
		c.mu.Unlock()
		if strings.HasPrefix(p.name, role) && p.running() && !frozen {
			out = append(out, p)
		}
	}
	return out
}

// The entry instances i and i+entries are in the same data centre.
func entryHost(i int) string { return fmt.Sprintf("127.%d.1.1", 10+i%entries) }

func entryPort(i, base int) int { return port + base + i/entries*20 }

func gatewayURL(i int) string { return fmt.Sprintf("http://%s:%d", entryHost(i), entryPort(i, 10)) }

func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

func schedulerName(i int) string { return fmt.Sprintf("scheduler-%d", i) }

func (c *cluster) startEntry(binary, name string, i, base int, more ...string) *program {
	http, link := fmt.Sprintf("%s:%d", entryHost(i), entryPort(i, base)), fmt.Sprintf("%s:%d", entryHost(i), entryPort(i, base+1))
	return c.start(name, "http://"+http, binary, append(more, "--id", name, "--data-centre", sites[i%entries], "--platform", c.platform,
		"--keys", keysDir, "--conditions", c.links.path, "--link-seed", fmt.Sprint(i+1), "--http-listen", http, "--link-listen", link)...)
}

func (c *cluster) startGateway(i int) *program {
	return c.startEntry("clementine-gateway", gatewayName(i), i, 10, "--drain-delay", "1s")
}

func (c *cluster) startScheduler(i int) *program {
	return c.startEntry("clementine-scheduler", schedulerName(i), i, 14, "--lease-interval", "500ms")
}

// newCluster starts a whole deployment and waits until every worker is fenced and every gateway serves.
func newCluster(t *testing.T, s scenario) *cluster {
	dir, err := os.MkdirTemp("", "faults-"+s.name+"-")
	require.NoError(t, err)
	c := &cluster{t: t, dir: dir, short: s.length == shortLength, client: &http.Client{Timeout: 5 * time.Second}, programs: map[string]*program{},
		platform: fmt.Sprintf("http://%s:%d", platformHost, port), workers: fmt.Sprintf("http://127.0.0.1:%d", port+1)}
	t.Cleanup(func() {
		c.endAll()
		if t.Failed() || os.Getenv("KEEP") != "" {
			t.Logf("logs are in %s", dir)
		} else {
			_ = os.RemoveAll(dir)
		}
	})
	c.links = newLinks(t, filepath.Join(dir, "links.yaml"))
	c.start("platform", c.platform, "standin-platform", append([]string{"--listen", fmt.Sprintf("%s:%d", platformHost, port),
		"--list-lag", "500ms", "--list-ttl", "6s"}, s.platform...)...)
	c.await("platform", startLimit, func() bool { return c.ok(c.platform + "/readyz") })
	c.start("workers", c.workers, "standin-worker", append([]string{"--admin", strings.TrimPrefix(c.workers, "http://"), "--platform",
		c.platform, "--manifest", manifestFile, "--first-port", fmt.Sprint(port + 100), "--usage-lag", "1s", "--late-after", "5s"}, s.workers...)...)
	c.await("workers", startLimit, func() bool { return c.ok(c.workers + "/readyz") })
	c.ctl(0, "publish", manifestFile, "--operator", "faults")
	for i := range entries {
		c.startScheduler(i)
		c.startGateway(i)
	}
	c.await("all shards and gateways", startLimit, c.whole)
	for _, p := range c.all() {
		require.True(t, p.running(), "%s ended at its start, see %s", p.name, p.log)
	}
	return c
}

// await waits for a condition and ends the test if it does not come true.
func (c *cluster) await(what string, limit time.Duration, f func() bool) {
	c.t.Helper()
	require.Eventually(c.t, f, limit, poll, "waiting for %s; logs are in %s", what, c.dir)
}

// whole tells that every gateway serves, and that every shard with live workers has an owner that reaches all of them.
func (c *cluster) whole() bool {
	gateways := c.live("gateway")
	if len(gateways) == 0 {
		return false
	}
	for _, g := range gateways {
		if !c.ok(g.url+"/readyz") || !c.probe(g) {
			return false
		}
	}
	var states []contract.ShardState
	if c.get(gateways[0].url+"/v1/shards", &states) != nil {
		return false
	}
	fenced := map[string]int{}
	for _, s := range states {
		fenced[s.Shard] = s.Fenced
	}
	var workers []worker.WorkerState
	if c.get(c.workers+"/admin/workers", &workers) != nil {
		return false
	}
	alive := map[string]int{}
	for _, w := range workers {
		if !w.Faults.Dead && !w.Faults.Frozen && !w.Faults.Leaving {
			alive[fmt.Sprintf("%s-%d", w.DataCentre, w.Rack)]++
		}
	}
	for shard, n := range alive {
		if fenced[shard] < n {
			return false
		}
	}
	return true
}

// probe sends one request and wants a whole answer.
func (c *cluster) probe(g *program) bool {
	resp, err := c.client.Post(g.url+"/v1/requests/cavity-cost", "application/octet-stream", strings.NewReader("probe"))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) ok(url string) bool { return c.get(url, nil) == nil }

func (c *cluster) get(url string, out any) error { return c.call(http.MethodGet, url, nil, out) }

// call makes a call with JSON bodies.
func (c *cluster) call(method, url string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode/100 != 2:
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, body)
	case out == nil:
		return nil
	}
	return json.Unmarshal(body, out)
}

func (c *cluster) must(method, url string, in, out any) {
	c.t.Helper()
	require.NoError(c.t, c.call(method, url, in, out))
}

func (c *cluster) logFaults(f platform.LogFaults) {
	c.must(http.MethodPost, c.platform+"/admin/faults", platform.Faults{Log: &f}, nil)
}

func (c *cluster) listFaults(f platform.ListFaults) {
	c.must(http.MethodPost, c.platform+"/admin/faults", platform.Faults{List: &f}, nil)
}

func (c *cluster) workerFaults(s worker.Selection, f worker.Faults) {
	var out worker.FaultsReply
	c.must(http.MethodPost, c.workers+"/admin/faults", worker.FaultsRequest{Selection: s, Faults: f}, &out)
	require.NotEmpty(c.t, out.Workers, "the selection %+v matches no worker", s)
}

func (c *cluster) stats() worker.Stats {
	var s worker.Stats
	c.must(http.MethodGet, c.workers+"/admin/stats", nil, &s)
	return s
}

// ctl runs the operators' client and wants an exit code.
func (c *cluster) ctl(want int, args ...string) string {
	c.t.Helper()
	out, code := c.ctlCode(args...)
	require.Equal(c.t, want, code, "clementinectl %s: %s", strings.Join(args, " "), out)
	return out
}

func (c *cluster) ctlCode(args ...string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, "clementinectl"), args...)
	cmd.Env = append(os.Environ(), "CLEMENTINE_PLATFORM="+c.platform)
	out, _ := cmd.CombinedOutput() // The exit code is judged by the caller.
	return string(out), cmd.ProcessState.ExitCode()
}

// settings of the load during a scenario.
func (c *cluster) settings(s scenario) *load.Settings {
	var gateways []string
	for i := range 2 * entries {
		gateways = append(gateways, gatewayURL(i))
	}
	jobs := 16
	if c.short {
		jobs = 6
	}
	return &load.Settings{Gateways: gateways, Manifest: manifestFile, Rate: 120, Duration: s.length, Requests: 100_000, PeakFactor: 1,
		PeakEvery: time.Minute, Repeat: 0.3, BodyBytes: 256, MaxInFlight: 2000, Timeout: 6 * time.Second, BatchJobs: jobs, BatchKinds: []string{"tool-rebid", "part-refresh"}, TasksPerJob: 6,
		BatchSpread: s.length / 4, BatchWait: 60 * time.Second, Seed: 1, Standin: c.workers, Conditions: c.links.path,
		Local: "127.9.0.1", Out: filepath.Join(c.dir, "load"), Plots: "none"}
}
