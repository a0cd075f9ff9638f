// Package platform is an in-memory stand-in of the platform's log service and instance list, with injectable faults.
// Its types also serve as fakes in the tests of other packages.
package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	api "clementinewalk.example/clementinewalk/internal/platform"
)

// Limits are the rate limit and the retention of a healthy log service. A zero field means unlimited.
type Limits struct {
	// AppendsPerSecond is the rate limit of appends over all streams together.
	AppendsPerSecond float64
	// MaxRecords and MaxAge bound the records that are retained in each stream.
	MaxRecords int
	MaxAge     time.Duration
}

// MaxStreams is the largest number of streams. It keeps a faulty client from exhausting the memory.
const MaxStreams = 10000

// Log is an in-memory log service. It is safe for concurrent use.
type Log struct {
	limits  Limits
	limiter *rate.Limiter
	now     func() time.Time

	mu      sync.Mutex
	faults  LogFaults
	random  *rand.Rand
	streams map[string]*stream
	// faultsChanged is closed and replaced whenever the faults change, which wakes the waiting readers.
	faultsChanged chan struct{}
	stats         LogStats
}

var _ api.Log = (*Log)(nil)

// entry is a record and the time at which it was appended.
type entry struct {
	at   time.Time
	data []byte
}

type stream struct {
	entries []entry
	// oldest is the offset of the first retained record. The offsets of a stream begin at 1.
	oldest uint64
	// appended is closed and replaced at each append.
	appended chan struct{}
	stats    StreamStats
}

// nextOffset returns the offset of the next append.
func (s *stream) nextOffset() uint64 { return s.oldest + uint64(len(s.entries)) }

// NewLog returns an empty log service. seed seeds the random numbers that decide on lost appends and delays.
func NewLog(limits Limits, seed uint64) *Log {
	l := &Log{limits: limits, now: time.Now, random: rand.New(rand.NewPCG(seed, 1)), streams: map[string]*stream{},
		faultsChanged: make(chan struct{})}
	if limits.AppendsPerSecond > 0 {
		burst := max(1, int(limits.AppendsPerSecond/4))
		l.limiter = rate.NewLimiter(rate.Limit(limits.AppendsPerSecond), burst)
	}
	return l
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// Faults returns the current faults.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Append implements platform.Log. It copies the records.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (uint64, error) {
	if name == "" || len(records) == 0 {
		return 0, &ArgumentError{Argument: "append", Detail: "stream and records must not be empty"}
	}
	before, after, err := l.admit(name)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, before); err != nil {
		// As over a network, the client cannot know whether the call took effect.
		return 0, &api.UnavailableError{Op: "append", MayHaveApplied: true, Err: err}
	}
	first, err := l.apply(name, records)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, after); err != nil {
		return 0, &api.UnavailableError{Op: "append", MayHaveApplied: true, Err: err}
	}
	return first, nil
}

// admit rejects an append while the log is down for it or its rate limit is reached. Otherwise it returns the injected
// delay, split into the parts before and after the records are stored.
func (l *Log) admit(name string) (before, after time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.downFor(name, false) {
		l.stats.Failed++
		return 0, 0, &api.UnavailableError{Op: "append", Err: &DownError{Part: "log"}}
	}
	if l.limiter != nil && !l.limiter.Allow() {
		l.stats.RateLimited++
		wait := time.Duration(float64(time.Second) / l.limits.AppendsPerSecond)
		return 0, 0, &api.RateLimitedError{RetryAfter: max(wait, 10*time.Millisecond)}
	}
	if l.faults.DelayMS <= 0 || !l.faults.targets(name) {
		return 0, 0, nil
	}
	delay := time.Duration(l.faults.DelayMS) * time.Millisecond
	before = time.Duration(l.random.Float64() * float64(delay))
	return before, delay - before, nil
}

// apply appends the records unless a fault prevents it, and returns the offset of the first one.
func (l *Log) apply(name string, records [][]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.downFor(name, false) {
		l.stats.Failed++
		return 0, &api.UnavailableError{Op: "append", MayHaveApplied: true, Err: &DownError{Part: "log"}}
	}
	targeted := l.faults.targets(name)
	if targeted && l.faults.LostCallProbability > 0 && l.random.Float64() < l.faults.LostCallProbability {
		l.stats.LostCalls++
		return 0, &api.UnavailableError{Op: "append", MayHaveApplied: true, Err: &LostError{}}
	}
	s, err := l.stream(name)
	if err != nil {
		return 0, err
	}
	first := l.add(s, records)
	if targeted && l.faults.LostAnswerProbability > 0 && l.random.Float64() < l.faults.LostAnswerProbability {
		l.stats.LostAnswers++
		return 0, &api.UnavailableError{Op: "append", MayHaveApplied: true, Err: &LostError{}}
	}
	return first, nil
}

// stream returns the stream with the given name and creates it if it does not exist. It returns *ArgumentError if that
// would exceed MaxStreams.
func (l *Log) stream(name string) (*stream, error) {
	if s := l.streams[name]; s != nil {
		return s, nil
	}
	if len(l.streams) >= MaxStreams {
		return nil, &ArgumentError{Argument: "stream", Detail: "too many streams"}
	}
	s := &stream{oldest: 1, appended: make(chan struct{})}
	l.streams[name] = s
	return s, nil
}

// add appends records to a stream, wakes its waiting readers and returns the offset of the first record.
func (l *Log) add(s *stream, records [][]byte) uint64 {
	first, now := s.nextOffset(), l.now()
	for _, r := range records {
		s.entries = append(s.entries, entry{at: now, data: append([]byte(nil), r...)})
		s.stats.BytesIn += int64(len(r))
	}
	s.stats.Appends++
	s.stats.Records += int64(len(records))
	l.stats.Appends++
	l.expire(s)
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// expire drops the records that exceed the retention limits.
func (l *Log) expire(s *stream) {
	drop := 0
	if l.limits.MaxRecords > 0 {
		drop = max(0, len(s.entries)-l.limits.MaxRecords)
	}
	if l.limits.MaxAge > 0 {
		cutoff := l.now().Add(-l.limits.MaxAge)
		for drop < len(s.entries) && s.entries[drop].at.Before(cutoff) {
			drop++
		}
	}
	s.dropOldest(drop)
}

// dropOldest drops the n oldest records.
func (s *stream) dropOldest(n int) {
	clear(s.entries[:n])
	s.entries = s.entries[n:]
	s.oldest += uint64(n)
}

// Truncate drops the records of a stream below the offset oldest, as the retention limits do.
func (l *Log) Truncate(name string, oldest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.streams[name]; s != nil && oldest > s.oldest {
		s.dropOldest(int(min(oldest, s.nextOffset()) - s.oldest))
	}
}
