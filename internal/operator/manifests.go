package operator

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

// CheckCommand checks a manifest without any other process.
type CheckCommand struct {
	File string `arg:"" type:"existingfile" help:"YAML file, or - for standard input."`
}

// checked is the result of check.
type checked struct {
	Deployment string       `json:"deployment"`
	Workers    int          `json:"workers"`
	Shards     int          `json:"shards"`
	Kinds      []pricedKind `json:"kinds"`
}

type pricedKind struct {
	Kind  string `json:"kind"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// Price is that of the declared size for the declared run time, or for one hour of all replicas of a service.
	Price    int64 `json:"price_micros"`
	Spending int64 `json:"spending_micros,omitempty"`
}

// Run implements the command.
func (c *CheckCommand) Run(e *Env) error {
	_, m, err := load(c.File)
	if err != nil {
		return err
	}
	r := checked{Deployment: m.Deployment, Shards: len(manifest.Shards(m))}
	for _, dc := range m.DataCentres {
		r.Workers += dc.Workers
	}
	t := &table{columns: []string{"KIND", "TEAM", "CLASS", "PRICE " + m.Currency, "SPENDING " + m.Currency}}
	for _, k := range m.Kinds {
		p := pricedKind{Kind: k.Name, Team: k.Team, Class: string(k.Class), Price: m.Price(k, k.RunTime), Spending: k.Spending}
		unit, spending := "", manifest.FormatMoney(k.Spending)
		if k.Class == manifest.ClassService {
			p.Price = m.Price(k, time.Hour) * int64(k.Replicas)
			unit, spending = " per hour", "-"
		}
		r.Kinds = append(r.Kinds, p)
		t.add(p.Kind, p.Team, p.Class, manifest.FormatMoney(p.Price)+unit, spending)
	}
	t.note = "Manifest " + c.File + " is valid: " + plural(r.Workers, "worker") + ", " + plural(r.Shards, "shard") + "."
	return e.print(r, t)
}

func load(file string) ([]byte, *manifest.Manifest, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	m, err := manifest.Parse(file, data)
	return data, m, err
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(io.LimitReader(os.Stdin, manifest.MaxBytes+1))
		return data, errors.WithStack(err)
	}
	data, err := os.ReadFile(file)
	return data, errors.WithStack(err)
}

// DiffCommand compares a manifest with the version in force.
type DiffCommand struct {
	File string `arg:"" type:"existingfile" help:"YAML file, or - for standard input."`
}

type difference struct {
	Version uint64            `json:"version"`
	Changes []manifest.Change `json:"changes"`
	// Refused is the reason why the manifest cannot be published.
	Refused string `json:"refused,omitempty"`
}

// Run implements the command.
func (c *DiffCommand) Run(ctx context.Context, e *Env) error {
	_, m, err := load(c.File)
	if err != nil {
		return err
	}
	h, err := config.ReadHistory(ctx, e.log)
	if err != nil {
		return err
	}
	var old *manifest.Manifest
	d := difference{Version: h.Chain.Head()}
	if v := h.Chain.Version(); v != nil {
		old = v.Manifest
	}
	changes, refused := manifest.Diff(old, m)
	d.Changes = changes
	t := &table{columns: []string{"FIELD", "IN FORCE", "NEW"}}
	for _, ch := range changes {
		t.add(ch.Path, ch.Old, ch.New)
	}
	if refused != nil {
		d.Refused = refused.Error()
	}
	t.note = plural(len(changes), "field") + " of version " + formatVersion(d.Version) + " would change."
	if err := e.print(d, t); err != nil {
		return err
	}
	return refused
}

// HistoryCommand lists publications.
type HistoryCommand struct{}

type publication struct {
	Version  uint64    `json:"version"`
	Outcome  string    `json:"outcome"`
	InForce  bool      `json:"in_force,omitempty"`
	Replaces uint64    `json:"replaces"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at,omitzero"`
	Bytes    int       `json:"bytes"`
}

// Run implements the command.
func (c *HistoryCommand) Run(ctx context.Context, e *Env) error {
	h, err := config.ReadHistory(ctx, e.log)
	if err != nil {
		return err
	}
	out := []publication{}
	t := &table{columns: []string{"VERSION", "OUTCOME", "REPLACES", "OPERATOR", "TIME (UTC)", "BYTES"}}
	for _, entry := range h.Entries {
		p := publication{Version: entry.Offset, Outcome: string(entry.Outcome)}
		if b := entry.Publication; b != nil {
			p.Replaces, p.Operator, p.At, p.Bytes = b.Replaces, b.Operator, b.At, len(b.Manifest)
		}
		if v := h.Chain.Version(); v != nil {
			p.InForce = v.Offset == entry.Offset
		}
		outcome := p.Outcome
		if p.InForce {
			outcome += ", in force"
		}
		out = append(out, p)
		t.add(p.Version, outcome, p.Replaces, p.Operator, formatTime(p.At), p.Bytes)
	}
	if h.Oldest > 1 {
		t.note = "Older publications are no longer kept."
	}
	return e.print(out, t)
}

func formatVersion(v uint64) string {
	if v == 0 {
		return "none"
	}
	return uitoa(v)
}
