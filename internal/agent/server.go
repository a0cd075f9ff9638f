package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/relay"
)

// maxSessionCalls limits the calls of one session that are in progress. Beyond it, the agent reads no further frame.
const maxSessionCalls = 4096

// maxCallAge limits the time between the arrival of a call and its transmission to the worker. The owner may give up a
// call that takes longer.
const maxCallAge = 500 * time.Millisecond

// Server is the agent of an instance: it makes the calls of owners to workers.
type Server struct {
	workers            dispatch.Workers
	linkBytesPerSecond float64
	logger             *slog.Logger
	now                func() time.Duration
	pauses             pauses
}

// NewServer returns an agent that makes its calls with workers. linkBytesPerSecond is the bandwidth of the instance's
// link; 0 if unknown.
func NewServer(workers dispatch.Workers, linkBytesPerSecond float64, l *slog.Logger) *Server {
	return newServer(workers, linkBytesPerSecond, l, clock.Now)
}

func newServer(workers dispatch.Workers, linkBytesPerSecond float64, l *slog.Logger, now func() time.Duration) *Server {
	return &Server{workers: workers, linkBytesPerSecond: linkBytesPerSecond, logger: l, now: now, pauses: pauses{now: now}}
}

// serving is the agent's end of a session.
type serving struct {
	server *Server
	// done is closed at the end of the session, paused at the first pause of the process in it.
	done, paused <-chan struct{}
	answers      *sender[answer]
	slots        chan struct{}
	workers      map[int]dispatch.Member
	specs        *specs
	// lists is used by the goroutine that encodes.
	lists lists
}

// answer is the outcome of a call to a worker. running and ends are set for lease calls that were answered.
type answer struct {
	outcome outcomeMessage
	lease   bool
	worker  int
	running []dispatch.Running
	ends    []dispatch.End
	// moreEnds and onlyLook are those of dispatch.LeaseAnswer.
	moreEnds, onlyLook bool
}

// Serve makes the calls of one session until its stream ends or the process was paused. Calls in progress then end by
// their own time limits. Calls that the owner may have given up meanwhile are not made: a worker that has restarted would
// accept them.
func (s *Server) Serve(ctx context.Context, peer string, stream relay.Stream) {
	done := make(chan struct{})
	var once sync.Once
	end := func(err error) {
		once.Do(func() {
			s.logger.Info("session ended", "peer", peer, "error", err)
			close(done)
			_ = stream.Close()
		})
	}
	defer func() {
		// A fault in one session must not end the process.
		if p := recover(); p != nil {
			s.logger.Error("session failed", "peer", peer, "panic", p)
			end(nil)
		}
	}()
	paused, leave := s.pauses.join()
	defer leave()
	v := &serving{server: s, done: done, paused: paused, slots: make(chan struct{}, maxSessionCalls), workers: map[int]dispatch.Member{},
		specs: newSpecs(), lists: lists{}}
	v.answers = newSender(stream, delayFor(s.linkBytesPerSecond), v.encode)
	s.logger.Info("session began", "peer", peer)
	go func() {
		if err := v.answers.run(done); err != nil {
			end(err)
		}
	}()
	defer context.AfterFunc(ctx, func() { end(ctx.Err()) })()
	go func() {
		select {
		case <-paused:
			end(&PausedError{})
		case <-done:
		}
	}()
	for {
		var f callFrame
		if err := readFrame(stream, &f); err != nil {
			end(err)
			return
		}
		if !v.mayCall() {
			end(&PausedError{})
			return
		}
		arrived := s.now()
		fresh := func() bool { return s.now()-arrived <= maxCallAge }
		guarded := dispatch.WithGuard(context.WithoutCancel(ctx), func() bool { return fresh() && v.mayCall() })
		if err := v.handle(guarded, &f); err != nil {
			end(err)
			return
		}
		if !fresh() {
			// The frames that wait to be read may be as old.
			end(&PausedError{})
			return
		}
	}
}

// mayCall reports whether the session goes on.
func (v *serving) mayCall() bool {
	v.server.pauses.observe()
	select {
	case <-v.done:
		return false
	case <-v.paused:
		return false
	default:
		return true
	}
}

// handle begins the calls of a frame. It returns a *FrameError.
func (v *serving) handle(ctx context.Context, f *callFrame) error {
	for _, w := range f.Workers {
		v.workers[w.Number] = dispatch.Member{Incarnation: dispatch.Incarnation{ID: w.ID, StartedAt: w.StartedAt}, Addr: w.Addr}
	}
	for i := range f.Leases {
		m := &f.Leases[i]
		member, ok := v.workers[m.Worker]
		if !ok {
			return &FrameError{Problem: "unknown worker"}
		}
		v.begin(func() answer { return v.renew(ctx, member, m) })
	}
	for i := range f.Tasks {
		m := &f.Tasks[i]
		member, ok := v.workers[m.Worker]
		if !ok {
			return &FrameError{Problem: "unknown worker"}
		}
		do, err := v.taskCall(ctx, member, m)
		if err != nil {
			return err
		}
		v.begin(func() answer {
			a, err := do()
			return answer{outcome: newOutcome(m.Call, a, err)}
		})
	}
	return nil
}

// begin makes a call in a goroutine, once fewer than maxSessionCalls are in progress.
func (v *serving) begin(do func() answer) {
	select {
	case v.slots <- struct{}{}:
	case <-v.done:
		return
	}
	go func() {
		defer func() {
			// The owner gives up a call without an answer.
			if p := recover(); p != nil {
				v.server.logger.Error("call failed", "panic", p)
			}
			<-v.slots
		}()
		v.answers.add(do(), false)
	}()
}

func (v *serving) renew(ctx context.Context, m dispatch.Member, l *leaseMessage) answer {
	a, err := v.server.workers.Renew(ctx, m, dispatch.LeaseCall{Epoch: l.Epoch, ExpiresAt: millis(l.ExpiresMillis),
		LastStoredEnd: l.LastStoredEnd, Wait: millis(l.WaitMillis)})
	out := answer{lease: true, worker: l.Worker, running: a.Running, ends: a.Ends, moreEnds: a.MoreEnds, onlyLook: a.OnlyLook,
		outcome: newOutcome(l.Call, dispatch.CallAnswer{StartedAt: a.StartedAt, Clock: a.Clock}, err)}
	return out
}

// taskCall returns the function that makes a call about a task.
func (v *serving) taskCall(ctx context.Context, w dispatch.Member, m *taskMessage) (
	func() (dispatch.CallAnswer, error), error) {
	attempt := m.Attempt.attempt()
	switch m.Operation {
	case opStart:
		if m.Start == nil || m.Start.SpecKnown && !v.specs.has(attempt.Task.Job) {
			return nil, &FrameError{Problem: "a start without specification"}
		}
		if !m.Start.SpecKnown {
			v.specs.add(attempt.Task.Job, m.Start.Spec)
		}
		c := dispatch.StartCall{Attempt: attempt, Spec: v.specs.known[attempt.Task.Job], Checkpoint: m.Start.Checkpoint,
			Ticket: m.Start.Ticket, Epoch: m.Epoch, Deadline: millis(m.Start.DeadlineMillis)}
		return func() (dispatch.CallAnswer, error) { return v.server.workers.Start(ctx, w, c) }, nil
	case opStop:
		c := dispatch.StopCall{Attempt: attempt, Epoch: m.Epoch}
		return func() (dispatch.CallAnswer, error) { return v.server.workers.Stop(ctx, w, c) }, nil
	case opLimitCPU:
		c := dispatch.CPULimitCall{Attempt: attempt, Percent: m.Percent, Epoch: m.Epoch}
		return func() (dispatch.CallAnswer, error) { return v.server.workers.LimitCPU(ctx, w, c) }, nil
	}
	return nil, &FrameError{Problem: "unknown operation"}
}

func (v *serving) encode(batch []answer) ([]byte, error) {
	var f answerFrame
	for i := range batch {
		a := &batch[i]
		if !a.lease {
			f.Tasks = append(f.Tasks, a.outcome)
			continue
		}
		m := leaseAnswerMessage{Outcome: a.outcome, Worker: a.worker}
		if a.outcome.Code == codeDone {
			m.Running, m.MoreEnds, m.OnlyLook = v.lists.encode(a.worker, a.running), a.moreEnds, a.onlyLook
			for _, e := range a.ends {
				m.Ends = append(m.Ends, endMessage{Number: e.Number, Attempt: newAttemptMessage(e.Attempt),
					Outcome: e.Outcome, Checkpoint: e.Checkpoint})
			}
		}
		f.Leases = append(f.Leases, m)
	}
	return encodeFrame(&f)
}
