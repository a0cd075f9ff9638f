package worker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	maxControlBody    = 1 << 20
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is long, so that an idle connection is rarely closed while a caller sends on it.
	idleTimeout = 10 * time.Minute
)

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		rw.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if !w.await(r) {
		hangUp(rw)
		return
	}
	switch r.URL.Path {
	case upstream.PathLease:
		control(w, rw, r, w.leaseCall)
	case upstream.PathStart:
		control(w, rw, r, w.startCall)
	case upstream.PathStop:
		control(w, rw, r, w.stopCall)
	case upstream.PathThrottle:
		control(w, rw, r, w.throttleCall)
	case upstream.PathCheckpoint:
		control(w, rw, r, w.checkpointCall)
	case upstream.PathExecute:
		w.execute(rw, r)
	case upstream.PathCancel:
		control(w, rw, r, w.cancelCall)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// await blocks while the worker is frozen. It returns false if the caller went away.
func (w *Worker) await(r *http.Request) bool {
	for {
		w.mu.Lock()
		thawed, frozen := w.thawed, w.faults.Frozen
		w.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-thawed:
		case <-r.Context().Done():
			return false
		}
	}
}

// control decodes a call, carries it out and answers.
func control[In, Out any](w *Worker, rw http.ResponseWriter, r *http.Request, f func(time.Time, In) Out) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxControlBody))
	var in In
	if err != nil || json.Unmarshal(data, &in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	out, ok := apply(w, in, f)
	// The worker can freeze between the effect and the answer.
	if !ok || !w.await(r) {
		hangUp(rw)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	// A caller that went away gets no answer.
	_ = json.NewEncoder(rw).Encode(out)
}

func apply[In, Out any](w *Worker, in In, f func(time.Time, In) Out) (out Out, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return out, false
	}
	now := w.now()
	w.advance(now)
	out = f(now, in)
	w.arm(now)
	return out, true
}

func hangUp(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = conn.Close()
}

// connMark follows one connection. A connection counts once it has carried a request to execute.
type connMark struct {
	worker *Worker
	mu     sync.Mutex
	life   *life
}

type connKey struct{}

func connOf(r *http.Request) *connMark {
	m, _ := r.Context().Value(connKey{}).(*connMark)
	return m
}

// carry counts the connection. It returns false if the limit is reached. The caller holds the worker's lock.
func (m *connMark) carry(lf *life, limit int) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == lf {
		return true
	}
	if lf.conns >= limit {
		return false
	}
	m.life = lf
	lf.conns++
	return true
}

func (m *connMark) closed() {
	m.worker.mu.Lock()
	defer m.worker.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != nil {
		m.life.conns--
		m.life = nil
	}
}

// newServer returns an HTTP server of the worker that follows its connections.
func (w *Worker) newServer() *http.Server {
	var marks sync.Map
	return &http.Server{
		Handler: w, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			m := &connMark{worker: w}
			marks.Store(c, m)
			return context.WithValue(ctx, connKey{}, m)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s != http.StateClosed && s != http.StateHijacked {
				return
			}
			if m, ok := marks.LoadAndDelete(c); ok {
				m.(*connMark).closed()
			}
		},
	}
}
