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
	// MinDrain is the minimum time for which the server keeps accepting requests.
	MinDrain time.Duration
	// QuietPeriod is the time without requests that must pass before connections are closed. A request that arrives
	// while its connection is being closed is lost.
	QuietPeriod time.Duration
	// MaxDrain is the maximum time before connections are closed. ShutdownTimeout is the maximum time after that for
	// the requests still in progress.
	MaxDrain, ShutdownTimeout time.Duration
}

// drainCheckInterval is the interval at which a draining server checks for the time without requests.
const drainCheckInterval = 20 * time.Millisecond

// ServeUntilDrained serves until ctx ends and then drains. While draining, answers have the header Connection: close.
// It returns a *StopError if requests are still in progress ShutdownTimeout after connections were closed.
func ServeUntilDrained(ctx context.Context, s *http.Server, ln net.Listener, d Drain) error {
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
	for now := began; now < began+d.MaxDrain &&
		(now < began+d.MinDrain || now < tracker.lastRequest()+d.QuietPeriod); now = clock.Now() {
		select {
		case err := <-serveErr:
			return errors.WithStack(err)
		case <-t.C:
		}
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), d.ShutdownTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return &StopError{Component: "HTTP server", Wait: d.ShutdownTimeout}
	}
	return nil
}

// requestTracker records the time of the last request. While the server drains, it adds Connection: close to answers.
type requestTracker struct {
	handler       http.Handler
	draining      atomic.Bool
	lastRequestAt atomic.Int64
}

// lastRequest returns the time of the last request by clock.Now, 0 if there was none.
func (t *requestTracker) lastRequest() time.Duration { return time.Duration(t.lastRequestAt.Load()) }

// ServeHTTP implements http.Handler.
func (t *requestTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.lastRequestAt.Store(int64(clock.Now()))
	if t.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	t.handler.ServeHTTP(w, r)
}
