// Package memlog is an in-memory stand-in of the platform's log store: keyed topics with idempotent, epoch-fenced
// producers and faults that can be injected.
package memlog

import (
	"context"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/eventlog"
)

// Faults are the faults that the log injects. The zero value is a healthy log.
type Faults struct {
	// Topic limits LoseAnswers, DelayedAppends and rejections to one topic; they apply to all if it is empty.
	Topic string
	// Down refuses every call; a refused call has no effect.
	Down bool
	// LoseAnswers is the number of appends that take effect but whose answer is lost. It counts down to 0.
	LoseAnswers int
	// DelayedAppends is the number of appends that take effect after Delay and whose answer is lost. It counts down to
	// 0 and takes precedence over Down.
	DelayedAppends int
	Delay          time.Duration
	// MaxRecordBytes makes the log reject each append with a longer record; 0 for no limit. RejectAll makes it reject all
	// appends.
	MaxRecordBytes int
	RejectAll      bool
}

func (f *Faults) rejects(entries []eventlog.Entry) bool {
	return f.RejectAll || (eventlog.Limits{RecordBytes: f.MaxRecordBytes}).Check(entries...) != nil
}

// Log is an in-memory eventlog.Log. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	topics  map[string]*topic
	faults  Faults
	appends int
	// appended is closed and replaced at each append to any topic.
	appended chan struct{}
}

type topic struct {
	// entries holds all entries ever appended; the index is the offset.
	entries []eventlog.Entry
	// oldest is the lowest offset that Read serves.
	oldest int64
	// producers holds the state of each producer by name.
	producers map[string]producerState
}

type producerState struct {
	epoch int64
	// recent holds the sequence numbers of the newest appends, oldest first; offsets holds the offset of each of them.
	recent       []int64
	lastSequence int64
	offsets      map[int64]int64
}

// retainedAppends is the number of a producer's newest appends for which a repeat is recognised and answered with the
// offset of the first copy.
const retainedAppends = 5

var _ eventlog.Log = (*Log)(nil)

// New returns an empty log.
func New() *Log { return &Log{topics: map[string]*topic{}, appended: make(chan struct{})} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of appends that took effect. A repeated append counts once.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim moves the oldest offset that Read serves to the end of a topic. Newest still returns the newest entry of each
// key.
func (l *Log) Trim(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.oldest = t.end()
}

// topic returns a topic and creates it if it does not exist. It requires l.mu.
func (l *Log) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{producers: map[string]producerState{}}
		l.topics[name] = t
	}
	return t
}

// end returns the offset of the next append.
func (t *topic) end() int64 { return int64(len(t.entries)) }

// Append implements eventlog.Log. A nil producer appends without a check of epoch and sequence.
func (l *Log) Append(
	ctx context.Context, name string, p *eventlog.Producer, entries []eventlog.Entry,
) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	targeted := l.faults.Topic == "" || l.faults.Topic == name
	noAnswer := &eventlog.UnknownError{Op: "append", Err: context.DeadlineExceeded}
	switch {
	case ctx.Err() != nil:
		return 0, &eventlog.RefusedError{Op: "append"}
	case l.faults.Down && (l.faults.DelayedAppends == 0 || !targeted):
		return 0, &eventlog.RefusedError{Op: "append", Status: 503}
	case targeted && l.faults.rejects(entries):
		return 0, &eventlog.RejectedError{Status: 400}
	case l.faults.DelayedAppends > 0 && targeted:
		l.faults.DelayedAppends--
		time.AfterFunc(l.faults.Delay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			// The caller has already received an error, so the outcome is dropped.
			_, _ = l.append(name, p, entries)
		})
		return 0, noAnswer
	case l.faults.LoseAnswers > 0 && targeted:
		l.faults.LoseAnswers--
		if _, err := l.append(name, p, entries); err != nil {
			return 0, err
		}
		return 0, noAnswer
	}
	return l.append(name, p, entries)
}

// append applies an append. It refuses an older epoch and a gap in the sequence of the producer, and answers a repeated
// append with the offset of the first copy. It requires l.mu.
func (l *Log) append(name string, p *eventlog.Producer, entries []eventlog.Entry) (int64, error) {
	t := l.topic(name)
	if p != nil {
		state, ok := t.producers[p.Name]
		switch {
		case ok && p.Epoch < state.epoch:
			return 0, &eventlog.FencedError{Epoch: p.Epoch}
		case ok && p.Epoch == state.epoch:
			if offset, duplicate := state.offsets[p.Sequence]; duplicate {
				return offset, nil
			}
			if p.Sequence != state.lastSequence+1 {
				return 0, &eventlog.SequenceError{Sent: p.Sequence}
			}
		default:
			state = producerState{epoch: p.Epoch, offsets: map[int64]int64{}}
		}
		state.lastSequence = p.Sequence
		state.offsets[p.Sequence] = t.end()
		state.recent = append(state.recent, p.Sequence)
		if len(state.recent) > retainedAppends {
			delete(state.offsets, state.recent[0])
			state.recent = state.recent[1:]
		}
		t.producers[p.Name] = state
	}
	offset := t.end()
	for i, e := range entries {
		e.Offset = offset + int64(i)
		t.entries = append(t.entries, e)
	}
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	return offset, nil
}

// Read implements eventlog.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (eventlog.Page, error) {
	waitCtx, stopWaiting := context.WithTimeout(ctx, wait)
	defer stopWaiting()
	for {
		l.mu.Lock()
		t := l.topic(name)
		switch {
		case l.faults.Down:
			l.mu.Unlock()
			return eventlog.Page{}, &eventlog.RefusedError{Op: "read", Status: 503}
		case from < t.oldest:
			l.mu.Unlock()
			return eventlog.Page{}, &eventlog.TrimmedError{From: from}
		}
		p := eventlog.Page{End: t.end()}
		if from < t.end() {
			p.Entries = append(p.Entries, t.entries[from:]...)
		}
		appended := l.appended
		l.mu.Unlock()
		if len(p.Entries) > 0 {
			return p, nil
		}
		select {
		case <-waitCtx.Done():
			if ctx.Err() != nil {
				return eventlog.Page{}, &eventlog.UnknownError{Op: "read", Err: ctx.Err()}
			}
			return p, nil
		case <-appended:
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
