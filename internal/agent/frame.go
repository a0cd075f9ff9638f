package agent

import (
	"encoding/binary"
	"io"
	"math"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/dispatch"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// callFrame carries calls to an agent. Numbers of calls and workers are those of the session.
type callFrame struct {
	_       struct{} `cbor:",toarray"`
	Workers []workerMessage
	Leases  []leaseMessage
	Tasks   []taskMessage
}

// workerMessage introduces an incarnation of a worker, to which later messages refer by Number.
type workerMessage struct {
	_        struct{} `cbor:",toarray"`
	Number   int
	ID, Addr string
	// StartedAt is that of dispatch.Incarnation.
	StartedAt int64
}

type leaseMessage struct {
	_             struct{} `cbor:",toarray"`
	Call          uint64
	Worker        int
	Epoch         int64
	ExpiresMillis int64
	LastStoredEnd int64
	WaitMillis    int64
}

type taskOperation uint8

const (
	opStart taskOperation = iota + 1
	opStop
	opLimitCPU
)

// taskMessage is a call about a task. Start carries what only starts have; Percent is set for CPU limits.
type taskMessage struct {
	_         struct{} `cbor:",toarray"`
	Call      uint64
	Operation taskOperation
	Worker    int
	Attempt   attemptMessage
	Epoch     int64
	Percent   int
	Start     *startMessage
}

// startMessage holds the specification of the submission in the first start of one of its tasks; SpecKnown reports
// that the agent has it.
type startMessage struct {
	_              struct{} `cbor:",toarray"`
	SpecKnown      bool
	Spec           string
	Checkpoint     string
	Ticket         string
	DeadlineMillis int64
}

type attemptMessage struct {
	_                      struct{} `cbor:",toarray"`
	Job                    workflow.JobID
	Round, Step, Index, No int
}

func newAttemptMessage(a dispatch.Attempt) attemptMessage {
	return attemptMessage{Job: a.Task.Job, Round: a.Task.Round, Step: a.Task.Step, Index: a.Task.Index, No: a.Run}
}

func (m *attemptMessage) attempt() dispatch.Attempt {
	return dispatch.Attempt{Task: workflow.TaskID{Job: m.Job, Round: m.Round, Step: m.Step, Index: m.Index}, Run: m.No}
}

// answerFrame carries answers of an agent.
type answerFrame struct {
	_     struct{} `cbor:",toarray"`
	Tasks []outcomeMessage
	// Leases holds the answers to lease calls.
	Leases []leaseAnswerMessage
}

type outcomeCode uint8

const (
	codeDone outcomeCode = iota
	codeRefused
	codeNoAnswer
	// codeConnectionRefused and codeConnectionClosed tell how a worker that did not answer ended the connection.
	codeConnectionRefused
	codeConnectionClosed
	codeNotSent
)

// outcomeMessage is the outcome of a call. Text is the reason of a refusal, or the error of a call without an answer.
type outcomeMessage struct {
	_           struct{} `cbor:",toarray"`
	Call        uint64
	Code        outcomeCode
	StartedAt   int64
	ClockMillis int64
	Text        string
}

type leaseAnswerMessage struct {
	_       struct{} `cbor:",toarray"`
	Outcome outcomeMessage
	Worker  int
	Running []runningMessage
	Ends    []endMessage
	// MoreEnds and OnlyLook are those of dispatch.LeaseAnswer.
	MoreEnds, OnlyLook bool
}

// runningMessage is one row of a worker's list. Previous is the position of the attempt in the previous list of the
// worker in this session, counted from 1; 0 if it was not in it, which sets Attempt. Checkpoint is nil if it has not
// changed since.
type runningMessage struct {
	_          struct{} `cbor:",toarray"`
	Previous   int
	Percent    int
	Load       int64
	Checkpoint *string
	Attempt    *attemptMessage
}

type endMessage struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Attempt    attemptMessage
	Outcome    dispatch.Outcome
	Checkpoint string
}

// textNoConnection is the text of an outcome with codeNotSent whose cause is dispatch.NotSentError.NoConnection. Earlier versions
// ignore it.
const textNoConnection = "no connection"

// newOutcome returns the outcome of a call that returned an answer or an error.
func newOutcome(call uint64, a dispatch.CallAnswer, err error) outcomeMessage {
	m := outcomeMessage{Call: call, StartedAt: a.StartedAt, ClockMillis: a.Clock.Milliseconds()}
	var refused *dispatch.RefusedError
	var notSent *dispatch.NotSentError
	switch {
	case err == nil:
	case errors.As(err, &notSent):
		m.Code = codeNotSent
		if notSent.NoConnection {
			m.Text = textNoConnection
		}
	case errors.As(err, &refused):
		m.Code, m.Text = codeRefused, string(refused.Reason)
		m.StartedAt, m.ClockMillis = refused.Answer.StartedAt, refused.Answer.Clock.Milliseconds()
	case errors.Is(err, syscall.ECONNREFUSED):
		m.Code, m.Text = codeConnectionRefused, err.Error()
	case dispatch.ConnectionLost(err):
		m.Code, m.Text = codeConnectionClosed, err.Error()
	default:
		m.Code, m.Text = codeNoAnswer, err.Error()
	}
	return m
}

func (m *outcomeMessage) answer() dispatch.CallAnswer {
	return dispatch.CallAnswer{StartedAt: m.StartedAt, Clock: millis(m.ClockMillis)}
}

// err returns nil, a *dispatch.RefusedError, a *dispatch.NoAnswerError or a *dispatch.NotSentError.
func (m *outcomeMessage) err() error {
	switch m.Code {
	case codeDone:
		return nil
	case codeRefused:
		return &dispatch.RefusedError{Reason: dispatch.Reason(m.Text), Answer: m.answer()}
	case codeNotSent:
		return &dispatch.NotSentError{NoConnection: m.Text == textNoConnection}
	case codeConnectionRefused:
		return &dispatch.NoAnswerError{Err: &RemoteError{Text: m.Text, Cause: syscall.ECONNREFUSED}}
	case codeConnectionClosed:
		return &dispatch.NoAnswerError{Err: &RemoteError{Text: m.Text, Cause: io.EOF}}
	}
	return &dispatch.NoAnswerError{Err: &RemoteError{Text: m.Text}}
}

// lists holds the newest list of running attempts of each worker, so that a list is sent as its difference to the
// previous one. Both ends of a session apply the answers in the same order.
type lists map[int][]dispatch.Running

// encode returns the rows of a list and keeps it.
func (l lists) encode(worker int, running []dispatch.Running) []runningMessage {
	previous := l[worker]
	position := make(map[dispatch.Attempt]int, len(previous))
	for i := range previous {
		position[previous[i].Attempt] = i
	}
	rows := make([]runningMessage, len(running))
	for i := range running {
		r := &running[i]
		rows[i] = runningMessage{Percent: r.Percent, Load: int64(math.Round(r.Load))}
		before := ""
		if p, ok := position[r.Attempt]; ok {
			rows[i].Previous, before = p+1, previous[p].Checkpoint
		} else {
			a := newAttemptMessage(r.Attempt)
			rows[i].Attempt = &a
		}
		if r.Checkpoint != before {
			rows[i].Checkpoint = &r.Checkpoint
		}
	}
	l[worker] = running
	return rows
}

// decode is the inverse of encode. It returns a *FrameError.
func (l lists) decode(worker int, rows []runningMessage) ([]dispatch.Running, error) {
	previous := l[worker]
	running := make([]dispatch.Running, len(rows))
	for i := range rows {
		m, r := &rows[i], &running[i]
		switch {
		case m.Previous > 0 && m.Previous <= len(previous):
			r.Attempt, r.Checkpoint = previous[m.Previous-1].Attempt, previous[m.Previous-1].Checkpoint
		case m.Previous == 0 && m.Attempt != nil:
			r.Attempt = m.Attempt.attempt()
		default:
			return nil, &FrameError{Problem: "a row names no attempt"}
		}
		if m.Checkpoint != nil {
			r.Checkpoint = *m.Checkpoint
		}
		r.Percent, r.Load = m.Percent, float64(m.Load)
	}
	l[worker] = running
	return running, nil
}

// specs remembers the specifications of the newest submissions. Both ends of a session add them in the same order, so
// that they forget the same ones.
type specs struct {
	known map[workflow.JobID]string
	order []workflow.JobID
}

func newSpecs() *specs { return &specs{known: map[workflow.JobID]string{}} }

func (s *specs) has(id workflow.JobID) bool {
	_, ok := s.known[id]
	return ok
}

func (s *specs) add(id workflow.JobID, spec string) {
	if s.has(id) {
		return
	}
	if len(s.order) >= maxSpecs {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.known[id] = spec
	s.order = append(s.order, id)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

const frameHeaderBytes = 4

// encodeFrame returns a frame with its length before it.
func encodeFrame(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(b) > maxFrameBytes {
		return nil, &FrameError{Problem: "too long"}
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(b)), uint32(len(b))), b...), nil
}

// firstFrameBytes is the most that is allocated for a frame before any of it has arrived.
const firstFrameBytes = 64 << 10

// readGrowing reads n bytes into a buffer that grows with what arrives: a peer may announce a long frame and send nothing.
func readGrowing(r io.Reader, n int) ([]byte, error) {
	b, read := make([]byte, min(n, firstFrameBytes)), 0
	for {
		m, err := io.ReadFull(r, b[read:])
		read += m
		if err != nil || read == n {
			return b, err
		}
		grown := make([]byte, min(n, 4*read))
		copy(grown, b)
		b = grown
	}
}

// readFrame reads one frame into v. It returns the error of r or a *FrameError.
func readFrame(r io.Reader, v any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return errors.WithStack(err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return &FrameError{Problem: "too long"}
	}
	b, err := readGrowing(r, int(n))
	if err != nil {
		return errors.WithStack(err)
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return &FrameError{Problem: err.Error()}
	}
	return nil
}
