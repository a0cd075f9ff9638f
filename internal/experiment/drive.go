package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/platform"
)

const (
	// inForceLimit bounds the wait for an arm's manifest at all instances.
	inForceLimit = 30 * time.Second
	inForcePoll  = 100 * time.Millisecond
	// settleTime lets queues, grants and ejections of the previous run end.
	settleTime  = 2 * time.Second
	callTimeout = 5 * time.Second
	callers     = 8192
	dirMode     = 0o755
	fileMode    = 0o644
)

// Settings are the flags of the command.
type Settings struct {
	Files      []string      `arg:"" name:"file" type:"existingfile" help:"Experiment files, run one after the other."`
	Show       bool          `name:"settings" help:"Print manifest and settings of the workers as shell assignments, and run nothing."`
	Platform   string        `env:"CLEMENTINE_PLATFORM" default:"http://127.0.0.1:7000" help:"URL of the platform, where manifests are published."`
	Gateways   []string      `env:"CLEMENTINE_LOAD_GATEWAYS" placeholder:"http://IP:PORT" help:"Gateways, as the platform's balancer knows them."`
	Standin    string        `env:"CLEMENTINE_LOAD_STANDIN" placeholder:"http://IP:PORT" help:"Administration endpoint of standin-worker, for faults and checks."`
	Conditions string        `env:"CLEMENTINE_LOAD_CONDITIONS" placeholder:"FILE" help:"Conditions of the links from the callers to the gateways."`
	Local      string        `env:"CLEMENTINE_LOAD_LOCAL" placeholder:"IP" help:"Address from which callers connect."`
	Repeats    int           `help:"Repeats instead of those in the file; 0 for the file's."`
	Longest    time.Duration `help:"Longest phase; longer ones are shortened to it, for CI. 0 for the file's."`
	Out        string        `default:"out/experiments" help:"Directory for the results, one sub-directory for each experiment."`
}

// InForceError reports instances that do not have an arm's manifest in time.
type InForceError struct {
	Version uint64
	Missing []string
}

// Error implements error.
func (e *InForceError) Error() string {
	return fmt.Sprintf("version %d is not in force after %s at %s", e.Version, inForceLimit, strings.Join(e.Missing, ", "))
}

// AnswerError reports an answer of the workers' stand-in that is no success.
type AnswerError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s answered with status %d", e.URL, e.Status)
}

// Driver runs experiments.
type Driver struct {
	settings *Settings
	client   *http.Client
	log      platform.Log
	list     platform.List
	logger   *slog.Logger
	table    io.Writer
}

// NewDriver returns a driver that prints its tables to w.
func NewDriver(s *Settings, l *slog.Logger, w io.Writer) *Driver {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	return &Driver{settings: s, client: c, log: platform.NewHTTPLog(s.Platform, c), list: platform.NewHTTPList(s.Platform, c),
		logger: l, table: w}
}

// Run makes all experiments. A broken promise ends it after the report of its experiment.
func (d *Driver) Run(ctx context.Context) error {
	for _, f := range d.settings.Files {
		s, err := Read(f)
		if err != nil {
			return err
		}
		d.shorten(s)
		if d.settings.Show {
			if err := show(d.table, s); err != nil {
				return err
			}
			continue
		}
		if err := d.one(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (d *Driver) shorten(s *Spec) {
	if d.settings.Repeats > 0 {
		s.Repeats = d.settings.Repeats
	}
	for i := range s.Phases {
		if limit := d.settings.Longest; limit > 0 {
			s.Phases[i].Length = max(time.Second, min(s.Phases[i].Length, limit))
		}
	}
}

func show(w io.Writer, s *Spec) error {
	_, err := fmt.Fprintf(w, "EXPERIMENT_MANIFEST=%q\nCLEMENTINE_WORKER_VARIATION=%g\nCLEMENTINE_WORKER_INTERFERENCE=%g\n", s.ManifestPath(),
		s.Workers.Variation, s.Workers.Interference)
	return errors.WithStack(err)
}

// sample is one run of one arm.
type sample struct {
	arm    string
	repeat int
	result *load.Result
}

// one makes the runs of an experiment, one repeat of all arms after the other, and reports.
func (d *Driver) one(ctx context.Context, s *Spec) error {
	dir := filepath.Join(d.settings.Out, s.Name)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &load.FileError{Path: dir, Err: err}
	}
	var samples []sample
	var broken error
	for repeat := range s.Repeats {
		for i := range s.Arms {
			// Each repeat begins with another arm, so that none always follows the same one.
			arm := s.Arms[(i+repeat)%len(s.Arms)]
			res, err := d.run(ctx, s, arm, repeat, dir)
			if res == nil {
				return err
			}
			if err != nil {
				d.logger.Error("a promise was broken", "arm", arm.Name, "repeat", repeat, "error", err)
				broken = err
			}
			samples = append(samples, sample{arm.Name, repeat, res})
		}
	}
	if err := report(d.table, dir, s, samples); err != nil {
		return err
	}
	return broken
}

// run publishes an arm's manifest, sets the faults, and sends the load.
func (d *Driver) run(ctx context.Context, s *Spec, arm Arm, repeat int, dir string) (*load.Result, error) {
	if err := d.publish(ctx, s, arm); err != nil {
		return nil, err
	}
	if err := d.setFaults(ctx, s.Faults); err != nil {
		return nil, err
	}
	d.logger.Info("run begins", "experiment", s.Name, "arm", arm.Name, "repeat", repeat)
	phases, total := s.phases()
	l := &load.Settings{Gateways: d.settings.Gateways, Manifest: s.ManifestPath(), Rate: s.Rate, Duration: total, Requests: callerLimit(s),
		PeakFactor: 1, PeakEvery: time.Second, Weights: s.Weights, BodyBytes: 256, MaxInFlight: callers, Timeout: 10 * time.Second,
		TasksPerJob: 1, Seed: s.Seed + uint64(repeat), Standin: d.settings.Standin, Conditions: d.settings.Conditions,
		Local: d.settings.Local, Plots: "none", Phases: phases,
		Out: filepath.Join(dir, "runs", fmt.Sprintf("%s-%d", arm.Name, repeat))}
	if err := l.Check(); err != nil {
		return nil, err
	}
	c, err := load.NewHTTPClient(l, d.logger)
	if err != nil {
		return nil, err
	}
	defer c.CloseIdleConnections()
	res, err := load.NewRunner(l, c, load.Outputs{Table: io.Discard, Progress: io.Discard}).Measure(ctx)
	if healErr := d.setFaults(context.WithoutCancel(ctx), nil); err == nil {
		err = healErr
	}
	pause(ctx, settleTime)
	return res, err
}

// callerLimit is far above the number of requests of a run.
func callerLimit(s *Spec) int {
	n := 0.0
	for _, p := range s.Phases {
		n += s.Rate * p.Factor * p.Length.Seconds()
	}
	return int(2*n) + 1000
}

// publish puts an arm's manifest in force and waits for all live gateways and schedulers.
func (d *Driver) publish(ctx context.Context, s *Spec, arm Arm) error {
	text, err := s.variant(arm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	version, err := config.Publish(ctx, d.log, config.Proposal{Name: s.Name + "/" + arm.Name, Manifest: text, Operator: "experiment",
		At: time.Now()})
	if err != nil {
		return err
	}
	for {
		missing, err := d.missing(ctx, version)
		if err == nil && len(missing) == 0 {
			return nil
		}
		if !pause(ctx, inForcePoll) {
			return &InForceError{Version: version, Missing: missing}
		}
	}
}

// missing names the live instances that have an older version.
func (d *Driver) missing(ctx context.Context, version uint64) ([]string, error) {
	members, err := d.list.Members(ctx, instance.RoleGateway, instance.RoleScheduler)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, m := range members {
		var status struct {
			ConfigOffset uint64 `json:"config_offset"`
		}
		if m.State != instance.StateLive {
			continue
		}
		if err := d.call(ctx, http.MethodGet, "http://"+m.HTTPAddr+"/v1/status", nil, &status); err != nil || status.ConfigOffset < version {
			out = append(out, string(m.ID))
		}
	}
	return out, nil
}

// setFaults heals all workers and then sets the given faults.
func (d *Driver) setFaults(ctx context.Context, faults []Fault) error {
	url := strings.TrimSuffix(d.settings.Standin, "/") + "/admin/faults"
	if err := d.call(ctx, http.MethodPost, url, map[string]any{"faults": map[string]any{}}, nil); err != nil {
		return err
	}
	for _, f := range faults {
		body := map[string]any{"workers": f.Workers, "data_centre": f.DataCentre, "faults": f.Faults}
		if err := d.call(ctx, http.MethodPost, url, body, nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *Driver) call(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(in)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return &AnswerError{URL: url, Status: resp.StatusCode}
	}
	if out == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
