package intake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/eventlog"
)

// settledKept is how long the outcome of an append is kept, so that a refusal of a repetition does not contradict it. No
// caller waits longer than 10 s (maxDeadline in platform/requests.go), and a log that is 66 times slower than usual has stored or dropped after
// 2.8 s what it has received.
const settledKept = 10 * time.Second

// maxNotedKeys limits the keys of which other instances have told: callers of the relay need no certificate.
const maxNotedKeys = 8192

// unsettled holds, for each key, the appends of this instance that are in progress, and those that have lately ended as
// stored or unknown. A repetition that is refused itself gets their outcome: the refusal promises that the submission
// never runs.
type unsettled struct {
	// replaced counts the refusals that got the outcome of an earlier request.
	replaced *prometheus.CounterVec
	mu       sync.Mutex
	keys     map[string]*keyState
	swept    time.Time
}

// keyState requires the mutex of unsettled.
type keyState struct {
	// calls is the number of appends in progress.
	calls int
	// stored is whether an append has succeeded. unknown is whether one may be stored without an answer, or may be later.
	// Both are forgotten at until.
	stored, unknown bool
	until           time.Time
	// ended is closed and replaced at the end of each append.
	ended chan struct{}
}

func newUnsettled(r prometheus.Registerer) *unsettled {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_intake_replaced_refusals_total",
		Help: "Refused submissions and cancellations that got the outcome of an earlier request for them."}, []string{"outcome"})
	r.MustRegister(c)
	return &unsettled{replaced: c, keys: map[string]*keyState{}}
}

// Values of the label outcome.
const (
	outcomeStored  = "stored"
	outcomeUnknown = "unknown"
)

// append stores an entry with log. It returns a refusal only if no other append of the key that this instance knows of
// may be stored, and awaits the end of those in progress for that.
func (u *unsettled) append(ctx context.Context, log Appender, e eventlog.Entry) error {
	s := u.begin(e.Key)
	err := log.Append(ctx, e)
	u.end(s, err)
	if err == nil || isUnknown(err) {
		return err
	}
	for {
		u.mu.Lock()
		stored, unknown, calls, ended := s.stored, s.unknown, s.calls, s.ended
		u.mu.Unlock()
		switch {
		case stored:
			u.replaced.WithLabelValues(outcomeStored).Inc()
			return nil
		case unknown:
			u.replaced.WithLabelValues(outcomeUnknown).Inc()
			return &eventlog.UnknownError{Op: "append", Err: err}
		case calls == 0:
			return err
		}
		select {
		case <-ended:
		case <-ctx.Done():
			u.replaced.WithLabelValues(outcomeUnknown).Inc()
			return &eventlog.UnknownError{Op: "append", Err: err}
		}
	}
}

func isUnknown(err error) bool {
	var unknown *eventlog.UnknownError
	return errors.As(err, &unknown)
}

// state returns the state of a key and creates it if needed. It requires u.mu.
func (u *unsettled) state(key string) *keyState {
	now := time.Now()
	if now.Sub(u.swept) > time.Second {
		u.swept = now
		for k, s := range u.keys {
			if s.calls == 0 && now.After(s.until) {
				delete(u.keys, k)
			}
		}
	}
	s := u.keys[key]
	if s == nil || s.calls == 0 && now.After(s.until) {
		s = &keyState{ended: make(chan struct{})}
		u.keys[key] = s
	}
	return s
}

func (u *unsettled) begin(key string) *keyState {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.state(key)
	s.calls++
	return s
}

func (u *unsettled) end(s *keyState, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s.calls--
	switch {
	case err == nil:
		s.stored, s.until = true, time.Now().Add(settledKept)
	case isUnknown(err):
		s.unknown, s.until = true, time.Now().Add(settledKept)
	}
	close(s.ended)
	s.ended = make(chan struct{})
}

// note notes that other instances do not know the outcome of their entries.
func (u *unsettled) note(keys []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, key := range keys {
		if len(u.keys) >= maxNotedKeys && u.keys[key] == nil {
			continue
		}
		s := u.state(key)
		s.unknown, s.until = true, time.Now().Add(settledKept)
	}
}

// lookUp reports whether an append of a key has been stored, and whether one may be stored or is in progress.
func (u *unsettled) lookUp(key string) (stored, unknown bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.keys[key]
	if s == nil {
		return false, false
	}
	recent := !time.Now().After(s.until)
	return s.stored && recent, s.calls > 0 || s.unknown && recent
}
