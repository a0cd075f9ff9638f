package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// table is a result for output in text form. Cells are printed in columns.
type table struct {
	columns []string
	rows    [][]string
	// footer is printed below the rows.
	footer string
}

// add appends a row. Empty cells are printed as "-".
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

// print writes v as JSON or t as a table, depending on the setting --output.
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
	if t.footer != "" {
		fmt.Fprintln(e.out, t.footer)
	}
	return nil
}

// printResult writes v as JSON or a line of text, depending on the setting --output.
func (e *Env) printResult(v any, format string, args ...any) error {
	return e.print(v, &table{footer: fmt.Sprintf(format, args...)})
}

// printProgress writes a progress message to standard error.
func (e *Env) printProgress(format string, args ...any) {
	fmt.Fprintf(e.progress, format+"\n", args...)
}

// formatTime returns the time in UTC, or "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}

// plural returns the number with the noun, in its plural form unless n is 1.
func plural(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
