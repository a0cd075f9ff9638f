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
	// inForceTimeout limits the time until an arm's manifest is in force at all instances.
	inForceTimeout      = 30 * time.Second
	inForcePollInterval = 100 * time.Millisecond
	// settleTime is the pause after a run in which its queues, grants and ejections end.
	settleTime  = 2 * time.Second
	callTimeout = 5 * time.Second
	// maxInFlight limits the requests in progress at the same time in each run.
	maxInFlight = 8192
	dirMode     = 0o755
	fileMode    = 0o644
)

// Settings holds the flags of the command.
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

// InForceError reports instances where an arm's manifest was not in force within the time limit.
type InForceError struct {
	Version uint64
	Missing []string
}

// Error implements error.
func (e *InForceError) Error() string {
	return fmt.Sprintf("version %d of the manifest is not in force after %s at %s", e.Version, inForceTimeout,
		strings.Join(e.Missing, ", "))
}

// StatusError reports an answer of an instance or of the workers' stand-in with a status other than 2xx.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d", e.URL, e.Status)
}

// Driver runs experiments against a running deployment.
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
	return &Driver{settings: s, client: c, log: platform.NewHTTPLog(s.Platform, c),
		list: platform.NewHTTPList(s.Platform, c), logger: l, table: w}
}

// Run makes all experiments, or prints their settings. If a guarantee was violated, it reports that experiment, makes
// no further ones and returns the error.
func (d *Driver) Run(ctx context.Context) error {
	for _, f := range d.settings.Files {
		s, err := Read(f)
		if err != nil {
			return err
		}
		d.applyOverrides(s)
		if d.settings.Show {
			if err := printSettings(d.table, s); err != nil {
				return err
			}
			continue
		}
		if err := d.runExperiment(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// applyOverrides applies --repeats and --longest. No phase becomes shorter than one second.
func (d *Driver) applyOverrides(s *Spec) {
	if d.settings.Repeats > 0 {
		s.Repeats = d.settings.Repeats
	}
	for i := range s.Phases {
		if limit := d.settings.Longest; limit > 0 {
			s.Phases[i].Length = max(time.Second, min(s.Phases[i].Length, limit))
		}
	}
}

// printSettings prints the manifest and the settings of the workers' stand-in as shell assignments.
func printSettings(w io.Writer, s *Spec) error {
	_, err := fmt.Fprintf(w,
		"EXPERIMENT_MANIFEST=%q\nCLEMENTINE_WORKER_VARIATION=%g\nCLEMENTINE_WORKER_INTERFERENCE=%g\n", s.ManifestPath(),
		s.Workers.Variation, s.Workers.Interference)
	return errors.WithStack(err)
}

// armRun is one run of one arm. Runs with the same repeat number have the same seed.
type armRun struct {
	arm    string
	repeat int
	result *load.Result
}

// runExperiment makes the runs of an experiment and reports them. Each repeat runs all arms before the next one begins.
// It returns an error if a run could not be made, or if a guarantee was violated in one.
func (d *Driver) runExperiment(ctx context.Context, s *Spec) error {
	dir := filepath.Join(d.settings.Out, s.Name)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &load.FileError{Path: dir, Err: err}
	}
	var runs []armRun
	var violation error
	for repeat := range s.Repeats {
		for i := range s.Arms {
			// Each repeat begins with the next arm, so that the position in a repeat does not favour an arm.
			arm := s.Arms[(i+repeat)%len(s.Arms)]
			res, err := d.runArm(ctx, s, arm, repeat, dir)
			if res == nil {
				return err
			}
			if err != nil {
				d.logger.Error("guarantee violated during run", "arm", arm.Name, "repeat", repeat, "error", err)
				violation = err
			}
			runs = append(runs, armRun{arm.Name, repeat, res})
		}
	}
	if err := report(d.table, dir, s, runs); err != nil {
		return err
	}
	return violation
}

// runArm publishes the manifest of an arm, injects the faults, sends the load and removes the faults. The result is nil
// if the run could not be made; with a result, the error is a violated guarantee or a failure to remove the faults.
func (d *Driver) runArm(ctx context.Context, s *Spec, arm Arm, repeat int, dir string) (*load.Result, error) {
	if err := d.publish(ctx, s, arm); err != nil {
		return nil, err
	}
	if err := d.setFaults(ctx, s.Faults); err != nil {
		return nil, err
	}
	d.logger.Info("run started", "experiment", s.Name, "arm", arm.Name, "repeat", repeat)
	phases, total := s.phases()
	runSettings := &load.Settings{Gateways: d.settings.Gateways, Manifest: s.ManifestPath(), Rate: s.Rate,
		Duration: total, Requests: requestLimit(s), PeakFactor: 1, PeakEvery: time.Second, Weights: s.Weights,
		BodyBytes: 256, MaxInFlight: maxInFlight, Timeout: 10 * time.Second, TasksPerJob: 1,
		Seed: s.Seed + uint64(repeat), Standin: d.settings.Standin, Conditions: d.settings.Conditions,
		Local: d.settings.Local, Plots: "none", Phases: phases,
		Out: filepath.Join(dir, "runs", fmt.Sprintf("%s-%d", arm.Name, repeat))}
	if err := runSettings.Check(); err != nil {
		return nil, err
	}
	c, err := load.NewHTTPClient(runSettings, d.logger)
	if err != nil {
		return nil, err
	}
	defer c.CloseIdleConnections()
	res, err := load.NewRunner(runSettings, c, load.Outputs{Table: io.Discard, Progress: io.Discard}).RunWithResult(ctx)
	if clearErr := d.setFaults(context.WithoutCancel(ctx), nil); err == nil {
		err = clearErr
	}
	pause(ctx, settleTime)
	return res, err
}

// requestLimit returns a number of requests that a run does not reach: twice the expected number plus 1000.
func requestLimit(s *Spec) int {
	n := 0.0
	for _, p := range s.Phases {
		n += s.Rate * p.Factor * p.Length.Seconds()
	}
	return int(2*n) + 1000
}

// publish publishes the manifest of an arm and waits until it is in force at all live gateways and schedulers. It
// returns an *InForceError if that takes longer than inForceTimeout.
func (d *Driver) publish(ctx context.Context, s *Spec, arm Arm) error {
	text, err := s.armManifest(arm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	version, err := config.Publish(ctx, d.log, config.Proposal{Name: s.Name + "/" + arm.Name, Manifest: text,
		Operator: "experiment", At: time.Now()})
	if err != nil {
		return err
	}
	for {
		missing, err := d.outdatedInstances(ctx, version)
		if err == nil && len(missing) == 0 {
			return nil
		}
		if !pause(ctx, inForcePollInterval) {
			return &InForceError{Version: version, Missing: missing}
		}
	}
}

// outdatedInstances returns the ids of the live gateways and schedulers that have an older version or do not answer.
func (d *Driver) outdatedInstances(ctx context.Context, version uint64) ([]string, error) {
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
		if err := d.call(ctx, http.MethodGet, "http://"+m.HTTPAddr+"/v1/status", nil, &status); err != nil ||
			status.ConfigOffset < version {
			out = append(out, string(m.ID))
		}
	}
	return out, nil
}

// setFaults removes all faults of the workers and then injects the given ones.
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

// call makes one call with a JSON body and decodes the answer into out, unless out is nil. It returns a *StatusError
// for a status other than 2xx.
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
		return &StatusError{URL: url, Status: resp.StatusCode}
	}
	if out == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

// pause waits for d. It reports whether the whole time passed before ctx ended.
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
