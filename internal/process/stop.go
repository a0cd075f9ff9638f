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

// Drain is how a server ends that callers still reach.
type Drain struct {
	// Lead is how long it serves on in any case.
	Lead time.Duration
	// Quiet is how long no request must have come before connections are closed: a connection that is closed in the same moment as a request
	// arrives cuts that request off.
	Quiet time.Duration
	// Limit bounds the time until connections are closed, Finish that for the requests in progress then.
	Limit, Finish time.Duration
}

// drainCheck is how often a server looks whether it is quiet.
const drainCheck = 20 * time.Millisecond

// ServeDraining serves until ctx ends and then drains. From the end of ctx on every answer announces that its connection closes. It returns a
// *StopError if requests were still in progress at the end.
func ServeDraining(ctx context.Context, s *http.Server, ln net.Listener, d Drain) error {
	w := &lastRequest{handler: s.Handler}
	s.Handler = w
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(ln) }()
	select {
	case err := <-failed:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	w.draining.Store(true)
	began := clock.Now()
	t := time.NewTicker(drainCheck)
	defer t.Stop()
	for now := began; now < began+d.Limit && (now < began+d.Lead || now < w.quietSince()+d.Quiet); now = clock.Now() {
		select {
		case err := <-failed:
			return errors.WithStack(err)
		case <-t.C:
		}
	}
	stop, cancel := context.WithTimeout(context.Background(), d.Finish)
	defer cancel()
	if err := s.Shutdown(stop); err != nil {
		return &StopError{Part: "HTTP server", Wait: d.Finish}
	}
	return nil
}

// lastRequest notes when the last request came.
type lastRequest struct {
	handler  http.Handler
	draining atomic.Bool
	at       atomic.Int64
}

func (l *lastRequest) quietSince() time.Duration { return time.Duration(l.at.Load()) }

// ServeHTTP implements http.Handler.
func (l *lastRequest) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.at.Store(int64(clock.Now()))
	if l.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	l.handler.ServeHTTP(w, r)
}
