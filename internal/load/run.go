package load

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/process"
)

const (
	progressInterval = time.Second
	// workerCheckTimeout limits the queries to the workers' stand-in after a run.
	workerCheckTimeout     = 30 * time.Second
	maxIdleConnsPerGateway = 1024
	// repeatDelay is how long after the first call a concurrent repeat is sent. Half of the repeats are concurrent, so
	// that they can overtake the first call. A repeat is a second call with the same ticket, not a retry after a
	// failure.
	repeatDelay = 5 * time.Millisecond
)

// Runner executes one load test.
type Runner struct {
	settings *Settings
	// out receives the table, progress the progress lines.
	out      io.Writer
	progress io.Writer
	client   *http.Client
}

// Outputs holds the writers for the table of results and the progress lines.
type Outputs struct{ Table, Progress io.Writer }

// NewRunner returns a runner for settings that Check accepts.
func NewRunner(s *Settings, c *http.Client, o Outputs) *Runner {
	return &Runner{settings: s, client: c, out: o.Table, progress: o.Progress}
}

// NewHTTPClient returns the callers' HTTP client. It applies the link conditions of s.Conditions and connects from
// s.Local, if these are set.
func NewHTTPClient(s *Settings, l *slog.Logger) (*http.Client, error) {
	var conditions *link.Conditions
	if s.Conditions != "" {
		var err error
		if conditions, err = link.OpenConditions(s.Conditions, s.Seed, process.WithPrefix(l, "load")); err != nil {
			return nil, err
		}
	}
	var local netip.Addr
	if s.Local != "" {
		var err error
		if local, err = netip.ParseAddr(s.Local); err != nil {
			return nil, &TargetError{Target: s.Local}
		}
	}
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerGateway, IdleConnTimeout: time.Minute,
		DialContext: conditions.DialContext(local)}
	return &http.Client{Transport: t}, nil
}

// Run sends the load, waits for all requests and jobs to end, and reports. It returns a *ViolationError if a guarantee
// was violated.
func (r *Runner) Run(ctx context.Context) error {
	_, err := r.RunWithResult(ctx)
	return err
}

// RunWithResult does what Run does and also returns the result, which is nil if the load was not sent or the workers
// could not be queried.
func (r *Runner) RunWithResult(ctx context.Context) (*Result, error) {
	selected, err := r.settings.kinds()
	if err != nil {
		return nil, err
	}
	b := newBalancer(r.settings.Gateways, r.client, r.settings.Seed)
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { b.watch(watchCtx) })
	defer watchers.Wait()
	defer stopWatch()
	if err := b.awaitReady(ctx); err != nil {
		return nil, err
	}
	workers := &standinClient{url: r.settings.Standin, client: r.client}
	before, err := workers.stats(ctx)
	if err != nil {
		return nil, err
	}
	c := &caller{client: r.client, balancer: b, timeout: r.settings.Timeout}
	rec, jobs := newRecorder(selected), newBatch(r.settings, selected.batch, c)
	start := time.Now()
	r.runLoad(ctx, c, newPlan(r.settings, selected), rec, jobs)
	res := newResult(r.settings, rec, jobs, start, time.Since(start))
	// An interrupted run is also checked and reported.
	checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), workerCheckTimeout)
	defer cancel()
	if err := workers.check(checkCtx, before, rec, jobs, res); err != nil {
		return nil, err
	}
	return res, r.report(res, rec)
}

// runLoad sends the requests and jobs, prints progress lines, and returns when all requests and jobs have ended.
func (r *Runner) runLoad(ctx context.Context, c *caller, p *plan, rec *recorder, jobs *batch) {
	var work, display sync.WaitGroup
	done := make(chan struct{})
	display.Go(func() { r.showProgress(done, rec, jobs) })
	work.Go(func() { r.sendRequests(ctx, c, p, rec) })
	work.Go(func() { jobs.run(ctx) })
	work.Wait()
	close(done)
	display.Wait()
}

// sendRequests sends each request at its intended time. While MaxInFlight requests are in progress it waits, and the
// waiting time counts as latency.
func (r *Runner) sendRequests(ctx context.Context, c *caller, p *plan, rec *recorder) {
	sem := make(chan struct{}, r.settings.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for {
		req, ok := p.next()
		if !ok || !pause(ctx, time.Until(start.Add(req.sendAt))) {
			return
		}
		select {
		case sem <- struct{}{}:
		case <-ctx.Done():
			return
		}
		rec.begin()
		wg.Go(func() {
			defer func() { <-sem }()
			if req.withRepeat {
				c.sendWithRepeat(ctx, req, start.Add(req.sendAt), rec)
				return
			}
			a, _, _ := c.send(ctx, req, "", nil)
			rec.end(req, a, time.Since(start.Add(req.sendAt)))
		})
	}
}

// sendWithRepeat sends a request and repeats it with the same ticket. Half of the pairs, chosen by the first byte of
// the body, are sent concurrently, and only the repeat avoids the gateway that issued the ticket, so both calls can go
// through the same gateway. In the other pairs the repeat follows the first answer, through another gateway.
func (c *caller) sendWithRepeat(ctx context.Context, req request, intended time.Time, rec *recorder) {
	ticketIssuer := c.balancer.pick(nil)
	ticket := ""
	if ticketIssuer != nil {
		// A failure is not an error here: send then tries other gateways, and the calls are made one after the other.
		ticket, _ = c.acquireTicket(ctx, ticketIssuer)
	}
	concurrent := len(req.body) > 0 && req.body[0]&1 == 0 && ticket != ""
	repeatAnswer := make(chan answer, 1)
	if concurrent {
		go func() {
			pause(ctx, repeatDelay)
			a, _, _ := c.send(ctx, req, ticket, ticketIssuer)
			repeatAnswer <- a
		}()
	}
	first, firstGateway, usedTicket := c.send(ctx, req, ticket, nil)
	rec.end(req, first, time.Since(intended))
	var second answer
	switch {
	case concurrent:
		second = <-repeatAnswer
	case usedTicket == "":
		// No gateway issued a ticket, so there is no call to repeat.
		return
	default:
		second, _, _ = c.send(ctx, req, usedTicket, firstGateway)
	}
	rec.recordRepeat(req, first, second)
}

// showProgress prints a progress line every second until done is closed.
func (r *Runner) showProgress(done <-chan struct{}, rec *recorder, jobs *batch) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	start := time.Now()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		p, b := rec.takeProgress(), jobs.totals()
		_, _ = fmt.Fprintf(r.progress,
			"%4ds  sent %d  whole %d  not run %d  unknown %d  in progress %d  p99 %s  |  tasks done %d of %d  evicted %d\n",
			int(time.Since(start).Seconds()), p.sent, p.outcomes[outcomeAnswered], p.outcomes[outcomeRejected],
			p.outcomes[outcomeUnknown], p.inFlight,
			p.p99.Round(time.Millisecond/10), b.Done, b.Tasks, b.Evicted)
	}
}
