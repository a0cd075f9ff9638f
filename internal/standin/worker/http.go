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
	maxControlBodyBytes = 1 << 20
	readHeaderTimeout   = 5 * time.Second
	// idleTimeout is long, so that the worker rarely closes an idle connection on which a caller is sending a request.
	idleTimeout = 10 * time.Minute
)

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		rw.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if !w.waitWhileFrozen(r) {
		closeConnection(rw)
		return
	}
	switch r.URL.Path {
	case upstream.PathLease:
		serveControl(w, rw, r, w.leaseCall)
	case upstream.PathStart:
		serveControl(w, rw, r, w.startCall)
	case upstream.PathStop:
		serveControl(w, rw, r, w.stopCall)
	case upstream.PathThrottle:
		serveControl(w, rw, r, w.throttleCall)
	case upstream.PathCheckpoint:
		serveControl(w, rw, r, w.checkpointCall)
	case upstream.PathExecute:
		w.execute(rw, r)
	case upstream.PathCancel:
		serveControl(w, rw, r, w.cancelCall)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// waitWhileFrozen blocks while the worker is frozen. It returns false if the caller closes the connection meanwhile.
func (w *Worker) waitWhileFrozen(r *http.Request) bool {
	for {
		w.mu.Lock()
		unfrozen, frozen := w.unfrozen, w.faults.Frozen
		w.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			return false
		}
	}
}

// serveControl decodes a control call, applies f to it and sends the reply.
func serveControl[In, Out any](w *Worker, rw http.ResponseWriter, r *http.Request, f func(time.Time, In) Out) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxControlBodyBytes))
	var in In
	if err != nil || json.Unmarshal(data, &in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	out, ok := apply(w, in, f)
	// The worker can be frozen after the call took effect and before the answer is sent.
	if !ok || !w.waitWhileFrozen(r) {
		closeConnection(rw)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has closed the connection.
	_ = json.NewEncoder(rw).Encode(out)
}

// apply calls f under the worker's lock with the state updated to the present. ok is false if the worker is dead.
func apply[In, Out any](w *Worker, in In, f func(time.Time, In) Out) (out Out, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bootState == nil {
		return out, false
	}
	now := w.now()
	w.advance(now)
	out = f(now, in)
	w.armTimer(now)
	return out, true
}

// closeConnection closes the connection without an answer, or answers with status 503 if it cannot be hijacked.
func closeConnection(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = conn.Close()
}

// trackedConn is the accounting of one connection. A connection counts towards the limit of the worker from the first
// request to execute that it carries until it is closed.
type trackedConn struct {
	worker    *Worker
	mu        sync.Mutex
	bootState *bootState
}

// connKey is the key of the *trackedConn in the context of a connection.
type connKey struct{}

// trackedConnOf returns the connection of a request, or nil if the server does not track connections.
func trackedConnOf(r *http.Request) *trackedConn {
	tc, _ := r.Context().Value(connKey{}).(*trackedConn)
	return tc
}

// acquire counts the connection once per boot. It returns false if the limit is reached. The calling function must hold
// the worker's lock.
func (tc *trackedConn) acquire(bs *bootState, limit int) bool {
	if tc == nil {
		return true
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.bootState == bs {
		return true
	}
	if bs.openConns >= limit {
		return false
	}
	tc.bootState = bs
	bs.openConns++
	return true
}

// release is called when the connection is closed.
func (tc *trackedConn) release() {
	tc.worker.mu.Lock()
	defer tc.worker.mu.Unlock()
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.bootState != nil {
		tc.bootState.openConns--
		tc.bootState = nil
	}
}

// newServer returns an HTTP server of the worker that tracks its connections.
func (w *Worker) newServer() *http.Server {
	var conns sync.Map
	return &http.Server{
		Handler: w, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			tc := &trackedConn{worker: w}
			conns.Store(c, tc)
			return context.WithValue(ctx, connKey{}, tc)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s != http.StateClosed && s != http.StateHijacked {
				return
			}
			if tc, ok := conns.LoadAndDelete(c); ok {
				tc.(*trackedConn).release()
			}
		},
	}
}
