package ticket

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/invariant"
)

// Verdict is the decision on a request that carries a valid ticket.
type Verdict string

// The verdicts of Begin.
const (
	// Dispatch: the ticket was unused. The request may run now, and End must follow.
	Dispatch Verdict = "dispatch"
	// Wait: the first request with this ticket is still in progress.
	Wait Verdict = "wait"
	// Repeat: the request is a repeat and is answered with the stored answer of the first one.
	Repeat Verdict = "repeat"
	// Mismatch: the ticket was used for a different request. This one was not run.
	Mismatch Verdict = "mismatch"
	// Full: too many tickets are in use. The request was not run.
	Full Verdict = "full"
)

// Fingerprint identifies the content of a request, so that a ticket cannot return the answer to a different request.
type Fingerprint [32]byte

// Answer is the answer to a request with a ticket.
type Answer struct {
	State  contract.AnswerState
	Reason string
	Body   []byte
}

// Limits limit the memory of a Table.
type Limits struct {
	// Tickets limits the used tickets that are stored until their expiry.
	Tickets int
	// Bytes limits the stored bodies. The oldest bodies are dropped first; a repeat is then answered with
	// contract.AnswerUnknown.
	Bytes int
}

// ReasonDropped is the reason of the answer to a repeat whose stored answer was dropped.
const ReasonDropped = "stored-answer-dropped"

type record struct {
	print    Fingerprint
	expiry   time.Time
	answered bool
	answer   Answer
}

// Table stores the used tickets of one issuer. An unused ticket occupies no memory. It is not safe for concurrent use.
type Table struct {
	limits Limits
	used   map[uint64]*record
	// byExpiry holds the serials of used tickets by the Unix second of their expiry.
	byExpiry map[int64][]uint64
	// sweptUntil is the Unix second up to which expired tickets have been removed.
	sweptUntil int64
	// bodySerials are the serials of the stored bodies, oldest first. bodyBytes is the sum of their lengths.
	bodySerials []uint64
	bodyBytes   int
	dropped     int
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, used: map[uint64]*record{}, byExpiry: map[int64][]uint64{}}
}

// Begin decides on a request with a ticket that Issuer.Open accepted at the same now.
func (t *Table) Begin(now time.Time, ticket Ticket, print Fingerprint) (Verdict, Answer) {
	t.sweep(now)
	r := t.used[ticket.Serial]
	switch {
	case r == nil && len(t.used) >= t.limits.Tickets:
		return Full, Answer{}
	case r == nil:
		second := ticket.Expiry.Unix()
		t.used[ticket.Serial] = &record{print: print, expiry: ticket.Expiry}
		t.byExpiry[second] = append(t.byExpiry[second], ticket.Serial)
		return Dispatch, Answer{}
	case r.print != print:
		return Mismatch, Answer{}
	case !r.answered:
		return Wait, Answer{}
	}
	return Repeat, r.answer
}

// Used reports whether a request with the ticket is in progress or may have run.
func (t *Table) Used(ticket Ticket) bool { return t.used[ticket.Serial] != nil }

// End stores the answer to a dispatched request. If the request was not run, the ticket becomes unused again.
func (t *Table) End(serial uint64, a Answer) {
	r := t.used[serial]
	invariant.Check(invariant.TicketDispatchOnce, r != nil && !r.answered, "serial", serial, "answer", a.State)
	if r == nil || r.answered {
		return
	}
	if a.State == contract.AnswerNotRun {
		delete(t.used, serial)
		return
	}
	r.answered, r.answer = true, a
	if len(a.Body) > 0 {
		t.bodySerials = append(t.bodySerials, serial)
		t.bodyBytes += len(a.Body)
		t.dropOldestBodies()
	}
}

// dropOldestBodies drops the oldest bodies beyond the limit.
func (t *Table) dropOldestBodies() {
	for t.bodyBytes > t.limits.Bytes && len(t.bodySerials) > 0 {
		serial := t.bodySerials[0]
		t.bodySerials = t.bodySerials[1:]
		if r := t.used[serial]; r != nil && len(r.answer.Body) > 0 {
			t.bodyBytes -= len(r.answer.Body)
			r.answer = Answer{State: contract.AnswerUnknown, Reason: ReasonDropped}
			t.dropped++
		}
	}
}

// sweep removes answered tickets one second after their expiry; Issuer.Open refuses them from then on. Tickets in
// progress are kept.
func (t *Table) sweep(now time.Time) {
	last := now.Unix() - 1
	if t.sweptUntil == 0 {
		t.sweptUntil = last
	}
	for ; t.sweptUntil < last; t.sweptUntil++ {
		second := t.sweptUntil
		for _, serial := range t.byExpiry[second] {
			t.removeExpired(serial, last)
		}
		delete(t.byExpiry, second)
	}
	for len(t.bodySerials) > 0 && t.used[t.bodySerials[0]] == nil {
		t.bodySerials = t.bodySerials[1:]
	}
}

func (t *Table) removeExpired(serial uint64, last int64) {
	r := t.used[serial]
	if r == nil || r.expiry.Unix() > last {
		return
	}
	if !r.answered {
		t.byExpiry[last+1] = append(t.byExpiry[last+1], serial)
		return
	}
	t.bodyBytes -= len(r.answer.Body)
	delete(t.used, serial)
}

// Size returns the number of used tickets, the bytes of stored bodies and the number of bodies dropped so far.
func (t *Table) Size() (tickets, bytes, dropped int) { return len(t.used), t.bodyBytes, t.dropped }
