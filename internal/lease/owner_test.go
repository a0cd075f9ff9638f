package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

var testStart = time.Unix(5000, 0)

func testTerms(afterRelease bool) Terms {
	return Terms{Shard: "a", Epoch: 9, Owner: "s", TTL: 10 * time.Second, IsolationLimit: 10 * time.Minute,
		ClaimReadAt: testStart, AfterRelease: afterRelease}
}

func at(n float64) time.Time { return testStart.Add(time.Duration(n * float64(time.Second))) }

// Guards against a new owner that closes attempts on a worker whose lease an earlier owner may still renew.
func TestNewWorkerLeaseWaits(t *testing.T) {
	released, crashed := NewWorkerLease(testTerms(true)), NewWorkerLease(testTerms(false))
	require.False(t, released.Lapsed(at(10)))
	require.True(t, released.Lapsed(at(10.1)))
	require.False(t, crashed.Lapsed(at(610)))
	require.True(t, crashed.Lapsed(at(616.1)))
	lowered := testTerms(false)
	lowered.EarlierTTL, lowered.EarlierIsolation = 20*time.Second, 20*time.Minute
	require.False(t, NewWorkerLease(lowered).Lapsed(at(1232)),
		"the earlier owner uses the longer limits of an older manifest")
	require.True(t, NewWorkerLease(lowered).Lapsed(at(1232.2)))
	released.NextRequest()
	require.True(t, released.Lapsed(at(10.1)), "a call that only fences grants no lease time")
}

// Guards against a lapse time that is counted from anything but the receipt of the newest echoed clock reading.
func TestLapse(t *testing.T) {
	o := NewWorkerLease(testTerms(false))
	first := o.NextRequest()
	require.Zero(t, first.AsOf)
	require.True(t, first.Full)
	reply := upstream.LeaseReply{Epoch: 9, Incarnation: "b", Clock: 50 * time.Second, Expiry: 53 * time.Second}
	require.Equal(t, FirstReply, o.HandleReply(at(1), at(2), reply))
	require.False(t, o.Lapsed(at(5)), "the earlier owner's lease has three seconds left")
	require.True(t, o.Lapsed(at(5.04)))
	req := o.NextRequest()
	require.Equal(t, 50*time.Second, req.AsOf)
	require.False(t, o.Lapsed(at(12)))
	require.True(t, o.Lapsed(at(12.11)), "receipt at 2 s, 10 s TTL and 1%")
	require.Equal(t, Renewed, o.HandleReply(at(3), at(4),
		upstream.LeaseReply{Epoch: 9, Incarnation: "b", Clock: 52 * time.Second}))
	require.True(t, o.Lapsed(at(12.11)), "a reading that was not echoed yet extends no lease")
	o.NextRequest()
	require.False(t, o.Lapsed(at(14)))
	require.Equal(t, 62*time.Second, o.StartDeadline())
	require.Equal(t, Outdated, o.HandleReply(at(3.5), at(5),
		upstream.LeaseReply{Epoch: 9, Incarnation: "b", Clock: 51 * time.Second}))
}

// Guards against a wrong interpretation of refusals and restarts.
func TestReplies(t *testing.T) {
	fenced := func() *WorkerLease {
		o := NewWorkerLease(testTerms(true))
		o.HandleReply(at(1), at(2), upstream.LeaseReply{Epoch: 9, Incarnation: "b", Clock: time.Second})
		o.NextRequest()
		return o
	}
	tests := map[string]struct {
		reply  upstream.LeaseReply
		want   ReplyResult
		fenced bool
		lapsed bool
	}{
		"renewed": {upstream.LeaseReply{Epoch: 9, Incarnation: "b", Clock: 2 * time.Second}, Renewed, true,
			false},
		"higher epoch": {upstream.LeaseReply{Epoch: 10, Incarnation: "b", Refusal: upstream.RefusalStaleEpoch},
			Superseded, true, false},
		"refused": {upstream.LeaseReply{Epoch: 9, Incarnation: "b", Refusal: upstream.RefusalWrongShard}, Refused,
			true, false},
		"restarted, refused": {upstream.LeaseReply{Incarnation: "c", Refusal: upstream.RefusalWrongIncarnation},
			Restarted, false, true},
		"restarted and fenced": {upstream.LeaseReply{Epoch: 9, Incarnation: "c", Clock: time.Second}, Restarted,
			true, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			o := fenced()
			require.Equal(t, c.want, o.HandleReply(at(3), at(4), c.reply))
			require.Equal(t, c.fenced, o.Fenced())
			require.Equal(t, c.lapsed, o.Lapsed(at(4)))
		})
	}
	require.True(t, testTerms(true).MayRenew(at(599), testStart))
	require.False(t, testTerms(true).MayRenew(at(600), testStart))
}
