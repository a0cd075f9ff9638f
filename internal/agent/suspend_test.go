package agent

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/relay"
)

// agentProcessVariable makes the test binary run an agent instead of the tests.
const agentProcessVariable = "CLEMENTINE_TEST_AGENT"

// TestAgentProcess is the agent of the tests below, in a process of its own. It prints its endpoint and each call that it
// makes, until its standard input ends.
func TestAgentProcess(t *testing.T) {
	if os.Getenv(agentProcessVariable) == "" {
		return
	}
	r, err := relay.Listen("agent", "127.0.0.1:0", ingress.New(ingress.Settings{}, discard(), prometheus.NewRegistry()), discard())
	require.NoError(t, err)
	fmt.Printf("endpoint %s %s\n", r.Endpoint().Addr, hex.EncodeToString(r.Endpoint().Fingerprint))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer cancel()
		_, _ = os.Stdin.Read(make([]byte, 1))
	}()
	r.Serve(ctx, nil, NewServer(dispatch.NewLimitedWorkers(printer{}, 0), 0, discard()))
}

// printer prints the calls to workers.
type printer struct{}

func (printer) Start(_ context.Context, _ dispatch.Member, c dispatch.StartCall) (dispatch.CallAnswer, error) {
	fmt.Println("start", c.Task.Job)
	return dispatch.CallAnswer{}, nil
}

func (printer) Stop(_ context.Context, _ dispatch.Member, c dispatch.StopCall) (dispatch.CallAnswer, error) {
	fmt.Println("stop", c.Task.Job)
	return dispatch.CallAnswer{}, nil
}

func (printer) LimitCPU(_ context.Context, _ dispatch.Member, c dispatch.CPULimitCall) (dispatch.CallAnswer, error) {
	fmt.Println("limit", c.Task.Job)
	return dispatch.CallAnswer{}, nil
}

func (printer) Renew(_ context.Context, _ dispatch.Member, c dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	fmt.Println("lease", c.LastStoredEnd)
	return dispatch.LeaseAnswer{}, nil
}

// agentProcess is a running agent in another process.
type agentProcess struct {
	endpoint catalog.Endpoint
	process  *os.Process
	calls    chan string
}

func startAgentProcess(t *testing.T) *agentProcess {
	c := exec.Command(os.Args[0], "-test.run=^TestAgentProcess$")
	c.Env = append(os.Environ(), agentProcessVariable+"=1")
	in, err := c.StdinPipe()
	require.NoError(t, err)
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	a := &agentProcess{process: c.Process, calls: make(chan string, 64)}
	read := make(chan struct{})
	endpoint := make(chan []string, 1)
	go func() {
		defer close(read)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			switch words := strings.Fields(lines.Text()); {
			case len(words) == 3 && words[0] == "endpoint":
				endpoint <- words
			case len(words) == 2:
				a.calls <- lines.Text()
			}
		}
	}()
	t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = in.Close()
		<-read
		assert.NoError(t, c.Wait())
	})
	select {
	case words := <-endpoint:
		fingerprint, err := hex.DecodeString(words[2])
		require.NoError(t, err)
		a.endpoint = catalog.Endpoint{Instance: "agent", Addr: words[1], Fingerprint: fingerprint}
	case <-read:
		require.Fail(t, "the agent has ended")
	}
	return a
}

func (a *agentProcess) session(t *testing.T) *session {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	stream, err := relay.DialSession(ctx, a.endpoint)
	require.NoError(t, err)
	s := newSession("agent", stream, 0, &atomic.Int64{})
	go s.run()
	t.Cleanup(func() { s.end(context.Canceled) })
	return s
}

// made returns the calls that the agent makes up to the one with the given text.
func (a *agentProcess) made(t *testing.T, last string) (out []string) {
	for {
		select {
		case c := <-a.calls:
			if out = append(out, c); c == last {
				return out
			}
		case <-time.After(5 * time.Second):
			require.Fail(t, "call was not made", last)
		}
	}
}

// Guards against a task that runs twice: an agent that was paused makes the calls that had arrived, after its owner has given them up.
func TestAgentProcessMakesNoCallOfBeforeItsPause(t *testing.T) {
	a := startAgentProcess(t)
	w := members(1)[0]
	s := a.session(t)
	c := start("0000000000000001", "before")
	require.NoError(t, s.do(t.Context(), call{member: w, start: &c}, time.Second).err)
	a.made(t, "start 0000000000000001")
	require.NoError(t, a.process.Signal(syscall.SIGSTOP))
	unread := start("0000000000000002", "unread")
	var answers []<-chan result
	for _, c := range []call{{start: &unread}, {lease: &dispatch.LeaseCall{LastStoredEnd: 7}},
		{limit: &dispatch.CPULimitCall{Attempt: unread.Attempt}}} {
		c.member = w
		answered := make(chan result, 1)
		go func() { answered <- s.do(context.Background(), c, 3*time.Second) }()
		answers = append(answers, answered)
	}
	for _, answered := range answers {
		r := <-answered
		require.True(t, isLost(r.err), "%v", r.err)
	}
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, a.process.Signal(syscall.SIGCONT))
	time.Sleep(300 * time.Millisecond)
	later := start("0000000000000003", "after")
	require.NoError(t, a.session(t).do(t.Context(), call{member: w, start: &later}, time.Second).err)
	assert.Equal(t, []string{"start 0000000000000003"}, a.made(t, "start 0000000000000003"))
}
