package load

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/capacity"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Sample holds the flags of the command that measures the resource usage of processes under constant load, and appends
// the values to a file.
type Sample struct {
	Axis     string        `required:"" help:"Axis that the run varies."`
	Size     float64       `help:"Size on the axis."`
	Measured bool          `help:"Take the size of the axes starts, tasks and requests from what the processes report."`
	Process  []string      `required:"" name:"process" placeholder:"ROLE=URL" help:"Processes to measure; roles: gateway, scheduler, workers, platform."`
	Interval time.Duration `default:"6s" help:"Length of one measurement."`
	Repeat   int           `default:"2" help:"Number of successive measurements; the spread between them gives the error."`
	To       string        `required:"" help:"File to which the samples are appended, one JSON object a line."`
}

const (
	roleGateway   = "gateway"
	roleScheduler = "scheduler"
	roleWorkers   = "workers"
	rolePlatform  = "platform"

	maxInterval   = 5 * time.Minute
	maxRepeat     = 100
	scrapeTimeout = 5 * time.Second
)

// target is a process to scrape.
type target struct{ role, url string }

// targets returns the processes to scrape. It returns an error if a setting is not allowed.
func (s *Sample) targets() ([]target, error) {
	var out []target
	for _, text := range s.Process {
		role, url, _ := strings.Cut(text, "=")
		switch role {
		case roleGateway, roleScheduler, roleWorkers, rolePlatform:
		default:
			return nil, &process.SettingError{Setting: "--process", Value: text,
				Allowed: "gateway=, scheduler=, workers= or platform= and a URL"}
		}
		if err := checkTarget(url); err != nil {
			return nil, err
		}
		out = append(out, target{role: role, url: strings.TrimSuffix(url, "/")})
	}
	if err := process.CheckRange("--repeat", s.Repeat, 1, maxRepeat); err != nil {
		return nil, err
	}
	return out, process.CheckRange("--interval", s.Interval, time.Second, maxInterval)
}

// Run takes s.Repeat successive measurements of s.Interval each. It returns a *TargetError or *process.SettingError for
// settings that are not allowed, a *ScrapeError if a process cannot be scraped, and a *FileError for the output file.
func (s *Sample) Run(ctx context.Context) error {
	targets, err := s.targets()
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: scrapeTimeout}
	before, err := scrapeAll(ctx, client, targets)
	if err != nil {
		return err
	}
	var out []capacity.Sample
	for range s.Repeat {
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-time.After(s.Interval):
		}
		after, err := scrapeAll(ctx, client, targets)
		if err != nil {
			return err
		}
		out = append(out, s.samples(before, after)...)
		before = after
	}
	return s.appendToFile(setMeanSize(out))
}

// setMeanSize sets the size of all samples to their mean size, because a measured size varies slightly between the
// measurements of one run.
func setMeanSize(samples []capacity.Sample) []capacity.Sample {
	sum := 0.0
	for _, v := range samples {
		sum += v.Size
	}
	for i := range samples {
		samples[i].Size = sum / float64(len(samples))
	}
	return samples
}

// appendToFile appends the samples to s.To and returns a *FileError if that file cannot be opened or closed.
func (s *Sample) appendToFile(samples []capacity.Sample) error {
	f, err := os.OpenFile(s.To, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return &FileError{Path: s.To, Err: err}
	}
	err = capacity.Encode(f, samples)
	if closeErr := f.Close(); err == nil && closeErr != nil {
		err = &FileError{Path: s.To, Err: closeErr}
	}
	return err
}

// delta holds the scrapes of one process at the start and at the end of an interval.
type delta struct {
	target
	before, after scrape
}

// rate returns the increase of a counter per second, summed over all series that have the given labels.
func (d delta) rate(name string, labels ...label) float64 {
	return (d.after.sum(name, labels...) - d.before.sum(name, labels...)) / d.after.at.Sub(d.before.at).Seconds()
}

// samples returns the values of one interval. before and after hold the scrapes of the same processes in the same
// order.
func (s *Sample) samples(before, after []scrape) []capacity.Sample {
	var deltas []delta
	for i := range after {
		deltas = append(deltas, delta{target: after[i].target, before: before[i], after: after[i]})
	}
	size := s.axisSize(deltas)
	var out []capacity.Sample
	for _, d := range deltas {
		for _, m := range d.measurements() {
			out = append(out, capacity.Sample{Axis: capacity.Axis(s.Axis), Size: size, Role: d.capacityRole(),
				Metric: m.metric, Value: m.value})
		}
		if wait, ok := d.after.quantile("clementine_gateway_queue_seconds", queueWaitQuantile); ok &&
			s.Axis == string(capacity.AxisRequests) {
			out = append(out, capacity.Sample{Axis: capacity.AxisRequests, Size: size, Role: capacity.RoleRun,
				Metric: capacity.MetricQueueWait, Value: wait})
		}
	}
	return out
}

// axisSize returns the size on the axis. With s.Measured it is the size that was reached, which is below the requested
// one when the system is saturated.
func (s *Sample) axisSize(deltas []delta) float64 {
	if !s.Measured {
		return s.Size
	}
	total := 0.0
	for _, d := range deltas {
		switch {
		case d.role == roleScheduler && s.Axis == string(capacity.AxisStarts):
			total += d.rate("clementine_scheduler_starts_total")
		case d.role == roleScheduler && s.Axis == string(capacity.AxisTasks):
			total += d.after.sum("clementine_scheduler_open_attempts")
		case d.role == roleGateway && s.Axis == string(capacity.AxisRequests):
			total += d.rate("clementine_gateway_answers_total")
		}
	}
	return total
}

// capacityRole returns the role of the process in the capacity model. A scheduler with fenced workers is an owner, one
// without any a standby.
func (d delta) capacityRole() capacity.Role {
	switch {
	case d.role == rolePlatform:
		return capacity.RoleLog
	case d.role == roleWorkers:
		return capacity.RoleWorkers
	case d.role == roleGateway:
		return capacity.RoleGateway
	case d.after.sum("clementine_scheduler_fenced_workers") > 0:
		return capacity.RoleOwner
	}
	return capacity.RoleStandby
}

// measurement is the value of one metric of a process.
type measurement struct {
	metric capacity.Metric
	value  float64
}

const (
	bytesPerMB = 1e6
	percent    = 100
	// queueWaitQuantile is the share of requests that must leave the queue within the limit for the queue wait.
	queueWaitQuantile     = 0.999
	linkBytesMetric       = "clementine_link_bytes_total"
	linkPacketBytesMetric = "clementine_link_packet_bytes_total"
	tcpBytesMetric        = "clementine_tcp_bytes_total"
)

// measurements returns all metrics that apply to the role of the process.
func (d delta) measurements() []measurement {
	out := []measurement{
		{capacity.MetricCPU, percent * d.rate("process_cpu_seconds_total")},
		{capacity.MetricResident, d.after.sum("process_resident_memory_bytes") / bytesPerMB},
		{capacity.MetricHeap, d.after.sum("go_memstats_heap_inuse_bytes") / bytesPerMB},
	}
	switch d.role {
	case roleGateway, roleScheduler:
		return append(out, d.trafficMeasurements()...)
	case rolePlatform:
		return append(out, d.logMeasurements()...)
	}
	return out
}

// trafficMeasurements returns the network metrics in bytes per second. Traffic between gateways and workers, and
// messages on behalf of callers, count as request traffic and not as control traffic.
func (d delta) trafficMeasurements() []measurement {
	out := []measurement{{capacity.MetricControlSent, d.controlRate("sent")},
		{capacity.MetricControlReceived, d.controlRate("received")}}
	workerRate, callers := d.rate(tcpBytesMetric, label{"use", "worker"}), d.callerRate("sent")+d.callerRate("received")
	calls, requests := workerRate, callers
	if d.role == roleGateway {
		calls, requests = 0, workerRate+callers
	}
	return append(out, measurement{capacity.MetricControl, out[0].value + out[1].value},
		measurement{capacity.MetricLink, d.rate(linkPacketBytesMetric) - callers},
		measurement{capacity.MetricWorkerControl, calls},
		measurement{capacity.MetricPlatform, d.rate(tcpBytesMetric, label{"use", "platform"})},
		measurement{capacity.MetricRequests, requests})
}

// controlRate returns the control traffic in one direction ("sent" or "received"), in bytes per second.
func (d delta) controlRate(direction string) float64 {
	directionLabel := label{"direction", direction}
	sum := d.rate(linkPacketBytesMetric, directionLabel) - d.callerRate(direction) +
		d.rate(tcpBytesMetric, directionLabel, label{"use", "platform"})
	if d.role == roleScheduler {
		sum += d.rate(tcpBytesMetric, directionLabel, label{"use", "worker"})
	}
	return sum
}

// callerRate returns the bytes per second of the messages on behalf of callers in one direction: forwarded requests and
// job status queries.
func (d delta) callerRate(direction string) float64 {
	sum := 0.0
	for _, kind := range []string{"forward", "forward-reply", "job-status", "job-status-reply"} {
		sum += d.rate(linkBytesMetric, label{"direction", direction}, label{"kind", kind})
	}
	return sum
}

// logMeasurements returns the rates of the platform's log and list.
func (d delta) logMeasurements() []measurement {
	seconds := d.after.at.Sub(d.before.at).Seconds()
	rate := func(f func(platformStats) int64) float64 {
		return float64(f(d.after.platform)-f(d.before.platform)) / seconds
	}
	return []measurement{
		{capacity.MetricAppends, rate(func(s platformStats) int64 { return s.Log.Appends })},
		{capacity.MetricReads, rate(func(s platformStats) int64 { return s.Log.Reads })},
		{capacity.MetricRecords,
			rate(func(s platformStats) int64 { return s.sum(func(t streamStats) int64 { return t.Records }) })},
		{capacity.MetricBytesIn,
			rate(func(s platformStats) int64 { return s.sum(func(t streamStats) int64 { return t.BytesIn }) })},
		{capacity.MetricBytesOut,
			rate(func(s platformStats) int64 { return s.sum(func(t streamStats) int64 { return t.BytesOut }) })},
		{capacity.MetricListReads, rate(func(s platformStats) int64 { return s.List.Reads })},
	}
}
