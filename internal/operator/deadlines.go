package operator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

// DeadlinesCommand reports whether jobs met their deadlines.
type DeadlinesCommand struct{}

// deadlineRow counts the jobs of one team and kind by their status; see jobStatus.
type deadlineRow struct {
	Team      string `json:"team"`
	Kind      string `json:"kind"`
	Jobs      int    `json:"jobs"`
	Met       int    `json:"met"`
	Late      int    `json:"late"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
	Open      int    `json:"open"`
	Overdue   int    `json:"overdue"`
	Parked    int    `json:"parked"`
	// Worst is the longest time by which an ended or open job has passed its deadline.
	Worst int64 `json:"worst_delay_ms"`
	Cost  int64 `json:"cost_micros"`
}

// Run implements the command.
func (c *DeadlinesCommand) Run(ctx context.Context, e *Env) error {
	jobs, err := e.jobs(ctx, "")
	if err != nil {
		return err
	}
	rows := deadlineRows(jobs, e.now())
	t := &table{columns: []string{"TEAM", "KIND", "JOBS", "MET", "LATE", "FAILED", "CANCELLED", "OPEN", "OVERDUE",
		"PARKED", "WORST DELAY", "COST"}}
	for _, r := range rows {
		t.add(r.Team, r.Kind, r.Jobs, r.Met, r.Late, r.Failed, r.Cancelled, r.Open, r.Overdue, r.Parked,
			time.Duration(r.Worst)*time.Millisecond, manifest.FormatMoney(r.Cost))
	}
	t.footer = "Services have no deadline and are not counted. Owners keep only the newest jobs that have ended."
	return e.print(rows, t)
}

func deadlineRows(jobs []contract.JobState, now time.Time) []deadlineRow {
	byKind := map[costAccount]*deadlineRow{}
	for _, j := range jobs {
		if j.Deadline.IsZero() {
			continue
		}
		key := costAccount{team: j.Team, kind: j.Kind}
		if byKind[key] == nil {
			byKind[key] = &deadlineRow{Team: j.Team, Kind: j.Kind}
		}
		byKind[key].add(j, now)
	}
	out := make([]deadlineRow, 0, len(byKind))
	for _, r := range byKind {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b deadlineRow) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

func (r *deadlineRow) add(j contract.JobState, now time.Time) {
	r.Jobs++
	r.Cost += j.Cost
	switch jobStatus(j, now) {
	case "done":
		r.Met++
	case "late":
		r.Late++
	case "failed":
		r.Failed++
	case "cancelled":
		r.Cancelled++
	case "parked":
		r.Parked++
	case "overdue":
		r.Overdue++
	default:
		r.Open++
	}
	end := j.Ended
	if end.IsZero() {
		end = now
	}
	r.Worst = max(r.Worst, end.Sub(j.Deadline).Milliseconds())
}
