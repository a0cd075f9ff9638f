package scheduler

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// loadedShard returns the owner of a shard that has the given number of workers, each with the given number of running
// tasks, and a backlog of pending tasks.
func loadedShard(workers, each, pending int) (*Scheduler, *managedShard, time.Time) {
	now := time.Now()
	m := &manifest.Manifest{Kinds: []manifest.Kind{{Name: "k", Class: manifest.ClassBatch,
		Size: resource.Vector{MilliCores: 1000}, RunTime: time.Minute}}}
	s := New(Settings{ID: "s"}, Deps{Logger: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		Health: &process.Health{},
		Config: &mutableConfig{version: &config.Version{Offset: 1, Manifest: m}},
		NewSlotAllocator: func(string, uint64, time.Duration) SlotAllocator {
			return &fakeAllocator{workers: map[instance.ID]int{}}
		}})
	s.applyManifest()
	sh := newManagedShard("a", "s-1")
	sh.state, sh.readAnsweredAt, sh.readSentAt = attempt.New("a"), now, now
	sh.replay = shard.NewReplayer("a", sh.state, 1)
	s.acquire(sh, now, shard.Ownership{Epoch: 1,
		Claim: contract.Claim{TTL: defaultLeaseTTL, Isolation: defaultIsolationLimit}})
	for i := range 100 {
		_ = sh.state.Apply(uint64(i+2), 1,
			&contract.Submit{Job: fmt.Sprint("j", i), Kind: "k", Tasks: (workers*each + pending) / 100,
				Deadline: now.Add(time.Hour)})
	}
	for i := range workers {
		w := s.ensureWorker(sh, instance.ID(fmt.Sprint("w", i)))
		w.member = instance.Member{ID: w.id, Rack: i / 8, Capacity: resource.Vector{MilliCores: int64(each) * 1000}}
		w.leased = true
		w.lease.NextRequest()
		w.lease.HandleReply(now, now,
			upstream.LeaseReply{Epoch: 1, Incarnation: "b", Clock: time.Second, Expiry: time.Hour})
	}
	n := 0
	sh.state.EachPending(func(j *attempt.Job, t *attempt.Task) bool {
		p := &contract.Place{TaskRef: upstream.TaskRef{Job: j.Submit.Job, Index: t.Index, Attempt: 1},
			Worker: instance.ID(fmt.Sprint("w", n%workers)), Incarnation: "b"}
		n++
		_ = sh.state.Apply(uint64(200+n), 1, p)
		s.onAttemptRecord(sh, shard.Result{Body: p, Outcome: shard.Valid})
		s.markRunning(sh, sh.own.workers[p.Worker].attempts[p.TaskRef], now)
		return n < workers*each
	})
	return s, sh, now
}

// BenchmarkReconcile measures one reconciliation of a full shard with a backlog, with and without a round of
// placements.
func BenchmarkReconcile(b *testing.B) {
	for _, place := range []bool{false, true} {
		b.Run(fmt.Sprintf("workers=64/tasks=1792/pending=2000/place=%v", place), func(b *testing.B) {
			s, sh, now := loadedShard(64, 28, 2000)
			for b.Loop() {
				sh.needsPlacement = place
				s.reconcile(sh, now)
				sh.out = outbox{}
			}
		})
	}
}
