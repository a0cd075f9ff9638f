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

// scrape is what a process reported at one time.
type scrape struct {
	target
	at       time.Time
	families map[string]*dto.MetricFamily
	log      platformStats
}

// platformStats is the answer of the platform stand-in to GET /admin/stats, as far as it is used.
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

func (s platformStats) sum(f func(streamStats) int64) int64 {
	var total int64
	for _, t := range s.Log.Streams {
		total += f(t)
	}
	return total
}

// label selects series by the value of a label.
type label struct{ name, value string }

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
	answer, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return s, &StatusError{URL: t.url, Status: answer.StatusCode}
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	if s.families, err = parser.TextToMetricFamilies(answer.Body); err != nil {
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
	return s, doJSON(client, req, &s.log)
}

// sum adds the values of all counters and gauges of a name that have the given labels.
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

// quantile returns the upper bound of the bucket that holds the quantile q of all values so far, over all series of a histogram. It
// returns false if there are none.
func (s scrape) quantile(name string, q float64) (float64, bool) {
	var count uint64
	upTo := map[float64]uint64{}
	for _, m := range s.families[name].GetMetric() {
		count += m.GetHistogram().GetSampleCount()
		for _, b := range m.GetHistogram().GetBucket() {
			upTo[b.GetUpperBound()] += b.GetCumulativeCount()
		}
	}
	if count == 0 {
		return 0, false
	}
	for _, bound := range slices.Sorted(maps.Keys(upTo)) {
		if float64(upTo[bound]) >= q*float64(count) {
			return bound, true
		}
	}
	return math.Inf(1), true
}
