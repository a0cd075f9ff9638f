// Package load generates requests and jobs in an open loop, checks every answer, and reports latencies and violated
// guarantees.
//
// Arrivals follow a Poisson process that does not wait for answers. Latency is measured from the intended send time of
// a request, so that waiting times during a stall are included (no coordinated omission).
package load

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Settings holds the flags of one run.
type Settings struct {
	Gateways    []string           `env:"CLEMENTINE_LOAD_GATEWAYS" required:"" placeholder:"http://IP:PORT" help:"Gateways, as the platform's balancer knows them."`
	Manifest    string             `env:"CLEMENTINE_LOAD_MANIFEST" required:"" type:"existingfile" help:"Manifest whose kinds are sent."`
	Rate        float64            `env:"CLEMENTINE_LOAD_RATE" default:"200" help:"Requests per second on average; 0 sends no requests."`
	Duration    time.Duration      `env:"CLEMENTINE_LOAD_DURATION" default:"10s" help:"Time during which requests are sent."`
	Requests    int                `env:"CLEMENTINE_LOAD_REQUESTS" default:"1000000" help:"Most requests to send."`
	PeakFactor  float64            `env:"CLEMENTINE_LOAD_PEAK_FACTOR" default:"1" help:"Factor by which the rate is higher during a peak."`
	PeakEvery   time.Duration      `env:"CLEMENTINE_LOAD_PEAK_EVERY" default:"20s" help:"Time between the starts of two peaks."`
	PeakLength  time.Duration      `env:"CLEMENTINE_LOAD_PEAK_LENGTH" default:"5s" help:"Length of a peak, which ends each interval."`
	Weights     map[string]float64 `env:"CLEMENTINE_LOAD_WEIGHTS" name:"weight" placeholder:"KIND=W" help:"Weights of request kinds; those without one get 6 (interactive), 2 (non-idempotent) or 2 (others)."`
	Repeat      float64            `env:"CLEMENTINE_LOAD_REPEAT" default:"0.2" help:"Share of non-idempotent requests that are repeated with the same ticket through another gateway."`
	BodyBytes   int                `env:"CLEMENTINE_LOAD_BODY_BYTES" default:"512" help:"Length of the body of a request."`
	MaxInFlight int                `env:"CLEMENTINE_LOAD_MAX_IN_FLIGHT" default:"4096" help:"Most requests in progress at the same time; later ones wait, and their waiting counts."`
	Timeout     time.Duration      `env:"CLEMENTINE_LOAD_TIMEOUT" default:"10s" help:"Time after which a caller gives up."`
	BatchJobs   int                `env:"CLEMENTINE_LOAD_BATCH_JOBS" default:"0" help:"Jobs to submit."`
	TasksPerJob int                `env:"CLEMENTINE_LOAD_TASKS_PER_JOB" default:"10" help:"Tasks of each job."`
	BatchKinds  []string           `env:"CLEMENTINE_LOAD_BATCH_KINDS" placeholder:"KIND" help:"Batch kinds to submit in turn; all of the manifest if empty."`
	BatchSpread time.Duration      `env:"CLEMENTINE_LOAD_BATCH_SPREAD" default:"5s" help:"Time over which the jobs are submitted."`
	BatchWait   time.Duration      `env:"CLEMENTINE_LOAD_BATCH_WAIT" default:"60s" help:"Time after the last submission in which all jobs must have ended."`
	Seed        uint64             `env:"CLEMENTINE_LOAD_SEED" default:"1" help:"Seed of arrivals, kinds and bodies."`
	Standin     string             `env:"CLEMENTINE_LOAD_STANDIN" placeholder:"http://IP:PORT" help:"Administration endpoint of standin-worker, whose own counts are checked and shown."`
	Conditions  string             `env:"CLEMENTINE_LOAD_CONDITIONS" placeholder:"FILE" help:"Conditions of the links from the callers to the gateways."`
	Local       string             `env:"CLEMENTINE_LOAD_LOCAL" placeholder:"IP" help:"Address from which callers connect."`
	Out         string             `env:"CLEMENTINE_LOAD_OUT" default:"out/load" help:"Directory for the result, histograms and plots."`
	// Phases, if set, determine the rate in place of the peaks; Duration must be their total length. Only experiments
	// set them.
	Phases []Phase `kong:"-"`
	Plots  string  `env:"CLEMENTINE_LOAD_PLOTS" default:"svg" enum:"svg,png,none" help:"Format of the plots: svg, png or none."`
}

// The limits of the settings.
const (
	maxRate        = 100_000
	maxRequests    = 5_000_000
	maxRunDuration = 24 * time.Hour
	maxJobs        = 100_000
	maxTasks       = 10_000
	maxBodyBytes   = 1 << 20
	maxInFlight    = 100_000
	maxPeakFactor  = 1000
	allowedTarget  = "http://IP:PORT with a loopback address, for example http://127.0.0.1:8080"
)

// Check returns a *TargetError for an address outside the loopback range, and a *process.SettingError for another
// setting that is not allowed.
func (s *Settings) Check() error {
	targets := append([]string(nil), s.Gateways...)
	if s.Standin != "" {
		targets = append(targets, s.Standin)
	}
	for _, t := range targets {
		if err := checkTarget(t); err != nil {
			return err
		}
	}
	if s.Local != "" {
		if ip, err := netip.ParseAddr(s.Local); err != nil || !ip.IsLoopback() {
			return &TargetError{Target: s.Local}
		}
	}
	for _, err := range s.checkRanges() {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkRanges returns a *process.SettingError for each number that is out of range, and nil for the others.
func (s *Settings) checkRanges() []error {
	return []error{
		process.CheckRange("--rate", s.Rate, 0, maxRate),
		process.CheckRange("--duration", s.Duration, 0, maxRunDuration),
		process.CheckRange("--requests", s.Requests, 0, maxRequests),
		process.CheckRange("--peak-factor", s.PeakFactor, 0, maxPeakFactor),
		process.CheckRange("--peak-every", s.PeakEvery, 100*time.Millisecond, maxRunDuration),
		process.CheckRange("--peak-length", s.PeakLength, 0, s.PeakEvery),
		process.CheckRange("--repeat", s.Repeat, 0, 1),
		process.CheckRange("--body-bytes", s.BodyBytes, 0, maxBodyBytes),
		process.CheckRange("--max-in-flight", s.MaxInFlight, 1, maxInFlight),
		process.CheckRange("--timeout", s.Timeout, time.Millisecond, time.Hour),
		process.CheckRange("--batch-jobs", s.BatchJobs, 0, maxJobs),
		process.CheckRange("--tasks-per-job", s.TasksPerJob, 1, maxTasks),
		process.CheckRange("--batch-spread", s.BatchSpread, 0, maxRunDuration),
		process.CheckRange("--batch-wait", s.BatchWait, 0, maxRunDuration),
	}
}

// checkTarget returns a *TargetError unless target is an http URL of a loopback IP address with a port and no path.
func checkTarget(target string) error {
	u, err := url.Parse(target)
	if err != nil || u.Scheme != "http" || (u.Path != "" && u.Path != "/") {
		return &TargetError{Target: target}
	}
	a, err := netip.ParseAddrPort(u.Host)
	if err != nil || !a.Addr().IsLoopback() {
		return &TargetError{Target: target}
	}
	return nil
}

// kinds holds the kinds of a manifest that a run uses.
type kinds struct {
	requests []manifest.Kind
	// weights holds the weights of requests, in the same order.
	weights []float64
	batch   []manifest.Kind
}

// kinds selects the kinds of the manifest that have a weight above 0, or that jobs are submitted for. It returns a
// *FileError, an error of manifest.Parse, or a *process.SettingError.
func (s *Settings) kinds() (kinds, error) {
	data, err := os.ReadFile(s.Manifest)
	if err != nil {
		return kinds{}, &FileError{Path: s.Manifest, Err: err}
	}
	m, err := manifest.Parse(s.Manifest, data)
	if err != nil {
		return kinds{}, err
	}
	for name := range s.Weights {
		if k, ok := m.Kind(name); !ok || k.Class != manifest.ClassRequest {
			return kinds{}, &process.SettingError{Setting: "--weight", Value: name,
				Allowed: "request kinds of the manifest"}
		}
	}
	var out kinds
	for _, k := range m.Kinds {
		if k.Class == manifest.ClassRequest && s.weight(k) > 0 {
			out.requests = append(out.requests, k)
			out.weights = append(out.weights, s.weight(k))
		}
	}
	if out.batch, err = s.batchKinds(m); err != nil {
		return kinds{}, err
	}
	if s.Rate > 0 && len(out.requests) == 0 {
		return kinds{}, &process.SettingError{Setting: "--weight", Value: "",
			Allowed: "at least one request kind with a weight above 0"}
	}
	return out, nil
}

// batchKinds returns the kinds named by s.BatchKinds, or all batch kinds of the manifest if none is named.
func (s *Settings) batchKinds(m *manifest.Manifest) ([]manifest.Kind, error) {
	var out []manifest.Kind
	for _, name := range s.BatchKinds {
		k, ok := m.Kind(name)
		if !ok || k.Class != manifest.ClassBatch {
			return nil, &process.SettingError{Setting: "--batch-kinds", Value: name,
				Allowed: "batch kinds of the manifest"}
		}
		out = append(out, k)
	}
	for _, k := range m.Kinds {
		if len(s.BatchKinds) == 0 && k.Class == manifest.ClassBatch {
			out = append(out, k)
		}
	}
	if s.BatchJobs > 0 && len(out) == 0 {
		return nil, &process.SettingError{Setting: "--batch-jobs", Value: "",
			Allowed: "0, because the manifest has no batch kind"}
	}
	return out, nil
}

// The default weights of request kinds.
const (
	weightInteractive = 6
	weightOther       = 2
)

func (s *Settings) weight(k manifest.Kind) float64 {
	if w, ok := s.Weights[k.Name]; ok {
		return w
	}
	if k.Idempotent && k.Urgency == manifest.UrgencyInteractive {
		return weightInteractive
	}
	return weightOther
}
