package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"clementinewalk.example/clementinewalk/internal/dispatch"
)

const (
	benchWorkers = 100
	benchRows    = 10
	// benchCalls is the number of calls in progress.
	benchCalls = 64
	// benchTasks is the number of tasks of a submission.
	benchTasks = 8
)

// benchWorkersClient answers at once. Each worker runs benchRows attempts, whose progress changes with each answer.
type benchWorkersClient struct {
	recorder
	percent atomic.Int64
	running map[string][]dispatch.Running
}

func newBenchWorkers(all []dispatch.Member) *benchWorkersClient {
	c := &benchWorkersClient{running: map[string][]dispatch.Running{}}
	for n, m := range all {
		for row := range benchRows {
			c.running[m.ID] = append(c.running[m.ID], dispatch.Running{
				Attempt: attempt(fmt.Sprintf("%016x", n*benchRows+row), row, 1), Load: float64(100 * row)})
		}
	}
	return c
}

func (c *benchWorkersClient) Start(context.Context, dispatch.Member, dispatch.StartCall) (dispatch.CallAnswer, error) {
	return dispatch.CallAnswer{StartedAt: 1, Clock: time.Hour}, nil
}

func (c *benchWorkersClient) Renew(_ context.Context, m dispatch.Member, _ dispatch.LeaseCall) (dispatch.LeaseAnswer, error) {
	a := dispatch.LeaseAnswer{StartedAt: 1, Clock: time.Hour, Running: make([]dispatch.Running, benchRows)}
	copy(a.Running, c.running[m.ID])
	p := int(c.percent.Add(1) / benchWorkers % 100)
	for i := range a.Running {
		a.Running[i].Percent = p
	}
	return a, nil
}

// countedStream counts the bytes in both directions.
type countedStream struct {
	net.Conn
	read, written atomic.Int64
}

func (s *countedStream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.read.Add(int64(n))
	return n, err
}

func (s *countedStream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.written.Add(int64(n))
	return n, err
}

// processorTime returns the processor time of the process.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSession measures the processor time and the bytes of calls at both ends of a session.
func BenchmarkSession(b *testing.B) {
	all := members(benchWorkers)
	spec := fmt.Sprintf("%0200d", 1)
	b.Run("start", func(b *testing.B) {
		benchmarkSession(b, all, "start", func(s *session, n int) error {
			c := dispatch.StartCall{Attempt: attempt(fmt.Sprintf("%016x", n/benchTasks), n%benchTasks, 1), Spec: spec, Epoch: 3,
				Deadline: time.Hour}
			return s.do(context.Background(), call{member: all[n%len(all)], start: &c}, time.Minute).err
		})
	})
	b.Run("lease", func(b *testing.B) {
		benchmarkSession(b, all, "lease", func(s *session, n int) error {
			c := dispatch.LeaseCall{Epoch: 3, ExpiresAt: time.Hour, LastStoredEnd: int64(n), Wait: time.Second}
			return s.do(context.Background(), call{member: all[n%len(all)], lease: &c}, time.Minute).err
		})
	})
}

// benchmarkSession makes b.N calls, of which each starts when an earlier one has been answered.
func benchmarkSession(b *testing.B, all []dispatch.Member, name string, do func(s *session, n int) error) {
	near, far := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		NewServer(newBenchWorkers(all), 0, discard()).Serve(context.Background(), "owner", far)
	}()
	stream := &countedStream{Conn: near}
	s := newSession("agent", stream, 0, &atomic.Int64{})
	go s.run()
	// The first calls introduce the workers and their lists.
	for n := range all {
		_ = s.do(context.Background(), call{member: all[n], lease: &dispatch.LeaseCall{Epoch: 3}}, time.Minute)
	}
	read, written, spent := stream.read.Load(), stream.written.Load(), processorTime(b)
	b.ResetTimer()
	var next, failed atomic.Int64
	var running sync.WaitGroup
	for range benchCalls {
		running.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				if do(s, int(n)) != nil {
					failed.Add(1)
				}
			}
		})
	}
	running.Wait()
	b.StopTimer()
	calls := float64(b.N)
	b.ReportMetric(float64((processorTime(b)-spent).Nanoseconds())/calls, "cpu-ns/"+name)
	b.ReportMetric(float64(stream.written.Load()-written)/calls, "call-B/"+name)
	b.ReportMetric(float64(stream.read.Load()-read)/calls, "answer-B/"+name)
	s.end(io.EOF)
	<-served
	require.Zero(b, failed.Load())
}
