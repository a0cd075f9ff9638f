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

// row is one figure of all arms.
type row struct {
	Phase string `json:"phase"`
	Name  string `json:"measure"`
	Unit  string `json:"unit"`
	Arms  []cell `json:"arms"`
}

// cell is the figure of one arm. Ratio compares the runs of the same repeat with those of the first arm; it is nil for that arm, and if a
// value of the first arm is zero.
type cell struct {
	Arm   string  `json:"arm"`
	Value spread  `json:"value"`
	Ratio *spread `json:"ratio,omitempty"`
}

// report writes summary.json, table.txt, raw histograms and plots, and prints the table.
func report(w io.Writer, dir string, s *Spec, samples []sample) error {
	rows := s.rows(samples)
	data, err := json.MarshalIndent(map[string]any{"experiment": s.Name, "seed": s.Seed, "repeats": s.Repeats, "rate": s.Rate,
		"slots": s.slots(), "rows": rows}, "", "  ")
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
	for _, x := range samples {
		if err := writeHistograms(filepath.Join(dir, "runs", fmt.Sprintf("%s-%d", x.arm, x.repeat), "phases.hlog"), x.result); err != nil {
			return err
		}
	}
	if err := writePlots(dir, s, samples); err != nil {
		return err
	}
	_, err = io.WriteString(w, text.String())
	return errors.WithStack(err)
}

// rows collects the figures of all samples.
func (s *Spec) rows(samples []sample) []row {
	// values holds the figures by row, arm and repeat.
	var rows []row
	var values []map[string]map[int]float64
	index := map[string]int{}
	for _, x := range samples {
		for _, m := range s.measures(x.result) {
			key := m.phase + "/" + m.name
			i, known := index[key]
			if !known {
				i = len(rows)
				index[key] = i
				rows, values = append(rows, row{Phase: m.phase, Name: m.name, Unit: m.unit}), append(values, map[string]map[int]float64{})
			}
			if values[i][x.arm] == nil {
				values[i][x.arm] = map[int]float64{}
			}
			values[i][x.arm][x.repeat] = m.value
		}
	}
	for i := range rows {
		for _, a := range s.Arms {
			rows[i].Arms = append(rows[i].Arms, cellOf(a.Name, values[i][a.Name], values[i][s.Arms[0].Name], a.Name != s.Arms[0].Name))
		}
	}
	return rows
}

func cellOf(arm string, own, base map[int]float64, compare bool) cell {
	var all, ratios []float64
	for repeat, v := range own {
		all = append(all, v)
		if b := base[repeat]; b != 0 {
			ratios = append(ratios, v/b)
		}
	}
	c := cell{Arm: arm, Value: spreadOf(all)}
	if compare && len(ratios) == len(all) && len(all) > 0 {
		r := spreadOf(ratios)
		c.Ratio = &r
	}
	return c
}

func printTable(w io.Writer, s *Spec, rows []row) {
	_, _ = fmt.Fprintf(w, "%s: %d slots, %g requests/s, seed %d, %d repeats; median [least to most], x ratio to %s\n", s.Name, s.slots(), s.Rate,
		s.Seed, s.Repeats, s.Arms[0].Name)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"PHASE", "MEASURE"}
	for _, a := range s.Arms {
		head = append(head, strings.ToUpper(a.Name))
	}
	_, _ = fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, r := range rows {
		line := []string{r.Phase, r.Name + " [" + r.Unit + "]"}
		for _, c := range r.Arms {
			text := number(c.Value.Median) + " [" + number(c.Value.Least) + " to " + number(c.Value.Most) + "]"
			if c.Ratio != nil {
				text += fmt.Sprintf(" x%.2f [%.2f to %.2f]", c.Ratio.Median, c.Ratio.Least, c.Ratio.Most)
			}
			line = append(line, text)
		}
		_, _ = fmt.Fprintln(t, strings.Join(line, "\t"))
	}
	_ = t.Flush()
}

func number(v float64) string {
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
