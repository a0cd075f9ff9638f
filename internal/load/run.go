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
	// checkTimeout bounds the questions to the workers after a run.
	checkTimeout   = 30 * time.Second
	idlePerGateway = 1024
	// repeatDelay lets half of the repeats overtake their first call.
	repeatDelay = 5 * time.Millisecond
)

// Runner makes one run.
type Runner struct {
	settings *Settings
	out      io.Writer
	progress io.Writer
	client   *http.Client
}

// Outputs are where a run prints its table and its progress.
type Outputs struct{ Table, Progress io.Writer }

// NewRunner returns a runner.
func NewRunner(s *Settings, c *http.Client, o Outputs) *Runner {
	return &Runner{settings: s, client: c, out: o.Table, progress: o.Progress}
}

// NewHTTPClient returns the callers' client, with the conditions of the links to the gateways if there are any.
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
	t := &http.Transport{MaxIdleConnsPerHost: idlePerGateway, IdleConnTimeout: time.Minute,
		DialContext: conditions.DialContext(local)}
	return &http.Client{Transport: t}, nil
}

// Run sends the load, waits for the end of all requests and jobs, and reports. It returns *PromiseError if a promise was
// broken.
func (r *Runner) Run(ctx context.Context) error {
	_, err := r.Measure(ctx)
	return err
}

// Measure is Run with the result, which is nil if the run could not be made.
func (r *Runner) Measure(ctx context.Context) (*Result, error) {
	k, err := r.settings.kinds()
	if err != nil {
		return nil, err
	}
	b := newBalancer(r.settings.Gateways, r.client, r.settings.Seed)
	watching, stopWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { b.watch(watching) })
	defer watch.Wait()
	defer stopWatch()
	if err := b.awaitReady(ctx); err != nil {
		return nil, err
	}
	worker := &standin{url: r.settings.Standin, client: r.client}
	before, err := worker.stats(ctx)
	if err != nil {
		return nil, err
	}
	c := &caller{client: r.client, balancer: b, timeout: r.settings.Timeout}
	rec, jobs := newRecorder(k), newBatch(r.settings, k.batch, c)
	began := time.Now()
	r.drive(ctx, c, newPlan(r.settings, k), rec, jobs)
	res := newResult(r.settings, rec, jobs, began, time.Since(began))
	// An interrupted run is checked and reported, too.
	checking, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	if err := worker.check(checking, before, rec, jobs, res); err != nil {
		return nil, err
	}
	return res, r.report(res, rec)
}

// drive runs requests, jobs and the progress line until all have ended.
func (r *Runner) drive(ctx context.Context, c *caller, p *plan, rec *recorder, jobs *batch) {
	var work, show sync.WaitGroup
	done := make(chan struct{})
	show.Go(func() { r.showProgress(done, rec, jobs) })
	work.Go(func() { r.requests(ctx, c, p, rec) })
	work.Go(func() { jobs.run(ctx) })
	work.Wait()
	close(done)
	show.Wait()
}

// requests sends each request at its time. When too many are in progress it waits, and the waiting counts as latency.
func (r *Runner) requests(ctx context.Context, c *caller, p *plan, rec *recorder) {
	slots := make(chan struct{}, r.settings.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for {
		req, ok := p.next()
		if !ok || !pause(ctx, time.Until(began.Add(req.at))) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		rec.begin()
		wg.Go(func() {
			defer func() { <-slots }()
			if req.repeat {
				c.sendTwice(ctx, req, began.Add(req.at), rec)
				return
			}
			a, _, _ := c.send(ctx, req, "", nil)
			rec.end(req, a, time.Since(began.Add(req.at)))
		})
	}
}

// sendTwice makes two calls with one ticket through different gateways, half of them at nearly the same time.
func (c *caller) sendTwice(ctx context.Context, req request, intended time.Time, rec *recorder) {
	issuer := c.balancer.pick(nil)
	ticket := ""
	if issuer != nil {
		// Without a ticket the first call gets one by itself and the second one is left out.
		ticket, _ = c.ticket(ctx, issuer)
	}
	together := len(req.body) > 0 && req.body[0]&1 == 0 && ticket != ""
	early := make(chan answer, 1)
	if together {
		go func() {
			pause(ctx, repeatDelay)
			a, _, _ := c.send(ctx, req, ticket, issuer)
			early <- a
		}()
	}
	first, g, used := c.send(ctx, req, ticket, nil)
	rec.end(req, first, time.Since(intended))
	var second answer
	switch {
	case together:
		second = <-early
	case used == "":
		return
	default:
		second, _, _ = c.send(ctx, req, used, g)
	}
	rec.repeated(req, first, second)
}

func (r *Runner) showProgress(done <-chan struct{}, rec *recorder, jobs *batch) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	began := time.Now()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		p, b := rec.tick(), jobs.totals()
		_, _ = fmt.Fprintf(r.progress, "%4ds  sent %d  whole %d  not run %d  unknown %d  in progress %d  p99 %s  |  tasks done %d of %d  evicted %d\n",
			int(time.Since(began).Seconds()), p.sent, p.outcomes[whole], p.outcomes[notRun], p.outcomes[unknown], p.inFlight,
			p.p99.Round(time.Millisecond/10), b.Done, b.Tasks, b.Evicted)
	}
}
