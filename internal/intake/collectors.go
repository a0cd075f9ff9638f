package intake

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/relay"
	"clementinewalk.example/clementinewalk/internal/storehealth"
)

const (
	// maxCollectors is how many collectors are tried for one entry. The second one is used only while the first does not
	// answer: each further collector makes all appends wait longer.
	maxCollectors = 2
	// aliveFor is how long a collector that has answered counts as alive. After that it is asked before an entry is sent,
	// and while a call to it has no answer; aliveTimeout limits its answer. A collector that dies costs the entries that it
	// holds 0.5 s of the 1.35 s that a request is held, and later ones 0.25 s once.
	aliveFor     = 250 * time.Millisecond
	aliveTimeout = 250 * time.Millisecond
	// suspension is how long a collector that did not answer or cannot reach the log is left out at most. One that did not
	// answer is asked again every probeInterval meanwhile: it may only have been short of processor time.
	suspension    = 2 * time.Second
	probeInterval = 100 * time.Millisecond
	// reportTimeout limits a report or hint; a new connection takes two network trips.
	reportTimeout = 400 * time.Millisecond
	// reportInterval is the least time between two reports of one instance, unless an append was fast in between.
	// hintInterval is that between two rounds of hints of a collector. A hint counts for 2 s (confirmedFor).
	reportInterval = 300 * time.Millisecond
	hintInterval   = 600 * time.Millisecond
	// minHintInterval applies instead when an append was fast since the last hint: the instances have forgotten the hint by
	// then, and each would add an append to the queue of a log that is slow again.
	minHintInterval = 100 * time.Millisecond
	// reportsNeeded is the number of instances that must have reported slow appends within reportsKept: one alone may have
	// been short of processor time.
	reportsNeeded = 2
	reportsKept   = 500 * time.Millisecond
	// maxReports limits the instances whose reports are kept, maxNameBytes their names: callers of the relay need no
	// certificate. A fleet has at most 97 instances, and a name is part of a key of the log, which has at most 255 bytes.
	maxReports   = 128
	maxNameBytes = 255
	// confirmedFor is how long a report or hint of another instance confirms that appends are not slow for this instance
	// alone. It is as long as the estimate of the log uses a hint.
	confirmedFor = 2 * time.Second
	// maxHintCalls limits the concurrent calls of one round of hints. With 12, the last of 36 instances were told 20 ms later, and
	// one of them added an append to the queue of the slow log. Each call is short and takes little memory.
	maxHintCalls = 48
)

// CollectorClient calls collectors. Its errors are those of relay.Client.
type CollectorClient interface {
	Collect(ctx context.Context, to catalog.Endpoint, e eventlog.Entry) (time.Duration, error)
	Report(ctx context.Context, to catalog.Endpoint, self string, d time.Duration) error
	Hint(ctx context.Context, to catalog.Endpoint, d time.Duration) error
	Unknown(ctx context.Context, to catalog.Endpoint, keys []string, forward bool) error
}

// Collectors passes the entries of an instance to a collector while appends are slow. The collector is the same on every
// instance, so that the entries of all are stored with one append.
type Collectors struct {
	instance string
	client   CollectorClient
	catalog  *catalog.Catalog
	log      *eventlog.Monitor
	logger   *slog.Logger
	entries  *prometheus.CounterVec
	// asking makes entries share the call that finds out whether a collector is alive.
	asking singleflight.Group
	// unknown holds the keys of entries of this instance whose outcome is unknown, for the collector. forwarded holds those
	// of other instances, for all.
	unknown, forwarded noticeQueue

	mu        sync.Mutex
	suspended map[string]leftOut
	// answered holds when each collector has last answered.
	answered map[string]time.Time
	// reports holds when each instance has last reported slow appends.
	reports          map[string]time.Time
	reported, hinted time.Time
	// confirmed is when another instance last sent a report or hint that appends are slow.
	confirmed            time.Time
	reporting, isHinting bool
}

// NewCollectors returns the collectors that an instance uses. It sets the function that log calls when an append is slow.
func NewCollectors(instance string, client CollectorClient, c *catalog.Catalog, log *eventlog.Monitor, l *slog.Logger,
	r prometheus.Registerer) *Collectors {
	entries := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementine_intake_entries_total",
		Help: "Submissions and cancellations by the way to the log: direct, collector, or refused before anything was sent."},
		[]string{"path"})
	r.MustRegister(entries)
	s := &Collectors{instance: instance, client: client, catalog: c, log: log, logger: l, entries: entries,
		suspended: map[string]leftOut{}, answered: map[string]time.Time{}, reports: map[string]time.Time{}}
	s.unknown.send, s.forwarded.send = s.tellCollector, s.tellAll
	log.OnSlow(s.appendIsSlow)
	return s
}

// count counts an entry that took a path, or was refused before it was sent.
func (c *Collectors) count(path string, err error) {
	var unsent *eventlog.UnsentError
	var unknown *eventlog.UnknownError
	if errors.As(err, &unsent) && !errors.As(err, &unknown) {
		path = "refused"
	}
	c.entries.WithLabelValues(path).Inc()
}

// active reports whether entries go to a collector.
func (c *Collectors) active() bool {
	h := c.log.Health()
	return !h.Unreachable() && (h.State == storehealth.Slow || h.State == storehealth.Refusing)
}

// choose returns the collectors in the order in which they are tried. The owner comes last, because it is the busiest
// instance; the most capable of the others comes first.
func (c *Collectors) choose() []catalog.Endpoint {
	owner := c.catalog.Owner().Instance
	all := c.catalog.Endpoints()
	slices.SortFunc(all, func(a, b catalog.Endpoint) int {
		if (a.Instance == owner) != (b.Instance == owner) {
			if a.Instance == owner {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(b.LinkBytesPerSecond, a.LinkBytesPerSecond),
			cmp.Compare(a.Instance, b.Instance))
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	all = slices.DeleteFunc(all, func(p catalog.Endpoint) bool { return now.Before(c.suspended[p.Instance].until) })
	return all[:min(len(all), maxCollectors)]
}

// leftOut is a collector that is not used until a time. One that has refused an entry answers, so only the time ends it.
type leftOut struct {
	until   time.Time
	refused bool
}

// suspend leaves a collector out: until it answers if it did not answer, and for the whole suspension if it has refused an
// entry.
func (c *Collectors) suspend(to catalog.Endpoint, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for name, s := range c.suspended {
		if now.After(s.until) {
			delete(c.suspended, name)
		}
	}
	var refused *relay.RefusedError
	s := leftOut{until: now.Add(suspension), refused: errors.As(err, &refused)}
	if _, already := c.suspended[to.Instance]; already && !s.refused {
		return
	}
	c.suspended[to.Instance] = s
	c.logger.Warn("collector left out", "collector", to.Instance, "for_ms", suspension.Milliseconds(), "error", err)
	if !s.refused {
		delete(c.answered, to.Instance)
		go c.readmit(to, now, s)
	}
}

// readmit asks a collector that was left out at began, and uses it again when it answers.
func (c *Collectors) readmit(to catalog.Endpoint, began time.Time, s leftOut) {
	for time.Now().Before(s.until) {
		time.Sleep(probeInterval)
		if !c.alive(context.Background(), to) {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		// It may have refused an entry meanwhile.
		if c.suspended[to.Instance] == s {
			delete(c.suspended, to.Instance)
			c.logger.Info("collector answers and is used again", "collector", to.Instance, "after_ms", time.Since(began).Milliseconds())
		}
		return
	}
}

// append stores an entry through a collector, or directly if none can be reached or this instance is the collector.
func (c *Collectors) append(ctx context.Context, e eventlog.Entry, direct Appender) error {
	var unknown error
	for _, to := range c.choose() {
		if to.Instance == c.instance {
			break
		}
		h := c.log.Health()
		deadline, limited := ctx.Deadline()
		if limited && time.Until(deadline) < h.Append {
			return c.outcome("collector", unknown, &eventlog.UnsentError{Health: h})
		}
		d, err := c.collect(ctx, to, e)
		// A collector that has not stored the entry may state a duration from before it was cut off from the log. Such a
		// short duration does not end the expectation of slow appends.
		if d >= storehealth.SlowAfter && c.isConfirmed() || 0 < d && d < storehealth.SlowAfter && err == nil {
			c.log.Hint(d)
		}
		var refused *relay.RefusedError
		var noAnswer *relay.NoAnswerError
		var answered *relay.MessageError
		switch {
		case err == nil:
			c.count("collector", nil)
			return nil
		case errors.As(err, &refused) && refused.NoTime:
			return c.outcome("collector", unknown, &eventlog.UnsentError{Health: c.log.Health()})
		case errors.As(err, &noAnswer) && errors.As(err, &answered):
			// The collector does not know the outcome; the entry is read back if it was stored.
			return c.outcome("collector", &eventlog.UnknownError{Op: "append", Err: err}, nil)
		case errors.As(err, &noAnswer):
			unknown = &eventlog.UnknownError{Op: "append", Err: err}
		}
		if ctx.Err() != nil {
			return c.outcome("collector", unknown, &eventlog.UnsentError{Health: h})
		}
		// A collector that refuses for another reason than time cannot reach the log itself, or is busy or stopping.
		c.suspend(to, err)
		c.logger.Info("collector did not store an entry", "key", e.Key, "collector", to.Instance, "error", err)
	}
	return c.outcome("direct", unknown, direct.Append(ctx, e))
}

// collect stores an entry through a collector. It sends nothing to a collector that does not answer, and gives the call up
// when it ceases to answer.
func (c *Collectors) collect(ctx context.Context, to catalog.Endpoint, e eventlog.Entry) (time.Duration, error) {
	if !c.alive(ctx, to) {
		return 0, &relay.UnreachableError{Peer: to.Instance, Err: context.DeadlineExceeded}
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		append time.Duration
		err    error
	}
	done := make(chan result, 1)
	go func() {
		d, err := c.client.Collect(callCtx, to, e)
		done <- result{append: d, err: err}
	}()
	check := clock.NewTimer(aliveFor)
	defer check.Stop()
	for {
		select {
		case r := <-done:
			if r.err == nil {
				c.noteAnswer(to.Instance)
			}
			return r.append, r.err
		case <-check.C:
			check.Restart(aliveFor)
			if !c.alive(ctx, to) {
				cancel()
			}
		}
	}
}

func (c *Collectors) noteAnswer(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[instance] = time.Now()
}

// alive reports whether a collector has answered within aliveFor, or answers now to a report with the duration 0, which
// has no other effect.
func (c *Collectors) alive(ctx context.Context, to catalog.Endpoint) bool {
	c.mu.Lock()
	recent := time.Since(c.answered[to.Instance]) < aliveFor
	c.mu.Unlock()
	if recent {
		return true
	}
	answered := c.asking.DoChan(to.Instance, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
		defer cancel()
		err := c.client.Report(ctx, to, c.instance, 0)
		var refused *relay.RefusedError
		if err != nil && !errors.As(err, &refused) {
			return nil, err
		}
		c.noteAnswer(to.Instance)
		return nil, nil
	})
	select {
	case r := <-answered:
		return r.Err == nil
	case <-ctx.Done():
		return false
	}
}

// outcome counts an entry and returns its result: that of the last attempt, or unknown if an earlier one may have stored
// it.
func (c *Collectors) outcome(path string, unknown, last error) error {
	if unknown != nil && (last != nil || path == "collector") {
		last = unknown
	}
	c.count(path, last)
	return last
}

// appendIsSlow is called when an append of this instance has no answer after storehealth.SlowAfter.
func (c *Collectors) appendIsSlow() {
	to := c.choose()
	d := max(c.log.Health().Append, storehealth.SlowAfter)
	if len(to) == 0 {
		return
	}
	if to[0].Instance == c.instance {
		c.ownAppendIsSlow(d)
		return
	}
	c.mu.Lock()
	due := !c.reporting && (time.Since(c.reported) >= reportInterval || c.log.FastSince(c.reported))
	if due {
		c.reporting, c.reported = true, time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reporting = false
	}()
	for _, p := range to {
		if p.Instance == c.instance {
			c.ownAppendIsSlow(d)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		err := c.client.Report(ctx, p, c.instance, d)
		cancel()
		var refused *relay.RefusedError
		if err == nil || errors.As(err, &refused) {
			return
		}
		c.suspend(p, err)
	}
}

// ownAppendIsSlow tells all instances that appends are slow if another instance has confirmed it. Otherwise perhaps only
// the connection of this instance to the log is slow, and a hint would send all entries over it.
func (c *Collectors) ownAppendIsSlow(d time.Duration) {
	if c.isConfirmed() && !c.log.Health().Unreachable() {
		c.hint(d)
	}
}

func (c *Collectors) isConfirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed.IsZero() && time.Since(c.confirmed) < confirmedFor
}

// noteHint notes that a collector tells that appends are slow.
func (c *Collectors) noteHint(d time.Duration) {
	c.log.Hint(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = time.Now()
}

// report notes that an append of a peer is slow, and tells all instances once enough have reported it.
func (c *Collectors) report(peer string, d time.Duration) {
	if d < storehealth.SlowAfter || len(peer) > maxNameBytes {
		return
	}
	own := c.log.Health().Append >= storehealth.SlowAfter
	c.mu.Lock()
	now := time.Now()
	for name, at := range c.reports {
		if now.Sub(at) > reportsKept {
			delete(c.reports, name)
		}
	}
	if _, known := c.reports[peer]; known || len(c.reports) < maxReports {
		c.reports[peer] = now
	}
	c.confirmed = now
	enough := own || len(c.reports) >= reportsNeeded
	c.mu.Unlock()
	if enough {
		c.log.Hint(max(d, storehealth.SlowAfter))
		go c.hint(d)
	}
}

// hint tells all instances that appends are slow.
func (c *Collectors) hint(d time.Duration) {
	c.mu.Lock()
	interval := hintInterval
	if c.log.FastSince(c.hinted) {
		interval = minHintInterval
	}
	due := !c.isHinting && time.Since(c.hinted) >= interval
	if due {
		c.isHinting, c.hinted = true, time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	// An instance that cannot be told finds out by its own appends.
	n := c.callAll(func(ctx context.Context, to catalog.Endpoint) error { return c.client.Hint(ctx, to, d) })
	c.mu.Lock()
	c.isHinting = false
	c.mu.Unlock()
	c.logger.Info("told all instances that appends are slow", "append_ms", d.Milliseconds(), "instances", n)
}

// callAll calls all other instances and returns their number.
func (c *Collectors) callAll(do func(context.Context, catalog.Endpoint) error) int {
	var g errgroup.Group
	g.SetLimit(maxHintCalls)
	n := 0
	for _, to := range c.catalog.Endpoints() {
		if to.Instance == c.instance {
			continue
		}
		n++
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			_ = do(ctx, to)
			return nil
		})
	}
	_ = g.Wait()
	return n
}
