package scheduler

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/shard"
)

// Scheduler is one process's control loop.
type Scheduler struct {
	Settings
	deps    Deps
	log     *slog.Logger
	metrics *metrics
	events  chan func(now time.Time)
	done    chan struct{}
	wg      sync.WaitGroup
	io      context.Context

	// The fields below belong to the control loop.
	start    time.Time
	version  *config.Version
	shards   map[string]*shardLoop
	names    []string
	members  membership
	policy   policies
	shares   map[string]map[string]resource.Vector
	leaving  bool
	lastRead time.Time
	nextSec  time.Time
	kinds    map[string]kindInfo
	transfer map[string]bool
}

type membership struct {
	peers   map[instance.ID]shard.Peer
	workers map[instance.ID]instance.Member
	polling bool
	beating map[instance.ID]bool
}

// New returns a scheduler that does nothing until Run.
func New(s Settings, d Deps) *Scheduler {
	if s.LeaseInterval <= 0 {
		s.LeaseInterval = time.Second
	}
	return &Scheduler{Settings: s, deps: d, log: process.Part(d.Logger, "scheduler"), metrics: newMetrics(d.Registry),
		events: make(chan func(time.Time), 256), done: make(chan struct{}), shards: map[string]*shardLoop{},
		kinds: map[string]kindInfo{}, transfer: map[string]bool{},
		members: membership{peers: map[instance.ID]shard.Peer{}, workers: map[instance.ID]instance.Member{},
			beating: map[instance.ID]bool{}}}
}

// Run works until ctx ends, then hands the shards over and returns. It returns a *process.StopError if a Release could not be
// read back in time.
func (s *Scheduler) Run(ctx context.Context) error {
	io, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer s.wg.Wait()
	defer cancel()
	defer close(s.done)
	s.io, s.start = io, time.Now()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	stopping := ctx.Done()
	var limit <-chan time.Time
	for {
		select {
		case f := <-s.events:
			f(time.Now())
		case <-tick.C:
			s.tick(time.Now())
			if s.leaving && s.handedOver() {
				s.deregister()
				return nil
			}
		case <-stopping:
			stopping, limit = nil, time.After(stopLimit)
			s.beginStop(time.Now())
		case <-limit:
			s.deregister()
			return &process.StopError{Part: "scheduler", Wait: stopLimit}
		}
	}
}

// post runs f in the control loop. It reports false if the loop has ended.
func (s *Scheduler) post(f func(now time.Time)) bool {
	select {
	case s.events <- f:
		return true
	case <-s.done:
		return false
	}
}

// spawn runs f in a goroutine that Run waits for.
func (s *Scheduler) spawn(f func(ctx context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f(s.io)
	}()
}

func (s *Scheduler) tick(now time.Time) {
	s.follow()
	if !now.Before(s.nextSec) {
		s.nextSec = now.Add(secondly)
		s.everySecond(now)
	}
	for _, name := range s.names {
		s.drive(s.shards[name], now)
	}
}

func (s *Scheduler) everySecond(now time.Time) {
	s.pollList(now)
	s.heartbeat()
	for _, name := range s.names {
		if sh := s.shards[name]; sh.own != nil {
			sh.changed = true
			s.syncWorkers(sh, now)
			s.syncServices(sh, now)
			s.syncTransfers(sh, now)
		}
	}
	s.metrics.update(s)
}

// follow takes up a new version of the manifest.
func (s *Scheduler) follow() {
	v := s.deps.Config.Current()
	if v == nil || v == s.version {
		return
	}
	s.version = v
	s.policy = policiesOf(v.Manifest)
	s.shares = sharesOf(v.Manifest)
	for _, k := range v.Manifest.Kinds {
		s.kinds[k.Name] = kindInfo{Kind: k, current: true}
	}
	for name, k := range s.kinds {
		if _, ok := v.Manifest.Kind(name); !ok {
			k.current = false
			s.kinds[name] = k
		}
	}
	for _, name := range shardsOf(v.Manifest) {
		if s.shards[name] == nil {
			s.shards[name] = newShardLoop(name, s.Incarnation)
			s.names = append(s.names, name)
		}
	}
	if !s.leaving {
		s.deps.Health.SetReady(true)
	}
	s.log.Info("manifest is in force", "version", v.Offset, "shards", len(s.names))
}

// jitter spreads d over 75% to 125%, so that processes that failed together do not repeat together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}
