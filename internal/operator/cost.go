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
	// maxParallelReads bounds the number of shards that are read at the same time, and thereby the memory.
	maxParallelReads = 4
	day              = 24 * time.Hour
	unknownAccount   = "unknown"
	reportFileMode   = 0o644
)

// ReportCommand holds the report commands.
type ReportCommand struct {
	Cost      CostCommand      `cmd:"" help:"Report what tasks cost, by team, kind and outcome."`
	Deadlines DeadlinesCommand `cmd:"" help:"Report which jobs met their deadlines, by team and kind."`
}

// CostCommand reports costs.
type CostCommand struct {
	Since time.Duration `help:"Report only attempts that ended within this time. Default: all that the log keeps."`
	HTML  string        `name:"html" placeholder:"FILE" help:"Also write the report as a page with charts."`
}

// costReport is the result of the command report cost. Amounts are in millionths of the currency.
type costReport struct {
	Deployment string    `json:"deployment"`
	Currency   string    `json:"currency"`
	Version    uint64    `json:"version"`
	At         time.Time `json:"at"`
	Since      time.Time `json:"since,omitzero"`
	Total      int64     `json:"total_micros"`
	// Unproductive is the part of Total that was spent on attempts with an outcome other than done.
	Unproductive int64       `json:"unproductive_micros"`
	Rows         []costRow   `json:"rows"`
	Teams        []teamCost  `json:"teams"`
	Shards       []shardCost `json:"shards"`
}

// costRow is the cost of the attempts of one team, kind and outcome.
type costRow struct {
	Team     string `json:"team"`
	Kind     string `json:"kind"`
	Outcome  string `json:"outcome"`
	Attempts int    `json:"attempts"`
	RunTime  int64  `json:"run_time_ms"`
	Cost     int64  `json:"cost_micros"`
}

// teamCost is the cost of a team and its permitted spending. Day is the cost of the last 24 hours, Daily the permitted
// spending per day; it is 0 if the manifest does not name the team.
type teamCost struct {
	Team  string `json:"team"`
	Cost  int64  `json:"cost_micros"`
	Day   int64  `json:"last_day_micros"`
	Daily int64  `json:"daily_spending_micros"`
}

// shardCost is the cost of one shard and the range of its records that the report includes.
type shardCost struct {
	Shard string `json:"shard"`
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
	Cost  int64  `json:"cost_micros"`
	// Whole reports whether the log retains all records of the shard. Cost then agrees with a replay of its jobs.
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
	replays, err := e.readShards(ctx, allShards(h))
	if err != nil {
		return err
	}
	r := newCostReport(v, replays, e.now(), c.Since)
	if c.HTML != "" {
		page, err := r.page()
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, page, reportFileMode); err != nil {
			return errors.WithStack(err)
		}
		e.printProgress("The page was written to %s.", c.HTML)
	}
	return e.print(r, r.table())
}

// allShards returns the shards of every version that the log retains, so that the report includes the costs of data
// centres that were removed.
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

// readShards replays the shards in parallel.
func (e *Env) readShards(ctx context.Context, names []string) ([]*shardReplay, error) {
	out := make([]*shardReplay, len(names))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for i, name := range names {
		g.Go(func() (err error) {
			out[i], err = readCosts(ctx, e.log, name)
			return err
		})
	}
	return out, g.Wait()
}

// newCostReport adds up the costs of the replays of all shards. since limits the report to attempts that ended within
// that time before now; 0 stands for no limit.
func newCostReport(v *config.Version, replays []*shardReplay, now time.Time, since time.Duration) *costReport {
	r := &costReport{Deployment: v.Manifest.Deployment, Currency: v.Manifest.Currency, Version: v.Offset, At: now}
	if since > 0 {
		r.Since = now.Add(-since)
	}
	accounts := map[string]costAccount{}
	for _, replay := range replays {
		for id, p := range replay.state.jobs {
			accounts[id] = p
		}
	}
	rows, teams := map[costRow]*costRow{}, map[string]*teamCost{}
	for _, t := range v.Manifest.Teams {
		teams[t.Name] = &teamCost{Team: t.Name, Daily: t.DailySpending}
	}
	for _, replay := range replays {
		s := shardCost{Shard: replay.shard, From: replay.from, To: replay.to, Whole: replay.state.fullHistory}
		for _, a := range replay.state.costs {
			if a.at.Before(r.Since) {
				continue
			}
			s.Cost += a.costMicros
			r.add(rows, teams, accounts, a)
		}
		r.Total += s.Cost
		r.Shards = append(r.Shards, s)
	}
	r.setRows(rows, teams)
	return r
}

// add adds the cost of one attempt to its row, its team and the totals. The account is unknown if the submission of
// the job is no longer retained.
func (r *costReport) add(rows map[costRow]*costRow, teams map[string]*teamCost, accounts map[string]costAccount,
	a attemptCost) {
	p, known := accounts[a.job]
	if !known {
		p = costAccount{team: unknownAccount, kind: unknownAccount}
	}
	key := costRow{Team: p.team, Kind: p.kind, Outcome: string(a.outcome)}
	if rows[key] == nil {
		row := key
		rows[key] = &row
	}
	row := rows[key]
	row.Attempts++
	row.RunTime += a.runTime.Milliseconds()
	row.Cost += a.costMicros
	if teams[p.team] == nil {
		teams[p.team] = &teamCost{Team: p.team}
	}
	teams[p.team].Cost += a.costMicros
	if r.At.Sub(a.at) < day {
		teams[p.team].Day += a.costMicros
	}
	if row.Outcome != "done" {
		r.Unproductive += a.costMicros
	}
}

// setRows sets Rows and Teams in sorted order.
func (r *costReport) setRows(rows map[costRow]*costRow, teams map[string]*teamCost) {
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
		t.add(row.Team, row.Kind, row.Outcome, row.Attempts, time.Duration(row.RunTime)*time.Millisecond,
			manifest.FormatMoney(row.Cost))
	}
	t.add("TOTAL", "", "", "", "", manifest.FormatMoney(r.Total))
	for _, team := range r.Teams {
		t.footer += "Team " + team.Team + ": " + manifest.FormatMoney(team.Day) + " " + r.Currency +
			" in the last 24 hours"
		if team.Daily > 0 {
			t.footer += " of " + manifest.FormatMoney(team.Daily) + " permitted"
		}
		t.footer += ".\n"
	}
	t.footer += "Spent on attempts with an outcome other than done: " + manifest.FormatMoney(r.Unproductive) +
		" " + r.Currency + "."
	for _, s := range r.Shards {
		if !s.Whole {
			t.footer += "\nShard " + s.Shard + ": records before offset " + formatUint(s.From) +
				" are no longer in the log and not included."
		}
	}
	return t
}
