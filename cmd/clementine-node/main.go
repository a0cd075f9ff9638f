// Command clementine-node runs on every entry instance of the platform: it serves callers and takes part in the ownership of submissions.
package main

import (
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/platform"
)

// Options are the flags of the program. What the platform tells of the instance stands in its settings file.
type Options struct {
	process.LogSettings
	Boot        string `env:"CLEMENTINEWALK_BOOT" default:"/etc/clementinewalk/boot.json" help:"Path of the platform's settings file."`
	MetricsPort uint16 `env:"CLEMENTINE_NODE_METRICS_PORT" default:"9464" help:"Port of the metrics endpoint."`
}

// memoryShare is the part of the instance's memory above which the garbage collector works harder.
const memoryShare = 0.7

func main() {
	o := &Options{}
	process.Parse(o, "clementine-node", "Serves callers and schedules their work on the platform.")
	registry := process.NewRegistry()
	os.Exit(start(o, o.NewLogger(process.NewLogWriter(os.Stdout, registry)), registry))
}

func start(o *Options, l *slog.Logger, r *prometheus.Registry) int {
	s, err := platform.ReadSettings(o.Boot)
	if err != nil {
		l.Error("settings: not allowed", "error", err)
		return 2
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	l = l.With("instance", s.Instance)
	return process.Run(l, initialize(o, s, l, r).Run)
}
