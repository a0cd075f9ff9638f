package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/clock"
)

// Drain holds the time limits for the graceful shutdown of a server to which callers still send requests.
type Drain struct {
	// Lead is the minimum time for which the server keeps accepting requests.
	Lead time.Duration
	// Quiet is the time without requests that must pass before connections are closed. A request that arrives while its
	// connection is being closed is lost.
	Quiet time.Duration
	// Limit bounds the time until connections are closed, Finish the time for the requests that are in progress then.
	Limit, Finish time.Duration
}

// drainCheckInterval is the interval at which a draining server checks for the time without requests.
const drainCheckInterval = 20 * time.Millisecond

// ServeDraining serves until ctx ends and then drains. Answers after the end of ctx have the header Connection: close.
// It returns a *StopError if requests are still in progress at the end of the drain.
func ServeDraining(ctx context.Context, s *http.Server, ln net.Listener, d Drain) error {
	tracker := &requestTracker{handler: s.Handler}
	s.Handler = tracker
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(ln) }()
	select {
	case err := <-serveErr:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	tracker.draining.Store(true)
	began := clock.Now()
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	for now := began; now < began+d.Limit &&
		(now < began+d.Lead || now < tracker.lastRequest()+d.Quiet); now = clock.Now() {
		select {
		case err := <-serveErr:
			return errors.WithStack(err)
		case <-t.C:
		}
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), d.Finish)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return &StopError{Part: "HTTP server", Wait: d.Finish}
	}
	return nil
}

// requestTracker records the time of the last request, and closes connections while the server drains.
type requestTracker struct {
	handler  http.Handler
	draining atomic.Bool
	lastAt   atomic.Int64
}

// lastRequest returns the time of the last request by clock.Now, 0 if there was none.
func (t *requestTracker) lastRequest() time.Duration { return time.Duration(t.lastAt.Load()) }

// ServeHTTP implements http.Handler.
func (t *requestTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.lastAt.Store(int64(clock.Now()))
	if t.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	t.handler.ServeHTTP(w, r)
}
