package operator

import (
	"cmp"
	"context"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

const (
	// parallelReads bounds the shards that are read at a time, which bounds memory as well.
	parallelReads = 4
	day           = 24 * time.Hour
	unknownOwner  = "unknown"
	reportMode    = 0o644
)

// ReportCommand holds the reports.
type ReportCommand struct {
	Cost      CostCommand      `cmd:"" help:"Report what tasks cost, by team, kind and outcome."`
	Deadlines DeadlinesCommand `cmd:"" help:"Report which jobs met their deadlines, by team and kind."`
}

// CostCommand reports costs.
type CostCommand struct {
	Since time.Duration `help:"Report only attempts that ended within this time. Default: all that the log keeps."`
	HTML  string        `name:"html" placeholder:"FILE" help:"Also write the report as a page with charts."`
}

// costReport is the result of report cost. Amounts are in millionths of the currency.
type costReport struct {
	Deployment string    `json:"deployment"`
	Currency   string    `json:"currency"`
	Version    uint64    `json:"version"`
	At         time.Time `json:"at"`
	Since      time.Time `json:"since,omitzero"`
	Total      int64     `json:"total_micros"`
	// Unproductive is the part of Total that was paid for attempts that did not end as done.
	Unproductive int64       `json:"unproductive_micros"`
	Rows         []costRow   `json:"rows"`
	Teams        []teamCost  `json:"teams"`
	Shards       []shardCost `json:"shards"`
}

// costRow is the cost of one team, kind and outcome.
type costRow struct {
	Team     string `json:"team"`
	Kind     string `json:"kind"`
	Outcome  string `json:"outcome"`
	Attempts int    `json:"attempts"`
	RunTime  int64  `json:"run_time_ms"`
	Cost     int64  `json:"cost_micros"`
}

// teamCost compares a team's cost with its permitted spending.
type teamCost struct {
	Team  string `json:"team"`
	Cost  int64  `json:"cost_micros"`
	Day   int64  `json:"last_day_micros"`
	Daily int64  `json:"daily_spending_micros"`
}

// shardCost tells which records the report includes.
type shardCost struct {
	Shard string `json:"shard"`
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
	Cost  int64  `json:"cost_micros"`
	// Whole tells that no record was dropped and that the sum agrees with a replay of the shard's jobs.
	Whole bool `json:"whole"`
}

// Run implements the command.
func (c *CostCommand) Run(ctx context.Context, e *Env) error {
	h, err := config.ReadHistory(ctx, e.log)
	if err != nil {
		return err
	}
	v := h.Chain.Version()
	if v == nil {
		return &NoVersionError{}
	}
	costs, err := e.readShards(ctx, allShards(h))
	if err != nil {
		return err
	}
	r := newCostReport(v, costs, e.now(), c.Since)
	if c.HTML != "" {
		page, err := r.page()
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, page, reportMode); err != nil {
			return errors.WithStack(err)
		}
		e.note("The page was written to %s.", c.HTML)
	}
	return e.print(r, r.table())
}

// allShards returns the shards of every version that the log keeps, so that the cost of a data centre that was removed is
// still reported.
func allShards(h *config.History) []string {
	var out []string
	for _, e := range h.Entries {
		if e.Outcome != config.OutcomeAccepted {
			continue
		}
		if m, err := manifest.Parse("", e.Publication.Manifest); err == nil {
			out = append(out, manifest.Shards(m)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (e *Env) readShards(ctx context.Context, names []string) ([]*shardCosts, error) {
	out := make([]*shardCosts, len(names))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelReads)
	for i, name := range names {
		g.Go(func() (err error) {
			out[i], err = readCosts(ctx, e.log, name)
			return err
		})
	}
	return out, g.Wait()
}

func newCostReport(v *config.Version, costs []*shardCosts, now time.Time, since time.Duration) *costReport {
	r := &costReport{Deployment: v.Manifest.Deployment, Currency: v.Manifest.Currency, Version: v.Offset, At: now}
	if since > 0 {
		r.Since = now.Add(-since)
	}
	owners := map[string]owner{}
	for _, c := range costs {
		for id, o := range c.ledger.jobs {
			owners[id] = o
		}
	}
	rows, teams := map[costRow]*costRow{}, map[string]*teamCost{}
	for _, t := range v.Manifest.Teams {
		teams[t.Name] = &teamCost{Team: t.Name, Daily: t.DailySpending}
	}
	for _, c := range costs {
		s := shardCost{Shard: c.shard, From: c.from, To: c.to, Whole: c.ledger.whole}
		for _, a := range c.ledger.costs {
			if a.at.Before(r.Since) {
				continue
			}
			s.Cost += a.micros
			r.add(rows, teams, owners, a)
		}
		r.Total += s.Cost
		r.Shards = append(r.Shards, s)
	}
	r.sorted(rows, teams)
	return r
}

func (r *costReport) add(rows map[costRow]*costRow, teams map[string]*teamCost, owners map[string]owner, a cost) {
	o, known := owners[a.job]
	if !known {
		o = owner{team: unknownOwner, kind: unknownOwner}
	}
	key := costRow{Team: o.team, Kind: o.kind, Outcome: string(a.outcome)}
	if rows[key] == nil {
		row := key
		rows[key] = &row
	}
	row := rows[key]
	row.Attempts++
	row.RunTime += a.runTime.Milliseconds()
	row.Cost += a.micros
	if teams[o.team] == nil {
		teams[o.team] = &teamCost{Team: o.team}
	}
	teams[o.team].Cost += a.micros
	if r.At.Sub(a.at) < day {
		teams[o.team].Day += a.micros
	}
	if row.Outcome != "done" {
		r.Unproductive += a.micros
	}
}

func (r *costReport) sorted(rows map[costRow]*costRow, teams map[string]*teamCost) {
	r.Rows = []costRow{}
	for _, row := range rows {
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b costRow) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Outcome, b.Outcome))
	})
	for _, t := range teams {
		r.Teams = append(r.Teams, *t)
	}
	slices.SortFunc(r.Teams, func(a, b teamCost) int { return cmp.Compare(a.Team, b.Team) })
}

func (r *costReport) table() *table {
	t := &table{columns: []string{"TEAM", "KIND", "OUTCOME", "ATTEMPTS", "RUN TIME", "COST " + r.Currency}}
	for _, row := range r.Rows {
		t.add(row.Team, row.Kind, row.Outcome, row.Attempts, time.Duration(row.RunTime)*time.Millisecond, manifest.FormatMoney(row.Cost))
	}
	t.add("TOTAL", "", "", "", "", manifest.FormatMoney(r.Total))
	for _, team := range r.Teams {
		t.note += "Team " + team.Team + ": " + manifest.FormatMoney(team.Day) + " " + r.Currency + " in the last 24 hours"
		if team.Daily > 0 {
			t.note += " of " + manifest.FormatMoney(team.Daily) + " permitted"
		}
		t.note += ".\n"
	}
	t.note += "Paid for attempts that did not end as done: " + manifest.FormatMoney(r.Unproductive) + " " + r.Currency + "."
	for _, s := range r.Shards {
		if !s.Whole {
			t.note += "\nShard " + s.Shard + ": records before offset " + uitoa(s.From) + " are no longer kept and not included."
		}
	}
	return t
}
