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
	// refreshPeriod is the period at which workers refresh their entries in the instance list.
	refreshPeriod = 3 * time.Second
	// refreshCalls bounds the simultaneous calls to the instance list.
	refreshCalls = 16
	// refreshTimeout bounds one call to the instance list.
	refreshTimeout = 5 * time.Second
	drainPoll      = 50 * time.Millisecond
)

// Fleet is all workers of a process, each with its own endpoint.
type Fleet struct {
	ledger *Ledger
	list   platform.List
	logger *slog.Logger

	members []*member
	// faultsMu orders the changes of faults.
	faultsMu sync.Mutex
}

// member is a worker and its endpoint. mu orders changes of the endpoint.
type member struct {
	worker *Worker
	mu     sync.Mutex
	server *http.Server
	// entry is the entry in the instance list as it was last registered.
	entry instance.Member
}

// NewFleet returns a fleet of workers that listen nowhere yet. The list may be nil.
func NewFleet(configs []Config, l *Ledger, list platform.List, logger *slog.Logger) *Fleet {
	f := &Fleet{ledger: l, list: list, logger: logger}
	for _, c := range configs {
		f.members = append(f.members, &member{worker: New(c, l, logger)})
	}
	return f
}

// Open opens the endpoint of every worker. It returns *process.ListenError or *process.SettingError and then closes those already open.
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
		f.logger.Error("the endpoint of a worker failed", "addr", ln.Addr().String(), "error", err)
	}
}

// shut closes an endpoint and its connections.
func (m *member) shut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server != nil {
		_ = m.server.Close()
		m.server = nil
	}
}

// Close ends all workers as a power cut does.
func (f *Fleet) Close() {
	for _, m := range f.members {
		m.shut()
		m.worker.Close()
	}
}

// setFaults replaces the faults of a worker and opens or closes its endpoint to match.
func (f *Fleet) setFaults(m *member, faults Faults) error {
	if faults.Dead {
		// Tasks and requests end first, so that no answer leaves a dead worker.
		m.worker.SetFaults(faults)
		m.shut()
		return nil
	}
	m.worker.SetFaults(faults)
	return f.open(m)
}

// Register keeps the entries in the instance list until ctx ends. Dead workers do not refresh theirs, so the platform forgets them.
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
	g.SetLimit(refreshCalls)
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
		f.logger.Warn("a worker cannot refresh its entry in the instance list", "worker", entry.ID, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry = entry
}

// Drain marks every worker as leaving, tells the instance list, waits until their tasks and requests have ended, removes their
// entries and closes the endpoints. It keeps serving for linger at least: a caller that still sends on an idle connection while it is
// closed could not tell whether its request was run. It returns *process.StopError if work is left after wait.
func (f *Fleet) Drain(linger, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(linger, wait))
	defer cancel()
	began, refreshed := time.Now(), time.Time{}
	for _, m := range f.members {
		m.worker.Leave()
	}
	t := time.NewTicker(drainPoll)
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

func (f *Fleet) idle() bool {
	running, busy := f.load()
	return running+busy == 0
}

// shutdown closes the endpoints after the answers in progress have been sent.
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
				f.logger.Warn("answers of a worker were cut off", "worker", m.worker.cfg.ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (f *Fleet) load() (running, busy int) {
	for _, m := range f.members {
		t, b := m.worker.Load()
		running, busy = running+t, busy+b
	}
	return running, busy
}

func (f *Fleet) deregister() {
	if f.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(refreshCalls)
	for _, m := range f.members {
		m.mu.Lock()
		entry := m.entry
		m.mu.Unlock()
		if entry.ID == "" {
			continue
		}
		g.Go(func() error {
			if err := f.list.Deregister(ctx, entry.ID, entry.Incarnation); err != nil {
				f.logger.Warn("a worker cannot remove its entry from the instance list", "worker", entry.ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// Stats returns the counts over all workers.
func (f *Fleet) Stats() Stats {
	s := f.ledger.Stats()
	s.Workers = len(f.members)
	s.Running, s.Busy = f.load()
	return s
}
