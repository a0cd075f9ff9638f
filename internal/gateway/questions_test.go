package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// Guards against a job that is reported as ended, with tasks missing, while its tasks are in transfer to another shard.
func TestTransferredTasksArePending(t *testing.T) {
	ended := time.Unix(100, 0)
	source := contract.JobState{Tasks: 6, Done: 4, Transferred: 2, Ended: ended}
	inTransfer := sumParts(source, nil)
	require.Equal(t, 2, inTransfer.Pending)
	require.Zero(t, inTransfer.Ended)

	running := sumParts(source, []contract.JobState{{Tasks: 2, Running: 1, Done: 1}})
	require.Equal(t, []int{0, 1, 5}, []int{running.Pending, running.Running, running.Done})
	require.Zero(t, running.Ended)

	done := sumParts(source, []contract.JobState{{Tasks: 2, Done: 2, Ended: ended.Add(time.Second)}})
	require.Equal(t, []int{0, 0, 6}, []int{done.Pending, done.Running, done.Done})
	require.Equal(t, ended.Add(time.Second), done.Ended)
}
