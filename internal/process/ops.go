package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/negroni/v3"

	"clementinewalk.example/clementinewalk/internal/invariant"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	// maxMetricsRequests limits the requests for metrics in progress. Each takes several hundred kilobytes until its
	// client has read the response.
	maxMetricsRequests = 16
)

// Health holds the readiness that /readyz reports. It is not ready until SetReady(true) is called.
type Health struct {
	ready atomic.Bool
}

// SetReady sets whether the process accepts new work.
func (h *Health) SetReady(ready bool) { h.ready.Store(ready) }

// Ready reports whether the process accepts new work.
func (h *Health) Ready() bool { return h.ready.Load() }

// NewRegistry returns a metrics registry with the collectors that all programs export.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		invariant.Violations)
	return r
}

// HandleOps registers /metrics, /healthz and /readyz on mux. /healthz always answers 200; /readyz answers 503 while the
// process is not ready.
func HandleOps(mux *http.ServeMux, h *Health, r *prometheus.Registry) {
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// NewHTTPServer returns a server with the time-outs and limits that all HTTP endpoints share. readTimeout bounds the
// time in which a caller must send the whole request, so that slow senders do not occupy connections.
func NewHTTPServer(h http.Handler, readTimeout time.Duration) *http.Server {
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(h)
	return &http.Server{Handler: n, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		MaxHeaderBytes: maxHeaderBytes}
}

// ServeHTTP serves until ctx ends and then waits for the requests in progress, for at most wait. It returns a
// *StopError if some have not ended by then.
func ServeHTTP(ctx context.Context, s *http.Server, ln net.Listener, wait time.Duration) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(ln) }()
	select {
	case err := <-serveErr:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return &StopError{Component: "HTTP server", Wait: wait}
	}
	return nil
}
