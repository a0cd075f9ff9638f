// Package admission decides which waiting requests get a slot next and which are refused. It uses no clock, network or
// goroutine.
package admission

import (
	"container/heap"
	"time"
)

// Reason says why a request was refused. A refused request was not run.
type Reason string

// The reasons of refusals.
const (
	ReasonQueueFull  Reason = "queue-full"
	ReasonShed       Reason = "shed-for-more-urgent"
	ReasonDeadline   Reason = "deadline-cannot-be-met"
	ReasonExpired    Reason = "deadline-passed-in-queue"
	ReasonNoCapacity Reason = "no-slots"
	ReasonStopping   Reason = "stopping"
)

// Refusal is the decision not to run a request.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a repeat may succeed.
	RetryAfter time.Duration
}

// Entry is a request that waits in a Queue.
type Entry[T any] struct {
	Kind string
	// Rank is the urgency rank of the manifest; 0 is the most urgent.
	Rank     int
	Arrived  time.Time
	Deadline time.Time
	Value    T

	seq   uint64
	index int
	// fifo reports whether the queue is in OrderFIFO. Each entry has a copy, because the heap compares entries only.
	fifo bool
}

// Refused is an entry that left the queue without a slot.
type Refused[T any] struct {
	Entry *Entry[T]
	Refusal
}

// Order is the order in which waiting requests are served. The last one in this order is shed first.
type Order string

// The orders, under their names in the manifest.
const (
	// OrderUrgency serves the most urgent request first, then the one with the earliest deadline.
	OrderUrgency Order = "urgency"
	// OrderFIFO is the baseline: requests are served in the order of arrival, and a full queue refuses new ones.
	OrderFIFO Order = "fifo"
)

// Queue holds the waiting requests, by default in order of urgency, then of deadline. It is not safe for concurrent
// use.
type Queue[T any] struct {
	entries entryHeap[T]
	fifo    bool
	seq     uint64
	limit   int
	// recentWaits holds, by rank, the estimated wait from the entries that left recently.
	recentWaits map[int]*estimate
}

// NewQueue returns an empty queue for at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, recentWaits: map[int]*estimate{}}
}

// SetLimit changes the maximum number of waiting requests. Entries beyond it stay until they are served or shed.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// SetOrder changes the order of the waiting requests. Unknown names select OrderUrgency.
func (q *Queue[T]) SetOrder(o Order) {
	q.fifo = o == OrderFIFO
	for _, e := range q.entries {
		e.fifo = q.fifo
	}
	heap.Init(&q.entries)
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Load describes the capacity and the expected service times.
type Load struct {
	// Slots is the number of slots that serve the queue.
	Slots int
	// MeanServiceTime is the expected service time over all kinds. Waits are estimated with it rather than entry by
	// entry, because a lookup for each entry would make a long queue noticeably slower.
	MeanServiceTime time.Duration
	// ServiceTime returns the expected service time of a kind, zero if unknown.
	ServiceTime func(kind string) time.Duration
}

const (
	// waitMarginFactor is the factor on the estimated wait when an entry is admitted. Without it, an overloaded queue
	// fills until every request is served just before its deadline, and any variation makes requests late.
	waitMarginFactor = 1.5
	// serviceMarginFactor is the factor on the expected service time of an entry that has to wait, for the same reason.
	serviceMarginFactor = 2
)

// Push adds an entry. It returns the entries that were refused instead, which may include e.
func (q *Queue[T]) Push(now time.Time, e *Entry[T], l Load) []Refused[T] {
	q.seq++
	e.seq, e.fifo = q.seq, q.fifo
	wait, service := q.estimateWait(now, e, l), l.ServiceTime(e.Kind)
	if wait > 0 {
		service *= serviceMarginFactor
	}
	if now.Add(time.Duration(waitMarginFactor*float64(wait)) + service).After(e.Deadline) {
		return []Refused[T]{{e, Refusal{Reason: ReasonDeadline, RetryAfter: retryAfter(wait)}}}
	}
	heap.Push(&q.entries, e)
	if len(q.entries) <= q.limit {
		return nil
	}
	worst := q.leastUrgent()
	heap.Remove(&q.entries, worst.index)
	reason := ReasonShed
	if worst == e {
		reason = ReasonQueueFull
	}
	return []Refused[T]{{worst, Refusal{Reason: reason, RetryAfter: retryAfter(q.estimateWait(now, worst, l))}}}
}

// estimateWait estimates how long an entry has to wait: the time to serve the entries before it, and at least the
// recent wait of entries of its rank, because more urgent ones keep arriving. The wait is zero if no entry is before
// it.
func (q *Queue[T]) estimateWait(now time.Time, e *Entry[T], l Load) time.Duration {
	ahead := 0
	for _, o := range q.entries {
		if o != e && servedBefore(o, e) {
			ahead++
		}
	}
	wait := l.MeanServiceTime * time.Duration(ahead) / time.Duration(max(l.Slots, 1))
	if r := q.recentWaits[e.Rank]; r != nil && ahead > 0 {
		wait = max(wait, r.decayed(now))
	}
	return wait
}

// observeWait records how long an entry waited.
func (q *Queue[T]) observeWait(now time.Time, e *Entry[T]) {
	r := q.recentWaits[e.Rank]
	if r == nil {
		r = &estimate{}
		q.recentWaits[e.Rank] = r
	}
	r.observe(now, now.Sub(e.Arrived))
}

// leastUrgent returns the entry that is served last. Among equally urgent ones it has the latest deadline, so its
// caller has the most time for a repeat.
func (q *Queue[T]) leastUrgent() *Entry[T] {
	worst := q.entries[0]
	for _, e := range q.entries {
		if servedBefore(worst, e) {
			worst = e
		}
	}
	return worst
}

// Pop removes the first entry whose deadline can still be met, and returns the entries before it as refused. An entry
// that has waited longer than its service time needs the margin of Push. Otherwise the least urgent entries of an
// overloaded queue would start just before their deadline and waste their slots.
func (q *Queue[T]) Pop(now time.Time, l Load) (*Entry[T], []Refused[T]) {
	var refused []Refused[T]
	for len(q.entries) > 0 {
		e := heap.Pop(&q.entries).(*Entry[T])
		q.observeWait(now, e)
		service := l.ServiceTime(e.Kind)
		if now.Sub(e.Arrived) > service {
			service *= serviceMarginFactor
		}
		if !now.Add(service).After(e.Deadline) {
			return e, refused
		}
		refused = append(refused, Refused[T]{e, Refusal{Reason: ReasonExpired, RetryAfter: minRetryAfter}})
	}
	return nil, refused
}

// Expire removes the entries whose deadline has passed, so that their callers get an answer even if no slot becomes
// free.
func (q *Queue[T]) Expire(now time.Time) []Refused[T] {
	var refused []Refused[T]
	for i := len(q.entries) - 1; i >= 0; i-- {
		if e := q.entries[i]; now.After(e.Deadline) {
			q.observeWait(now, e)
			refused = append(refused, Refused[T]{e, Refusal{Reason: ReasonExpired, RetryAfter: minRetryAfter}})
			q.entries[i] = q.entries[len(q.entries)-1]
			q.entries[len(q.entries)-1] = nil
			q.entries = q.entries[:len(q.entries)-1]
			e.index = -1
		}
	}
	if len(refused) > 0 {
		for i, e := range q.entries {
			e.index = i
		}
		heap.Init(&q.entries)
	}
	return refused
}

// Remove removes an entry whose caller is gone. It reports whether the entry was still waiting.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.index < 0 || e.index >= len(q.entries) || q.entries[e.index] != e {
		return false
	}
	heap.Remove(&q.entries, e.index)
	return true
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func servedBefore[T any](a, b *Entry[T]) bool {
	switch {
	case a.fifo:
		return a.seq < b.seq
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

// entries implements heap.Interface.
type entryHeap[T any] []*Entry[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return servedBefore(h[i], h[j]) }

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
