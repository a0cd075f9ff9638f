package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const tabPadding = 2

// formatMicros formats a duration in microseconds, rounded to 10 µs below 10 ms and to 100 µs from there on.
func formatMicros(us int64) string {
	d := time.Duration(us) * time.Microsecond
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(100 * time.Microsecond).String()
}

// writeAligned prints rows with aligned columns.
func writeAligned(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	_ = t.Flush()
}

// printResult prints the tables of one run.
func printResult(w io.Writer, r *Result) {
	_, _ = fmt.Fprintf(w, "\nRequests (%.1f s, %d non-idempotent ones repeated with the same ticket):\n", r.Seconds,
		r.Repeats)
	rows := [][]string{{"CLASS", "KIND", "SENT", "WHOLE", "NOT RUN", "UNKNOWN", "P50", "P99", "P99.9", "MAX"}}
	total := KindResult{Urgency: "all"}
	for _, k := range r.Kinds {
		rows = append(rows, append(countCells(k), formatMicros(k.Latency.P50), formatMicros(k.Latency.P99),
			formatMicros(k.Latency.P999), formatMicros(k.Latency.Max)))
		if k.Peak.Count > 0 {
			rows = append(rows, []string{"", "  at peak", fmt.Sprint(k.Peak.Count), "", "", "",
				formatMicros(k.Peak.P50), formatMicros(k.Peak.P99), formatMicros(k.Peak.P999),
				formatMicros(k.Peak.Max)})
		}
		total.Sent, total.Answered, total.Rejected, total.Unknown = total.Sent+k.Sent, total.Answered+k.Answered,
			total.Rejected+k.Rejected, total.Unknown+k.Unknown
	}
	writeAligned(w, append(rows, countCells(total)))
	printReasons(w, r.Reasons)
	printBatch(w, r)
	if r.Workers != nil {
		_, _ = fmt.Fprintln(w, "\nCounts reported by the workers:")
		rows := [][]string{}
		for _, name := range slices.Sorted(maps.Keys(r.Workers)) {
			rows = append(rows, []string{"  " + name, fmt.Sprint(r.Workers[name])})
		}
		writeAligned(w, rows)
	}
	printViolations(w, r)
}

// countCells returns the cells from the class to the unknown outcomes.
func countCells(k KindResult) []string {
	return []string{k.Urgency, k.Kind, fmt.Sprint(k.Sent), fmt.Sprint(k.Answered), fmt.Sprint(k.Rejected),
		fmt.Sprint(k.Unknown)}
}

func printReasons(w io.Writer, reasons map[string]int) {
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		_, _ = fmt.Fprintf(w, "  %d x %s\n", reasons[reason], reason)
	}
}

func printBatch(w io.Writer, r *Result) {
	b := r.Batch
	if b.Jobs == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\nBatch (%.1f s):\n", b.Seconds)
	rows := [][]string{{"JOBS", "ON TIME", "NOT ACCEPTED", "TASKS", "DONE", "FAILED", "EVICTED", "RESUMED", "ATTEMPTS",
		"LOST", "COST"}}
	row := []string{}
	for _, n := range []int{b.Jobs, b.OnTime, b.NotAccepted, b.Tasks, b.Done, b.Failed, b.Evicted, b.Resumed,
		b.Attempts, b.Lost} {
		row = append(row, fmt.Sprint(n))
	}
	const microsPerUnit = 1e6
	writeAligned(w, append(rows, append(row, fmt.Sprintf("%.4f", float64(b.CostMicros)/microsPerUnit))))
	for _, text := range r.SubmitErrors {
		_, _ = fmt.Fprintln(w, "  "+text)
	}
}

func printViolations(w io.Writer, r *Result) {
	_, _ = fmt.Fprintln(w, "\nViolations of guarantees:")
	rows := [][]string{}
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		rows = append(rows, []string{"  " + name, fmt.Sprint(r.Violations[name])})
	}
	writeAligned(w, rows)
	for _, d := range r.Details {
		_, _ = fmt.Fprintln(w, "  "+d)
	}
}

// Compare prints the results in the given directories side by side, with ratios to the first one. It returns a
// *FileError if a result cannot be read.
func Compare(w io.Writer, dirs []string) error {
	var results []*Result
	for _, d := range dirs {
		r, err := readResult(d)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	rows := [][]string{append([]string{"MEASURE"}, dirs...)}
	for _, m := range measures(results) {
		rows = append(rows, compareRow(m, results))
	}
	writeAligned(w, rows)
	return nil
}

// measure is one row of a comparison.
type measure struct {
	name string
	// value returns the measure of a result, or false if the result does not have it.
	value  func(*Result) (float64, bool)
	format func(float64) string
}

// compareRow returns the cells of one measure; "-" stands for a result without it.
func compareRow(m measure, results []*Result) []string {
	row := []string{m.name}
	base, hasBase := m.value(results[0])
	for i, r := range results {
		v, ok := m.value(r)
		switch {
		case !ok:
			row = append(row, "-")
		case i == 0 || !hasBase || base == 0:
			row = append(row, m.format(v))
		default:
			row = append(row, fmt.Sprintf("%s (x%.2f)", m.format(v), v/base))
		}
	}
	return row
}

// measures returns the rows of a comparison: those of each kind that occurs in any result, then those of the batch.
func measures(results []*Result) []measure {
	var names []string
	for _, r := range results {
		for _, k := range r.Kinds {
			if !slices.Contains(names, k.Kind) {
				names = append(names, k.Kind)
			}
		}
	}
	number := func(v float64) string { return fmt.Sprintf("%.0f", v) }
	latency := func(v float64) string { return formatMicros(int64(v)) }
	var out []measure
	for _, name := range names {
		field := func(suffix string, f func(KindResult) float64, format func(float64) string) {
			out = append(out, measure{name + " " + suffix, func(r *Result) (float64, bool) {
				k, ok := findKind(r, name)
				return f(k), ok
			}, format})
		}
		field("sent", func(k KindResult) float64 { return float64(k.Sent) }, number)
		field("whole", func(k KindResult) float64 { return float64(k.Answered) }, number)
		field("not run", func(k KindResult) float64 { return float64(k.Rejected) }, number)
		field("unknown", func(k KindResult) float64 { return float64(k.Unknown) }, number)
		field("p50", func(k KindResult) float64 { return float64(k.Latency.P50) }, latency)
		field("p99", func(k KindResult) float64 { return float64(k.Latency.P99) }, latency)
		field("p99.9", func(k KindResult) float64 { return float64(k.Latency.P999) }, latency)
		out = append(out, measure{name + " p99 at peak", func(r *Result) (float64, bool) {
			k, _ := findKind(r, name)
			return float64(k.Peak.P99), k.Peak.Count > 0
		}, latency})
	}
	total := func(name string, f func(BatchTotals) float64) {
		out = append(out, measure{"batch " + name,
			func(r *Result) (float64, bool) { return f(r.Batch), r.Batch.Jobs > 0 }, number})
	}
	total("tasks done", func(b BatchTotals) float64 { return float64(b.Done) })
	total("jobs on time", func(b BatchTotals) float64 { return float64(b.OnTime) })
	total("tasks per minute", func(b BatchTotals) float64 { return float64(b.Done) / max(b.Seconds, 1) * 60 })
	total("evicted", func(b BatchTotals) float64 { return float64(b.Evicted) })
	total("resumed", func(b BatchTotals) float64 { return float64(b.Resumed) })
	total("lost", func(b BatchTotals) float64 { return float64(b.Lost) })
	return out
}

// findKind returns the result of a kind, or false if the run has none.
func findKind(r *Result, kind string) (KindResult, bool) {
	for _, k := range r.Kinds {
		if k.Kind == kind {
			return k, true
		}
	}
	return KindResult{}, false
}
