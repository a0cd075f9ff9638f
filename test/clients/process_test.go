package clients

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// memoryMB and maxDescriptors are the limits in the settings of the processes under test, and the bounds that they
	// must keep. They are below those of the smallest instances (160 MB, 4,100 descriptors), so that a crowd of 400
	// connections is to a process what thousands are to an instance.
	memoryMB       = 96
	maxDescriptors = 256
	// crowdSize is the number of connections of a crowd.
	crowdSize = 400

	startLimit     = 30 * time.Second
	sampleInterval = 5 * time.Millisecond
)

// build builds programs of the repository and returns their directory.
func build(t *testing.T, programs ...string) string {
	dir := t.TempDir()
	for _, p := range programs {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, p), "../../cmd/"+p).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	return dir
}

// freeAddr returns an address of the loopback network whose port is free for TCP and UDP.
func freeAddr(t *testing.T) string {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr
		}
	}
	t.Fatal("no port is free for TCP and UDP")
	return ""
}

// server is a process under test.
type server struct {
	name string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}

	mu             sync.Mutex
	maxDescriptors int
}

// startProcess starts a program and samples its descriptors until it ends. The test ends it.
func startProcess(t *testing.T, name string, env []string, path string, args ...string) *server {
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	require.NoError(t, err)
	s := &server{name: name, cmd: exec.Command(path, args...), exited: make(chan struct{})}
	s.cmd.Env, s.cmd.Stdout, s.cmd.Stderr = env, log, log
	// The process must not outlive an interrupted test.
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, s.cmd.Start())
	go func() {
		defer close(s.exited)
		_ = s.cmd.Wait() // The exit code is not used.
	}()
	go s.sample()
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		<-s.exited
		_ = log.Close()
		if b, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, b[max(0, len(b)-3000):])
		}
	})
	return s
}

func (s *server) running() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// sample records the most descriptors until the process ends.
func (s *server) sample() {
	for s.running() {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
		if err == nil {
			s.mu.Lock()
			s.maxDescriptors = max(s.maxDescriptors, len(entries))
			s.mu.Unlock()
		}
		time.Sleep(sampleInterval)
	}
}

func (s *server) mostDescriptors() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxDescriptors
}

// memory returns a field of /proc/PID/status in bytes, such as VmHWM, the most resident memory so far.
func (s *server) memory(t *testing.T, field string) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range bytes.Lines(b) {
		if rest, ok := strings.CutPrefix(string(line), field+":"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			require.NoError(t, err)
			return kb << 10
		}
	}
	t.Fatalf("no field %s", field)
	return 0
}
