package platform

import "github.com/prometheus/client_golang/prometheus"

var (
	descAppends     = desc("appends_total", "Number of appends that took effect.")
	descReads       = desc("reads_total", "Number of reads of streams, repeated ones of a waiting reader included.")
	descRateLimited = desc("rate_limited_total", "Number of appends that the rate limit refused.")
	descFailed      = desc("failed_total", "Number of calls that failed because of a fault.")
	descLostAnswers = desc("lost_answers_total", "Number of appends whose answer was lost after the effect.")
	descBytesIn     = desc("bytes_in_total", "Number of record bytes appended to all streams.")
	descBytesOut    = desc("bytes_out_total", "Number of record bytes read from all streams.")
)

func desc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("clementine_standin_platform_"+name, help, nil, nil)
}

// Describe implements prometheus.Collector.
func (l *Log) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(l, ch) }

// Collect implements prometheus.Collector.
func (l *Log) Collect(ch chan<- prometheus.Metric) {
	s := l.Stats()
	var in, out int64
	for _, st := range s.Streams {
		in, out = in+st.BytesIn, out+st.BytesOut
	}
	for d, v := range map[*prometheus.Desc]int64{descAppends: s.Appends, descReads: s.Reads,
		descRateLimited: s.RateLimited, descFailed: s.Failed, descLostAnswers: s.LostAnswers,
		descBytesIn: in, descBytesOut: out} {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v))
	}
}
