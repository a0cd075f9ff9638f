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

// CheckCommand checks a manifest. It calls no other process.
type CheckCommand struct {
	File string `arg:"" type:"existingfile" help:"YAML file, or - for standard input."`
}

// checkResult is the result of the command check.
type checkResult struct {
	Deployment string       `json:"deployment"`
	Workers    int          `json:"workers"`
	Shards     int          `json:"shards"`
	Kinds      []pricedKind `json:"kinds"`
	// Warnings are the fields that are valid, but of which a part can never take effect.
	Warnings []manifest.Problem `json:"warnings,omitempty"`
}

// pricedKind is a kind with its price and permitted spending, in millionths of the currency.
type pricedKind struct {
	Kind  string `json:"kind"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// Price is the price of the declared size for the declared run time, or of all replicas of a service for one hour.
	Price    int64 `json:"price_micros"`
	Spending int64 `json:"spending_micros,omitempty"`
}

// Run implements the command.
func (c *CheckCommand) Run(e *Env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	m, warnings, err := manifest.Review(c.File, data)
	if err != nil {
		return err
	}
	r := checkResult{Deployment: m.Deployment, Shards: len(manifest.Shards(m)), Warnings: warnings}
	for _, dc := range m.DataCentres {
		r.Workers += dc.Workers
	}
	t := &table{columns: []string{"KIND", "TEAM", "CLASS", "PRICE " + m.Currency, "SPENDING " + m.Currency}}
	for _, k := range m.Kinds {
		p := pricedKind{Kind: k.Name, Team: k.Team, Class: string(k.Class), Price: m.Price(k, k.RunTime),
			Spending: k.Spending}
		unit, spending := "", manifest.FormatMoney(k.Spending)
		if k.Class == manifest.ClassService {
			p.Price = m.Price(k, time.Hour) * int64(k.Replicas)
			unit, spending = " per hour", "-"
		}
		r.Kinds = append(r.Kinds, p)
		t.add(p.Kind, p.Team, p.Class, manifest.FormatMoney(p.Price)+unit, spending)
	}
	t.footer = "Manifest " + c.File + " is valid: " + plural(r.Workers, "worker") + ", " +
		plural(r.Shards, "shard") + "."
	for _, w := range warnings {
		t.footer += "\nwarning: " + w.String()
	}
	return e.print(r, t)
}

// loadManifest reads and parses a manifest.
func loadManifest(file string) ([]byte, *manifest.Manifest, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	m, err := manifest.Parse(file, data)
	return data, m, err
}

// readFile reads a file, or standard input if file is "-". It reads one byte more than allowed from standard input, so
// that manifest.Parse rejects a text that is too long.
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

// diffResult is the result of the command diff.
type diffResult struct {
	Version uint64            `json:"version"`
	Changes []manifest.Change `json:"changes"`
	// Refused is why the manifest cannot be published, empty if it can.
	Refused string `json:"refused,omitempty"`
}

// Run implements the command.
func (c *DiffCommand) Run(ctx context.Context, e *Env) error {
	_, m, err := loadManifest(c.File)
	if err != nil {
		return err
	}
	h, err := config.ReadHistory(ctx, e.log)
	if err != nil {
		return err
	}
	var old *manifest.Manifest
	d := diffResult{Version: h.Chain.Head()}
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
	t.footer = plural(len(changes), "field") + " of version " + formatVersion(d.Version) + " would change."
	if err := e.print(d, t); err != nil {
		return err
	}
	return refused
}

// HistoryCommand lists the publications that the log retains.
type HistoryCommand struct{}

// publication is one publication in the result of the command history.
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
		t.footer = "Older publications are no longer kept."
	}
	return e.print(out, t)
}

func formatVersion(v uint64) string {
	if v == 0 {
		return "none"
	}
	return formatUint(v)
}
