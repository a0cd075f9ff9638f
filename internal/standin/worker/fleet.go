package worker

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
)

const (
	// refreshPeriod is the interval at which workers refresh their entries in the instance list.
	refreshPeriod = 3 * time.Second
	// maxConcurrentRefreshes is the largest number of concurrent calls to the instance list.
	maxConcurrentRefreshes = 16
	// refreshTimeout is the time limit of one call to the instance list.
	refreshTimeout = 5 * time.Second
	// drainPollInterval is the interval at which Drain checks whether work remains.
	drainPollInterval = 50 * time.Millisecond
)

// Fleet holds all workers of a process, each with its own HTTP endpoint.
type Fleet struct {
	ledger *Ledger
	list   platform.List
	logger *slog.Logger

	members []*member
	// faultsMu serialises the changes of faults.
	faultsMu sync.Mutex
}

// member is a worker and its endpoint. mu guards server and registered.
type member struct {
	worker *Worker
	mu     sync.Mutex
	server *http.Server
	// registered is the entry that was last registered in the instance list.
	registered instance.Member
}

// NewFleet returns a fleet whose endpoints are not open yet. With a nil list the workers are not registered.
func NewFleet(configs []Config, l *Ledger, list platform.List, logger *slog.Logger) *Fleet {
	f := &Fleet{ledger: l, list: list, logger: logger}
	for _, c := range configs {
		f.members = append(f.members, &member{worker: New(c, l, logger)})
	}
	return f
}

// Open opens the endpoint of every worker. If one fails, Open closes the fleet and returns *process.ListenError or
// *process.SettingError.
func (f *Fleet) Open() error {
	for _, m := range f.members {
		if err := f.open(m); err != nil {
			f.Close()
			return err
		}
	}
	return nil
}

func (f *Fleet) open(m *member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server != nil {
		return nil
	}
	ln, err := process.Listen("--fleet", m.worker.cfg.Addr)
	if err != nil {
		return err
	}
	m.server = m.worker.newServer()
	go f.serve(m.server, ln)
	return nil
}

func (f *Fleet) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		f.logger.Error("worker endpoint stopped serving", "addr", ln.Addr().String(), "error", err)
	}
}

// closeServer closes the endpoint and its connections.
func (m *member) closeServer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server != nil {
		_ = m.server.Close()
		m.server = nil
	}
}

// Close stops all workers abruptly, as a power failure does.
func (f *Fleet) Close() {
	for _, m := range f.members {
		m.closeServer()
		m.worker.Close()
	}
}

// setFaults replaces the faults of a worker and opens its endpoint, or closes it if the worker is dead.
func (f *Fleet) setFaults(m *member, faults Faults) error {
	if faults.Dead {
		// Tasks and requests end before the endpoint closes, so that a dead worker sends no answer.
		m.worker.SetFaults(faults)
		m.closeServer()
		return nil
	}
	m.worker.SetFaults(faults)
	return f.open(m)
}

// Register refreshes the entries in the instance list until ctx ends. Dead workers do not refresh theirs, so these
// expire.
func (f *Fleet) Register(ctx context.Context) {
	t := time.NewTicker(refreshPeriod)
	defer t.Stop()
	for {
		f.Refresh(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Refresh registers every live worker once.
func (f *Fleet) Refresh(ctx context.Context) {
	if f.list == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentRefreshes)
	for _, m := range f.members {
		g.Go(func() error {
			f.register(ctx, m)
			return nil
		})
	}
	_ = g.Wait()
}

func (f *Fleet) register(ctx context.Context, m *member) {
	entry, ok := m.worker.Member()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := f.list.Register(ctx, entry); err != nil {
		f.logger.Warn("could not refresh the entry of a worker in the instance list", "worker", entry.ID, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registered = entry
}

// Drain marks every worker as leaving, updates the instance list, waits until their tasks and requests have ended,
// removes their entries and closes the endpoints. It keeps the endpoints open for at least linger: a caller that sends
// a request on an idle connection while it is being closed cannot know whether the request was run. It returns
// *process.StopError if work remains after wait.
func (f *Fleet) Drain(linger, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(linger, wait))
	defer cancel()
	began, refreshed := time.Now(), time.Time{}
	for _, m := range f.members {
		m.worker.Leave()
	}
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for !f.idle() || time.Since(began) < linger {
		if time.Since(refreshed) > refreshPeriod {
			refreshed = time.Now()
			f.Refresh(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			f.deregister()
			return &process.StopError{Component: "workers", Wait: wait}
		}
	}
	f.deregister()
	f.shutdown(ctx)
	return nil
}

// idle reports whether no task and no request is in progress.
func (f *Fleet) idle() bool {
	running, busy := f.totalLoad()
	return running+busy == 0
}

// shutdown closes the endpoints gracefully: it waits until the answers in progress have been sent or ctx ends.
func (f *Fleet) shutdown(ctx context.Context) {
	var g errgroup.Group
	for _, m := range f.members {
		g.Go(func() error {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.server == nil {
				return nil
			}
			if err := m.server.Shutdown(ctx); err != nil {
				f.logger.Warn("worker endpoint closed before all answers were sent", "worker", m.worker.cfg.ID,
					"error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// totalLoad returns the number of running tasks and of slots in use over all workers.
func (f *Fleet) totalLoad() (running, busy int) {
	for _, m := range f.members {
		t, b := m.worker.Load()
		running, busy = running+t, busy+b
	}
	return running, busy
}

// deregister removes the entries of all workers from the instance list.
func (f *Fleet) deregister() {
	if f.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentRefreshes)
	for _, m := range f.members {
		m.mu.Lock()
		entry := m.registered
		m.mu.Unlock()
		if entry.ID == "" {
			continue
		}
		g.Go(func() error {
			if err := f.list.Deregister(ctx, entry.ID, entry.Incarnation); err != nil {
				f.logger.Warn("could not remove the entry of a worker from the instance list",
					"worker", entry.ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// Stats returns the counts of the ledger and the present load of all workers.
func (f *Fleet) Stats() Stats {
	s := f.ledger.Stats()
	s.Workers = len(f.members)
	s.Running, s.Busy = f.totalLoad()
	return s
}
