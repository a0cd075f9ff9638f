package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

var t0 = time.Unix(5000, 0)

func terms(afterRelease bool) Terms {
	return Terms{Shard: "a", Epoch: 9, Owner: "s", TTL: 10 * time.Second, IsolationLimit: 10 * time.Minute, ReadBack: t0,
		AfterRelease: afterRelease}
}

func sec(n float64) time.Time { return t0.Add(time.Duration(n * float64(time.Second))) }

// Guards against closing attempts on a worker that an earlier owner may still renew.
func TestNewOwnerWaits(t *testing.T) {
	released, crashed := NewOwner(terms(true)), NewOwner(terms(false))
	require.False(t, released.Lapsed(sec(10)))
	require.True(t, released.Lapsed(sec(10.1)))
	require.False(t, crashed.Lapsed(sec(610)))
	require.True(t, crashed.Lapsed(sec(616.1)))
	lowered := terms(false)
	lowered.EarlierTTL, lowered.EarlierIsolation = 20*time.Second, 20*time.Minute
	require.False(t, NewOwner(lowered).Lapsed(sec(1232)), "the earlier owner works with the longer limits of an older manifest")
	require.True(t, NewOwner(lowered).Lapsed(sec(1232.2)))
	released.Next()
	require.True(t, released.Lapsed(sec(10.1)), "a call that only fences grants no lease time")
}

// Guards against a lapse that is counted from anything but the receipt of the last echoed reading.
func TestLapse(t *testing.T) {
	o := NewOwner(terms(false))
	first := o.Next()
	require.Zero(t, first.AsOf)
	require.True(t, first.Full)
	reply := upstream.LeaseReply{Epoch: 9, Boot: "b", Clock: 50 * time.Second, Expiry: 53 * time.Second}
	require.Equal(t, Fenced, o.Reply(sec(1), sec(2), reply))
	require.False(t, o.Lapsed(sec(5)), "the earlier owner's lease has three seconds left")
	require.True(t, o.Lapsed(sec(5.04)))
	req := o.Next()
	require.Equal(t, 50*time.Second, req.AsOf)
	require.False(t, o.Lapsed(sec(12)))
	require.True(t, o.Lapsed(sec(12.11)), "receipt at 2 s, 10 s TTL and 1%")
	require.Equal(t, Renewed, o.Reply(sec(3), sec(4), upstream.LeaseReply{Epoch: 9, Boot: "b", Clock: 52 * time.Second}))
	require.True(t, o.Lapsed(sec(12.11)), "a reading that was not echoed yet grants nothing")
	o.Next()
	require.False(t, o.Lapsed(sec(14)))
	require.Equal(t, 62*time.Second, o.StartBound())
	require.Equal(t, Outdated, o.Reply(sec(3.5), sec(5), upstream.LeaseReply{Epoch: 9, Boot: "b", Clock: 51 * time.Second}))
}

// Guards against a wrong reading of refusals and restarts.
func TestReplies(t *testing.T) {
	fenced := func() *Owner {
		o := NewOwner(terms(true))
		o.Reply(sec(1), sec(2), upstream.LeaseReply{Epoch: 9, Boot: "b", Clock: time.Second})
		o.Next()
		return o
	}
	tests := map[string]struct {
		reply  upstream.LeaseReply
		want   Answer
		fenced bool
		lapsed bool
	}{
		"renewed":              {upstream.LeaseReply{Epoch: 9, Boot: "b", Clock: 2 * time.Second}, Renewed, true, false},
		"higher epoch":         {upstream.LeaseReply{Epoch: 10, Boot: "b", Refusal: upstream.RefusalStaleEpoch}, Superseded, true, false},
		"refused":              {upstream.LeaseReply{Epoch: 9, Boot: "b", Refusal: upstream.RefusalWrongShard}, Refused, true, false},
		"restarted, refused":   {upstream.LeaseReply{Boot: "c", Refusal: upstream.RefusalWrongBoot}, Rebooted, false, true},
		"restarted and fenced": {upstream.LeaseReply{Epoch: 9, Boot: "c", Clock: time.Second}, Rebooted, true, true},
	}
	for what, c := range tests {
		t.Run(what, func(t *testing.T) {
			o := fenced()
			require.Equal(t, c.want, o.Reply(sec(3), sec(4), c.reply))
			require.Equal(t, c.fenced, o.Fenced())
			require.Equal(t, c.lapsed, o.Lapsed(sec(4)))
		})
	}
	require.True(t, terms(true).MayRenew(sec(599), t0))
	require.False(t, terms(true).MayRenew(sec(600), t0))
}
