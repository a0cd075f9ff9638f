package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/manifest"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
)

func (w *world) append(id contract.RecordID, b contract.Body) {
	data, err := contract.EncodeRecord(id, 0, b)
	require.NoError(w.t, err)
	_, err = w.log.Append(w.t.Context(), "shard/"+testShard, [][]byte{data})
	require.NoError(w.t, err)
}

// Guards against cancelled tasks that run on or are placed afterwards.
func TestCancel(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 1)
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 30)
		time.Sleep(2 * time.Second)
		require.Equal(t, 9, w.fleet.running(), "seven tasks beside two replicas of half a core")
		w.append(contract.NewRecordID(), &contract.Cancel{Job: testShard + "~a", At: time.Now()})
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, w.fleet.running())
		j := w.job(s, "a")
		require.Equal(t, 30, j.Cancelled)
		require.Equal(t, 7, j.Attempts, "the one that was placed ahead does not count")
		require.NoError(t, stop())
	})
}

// Guards against services that do not follow the manifest, and against restarted replicas that the worker takes for old attempts.
func TestServiceFollowsManifest(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2)
		source := &changingConfig{v: w.v}
		w.source = source
		_, stop := w.scheduler("s1")
		time.Sleep(6 * time.Second)
		require.Equal(t, 2, w.fleet.running())
		for i, n := range []int{5, 1, 0, 3} {
			next := *w.v.Manifest
			next.Kinds = append([]manifest.Kind{}, next.Kinds...)
			next.Kinds[1].Replicas = n
			if n == 0 {
				next.Kinds = next.Kinds[:1]
			}
			source.set(&config.Version{Offset: uint64(i + 2), Manifest: &next})
			time.Sleep(5 * time.Second)
			require.Equal(t, n, w.fleet.running())
		}
		require.NoError(t, stop())
	})
}

// Guards against a successor that cannot rebuild the state once the log has dropped the beginning of the stream, and against an owner
// that writes no snapshots.
func TestSnapshotsAndRetention(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 4)
		w.log = standin.NewLog(standin.Limits{MaxRecords: 2 * snapshotEvery}, 1)
		w.v.Manifest.Kinds[0].RunTime = time.Minute
		s1, stop1 := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 10)
		time.Sleep(2 * time.Second)
		for i := range 3 * snapshotEvery {
			w.append(contract.NewRecordID(), &contract.Cancel{Job: fmt.Sprint("unknown", i)})
			if i%100 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		m, err := s1.Handle(t.Context(), link.Peer{}, &contract.ShardStatus{})
		require.NoError(t, err)
		require.Positive(t, m.(*contract.ShardStatusReply).Shards[0].Snapshot)
		require.NoError(t, stop1())
		s2, stop2 := w.scheduler("s2")
		time.Sleep(5 * time.Second)
		require.Equal(t, 10, w.job(s2, "a").Running)
		time.Sleep(time.Minute)
		j := w.job(s2, "a")
		require.Equal(t, 10, j.Done)
		require.Equal(t, 10, j.Attempts)
		require.NoError(t, stop2())
	})
}

// Guards against pending tasks that wait for ever in a shard without workers, and against tasks that exist in both shards.
func TestTransfer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 4)
		w.v.Manifest.DataCentres = append(w.v.Manifest.DataCentres, manifest.DataCentre{Name: "ips", Workers: 4})
		w.v.Manifest.Kinds = w.v.Manifest.Kinds[:1]
		id := instance.ID("x0")
		w.fleet.add("127.0.0.1:9900", id)
		go w.register(instance.Member{ID: id, Incarnation: "boot-1", Role: instance.RoleWorker, State: instance.StateLive,
			DataCentre: "ips", Addr: "127.0.0.1:9900", Slots: 8, Capacity: w.v.Manifest.Worker.Capacity})
		w.log.SetFaults(standin.LogFaults{LoseAnswers: 0.2})
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.fleet.mu.Lock()
		for _, o := range w.fleet.workers {
			o.down = o.id != id
		}
		w.fleet.mu.Unlock()
		time.Sleep(12 * time.Second)
		for w.trySubmit("a", 6) != nil {
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Minute)
		require.Equal(t, 6, w.job(s, "a").Transferred)
		m, err := s.Handle(t.Context(), link.Peer{}, &contract.JobStatus{Shard: "ips-0", Job: testShard + "~a"})
		require.NoError(t, err)
		require.Equal(t, 6, m.(*contract.JobStatusReply).Jobs[0].Done)
		require.Equal(t, 6, w.fleet.started())
		require.NoError(t, stop())
	})
}

// Guards against work on a worker that leaves: no new task within seconds, its tasks resume elsewhere, its slots are withdrawn.
func TestLeavingWorker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 3)
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 6)
		time.Sleep(2 * time.Second)
		w.fleet.mu.Lock()
		w.fleet.workers["127.0.0.1:9001"].leaving = true
		w.fleet.mu.Unlock()
		time.Sleep(4 * time.Second)
		w.fleet.mu.Lock()
		require.Empty(t, w.fleet.workers["127.0.0.1:9001"].tasks)
		w.fleet.mu.Unlock()
		m, err := s.Handle(t.Context(), link.Peer{ID: "g1", Role: instance.RoleGateway},
			&contract.GrantRequest{Shard: testShard, Gateway: "g1"})
		require.NoError(t, err)
		require.Len(t, m.(*contract.GrantReply).Workers, 2)
		require.Equal(t, 6, w.job(s, "a").Running)
		require.NoError(t, stop())
	})
}

// Guards against an owner that hands over while a worker may still hold a lease of the owner before it: the next owner would close the
// worker's attempts too early.
func TestNoReleaseWhileUnsettled(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.v.Manifest.Kinds[0].RunTime = time.Hour
		_, crashed, stop1 := w.cutScheduler("s1", 0)
		time.Sleep(5 * time.Second)
		w.submit("a", 4)
		time.Sleep(2 * time.Second)
		crashed.down.Store(true)
		_, c2, stop2 := w.cutScheduler("s2", 0)
		c2.blind.Store("127.0.0.1:9000", true)
		time.Sleep(15 * time.Second)
		require.NoError(t, stop2())
		s3, stop3 := w.scheduler("s3")
		time.Sleep(10 * time.Second)
		m, err := s3.Handle(t.Context(), link.Peer{}, &contract.ShardStatus{})
		require.NoError(t, err)
		require.Len(t, m.(*contract.ShardStatusReply).Shards, 1)
		after := make(chan bool, 1)
		require.True(t, s3.post(func(time.Time) { after <- s3.shards[testShard].own.terms.AfterRelease }))
		require.False(t, <-after)
		_, _ = stop3(), stop1()
	})
}

// Guards against workers without work during an outage of the log, against attempts that stay bound to a full worker while another one
// has room, and against urgent tasks that wait behind those placed ahead.
func TestPlacedAhead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 1)
		s, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.submit("a", 20)
		time.Sleep(2 * time.Second)
		require.Equal(t, 9, w.fleet.started(), "two replicas and seven tasks; one more is placed ahead")
		require.Equal(t, 8, w.job(s, "a").Attempts)
		w.append(contract.NewRecordID(), &contract.Submit{Job: testShard + "~late", Kind: "rebid", Tasks: 1, Submitted: time.Now(),
			Deadline: time.Now().Add(time.Minute)})
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, w.job(s, "late").Attempts, "it takes the place of a task with an hour to spare")
		w.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(20 * time.Second)
		require.Equal(t, 10, w.fleet.started(), "the attempt placed ahead has started without the log")
		w.log.SetFaults(standin.LogFaults{})
		time.Sleep(8 * time.Second)
		require.Equal(t, 0, w.job(s, "a").Evicted)
		waiting := w.job(s, "a").Pending
		w.fleet.mu.Lock()
		w.fleet.add("127.0.0.1:9001", "w1")
		w.fleet.mu.Unlock()
		go w.register(instance.Member{ID: "w1", Incarnation: "boot-1", Role: instance.RoleWorker, State: instance.StateLive,
			DataCentre: "bne", Addr: "127.0.0.1:9001", Rack: 1, Slots: 8, Capacity: w.v.Manifest.Worker.Capacity})
		time.Sleep(4 * time.Second)
		require.Greater(t, waiting, 0)
		require.Equal(t, 0, w.job(s, "a").Pending, "the waiting attempt has moved to the new worker")
		time.Sleep(time.Minute)
		require.Equal(t, 20, w.job(s, "a").Done)
		require.NoError(t, stop())
	})
}

// Guards against an attempt that was placed ahead and starts on a leaving worker during an outage of the log, when it cannot be evicted.
func TestNoStartOnLeavingWorker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2)
		_, stop := w.scheduler("s1")
		time.Sleep(5 * time.Second)
		w.append(contract.NewRecordID(), &contract.Submit{Job: testShard + "~short", Kind: "rebid", Tasks: 1, Submitted: time.Now(),
			Deadline: time.Now().Add(time.Minute), RunTime: 4 * time.Second})
		time.Sleep(time.Second)
		w.submit("a", 30)
		time.Sleep(time.Second)
		w.log.SetFaults(standin.LogFaults{Down: true})
		// The end of the short task cannot be written, so the owner knows that the log is down.
		time.Sleep(4 * time.Second)
		w.fleet.mu.Lock()
		for _, worker := range w.fleet.workers {
			worker.leaving = true
		}
		w.fleet.mu.Unlock()
		time.Sleep(2 * time.Second)
		started := w.fleet.started()
		time.Sleep(20 * time.Second)
		require.Equal(t, started, w.fleet.started())
		w.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		require.NoError(t, stop())
	})
}
