package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
)

const (
	pageLimit = 500
	// pollWait is how long the log may hold a read open until the next record arrives. Together with minAnswerTimeout,
	// an unanswered read is repeated within 5 s, so that a publication is active everywhere within 8 s.
	pollWait = 3 * time.Second
	// A read times out after pollWait plus an answer time-out. The latter starts at minAnswerTimeout, doubles after
	// each time-out up to maxAnswerTimeout, so that a slow log can still be followed, and is halved after each success.
	minAnswerTimeout = 2 * time.Second
	maxAnswerTimeout = 10 * time.Second
	// fetchTimeout bounds one fetch of the manifest from the peers.
	fetchTimeout = 3 * time.Second
	// retryInitialInterval and retryMaxInterval bound the pause between reads while the log does not answer. A
	// publication has to be active everywhere within 8 s, so the longest pause is well below that.
	retryInitialInterval = 50 * time.Millisecond
	retryMaxInterval     = time.Second
	// DefaultRepublishAfter is the age at which a follower publishes the active version again. The platform must retain
	// records for at least twice this time.
	DefaultRepublishAfter = 6 * time.Hour
	// minRepublishInterval is the minimum time between two attempts of one process to publish the active version again.
	minRepublishInterval = time.Minute
)

// Fetch returns the newest manifest that is active at a peer. The offset of the reply is zero if no peer has one.
type Fetch func(ctx context.Context) (contract.ConfigFetchReply, error)

// Follower reads the config stream and provides the active version. It implements Source.
type Follower struct {
	log    platform.Log
	fetch  Fetch
	logger *slog.Logger
	now    func() time.Time
	// republishAfter is the lowest age at which the active version is published again; zero disables it.
	republishAfter time.Duration

	current atomic.Pointer[Version]
	mu      sync.Mutex
	changed chan struct{}

	// The fields below are accessed by the goroutine of Run only.
	chain *Chain
	// next is the first offset that has not been read.
	next uint64
	// activeSince is the time at which this process activated the current version.
	activeSince time.Time
	// republishAge is the age at which this process publishes the current version again.
	republishAge time.Duration
	// nextRepublish is the earliest time of the next attempt to do so.
	nextRepublish time.Time
	retry         *backoff.ExponentialBackOff
	answerTimeout time.Duration
	// unavailable reports whether the last read failed.
	unavailable bool
}

var _ Source = (*Follower)(nil)

// NewFollower returns a follower without a version. fetch may be nil if there are no peers.
func NewFollower(
	log platform.Log, fetch func(ctx context.Context) (contract.ConfigFetchReply, error), l *slog.Logger,
) *Follower {
	f := &Follower{log: log, fetch: fetch, logger: process.WithPrefix(l, "config"), now: time.Now,
		changed: make(chan struct{}), republishAfter: DefaultRepublishAfter, next: 1,
		chain: NewChain(1), retry: backoff.NewExponentialBackOff(), answerTimeout: minAnswerTimeout}
	f.retry.InitialInterval, f.retry.MaxInterval = retryInitialInterval, retryMaxInterval
	return f
}

// SetRepublishAfter replaces DefaultRepublishAfter before Run is called; zero disables republishing.
func (f *Follower) SetRepublishAfter(d time.Duration) { f.republishAfter = d }

// Register adds the metric clementine_config_offset to r.
func (f *Follower) Register(r prometheus.Registerer) error {
	return errors.WithStack(r.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "clementine_config_offset",
		Help: "Offset of the manifest in force, 0 before the first one.",
	}, func() float64 {
		if v := f.Current(); v != nil {
			return float64(v.Offset)
		}
		return 0
	})))
}

// Current implements Source.
func (f *Follower) Current() *Version { return f.current.Load() }

// Changed implements Source.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run follows the stream until ctx ends, then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p, err := f.read(ctx)
		if err != nil {
			f.handleReadError(ctx, err)
			continue
		}
		f.apply(p)
		if f.Current() == nil && p.Oldest > 1 {
			// Retention removed the publications, but peers may still hold the version in memory.
			f.fetchFromPeers(ctx)
		}
		f.republishIfOld(ctx)
	}
	return nil
}

// read reads the next page of the config stream and adapts answerTimeout.
func (f *Follower) read(ctx context.Context) (platform.Page, error) {
	readCtx, cancel := context.WithTimeout(ctx, pollWait+f.answerTimeout)
	defer cancel()
	p, err := f.log.Read(readCtx, datacentre.ConfigStream, f.next, pageLimit, pollWait)
	switch {
	case err == nil:
		f.answerTimeout = max(f.answerTimeout/2, minAnswerTimeout)
		f.retry.Reset()
		if f.unavailable {
			f.unavailable = false
			f.logger.Info("config stream can be read again", "next", f.next)
		}
	case readCtx.Err() != nil:
		f.answerTimeout = min(2*f.answerTimeout, maxAnswerTimeout)
	}
	return p, err
}

// handleReadError continues at the oldest retained record if retention removed the next one, and otherwise waits before
// the next read. While no version is active, it fetches one from the peers.
func (f *Follower) handleReadError(ctx context.Context, err error) {
	var retention *platform.RetentionError
	if errors.As(err, &retention) {
		f.logger.Warn("records were removed by retention before they were read; continuing at the oldest record",
			"next", f.next, "oldest", retention.Oldest)
		if f.Current() == nil {
			f.fetchFromPeers(ctx)
		}
		f.next = retention.Oldest
		f.chain.Restart(retention.Oldest)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !f.unavailable {
		f.unavailable = true
		f.logger.Warn("config stream cannot be read", "next", f.next, "error", err)
	}
	if f.Current() == nil {
		f.fetchFromPeers(ctx)
	}
	sleep(ctx, f.retry.NextBackOff())
}

// apply applies the records of a page to the chain. A version becomes active only at the end of the stream, because a
// later record can show that an earlier publication had conflicted.
func (f *Follower) apply(p platform.Page) {
	f.chain.PruneIDs(p.Oldest)
	if cur := f.Current(); cur != nil {
		f.chain.InitHead(cur)
	}
	for i, data := range p.Records {
		e := f.chain.Apply(p.First+uint64(i), data)
		if e.Err != nil {
			f.logger.Error("invalid record in the config stream",
				"offset", e.Offset, "outcome", e.Outcome, "error", e.Err)
		}
		f.next = e.Offset + 1
	}
	if f.next < p.End {
		return
	}
	if v := f.chain.Version(); v != nil {
		f.activate(v)
	}
}

// activate makes v the active version and closes the channel of Changed. An older version than the current one must
// never occur; it is reported as an invariant violation and ignored.
func (f *Follower) activate(v *Version) {
	cur := f.Current()
	if cur != nil && cur.Offset == v.Offset {
		return
	}
	forward := cur == nil || v.Offset > cur.Offset
	if !forward {
		invariant.Check(invariant.ConfigForward, false, "from", cur.Offset, "to", v.Offset)
		return
	}
	f.mu.Lock()
	f.current.Store(v)
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.activeSince = f.now()
	// The random part makes it likely that only one process publishes the version again.
	f.republishAge = f.republishAfter + rand.N(f.republishAfter/4+1)
	f.logger.Info("manifest applied", "offset", v.Offset, "deployment", v.Manifest.Deployment)
}

// fetchFromPeers fetches the newest version of the peers and activates it. It does nothing if no peer has one.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.fetch == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := f.fetch(ctx)
	if err != nil {
		f.logger.Warn("manifest could not be fetched from the peers", "error", err)
		return
	}
	if r.Offset == 0 {
		return
	}
	m, err := manifest.Parse(versionName(r.Offset), r.Manifest)
	if err != nil {
		f.logger.Error("manifest of a peer cannot be parsed and was ignored", "offset", r.Offset, "error", err)
		return
	}
	f.activate(&Version{Offset: r.Offset, Manifest: m, Raw: r.Manifest})
}

// republishIfOld publishes the active version again before retention removes it. If several processes do so at once,
// the first record in the log wins and the others are conflicts without effect.
func (f *Follower) republishIfOld(ctx context.Context) {
	v, now := f.Current(), f.now()
	if f.republishAfter <= 0 || v == nil || f.chain.Head() != v.Offset || now.Before(f.nextRepublish) {
		return
	}
	age := now.Sub(f.activeSince)
	if !v.Published.IsZero() {
		age = max(age, now.Sub(v.Published))
	}
	if age < f.republishAge {
		return
	}
	f.nextRepublish = now.Add(minRepublishInterval)
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0,
		&contract.Publish{Replaces: v.Offset, Manifest: v.Raw, Operator: republishOperator, At: now})
	if err == nil {
		_, err = f.log.Append(ctx, datacentre.ConfigStream, [][]byte{data})
	}
	if err != nil {
		f.logger.Warn("active version could not be published again", "offset", v.Offset, "error", err)
		return
	}
	f.logger.Info("active version was published again", "offset", v.Offset, "age", age)
}

// republishOperator is the operator of publications that followers repeat.
const republishOperator = "refresh"

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
