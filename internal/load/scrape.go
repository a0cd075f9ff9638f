package load

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// ScrapeError reports a process whose metrics cannot be read.
type ScrapeError struct {
	URL string
	Err error
}

// Error implements error.
func (e *ScrapeError) Error() string { return fmt.Sprintf("metrics of %s: %v", e.URL, e.Err) }

// Unwrap returns the cause.
func (e *ScrapeError) Unwrap() error { return e.Err }

// scrape holds the metrics of a process at one time.
type scrape struct {
	target
	at       time.Time
	families map[string]*dto.MetricFamily
	// platform is only set if the process is the platform.
	platform platformStats
}

// platformStats holds the fields of the platform stand-in's answer to GET /admin/stats that are used here.
type platformStats struct {
	Log struct {
		Appends int64                  `json:"appends"`
		Reads   int64                  `json:"reads"`
		Streams map[string]streamStats `json:"streams"`
	} `json:"log"`
	List struct {
		Reads int64 `json:"reads"`
	} `json:"list"`
}

type streamStats struct {
	Records  int64 `json:"records"`
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

// sum adds a value over all streams of the log.
func (p platformStats) sum(f func(streamStats) int64) int64 {
	var total int64
	for _, t := range p.Log.Streams {
		total += f(t)
	}
	return total
}

// label selects the series that have a label with this value.
type label struct{ name, value string }

// scrapeAll scrapes the targets one after the other. It returns a *ScrapeError for the first one that fails.
func scrapeAll(ctx context.Context, client *http.Client, targets []target) ([]scrape, error) {
	var out []scrape
	for _, t := range targets {
		s, err := scrapeOne(ctx, client, t)
		if err != nil {
			return nil, &ScrapeError{URL: t.url, Err: err}
		}
		out = append(out, s)
	}
	return out, nil
}

func scrapeOne(ctx context.Context, client *http.Client, t target) (scrape, error) {
	s := scrape{target: t}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url+"/metrics", nil)
	if err != nil {
		return s, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, &StatusError{URL: t.url, Status: resp.StatusCode}
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	if s.families, err = parser.TextToMetricFamilies(resp.Body); err != nil {
		return s, err
	}
	s.at = time.Now()
	if t.role != rolePlatform {
		return s, nil
	}
	req, err = http.NewRequestWithContext(ctx, http.MethodGet, t.url+pathStats, nil)
	if err != nil {
		return s, err
	}
	return s, doJSON(client, req, &s.platform)
}

// sum adds the values of all counters, gauges and untyped metrics of a name that have the given labels.
func (s scrape) sum(name string, labels ...label) float64 {
	family := s.families[name]
	total := 0.0
	for _, m := range family.GetMetric() {
		if matches(m, labels) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
		}
	}
	return total
}

// matches reports whether a series has all the given labels.
func matches(m *dto.Metric, labels []label) bool {
	for _, want := range labels {
		found := false
		for _, l := range m.GetLabel() {
			found = found || l.GetName() == want.name && l.GetValue() == want.value
		}
		if !found {
			return false
		}
	}
	return true
}

// quantile returns the upper bound of the bucket that holds the quantile q (0 to 1) of all values of a histogram since
// the start of the process, over all its series. It returns false if the histogram has no values.
func (s scrape) quantile(name string, q float64) (float64, bool) {
	var count uint64
	cumulative := map[float64]uint64{}
	for _, m := range s.families[name].GetMetric() {
		count += m.GetHistogram().GetSampleCount()
		for _, b := range m.GetHistogram().GetBucket() {
			cumulative[b.GetUpperBound()] += b.GetCumulativeCount()
		}
	}
	if count == 0 {
		return 0, false
	}
	for _, bound := range slices.Sorted(maps.Keys(cumulative)) {
		if float64(cumulative[bound]) >= q*float64(count) {
			return bound, true
		}
	}
	return math.Inf(1), true
}
