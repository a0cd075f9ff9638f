// Command clementine-node runs on every entry instance of the platform. It serves callers and can become the owner that
// schedules the work of all submissions.
package main

import (
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/platform"
)

// Options are the flags of clementine-node. The settings of the instance are in a file that the platform provides.
type Options struct {
	process.LogSettings
	Boot        string `env:"CLEMENTINEWALK_BOOT" default:"/etc/clementinewalk/boot.json" help:"Path of the platform's settings file."`
	MetricsPort uint16 `env:"CLEMENTINE_NODE_METRICS_PORT" default:"9464" help:"Port of the metrics endpoint."`
}

// memoryLimitShare is the share of the instance's memory that is set as the soft memory limit of the Go runtime. The
// garbage collector runs more often when the limit is approached.
const memoryLimitShare = 0.7

func main() {
	o := &Options{}
	process.Parse(o, "clementine-node", "Serves callers and schedules their work on the platform.")
	registry := process.NewRegistry()
	os.Exit(start(o, o.NewLogger(process.NewLogWriter(os.Stdout, registry)), registry))
}

// start reads the settings file, runs the node and returns the exit code of the process.
func start(o *Options, l *slog.Logger, r *prometheus.Registry) int {
	s, err := platform.ReadSettings(o.Boot)
	if err != nil {
		l.Error("settings: file cannot be used", "error", err)
		return 2
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	l = l.With("instance", s.Instance)
	return process.Run(l, initialize(o, s, l, r).Run)
}
