package shard

import (
	"testing"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// Guards against a panic on a damaged snapshot, and against a replayer that cannot continue after one.
func FuzzSnapshot(f *testing.F) {
	r := NewReplayer("a", &recordingState{}, 1)
	claim, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Claim{Owner: "s"})
	require.NoError(f, err)
	_, err = r.Apply(1, claim)
	require.NoError(f, err)
	d, err := r.Draft(contract.NewRecordID())
	require.NoError(f, err)
	f.Add(d.Parts[0].Data, uint64(9))
	f.Add([]byte{0xa0}, uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, covers uint64) {
		id := contract.NewRecordID()
		r := NewReplayer("a", &recordingState{}, 10)
		for i, b := range []contract.Body{&contract.SnapshotPart{Snapshot: id, Data: data},
			&contract.SnapshotEnd{Snapshot: id, Parts: 1, First: 10, Covers: covers}, &contract.Cancel{Job: "j"}} {
			record, err := contract.EncodeRecord(contract.NewRecordID(), 0, b)
			require.NoError(t, err)
			_, err = r.Apply(uint64(10+i), record)
			require.NoError(t, err)
		}
		if _, again := r.EndOfStream(10); again {
			t.Fatal("no older record exists")
		}
		require.Equal(t, uint64(13), r.Next())
	})
}
