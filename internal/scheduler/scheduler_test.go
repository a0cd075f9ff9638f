package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
)

// Guards against a failure anywhere on the path from the submission of a job to the end of its tasks, and against
// workers that are missing from a gateway's grant.
func TestClaimPlaceStartClose(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 4)
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 10)
		time.Sleep(3 * time.Second)
		require.Equal(t, 12, cl.fleet.running(), "ten tasks and two replicas")
		m, err := s.Handle(t.Context(), link.Peer{ID: "g1", Role: instance.RoleGateway},
			&contract.GrantRequest{Shard: testShard, Gateway: "g1"})
		require.NoError(t, err)
		require.Len(t, m.(*contract.GrantReply).Workers, 4)
		time.Sleep(25 * time.Second)
		j := cl.job(s, "a")
		require.Equal(t, 10, j.Done)
		require.Equal(t, 10, j.Attempts)
		require.Equal(t, int64(10*1000), j.Cost, "one core for one second each at 3.6 a core hour")
		require.Equal(t, 2, cl.fleet.running())
		require.NoError(t, stop())
	})
}

// Guards against a handover that loses or restarts tasks when another scheduler takes over after a planned stop.
func TestHandover(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 4)
		s1, stop1 := cl.startScheduler("s1")
		s2, stop2 := cl.startScheduler("s2")
		time.Sleep(6 * time.Second)
		cl.submit("a", 8)
		time.Sleep(2 * time.Second)
		first, second, stopFirst, stopSecond := s1, s2, stop1, stop2
		if _, err := s1.Handle(t.Context(), link.Peer{}, &contract.JobStatus{Shard: testShard}); err != nil {
			var f *contract.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, "link-s2-0", f.Owner)
			first, second, stopFirst, stopSecond = s2, s1, stop2, stop1
		}
		require.Equal(t, 8, cl.job(first, "a").Running)
		require.NoError(t, stopFirst())
		time.Sleep(4 * time.Second)
		require.Equal(t, 8, cl.job(second, "a").Running)
		time.Sleep(25 * time.Second)
		j := cl.job(second, "a")
		require.Equal(t, 8, j.Done)
		require.Equal(t, 8, j.Attempts, "a handover restarts no task")
		require.NoError(t, stopSecond())
	})
}

// Guards against attempts that are closed before the lease of an unreachable worker has lapsed, or never, and against a
// resume from any checkpoint but the newest known one.
func TestLostWorker(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 2)
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 4)
		time.Sleep(2 * time.Second)
		lost := cl.fleet.workers["127.0.0.1:9000"]
		cl.fleet.mu.Lock()
		lost.down = true
		held := len(lost.tasks)
		cl.fleet.mu.Unlock()
		require.Positive(t, held)
		time.Sleep(9 * time.Second)
		require.Equal(t, 4, cl.job(s, "a").Attempts, "the lease of ten seconds has not lapsed")
		time.Sleep(35 * time.Second)
		j := cl.job(s, "a")
		require.Equal(t, 4, j.Done)
		require.Greater(t, j.Attempts, 4)
		require.NoError(t, stop())
	})
}

// Guards against leases that lapse and records that accumulate during an outage of the log, and against a burst of
// appends after it.
func TestLogOutage(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 4)
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 6)
		time.Sleep(2 * time.Second)
		cl.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(2 * time.Minute)
		require.Equal(t, 2, cl.fleet.running(), "services keep their leases, the batch tasks have ended")
		before := cl.log.Stats().Appends
		cl.log.SetFaults(standin.LogFaults{})
		time.Sleep(15 * time.Second)
		require.Equal(t, 6, cl.job(s, "a").Done)
		require.LessOrEqual(t, cl.log.Stats().Appends-before, int64(4))
		require.NoError(t, stop())
	})
}

// Guards against tasks that stay on a drained worker, or that restart instead of resuming from their checkpoint.
func TestDrain(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 2)
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 4)
		time.Sleep(2 * time.Second)
		data, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Drain{Worker: "w0", Drain: true})
		require.NoError(t, err)
		_, err = cl.log.Append(t.Context(), "shard/"+testShard, [][]byte{data})
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		cl.fleet.mu.Lock()
		require.Empty(t, cl.fleet.workers["127.0.0.1:9000"].tasks)
		require.NotEmpty(t, cl.fleet.resumed)
		cl.fleet.mu.Unlock()
		j := cl.job(s, "a")
		require.Equal(t, 4, j.Running)
		require.Positive(t, j.Evicted)
		require.Equal(t, j.Evicted, j.Resumed)
		require.NoError(t, stop())
	})
}
