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

// Sample measures what processes cost during an interval of fixed load, and appends the values to a file.
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

// target is one process of a measurement.
type target struct{ role, url string }

func (s *Sample) targets() ([]target, error) {
	var out []target
	for _, text := range s.Process {
		role, url, _ := strings.Cut(text, "=")
		switch role {
		case roleGateway, roleScheduler, roleWorkers, rolePlatform:
		default:
			return nil, &process.SettingError{Setting: "--process", Value: text, Allowed: "gateway=, scheduler=, workers= or platform= and a URL"}
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

// Run measures for the interval. It returns a *TargetError or *process.SettingError for settings that are not allowed, and a
// *ScrapeError if a process does not answer.
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
	return s.write(atMeanSize(out))
}

// atMeanSize puts the repeated measurements at one size, since a measured size differs a little between them.
func atMeanSize(samples []capacity.Sample) []capacity.Sample {
	sum := 0.0
	for _, v := range samples {
		sum += v.Size
	}
	for i := range samples {
		samples[i].Size = sum / float64(len(samples))
	}
	return samples
}

func (s *Sample) write(samples []capacity.Sample) error {
	f, err := os.OpenFile(s.To, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return &FileError{Path: s.To, Err: err}
	}
	err = capacity.Encode(f, samples)
	if closed := f.Close(); err == nil && closed != nil {
		err = &FileError{Path: s.To, Err: closed}
	}
	return err
}

// change is what one process reported at the beginning and at the end of an interval.
type change struct {
	target
	before, after scrape
}

// rate returns how much a counter has grown per second, summed over all its series with the given labels.
func (c change) rate(name string, labels ...label) float64 {
	return (c.after.sum(name, labels...) - c.before.sum(name, labels...)) / c.after.at.Sub(c.before.at).Seconds()
}

func (s *Sample) samples(before, after []scrape) []capacity.Sample {
	var changes []change
	for i := range after {
		changes = append(changes, change{target: after[i].target, before: before[i], after: after[i]})
	}
	size := s.size(changes)
	var out []capacity.Sample
	for _, c := range changes {
		for _, v := range c.values() {
			out = append(out, capacity.Sample{Axis: capacity.Axis(s.Axis), Size: size, Role: c.capacityRole(), Metric: v.metric, Value: v.value})
		}
		if wait, ok := c.after.quantile("clementine_gateway_queue_seconds", urgentQuantile); ok && s.Axis == string(capacity.AxisRequests) {
			out = append(out, capacity.Sample{Axis: capacity.AxisRequests, Size: size, Role: capacity.RoleRun, Metric: capacity.MetricQueueWait, Value: wait})
		}
	}
	return out
}

// size is what was reached, which falls behind what was asked for when the system is saturated.
func (s *Sample) size(changes []change) float64 {
	if !s.Measured {
		return s.Size
	}
	total := 0.0
	for _, c := range changes {
		switch {
		case c.role == roleScheduler && s.Axis == string(capacity.AxisStarts):
			total += c.rate("clementine_scheduler_starts_total")
		case c.role == roleScheduler && s.Axis == string(capacity.AxisTasks):
			total += c.after.sum("clementine_scheduler_open_attempts")
		case c.role == roleGateway && s.Axis == string(capacity.AxisRequests):
			total += c.rate("clementine_gateway_answers_total")
		}
	}
	return total
}

// capacityRole tells an owner from a standby by the workers that answer it.
func (c change) capacityRole() capacity.Role {
	switch {
	case c.role == rolePlatform:
		return capacity.RoleLog
	case c.role == roleWorkers:
		return capacity.RoleWorkers
	case c.role == roleGateway:
		return capacity.RoleGateway
	case c.after.sum("clementine_scheduler_fenced_workers") > 0:
		return capacity.RoleOwner
	}
	return capacity.RoleStandby
}

// reading is one measured value.
type reading struct {
	metric capacity.Metric
	value  float64
}

const (
	bytesPerMB = 1e6
	percent    = 100
	// urgentQuantile is the part of the requests that must have started within the limit.
	urgentQuantile = 0.999
	linkBytes      = "clementine_link_bytes_total"
	linkAll        = "clementine_link_packet_bytes_total"
	tcpBytes       = "clementine_tcp_bytes_total"
)

func (c change) values() []reading {
	out := []reading{
		{capacity.MetricCPU, percent * c.rate("process_cpu_seconds_total")},
		{capacity.MetricResident, c.after.sum("process_resident_memory_bytes") / bytesPerMB},
		{capacity.MetricHeap, c.after.sum("go_memstats_heap_inuse_bytes") / bytesPerMB},
	}
	switch c.role {
	case roleGateway, roleScheduler:
		return append(out, c.traffic()...)
	case rolePlatform:
		return append(out, c.log()...)
	}
	return out
}

// traffic tells control from requests: what gateways send to workers, and messages on behalf of callers, are not control.
func (c change) traffic() []reading {
	out := []reading{{capacity.MetricControlSent, c.control("sent")}, {capacity.MetricControlReceived, c.control("received")}}
	worker, callers := c.rate(tcpBytes, label{"use", "worker"}), c.callers("sent")+c.callers("received")
	calls, requests := worker, callers
	if c.role == roleGateway {
		calls, requests = 0, worker+callers
	}
	return append(out, reading{capacity.MetricControl, out[0].value + out[1].value}, reading{capacity.MetricLink, c.rate(linkAll) - callers},
		reading{capacity.MetricWorkerControl, calls}, reading{capacity.MetricPlatform, c.rate(tcpBytes, label{"use", "platform"})},
		reading{capacity.MetricRequests, requests})
}

// control returns the control bytes of one direction.
func (c change) control(d string) float64 {
	dir := label{"direction", d}
	sum := c.rate(linkAll, dir) - c.callers(d) + c.rate(tcpBytes, dir, label{"use", "platform"})
	if c.role == roleScheduler {
		sum += c.rate(tcpBytes, dir, label{"use", "worker"})
	}
	return sum
}

// callers returns the bytes of messages on behalf of callers: forwarded requests and questions for the state of a job.
func (c change) callers(d string) float64 {
	sum := 0.0
	for _, kind := range []string{"forward", "forward-reply", "job-status", "job-status-reply"} {
		sum += c.rate(linkBytes, label{"direction", d}, label{"kind", kind})
	}
	return sum
}

func (c change) log() []reading {
	seconds := c.after.at.Sub(c.before.at).Seconds()
	rate := func(f func(platformStats) int64) float64 { return float64(f(c.after.log)-f(c.before.log)) / seconds }
	return []reading{
		{capacity.MetricAppends, rate(func(s platformStats) int64 { return s.Log.Appends })},
		{capacity.MetricReads, rate(func(s platformStats) int64 { return s.Log.Reads })},
		{capacity.MetricRecords, rate(func(s platformStats) int64 { return s.sum(func(t streamStats) int64 { return t.Records }) })},
		{capacity.MetricBytesIn, rate(func(s platformStats) int64 { return s.sum(func(t streamStats) int64 { return t.BytesIn }) })},
		{capacity.MetricBytesOut, rate(func(s platformStats) int64 { return s.sum(func(t streamStats) int64 { return t.BytesOut }) })},
		{capacity.MetricListReads, rate(func(s platformStats) int64 { return s.List.Reads })},
	}
}
