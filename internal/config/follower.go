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
	// pollWait is the time for which the log may hold a read open until the next record arrives. With minAnswerTimeout,
	// a read that is not answered is repeated within 5 s, so that a publication is in force everywhere within 8 s.
	pollWait = 3 * time.Second
	// minAnswerTimeout and maxAnswerTimeout bound the time beyond pollWait within which a read must be answered. The
	// time-out doubles after each read that was not, so that a log that stays slow can still be followed.
	minAnswerTimeout = 2 * time.Second
	maxAnswerTimeout = 10 * time.Second
	// fetchTimeout bounds one fetch of the manifest from the peers.
	fetchTimeout = 3 * time.Second
	// retryInitialInterval and retryMaxInterval bound the pause between reads while the log does not answer. A
	// publication has to be in force everywhere within 8 s, so the longest pause is well below that.
	retryInitialInterval = 50 * time.Millisecond
	retryMaxInterval     = time.Second
	// DefaultRefreshAfter is the age at which a follower publishes the version in force again. The platform must keep
	// records for at least twice this time.
	DefaultRefreshAfter = 6 * time.Hour
	// minRefreshInterval is the minimum time between two attempts of one process to publish the version in force again.
	minRefreshInterval = time.Minute
)

// Fetch returns the newest manifest that the peers have in force. The version of the reply is zero if no peer has one.
type Fetch func(ctx context.Context) (contract.ConfigFetchReply, error)

// Follower reads the config stream and provides the version in force. It implements Source.
type Follower struct {
	log    platform.Log
	fetch  Fetch
	logger *slog.Logger
	now    func() time.Time
	// refreshAfter is the lowest age at which the version in force is published again; zero disables it.
	refreshAfter time.Duration

	current atomic.Pointer[Version]
	mu      sync.Mutex
	changed chan struct{}

	// The fields below are accessed by the goroutine of Run only. next is the first offset that has not been read,
	// inForceSince the time at which this process put the version in force, and refreshAge the age at which this
	// process publishes it again. unavailable reports whether the last read failed.
	chain         *Chain
	next          uint64
	inForceSince  time.Time
	refreshAge    time.Duration
	nextRefresh   time.Time
	retry         *backoff.ExponentialBackOff
	answerTimeout time.Duration
	unavailable   bool
}

var _ Source = (*Follower)(nil)

// NewFollower returns a follower without a version. fetch may be nil if there are no peers.
func NewFollower(
	log platform.Log, fetch func(ctx context.Context) (contract.ConfigFetchReply, error), l *slog.Logger,
) *Follower {
	f := &Follower{log: log, fetch: fetch, logger: process.WithPrefix(l, "config"), now: time.Now,
		changed: make(chan struct{}), refreshAfter: DefaultRefreshAfter, next: 1,
		chain: NewChain(1), retry: backoff.NewExponentialBackOff(), answerTimeout: minAnswerTimeout}
	f.retry.InitialInterval, f.retry.MaxInterval = retryInitialInterval, retryMaxInterval
	return f
}

// SetRefreshAfter replaces DefaultRefreshAfter before Run is called; zero disables the refresh.
func (f *Follower) SetRefreshAfter(d time.Duration) { f.refreshAfter = d }

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
			// Retention dropped the publications, but peers may still hold the version in memory.
			f.fetchFromPeers(ctx)
		}
		f.refresh(ctx)
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

// handleReadError continues at the oldest kept record if retention dropped the next one, and otherwise waits before the
// next read. While no version is in force, it fetches one from the peers.
func (f *Follower) handleReadError(ctx context.Context, err error) {
	var retention *platform.RetentionError
	if errors.As(err, &retention) {
		f.logger.Warn("log dropped records before they were read; continuing at the oldest kept record",
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

// apply applies the records of a page to the chain. A version is put in force only once the end of the stream is
// reached: before that, a later record can show that an earlier one was not part of the chain.
func (f *Follower) apply(p platform.Page) {
	f.chain.PruneIDs(p.Oldest)
	if cur := f.Current(); cur != nil {
		f.chain.Adopt(cur)
	}
	for i, data := range p.Records {
		e := f.chain.Apply(p.First+uint64(i), data)
		if e.Err != nil {
			f.logger.Error("record of the config stream cannot be used",
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

// activate puts v in force and closes the channel of Changed. A version with a lower offset than the current one
// violates an invariant and is ignored.
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
	f.inForceSince = f.now()
	// The random part makes it likely that only one process publishes the version again.
	f.refreshAge = f.refreshAfter + rand.N(f.refreshAfter/4+1)
	f.logger.Info("manifest is in force", "offset", v.Offset, "deployment", v.Manifest.Deployment)
}

// fetchFromPeers fetches the newest version of the peers and puts it in force. It does nothing if no peer has one.
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
	if r.Version == 0 {
		return
	}
	m, err := manifest.Parse(versionName(r.Version), r.Manifest)
	if err != nil {
		f.logger.Error("manifest of a peer cannot be parsed and was ignored", "offset", r.Version, "error", err)
		return
	}
	f.activate(&Version{Offset: r.Version, Manifest: m, Raw: r.Manifest})
}

// refresh publishes the version in force again before retention drops it. If several processes do so, the first
// publication in log order takes effect, the others conflict.
func (f *Follower) refresh(ctx context.Context) {
	v, now := f.Current(), f.now()
	if f.refreshAfter <= 0 || v == nil || f.chain.Head() != v.Offset || now.Before(f.nextRefresh) {
		return
	}
	age := now.Sub(f.inForceSince)
	if !v.Published.IsZero() {
		age = max(age, now.Sub(v.Published))
	}
	if age < f.refreshAge {
		return
	}
	f.nextRefresh = now.Add(minRefreshInterval)
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0,
		&contract.Publish{Replaces: v.Offset, Manifest: v.Raw, Operator: refreshOperator, At: now})
	if err == nil {
		_, err = f.log.Append(ctx, datacentre.ConfigStream, [][]byte{data})
	}
	if err != nil {
		f.logger.Warn("version in force could not be published again", "offset", v.Offset, "error", err)
		return
	}
	f.logger.Info("version in force was published again", "offset", v.Offset, "age", age)
}

// refreshOperator is the operator of publications that followers repeat.
const refreshOperator = "refresh"

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
