package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// table is a result for people. Cells are printed in columns.
type table struct {
	columns []string
	rows    [][]string
	// note is printed below the rows.
	note string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// print writes v as JSON or t as a table, as the settings demand.
func (e *Env) print(v any, t *table) error {
	if e.settings.Output == "json" {
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(v))
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	if len(t.columns) > 0 {
		fmt.Fprintln(w, strings.Join(t.columns, "\t"))
	}
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if t.note != "" {
		fmt.Fprintln(e.out, t.note)
	}
	return nil
}

// say prints the short result of an action.
func (e *Env) say(v any, format string, args ...any) error {
	return e.print(v, &table{note: fmt.Sprintf(format, args...)})
}

// note prints progress for people.
func (e *Env) note(format string, args ...any) { fmt.Fprintf(e.notes, format+"\n", args...) }

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}

func plural(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
