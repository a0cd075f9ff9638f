package faults

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	stopLimit = 30 * time.Second
	poll      = 50 * time.Millisecond
)

// program is one process that the test started.
type program struct {
	name string
	cmd  *exec.Cmd
	log  string
	url  string
	// exited is closed when the process has ended.
	exited chan struct{}
	// frozen processes answer nothing, and killed ones have no exit code to judge.
	frozen, killed bool
}

// start starts a program of the repository, with its log appended to a file of its own.
func (c *cluster) start(name, url, binary string, args ...string) *program {
	c.t.Helper()
	p := &program{name: name, url: url, log: filepath.Join(c.dir, name+".log"), exited: make(chan struct{})}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(c.t, err)
	p.cmd = exec.Command(filepath.Join(binaries, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	// An interrupted test takes its processes with it. In a process group of its own a frozen process is not thawed by the kernel when
	// the shell that started the test goes away.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	require.NoError(c.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // The exit code is read from the state of the process.
		_ = f.Close()
		close(p.exited)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs[name] = p
	return p
}

func (p *program) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s), "signal %v to %s", s, p.name)
}

// kill ends a process as a crash does.
func (c *cluster) kill(names ...string) {
	for _, n := range names {
		p := c.program(n)
		c.mu.Lock()
		p.killed = true
		c.mu.Unlock()
		p.signal(c.t, syscall.SIGKILL)
		<-p.exited
	}
}

func (c *cluster) freeze(name string) {
	p := c.program(name)
	c.setFrozen(p, true)
	p.signal(c.t, syscall.SIGSTOP)
}

func (c *cluster) thaw(name string) {
	p := c.program(name)
	p.signal(c.t, syscall.SIGCONT)
	c.setFrozen(p, false)
}

func (c *cluster) setFrozen(p *program, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.frozen = frozen
}

// stop makes a planned stop of processes at the same time. An exit code other than 0, or a stop that takes too long, is a violation.
func (c *cluster) stop(names ...string) {
	for _, n := range names {
		c.program(n).signal(c.t, syscall.SIGTERM)
	}
	deadline := time.After(stopLimit)
	for _, n := range names {
		p := c.program(n)
		select {
		case <-p.exited:
		case <-deadline:
			c.violate("%s did not stop within %s", n, stopLimit)
			_ = p.cmd.Process.Kill()
			<-p.exited
			continue
		}
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			c.violate("planned stop of %s ended with exit code %d", n, code)
		}
	}
}

// endAll ends what still runs, whatever happened.
func (c *cluster) endAll() {
	for _, p := range c.all() {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

func (p *program) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// died reports processes that ended by themselves.
func (c *cluster) died() {
	for _, p := range c.all() {
		if c.stopping.Load() || p.running() {
			continue
		}
		c.mu.Lock()
		killed := p.killed
		c.mu.Unlock()
		if code := p.cmd.ProcessState.ExitCode(); !killed && code != 0 {
			c.violate("%s ended by itself with exit code %d", p.name, code)
		}
	}
}
