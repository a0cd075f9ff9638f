package main

import (
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
	standin "clementinewalk.example/clementinewalk/internal/standin/worker"
)

// Settings are the flags of standin-worker.
type Settings struct {
	process.LogSettings
	Admin    string   `env:"CLEMENTINE_WORKER_ADMIN" default:"127.0.0.1:7100" help:"Address of the endpoint for administration, health and metrics."`
	Platform string   `env:"CLEMENTINE_PLATFORM_URL" default:"http://127.0.0.1:7000" help:"URL of the platform, where the workers register. Empty for no registration."`
	Fleet    []string `env:"CLEMENTINE_WORKER_FLEET" placeholder:"NAME=COUNT@IP:PORT" help:"Workers of a data centre on consecutive ports; can be repeated."`
	Kinds    []string `env:"CLEMENTINE_WORKER_KINDS" placeholder:"NAME=DURATION[/BYTES]" help:"True run time of a kind and the least length of its answers; can be repeated."`

	Manifest  string   `env:"CLEMENTINE_WORKER_MANIFEST" type:"path" help:"Manifest that gives the worker's size, the kinds' run times and, without --fleet, the data centres. It replaces the flags of the worker's size."`
	Sites     []string `env:"CLEMENTINE_WORKER_SITES" placeholder:"NAME" help:"Data centres of the manifest whose workers this process carries; all if empty."`
	FirstPort int      `env:"CLEMENTINE_WORKER_FIRST_PORT" default:"9000" help:"First port of each data centre of the manifest. The first one listens on 127.10.0.1, the next on 127.11.0.1, and so on."`

	Slots        int   `env:"CLEMENTINE_WORKER_SLOTS" default:"8" help:"Requests that a worker executes at the same time."`
	Connections  int   `env:"CLEMENTINE_WORKER_CONNECTIONS" default:"64" help:"Connections that may carry requests to a worker."`
	MilliCores   int64 `env:"CLEMENTINE_WORKER_MILLI_CORES" default:"64000" help:"Processors of a worker in thousandths of a core."`
	MemoryMB     int64 `env:"CLEMENTINE_WORKER_MEMORY_MB" default:"250000" help:"Memory of a worker in MB."`
	Accelerators int64 `env:"CLEMENTINE_WORKER_ACCELERATORS" default:"0" help:"Accelerators of a worker."`
	PerRack      int   `env:"CLEMENTINE_WORKER_PER_RACK" default:"8" help:"Workers in a rack."`

	UsageLag  time.Duration `env:"CLEMENTINE_WORKER_USAGE_LAG" default:"3s" help:"Least age of reported usage."`
	LateAfter time.Duration `env:"CLEMENTINE_WORKER_LATE_AFTER" default:"8s" help:"Time after a worker is marked leaving from which new work counts as late and is refused."`
	Drift     float64       `env:"CLEMENTINE_WORKER_DRIFT" default:"0.005" help:"Greatest share by which a worker's clock runs too fast or too slow."`
	StopWait  time.Duration `env:"CLEMENTINE_WORKER_STOP_WAIT" default:"60s" help:"Time for tasks and requests to end at a planned stop."`

	Seed            uint64  `env:"CLEMENTINE_WORKER_SEED" default:"1" help:"Seed of run times, interference and random faults."`
	Variation       float64 `env:"CLEMENTINE_WORKER_VARIATION" default:"0.3" help:"Standard deviation of the logarithm of run times."`
	StragglerShare  float64 `env:"CLEMENTINE_WORKER_STRAGGLER_SHARE" default:"0" help:"Share of the batch tasks that run many times longer."`
	StragglerFactor float64 `env:"CLEMENTINE_WORKER_STRAGGLER_FACTOR" default:"10" help:"How many times longer those tasks run."`
	Misdeclaration  float64 `env:"CLEMENTINE_WORKER_MISDECLARATION" default:"0" help:"How far true run times and processor use are from declared ones: 0 not at all, 1 by factors between 0.1 and 20."`
	Interference    float64 `env:"CLEMENTINE_WORKER_INTERFERENCE" default:"1" help:"Scale of the slowdown between work on the same worker; 0 for none."`
}

const (
	maxCount    = 1024
	maxCapacity = int64(1) << 40
	maxTime     = time.Hour
	// maxDrift is the maximum clock drift that the platform guarantees. Owners allow for it.
	maxDrift = 0.01
)

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	checks := []error{
		process.CheckAddr("--admin", s.Admin),
		s.checkPlatform(),
		process.CheckRange("--slots", s.Slots, 1, maxCount),
		process.CheckRange("--connections", s.Connections, 1, maxCount),
		process.CheckRange("--milli-cores", s.MilliCores, 0, maxCapacity),
		process.CheckRange("--memory-mb", s.MemoryMB, 0, maxCapacity),
		process.CheckRange("--accelerators", s.Accelerators, 0, maxCapacity),
		process.CheckRange("--per-rack", s.PerRack, 1, maxCount),
		process.CheckRange("--usage-lag", s.UsageLag, 0, maxTime),
		process.CheckRange("--late-after", s.LateAfter, 0, maxTime),
		process.CheckRange("--drift", s.Drift, 0, maxDrift),
		process.CheckRange("--stop-wait", s.StopWait, 0, maxTime),
		process.CheckRange("--variation", s.Variation, 0, 3),
		process.CheckRange("--straggler-share", s.StragglerShare, 0, 1),
		process.CheckRange("--straggler-factor", s.StragglerFactor, 1, 1000),
		process.CheckRange("--misdeclaration", s.Misdeclaration, 0, 1),
		process.CheckRange("--first-port", s.FirstPort, 1, 1<<16-1),
		process.CheckRange("--interference", s.Interference, 0, 100),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	_, err := s.configs()
	return err
}

func (s *Settings) checkPlatform() error {
	if s.Platform == "" {
		return nil
	}
	u, err := url.Parse(s.Platform)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return &process.SettingError{Setting: "--platform", Value: s.Platform,
			Allowed: "a URL such as http://127.0.0.1:7000, or empty"}
	}
	return process.CheckAddr("--platform", u.Host)
}

func newLedger(l *slog.Logger) *standin.Ledger {
	return standin.NewLedger(process.WithPrefix(l, "ledger"))
}

// newList returns the client of the instance list, or nil if no platform is set.
func newList(s *Settings) platform.List {
	if s.Platform == "" {
		return nil
	}
	return platform.NewHTTPList(s.Platform, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}})
}

func newFleet(s *Settings, ledger *standin.Ledger, list platform.List, l *slog.Logger) (*standin.Fleet, error) {
	configs, err := s.configs()
	if err != nil {
		return nil, err
	}
	return standin.NewFleet(configs, ledger, list, process.WithPrefix(l, "fleet")), nil
}

func newHealth() *process.Health { return &process.Health{} }
