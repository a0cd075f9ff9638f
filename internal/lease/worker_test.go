package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

const ttl = 10 * time.Second

func at(seconds int) time.Duration { return time.Duration(seconds) * time.Second }

// Guards against a delayed renewal that revives a lapsed lease, and against one that is anchored to its arrival.
func TestDelayedRenewalDoesNotRevive(t *testing.T) {
	var w Worker
	require.Equal(t, Renewal{NewEpoch: true}, w.Renew(at(100), "a", 5, 0, ttl))
	require.False(t, w.Valid(at(100)), "a fence alone grants no time")
	w.Renew(at(102), "a", 5, at(100), ttl)
	require.Equal(t, at(110), w.Expiry())
	require.False(t, w.Lapse(at(109)))
	w.Renew(at(110), "a", 5, at(109), ttl)
	require.False(t, w.Valid(at(110)), "a lapse cannot be skipped")
	require.True(t, w.Lapse(at(110)))
	require.False(t, w.Lapse(at(111)), "a lapse is reported once")

	w.Renew(at(112), "a", 5, at(101), ttl)
	require.False(t, w.Valid(at(112)))
	w.Renew(at(112), "a", 5, at(111), ttl)
	require.True(t, w.Valid(at(120)))
	w.Renew(at(113), "a", 5, at(108), ttl)
	require.Equal(t, at(121), w.Expiry(), "an overtaken renewal does not shorten the lease")
}

// Guards against calls of an earlier owner, of another shard or of an owner that has not fenced the worker.
func TestRefusals(t *testing.T) {
	var w Worker
	require.Equal(t, upstream.RefusalNoLease, w.CheckEpoch("a", 1))
	require.Equal(t, upstream.RefusalStaleEpoch, w.Renew(at(1), "a", 0, 0, ttl).Refusal)
	w.Renew(at(1), "a", 5, at(1), ttl)
	for _, c := range []struct {
		shard string
		epoch uint64
		now   time.Duration
		want  upstream.Refusal
	}{
		{"a", 5, at(2), upstream.RefusalNone}, {"a", 4, at(2), upstream.RefusalStaleEpoch}, {"b", 9, at(2), upstream.RefusalWrongShard},
		{"a", 6, at(2), upstream.RefusalNoLease}, {"a", 5, at(11), upstream.RefusalNoLease},
	} {
		require.Equal(t, c.want, w.CheckLease(c.now, c.shard, c.epoch), c)
	}
	require.Equal(t, upstream.RefusalWrongShard, w.Renew(at(2), "b", 9, 0, ttl).Refusal)
	require.Equal(t, upstream.RefusalStaleEpoch, w.Renew(at(2), "a", 4, at(2), ttl).Refusal)
	require.Equal(t, Renewal{NewEpoch: true}, w.Renew(at(2), "a", 7, 0, ttl))
	require.True(t, w.Valid(at(3)), "a fence does not end the time that was granted before")
}

// Guards against a lease that outlives the latest reading an owner echoed plus the time to live, in any order of renewals.
func TestLeaseNeverOutlivesItsAnchor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Worker
		now, latest := at(1), time.Duration(0)
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
