package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

const ttl = 10 * time.Second

func reading(seconds int) time.Duration { return time.Duration(seconds) * time.Second }

// Guards against a delayed renewal that revives a lapsed lease, and against a renewal that is anchored to the time of
// its arrival.
func TestDelayedRenewalDoesNotRevive(t *testing.T) {
	var w Worker
	require.Equal(t, Renewal{NewEpoch: true}, w.Renew(reading(100), "a", 5, 0, ttl))
	require.False(t, w.Valid(reading(100)), "a fence alone grants no lease")
	w.Renew(reading(102), "a", 5, reading(100), ttl)
	require.Equal(t, reading(110), w.Expiry())
	require.False(t, w.Lapse(reading(109)))
	w.Renew(reading(110), "a", 5, reading(109), ttl)
	require.False(t, w.Valid(reading(110)), "a lapse cannot be skipped")
	require.True(t, w.Lapse(reading(110)))
	require.False(t, w.Lapse(reading(111)), "a lapse is reported once")

	w.Renew(reading(112), "a", 5, reading(101), ttl)
	require.False(t, w.Valid(reading(112)))
	w.Renew(reading(112), "a", 5, reading(111), ttl)
	require.True(t, w.Valid(reading(120)))
	w.Renew(reading(113), "a", 5, reading(108), ttl)
	require.Equal(t, reading(121), w.Expiry(), "an overtaken renewal does not shorten the lease")
}

// Guards against calls of an earlier owner, of another shard or of an owner that has not fenced the worker.
func TestRefusals(t *testing.T) {
	var w Worker
	require.Equal(t, upstream.RefusalNoLease, w.CheckEpoch("a", 1))
	require.Equal(t, upstream.RefusalStaleEpoch, w.Renew(reading(1), "a", 0, 0, ttl).Refusal)
	w.Renew(reading(1), "a", 5, reading(1), ttl)
	for _, c := range []struct {
		shard string
		epoch uint64
		now   time.Duration
		want  upstream.Refusal
	}{
		{"a", 5, reading(2), upstream.RefusalNone}, {"a", 4, reading(2), upstream.RefusalStaleEpoch},
		{"b", 9, reading(2), upstream.RefusalWrongShard},
		{"a", 6, reading(2), upstream.RefusalNoLease}, {"a", 5, reading(11), upstream.RefusalNoLease},
	} {
		require.Equal(t, c.want, w.CheckLease(c.now, c.shard, c.epoch), c)
	}
	require.Equal(t, upstream.RefusalWrongShard, w.Renew(reading(2), "b", 9, 0, ttl).Refusal)
	require.Equal(t, upstream.RefusalStaleEpoch, w.Renew(reading(2), "a", 4, reading(2), ttl).Refusal)
	require.Equal(t, Renewal{NewEpoch: true}, w.Renew(reading(2), "a", 7, 0, ttl))
	require.True(t, w.Valid(reading(3)), "a fence does not end the lease granted before")
}

// Guards against a lease that outlasts the latest echoed clock reading plus the TTL, for any order of renewals.
func TestLeaseNeverOutlivesItsAnchor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Worker
		now, latest := reading(1), time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "step")) * time.Millisecond
			asOf := time.Duration(rapid.IntRange(0, int(now/time.Millisecond)+5000).Draw(t, "asOf")) * time.Millisecond
			w.Renew(now, "a", rapid.Uint64Range(0, 3).Draw(t, "epoch"), asOf, ttl)
			if asOf <= now {
				latest = max(latest, asOf)
			}
			if w.Valid(now) {
				require.LessOrEqual(t, w.Expiry(), latest+ttl)
				require.LessOrEqual(t, w.Expiry(), now+ttl)
			}
			lapsed := w.Lapse(now)
			require.False(t, lapsed && w.Valid(now))
			require.False(t, w.Lapse(now))
		}
	})
}
