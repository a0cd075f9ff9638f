// Package capacity estimates the resource usage of each role at the target size from measurements at smaller sizes.
//
// A run varies one axis and keeps the others at their reference sizes. The cost at the target is the cost of the
// reference run plus, for each axis, the slope of a least squares fit times the distance to the target. The package has
// no side effects: it reads samples, and returns fits, estimates and Markdown.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Axis is a quantity that runs vary.
type Axis string

// The axes. Each run varies one of them. AxisReference stands for runs that vary none.
const (
	AxisReference  Axis = "reference"
	AxisWorkers    Axis = "workers"
	AxisTasks      Axis = "tasks"
	AxisStarts     Axis = "starts"
	AxisTeams      Axis = "teams"
	AxisGateways   Axis = "gateways"
	AxisSchedulers Axis = "schedulers"
	AxisShards     Axis = "shards"
	AxisRequests   Axis = "requests"
	AxisChanges    Axis = "changes"
)

// Role is the role of a measured process.
type Role string

// The measured roles. RoleWorkers is the stand-in process that serves all workers, RoleLog the platform's log and list,
// RoleRun the deployment as a whole.
const (
	RoleGateway Role = "gateway"
	RoleOwner   Role = "owner"
	RoleStandby Role = "standby"
	RoleCtl     Role = "clementinectl"
	RoleWorkers Role = "workers"
	RoleLog     Role = "log"
	RoleRun     Role = "run"
)

// Metric is a measured quantity; Unit gives its unit.
type Metric string

// The metrics. Byte rates include both directions unless the name says otherwise. MetricControl is the sum of three
// parts: links without messages on behalf of callers, calls to workers without requests, and calls to the platform.
const (
	MetricCPU             Metric = "cpu"
	MetricResident        Metric = "resident"
	MetricHeap            Metric = "heap"
	MetricControl         Metric = "control"
	MetricControlSent     Metric = "control-sent"
	MetricControlReceived Metric = "control-received"
	MetricLink            Metric = "link"
	MetricWorkerControl   Metric = "worker-control"
	MetricPlatform        Metric = "platform"
	MetricRequests        Metric = "requests"
	MetricAppends         Metric = "appends"
	MetricRecords         Metric = "records"
	MetricReads           Metric = "reads"
	MetricBytesIn         Metric = "bytes-in"
	MetricBytesOut        Metric = "bytes-out"
	MetricListReads       Metric = "list-reads"
	MetricAchieved        Metric = "achieved"
	MetricInForce         Metric = "in-force"
	MetricTakeover        Metric = "takeover"
	MetricQueueWait       Metric = "queue-wait"
	MetricCallCPU         Metric = "call-cpu"
)

var units = map[Metric]string{
	MetricCPU: "% of a core", MetricResident: "MB", MetricHeap: "MB", MetricControl: "B/s", MetricControlSent: "B/s",
	MetricControlReceived: "B/s", MetricLink: "B/s", MetricWorkerControl: "B/s", MetricPlatform: "B/s",
	MetricRequests: "B/s", MetricAppends: "1/s", MetricRecords: "1/s", MetricReads: "1/s", MetricBytesIn: "B/s",
	MetricBytesOut:  "B/s",
	MetricListReads: "1/s", MetricAchieved: "1/s", MetricInForce: "s", MetricTakeover: "s", MetricQueueWait: "s",
	MetricCallCPU: "s",
}

// Unit returns the unit of a metric, or "" for an unknown metric.
func (m Metric) Unit() string { return units[m] }

// Sample is one measured value of one process.
type Sample struct {
	Axis   Axis    `json:"axis"`
	Size   float64 `json:"size"`
	Role   Role    `json:"role"`
	Metric Metric  `json:"metric"`
	Value  float64 `json:"value"`
}

// DecodeError reports a malformed sample. Line is its position among the samples, from 1.
type DecodeError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("sample %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// UnknownMetricError reports a sample with an unknown metric.
type UnknownMetricError struct{ Metric Metric }

// Error implements error.
func (e *UnknownMetricError) Error() string { return fmt.Sprintf("metric %q is unknown", e.Metric) }

// Decode reads samples, one JSON object each, until the end of r. It returns a *DecodeError for the first one that is
// malformed or has an unknown metric.
func Decode(r io.Reader) ([]Sample, error) {
	var out []Sample
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	for {
		var s Sample
		err := d.Decode(&s)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err == nil && s.Metric.Unit() == "" {
			err = &UnknownMetricError{Metric: s.Metric}
		}
		if err != nil {
			return nil, &DecodeError{Line: len(out) + 1, Err: err}
		}
		out = append(out, s)
	}
}

// Encode writes samples, one JSON object per line.
func Encode(w io.Writer, samples []Sample) error {
	e := json.NewEncoder(w)
	for _, s := range samples {
		if err := e.Encode(s); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
