// Package memlog stands in for the platform's store: keyed logs in memory, with the faults that the store may have.
package memlog

import (
	"context"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/eventlog"
)

// Faults are what a log may do to its callers.
type Faults struct {
	// Down refuses every call without doing anything.
	Down bool
	// LoseAnswers is how many appends are carried out and not answered.
	LoseAnswers int
	// Late is how many appends are carried out after Delay and not answered, before Down refuses the next.
	Late  int
	Delay time.Duration
}

// Log is the stand-in. Its methods may be called from any goroutine.
type Log struct {
	mu      sync.Mutex
	topics  map[string]*topic
	faults  Faults
	appends int
	changed chan struct{}
}

type topic struct {
	entries   []eventlog.Entry
	first     int64
	producers map[string]producer
}

type producer struct {
	epoch    int64
	recent   []int64
	sequence int64
	offsets  map[int64]int64
}

// repeats is how many of a producer's last appends may be repeated.
const repeats = 5

var _ eventlog.Log = (*Log)(nil)

// New returns an empty log.
func New() *Log { return &Log{topics: map[string]*topic{}, changed: make(chan struct{})} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns how many appends were carried out.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim forgets the history of a topic; the newest entry of each key stays.
func (l *Log) Trim(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first = t.end()
}

func (l *Log) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{producers: map[string]producer{}}
		l.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return int64(len(t.entries)) }

// Append implements eventlog.Log.
func (l *Log) Append(ctx context.Context, name string, p *eventlog.Producer, entries []eventlog.Entry) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := &eventlog.UnknownError{Op: "append", Err: context.DeadlineExceeded}
	switch {
	case ctx.Err() != nil:
		return 0, &eventlog.RefusedError{Op: "append"}
	case l.faults.Down && l.faults.Late == 0:
		return 0, &eventlog.RefusedError{Op: "append", Status: 503}
	case l.faults.Late > 0:
		l.faults.Late--
		time.AfterFunc(l.faults.Delay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			// Nobody waits for the outcome any more.
			_, _ = l.append(name, p, entries)
		})
		return 0, lost
	case l.faults.LoseAnswers > 0:
		l.faults.LoseAnswers--
		if _, err := l.append(name, p, entries); err != nil {
			return 0, err
		}
		return 0, lost
	}
	return l.append(name, p, entries)
}

func (l *Log) append(name string, p *eventlog.Producer, entries []eventlog.Entry) (int64, error) {
	t := l.topic(name)
	if p != nil {
		known, ok := t.producers[p.Name]
		switch {
		case ok && p.Epoch < known.epoch:
			return 0, &eventlog.FencedError{Epoch: p.Epoch}
		case ok && p.Epoch == known.epoch:
			if offset, repeated := known.offsets[p.Sequence]; repeated {
				return offset, nil
			}
			if p.Sequence != known.sequence+1 {
				return 0, &eventlog.SequenceError{Sent: p.Sequence}
			}
		default:
			known = producer{epoch: p.Epoch, offsets: map[int64]int64{}}
		}
		known.sequence = p.Sequence
		known.offsets[p.Sequence] = t.end()
		known.recent = append(known.recent, p.Sequence)
		if len(known.recent) > repeats {
			delete(known.offsets, known.recent[0])
			known.recent = known.recent[1:]
		}
		t.producers[p.Name] = known
	}
	offset := t.end()
	for i, e := range entries {
		e.Offset = offset + int64(i)
		t.entries = append(t.entries, e)
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

// Read implements eventlog.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (eventlog.Page, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		t := l.topic(name)
		switch {
		case l.faults.Down:
			l.mu.Unlock()
			return eventlog.Page{}, &eventlog.RefusedError{Op: "read", Status: 503}
		case from < t.first:
			l.mu.Unlock()
			return eventlog.Page{}, &eventlog.TrimmedError{From: from}
		}
		p := eventlog.Page{End: t.end()}
		if from < t.end() {
			p.Entries = append(p.Entries, t.entries[from:]...)
		}
		changed := l.changed
		l.mu.Unlock()
		if len(p.Entries) > 0 {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return eventlog.Page{}, &eventlog.UnknownError{Op: "read", Err: ctx.Err()}
		case <-timeout:
			return p, nil
		case <-changed:
		}
	}
}

// Newest implements eventlog.Log.
func (l *Log) Newest(_ context.Context, name string) (eventlog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return eventlog.Page{}, &eventlog.RefusedError{Op: "newest", Status: 503}
	}
	t := l.topic(name)
	p := eventlog.Page{End: t.end()}
	newest := map[string]int{}
	for i, e := range t.entries {
		newest[e.Key] = i
	}
	for i, e := range t.entries {
		if newest[e.Key] == i && e.Value != nil {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, nil
}
