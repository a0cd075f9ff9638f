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

// Guards against a break anywhere in the straight line from a submission to the end of its tasks, and against grants on workers
// that were not fenced.
func TestClaimPlaceStartClose(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 4)
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 10)
		time.Sleep(3 * time.Second)
		require.Equal(t, 12, w.fleet.running(), "ten tasks and two replicas")
		m, err := s.Handle(t.Context(), link.Peer{ID: "g1", Role: instance.RoleGateway},
			&contract.GrantRequest{Shard: testShard, Gateway: "g1"})
		require.NoError(t, err)
		require.Len(t, m.(*contract.GrantReply).Workers, 4)
		time.Sleep(25 * time.Second)
		j := w.job(s, "a")
		require.Equal(t, 10, j.Done)
		require.Equal(t, 10, j.Attempts)
		require.Equal(t, int64(10*1000), j.Cost, "one core for one second each at 3.6 a core hour")
		require.Equal(t, 2, w.fleet.running())
		require.NoError(t, stop())
	})
}

// Guards against a handover that loses or repeats work: the second scheduler takes over after a planned stop.
func TestHandover(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 4)
		s1, stop1 := w.scheduler("s1")
		s2, stop2 := w.scheduler("s2")
		time.Sleep(6 * time.Second)
		w.submit("a", 8)
		time.Sleep(2 * time.Second)
		first, second, stopFirst, stopSecond := s1, s2, stop1, stop2
		if _, err := s1.Handle(t.Context(), link.Peer{}, &contract.JobStatus{Shard: testShard}); err != nil {
			var f *contract.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, "link-s2-0", f.Owner)
			first, second, stopFirst, stopSecond = s2, s1, stop2, stop1
		}
		require.Equal(t, 8, w.job(first, "a").Running)
		require.NoError(t, stopFirst())
		time.Sleep(4 * time.Second)
		require.Equal(t, 8, w.job(second, "a").Running)
		time.Sleep(25 * time.Second)
		j := w.job(second, "a")
		require.Equal(t, 8, j.Done)
		require.Equal(t, 8, j.Attempts, "a handover restarts no task")
		require.NoError(t, stopSecond())
	})
}

// Guards against attempts that are closed too early or never after their worker is lost, and against a resume from anything but the
// newest checkpoint known.
func TestLostWorker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2)
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 4)
		time.Sleep(2 * time.Second)
		lost := w.fleet.workers["127.0.0.1:9000"]
		w.fleet.mu.Lock()
		lost.down = true
		held := len(lost.tasks)
		w.fleet.mu.Unlock()
		require.Positive(t, held)
		time.Sleep(9 * time.Second)
		require.Equal(t, 4, w.job(s, "a").Attempts, "the lease of ten seconds has not lapsed")
		time.Sleep(35 * time.Second)
		j := w.job(s, "a")
		require.Equal(t, 4, j.Done)
		require.Greater(t, j.Attempts, 4)
		require.NoError(t, stop())
	})
}

// Guards against lost leases or new records during an outage of the log, and against a storm of appends after it.
func TestLogOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 4)
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 6)
		time.Sleep(2 * time.Second)
		w.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(2 * time.Minute)
		require.Equal(t, 2, w.fleet.running(), "services keep their leases, the batch tasks have ended")
		before := w.log.Stats().Appends
		w.log.SetFaults(standin.LogFaults{})
		time.Sleep(15 * time.Second)
		require.Equal(t, 6, w.job(s, "a").Done)
		require.LessOrEqual(t, w.log.Stats().Appends-before, int64(4))
		require.NoError(t, stop())
	})
}

// Guards against work that stays on a drained worker or starts anew instead of resuming.
func TestDrain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2)
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 4)
		time.Sleep(2 * time.Second)
		data, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Drain{Worker: "w0", Drain: true})
		require.NoError(t, err)
		_, err = w.log.Append(t.Context(), "shard/"+testShard, [][]byte{data})
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		w.fleet.mu.Lock()
		require.Empty(t, w.fleet.workers["127.0.0.1:9000"].tasks)
		require.NotEmpty(t, w.fleet.resumed)
		w.fleet.mu.Unlock()
		j := w.job(s, "a")
		require.Equal(t, 4, j.Running)
		require.Positive(t, j.Evicted)
		require.Equal(t, j.Evicted, j.Resumed)
		require.NoError(t, stop())
	})
}
