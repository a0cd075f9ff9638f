package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(7000, 0)

func load(service time.Duration, slots int) Load {
	return Load{Slots: slots, MeanServiceTime: service, ServiceTime: func(string) time.Duration { return service }}
}

func entry(rank int, deadline time.Duration) *Entry[string] {
	return &Entry[string]{Kind: "k", Rank: rank, Arrived: start, Deadline: start.Add(deadline),
		Value: fmt.Sprint(rank, deadline)}
}

// Guards against less urgent requests that are served first, and against a more urgent request that is shed for a less
// urgent one.
func TestOrderAndShedding(t *testing.T) {
	q, l := NewQueue[string](3), load(0, 1)
	late, soon, background := entry(0, 9*time.Second), entry(0, time.Second), entry(2, time.Second)
	require.Empty(t, q.Push(start, background, l))
	require.Empty(t, q.Push(start, late, l))
	require.Empty(t, q.Push(start, soon, l))

	standard := entry(1, time.Second)
	refused := q.Push(start, standard, l)
	require.Len(t, refused, 1)
	require.Same(t, background, refused[0].Entry)
	require.Equal(t, Refusal{Reason: ReasonShed, RetryAfter: time.Second}, refused[0].Refusal)

	another := entry(2, time.Second)
	refused = q.Push(start, another, l)
	require.Same(t, another, refused[0].Entry)
	require.Equal(t, ReasonQueueFull, refused[0].Reason)

	for _, want := range []*Entry[string]{soon, late, standard} {
		got, refused := q.Pop(start, l)
		require.Empty(t, refused)
		require.Same(t, want, got)
	}
}

// Guards against requests that are admitted although their deadline cannot be met, and against callers that are
// answered late.
func TestDeadlines(t *testing.T) {
	q, l := NewQueue[string](100), load(100*time.Millisecond, 2)
	for range 20 {
		require.Empty(t, q.Push(start, entry(0, 2*time.Second), l))
	}
	refused := q.Push(start, entry(0, 2001*time.Millisecond), load(130*time.Millisecond, 2))
	require.Equal(t, ReasonDeadline, refused[0].Reason, "1.3 s of work leave too little margin")
	refused = q.Push(start, entry(1, time.Second), l)
	require.Equal(t, ReasonDeadline, refused[0].Reason, "20 requests before it take a second on 2 slots")
	require.Empty(t, q.Push(start, entry(0, 1200*time.Millisecond), l), "it goes before the others")
	got, refused := q.Pop(start.Add(1800*time.Millisecond), l)
	require.Len(t, refused, 1)
	require.Equal(t, ReasonExpired, refused[0].Reason)
	require.Equal(t, start.Add(2*time.Second), got.Deadline)
	got, refused = q.Pop(start.Add(1801*time.Millisecond), l)
	require.Nil(t, got, "after a wait twice the service time must be left")
	require.Len(t, refused, 19)
	require.Empty(t, q.Push(start.Add(3*time.Second), &Entry[string]{Kind: "k", Arrived: start.Add(3 * time.Second),
		Deadline: start.Add(3100 * time.Millisecond)}, l))
	got, _ = q.Pop(start.Add(3*time.Second), l)
	require.NotNil(t, got, "without a wait the service time is enough")
	require.Empty(t, q.Push(start, entry(0, 2*time.Second), l))
	require.Len(t, q.Expire(start.Add(3*time.Second)), 1)
	require.Zero(t, q.Len())
}

// Guards against less urgent requests that are admitted repeatedly although they expire behind more urgent ones, and
// against their refusal when the queue is empty.
func TestRecentWaitsRefuseEarly(t *testing.T) {
	q, l := NewQueue[string](1000), load(10*time.Millisecond, 1)
	now, refusals := start, map[Reason]int{}
	push := func(rank int) {
		for _, r := range q.Push(now, &Entry[string]{Kind: "k", Rank: rank, Arrived: now,
			Deadline: now.Add(2 * time.Second)}, l) {
			refusals[r.Reason]++
		}
	}
	for range 20 {
		push(0)
	}
	for range 800 {
		push(0)
		push(1)
		q.Pop(now, l)
		now = now.Add(10 * time.Millisecond)
		for _, r := range q.Expire(now) {
			refusals[r.Reason]++
		}
	}
	require.Positive(t, refusals[ReasonExpired])
	require.Greater(t, refusals[ReasonDeadline], 2*refusals[ReasonExpired])
	for q.Len() > 0 {
		q.Pop(now, l)
	}
	require.Empty(t, q.Push(now, &Entry[string]{Kind: "k", Rank: 1, Arrived: now, Deadline: now.Add(2 * time.Second)},
		l))
}

// Guards against entries that are lost or returned twice when callers disconnect and deadlines pass in any order.
func TestQueueLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, l, now := NewQueue[string](10), load(0, 1), start
		var waiting []*Entry[string]
		left := map[*Entry[string]]bool{}
		leave := func(e *Entry[string]) {
			if left[e] {
				t.Fatal("an entry left twice")
			}
			left[e] = true
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				e := entry(rapid.IntRange(0, 2).Draw(t, "rank"),
					now.Sub(start)+time.Duration(rapid.IntRange(0, 9).Draw(t, "s"))*time.Second)
				waiting = append(waiting, e)
				for _, r := range q.Push(now, e, l) {
					leave(r.Entry)
				}
			},
			"pop": func(*rapid.T) {
				e, refused := q.Pop(now, l)
				for _, r := range refused {
					leave(r.Entry)
				}
				if e != nil {
					leave(e)
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) > 0 {
					if e := rapid.SampledFrom(waiting).Draw(t, "entry"); q.Remove(e) {
						leave(e)
					}
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(500 * time.Millisecond)
				for _, r := range q.Expire(now) {
					leave(r.Entry)
				}
			},
			"": func(t *rapid.T) {
				if q.Len()+len(left) != len(waiting) || q.Len() > 10 {
					t.Fatalf("%d waiting, %d left, %d pushed", q.Len(), len(left), len(waiting))
				}
			},
		})
	})
}

// Guards against a retry storm, and against an estimate that refuses a kind permanently.
func TestRetryBudgetAndEstimates(t *testing.T) {
	b, retries := NewRetryBudget(10), 0
	for range 1000 {
		b.CountRequest()
		if b.TakeRetry() {
			retries++
		}
	}
	require.InDelta(t, 100+initialRetries, retries, 1)

	s := NewServiceTimes()
	s.Observe(start, "k", 8*time.Second)
	require.Equal(t, 8*time.Second, s.Estimate("k"))
	for i := range 20 {
		s.Decay(start.Add(time.Duration(i) * time.Second))
	}
	require.Less(t, s.Estimate("k"), time.Second)
}

func BenchmarkPushPop(b *testing.B) {
	q, l := NewQueue[string](1000), load(time.Millisecond, 100)
	for i := range 900 {
		q.Push(start, entry(i%3, time.Minute), l)
	}
	e := entry(1, time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		q.Push(start, e, l)
		e, _ = q.Pop(start, l)
	}
}
