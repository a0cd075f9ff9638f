package ticket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementinewalk.example/clementinewalk/internal/contract"
)

var start = time.Unix(9000, 0)

// Guards against tickets that are accepted after a modification, from another incarnation, or after their expiry.
func TestOpenChecksSealIssuerAndExpiry(t *testing.T) {
	i := NewIssuer("a", []byte("k"), time.Minute)
	text := i.Issue(start)
	ticket, err := i.Open(start, text)
	require.NoError(t, err)
	require.Equal(t, Ticket{Incarnation: "a", Serial: 1, Expiry: start.Add(time.Minute)}, ticket)
	require.NotEqual(t, text, i.Issue(start))

	_, err = NewIssuer("b", []byte("k"), time.Minute).Open(start, text)
	require.ErrorAs(t, err, new(*ForeignError))
	_, err = NewIssuer("a", []byte("other"), time.Minute).Open(start, text)
	require.ErrorAs(t, err, new(*ForgedError))
	_, err = i.Open(start.Add(time.Minute), text)
	require.ErrorAs(t, err, new(*ExpiredError))
	for _, bad := range []string{"", "x", text + "A", text[:20], string(make([]byte, 5000))} {
		_, err = i.Open(start, bad)
		require.Error(t, err)
	}
}

// Guards against a panic on arbitrary text from a caller.
func FuzzOpen(f *testing.F) {
	i := NewIssuer("a", []byte("k"), time.Minute)
	f.Add(i.Issue(start))
	f.Fuzz(func(_ *testing.T, text string) { _, _ = i.Open(start, text) })
}

// Guards against a stored answer that is returned for a different request, and against unlimited memory.
func TestTableBoundsAndMismatch(t *testing.T) {
	i, table := NewIssuer("a", []byte("k"), time.Minute), NewTable(Limits{Tickets: 3, Bytes: 10})
	var tickets []Ticket
	for range 4 {
		ticket, err := i.Open(start, i.Issue(start))
		require.NoError(t, err)
		tickets = append(tickets, ticket)
	}
	for n, ticket := range tickets[:3] {
		v, _ := table.Begin(start, ticket, Fingerprint{byte(n)})
		require.Equal(t, Dispatch, v)
		table.End(ticket.Serial, Answer{State: contract.AnswerWhole, Body: make([]byte, 5)})
	}
	v, _ := table.Begin(start, tickets[3], Fingerprint{})
	require.Equal(t, Full, v)
	v, a := table.Begin(start, tickets[0], Fingerprint{0})
	require.Equal(t, Repeat, v)
	require.Equal(t, Answer{State: contract.AnswerUnknown, Reason: ReasonDropped}, a)
	v, a = table.Begin(start, tickets[2], Fingerprint{2})
	require.Equal(t, Repeat, v)
	require.Len(t, a.Body, 5)
	v, _ = table.Begin(start, tickets[2], Fingerprint{9})
	require.Equal(t, Mismatch, v)
	late := start.Add(2 * time.Minute)
	ticket, err := i.Open(late, i.Issue(late))
	require.NoError(t, err)
	v, _ = table.Begin(late, ticket, Fingerprint{})
	require.Equal(t, Dispatch, v)
	n, bytes, dropped := table.Size()
	require.Equal(t, []int{1, 0, 1}, []int{n, bytes, dropped})
	require.Empty(t, table.bodySerials)
}

// Guards against a second dispatch of a request that may have run, in any order of repeats, ends and time.
func TestTableDispatchesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i, table, now := NewIssuer("a", []byte("k"), 5*time.Second), NewTable(Limits{Tickets: 50, Bytes: 20}), start
		texts := []string{i.Issue(now), i.Issue(now), i.Issue(now)}
		running, ran := map[uint64]bool{}, map[uint64]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				ticket, err := i.Open(now, rapid.SampledFrom(texts).Draw(t, "ticket"))
				if err != nil {
					return
				}
				if v, _ := table.Begin(now, ticket, Fingerprint{}); v == Dispatch {
					if running[ticket.Serial] || ran[ticket.Serial] {
						t.Fatalf("ticket %d is dispatched twice", ticket.Serial)
					}
					running[ticket.Serial] = true
				}
			},
			"end": func(t *rapid.T) {
				serial := rapid.Uint64Range(1, 3).Draw(t, "serial")
				if !running[serial] {
					return
				}
				state := rapid.SampledFrom([]contract.AnswerState{contract.AnswerWhole, contract.AnswerNotRun,
					contract.AnswerUnknown}).Draw(t, "state")
				table.End(serial, Answer{State: state, Body: make([]byte, 8)})
				running[serial], ran[serial] = false, ran[serial] || state != contract.AnswerNotRun
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
