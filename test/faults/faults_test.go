// Package faults runs the real programs on the loopback network under load through a table of failures, and checks every promise of
// the design. The scenarios run one at a time with make faults, a few short ones with make process-test.
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

var binaries, keysDir string

// scenario is one row of the table.
type scenario struct {
	name, hit string
	// length is the time during which requests are sent; the action begins when requests and tasks are running.
	length   time.Duration
	platform []string
	workers  []string
	action   func(c *cluster)
	// planned scenarios only stop processes gracefully, so no request may be cut off.
	planned bool
	// afterwards checks what is special to the scenario when the load has ended.
	afterwards func(c *cluster)
}

func TestFaults(t *testing.T) {
	runTable(t, "FAULTS", "make faults", table())
}

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

func runTable(t *testing.T, variable, command string, scenarios []scenario) {
	if os.Getenv(variable) == "" {
		t.Skipf("starts processes on the loopback network; run it with %s", command)
	}
	if os.Getenv("LIST") != "" {
		for _, s := range scenarios {
			fmt.Printf("%-34s %s\n", s.name, s.hit)
		}
		return
	}
	prepare(t)
	lock(t)
	only, ran := strings.FieldsFunc(os.Getenv("SCENARIO"), func(r rune) bool { return r == ',' }), 0
	for _, s := range scenarios {
		if len(only) == 0 || slices.Contains(only, s.name) {
			ran++
			t.Run(s.name, func(t *testing.T) { run(t, s) })
		}
	}
	require.Positive(t, ran, "no scenario has a name in %q; LIST=1 lists them", only)
}

const lockWait = 15 * time.Minute

// lock takes the ports of the run, from FAULTS_PORT on, and waits until no other run uses them. Its address is held for the whole run,
// because two runs on the same ports would disturb each other.
func lock(t *testing.T) {
	if text := os.Getenv("FAULTS_PORT"); text != "" {
		var err error
		port, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	lockAddr := fmt.Sprintf("%s:%d", platformHost, port+999)
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

// actionAfter is the number of executed requests after which the action begins, about 2.5 s after the start of the load. By then owners know
// checkpoints of running tasks.
const actionAfter = 300

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
	for i := range 2 * entries {
		for _, role := range []string{"gateway", "scheduler"} {
			command(ctl, "keys", "issue", fmt.Sprintf("%s-%d", role, i), "--dir", keysDir, "--role", role, "--ip", entryHost(i), "--validity", "24h")
		}
	}
}

// run makes one scenario and prints its line.
func run(t *testing.T, s scenario) {
	began := time.Now()
	c := newCluster(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		c.watch(ctx)
	}()
	result := make(chan *load.Result, 1)
	go func() { result <- c.load(ctx, s) }()
	c.await("load", startLimit, func() bool {
		st := c.stats()
		return st.Counts["executions"] > actionAfter && st.Running > 2
	})
	s.action(c)
	if c.marked.IsZero() {
		c.mark()
	}
	c.recovered()
	res := <-result
	if res == nil {
		c.violate("the load left no result")
		res = &load.Result{}
	}
	c.judge(s, res)
	if s.afterwards != nil {
		s.afterwards(c)
	}
	c.saveState()
	cancel()
	<-watched
	c.stopAll()
	c.readLogs()
	c.print(s, res, time.Since(began))
	for _, v := range c.violations {
		t.Error(v)
	}
}

// load sends the load and returns its result, nil if there is none.
func (c *cluster) load(ctx context.Context, s scenario) *load.Result {
	settings := c.settings(s)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	client, err := load.NewHTTPClient(settings, logger)
	if err != nil {
		c.violate("load: %v", err)
		return nil
	}
	f, err := os.Create(filepath.Join(c.dir, "load.txt"))
	if err != nil {
		c.violate("load: %v", err)
		return nil
	}
	defer func() { _ = f.Close() }()
	// Broken promises are in the result.
	runErr := load.NewRunner(settings, client, load.Outputs{Table: f, Progress: f}).Run(ctx)
	data, err := os.ReadFile(filepath.Join(settings.Out, "result.json"))
	if err != nil {
		c.violate("load: %v, %v", runErr, err)
		return nil
	}
	var res load.Result
	if err := json.Unmarshal(data, &res); err != nil {
		c.violate("load: %v", err)
		return nil
	}
	return &res
}

// recovered waits until everything works and notes the time since the mark. The longest time of a scenario counts.
func (c *cluster) recovered() {
	deadline := time.Now().Add(recoveryLimit)
	for !c.whole() {
		if time.Now().After(deadline) {
			c.violate("the deployment did not recover within %s", recoveryLimit)
			break
		}
		time.Sleep(poll)
	}
	c.recovery = max(c.recovery, time.Since(c.marked))
}

// stopAll makes a planned stop of all entry instances at once. The stand-ins are not part of the system and are ended.
func (c *cluster) stopAll() {
	c.died()
	c.stopping.Store(true)
	var names []string
	for _, p := range append(c.live("gateway"), c.live("scheduler")...) {
		names = append(names, p.name)
	}
	c.stop(names...)
	c.endAll()
}

// saveState keeps the state of jobs and shards beside the logs, for the search after a broken promise.
func (c *cluster) saveState() {
	for _, name := range []string{"jobs", "shards"} {
		var state json.RawMessage
		if gateways := c.live("gateway"); len(gateways) > 0 && c.get(gateways[0].url+"/v1/"+name, &state) == nil {
			_ = os.WriteFile(filepath.Join(c.dir, name+".json"), state, 0o644)
		}
	}
}

var headed bool

func (c *cluster) print(s scenario, r *load.Result, took time.Duration) {
	if !headed {
		fmt.Printf("%-28s %9s %22s %11s %8s %8s %6s %6s  %s\n", "SCENARIO", "RECOVERY", "WHOLE/NOT RUN/UNKNOWN", "TASKS/DONE",
			"EVICTED", "RESUMED", "BROKEN", "TOOK", "HIT")
		headed = true
	}
	var whole, notRun, unknown int
	for _, k := range r.Kinds {
		whole, notRun, unknown = whole+k.Whole, notRun+k.NotRun, unknown+k.Unknown
	}
	fmt.Printf("%-28s %8.1fs %22s %11s %8d %8d %6d %5.0fs  %s\n", s.name, c.recovery.Seconds(), fmt.Sprintf("%d/%d/%d", whole, notRun, unknown),
		fmt.Sprintf("%d/%d", r.Batch.Tasks, r.Batch.Done), r.Batch.Evicted, r.Batch.Resumed, len(c.violations), took.Seconds(), s.hit)
}
