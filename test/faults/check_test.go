package faults

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/load"
)

const (
	watchInterval      = 400 * time.Millisecond
	metricViolations   = "clementine_invariant_violations_total"
	metricConfigOffset = "clementine_config_offset"
)

// interruptedOutcomes are the request outcomes that a planned stop must not cause. Other unknown outcomes are by
// design: a ticket is lost with the gateway that issued it, so a request with such a ticket is unknown.
var interruptedOutcomes = []string{"unknown: connection-broken", "unknown: caller-gave-up",
	"unknown: no-whole-answer", "unknown: timeout"}

// watch checks the metrics of the gateways and schedulers and the exit codes of all processes until ctx ends.
func (c *cluster) watch(ctx context.Context) {
	versions := map[*program]float64{}
	for ctx.Err() == nil {
		for _, p := range append(c.live("gateway"), c.live("scheduler")...) {
			c.checkMetrics(ctx, p, versions)
		}
		c.checkExits()
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

// checkMetrics reads the metrics of a process. A counted invariant violation, or a configuration version lower than the
// one that versions holds for the process, is a violation.
func (c *cluster) checkMetrics(ctx context.Context, p *program, versions map[*program]float64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url+"/metrics", nil)
	if err != nil {
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return // A process that is being killed or frozen does not answer.
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil:
		case strings.HasPrefix(name, metricViolations) && value > 0:
			c.violationf("%s: %s", p.name, name)
		case name == metricConfigOffset:
			if value < versions[p] {
				c.violationf("%s went back from configuration version %v to %v", p.name, versions[p], value)
			}
			versions[p] = value
		}
	}
}

// checkResult checks the result of the load and the ledger of the workers: violations, jobs that were refused or are
// not done, and requests that a planned stop interrupted.
func (c *cluster) checkResult(s scenario, r *load.Result) {
	for name, n := range r.Violations {
		if n > 0 {
			c.violationf("%s: %d", name, n)
		}
	}
	for _, d := range r.Details {
		c.t.Log(d)
	}
	for reason, n := range r.Reasons {
		c.t.Logf("%d x %s", n, reason)
	}
	if r.Batch.NotAccepted > 0 {
		c.violationf("%d jobs were not accepted: %s", r.Batch.NotAccepted, strings.Join(r.SubmitErrors, "; "))
	}
	if r.Batch.Done < r.Batch.Tasks {
		c.violationf("%d of %d tasks are done, %d failed", r.Batch.Done, r.Batch.Tasks, r.Batch.Failed)
	}
	if s.planned {
		for _, reason := range interruptedOutcomes {
			if n := r.Reasons[reason]; n > 0 {
				c.violationf("a planned stop interrupted %d requests (%s)", n, reason)
			}
		}
	}
	// The check of the load covers only its own requests and jobs; the ledger also covers those of the scenario.
	if st := c.workerStats(); st.Violated > 0 {
		c.violationf("the workers count %d violations: %s", st.Violated, strings.Join(st.Violations, "; "))
	}
}

// checkLogs searches the logs of all processes for invariant violations, broken guarantees, panics and data races.
func (c *cluster) checkLogs() {
	for _, p := range c.allPrograms() {
		f, err := os.Open(p.log)
		if err != nil {
			c.violationf("log of %s: %v", p.name, err)
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			for _, text := range []string{"assertion is broken", "a guarantee is violated", "panic", "goroutine ",
				"DATA RACE"} {
				if strings.Contains(lines.Text(), text) {
					c.violationf("log of %s: %.300s", p.name, lines.Text())
				}
			}
		}
		_ = f.Close()
	}
}
