package load

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	resultFile     = "result.json"
	histogramsFile = "histograms.hlog"
	dirMode        = 0o755
	fileMode       = 0o644
)

// Latency holds percentiles of the time from the intended send time to the answer, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// KindResult holds the results of the requests of one kind.
type KindResult struct {
	Urgency  string `json:"class"`
	Kind     string `json:"kind"`
	Sent     int    `json:"sent"`
	Answered int    `json:"whole"`
	Rejected int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	// Late counts the complete answers, included in Answered, that came after the deadline. It is only set in the
	// results of phases.
	Late    int     `json:"late,omitempty"`
	Latency Latency `json:"latency"`
	// Peak covers the requests that arrived during peaks.
	Peak Latency `json:"peak"`
	// Histogram is only set in the results of phases, and not in a result that was read from a file.
	Histogram *hdrhistogram.Histogram `json:"-"`
}

// Result holds the results of a run, as they are written to result.json.
type Result struct {
	Name         string         `json:"name"`
	Began        time.Time      `json:"began"`
	Seconds      float64        `json:"seconds"`
	Rate         float64        `json:"rate"`
	Seed         uint64         `json:"seed"`
	Kinds        []KindResult   `json:"kinds"`
	Phases       []PhaseResult  `json:"phases,omitempty"`
	PerSecond    []SecondResult `json:"per_second,omitempty"`
	Reasons      map[string]int `json:"reasons,omitempty"`
	Repeats      int            `json:"repeats"`
	Batch        BatchTotals    `json:"batch"`
	SubmitErrors []string       `json:"refusals,omitempty"`
	// Workers holds the changes of the workers' own counts during the run, by name.
	Workers map[string]int64 `json:"workers,omitempty"`
	// Violations holds the number of violations of each guarantee, Details the descriptions of the first ones.
	Violations map[string]int `json:"violations"`
	Details    []string       `json:"details,omitempty"`
}

// newResult returns the result of a run, without the checks against the workers' own counts.
func newResult(s *Settings, rec *recorder, jobs *batch, start time.Time, elapsed time.Duration) *Result {
	res := &Result{Name: filepath.Base(s.Out), Began: start.UTC(), Seconds: elapsed.Seconds(), Rate: s.Rate,
		Seed: s.Seed, Reasons: rec.reasons, Repeats: rec.repeats, Batch: jobs.totals(),
		SubmitErrors: jobs.submitErrors(), Violations: map[string]int{}}
	res.Phases, res.PerSecond = rec.phaseResults(s.Phases)
	for _, name := range rec.kindOrder {
		k := rec.kinds[name]
		row := KindResult{Urgency: string(k.kind.Urgency), Kind: name, Answered: k.outcomes[outcomeAnswered],
			Rejected: k.outcomes[outcomeRejected], Unknown: k.outcomes[outcomeUnknown],
			Latency: summarizeLatency(k.latency), Peak: summarizeLatency(k.peak)}
		row.Sent = row.Answered + row.Rejected + row.Unknown
		res.Kinds = append(res.Kinds, row)
	}
	res.addViolations("crossed answers", rec.anomalies[anomalyCrossed], rec.details...)
	res.addViolations("cut answers", rec.anomalies[anomalyCut])
	res.addViolations("doubled answers", rec.anomalies[anomalyDoubled])
	res.addViolations("lost tasks", res.Batch.Lost)
	return res
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max()}
}

// addViolations adds n violations of a guarantee and their descriptions. A count of zero shows that the guarantee was
// checked.
func (res *Result) addViolations(name string, n int, details ...string) {
	res.Violations[name] += n
	for _, d := range details {
		if len(res.Details) < maxDetails {
			res.Details = append(res.Details, name+": "+d)
		}
	}
}

// Err returns a *ViolationError if a guarantee was violated.
func (res *Result) Err() error {
	var violated []string
	for name, n := range res.Violations {
		if n > 0 {
			violated = append(violated, name)
		}
	}
	if len(violated) == 0 {
		return nil
	}
	slices.Sort(violated)
	return &ViolationError{Violated: violated}
}

// report writes the files, prints the table and returns res.Err(), or a *FileError.
func (r *Runner) report(res *Result, rec *recorder) error {
	dir := r.settings.Out
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &FileError{Path: dir, Err: err}
	}
	if err := writeResult(dir, res); err != nil {
		return err
	}
	if err := writeHistograms(dir, rec, res); err != nil {
		return err
	}
	if r.settings.Plots != "none" && len(rec.kindOrder) > 0 {
		if err := writePlots(dir, r.settings.Plots, rec); err != nil {
			return err
		}
	}
	printResult(r.out, res)
	return res.Err()
}

func writeResult(dir string, res *Result) error {
	data, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	path := filepath.Join(dir, resultFile)
	if err := os.WriteFile(path, append(data, '\n'), fileMode); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

// writeHistograms writes the histogram of each kind in the HdrHistogram log format, in microseconds.
func writeHistograms(dir string, rec *recorder, res *Result) error {
	path := filepath.Join(dir, histogramsFile)
	f, err := os.Create(path)
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	defer func() { _ = f.Close() }()
	w := hdrhistogram.NewHistogramLogWriter(f)
	start := res.Began.UnixMilli()
	steps := []func() error{w.OutputLogFormatVersion, func() error { return w.OutputStartTime(start) }, w.OutputLegend}
	for _, name := range rec.kindOrder {
		h := rec.kinds[name].latency
		h.SetTag(name)
		h.SetStartTimeMs(start)
		h.SetEndTimeMs(start + int64(res.Seconds*1000))
		steps = append(steps, func() error { return w.OutputIntervalHistogram(h) })
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return &FileError{Path: path, Err: err}
		}
	}
	return nil
}

func readResult(dir string) (*Result, error) {
	path := filepath.Join(dir, resultFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	var res Result
	if err := json.Unmarshal(data, &res); err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return &res, nil
}
