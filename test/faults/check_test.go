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
	watchEvery    = 400 * time.Millisecond
	metricBroken  = "clementine_invariant_violations_total"
	metricVersion = "clementine_config_offset"
)

// cutOff are the outcomes of requests that a planned stop must not cause. A ticket is lost with the gateway that issued it, so a request
// with such a ticket is unknown by design.
var cutOff = []string{"unknown: connection-broken", "unknown: caller-gave-up", "unknown: no-whole-answer", "unknown: timeout"}

// watch follows the metrics of all processes until ctx ends.
func (c *cluster) watch(ctx context.Context) {
	versions := map[*program]float64{}
	for ctx.Err() == nil {
		for _, p := range append(c.live("gateway"), c.live("scheduler")...) {
			c.inspect(ctx, p, versions)
		}
		c.died()
		select {
		case <-ctx.Done():
		case <-time.After(watchEvery):
		}
	}
}

func (c *cluster) inspect(ctx context.Context, p *program, versions map[*program]float64) {
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
		case strings.HasPrefix(name, metricBroken) && value > 0:
			c.violate("%s: %s", p.name, name)
		case name == metricVersion:
			if value < versions[p] {
				c.violate("%s went back from version %v to %v", p.name, versions[p], value)
			}
			versions[p] = value
		}
	}
}

// judge compares what callers were told with what the workers did.
func (c *cluster) judge(s scenario, r *load.Result) {
	for name, n := range r.Violations {
		if n > 0 {
			c.violate("%s: %d", name, n)
		}
	}
	for _, d := range r.Details {
		c.t.Log(d)
	}
	for reason, n := range r.Reasons {
		c.t.Logf("%d x %s", n, reason)
	}
	if r.Batch.Refused > 0 {
		c.violate("%d jobs were not accepted: %s", r.Batch.Refused, strings.Join(r.Refusals, "; "))
	}
	if r.Batch.Done < r.Batch.Tasks {
		c.violate("%d of %d tasks are done, %d failed", r.Batch.Done, r.Batch.Tasks, r.Batch.Failed)
	}
	if s.planned {
		for _, reason := range cutOff {
			if n := r.Reasons[reason]; n > 0 {
				c.violate("a planned stop cut off %d requests (%s)", n, reason)
			}
		}
	}
	// The load's own check covers only its requests; the ledger also covers those of the scenario.
	if st := c.stats(); st.Violated > 0 {
		c.violate("the workers count %d violations: %s", st.Violated, strings.Join(st.Violations, "; "))
	}
}

// readLogs looks for lines that no process may write.
func (c *cluster) readLogs() {
	for _, p := range c.all() {
		f, err := os.Open(p.log)
		if err != nil {
			c.violate("log of %s: %v", p.name, err)
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			for _, text := range []string{"assertion is broken", "a promise is broken", "panic", "goroutine ", "DATA RACE"} {
				if strings.Contains(lines.Text(), text) {
					c.violate("log of %s: %.300s", p.name, lines.Text())
				}
			}
		}
		_ = f.Close()
	}
}
