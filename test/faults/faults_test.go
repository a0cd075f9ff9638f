// Package faults runs the real programs on the loopback network under load, injects the failures of a table of
// scenarios and checks the guarantees of docs/design.md. make faults runs all scenarios one at a time, make
// process-test a few short ones.
package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/load"
)

// binaries and keysDir are the directories of the built programs and of the instances' keys.
var binaries, keysDir string

// scenario is one row of the table. Its description is printed beside its result.
type scenario struct {
	name, description string
	// length is the time during which the load sends requests.
	length time.Duration
	// platformArgs and workerArgs are additional arguments of the stand-ins.
	platformArgs []string
	workerArgs   []string
	// action injects the failure. It is called when requests and tasks are running.
	action func(c *cluster)
	// planned reports whether the scenario only stops processes gracefully, so that no request may be interrupted.
	planned bool
	// afterLoad makes additional checks of the scenario. It is called after the load has ended, unless it is nil.
	afterLoad func(c *cluster)
}

// Guards against violations of the guarantees, interrupted requests and missing recovery under each failure of the
// table.
func TestFaults(t *testing.T) {
	runTable(t, "FAULTS", "make faults", table())
}

// Guards against violations of the guarantees when a scheduler is killed, the log is down or a gateway is stopped. The
// scenarios are short enough for make check.
func TestProcesses(t *testing.T) {
	var short []scenario
	for _, s := range table() {
		switch s.name {
		case "scheduler-killed", "log-down", "gateway-stopped":
			s.length = shortLength
			short = append(short, s)
		}
	}
	runTable(t, "PROCESSES", "make process-test", short)
}

// runTable runs the scenarios that SCENARIO selects, all if it is empty, or lists them if LIST is set. It skips the
// test unless the environment variable is set; command is the make target that sets it.
func runTable(t *testing.T, variable, command string, scenarios []scenario) {
	if os.Getenv(variable) == "" {
		t.Skipf("starts processes on the loopback network; run it with %s", command)
	}
	if os.Getenv("LIST") != "" {
		for _, s := range scenarios {
			fmt.Printf("%-34s %s\n", s.name, s.description)
		}
		return
	}
	prepare(t)
	lockPorts(t)
	selected, ran := strings.FieldsFunc(os.Getenv("SCENARIO"), func(r rune) bool { return r == ',' }), 0
	for _, s := range scenarios {
		if len(selected) == 0 || slices.Contains(selected, s.name) {
			ran++
			t.Run(s.name, func(t *testing.T) { runScenario(t, s) })
		}
	}
	require.Positive(t, ran, "no scenario is named %q; LIST=1 lists the names", selected)
}

// lockWait bounds the time that a run waits for the ports of another run.
const lockWait = 15 * time.Minute

// lockPorts reserves the 1000 ports of the run, from FAULTS_PORT on, and waits until no other run uses them. It listens
// on the last port until the end of the run: two runs on the same ports would interfere with each other.
func lockPorts(t *testing.T) {
	if text := os.Getenv("FAULTS_PORT"); text != "" {
		var err error
		basePort, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	lockAddr := fmt.Sprintf("%s:%d", platformHost, basePort+999)
	deadline := time.Now().Add(lockWait)
	for {
		ln, err := net.Listen("tcp", lockAddr)
		if err == nil {
			t.Cleanup(func() { _ = ln.Close() })
			return
		}
		require.True(t, time.Now().Before(deadline), "another run holds %s: %v", lockAddr, err)
		time.Sleep(time.Second)
	}
}

// minExecutions is the number of executed requests after which the action begins, about 2.5 s after the start of the
// load. Owners know checkpoints of running tasks by then.
const minExecutions = 300

// prepare builds the programs and creates the keys of all instances.
func prepare(t *testing.T) {
	dir := t.TempDir()
	binaries, keysDir = filepath.Join(dir, "bin"), filepath.Join(dir, "keys")
	require.NoError(t, os.Mkdir(binaries, 0o755))
	command := func(name string, args ...string) {
		out, err := exec.Command(name, args...).CombinedOutput()
		require.NoError(t, err, "%s %s: %s", name, strings.Join(args, " "), out)
	}
	command("go", "build", "-o", binaries, "../../cmd/...")
	ctl := filepath.Join(binaries, "clementinectl")
	command(ctl, "keys", "init", "--dir", keysDir)
	for i := range 2 * instancesPerRole {
		for _, role := range []string{"gateway", "scheduler"} {
			command(ctl, "keys", "issue", fmt.Sprintf("%s-%d", role, i), "--dir", keysDir, "--role", role,
				"--ip", instanceHost(i), "--validity", "24h")
		}
	}
}

// runScenario runs one scenario, prints its row and reports its violations as errors of the test.
func runScenario(t *testing.T, s scenario) {
	began := time.Now()
	c := newCluster(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		c.watch(ctx)
	}()
	result := make(chan *load.Result, 1)
	go func() { result <- c.runLoad(ctx, s) }()
	c.await("load", startLimit, func() bool {
		st := c.workerStats()
		return st.Counts["executions"] > minExecutions && st.Running > 2
	})
	s.action(c)
	if c.recoveryStart.IsZero() {
		c.startRecoveryTimer()
	}
	c.awaitRecovery()
	res := <-result
	if res == nil {
		c.violationf("the load produced no result")
		res = &load.Result{}
	}
	c.checkResult(s, res)
	if s.afterLoad != nil {
		s.afterLoad(c)
	}
	c.saveState()
	cancel()
	<-watchDone
	c.stopAll()
	c.checkLogs()
	c.print(s, res, time.Since(began))
	for _, v := range c.violations {
		t.Error(v)
	}
}

// runLoad runs the load generator and returns its result, or nil after it has recorded why there is none.
func (c *cluster) runLoad(ctx context.Context, s scenario) *load.Result {
	settings := c.loadSettings(s)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	client, err := load.NewHTTPClient(settings, logger)
	if err != nil {
		c.violationf("load: %v", err)
		return nil
	}
	f, err := os.Create(filepath.Join(c.dir, "load.txt"))
	if err != nil {
		c.violationf("load: %v", err)
		return nil
	}
	defer func() { _ = f.Close() }()
	// An error of the run may only say that the load found violations; these are in the result.
	runErr := load.NewRunner(settings, client, load.Outputs{Table: f, Progress: f}).Run(ctx)
	data, err := os.ReadFile(filepath.Join(settings.Out, "result.json"))
	if err != nil {
		c.violationf("load: %v, %v", runErr, err)
		return nil
	}
	var res load.Result
	if err := json.Unmarshal(data, &res); err != nil {
		c.violationf("load: %v", err)
		return nil
	}
	return &res
}

// awaitRecovery waits until the deployment is healthy, at most for recoveryLimit, and keeps the longest time since the
// start of the recovery timer.
func (c *cluster) awaitRecovery() {
	deadline := time.Now().Add(recoveryLimit)
	for !c.healthy() {
		if time.Now().After(deadline) {
			c.violationf("the deployment did not recover within %s", recoveryLimit)
			break
		}
		time.Sleep(pollInterval)
	}
	c.longestRecovery = max(c.longestRecovery, time.Since(c.recoveryStart))
}

// stopAll stops all gateways and schedulers gracefully at the same time. The stand-ins are not part of the system and
// are killed.
func (c *cluster) stopAll() {
	c.checkExits()
	c.stopping.Store(true)
	var names []string
	for _, p := range append(c.live("gateway"), c.live("scheduler")...) {
		names = append(names, p.name)
	}
	c.stop(names...)
	c.killAll()
}

// saveState writes the state of jobs and shards to files beside the logs, for the analysis of a violation.
func (c *cluster) saveState() {
	for _, name := range []string{"jobs", "shards"} {
		var state json.RawMessage
		if gateways := c.live("gateway"); len(gateways) > 0 && c.get(gateways[0].url+"/v1/"+name, &state) == nil {
			_ = os.WriteFile(filepath.Join(c.dir, name+".json"), state, 0o644)
		}
	}
}

// headerPrinted reports whether the header of the result table has been printed.
var headerPrinted bool

// print prints the row of a scenario in the result table.
func (c *cluster) print(s scenario, r *load.Result, took time.Duration) {
	if !headerPrinted {
		fmt.Printf("%-28s %9s %22s %11s %8s %8s %6s %6s  %s\n", "SCENARIO", "RECOVERY",
			"WHOLE/NOT RUN/UNKNOWN", "TASKS/DONE", "EVICTED", "RESUMED", "BROKEN", "TOOK", "HIT")
		headerPrinted = true
	}
	var answered, rejected, unknown int
	for _, k := range r.Kinds {
		answered, rejected, unknown = answered+k.Answered, rejected+k.Rejected, unknown+k.Unknown
	}
	fmt.Printf("%-28s %8.1fs %22s %11s %8d %8d %6d %5.0fs  %s\n", s.name, c.longestRecovery.Seconds(),
		fmt.Sprintf("%d/%d/%d", answered, rejected, unknown), fmt.Sprintf("%d/%d", r.Batch.Tasks, r.Batch.Done),
		r.Batch.Evicted, r.Batch.Resumed, len(c.violations), took.Seconds(), s.description)
}
