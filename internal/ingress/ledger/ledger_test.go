package ledger

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	sec = time.Second
	kb  = int64(1) << 10
)

var (
	here  = netip.MustParseAddr("127.0.0.1")
	there = netip.MustParseAddr("127.0.0.2")
	// bytesPolicy is that of bodies, of 100 KB; connPolicy that of 4 connections.
	bytesPolicy = Policy{Total: 100 * kb, Large: 60 * kb, Small: 10 * kb, PerClient: 85 * kb, Stall: sec / 2,
		MinRate: 16 << 10, Grace: sec}
	connPolicy = Policy{Total: 4, Large: 4, Small: 1, PerClient: 3}
)

// had describes a holder that is there before a new one comes.
type had struct {
	name          string
	client        netip.Addr
	held          int64
	began, latest time.Duration
	progressed    int64
	pinned, known bool
}

// Guards against newcomers that get no room although inactive clients have it all, and against active or working ones
// that lose theirs.
func TestWhoGetsRoom(t *testing.T) {
	const now = 10 * sec
	active := func(name string, client netip.Addr, held int64) had {
		return had{name: name, client: client, held: held, began: now - sec/4, latest: now, progressed: held}
	}
	stalled := func(name string, client netip.Addr, held int64, since time.Duration) had {
		return had{name: name, client: client, held: held, began: now - since, latest: now - since, progressed: held}
	}
	slow := had{name: "slow", client: here, held: 40 * kb, began: now - 5*sec, latest: now, progressed: 20 * kb}
	pinned := func(h had) had { h.pinned = true; return h }
	known := func(h had) had { h.known = true; return h }
	for _, c := range []struct {
		name   string
		policy Policy
		before []had
		client netip.Addr
		n      int64
		evicts []string
		ok     bool
	}{
		{"room", bytesPolicy, []had{active("a", here, 20*kb)}, there, 40 * kb, nil, true},
		{"more than there can be", bytesPolicy, nil, here, 61 * kb, nil, false},
		{"all active: no room for a large one", bytesPolicy, []had{active("a", here, 40*kb)}, there, 40 * kb, nil, false},
		{"all active: room for a small one of the same address", bytesPolicy, []had{active("a", here, 60*kb)}, here, 9 * kb,
			nil, true},
		{"stalled ones go, the longest first", bytesPolicy, []had{stalled("a", here, 20*kb, sec), stalled("b", there, 20*kb, 2*sec),
			active("c", there, 15*kb)}, there, 20 * kb, []string{"b"}, true},
		{"as many as needed", bytesPolicy, []had{stalled("a", here, 20*kb, sec), stalled("b", there, 20*kb, 2*sec),
			active("c", there, 15*kb)}, there, 40 * kb, []string{"b", "a"}, true},
		{"a moment without progress is not a stall", bytesPolicy, []had{stalled("a", here, 50*kb, sec/4)}, there, 20 * kb,
			nil, false},
		{"a slow one goes although it makes progress", bytesPolicy, []had{slow, active("a", there, 20*kb)}, there, 30 * kb,
			[]string{"slow"}, true},
		{"work in progress stays", bytesPolicy, []had{pinned(stalled("a", here, 50*kb, 9*sec))}, there, 20 * kb, nil, false},
		{"an address with a full share gives up its own", bytesPolicy, []had{stalled("a", here, 9*kb, sec), active("b", here, 60*kb),
			active("c", here, 9*kb), stalled("d", there, 9*kb, 2*sec)}, here, 9 * kb, []string{"a"}, true},
		{"other addresses have room beside a full share", bytesPolicy, []had{pinned(active("a", here, 60*kb)), active("b", here, 9*kb),
			active("c", here, 9*kb), active("d", here, 7*kb)}, there, 9 * kb, nil, true},
		{"an address with a full share of active ones gets no more", bytesPolicy, []had{pinned(active("a", here, 60*kb)),
			active("b", here, 9*kb), active("c", here, 9*kb), active("d", here, 7*kb)}, here, 9 * kb, nil, false},
		{"small stalled ones make room for small ones", bytesPolicy, []had{active("a", here, 60*kb), stalled("b", there, 9*kb, sec),
			stalled("c", there, 9*kb, 2*sec), stalled("d", there, 9*kb, 3*sec), active("e", there, 9*kb)}, there, 9 * kb, []string{"d"}, true},
		{"the least active connection goes", connPolicy, []had{active("a", here, 1), stalled("b", there, 1, sec), stalled("c", here, 1, sec/4),
			active("d", there, 1)}, there, 1, []string{"b"}, true},
		{"a new connection goes before a known one", connPolicy, []had{known(stalled("a", there, 1, 9*sec)), active("b", there, 1),
			stalled("c", here, 1, sec), known(active("d", here, 1))}, there, 1, []string{"c"}, true},
		{"a known one goes if there is no other", connPolicy, []had{known(stalled("a", there, 1, 9*sec)), pinned(active("b", there, 1)),
			known(stalled("c", here, 1, sec)), pinned(active("d", here, 1))}, there, 1, []string{"a"}, true},
		{"all connections work", connPolicy, []had{pinned(active("a", here, 1)), pinned(active("b", here, 1)), pinned(active("c", there, 1)),
			pinned(active("d", there, 1))}, there, 1, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New[string](c.policy)
			var before int64
			for _, b := range c.before {
				h := l.Open(b.began, b.client, b.name)
				l.add(h, b.held)
				l.Progress(b.latest, h, b.progressed)
				l.Unpin(h, b.known)
				h.pinned = b.pinned
				before += b.held
			}
			h := l.Open(now, c.client, "new")
			evicted, ok := l.Reserve(now, h, c.n)
			assert.Equal(t, c.ok, ok)
			var names []string
			for _, e := range evicted {
				names = append(names, e.Value)
				assert.True(t, e.Evicted())
			}
			assert.Equal(t, c.evicts, names)
			if c.ok {
				before += c.n
			}
			assert.Equal(t, before, l.Held(), "evicted holders have theirs until they are closed")
			for l.Holders() > 0 {
				l.Close(l.holders[0])
			}
			assert.Zero(t, l.Held())
			assert.Empty(t, l.clients)
		})
	}
}

// Guards against memory beyond the total while evicted holders have not given up theirs, and against evictions for a
// newcomer that gets nothing.
func TestEvictedHoldersCountUntilTheyLeave(t *testing.T) {
	l := New[string](Policy{Total: 8, Large: 8, Small: 1, PerClient: 8})
	for range 8 {
		_, ok := l.Reserve(0, l.Open(0, here, ""), 1)
		require.True(t, ok)
	}
	var evicted []*Holder[string]
	for range 2 {
		e, ok := l.Reserve(sec, l.Open(sec, here, ""), 1)
		require.True(t, ok)
		evicted = append(evicted, e...)
	}
	require.Len(t, evicted, 2)
	e, ok := l.Reserve(sec, l.Open(sec, here, ""), 1)
	assert.False(t, ok)
	assert.Empty(t, e)
	l.Release(evicted[0], 1)
	l.Close(evicted[0])
	e, ok = l.Reserve(sec, l.Open(sec, here, ""), 1)
	assert.True(t, ok)
	assert.Len(t, e, 1)
	_, ok = l.Reserve(sec, evicted[1], 1)
	assert.False(t, ok, "an evicted holder gets nothing more")
}

// Guards against accounts that drift when holders grow, shrink, are evicted and leave in any order.
func TestAccountsAddUp(t *testing.T) {
	l := New[int](bytesPolicy)
	var open []*Holder[int]
	x := uint32(1)
	random := func(n uint32) uint32 { x = x*1664525 + 1013904223; return (x >> 8) % n }
	for step := range 20000 {
		now := time.Duration(step) * sec / 100
		switch k := random(4); {
		case k == 0 || len(open) == 0:
			open = append(open, l.Open(now, []netip.Addr{here, there}[random(2)%2], step))
		case k == 1:
			_, _ = l.Reserve(now, open[random(1<<16)%uint32(len(open))], int64(random(1<<16)%uint32(20*kb)))
		case k == 2:
			if h := open[random(1<<16)%uint32(len(open))]; h.held > 0 {
				l.Release(h, h.held/2)
			}
		default:
			i := random(1<<16) % uint32(len(open))
			l.Close(open[i])
			open = append(open[:i], open[i+1:]...)
		}
		var held, large, leaving int64
		for _, h := range l.holders {
			switch {
			case h.evicted:
				leaving += h.held
				continue
			case h.held > bytesPolicy.Small:
				large += h.held
			}
			held += h.held
		}
		require.Equal(t, []int64{held, large, leaving}, []int64{l.held, l.large, l.leaving})
		require.LessOrEqual(t, held, bytesPolicy.Total)
		require.LessOrEqual(t, large, bytesPolicy.Large)
		require.LessOrEqual(t, l.clients[here], bytesPolicy.PerClient)
		require.LessOrEqual(t, l.Held(), bytesPolicy.Total*5/4)
	}
}

// BenchmarkShortBudget measures a decision with a thousand holders of which one must go.
func BenchmarkShortBudget(b *testing.B) {
	l := New[int](Policy{Total: 1000, Large: 1000, Small: 1, PerClient: 1000})
	for i := range 1000 {
		_, _ = l.Reserve(time.Duration(i), l.Open(time.Duration(i), here, i), 1)
	}
	now := sec
	for b.Loop() {
		now++
		evicted, ok := l.Reserve(now, l.Open(now, here, 0), 1)
		if !ok {
			b.Fatal("no room")
		}
		for _, e := range evicted {
			l.Close(e)
		}
	}
}
