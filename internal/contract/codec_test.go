package contract

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Guards against a body type that the decoder does not know: its records would make a stream unreadable.
func TestRecordRoundTrip(t *testing.T) {
	ref := upstream.TaskRef{Job: "bne-0~a", Index: 3, Attempt: 2}
	bodies := []Body{
		&Publish{Replaces: 4, Manifest: []byte("x"), At: time.Unix(5, 250000000)},
		&Claim{Owner: "s1", PreviousEpoch: 7}, &Release{LeasesLeft: time.Minute}, &Submit{Job: "j", Tasks: 3}, &Cancel{Job: "j"},
		&Place{TaskRef: ref, Worker: "w"}, &Close{TaskRef: ref, Outcome: upstream.OutcomeDone},
		&TransferOut{Job: "j", To: "b"}, &TransferIn{From: "a"}, &SnapshotPart{Part: 1}, &SnapshotEnd{Parts: 2},
		&Drain{Worker: "w", Drain: true},
	}
	for _, b := range bodies {
		id := NewRecordID()
		data, err := EncodeRecord(id, 9, b)
		require.NoError(t, err)
		r, got, err := DecodeRecord(data)
		require.NoError(t, err)
		require.Equal(t, id, r.ID)
		require.Equal(t, uint64(9), r.Epoch)
		require.Equal(t, b, got)
	}
}

// Guards against a message type that the decoder does not know.
func TestMessageRoundTrip(t *testing.T) {
	messages := []Message{
		&GrantRequest{Shard: "a"}, &GrantReply{Epoch: 3}, &Forward{RequestID: "r"}, &ForwardReply{State: AnswerWhole},
		&Heartbeat{From: "s", Owned: []OwnedShard{{Shard: "a", Epoch: 4}}}, &HeartbeatReply{From: "t"},
		&JobStatus{Job: "j"}, &JobStatusReply{Epoch: 1},
		&Explain{Subject: "j"}, &ExplainReply{Lines: []string{"l"}}, &ConfigFetch{}, &ConfigFetchReply{Offset: 2},
		&ShardStatus{}, &ShardStatusReply{Shards: []ShardState{{Shard: "a"}}}, &Failure{Code: FailureNotOwner},
	}
	for _, m := range messages {
		data, err := EncodeMessage(m)
		require.NoError(t, err)
		got, err := DecodeMessage(data)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
}

// Guards against bytes from a peer or the log that make a decoder panic or allocate without limit, and against decoded
// values that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	data, _ := EncodeRecord(NewRecordID(), 1, &Submit{Job: "j"})
	f.Add(data)
	data, _ = EncodeMessage(&Forward{Body: []byte("b")})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, b, err := DecodeRecord(data); err == nil {
			_, err := EncodeRecord(r.ID, r.Epoch, b)
			require.NoError(t, err)
		}
		if m, err := DecodeMessage(data); err == nil {
			_, err := EncodeMessage(m)
			require.NoError(t, err)
		}
	})
}
