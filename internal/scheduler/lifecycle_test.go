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

func (cl *testCluster) append(id contract.RecordID, b contract.Body) {
	data, err := contract.EncodeRecord(id, 0, b)
	require.NoError(cl.t, err)
	_, err = cl.log.Append(cl.t.Context(), "shard/"+testShard, [][]byte{data})
	require.NoError(cl.t, err)
}

// Guards against cancelled tasks that keep running or are placed later.
func TestCancel(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 1)
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 30)
		time.Sleep(2 * time.Second)
		require.Equal(t, 9, cl.fleet.running(), "seven tasks beside two replicas of half a core")
		cl.append(contract.NewRecordID(), &contract.Cancel{Job: testShard + "~a", At: time.Now()})
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, cl.fleet.running())
		j := cl.job(s, "a")
		require.Equal(t, 30, j.Cancelled)
		require.Equal(t, 7, j.Attempts, "the queued attempt does not count")
		require.NoError(t, stop())
	})
}

// Guards against services whose replicas do not match the manifest, and against restarted replicas that a worker
// mistakes for earlier attempts and refuses to start.
func TestServiceFollowsManifest(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 2)
		source := &mutableConfig{version: cl.version}
		cl.configSource = source
		_, stop := cl.startScheduler("s1")
		time.Sleep(6 * time.Second)
		require.Equal(t, 2, cl.fleet.running())
		for i, n := range []int{5, 1, 0, 3} {
			next := *cl.version.Manifest
			next.Kinds = append([]manifest.Kind{}, next.Kinds...)
			next.Kinds[1].Replicas = n
			if n == 0 {
				next.Kinds = next.Kinds[:1]
			}
			source.set(&config.Version{Offset: uint64(i + 2), Manifest: &next})
			time.Sleep(5 * time.Second)
			require.Equal(t, n, cl.fleet.running())
		}
		require.NoError(t, stop())
	})
}

// Guards against an owner that writes no snapshots, so that its successor cannot restore the state once the log no
// longer retains the beginning of the stream.
func TestSnapshotsAndRetention(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 4)
		cl.log = standin.NewLog(standin.Limits{MaxRecords: 2 * snapshotRecords}, 1)
		cl.version.Manifest.Kinds[0].RunTime = time.Minute
		s1, stop1 := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 10)
		time.Sleep(2 * time.Second)
		for i := range 3 * snapshotRecords {
			cl.append(contract.NewRecordID(), &contract.Cancel{Job: fmt.Sprint("unknown", i)})
			if i%100 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		m, err := s1.Handle(t.Context(), link.Peer{}, &contract.ShardStatus{})
		require.NoError(t, err)
		require.Positive(t, m.(*contract.ShardStatusReply).Shards[0].Snapshot)
		require.NoError(t, stop1())
		s2, stop2 := cl.startScheduler("s2")
		time.Sleep(5 * time.Second)
		require.Equal(t, 10, cl.job(s2, "a").Running)
		time.Sleep(time.Minute)
		j := cl.job(s2, "a")
		require.Equal(t, 10, j.Done)
		require.Equal(t, 10, j.Attempts)
		require.NoError(t, stop2())
	})
}

// Guards against pending tasks that are never transferred out of a shard without workers, and against tasks that exist
// in both shards after a transfer.
func TestTransfer(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 4)
		cl.version.Manifest.DataCentres = append(cl.version.Manifest.DataCentres,
			manifest.DataCentre{Name: "ips", Workers: 4})
		cl.version.Manifest.Kinds = cl.version.Manifest.Kinds[:1]
		id := instance.ID("x0")
		cl.fleet.addWorker("127.0.0.1:9900", id)
		go cl.register(instance.Member{ID: id, Incarnation: "boot-1", Role: instance.RoleWorker,
			State: instance.StateLive, DataCentre: "ips", Addr: "127.0.0.1:9900", Slots: 8,
			Capacity: cl.version.Manifest.Worker.Capacity})
		cl.log.SetFaults(standin.LogFaults{LostAnswerProbability: 0.2})
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.fleet.mu.Lock()
		for _, o := range cl.fleet.workers {
			o.down = o.id != id
		}
		cl.fleet.mu.Unlock()
		time.Sleep(12 * time.Second)
		for cl.trySubmit("a", 6) != nil {
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Minute)
		require.Equal(t, 6, cl.job(s, "a").Transferred)
		m, err := s.Handle(t.Context(), link.Peer{}, &contract.JobStatus{Shard: "ips-0", Job: testShard + "~a"})
		require.NoError(t, err)
		require.Equal(t, 6, m.(*contract.JobStatusReply).Jobs[0].Done)
		require.Equal(t, 6, cl.fleet.started())
		require.NoError(t, stop())
	})
}

// Guards against work that stays on a leaving worker: within seconds its tasks must resume elsewhere and its slots must
// not be granted any more.
func TestLeavingWorker(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 3)
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 6)
		time.Sleep(2 * time.Second)
		cl.fleet.mu.Lock()
		cl.fleet.workers["127.0.0.1:9001"].leaving = true
		cl.fleet.mu.Unlock()
		time.Sleep(4 * time.Second)
		cl.fleet.mu.Lock()
		require.Empty(t, cl.fleet.workers["127.0.0.1:9001"].tasks)
		cl.fleet.mu.Unlock()
		m, err := s.Handle(t.Context(), link.Peer{ID: "g1", Role: instance.RoleGateway},
			&contract.GrantRequest{Shard: testShard, Gateway: "g1"})
		require.NoError(t, err)
		require.Len(t, m.(*contract.GrantReply).Workers, 2)
		require.Equal(t, 6, cl.job(s, "a").Running)
		require.NoError(t, stop())
	})
}

// Guards against a restarted worker that gets no work, or whose tasks are evicted, because its earlier incarnation left.
func TestRestartAfterLeaving(t *testing.T) {
	for name, test := range map[string]struct{ stale, newOwner, leavesAgain bool }{
		"list follows at once": {}, "list is stale": {stale: true},
		"new owner reads a stale list":           {stale: true, newOwner: true},
		"new incarnation reports that it leaves": {stale: true, leavesAgain: true},
	} {
		t.Run(name, func(t *testing.T) {
			inSynctest(t, func(t *testing.T) {
				cl := newTestCluster(t, 1)
				cl.version.Manifest.Kinds = cl.version.Manifest.Kinds[:1]
				cl.version.Manifest.Kinds[0].RunTime = time.Hour
				const addr = "127.0.0.1:9500"
				cl.fleet.addWorker(addr, "x0")
				listFor := func(seconds int, inc instance.Incarnation, state instance.State) {
					for range seconds {
						require.NoError(t, cl.list.Register(t.Context(), instance.Member{ID: "x0", Incarnation: inc,
							Role: instance.RoleWorker, State: state, DataCentre: "bne", Addr: addr, Rack: 1, Slots: 8,
							Capacity: cl.version.Manifest.Worker.Capacity}))
						time.Sleep(time.Second)
					}
				}
				started := func() bool {
					cl.fleet.mu.Lock()
					defer cl.fleet.mu.Unlock()
					return cl.fleet.startsOn["x0"] > 0
				}
				s, stop := cl.startScheduler("s1")
				listFor(5, "boot-1", instance.StateLive)
				listFor(3, "boot-1", instance.StateLeaving)
				cl.fleet.mu.Lock()
				cl.fleet.addWorker(addr, "x0")
				restarted := cl.fleet.workers[addr]
				restarted.incarnation, restarted.leaving = "boot-2", test.leavesAgain
				cl.fleet.mu.Unlock()
				if test.newOwner {
					require.NoError(t, stop())
					s, stop = cl.startScheduler("s2")
				}
				cl.submit("a", 20)
				if test.stale {
					listFor(8, "boot-1", instance.StateLeaving)
					// A new owner cannot know that the listed incarnation is the earlier one.
					require.Equal(t, !test.newOwner && !test.leavesAgain, started())
				}
				listFor(5, "boot-2", instance.StateLive)
				require.Equal(t, 0, cl.job(s, "a").Evicted)
				require.Equal(t, !test.leavesAgain, started())
				require.NoError(t, stop())
			})
		})
	}
}

// Guards against an owner that releases the shard while a worker may still hold a lease of the previous owner: the next
// owner would close the worker's attempts too early.
func TestNoReleaseWhileUnsettled(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 2)
		cl.version.Manifest.Kinds[0].RunTime = time.Hour
		_, faults1, stop1 := cl.startFaultyScheduler("s1", 0)
		time.Sleep(5 * time.Second)
		cl.submit("a", 4)
		time.Sleep(2 * time.Second)
		faults1.crashed.Store(true)
		_, faults2, stop2 := cl.startFaultyScheduler("s2", 0)
		faults2.unreachable.Store("127.0.0.1:9000", true)
		time.Sleep(15 * time.Second)
		require.NoError(t, stop2())
		s3, stop3 := cl.startScheduler("s3")
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

// Guards against a task that runs twice after two handovers: the second owner grants shorter leases than the first one,
// and the third one closes attempts on an unreachable worker that still holds a lease of the first one.
func TestReleaseAfterLoweredTTL(t *testing.T) {
	for name, ttl := range map[string]time.Duration{"same TTL": time.Minute, "lowered TTL": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inSynctest(t, func(t *testing.T) {
				cl := newTestCluster(t, 2)
				source := &mutableConfig{version: cl.version}
				cl.configSource = source
				cl.version.Manifest.Kinds = cl.version.Manifest.Kinds[:1]
				cl.version.Manifest.Kinds[0].RunTime = time.Hour
				cl.version.Manifest.Policies.LeaseTTL = time.Minute
				_, stop1 := cl.startScheduler("s1")
				time.Sleep(5 * time.Second)
				cl.submit("a", 4)
				time.Sleep(5 * time.Second)
				next := *cl.version.Manifest
				next.Policies.LeaseTTL = ttl
				source.set(&config.Version{Offset: 2, Manifest: &next})
				require.NoError(t, stop1())
				s2, stop2 := cl.startScheduler("s2")
				time.Sleep(5 * time.Second)
				require.Equal(t, 4, cl.job(s2, "a").Running)
				cl.fleet.mu.Lock()
				require.NotEmpty(t, cl.fleet.workers["127.0.0.1:9000"].tasks)
				cl.fleet.mu.Unlock()
				stopping := time.Now()
				require.NoError(t, stop2())
				require.Less(t, time.Since(stopping), 2*time.Second, "a planned stop does not wait for the leases")
				s3, faults3, stop3 := cl.startFaultyScheduler("s3", 0)
				faults3.unreachable.Store("127.0.0.1:9000", true)
				// The fleet fails the test if a task starts while another attempt of it runs.
				time.Sleep(40 * time.Second)
				require.Equal(t, 4, cl.job(s3, "a").Attempts, "the leases of one minute have not ended")
				after := make(chan bool, 1)
				require.True(t, s3.post(func(time.Time) { after <- s3.shards[testShard].own.terms.AfterRelease }))
				require.True(t, <-after)
				time.Sleep(40 * time.Second)
				require.Equal(t, 4, cl.job(s3, "a").Running)
				require.Greater(t, cl.job(s3, "a").Attempts, 4)
				require.NoError(t, stop3())
			})
		})
	}
}

// Guards against workers that run out of work during an outage of the log, against queued attempts that stay on a full
// worker while another one has room, and against urgent tasks that wait behind queued attempts.
func TestPlacedAhead(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 1)
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.submit("a", 20)
		time.Sleep(2 * time.Second)
		require.Equal(t, 9, cl.fleet.started(), "two replicas and seven tasks run; one more attempt is queued")
		require.Equal(t, 8, cl.job(s, "a").Attempts)
		cl.append(contract.NewRecordID(),
			&contract.Submit{Job: testShard + "~late", Kind: "rebid", Tasks: 1, Submitted: time.Now(),
				Deadline: time.Now().Add(time.Minute)})
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, cl.job(s, "late").Attempts, "it replaces a queued task whose deadline is an hour away")
		cl.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(20 * time.Second)
		require.Equal(t, 10, cl.fleet.started(), "the queued attempt has started without the log")
		cl.log.SetFaults(standin.LogFaults{})
		time.Sleep(8 * time.Second)
		require.Equal(t, 0, cl.job(s, "a").Evicted)
		waiting := cl.job(s, "a").Pending
		cl.fleet.mu.Lock()
		cl.fleet.addWorker("127.0.0.1:9001", "w1")
		cl.fleet.mu.Unlock()
		go cl.register(instance.Member{ID: "w1", Incarnation: "boot-1", Role: instance.RoleWorker,
			State: instance.StateLive, DataCentre: "bne", Addr: "127.0.0.1:9001", Rack: 1, Slots: 8,
			Capacity: cl.version.Manifest.Worker.Capacity})
		time.Sleep(4 * time.Second)
		require.Greater(t, waiting, 0)
		require.Equal(t, 0, cl.job(s, "a").Pending, "the queued attempt has moved to the new worker")
		time.Sleep(time.Minute)
		require.Equal(t, 20, cl.job(s, "a").Done)
		require.NoError(t, stop())
	})
}

// Guards against a queued attempt that starts on a leaving worker during an outage of the log, when it cannot be
// evicted.
func TestNoStartOnLeavingWorker(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 2)
		_, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		cl.append(contract.NewRecordID(),
			&contract.Submit{Job: testShard + "~short", Kind: "rebid", Tasks: 1, Submitted: time.Now(),
				Deadline: time.Now().Add(time.Minute), RunTime: 4 * time.Second})
		time.Sleep(time.Second)
		cl.submit("a", 30)
		time.Sleep(time.Second)
		cl.log.SetFaults(standin.LogFaults{Down: true})
		// The end of the short task cannot be written, so the owner notices the outage.
		time.Sleep(4 * time.Second)
		cl.fleet.mu.Lock()
		for _, worker := range cl.fleet.workers {
			worker.leaving = true
		}
		cl.fleet.mu.Unlock()
		time.Sleep(2 * time.Second)
		started := cl.fleet.started()
		time.Sleep(20 * time.Second)
		require.Equal(t, started, cl.fleet.started())
		cl.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		require.NoError(t, stop())
	})
}
