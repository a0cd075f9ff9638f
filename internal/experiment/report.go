package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/load"
)

// row holds one measurement for all arms.
type row struct {
	Phase string `json:"phase"`
	Name  string `json:"measure"`
	Unit  string `json:"unit"`
	Arms  []cell `json:"arms"`
}

// cell holds one measurement of one arm. Ratio is the ratio to the first arm, taken between runs of the same repeat. It
// is nil for the first arm itself, and if a value of the first arm is zero or missing.
type cell struct {
	Arm   string   `json:"arm"`
	Value summary  `json:"value"`
	Ratio *summary `json:"ratio,omitempty"`
}

// report writes summary.json, table.txt, raw histograms and plots, and prints the table.
func report(w io.Writer, dir string, s *Spec, runs []armRun) error {
	rows := s.rows(runs)
	data, err := json.MarshalIndent(map[string]any{"experiment": s.Name, "seed": s.Seed, "repeats": s.Repeats,
		"rate": s.Rate, "slots": s.slots(), "rows": rows}, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	var text strings.Builder
	printTable(&text, s, rows)
	for name, content := range map[string]string{"summary.json": string(data) + "\n", "table.txt": text.String()} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), fileMode); err != nil {
			return &load.FileError{Path: path, Err: err}
		}
	}
	for _, r := range runs {
		if err := writeHistograms(filepath.Join(dir, "runs", fmt.Sprintf("%s-%d", r.arm, r.repeat), "phases.hlog"),
			r.result); err != nil {
			return err
		}
	}
	if err := writePlots(dir, s, runs); err != nil {
		return err
	}
	_, err = io.WriteString(w, text.String())
	return errors.WithStack(err)
}

// rows summarizes the measurements of all runs, in the order in which they first occur.
func (s *Spec) rows(runs []armRun) []row {
	// values holds the values of each row by arm and repeat.
	var rows []row
	var values []map[string]map[int]float64
	index := map[string]int{}
	for _, r := range runs {
		for _, m := range s.measurements(r.result) {
			key := m.phase + "/" + m.name
			i, known := index[key]
			if !known {
				i = len(rows)
				index[key] = i
				rows, values = append(rows, row{Phase: m.phase, Name: m.name, Unit: m.unit}),
					append(values, map[string]map[int]float64{})
			}
			if values[i][r.arm] == nil {
				values[i][r.arm] = map[int]float64{}
			}
			values[i][r.arm][r.repeat] = m.value
		}
	}
	for i := range rows {
		for _, a := range s.Arms {
			rows[i].Arms = append(rows[i].Arms, newCell(a.Name, values[i][a.Name], values[i][s.Arms[0].Name],
				a.Name != s.Arms[0].Name))
		}
	}
	return rows
}

// newCell summarizes the values of an arm by repeat and, if compare is set, their ratios to the baseline.
func newCell(arm string, values, baseline map[int]float64, compare bool) cell {
	var all, ratios []float64
	for repeat, v := range values {
		all = append(all, v)
		if b := baseline[repeat]; b != 0 {
			ratios = append(ratios, v/b)
		}
	}
	c := cell{Arm: arm, Value: summarize(all)}
	if compare && len(ratios) == len(all) && len(all) > 0 {
		r := summarize(ratios)
		c.Ratio = &r
	}
	return c
}

func printTable(w io.Writer, s *Spec, rows []row) {
	_, _ = fmt.Fprintf(w, "%s: %d slots, %g requests/s, seed %d, %d repeats; median [least to most], x ratio to %s\n",
		s.Name, s.slots(), s.Rate, s.Seed, s.Repeats, s.Arms[0].Name)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"PHASE", "MEASURE"}
	for _, a := range s.Arms {
		header = append(header, strings.ToUpper(a.Name))
	}
	_, _ = fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, r := range rows {
		line := []string{r.Phase, r.Name + " [" + r.Unit + "]"}
		for _, c := range r.Arms {
			text := formatNumber(c.Value.Median) + " [" + formatNumber(c.Value.Min) + " to " +
				formatNumber(c.Value.Max) + "]"
			if c.Ratio != nil {
				text += fmt.Sprintf(" x%.2f [%.2f to %.2f]", c.Ratio.Median, c.Ratio.Min, c.Ratio.Max)
			}
			line = append(line, text)
		}
		_, _ = fmt.Fprintln(t, strings.Join(line, "\t"))
	}
	_ = t.Flush()
}

// formatNumber prints three significant digits, or all integer digits from 100 on.
func formatNumber(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// writeHistograms writes the histogram of each phase and kind in the HdrHistogram log format, in microseconds.
func writeHistograms(path string, r *load.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return &load.FileError{Path: path, Err: err}
	}
	defer func() { _ = f.Close() }()
	w := hdrhistogram.NewHistogramLogWriter(f)
	start := r.Began.UnixMilli()
	steps := []func() error{w.OutputLogFormatVersion, func() error { return w.OutputStartTime(start) }, w.OutputLegend}
	for _, p := range r.Phases {
		end := start + int64(p.Seconds*1000)
		for _, k := range p.Kinds {
			k.Histogram.SetTag(p.Name + "/" + k.Kind)
			k.Histogram.SetStartTimeMs(start)
			k.Histogram.SetEndTimeMs(end)
			steps = append(steps, func() error { return w.OutputIntervalHistogram(k.Histogram) })
		}
		start = end
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return &load.FileError{Path: path, Err: err}
		}
	}
	return nil
}
