package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/relay"
)

const (
	// answerSlack is how long an answer may take beyond the time limit of the call at the agent.
	answerSlack = 600 * time.Millisecond
	// turnSlack is how much longer a call about a task may take, which waits for its turn at the agent.
	turnSlack = time.Second
)

// result is the outcome of a call.
type result struct {
	answer dispatch.CallAnswer
	lease  dispatch.LeaseAnswer
	err    error
}

// call is a call that waits to be sent. Exactly one of the pointers is set.
type call struct {
	number uint64
	member dispatch.Member
	start  *dispatch.StartCall
	stop   *dispatch.StopCall
	limit  *dispatch.CPULimitCall
	lease  *dispatch.LeaseCall
	// mayCall is asked when the call is written.
	mayCall func() bool
}

// session is the owner's end of a session with an agent.
type session struct {
	instance string
	stream   relay.Stream
	calls    *sender[call]
	mu       sync.Mutex
	last     uint64
	pending  map[uint64]chan result
	// done is closed when the session has ended; err is the cause.
	done chan struct{}
	err  error
	// The following fields are used by the goroutine that encodes, and lists by the one that reads.
	workers map[workerKey]int
	specs   *specs
	lists   lists
	// openedAt is when the session was opened, usedAt when workers were last assigned to it. Both are guarded by the pool.
	openedAt, usedAt time.Duration
	// heardAt is when the newest frame of the agent arrived, and heardAnyAt that of any agent.
	heardAt    atomic.Int64
	heardAnyAt *atomic.Int64
}

type workerKey struct {
	dispatch.Incarnation
	addr string
}

// newSession returns a session over a stream; run serves it.
// heardAnyAt is shared by all sessions of the instance.
func newSession(instance string, s relay.Stream, linkBytesPerSecond float64, heardAnyAt *atomic.Int64) *session {
	out := &session{instance: instance, stream: s, pending: map[uint64]chan result{}, done: make(chan struct{}), heardAnyAt: heardAnyAt,
		workers: map[workerKey]int{}, specs: newSpecs(), lists: lists{}}
	out.calls = newSender(s, delayFor(linkBytesPerSecond), out.encode)
	return out
}

// run serves the session until it ends.
func (s *session) run() {
	go func() {
		if err := s.calls.run(s.done); err != nil {
			s.end(err)
		}
	}()
	for {
		var f answerFrame
		if err := readFrame(s.stream, &f); err != nil {
			s.end(err)
			return
		}
		now := int64(clock.Now())
		s.heardAt.Store(now)
		s.heardAnyAt.Store(now)
		if err := s.deliver(&f); err != nil {
			s.end(err)
			return
		}
	}
}

// end ends the session. Calls without an answer fail.
func (s *session) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	close(s.done)
	_ = s.stream.Close()
}

func (s *session) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// idle reports whether no call waits for an answer.
func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) == 0
}

// do sends a call whose time limit at the agent is limit, and waits for its outcome.
func (s *session) do(ctx context.Context, c call, limit time.Duration) result {
	answered, sent := make(chan result, 1), int64(clock.Now())
	s.mu.Lock()
	s.last++
	c.number, c.mayCall = s.last, func() bool { return dispatch.MayCall(ctx) }
	s.pending[c.number] = answered
	s.mu.Unlock()
	s.calls.add(c, c.lease != nil)
	limit += answerSlack
	if c.lease == nil {
		limit += turnSlack
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var err error
	select {
	case r := <-answered:
		return r
	case <-s.done:
		err = s.err
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = context.DeadlineExceeded
		// If no agent was heard from, this instance is slow itself, and another session would fare no better.
		if s.heardAt.Load() < sent && s.heardAnyAt.Load() > sent+int64(limit-answerSlack) {
			s.end(err)
		}
	}
	s.mu.Lock()
	delete(s.pending, c.number)
	s.mu.Unlock()
	return result{err: &dispatch.NoAnswerError{Err: &LostError{Instance: s.instance, Err: err}}}
}

func (s *session) encode(batch []call) ([]byte, error) {
	var f callFrame
	for i := range batch {
		c := &batch[i]
		if !s.awaits(c.number) || !c.mayCall() {
			continue
		}
		key := workerKey{c.member.Incarnation, c.member.Addr}
		worker, ok := s.workers[key]
		if !ok {
			worker = len(s.workers)
			s.workers[key] = worker
			f.Workers = append(f.Workers, workerMessage{Number: worker, ID: key.ID, Addr: key.addr, StartedAt: key.StartedAt})
		}
		if c.lease != nil {
			f.Leases = append(f.Leases, leaseMessage{Call: c.number, Worker: worker, Epoch: c.lease.Epoch,
				ExpiresMillis: c.lease.ExpiresAt.Milliseconds(), LastStoredEnd: c.lease.LastStoredEnd,
				WaitMillis: c.lease.Wait.Milliseconds()})
			continue
		}
		f.Tasks = append(f.Tasks, s.taskMessage(c, worker))
	}
	return encodeFrame(&f)
}

func (s *session) taskMessage(c *call, worker int) taskMessage {
	m := taskMessage{Call: c.number, Worker: worker}
	switch {
	case c.start != nil:
		m.Operation, m.Attempt, m.Epoch = opStart, newAttemptMessage(c.start.Attempt), c.start.Epoch
		job := c.start.Task.Job
		m.Start = &startMessage{SpecKnown: s.specs.has(job), Checkpoint: c.start.Checkpoint, Ticket: c.start.Ticket,
			DeadlineMillis: c.start.Deadline.Milliseconds()}
		if !m.Start.SpecKnown {
			m.Start.Spec = c.start.Spec
			s.specs.add(job, "")
		}
	case c.stop != nil:
		m.Operation, m.Attempt, m.Epoch = opStop, newAttemptMessage(c.stop.Attempt), c.stop.Epoch
	default:
		m.Operation, m.Attempt, m.Epoch = opLimitCPU, newAttemptMessage(c.limit.Attempt), c.limit.Epoch
		m.Percent = c.limit.Percent
	}
	return m
}

func (s *session) deliver(f *answerFrame) error {
	for i := range f.Tasks {
		m := &f.Tasks[i]
		s.answer(m.Call, result{answer: m.answer(), err: m.err()})
	}
	for i := range f.Leases {
		m := &f.Leases[i]
		if err := m.Outcome.err(); err != nil {
			s.answer(m.Outcome.Call, result{err: err})
			continue
		}
		running, err := s.lists.decode(m.Worker, m.Running)
		if err != nil {
			return err
		}
		a := dispatch.LeaseAnswer{StartedAt: m.Outcome.StartedAt, Clock: millis(m.Outcome.ClockMillis), Running: running,
			MoreEnds: m.MoreEnds, OnlyLook: m.OnlyLook}
		for k := range m.Ends {
			e := &m.Ends[k]
			a.Ends = append(a.Ends, dispatch.End{Number: e.Number, Attempt: e.Attempt.attempt(), Outcome: e.Outcome,
				Checkpoint: e.Checkpoint})
		}
		s.answer(m.Outcome.Call, result{lease: a})
	}
	return nil
}

// awaits reports whether the outcome of a call is still awaited.
func (s *session) awaits(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.pending[number]
	return ok
}

// answer passes an outcome on, unless its call has been given up.
func (s *session) answer(number uint64, r result) {
	s.mu.Lock()
	c := s.pending[number]
	delete(s.pending, number)
	s.mu.Unlock()
	if c != nil {
		c <- r
	}
}
