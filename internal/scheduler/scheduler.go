package scheduler

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/shard"
)

// Scheduler is the control loop of one scheduler process.
type Scheduler struct {
	Settings
	deps    Deps
	log     *slog.Logger
	metrics *metrics
	// events carries functions that the control loop runs; see post.
	events chan func(now time.Time)
	// done is closed when Run returns.
	done  chan struct{}
	wg    sync.WaitGroup
	ioCtx context.Context

	// The fields from here on are accessed by the control loop only.
	start      time.Time
	version    *config.Version
	shards     map[string]*managedShard
	shardNames []string
	members    membership
	policy     policies
	// quotaShares holds what each team may hold, by shard and team.
	quotaShares map[string]map[string]resource.Vector
	// noQuarantine disables the quarantine of failing workers. Tests use it as the baseline.
	noQuarantine      bool
	leaving           bool
	lastLogRead       time.Time
	nextMaintenance   time.Time
	kinds             map[string]jobKind
	transfersInFlight map[string]bool
}

// membership is what a scheduler knows of the other schedulers and of the workers of all shards.
type membership struct {
	peers             map[instance.ID]shard.Peer
	workers           map[instance.ID]instance.Member
	refreshInFlight   bool
	heartbeatInFlight map[instance.ID]bool
}

// New returns a scheduler, which is idle until Run is called.
func New(s Settings, d Deps) *Scheduler {
	if s.LeaseInterval <= 0 {
		s.LeaseInterval = time.Second
	}
	return &Scheduler{Settings: s, deps: d, log: process.WithPrefix(d.Logger, "scheduler"),
		metrics: newMetrics(d.Registry), events: make(chan func(time.Time), 256), done: make(chan struct{}),
		shards: map[string]*managedShard{}, kinds: map[string]jobKind{}, transfersInFlight: map[string]bool{},
		members: membership{peers: map[instance.ID]shard.Peer{}, workers: map[instance.ID]instance.Member{},
			heartbeatInFlight: map[instance.ID]bool{}}}
}

// Run executes the control loop until ctx is cancelled, then hands over all shards and returns. It returns a
// *process.StopError if some shard was still owned after stopTimeout.
func (s *Scheduler) Run(ctx context.Context) error {
	ioCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer s.wg.Wait()
	defer cancel()
	defer close(s.done)
	s.ioCtx, s.start = ioCtx, time.Now()
	tick := clock.NewTimer(tickInterval)
	defer tick.Stop()
	stopping := ctx.Done()
	var deadline <-chan time.Time
	for {
		select {
		case f := <-s.events:
			f(time.Now())
		case <-tick.C:
			tick.Restart(tickInterval)
			s.tick(time.Now())
			if s.leaving && s.ownsNoShard() {
				s.deregister()
				return nil
			}
		case <-stopping:
			stopping, deadline = nil, time.After(stopTimeout)
			s.beginStop(time.Now())
		case <-deadline:
			s.deregister()
			return &process.StopError{Component: "scheduler", Wait: stopTimeout}
		}
	}
}

// post queues f for execution in the control loop. It returns false if the loop has ended.
func (s *Scheduler) post(f func(now time.Time)) bool {
	select {
	case s.events <- f:
		return true
	case <-s.done:
		return false
	}
}

// spawn runs f in a goroutine. Run cancels its context and waits for it before returning.
func (s *Scheduler) spawn(f func(ctx context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f(s.ioCtx)
	}()
}

func (s *Scheduler) tick(now time.Time) {
	s.applyManifest()
	if !now.Before(s.nextMaintenance) {
		s.nextMaintenance = now.Add(maintenanceInterval)
		s.runMaintenance(now)
	}
	for _, name := range s.shardNames {
		s.tickShard(s.shards[name], now)
	}
}

// runMaintenance refreshes the membership, sends heartbeats, and aligns the owned shards with the manifest and the
// membership.
func (s *Scheduler) runMaintenance(now time.Time) {
	s.refreshMembership(now)
	s.heartbeat()
	for _, name := range s.shardNames {
		if sh := s.shards[name]; sh.own != nil {
			sh.needsPlacement = true
			s.syncWorkers(sh, now)
			s.syncServices(sh, now)
			s.syncTransfers(sh, now)
		}
	}
	s.metrics.updateGauges(s)
}

// applyManifest applies a new version of the manifest, if there is one.
func (s *Scheduler) applyManifest() {
	v := s.deps.Config.Current()
	if v == nil || v == s.version {
		return
	}
	s.version = v
	s.policy = policiesFrom(v.Manifest)
	s.quotaShares = computeQuotaShares(v.Manifest)
	for _, k := range v.Manifest.Kinds {
		s.kinds[k.Name] = jobKind{Kind: k, inManifest: true}
	}
	for name, k := range s.kinds {
		if _, ok := v.Manifest.Kind(name); !ok {
			k.inManifest = false
			s.kinds[name] = k
		}
	}
	for _, name := range manifestShards(v.Manifest) {
		if s.shards[name] == nil {
			s.shards[name] = newManagedShard(name, s.Incarnation)
			s.shardNames = append(s.shardNames, name)
		}
	}
	if !s.leaving {
		s.deps.Health.SetReady(true)
	}
	s.log.Info("manifest applied", "version", v.Offset, "shards", len(s.shardNames))
}

// jitter returns a random duration between 75% and 125% of d, so that processes that failed at the same time do not
// retry at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}
