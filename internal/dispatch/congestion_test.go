package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// The time limits of calls in package platform. That of a lease call does not count the wait that the call asks for.
	linkedTaskCallTimeout  = 250 * time.Millisecond
	linkedLeaseCallTimeout = 600 * time.Millisecond
	linkBytesPerSecond     = 250e3
	linkCallsPerSecond     = 400
	linkLatency            = 2 * time.Millisecond
)

// linkedWorkers are workers that answer every call that they receive. All calls to them leave through one link, in the
// order in which they are made; a call that its caller has given up reaches its worker nevertheless.
type linkedWorkers struct {
	mu sync.Mutex
	// free is when the link is free.
	free    time.Duration
	workers map[string]*linkedWorker
	// unanswered counts the calls that were given up, by their kind.
	unanswered map[string]int
}

// linkedWorker is one of linkedWorkers. Its attempts run until they are stopped or its lease expires.
type linkedWorker struct {
	leaseUntil time.Duration
	running    map[Attempt]struct{}
	// highestRun is the highest run of each task that was started or stopped.
	highestRun map[workflow.TaskID]int
	ends       []End
	lastEnd    int64
	lapsed     int
}

func newLinkedWorkers(n int) *linkedWorkers {
	l := &linkedWorkers{workers: map[string]*linkedWorker{}, unanswered: map[string]int{}}
	for i := range n {
		l.workers[fmt.Sprintf("w%02d", i)] = &linkedWorker{running: map[Attempt]struct{}{},
			highestRun: map[workflow.TaskID]int{}}
	}
	return l
}

func (l *linkedWorkers) decode(id string, _ []byte) (Member, error) {
	return Member{Incarnation: Incarnation{ID: id, StartedAt: 1}, Pool: "pool", Addr: id,
		Capacity: resource.Vector{MilliCores: 64000, MemoryMB: 256000}}, nil
}

// call sends a call through the link and returns the answer of the worker, which delays it by wait.
func (l *linkedWorkers) call(ctx context.Context, kind string, m Member, timeout, wait time.Duration,
	receive func(*linkedWorker) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	l.mu.Lock()
	now := clock.Now()
	l.free = max(l.free, now) + time.Second/linkCallsPerSecond
	sent := l.free - now
	l.mu.Unlock()
	answer := make(chan error, 1)
	time.AfterFunc(sent+linkLatency, func() {
		l.mu.Lock()
		w := l.workers[m.ID]
		w.expireLease()
		err := receive(w)
		l.mu.Unlock()
		time.AfterFunc(wait+linkLatency, func() { answer <- err })
	})
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unanswered[kind]++
		return &NoAnswerError{Err: ctx.Err()}
	}
}

func (w *linkedWorker) expireLease() {
	if clock.Now() < w.leaseUntil {
		return
	}
	for a := range w.running {
		w.end(a, EndLapsed)
		w.lapsed++
	}
}

func (w *linkedWorker) end(a Attempt, o Outcome) {
	delete(w.running, a)
	w.lastEnd++
	w.ends = append(w.ends, End{Number: w.lastEnd, Attempt: a, Outcome: o})
}

func linkedAnswer() CallAnswer { return CallAnswer{StartedAt: 1, Clock: clock.Now()} }

// Start implements Workers.
func (l *linkedWorkers) Start(ctx context.Context, m Member, c StartCall) (CallAnswer, error) {
	err := l.call(ctx, "start", m, linkedTaskCallTimeout, 0, func(w *linkedWorker) error {
		_, runs := w.running[c.Attempt]
		switch {
		case c.Deadline <= clock.Now():
			return &RefusedError{Reason: ReasonDeadlinePassed, Answer: linkedAnswer()}
		case !runs && c.Run <= w.highestRun[c.Task]:
			return &RefusedError{Reason: ReasonStaleAttempt, Answer: linkedAnswer()}
		}
		w.leaseUntil, w.highestRun[c.Task] = max(w.leaseUntil, c.Deadline), c.Run
		w.running[c.Attempt] = struct{}{}
		return nil
	})
	return linkedAnswer(), err
}

// Stop implements Workers.
func (l *linkedWorkers) Stop(ctx context.Context, m Member, c StopCall) (CallAnswer, error) {
	err := l.call(ctx, "stop", m, linkedTaskCallTimeout, 0, func(w *linkedWorker) error {
		w.highestRun[c.Task] = max(w.highestRun[c.Task], c.Run)
		if _, runs := w.running[c.Attempt]; runs {
			w.end(c.Attempt, EndStopped)
		}
		return nil
	})
	return linkedAnswer(), err
}

// LimitCPU implements Workers.
func (l *linkedWorkers) LimitCPU(ctx context.Context, m Member, _ CPULimitCall) (CallAnswer, error) {
	err := l.call(ctx, "limit", m, linkedTaskCallTimeout, 0, func(*linkedWorker) error { return nil })
	return linkedAnswer(), err
}

// Renew implements Workers.
func (l *linkedWorkers) Renew(ctx context.Context, m Member, c LeaseCall) (LeaseAnswer, error) {
	err := l.call(ctx, "lease", m, linkedLeaseCallTimeout, c.Wait, func(w *linkedWorker) error {
		w.leaseUntil = max(w.leaseUntil, c.ExpiresAt)
		for len(w.ends) > 0 && w.ends[0].Number <= c.LastStoredEnd {
			w.ends = w.ends[1:]
		}
		return nil
	})
	if err != nil {
		return LeaseAnswer{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workers[m.ID]
	w.expireLease()
	a := LeaseAnswer{StartedAt: 1, Clock: clock.Now(), Ends: append([]End(nil), w.ends...)}
	for attempt := range w.running {
		a.Running = append(a.Running, Running{Attempt: attempt})
	}
	return a, nil
}

// countStarted returns the number of tasks that the workers have started.
func (l *linkedWorkers) countStarted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	started := map[workflow.TaskID]struct{}{}
	for _, w := range l.workers {
		for id := range w.highestRun {
			started[id] = struct{}{}
		}
	}
	return len(started)
}

// countLapsed returns the number of attempts that ended because their worker's lease expired.
func (l *linkedWorkers) countLapsed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, w := range l.workers {
		w.expireLease()
		n += w.lapsed
	}
	return n
}

// startLinkedOwner runs an owner of the workers until the end of the test.
func startLinkedOwner(t *testing.T, log *memlog.Log, l *linkedWorkers) {
	t.Helper()
	limited := NewLimitedWorkers(l, linkBytesPerSecond)
	ctx, cancel := context.WithCancel(context.Background())
	cat, config := catalog.New(discardLogger()), &queue.Current{}
	config.Advance(testConfig())
	var o *Owner
	pace := eventlog.PollIntervals{Wait: 200 * time.Millisecond, Pause: 5 * time.Millisecond}
	submissions := eventlog.NewFollower(log, "submissions", pace, discardLogger(),
		func(b eventlog.Batch) { o.SubmissionsChanged(cat.ApplySubmissions(b)) })
	progress := eventlog.NewFollower(log, "progress", pace, discardLogger(),
		func(b eventlog.Batch) { o.ProgressRead(b, cat.ApplyProgress(b.Entries)) })
	o = NewOwner(Settings{Instance: "a", Cores: 1000, LinkBytesPerSecond: linkBytesPerSecond, ProgressTopic: "progress", TasksTopic: "tasks",
		WorkersTopic: "workers", SubmissionsTopic: "submissions", Retention: time.Hour,
		Params: Params{Lease: 5 * time.Second, Isolation: 5 * time.Second}}, log, limited, nil, l.decode, config, cat,
		Views{Submissions: submissions, Progress: progress}, func(bool) {}, discardLogger())
	closures := followClosures(log, pace, func() *Owner { return o })
	var running sync.WaitGroup
	for _, run := range []func(context.Context){submissions.Run, progress.Run, closures.Run, o.Run} {
		running.Go(func() { run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
}

func appendSubmission(t *testing.T, log *memlog.Log, id workflow.JobID, s workflow.Step) {
	t.Helper()
	e, err := catalog.SubmissionEntry(&workflow.Submission{Job: id, Steps: []workflow.Step{s},
		Terms: testConfig().Queues[0].Terms, Accepted: time.Now()})
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "submissions", nil, []eventlog.Entry{e})
	require.NoError(t, err)
}

// recordedSilent returns the workers that any record in the log lists as silent.
func recordedSilent(t *testing.T, log *memlog.Log) map[string]struct{} {
	t.Helper()
	page, err := log.Read(context.Background(), "progress", 0, 0)
	require.NoError(t, err)
	silent, cat := map[string]struct{}{}, catalog.New(discardLogger())
	for _, e := range page.Entries {
		cat.ApplyProgress([]eventlog.Entry{e})
		for w := range cat.SilentLeases() {
			silent[w.ID] = struct{}{}
		}
	}
	return silent
}

// Guards against starts, stops and their retries that leave no room for lease calls in the owner's own link.
func TestBurstOfSubmissionsKeepsLeases(t *testing.T) {
	const (
		workers     = 60
		burst       = time.Second
		submissions = 80
		tasks       = 10
		// observed is how long the leases are watched after the burst.
		observed = 6 * time.Second
	)
	log, l := memlog.New(), newLinkedWorkers(workers)
	var members []eventlog.Entry
	for id := range l.workers {
		members = append(members, eventlog.Entry{Key: id, Value: []byte("{}")})
	}
	_, err := log.Append(context.Background(), "workers", nil, members)
	require.NoError(t, err)
	startLinkedOwner(t, log, l)
	service := serviceStep(workers)
	service.MaxPerWorker = 1
	appendSubmission(t, log, "0000000000000001", service)
	eventually(t, "a task on each worker", func() bool { return l.countStarted() == workers })

	for i := range submissions {
		appendSubmission(t, log, workflow.JobID(fmt.Sprintf("%016x", 2+i)), batchStep(tasks, time.Hour))
		time.Sleep(burst / submissions)
	}
	time.Sleep(observed)

	assert.Equal(t, workers+submissions*tasks, l.countStarted(), "tasks started")
	assert.Zero(t, l.countLapsed(), "attempts that lapsed")
	assert.Empty(t, recordedSilent(t, log), "workers recorded as silent")
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("calls without an answer: %v", l.unanswered)
}
