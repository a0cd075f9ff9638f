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
	// pollWait is how long one read waits for the next publication. A record that arrives meanwhile ends the wait. With
	// minAnswer, a read that hangs is repeated within 5 s, so that a publication is in force everywhere within 8 s.
	pollWait = 3 * time.Second
	// minAnswer and maxAnswer bound the time beyond pollWait in which a read must answer. It doubles with each read that does
	// not, so that a log that is slow for long can still be followed.
	minAnswer = 2 * time.Second
	maxAnswer = 10 * time.Second
	// askTimeout bounds one round of questions to peers.
	askTimeout = 3 * time.Second
	// retryFirst and retryMax bound the pause between reads while the log does not answer. The design allows 8 s until a
	// publication is in force everywhere, so the longest pause is well below that.
	retryFirst = 50 * time.Millisecond
	retryMax   = time.Second
	// DefaultRefreshAfter is the age at which a follower publishes the version in force again. The platform must keep
	// records for at least twice this time.
	DefaultRefreshAfter = 6 * time.Hour
	// refreshPause bounds the attempts of one process to publish the version in force again.
	refreshPause = time.Minute
)

// Fetch asks a peer for its manifest. It returns a reply with version zero if no peer has one.
type Fetch func(ctx context.Context) (contract.ConfigFetchReply, error)

// Follower reads the config stream and gives the version in force. It implements Source.
type Follower struct {
	log    platform.Log
	fetch  Fetch
	logger *slog.Logger
	now    func() time.Time
	// refreshAfter is zero if this process does not publish the version in force again.
	refreshAfter time.Duration

	current atomic.Pointer[Version]
	mu      sync.Mutex
	changed chan struct{}

	// The fields below belong to the goroutine of Run.
	chain       *Chain
	next        uint64
	since       time.Time
	refreshAt   time.Duration
	nextRefresh time.Time
	retry       *backoff.ExponentialBackOff
	answer      time.Duration
	down        bool
}

var _ Source = (*Follower)(nil)

// NewFollower returns a follower without a version. fetch may be nil if there are no peers to ask.
func NewFollower(log platform.Log, fetch func(ctx context.Context) (contract.ConfigFetchReply, error), l *slog.Logger) *Follower {
	f := &Follower{log: log, fetch: fetch, logger: process.Part(l, "config"), now: time.Now, changed: make(chan struct{}),
		refreshAfter: DefaultRefreshAfter, next: 1, chain: NewChain(1), retry: backoff.NewExponentialBackOff(),
		answer: minAnswer}
	f.retry.InitialInterval, f.retry.MaxInterval = retryFirst, retryMax
	return f
}

// SetRefreshAfter replaces DefaultRefreshAfter before Run is called; zero switches the repeated publication off.
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

// Run follows the stream until ctx ends. It returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p, err := f.read(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.apply(p)
		if f.Current() == nil && p.Oldest > 1 {
			// The records are gone, but peers can still hold the version in memory.
			f.ask(ctx)
		}
		f.refresh(ctx)
	}
	return nil
}

func (f *Follower) read(ctx context.Context) (platform.Page, error) {
	limited, cancel := context.WithTimeout(ctx, pollWait+f.answer)
	defer cancel()
	p, err := f.log.Read(limited, datacentre.ConfigStream, f.next, pageLimit, pollWait)
	switch {
	case err == nil:
		f.answer = max(f.answer/2, minAnswer)
		f.retry.Reset()
		if f.down {
			f.down = false
			f.logger.Info("log can be read again", "next", f.next)
		}
	case limited.Err() != nil:
		f.answer = min(2*f.answer, maxAnswer)
	}
	return p, err
}

func (f *Follower) failed(ctx context.Context, err error) {
	var lost *platform.RetentionError
	if errors.As(err, &lost) {
		f.logger.Warn("records were dropped before they were read; continuing at the oldest one", "next", f.next, "oldest", lost.Oldest)
		if f.Current() == nil {
			f.ask(ctx)
		}
		f.next = lost.Oldest
		f.chain.Restart(lost.Oldest)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !f.down {
		f.down = true
		f.logger.Warn("log cannot be read", "next", f.next, "error", err)
	}
	if f.Current() == nil {
		f.ask(ctx)
	}
	sleep(ctx, f.retry.NextBackOff())
}

// apply feeds a page to the chain. Versions are announced only at the end of the stream: before that a later record can
// show that an earlier one was not part of the chain.
func (f *Follower) apply(p platform.Page) {
	f.chain.Forget(p.Oldest)
	if cur := f.Current(); cur != nil {
		f.chain.Adopt(cur)
	}
	for i, data := range p.Records {
		e := f.chain.Apply(p.First+uint64(i), data)
		if e.Err != nil {
			f.logger.Error("record is not used", "offset", e.Offset, "outcome", e.Outcome, "error", e.Err)
		}
		f.next = e.Offset + 1
	}
	if f.next < p.End {
		return
	}
	if v := f.chain.Version(); v != nil {
		f.announce(v)
	}
}

func (f *Follower) announce(v *Version) {
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
	f.since = f.now()
	// The processes wait for different times, so that in most cases only one of them writes.
	f.refreshAt = f.refreshAfter + rand.N(f.refreshAfter/4+1)
	f.logger.Info("manifest is in force", "offset", v.Offset, "deployment", v.Manifest.Deployment)
}

// ask takes the version of a peer.
func (f *Follower) ask(ctx context.Context) {
	if f.fetch == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := f.fetch(ctx)
	if err != nil {
		f.logger.Warn("peers cannot be asked for the manifest", "error", err)
		return
	}
	if r.Version == 0 {
		return
	}
	m, err := manifest.Parse(versionName(r.Version), r.Manifest)
	if err != nil {
		f.logger.Error("a peer's manifest is not used", "offset", r.Version, "error", err)
		return
	}
	f.announce(&Version{Offset: r.Version, Manifest: m, Raw: r.Manifest})
}

// refresh publishes the version in force again before retention drops it. If several processes do so, the first one in log
// order wins as with any publication.
func (f *Follower) refresh(ctx context.Context) {
	v, now := f.Current(), f.now()
	if f.refreshAfter <= 0 || v == nil || f.chain.Head() != v.Offset || now.Before(f.nextRefresh) {
		return
	}
	age := now.Sub(f.since)
	if !v.Published.IsZero() {
		age = max(age, now.Sub(v.Published))
	}
	if age < f.refreshAt {
		return
	}
	f.nextRefresh = now.Add(refreshPause)
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

// refreshOperator is the operator's name of publications that followers repeat.
const refreshOperator = "refresh"

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
