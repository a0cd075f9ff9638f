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
	// stopLimit bounds the time that a planned stop may take.
	stopLimit    = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// program is one process that the test started.
type program struct {
	name string
	cmd  *exec.Cmd
	// log is the path of the log file.
	log string
	url string
	// exited is closed when the process has ended.
	exited chan struct{}
	// frozen reports whether the process is stopped by SIGSTOP and answers no calls. killed reports whether the test
	// killed it, so that its exit code is not checked.
	frozen, killed bool
}

// start starts a program of the repository and appends its output to a log file of its own.
func (c *cluster) start(name, url, binary string, args ...string) *program {
	c.t.Helper()
	p := &program{name: name, url: url, log: filepath.Join(c.dir, name+".log"), exited: make(chan struct{})}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(c.t, err)
	p.cmd = exec.Command(filepath.Join(binaries, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	// Pdeathsig ends the process when the test is interrupted. The process has its own process group, because the
	// kernel would otherwise resume a frozen process when the shell that started the test exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	require.NoError(c.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // The exit code is read from ProcessState.
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

// kill kills processes without a graceful stop and waits for their end.
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

// freeze stops a process with SIGSTOP.
func (c *cluster) freeze(name string) {
	p := c.program(name)
	c.setFrozen(p, true)
	p.signal(c.t, syscall.SIGSTOP)
}

// unfreeze continues a frozen process.
func (c *cluster) unfreeze(name string) {
	p := c.program(name)
	p.signal(c.t, syscall.SIGCONT)
	c.setFrozen(p, false)
}

func (c *cluster) setFrozen(p *program, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.frozen = frozen
}

// stop stops processes gracefully at the same time. An exit code other than 0, or a stop that takes longer than
// stopLimit, is a violation.
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
			c.violationf("%s did not stop within %s", n, stopLimit)
			_ = p.cmd.Process.Kill()
			<-p.exited
			continue
		}
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			c.violationf("planned stop of %s ended with exit code %d", n, code)
		}
	}
}

// killAll kills all processes that are still running.
func (c *cluster) killAll() {
	for _, p := range c.allPrograms() {
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

// checkExits reports processes that ended by themselves with an exit code other than 0 as violations.
func (c *cluster) checkExits() {
	for _, p := range c.allPrograms() {
		if c.stopping.Load() || p.running() {
			continue
		}
		c.mu.Lock()
		killed := p.killed
		c.mu.Unlock()
		if code := p.cmd.ProcessState.ExitCode(); !killed && code != 0 {
			c.violationf("%s ended by itself with exit code %d", p.name, code)
		}
	}
}
